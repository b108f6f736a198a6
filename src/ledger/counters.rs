//! The fold of the log of counters: requests by usage window, and who may still add to them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::record::{Counted, Counts, Incarnation};
use crate::boot::Boot;

/// Usage windows before the newest one whose counters are remembered.
const WINDOWS_KEPT: u64 = 16;

/// What the log shows of one process's counters.
#[derive(Clone, Copy, Debug)]
struct Writer {
    /// Unix time in milliseconds of its newest record.
    wall: u64,
    /// When that was read here.
    heard: Boot,
}

/// The counters that the log shows.
#[derive(Debug, Default)]
pub struct Counters {
    /// Counters by window and writer; the newest record of a writer has them all.
    windows: BTreeMap<u64, HashMap<Incarnation, Counts>>,
    writers: HashMap<Incarnation, Writer>,
}

impl Counters {
    /// Applies a record that was read at `received`.
    pub fn apply(&mut self, counted: Counted, received: Boot) {
        for (window, counts) in counted.counts {
            let counters = self.windows.entry(window).or_default();
            counters.insert(counted.incarnation.clone(), counts);
        }
        if let Some((newest, _)) = self.windows.last_key_value() {
            let oldest = newest.saturating_sub(WINDOWS_KEPT);
            self.windows = self.windows.split_off(&oldest);
        }
        let writer = Writer {
            wall: counted.wall,
            heard: received,
        };
        self.writers.insert(counted.incarnation, writer);
        let windows = &self.windows;
        let counts = |one: &Incarnation| windows.values().any(|window| window.contains_key(one));
        self.writers.retain(|incarnation, _| counts(incarnation));
    }

    /// Figures of a usage window as counted so far.
    #[must_use]
    pub fn counted(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        let counters = self.windows.get(&window);
        for counts in counters.into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Whether a process that counted in a window, and was heard within `limit` before `now`,
    /// has written nothing since Unix time `settled`.
    #[must_use]
    pub fn is_behind(&self, window: u64, settled: u64, now: Boot, limit: Duration) -> bool {
        let mut counting = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::keys);
        counting.any(|incarnation| {
            let writer = self.writers.get(incarnation);
            writer.is_some_and(|writer| writer.wall < settled && now < writer.heard + limit)
        })
    }
}
