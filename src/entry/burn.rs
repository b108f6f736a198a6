//! Judges this entry's requests against the objective, by tenant and route.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::burn::{Outcome, Ring};
use crate::http::Refusal;
use crate::names::Tenant;
use crate::util::unix_ms;
use crate::wire::{BurnLine, BurnReport};

use super::Entry;

/// Shards, each under its own lock.
const SHARDS: usize = 8;
/// Tenant of calls on routes that are open to all.
const OPEN_TENANT: &str = "";

type Rings = BTreeMap<(Tenant, String), Ring>;

/// Judged requests by tenant and route.
#[derive(Debug, Default)]
pub struct BurnTable {
    shards: [Mutex<Rings>; SHARDS],
}

impl BurnTable {
    fn shard(&self, tenant: &Tenant) -> &Mutex<Rings> {
        let mut hasher = DefaultHasher::new();
        tenant.hash(&mut hasher);
        let hash = usize::try_from(hasher.finish() % SHARDS as u64);
        &self.shards[hash.unwrap_or_default()]
    }

    fn add(
        &self,
        tenant: &Tenant,
        route: &str,
        ranges: (u64, u64),
        outcome: Outcome,
        first: Option<Duration>,
    ) {
        let mut shard = self.shard(tenant).lock();
        let ring = shard.entry((tenant.clone(), route.to_owned())).or_default();
        ring.add(unix_ms(), ranges, outcome, first);
    }

    /// What was judged over both ranges, in seconds.
    #[must_use]
    pub fn report(&self, (short, long): (u64, u64)) -> BurnReport {
        let now = unix_ms();
        let mut lines = Vec::new();
        for shard in &self.shards {
            for ((tenant, route), ring) in shard.lock().iter() {
                lines.push(BurnLine {
                    long: ring.judged(now, short, long).to_wire(),
                    route: route.clone(),
                    short: ring.judged(now, short, short).to_wire(),
                    tenant: tenant.to_string(),
                });
            }
        }
        BurnReport { lines }
    }
}

/// One request under judgement, which is passed when the last clone is dropped.
///
/// A request that its caller gave up before the first answer counts only if it was slow.
#[derive(Clone, Debug)]
pub(super) struct Served(Arc<Judgement>);

#[derive(Debug)]
struct Judgement {
    entry: Arc<Entry>,
    tenant: Tenant,
    route: String,
    arrived: Instant,
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    first: Option<Duration>,
    ended: Ended,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default)]
enum Ended {
    /// With a whole answer, or given up by its caller.
    #[default]
    Unbroken,
    /// In a refusal or error that counts.
    Bad(Outcome),
    /// In a refusal that is the caller's fault.
    Blameless,
}

impl Served {
    /// A request that arrived now, of a tenant, or of anyone on an open route.
    pub(super) fn start(entry: &Arc<Entry>, tenant: Option<&Tenant>, route: &str) -> Self {
        Self(Arc::new(Judgement {
            entry: Arc::clone(entry),
            tenant: tenant.cloned().unwrap_or_else(|| OPEN_TENANT.into()),
            route: route.to_owned(),
            arrived: Instant::now(),
            state: Mutex::default(),
        }))
    }

    /// The first part of an answer is there.
    pub(super) fn first(&self) {
        let waited = self.0.arrived.elapsed();
        self.0.state.lock().first.get_or_insert(waited);
    }

    /// It ended in a refusal, or an explicit error after part of an answer.
    pub(super) fn refused(&self, refusal: &Refusal) {
        let outcome = Outcome::of_refusal(refusal);
        self.0.state.lock().ended = outcome.map_or(Ended::Blameless, Ended::Bad);
    }

    /// The backend server answered with a failure of its own.
    pub(super) fn failed(&self) {
        self.0.state.lock().ended = Ended::Bad(Outcome::Failed);
    }
}

impl Drop for Judgement {
    fn drop(&mut self) {
        let objective = self.entry.config.state().manifest.objective;
        let state = *self.state.lock();
        let answer = |first| Outcome::of_answer(first, objective.first);
        let outcome = match (state.ended, state.first) {
            (Ended::Blameless, _) => None,
            (Ended::Bad(outcome), _) => Some(outcome),
            (Ended::Unbroken, Some(first)) => Some(answer(first)),
            (Ended::Unbroken, None) => {
                Some(answer(self.arrived.elapsed())).filter(|judged| *judged == Outcome::Slow)
            }
        };
        let Some(outcome) = outcome else {
            return;
        };
        let ranges = (objective.short, objective.long);
        let burn = &self.entry.burn;
        burn.add(&self.tenant, &self.route, ranges, outcome, state.first);
        self.entry.counts.judged(self.tenant.as_str(), outcome);
    }
}
