//! State folded from the counter log: requests by usage window, and the processes that still
//! add to them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::record::{CounterRecord, Counts, Incarnation};
use crate::boot::Boot;

/// Counters are kept for the newest usage window and this many windows before it.
const WINDOWS_KEPT: u64 = 16;

/// The newest record of one process in the counter log.
#[derive(Clone, Copy, Debug)]
struct Writer {
    /// Unix time in milliseconds at which the record was written.
    wall: u64,
    /// When this process read the record.
    last_heard: Boot,
}

/// Request counters of all processes, as read from the counter log.
#[derive(Debug, Default)]
pub struct Counters {
    /// Counters by window and process. They are cumulative: a newer record replaces an older one.
    windows: BTreeMap<u64, HashMap<Incarnation, Counts>>,
    writers: HashMap<Incarnation, Writer>,
}

impl Counters {
    /// Applies a record that was read at `received`.
    pub fn apply(&mut self, counted: CounterRecord, received: Boot) {
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
            last_heard: received,
        };
        self.writers.insert(counted.incarnation, writer);
        let windows = &self.windows;
        let has_counts =
            |process: &Incarnation| windows.values().any(|window| window.contains_key(process));
        self.writers
            .retain(|incarnation, _| has_counts(incarnation));
    }

    /// Requests by tenant that all processes have counted so far in a usage window.
    #[must_use]
    pub fn counts(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        let counters = self.windows.get(&window);
        for counts in counters.into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Whether a live process may have counted requests of a usage window but not written them yet.
    ///
    /// This holds if a process that counted in the window was heard from within `limit` before
    /// `now`, and has written nothing since Unix time `settled`, in milliseconds.
    #[must_use]
    pub fn is_behind(&self, window: u64, settled: u64, now: Boot, limit: Duration) -> bool {
        let mut counting = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::keys);
        counting.any(|incarnation| {
            let writer = self.writers.get(incarnation);
            writer.is_some_and(|writer| writer.wall < settled && now < writer.last_heard + limit)
        })
    }
}
