//! Decides which old records of a log to delete, and deletes them.

use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::events::event;
use super::interfaces::{Log, STORE_TIMEOUT};
use crate::boot::Boot;
use crate::ledger::write_times::WriteTimes;

/// Tracks the age of a log's records, and when the next deletion is due.
#[derive(Debug)]
pub struct Trimmer {
    log: Log,
    retention: Duration,
    interval: Duration,
    write_times: WriteTimes,
    last_trim: Boot,
}

impl Trimmer {
    /// Creates a trimmer that keeps records for `retention` and deletes once per `interval`.
    #[must_use]
    pub fn new(log: Log, retention: Duration, interval: Duration) -> Self {
        Self {
            log,
            retention,
            interval,
            write_times: WriteTimes::default(),
            last_trim: Boot::now(),
        }
    }

    /// Notes that all records before `offset` were written by `now`.
    pub fn note_written(&mut self, now: Boot, offset: u64) {
        self.write_times.add(now, offset);
    }

    /// Returns the deletion that is due at `now`, if any, and counts it as done.
    pub fn due(&mut self, now: Boot) -> Option<Trim> {
        if now < self.last_trim + self.interval {
            return None;
        }
        let before = self.write_times.take_expired(now, self.retention)?;
        self.last_trim = now;
        let log = self.log;
        Some(Trim { log, before })
    }
}

/// A pending deletion of the records of a log before an offset.
#[derive(Clone, Copy, Debug)]
pub struct Trim {
    log: Log,
    before: u64,
}

impl Trim {
    /// Deletes the records.
    pub async fn run(self, shared: &Shared) {
        let Self { log, before } = self;
        let trimmed = timeout(STORE_TIMEOUT, shared.store.trim(log, before)).await;
        if !matches!(trimmed, Ok(Ok(()))) {
            event!("trim_failed", "log" => format!("{log:?}"), "before" => before,
                "outcome" => format!("{trimmed:?}"));
        }
    }
}
