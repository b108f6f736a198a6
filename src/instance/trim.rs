//! Deletes the old records of a log that this instance writes to.

use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::edge::{Log, STORE_ANSWER};
use super::events::event;
use crate::boot::Boot;
use crate::ledger::ages::Ages;

/// Which records of a log are old, by when this instance's own were written.
#[derive(Debug)]
pub struct Trimmer {
    log: Log,
    kept: Duration,
    pace: Duration,
    ages: Ages,
    last: Boot,
}

impl Trimmer {
    /// Records are to be kept for `kept`, and deleted once each `pace`.
    #[must_use]
    pub fn new(log: Log, kept: Duration, pace: Duration) -> Self {
        Self {
            log,
            kept,
            pace,
            ages: Ages::default(),
            last: Boot::now(),
        }
    }

    /// Notes that the record at an offset, and all before it, were written by `now`.
    pub fn note(&mut self, now: Boot, offset: u64) {
        self.ages.note(now, offset);
    }

    /// What is to be deleted by now, if the last deletion is long enough ago.
    pub fn due(&mut self, now: Boot) -> Option<Trim> {
        if now < self.last + self.pace {
            return None;
        }
        let before = self.ages.expired(now, self.kept)?;
        self.last = now;
        let log = self.log;
        Some(Trim { log, before })
    }
}

/// A deletion that is due.
#[derive(Clone, Copy, Debug)]
pub struct Trim {
    log: Log,
    before: u64,
}

impl Trim {
    /// Deletes the records.
    pub async fn run(self, shared: &Shared) {
        let Self { log, before } = self;
        let trimmed = timeout(STORE_ANSWER, shared.store.trim(log, before)).await;
        if !matches!(trimmed, Ok(Ok(()))) {
            event!("trim_failed", "log" => format!("{log:?}"), "before" => before,
                "outcome" => format!("{trimmed:?}"));
        }
    }
}
