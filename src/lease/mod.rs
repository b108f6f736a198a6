//! Decides when a process may claim, renew and use a lease. Pure: instants are passed in.
//!
//! [`Candidate`] decides for one role, and [`Roles`] for all roles of a process, from pages of
//! the lease stream. The tests run both unchanged over randomly generated schedules.

mod roles;
#[cfg(test)]
mod schedule;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::log::{Lease, LeaseChange};
use crate::wire::{LeaseBody, LeaseRecord, Role};

pub use roles::{DueAppends, Roles};

/// Nominal duration of a lease from its claim or last renewal.
pub const LEASE_TIME: Duration = Duration::from_secs(6);
/// Margin by which a holder stops before `LEASE_TIME` is over and a successor waits beyond it.
pub const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Time from sending a claim or renewal to the holder's deadline.
const HOLD_TIME: Duration = LEASE_TIME
    .checked_sub(DEADLINE_MARGIN)
    .expect("the margin is shorter");
/// Time from receiving a claim or renewal to a successor's claim.
const SUCCESSION_DELAY: Duration = LEASE_TIME
    .checked_add(DEADLINE_MARGIN)
    .expect("both are short");
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout after which an append without a result is repeated.
const RETRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of appends whose send instants are kept.
const SENT_MAX: usize = 8;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Offset of the claim, which is the fencing token.
    pub claim: u64,
    /// The instant from which on the lease must not be used.
    pub deadline: Instant,
}

/// The next action of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append this record; the candidate treats it as sent now.
    Append(LeaseRecord),
    /// Call [`Candidate::step`] again at this instant, or when a record arrives.
    Wait(Instant),
}

/// The lease after the last record that changed it.
#[derive(Clone, Debug)]
struct SeenLease {
    lease: Lease,
    /// When that record was received.
    received: Instant,
}

/// An append whose result is not known yet.
#[derive(Clone, Debug)]
struct SentAppend {
    id: String,
    at: Instant,
}

/// A process that competes for the lease of one role.
#[derive(Clone, Debug)]
pub struct Candidate {
    role: Role,
    holder: String,
    stagger: Duration,
    seen: Option<SeenLease>,
    held: Option<HeldLease>,
    /// When the last confirmed claim or renewal was sent.
    renewed: Option<Instant>,
    sent: VecDeque<SentAppend>,
    leaving: bool,
    /// After stepping down: until when this process does not claim the lease.
    cooldown_until: Option<Instant>,
    /// The claim that was given up. Its release may still take effect, so the claim is never used
    /// again.
    given_up: Option<u64>,
}

impl Candidate {
    /// Creates a candidate that waits `stagger` longer before it succeeds a silent holder.
    #[must_use]
    pub fn new(role: Role, holder: &str, stagger: Duration) -> Self {
        Self {
            role,
            holder: holder.to_owned(),
            stagger,
            seen: None,
            held: None,
            renewed: None,
            sent: VecDeque::new(),
            leaving: false,
            cooldown_until: None,
            given_up: None,
        }
    }

