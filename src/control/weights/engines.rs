//! State of each engine as known to the weights lease holder; callers pass the time in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::manifest::Manifest;
use crate::names::{Model, Pool, ServerId};
use crate::wire::{BackendServer, EngineLoad, ServerState};

use super::wave::{Bounds, EngineView, retry_at, wave};

/// Time by which an engine's load report may lag behind an order.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Time after which a load without a result counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two reports of an engine that has something to load.
const REPORT_INTERVAL_BUSY: Duration = Duration::from_millis(250);
/// Time between two reports of an engine that is up to date.
const REPORT_INTERVAL_IDLE: Duration = Duration::from_secs(5);

/// An order for an engine to load a weight version.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// Engine that loads the version.
    pub server: ServerId,
    /// Host and port of the engine.
    pub address: String,
    /// Model whose weights are loaded.
    pub model: Model,
    /// Weight version to load.
    pub version: u64,
}

/// Outcome of sending a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The engine took the order, or may have taken it.
    Taken,
    /// The engine certainly did not take the order.
    Failed,
}

#[derive(Clone, Debug)]
struct Engine {
    address: String,
    pool: Pool,
    report: Option<EngineLoad>,
    /// When the next report is due.
    next_report: Instant,
    /// The version whose load was ordered, and when; `None` without a pending load.
    pending: Option<(u64, Instant)>,
    /// Consecutive failed loads.
    failures: u32,
    /// Time before which no load may be ordered.
    not_before: Option<Instant>,
}

/// The engines of all pools that serve a model of the manifest.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<ServerId, Engine>,
}

/// Number of a model's engines in each state of the weight update.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Engines that hold the manifest's version.
    pub current: usize,
    /// Engines that have yet to load the version.
    pub behind: usize,
    /// Engines with at least `FAILURES_MAX` consecutive failed loads.
    pub excluded: usize,
}

impl EngineTable {
    /// Replaces the set of engines; keeps the state of those listed before.
    pub fn update_servers(&mut self, list: &[BackendServer], manifest: &Manifest, now: Instant) {
        let mut engines = BTreeMap::new();
        let pools: Vec<&Pool> = manifest.models.values().map(|model| &model.pool).collect();
        for server in list {
            let pool = Pool::from(server.pool.as_str());
            let stays = server.state != ServerState::Leaving && server.notice_ms.is_none();
            if !stays || !pools.contains(&&pool) {
                continue;
            }
            let id = ServerId::from(server.id.as_str());
            let new = Engine {
                address: server.address.clone(),
                pool,
                report: None,
                next_report: now,
                pending: None,
                failures: 0,
                not_before: None,
            };
            let old = self.engines.remove(&id);
            engines.insert(id, old.unwrap_or(new));
        }
        self.engines = engines;
    }

    /// Engines whose report is due, with their host and port.
    #[must_use]
    pub fn due_reports(&self, now: Instant) -> Vec<(ServerId, String)> {
        let due = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.next_report <= now);
        due.map(|(id, engine)| (id.clone(), engine.address.clone()))
            .collect()
    }

    /// Records an engine's report, or `None` if the engine gave none.
    pub fn record_report(
        &mut self,
        id: &ServerId,
        report: Option<EngineLoad>,
        manifest: &Manifest,
        now: Instant,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.report = report;
        engine.update_pending(now);
        let current = engine.is_current(manifest);
        engine.next_report = now
            + if current {
                REPORT_INTERVAL_IDLE
            } else {
                REPORT_INTERVAL_BUSY
            };
    }

    /// Chooses the orders of the next wave and marks them as pending.
    pub fn wave(&mut self, manifest: &Manifest, now: Instant) -> Vec<LoadOrder> {
        let mut orders = Vec::new();
        let mut loads = manifest
            .weights
            .loads
            .saturating_sub(self.loading(manifest));
        for pool in manifest.pools.keys() {
            let members = self
                .engines
                .iter_mut()
                .filter(|(_, engine)| engine.pool == *pool);
            let mut members: Vec<(&ServerId, &mut Engine)> = members.collect();
            let views: Vec<EngineView> = members
                .iter()
                .map(|(_, engine)| engine.view(manifest))
                .collect();
            let bounds = Bounds {
                loads,
                keep_percent: manifest.weights.keep,
            };
            for index in wave(&views, bounds, now) {
                let (id, engine) = &mut members[index];
                orders.extend(engine.order(id, manifest, now));
                loads -= 1;
            }
        }
        orders
    }

    /// Number of loads in progress in all pools.
    fn loading(&self, manifest: &Manifest) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.view(manifest).loading)
            .count()
    }

    /// Records the outcome of sending an order.
    pub fn record_outcome(&mut self, id: &ServerId, outcome: SendOutcome, now: Instant) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if outcome == SendOutcome::Failed {
            engine.record_failure(now);
        }
    }

    /// Counts a model's engines by state of the weight update.
    #[must_use]
    pub fn progress(&self, model: &Model, manifest: &Manifest) -> Progress {
        let mut progress = Progress::default();
        for engine in self.engines.values() {
            if engine.model(manifest) != Some(model) {
                continue;
            }
            if engine.is_current(manifest) {
                progress.current += 1;
            } else if engine.failures >= super::wave::FAILURES_MAX {
                progress.excluded += 1;
            } else {
                progress.behind += 1;
            }
        }
        progress
    }

    /// Number of an engine's consecutive failed loads.
    #[must_use]
    pub fn failures(&self, id: &ServerId) -> u32 {
        self.engines.get(id).map_or(0, |engine| engine.failures)
    }
}

impl Engine {
    /// The model that the engine should hold: its present one, or the first of the pool.
    fn model<'m>(&self, manifest: &'m Manifest) -> Option<&'m Model> {
        let held = self.report.as_ref().map(|report| report.model.as_str());
        let models = manifest.models.iter();
        let mut own = models.filter(|(_, spec)| spec.pool == self.pool);
        let first = own.next()?.0;
        let present = own.find(|(name, _)| Some(name.as_str()) == held);
        Some(present.map_or(first, |(name, _)| name))
    }

    /// The weight version that the manifest names for the engine's model.
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
            // An engine without a report counts as current, so that it gets no order.
            current: report.is_none() || self.is_current(manifest),
            serving: report.is_some_and(|report| !report.model.is_empty()),
            loading: loading || self.pending.is_some(),
            failures: self.failures,
            not_before: self.not_before,
        }
    }

    fn order(&mut self, id: &ServerId, manifest: &Manifest, now: Instant) -> Option<LoadOrder> {
        let version = self.target(manifest)?;
        self.pending = Some((version, now));
        self.next_report = now + REPORT_INTERVAL_BUSY;
        Some(LoadOrder {
            server: id.clone(),
            address: self.address.clone(),
            model: self.model(manifest)?.clone(),
            version,
        })
    }

    /// Checks the latest report for the result of the pending load.
    fn update_pending(&mut self, now: Instant) {
        let Some((version, at)) = self.pending else {
            return;
        };
        let age = now.saturating_duration_since(at);
        let Some(report) = &self.report else {
            if age >= REPORT_LAG {
                self.record_failure(now);
            }
            return;
        };
        if report.version == version && !report.model.is_empty() {
            self.pending = None;
            self.failures = 0;
            self.not_before = None;
        } else if (age >= REPORT_LAG && report.loading.is_none()) || age >= LOAD_TIMEOUT {
            self.record_failure(now);
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.pending = None;
        self.failures += 1;
        self.not_before = Some(retry_at(self.failures, now));
    }
}

#[cfg(test)]
mod tests;
