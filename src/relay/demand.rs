//! What this instance asks of services whose servers limit all instances together.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::boot::Boot;
use crate::ledger::record::{DemandRecord, Incarnation};
use crate::util::millis;

/// Period over which an instance's demand is counted.
const DEMAND_PERIOD: Duration = Duration::from_secs(10);
/// Factor between two neighbouring demands.
const DEMAND_STEP: u32 = 4;
/// Shortest time between two records of an instance's demand.
const RENEWAL_MIN: Duration = Duration::from_millis(800);
/// Longest time between two records of an instance's demand.
const RENEWAL_MAX: Duration = Duration::from_secs(3);
/// Shortest time between two records if a demand rises or ends.
const CHANGE_MIN: Duration = Duration::from_millis(250);
/// Time budgeted per instance for one append to the shared log.
const APPEND_BUDGET: Duration = Duration::from_millis(10);
/// Intervals between records for which a record is valid.
const VALID_INTERVALS: u32 = 4;

/// Largest number of recent requests that are counted for a service.
const WANTED_MAX: usize = 4096;

/// The demand of this instance, and its records in the log of demands.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnDemand {
    /// Recent requests by service, with their times.
    wanted: HashMap<String, VecDeque<Boot>>,
    /// The latest record, and when it was made.
    written: Option<(DemandRecord, Boot)>,
    /// Number of records so far.
    records: u64,
}

impl OwnDemand {
    /// Counts a request to a service.
    pub(super) fn note(&mut self, service: &str, now: Boot) {
        if !self.wanted.contains_key(service) {
            self.wanted.insert(service.to_owned(), VecDeque::new());
        }
        if let Some(wanted) = self.wanted.get_mut(service) {
            if wanted.len() >= WANTED_MAX {
                wanted.pop_front();
            }
            wanted.push_back(now);
        }
    }

    /// Forgets the requests to a service.
    pub(super) fn end(&mut self, service: &str) {
        self.wanted.remove(service);
    }

    /// Whether the latest record has a demand for a service.
    pub(super) fn includes(&self, service: &str) -> bool {
        let written = self.written.as_ref();
        written.is_some_and(|(record, _)| record.demands.contains_key(service))
    }

    /// Whether a record is in force.
    pub(super) fn is_written(&self) -> bool {
        self.written.is_some()
    }

    /// The demand for each service that has a server with a limit.
    fn current(&mut self, is_limited: impl Fn(&str) -> bool, now: Boot) -> BTreeMap<String, u32> {
        for wanted in self.wanted.values_mut() {
            while wanted.front().is_some_and(|at| *at + DEMAND_PERIOD < now) {
                wanted.pop_front();
            }
        }
        self.wanted.retain(|_, wanted| !wanted.is_empty());
        let written = self.written.as_ref().map(|(record, _)| &record.demands);
        let limited = self.wanted.iter().filter(|(name, _)| is_limited(name));
        limited
            .map(|(service, wanted)| {
                let count = u32::try_from(wanted.len()).unwrap_or(u32::MAX);
                let before = written.and_then(|written| written.get(service));
                (service.clone(), rounded_demand(count, before.copied()))
            })
            .collect()
    }

    /// The record that is due at `now`, if any; counts it as written.
    ///
    /// `sharers` instances have a demand, this one included.
    pub(super) fn due(
        &mut self,
        own: &Incarnation,
        sharers: usize,
        is_limited: impl Fn(&str) -> bool,
        now: Boot,
    ) -> Option<DemandRecord> {
        let demands = self.current(is_limited, now);
        let interval = renewal_interval(sharers);
        if let Some((record, at)) = &self.written {
            let rises = demands
                .iter()
                .any(|(service, demand)| record.demands.get(service) < Some(demand));
            let ends = record
                .demands
                .keys()
                .any(|service| !demands.contains_key(service));
            let pause = if rises || ends { CHANGE_MIN } else { interval };
            if now < *at + pause {
                return None;
            }
        }
        let had_demand = self
            .written
            .as_ref()
            .is_some_and(|(record, _)| !record.demands.is_empty());
        if demands.is_empty() && !had_demand {
            self.written = None;
            return None;
        }
        self.records += 1;
        let record = DemandRecord {
            incarnation: own.clone(),
            number: self.records,
            valid_ms: millis(interval * VALID_INTERVALS),
            demands,
        };
        self.written = Some((record.clone(), now));
        Some(record)
    }

    /// When to look for a due record next; none while there is no demand.
    pub(super) fn next_due(&self) -> Option<Boot> {
        let (_, at) = self.written.as_ref()?;
        Some(*at + CHANGE_MIN)
    }
}

/// Time between two records of an instance, if `sharers` instances write to the log.
fn renewal_interval(sharers: usize) -> Duration {
    let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
    let interval = APPEND_BUDGET.saturating_mul(sharers);
    interval.clamp(RENEWAL_MIN, RENEWAL_MAX)
}

/// Rounds a number of requests to a demand, which changes seldom: a change may take a second to
/// have an effect at all instances.
fn rounded_demand(count: u32, before: Option<u32>) -> u32 {
    match before {
        Some(before) if count <= before && count > before / (DEMAND_STEP * 2) => before,
        _ => {
            let mut demand = 1;
            while demand < count {
                demand *= DEMAND_STEP;
            }
            demand
        }
    }
}