    /// The held lease, if it may be used at `now`.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|held| now < held.deadline)
    }

    /// Whether the log names this process as the holder, even past its deadline.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        let seen = self.seen.as_ref();
        seen.is_some_and(|seen| self.is_own(&seen.lease))
    }

    /// Applies a record that changed the lease and was received at `received`.
    pub fn observe(&mut self, change: &LeaseChange, lease: &Lease, received: Instant) {
        self.seen = Some(SeenLease {
            lease: lease.clone(),
            received,
        });
        if !self.is_own(lease) {
            self.held = None;
            self.renewed = None;
            return;
        }
        let sent = self.sent.iter().find(|sent| sent.id == change.id);
        let Some(at) = sent.map(|sent| sent.at) else {
            return;
        };
        if self.leaving || self.cooldown_until.is_some() {
            return;
        }
        // Appends may be confirmed in another order than they were sent in.
        let at = self.renewed.map_or(at, |renewed| renewed.max(at));
        self.renewed = Some(at);
        self.held = Some(HeldLease {
            claim: lease.claim,
            deadline: at + HOLD_TIME,
        });
        self.sent.retain(|sent| sent.at > at);
    }

    /// Resets the state to the lease that the log holds after a gap in reading.
    pub fn adopt(&mut self, lease: Option<&Lease>, received: Instant) {
        self.held = None;
        self.renewed = None;
        self.seen = lease.cloned().map(|lease| SeenLease { lease, received });
    }

    /// Stops using, claiming and renewing the lease; [`Self::release`] then releases it.
    pub fn shut_down(&mut self) {
        self.leaving = true;
        self.held = None;
    }

    /// Releases the lease, and does not claim it again before `until`.
    ///
    /// No action under the lease may be in flight.
    pub fn step_down(&mut self, until: Instant) {
        let own = self.seen.as_ref().filter(|seen| self.is_own(&seen.lease));
        self.given_up = own.map(|seen| seen.lease.claim).or(self.given_up);
        self.cooldown_until = Some(until);
        self.held = None;
        self.renewed = None;
    }

    /// The release to append on shutdown, if this process still holds the lease.
    #[must_use]
    pub fn release(&self) -> Option<LeaseRecord> {
        let lease = &self.seen.as_ref()?.lease;
        let own = self.leaving && self.is_own(lease);
        own.then(|| {
            record(LeaseBody::Release {
                claim: lease.claim,
                role: self.role,
            })
        })
    }

    /// Decides what to do at `now`.
    ///
    /// The stream must have been read to its head, and its leases must be known.
    pub fn step(&mut self, now: Instant) -> Step {
        if self.leaving {
            return Step::Wait(now + LEASE_TIME);
        }
        self.cooldown_until = self.cooldown_until.filter(|until| now < *until);
        let due = self.due(now);
        if now < due {
            return Step::Wait(due);
        }
        let record = record(self.body());
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back(SentAppend {
            id: record.id.clone(),
            at: now,
        });
        Step::Append(record)
    }

    /// The instant from which on the next record may be appended.
    fn due(&self, now: Instant) -> Instant {
        let retry = self.sent.back().map_or(now, |sent| sent.at + RETRY_TIMEOUT);
        let Some(seen) = &self.seen else {
            return self.cooldown_until.unwrap_or(retry);
        };
        if let Some(until) = self.cooldown_until {
            let is_unreleased = self.is_given_up(&seen.lease) && !seen.lease.released;
            return if is_unreleased { retry } else { until };
        }
        if self.is_own(&seen.lease) {
            return self
                .renewed
                .map_or(now, |at| at + RENEW_INTERVAL)
                .max(retry);
        }
        if seen.lease.released {
            return retry;
        }
        (seen.received + SUCCESSION_DELAY + self.stagger).max(retry)
    }

    /// The release, renewal or claim to append next.
    fn body(&self) -> LeaseBody {
        let lease = self.seen.as_ref().map(|seen| &seen.lease);
        let given_up = lease.filter(|lease| self.is_given_up(lease));
        if let Some(given_up) = given_up.filter(|_| self.cooldown_until.is_some()) {
            return LeaseBody::Release {
                claim: given_up.claim,
                role: self.role,
            };
        }
        match lease.filter(|lease| self.is_own(lease)) {
            Some(own) => LeaseBody::Renew {
                claim: own.claim,
                role: self.role,
            },
            None => LeaseBody::Claim {
                holder: self.holder.clone(),
                role: self.role,
                succeeds: lease.map(|lease| lease.last),
            },
        }
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.holder && !lease.released && !self.is_given_up(lease)
    }

    fn is_given_up(&self, lease: &Lease) -> bool {
        self.given_up == Some(lease.claim)
    }
}

fn record(body: LeaseBody) -> LeaseRecord {
    LeaseRecord {
        id: crate::util::random_id(),
        body,
    }
}
