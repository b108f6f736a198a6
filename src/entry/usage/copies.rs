//! Copies of peers' usage counters, appended to the log if the peer fails.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::names::Incarnation;
use crate::wire::UsageRecord;

use super::UsageBatch;

/// Age of a copy at which its counters are appended in the peer's place.
///
/// A running peer replaces or clears its copy well before.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// The latest batch of a peer.
#[derive(Clone, Debug)]
struct Copy {
    seq: u64,
    batch: UsageBatch,
    received: Instant,
}

/// The latest counters of each peer that the log may not hold yet.
#[derive(Debug, Default)]
pub struct UsageCopies {
    copies: Mutex<BTreeMap<Incarnation, Copy>>,
}

impl UsageCopies {
    /// Stores a peer's batch in place of its earlier ones.
    ///
    /// A batch without counts means that the log holds all of them, so the copy is removed.
    pub fn keep(&self, peer: &Incarnation, seq: u64, batch: UsageBatch, now: Instant) {
        let mut copies = self.copies.lock();
        if copies.get(peer).is_some_and(|known| known.seq >= seq) {
            return;
        }
        if batch.counts.is_empty() {
            copies.remove(peer);
            return;
        }
        let copy = Copy {
            seq,
            batch,
            received: now,
        };
        copies.insert(peer.clone(), copy);
    }

    /// Returns the records to append now in place of peers that stopped sending copies.
    #[must_use]
    pub fn due(&self, now: Instant) -> Vec<(Incarnation, UsageRecord)> {
        let copies = self.copies.lock();
        let silent = copies
            .iter()
            .filter(|(_, copy)| now >= copy.received + COPY_TIMEOUT);
        let record = |(peer, copy): (&Incarnation, &Copy)| {
            let record = copy.batch.record(peer, copy.seq);
            (peer.clone(), record)
        };
        silent.map(record).collect()
    }

    /// Removes the copy whose `record` was appended, unless a newer copy arrived.
    pub fn forget(&self, peer: &Incarnation, record: &UsageRecord) {
        let crate::wire::UsageBody::Counters { seq, .. } = &record.body else {
            return;
        };
        let mut copies = self.copies.lock();
        if copies.get(peer).is_some_and(|known| known.seq == *seq) {
            copies.remove(peer);
        }
    }
}
