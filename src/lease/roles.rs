//! Lease decisions for all roles of one process, from pages of the lease stream.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::log::{LeaseFold, SnapshotClock};
use crate::wire::{LeaseBody, LeaseRecord, LogPage, Role};

use super::{Candidate, HeldLease, Step, record};

/// Time without a record or snapshot after which an expired stream is reset.
const RESET_AFTER: Duration = Duration::from_secs(60);
/// Delay from an append to the check of its result.
const RECHECK_DELAY: Duration = Duration::from_millis(500);
/// Maximum time between two decisions.
const DECISION_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// The appends due at an instant, and the time of the next decision.
#[derive(Clone, Debug, PartialEq)]
pub struct DueAppends {
    /// Records to append now.
    pub records: Vec<LeaseRecord>,
    /// When to call [`Roles::due`] again, unless a page arrives earlier.
    pub until: Instant,
}

/// The lease candidates of one process for all roles.
#[derive(Clone, Debug)]
pub struct Roles {
    fold: LeaseFold,
    candidates: BTreeMap<Role, Candidate>,
    snapshots: SnapshotClock,
    /// Since when the leases have been unknown and no new record has arrived.
    unknown_since: Option<Instant>,
    at_head: bool,
}

impl Roles {
    /// Creates the candidates of a process that has read nothing yet.
    #[must_use]
    pub fn new(roles: &[Role], holder: &str, stagger: Duration) -> Self {
        let candidate = |role: &Role| (*role, Candidate::new(*role, holder, stagger));
        Self {
            fold: LeaseFold::default(),
            candidates: roles.iter().map(candidate).collect(),
            snapshots: SnapshotClock::default(),
            unknown_since: None,
            at_head: false,
        }
    }

    /// The offset to read from.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.fold.next()
    }

    /// The held lease of a role, if it may be used at `now`.
    #[must_use]
    pub fn held(&self, role: Role, now: Instant) -> Option<HeldLease> {
        self.candidates.get(&role)?.held(now)
    }

    /// Whether the stream has been read to its head and its leases are known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.at_head && self.fold.is_known()
    }

    /// Suspends all decisions until the stream's head has been read again.
    pub fn pause(&mut self) {
        self.at_head = false;
    }

    /// Stops claiming and renewing all roles.
    pub fn shut_down(&mut self) {
        for candidate in self.candidates.values_mut() {
            candidate.shut_down();
        }
    }

    /// Leaves a role to others until `until`.
    ///
    /// No action under the role's lease may be in flight.
    pub fn step_down(&mut self, role: Role, until: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&role) {
            candidate.step_down(until);
        }
    }

    /// The release of a role to append on shutdown.
    #[must_use]
    pub fn release(&self, role: Role) -> Option<LeaseRecord> {
        self.candidates.get(&role)?.release()
    }

    /// Applies a page that was received at `received`.
    pub fn apply_page(&mut self, page: &LogPage, received: Instant) {
        let before = (self.fold.is_known(), self.fold.restored());
        let changes = self.fold.apply_page(page);
        if before != (self.fold.is_known(), self.fold.restored()) {
            for (role, candidate) in &mut self.candidates {
                candidate.adopt(self.fold.lease(*role), received);
            }
        }
        for change in changes {
            let lease = self.fold.lease(change.role);
            let candidate = self.candidates.get_mut(&change.role);
            if let (Some(candidate), Some(lease)) = (candidate, lease) {
                candidate.observe(&change, lease, received);
            }
        }
        self.snapshots.observe(page, self.fold.snapshot_at());
        self.at_head = self.fold.next() >= page.next;
        if self.fold.is_known() {
            self.unknown_since = None;
        } else if self.unknown_since.is_none() || !page.records.is_empty() {
            self.unknown_since = Some(received);
        }
    }

    /// Returns the appends due at `now`.
    ///
    /// A role that is not `eligible` is not claimed, but still renewed while held.
    pub fn due(&mut self, now: Instant, eligible: impl Fn(Role) -> bool) -> DueAppends {
        let mut due = DueAppends {
            records: Vec::new(),
            until: now + DECISION_INTERVAL_MAX,
        };
        if !self.at_head {
            return due;
        }
        if !self.fold.is_known() {
            due.records.extend(self.reset(now));
            return due;
        }
        for (role, candidate) in &mut self.candidates {
            if !eligible(*role) && !candidate.is_holder() {
                continue;
            }
            match candidate.step(now) {
                Step::Append(record) => due.records.push(record),
                Step::Wait(instant) => due.until = due.until.min(instant),
            }
        }
        due.records.extend(self.snapshot(now));
        if !due.records.is_empty() {
            due.until = due.until.min(now + RECHECK_DELAY);
        }
        due
    }

    /// An empty snapshot, which resets a stream whose records have all expired.
    fn reset(&mut self, now: Instant) -> Option<LeaseRecord> {
        self.unknown_since
            .filter(|since| now >= *since + RESET_AFTER)?;
        self.unknown_since = Some(now);
        Some(record(LeaseBody::Snapshot {
            leases: Vec::new(),
            upto: self.fold.next(),
        }))
    }

    /// The snapshot to append, if due; only the holder of the servers' role writes snapshots.
    fn snapshot(&mut self, now: Instant) -> Option<LeaseRecord> {
        self.held(Role::Servers, now)?;
        let is_due = self.snapshots.take_due(self.fold.next(), now);
        is_due.then(|| record(self.fold.snapshot()))
    }
}
