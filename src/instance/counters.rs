//! Periodically writes this instance's request counters to the log, for usage reports.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Shared;
use crate::boot::Boot;
use crate::duty::usage::SETTLE_TIME;
use crate::ledger::record::{CounterRecord, Counts};
use crate::util::{millis, unix_ms};

/// Minimum time between two records of an instance. A killed process loses the counts since its
/// last record.
const INTERVAL_MIN: Duration = Duration::from_millis(800);
/// Time budgeted per instance for one append to the shared log.
///
/// The write interval grows with the number of instances. Since each of them then counts a smaller
/// share of all requests, a killed instance still loses only a small share.
const APPEND_BUDGET: Duration = Duration::from_millis(10);
/// Number of earlier usage windows whose counters each record repeats.
const WINDOWS_SENT: u64 = 4;

/// Time between two counter records of one instance, given the number of instances.
#[must_use]
pub fn write_interval(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    APPEND_BUDGET.saturating_mul(instances).max(INTERVAL_MIN)
}

/// The counters that an instance wrote last, and when.
#[derive(Clone, Debug, Default)]
pub struct LastWrite {
    counts: BTreeMap<u64, Counts>,
    /// Unix time of the write, in milliseconds.
    wall: u64,
}

impl LastWrite {
    /// Creates the state after a write at Unix time `wall`, in milliseconds.
    #[must_use]
    pub fn new(counts: BTreeMap<u64, Counts>, wall: u64) -> Self {
        Self { counts, wall }
    }

    /// Whether a write is due at Unix time `wall`.
    ///
    /// A write is due if requests were counted or a usage window settled since the last write.
    /// `wall` and the window length `length` are in milliseconds.
    #[must_use]
    pub fn is_due(&self, counts: &BTreeMap<u64, Counts>, wall: u64, length: u64) -> bool {
        let settles_at = |window: &u64| (window + 1) * length + millis(SETTLE_TIME);
        let settles = |window: &u64| (self.wall..wall).contains(&settles_at(window));
        *counts != self.counts || counts.keys().any(settles)
    }
}

/// Writes the counters whenever a write is due; never returns.
pub async fn run(shared: Rc<Shared>) {
    let length = millis(shared.settings.bounds.window).max(1);
    let mut last = LastWrite::default();
    loop {
        let made = Boot::now();
        let wall = unix_ms();
        let counts = {
            let oldest = (wall / length).saturating_sub(WINDOWS_SENT);
            let mut usage = shared.usage.borrow_mut();
            *usage = usage.split_off(&oldest);
            usage.clone()
        };
        if last.is_due(&counts, wall, length) {
            let counted = CounterRecord {
                incarnation: shared.incarnation.clone(),
                wall,
                counts: counts.clone(),
            };
            // Waits for the append, so that writes do not pile up. An error means that the process
            // is shutting down.
            let _ = shared.counter_writer.push(&counted).await;
            last = LastWrite::new(counts, wall);
        }
        sleep((made + write_interval(shared.instances())).left(Boot::now())).await;
    }
}
