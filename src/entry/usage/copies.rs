//! Copies of peers' counters, appended when the peer dies.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::names::Incarnation;
use crate::wire::UsageRecord;

use super::UsageBatch;

/// A peer's latest batch.
#[derive(Clone, Debug)]
struct Copy {
    seq: u64,
    batch: UsageBatch,
}

/// The latest counters of peers that the log may not hold yet.
#[derive(Debug, Default)]
pub struct UsageCopies {
    copies: Mutex<BTreeMap<Incarnation, Copy>>,
}

impl UsageCopies {
    /// Keeps a peer's batch in place of its earlier ones.
    pub fn keep(&self, incarnation: &Incarnation, seq: u64, batch: UsageBatch) {
        let mut copies = self.copies.lock();
        if copies.get(incarnation).is_none_or(|known| known.seq < seq) {
            copies.insert(incarnation.clone(), Copy { seq, batch });
        }
    }

    /// The record to append for a peer that died; nothing when its counts are in the log.
    #[must_use]
    pub fn record(&self, incarnation: &Incarnation) -> Option<UsageRecord> {
        let copies = self.copies.lock();
        let copy = copies.get(incarnation)?;
        if copy.batch.counts.is_empty() {
            return None;
        }
        Some(copy.batch.record(incarnation, copy.seq))
    }

    /// Drops the copy of a peer whose record the log took.
    pub fn forget(&self, incarnation: &Incarnation) {
        self.copies.lock().remove(incarnation);
    }

    /// The peers whose counters are kept.
    #[must_use]
    pub fn peers(&self) -> Vec<Incarnation> {
        self.copies.lock().keys().cloned().collect()
    }
}
