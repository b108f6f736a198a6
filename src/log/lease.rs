//! The fold of the lease stream: who holds each role, by claims in log order.

use std::collections::BTreeMap;

use crate::wire::{LeaseBody, LeaseEntry, LeaseRecord, LogPage, Role};

/// One role's lease as the log has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Offset of the claim that won, which is the fencing number.
    pub claim: u64,
    /// Incarnation of the process that claimed it.
    pub holder: String,
    /// Offset of the last claim, renewal or release that counted.
    pub last: u64,
    /// Whether its holder gave it up.
    pub released: bool,
}

/// A record that counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseChange {
    /// The role that it is about.
    pub role: Role,
    /// The record's id.
    pub id: String,
}

/// Folds the lease stream.
///
/// A claim counts only if it succeeds the role's last record that counted. So a claim
/// made without knowledge of a renewal before it in the log loses.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    next: u64,
    unknown: bool,
    restored: u64,
    snapshot: Option<u64>,
    leases: BTreeMap<Role, Lease>,
}

impl LeaseFold {
    /// Offset after the last record folded.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the leases are known; they are not after a gap without a snapshot.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.unknown
    }

    /// How often leases were taken over from a snapshot.
    #[must_use]
    pub fn restored(&self) -> u64 {
        self.restored
    }

    /// Offset of the last snapshot read.
    #[must_use]
    pub fn snapshot_at(&self) -> Option<u64> {
        self.snapshot
    }

    /// The lease of a role; none if it was never claimed or is not known.
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

    /// Folds a page and returns the records that counted, in order.
    ///
    /// A page that starts after what was folded leaves a gap: leases are unknown until a
    /// snapshot closes it, and the next read then starts at the snapshot's offset.
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

    /// Folds a record and returns its role if it counted.
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
            LeaseBody::Renew { claim, role } => self.touch(offset, role, claim, false),
            LeaseBody::Release { claim, role } => self.touch(offset, role, claim, true),
            LeaseBody::Snapshot { .. } => None,
        }
    }

    fn touch(&mut self, offset: u64, role: Role, claim: u64, release: bool) -> Option<Role> {
        let lease = self.leases.get_mut(&role)?;
        if lease.claim != claim || lease.released {
            return None;
        }
        lease.last = offset;
        lease.released = release;
        Some(role)
    }

    /// Takes a snapshot over after a gap, or an empty one that starts the stream anew.
    fn fold_snapshot(&mut self, offset: u64, upto: u64, leases: Vec<LeaseEntry>, first: u64) {
        self.snapshot = self.snapshot.max(Some(offset));
        let anew = leases.is_empty() && upto == offset;
        if !anew && (!self.unknown || upto < first || upto > offset) {
            return;
        }
        self.unknown = false;
        self.restored += 1;
        self.leases = leases.into_iter().map(lease_of).collect();
        // Records between the snapshot's offset and its own place are read again.
        self.next = if anew { offset + 1 } else { upto };
    }
}

fn lease_of(entry: LeaseEntry) -> (Role, Lease) {
    let lease = Lease {
        claim: entry.claim,
        holder: entry.holder,
        last: entry.last,
        released: entry.released,
    };
    (entry.role, lease)
}
