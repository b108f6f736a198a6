//! What the holder of the weights' lease knows of each engine; pure, with instants passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::manifest::Manifest;
use crate::names::{Model, Pool, ServerId};
use crate::wire::{BackendServer, EngineLoad, ServerState};

use super::wave::{Bounds, EngineView, retry_at, wave};

/// Time by which load reports may lag.
const LAG: Duration = Duration::from_secs(2);
/// Time after which a load without a result counts as failed.
const LOAD_MAX: Duration = Duration::from_secs(120);
/// Time between two reports of an engine that has something to load.
const LOOK_BUSY: Duration = Duration::from_millis(250);
/// Time between two reports of an engine that is up to date.
const LOOK_IDLE: Duration = Duration::from_secs(5);

/// An order to send.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// The engine.
    pub server: ServerId,
    /// Its host and port.
    pub address: String,
    /// The model.
    pub model: Model,
    /// The weight version.
    pub version: u64,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ordered {
    /// The engine took it, or may have taken it.
    Taken,
    /// The engine certainly did not take it.
    Failed,
}

#[derive(Clone, Debug)]
struct Known {
    address: String,
    pool: Pool,
    report: Option<EngineLoad>,
    /// When to ask for the next report.
    look: Instant,
    /// The version that was ordered, and when.
    ordered: Option<(u64, Instant)>,
    failures: u32,
    retry: Option<Instant>,
}

/// All engines.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    known: BTreeMap<ServerId, Known>,
}

/// Engines of one model by state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Engines that hold the version.
    pub current: usize,
    /// Engines that are to load it.
    pub behind: usize,
    /// Engines whose loads failed too often.
    pub out: usize,
}

impl EngineTable {
    /// Takes over the list of backend servers.
    pub fn replace(&mut self, list: &[BackendServer], manifest: &Manifest, now: Instant) {
        let mut known = BTreeMap::new();
        let pools: Vec<&Pool> = manifest.models.values().map(|model| &model.pool).collect();
        for server in list {
            let pool = Pool::from(server.pool.as_str());
            let stays = server.state != ServerState::Leaving && server.notice_ms.is_none();
            if !stays || !pools.contains(&&pool) {
                continue;
            }
            let id = ServerId::from(server.id.as_str());
            let new = Known {
                address: server.address.clone(),
                pool,
                report: None,
                look: now,
                ordered: None,
                failures: 0,
                retry: None,
            };
            let old = self.known.remove(&id);
            known.insert(id, old.unwrap_or(new));
        }
        self.known = known;
    }

    /// Engines whose report is due, with their host and port.
    #[must_use]
    pub fn due(&self, now: Instant) -> Vec<(ServerId, String)> {
        let due = self.known.iter().filter(|(_, known)| known.look <= now);
        due.map(|(id, known)| (id.clone(), known.address.clone()))
            .collect()
    }

