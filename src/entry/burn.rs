//! Counts this entry's requests by outcome, tenant and route, to compute burn rates.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::burn_rate::{Outcome, SlotRing};
use crate::http::Refusal;
use crate::names::Tenant;
use crate::util::unix_ms;
use crate::wire::{BurnLine, BurnReport};

use super::Entry;

/// Shards, each under its own lock.
const SHARDS: usize = 8;
/// Tenant name for calls on open routes, which need no key.
const OPEN_TENANT: &str = "";

type SlotRings = BTreeMap<(Tenant, String), SlotRing>;

/// Counts of classified requests by tenant and route.
#[derive(Debug, Default)]
pub struct BurnTable {
    shards: [Mutex<SlotRings>; SHARDS],
}

impl BurnTable {
    fn shard(&self, tenant: &Tenant) -> &Mutex<SlotRings> {
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

    /// Reports the counts over a short and a long range, in seconds.
    #[must_use]
    pub fn report(&self, (short, long): (u64, u64)) -> BurnReport {
        let now = unix_ms();
        let mut lines = Vec::new();
        for shard in &self.shards {
            for ((tenant, route), ring) in shard.lock().iter() {
                lines.push(BurnLine {
                    long: ring.counts(now, short, long).to_wire(),
                    route: route.clone(),
                    short: ring.counts(now, short, short).to_wire(),
                    tenant: tenant.to_string(),
                });
            }
        }
        BurnReport { lines }
    }
}

/// A request that is classified when the last clone of this handle is dropped.
///
/// A request that its caller gave up before the first part of the answer counts only if it was
/// slow by then.
#[derive(Clone, Debug)]
pub(super) struct MeasuredRequest(Arc<Measurement>);

#[derive(Debug)]
struct Measurement {
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
    /// With a complete answer, or given up by its caller.
    #[default]
    NoError,
    /// In a refusal or error that counts against the objective.
    Counted(Outcome),
    /// In a refusal that is the caller's fault.
    CallerFault,
}

impl MeasuredRequest {
    /// Starts the measurement of a request that arrived now; open routes have no tenant.
    pub(super) fn start(entry: &Arc<Entry>, tenant: Option<&Tenant>, route: &str) -> Self {
        Self(Arc::new(Measurement {
            entry: Arc::clone(entry),
            tenant: tenant.cloned().unwrap_or_else(|| OPEN_TENANT.into()),
            route: route.to_owned(),
            arrived: Instant::now(),
            state: Mutex::default(),
        }))
    }

    /// Notes that the first part of the answer has arrived.
    pub(super) fn first(&self) {
        let waited = self.0.arrived.elapsed();
        self.0.state.lock().first.get_or_insert(waited);
    }

    /// Notes that the request ended in a refusal, or in an error after part of the answer.
    pub(super) fn refused(&self, refusal: &Refusal) {
        let outcome = Outcome::of_refusal(refusal);
        self.0.state.lock().ended = outcome.map_or(Ended::CallerFault, Ended::Counted);
    }

    /// Notes that the backend server itself answered with a failure.
    pub(super) fn failed(&self) {
        self.0.state.lock().ended = Ended::Counted(Outcome::Failed);
    }
}

impl Drop for Measurement {
    fn drop(&mut self) {
        let objective = self.entry.config.state().manifest.objective;
        let state = *self.state.lock();
        let answer = |first| Outcome::of_answer(first, objective.first);
        let outcome = match (state.ended, state.first) {
            (Ended::CallerFault, _) => None,
            (Ended::Counted(outcome), _) => Some(outcome),
            (Ended::NoError, Some(first)) => Some(answer(first)),
            (Ended::NoError, None) => {
                Some(answer(self.arrived.elapsed())).filter(|outcome| *outcome == Outcome::Slow)
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
