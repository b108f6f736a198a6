//! Folds the lease stream: the holder of each role follows from claims in log order.

use std::collections::BTreeMap;

use crate::wire::{LeaseBody, LeaseEntry, LeaseRecord, LogPage, Role};

/// One role's lease according to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Offset of the claim that won, which is the fencing token.
    pub claim: u64,
    /// Incarnation of the process that claimed the lease.
    pub holder: String,
    /// Offset of the last claim, renewal or release that took effect.
    pub last: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// A record that took effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseChange {
    /// The role whose lease changed.
    pub role: Role,
    /// The record's id.
    pub id: String,
}

/// Folds the lease stream.
///
/// A claim takes effect only if it names the role's last effective record as the one that it
/// succeeds. A claim whose writer had not read a preceding renewal therefore loses.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    next: u64,
    unknown: bool,
    restore_count: u64,
    snapshot_offset: Option<u64>,
    leases: BTreeMap<Role, Lease>,
}

impl LeaseFold {
    /// Offset after the last folded record.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the leases are known; false from a gap until a snapshot closes it.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.unknown
    }

    /// The number of times that leases were restored from a snapshot.
    #[must_use]
    pub fn restored(&self) -> u64 {
        self.restore_count
    }

    /// Offset of the last snapshot record read.
    #[must_use]
    pub fn snapshot_at(&self) -> Option<u64> {
        self.snapshot_offset
    }

    /// The lease of a role; none if the role was never claimed or leases are unknown.
    #[must_use]
    pub fn lease(&self, role: Role) -> Option<&Lease> {
        self.leases.get(&role)
    }

    /// The leases as a snapshot record's body.
    #[must_use]
    pub fn snapshot(&self) -> LeaseBody {
        let leases = self.leases.iter().map(|(role, lease)| LeaseEntry {
            claim: lease.claim,
            holder: lease.holder.clone(),
            last: lease.last,
            released: lease.released,
            role: *role,
        });
        LeaseBody::Snapshot {
            leases: leases.collect(),
            upto: self.next,
        }
    }

    /// Folds a page and returns the records that took effect, in order.
    ///
    /// A page that starts after the last folded record leaves a gap. Leases are then unknown
    /// until a snapshot closes the gap; the next read starts at the snapshot's `upto`.
    pub fn apply_page(&mut self, page: &LogPage) -> Vec<LeaseChange> {
        if page.first > self.next {
            self.unknown = true;
            self.leases.clear();
            self.next = page.first;
        }
        let mut changes = Vec::new();
        for entry in &page.records {
            if entry.offset < self.next {
                continue;
            }
            let known = self.is_known();
            changes.extend(self.apply(entry.offset, &entry.data, page.first));
            if known != self.is_known() {
                break;
            }
        }
        changes
    }

    fn apply(&mut self, offset: u64, data: &str, first: u64) -> Option<LeaseChange> {
        self.next = offset + 1;
        let Ok(record) = serde_json::from_str::<LeaseRecord>(data) else {
            spdlog::warn!("unreadable lease record skipped", kv: { offset });
            return None;
        };
        if let LeaseBody::Snapshot { leases, upto } = record.body {
            self.fold_snapshot(offset, upto, leases, first);
            return None;
        }
        if self.unknown {
            return None;
        }
        let role = self.fold(offset, record.body)?;
        Some(LeaseChange {
            role,
            id: record.id,
        })
    }

    /// Folds a record and returns its role if the record took effect.
    fn fold(&mut self, offset: u64, body: LeaseBody) -> Option<Role> {
        match body {
            LeaseBody::Claim {
                holder,
                role,
                succeeds,
            } => {
                let last = self.leases.get(&role).map(|lease| lease.last);
                let lease = Lease {
                    claim: offset,
                    holder,
                    last: offset,
                    released: false,
                };
                (last == succeeds).then(|| self.leases.insert(role, lease))?;
                Some(role)
            }
            LeaseBody::Renew { claim, role } => self.renew_or_release(offset, role, claim, false),
            LeaseBody::Release { claim, role } => self.renew_or_release(offset, role, claim, true),
            LeaseBody::Snapshot { .. } => None,
        }
    }

    /// Applies a renewal or release by the current holder.
    fn renew_or_release(
        &mut self,
        offset: u64,
        role: Role,
        claim: u64,
        release: bool,
    ) -> Option<Role> {
        let lease = self.leases.get_mut(&role)?;
        if lease.claim != claim || lease.released {
            return None;
        }
        lease.last = offset;
        lease.released = release;
        Some(role)
    }

    /// Restores a snapshot that closes a gap, or an empty one that resets the stream.
    fn fold_snapshot(&mut self, offset: u64, upto: u64, leases: Vec<LeaseEntry>, first: u64) {
        self.snapshot_offset = self.snapshot_offset.max(Some(offset));
        let is_reset = leases.is_empty() && upto == offset;
        if !is_reset && (!self.unknown || upto < first || upto > offset) {
            return;
        }
        self.unknown = false;
        self.restore_count += 1;
        self.leases = leases.into_iter().map(lease_from_entry).collect();
        // Records from `upto` to the snapshot record are not part of it and are read again.
        self.next = if is_reset { offset + 1 } else { upto };
    }
}

fn lease_from_entry(entry: LeaseEntry) -> (Role, Lease) {
    let lease = Lease {
        claim: entry.claim,
        holder: entry.holder,
        last: entry.last,
        released: entry.released,
    };
    (entry.role, lease)
}