    /// Takes over an engine's report, or that it gave none.
    pub fn report(
        &mut self,
        id: &ServerId,
        report: Option<EngineLoad>,
        manifest: &Manifest,
        now: Instant,
    ) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        known.report = report;
        known.settle(now);
        let current = known.is_current(manifest);
        known.look = now + if current { LOOK_IDLE } else { LOOK_BUSY };
    }

    /// The orders of the next wave; they count as sent.
    pub fn wave(&mut self, manifest: &Manifest, now: Instant) -> Vec<LoadOrder> {
        let mut orders = Vec::new();
        let mut turns = manifest
            .weights
            .loads
            .saturating_sub(self.loading(manifest));
        for pool in manifest.pools.keys() {
            let members = self.known.iter_mut().filter(|(_, one)| one.pool == *pool);
            let mut members: Vec<(&ServerId, &mut Known)> = members.collect();
            let views: Vec<EngineView> =
                members.iter().map(|(_, one)| one.view(manifest)).collect();
            let bounds = Bounds {
                turns,
                keep: manifest.weights.keep,
            };
            for index in wave(&views, bounds, now) {
                let (id, known) = &mut members[index];
                orders.extend(known.order(id, manifest, now));
                turns -= 1;
            }
        }
        orders
    }

    /// Loads under way in all pools.
    fn loading(&self, manifest: &Manifest) -> usize {
        let known = self.known.values();
        known.filter(|one| one.view(manifest).loading).count()
    }

    /// Takes over what came of an order.
    pub fn ordered(&mut self, id: &ServerId, ordered: Ordered, now: Instant) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        if ordered == Ordered::Failed {
            known.fail(now);
        }
    }

    /// How far a model's engines are.
    #[must_use]
    pub fn progress(&self, model: &Model, manifest: &Manifest) -> Progress {
        let mut progress = Progress::default();
        for known in self.known.values() {
            if known.model(manifest) != Some(model) {
                continue;
            }
            if known.is_current(manifest) {
                progress.current += 1;
            } else if known.failures >= super::wave::FAILURES_MAX {
                progress.out += 1;
            } else {
                progress.behind += 1;
            }
        }
        progress
    }

    /// Failed loads of an engine, one after another.
    #[must_use]
    pub fn failures(&self, id: &ServerId) -> u32 {
        self.known.get(id).map_or(0, |known| known.failures)
    }
}

impl Known {
    /// The model that the engine should hold: its present one, or the pool's first.
    fn model<'m>(&self, manifest: &'m Manifest) -> Option<&'m Model> {
        let held = self.report.as_ref().map(|report| report.model.as_str());
        let models = manifest.models.iter();
        let mut own = models.filter(|(_, spec)| spec.pool == self.pool);
        let first = own.next()?.0;
        let present = own.find(|(name, _)| Some(name.as_str()) == held);
        Some(present.map_or(first, |(name, _)| name))
    }

    fn target(&self, manifest: &Manifest) -> Option<u64> {
        Some(manifest.models[self.model(manifest)?].version)
    }

    fn is_current(&self, manifest: &Manifest) -> bool {
        let (Some(report), Some(model)) = (&self.report, self.model(manifest)) else {
            return false;
        };
        report.model == model.as_str() && Some(report.version) == self.target(manifest)
    }

    fn view(&self, manifest: &Manifest) -> EngineView {
        let report = self.report.as_ref();
        let loading = report.is_some_and(|report| report.loading.is_some());
        EngineView {
            // An engine that gives no report gets no order.
            current: report.is_none() || self.is_current(manifest),
            serving: report.is_some_and(|report| !report.model.is_empty()),
            loading: loading || self.ordered.is_some(),
            failures: self.failures,
            retry: self.retry,
        }
    }

    fn order(&mut self, id: &ServerId, manifest: &Manifest, now: Instant) -> Option<LoadOrder> {
        let version = self.target(manifest)?;
        self.ordered = Some((version, now));
        self.look = now + LOOK_BUSY;
        Some(LoadOrder {
            server: id.clone(),
            address: self.address.clone(),
            model: self.model(manifest)?.clone(),
            version,
        })
    }

    /// Looks for the end of an ordered load in the latest report.
    fn settle(&mut self, now: Instant) {
        let Some((version, at)) = self.ordered else {
            return;
        };
        let age = now.saturating_duration_since(at);
        let Some(report) = &self.report else {
            if age >= LAG {
                self.fail(now);
            }
            return;
        };
        if report.version == version && !report.model.is_empty() {
            self.ordered = None;
            self.failures = 0;
            self.retry = None;
        } else if (age >= LAG && report.loading.is_none()) || age >= LOAD_MAX {
            self.fail(now);
        }
    }

    fn fail(&mut self, now: Instant) {
        self.ordered = None;
        self.failures += 1;
        self.retry = Some(retry_at(self.failures, now));
    }
}

#[cfg(test)]
mod tests;
