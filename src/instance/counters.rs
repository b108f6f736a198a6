//! Writes what this instance counted for usage reports.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Shared;
use crate::boot::Boot;
use crate::duty::usage::SETTLE;
use crate::ledger::record::{Counted, Counts};
use crate::util::{millis, unix_ms};

/// Shortest time between two records of an instance: what a process that is killed loses.
const PACE: Duration = Duration::from_millis(800);
/// Time that the log has for each instance's record: the more instances there are, the less
/// of all requests one of them has counted.
const SHARE: Duration = Duration::from_millis(10);
/// Usage windows whose counters are sent along.
const WINDOWS_SENT: u64 = 4;

/// Time between two records of an instance where there are `instances` of them.
#[must_use]
pub fn pace(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    SHARE.saturating_mul(instances).max(PACE)
}

/// What an instance wrote of its counters last.
#[derive(Clone, Debug, Default)]
pub struct Written {
    counts: BTreeMap<u64, Counts>,
    /// Unix time in milliseconds.
    wall: u64,
}

impl Written {
    /// What was written at Unix time `wall`, in milliseconds.
    #[must_use]
    pub fn new(counts: BTreeMap<u64, Counts>, wall: u64) -> Self {
        Self { counts, wall }
    }

    /// Whether there is something to write at Unix time `wall`: new requests, or a window
    /// that has settled, windows being `length` milliseconds long.
    #[must_use]
    pub fn is_due(&self, counts: &BTreeMap<u64, Counts>, wall: u64, length: u64) -> bool {
        let settled = |window: &u64| (window + 1) * length + millis(SETTLE);
        let closes = |window: &u64| (self.wall..wall).contains(&settled(window));
        *counts != self.counts || counts.keys().any(closes)
    }
}

/// Writes counters while there are new ones, for ever.
pub async fn run(shared: Rc<Shared>) {
    let length = millis(shared.settings.bounds.window).max(1);
    let mut written = Written::default();
    loop {
        let made = Boot::now();
        let wall = unix_ms();
        let counts = {
            let oldest = (wall / length).saturating_sub(WINDOWS_SENT);
            let mut usage = shared.usage.borrow_mut();
            *usage = usage.split_off(&oldest);
            usage.clone()
        };
        if written.is_due(&counts, wall, length) {
            let counted = Counted {
                incarnation: shared.incarnation.clone(),
                wall,
                counts: counts.clone(),
            };
            // The next one waits for this one; an error means that the process ends.
            let _ = shared.counter_writer.push(&counted).await;
            written = Written::new(counts, wall);
        }
        sleep((made + pace(shared.instances())).left(Boot::now())).await;
    }
}
