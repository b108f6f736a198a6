//! Claims free leases, and releases them when the process ends.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Shared;
use super::events::event;
use crate::boot::Boot;
use crate::ledger::lease::may_claim;
use crate::ledger::record::{Record, Subject};
use crate::rank::rank;

/// Time between two checks for free leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Additional delay of each instance's claim after that of the instance ranked before it.
const CLAIM_DELAY: Duration = Duration::from_millis(250);
/// Upper limit on the delay of a claim, however many instances there are.
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(1500);
/// Time without a heartbeat after which an instance counts as gone and is no longer ranked.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

/// The subjects for which a lease can be held.
#[must_use]
pub fn subjects(shared: &Shared) -> Vec<Subject> {
    let mut subjects = Vec::new();
    if shared.settings.duties.usage {
        subjects.push(Subject::Usage);
    }
    subjects.extend(services(shared));
    subjects
}

/// The lease subjects of services that generate samples.
fn services(shared: &Shared) -> impl Iterator<Item = Subject> {
    let deployment = shared.deployment();
    let known = deployment.iter().flat_map(|known| &known.services);
    let engines = known.filter(|(_, service)| service.engine.is_some());
    let subjects: Vec<Subject> = engines
        .map(|(name, _)| Subject::Service(name.clone()))
        .collect();
    subjects.into_iter()
}

/// Claims leases as they become free, until the process leaves.
pub async fn run(shared: Rc<Shared>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if shared.leaving.get().is_some() {
            return;
        }
        for subject in subjects(&shared) {
            claim(&shared, subject).await;
        }
    }
}

/// Whether this process holds any lease according to the log, even one past its deadline.
fn holds_any(shared: &Shared) -> bool {
    let ledger = shared.ledger.borrow();
    let mut leases = ledger.leases.values();
    leases.any(|lease| lease.incarnation == shared.incarnation && !lease.released)
}

/// Whether this process leads any service according to the log.
#[must_use]
pub fn leads_service(shared: &Shared) -> bool {
    let mut subjects = services(shared);
    subjects.any(|subject| shared.holds_lease(&subject))
}

/// Whether this instance is first in line to claim one of the leases.
///
/// `None` until heartbeats have been followed for long enough: of instances that start together,
/// each knows only itself at first.
fn is_first_in_line(shared: &Shared, subjects: impl IntoIterator<Item = Subject>) -> Option<bool> {
    let contact = shared.contacts.borrow().heartbeats;
    let settled = contact.unbroken_since + HEARTBEAT_TIMEOUT;
    contact.last_read.filter(|seen| settled <= *seen)?;
    let mut subjects = subjects.into_iter();
    Some(subjects.any(|subject| claim_position(shared, &subject) == 0))
}

/// Whether this instance is first in line to lead some service, and so keeps its jobs at hand.
#[must_use]
pub fn is_standby(shared: &Shared) -> bool {
    is_first_in_line(shared, services(shared)) == Some(true)
}

/// Whether this instance must learn of lease changes promptly.
#[must_use]
pub fn needs_prompt_changes(shared: &Shared) -> bool {
    holds_any(shared) || is_first_in_line(shared, subjects(shared)) != Some(false)
}

/// Claims the lease of a subject if it is free, and waits until the log shows who won it.
async fn claim(shared: &Shared, subject: Subject) {
    let contact = shared.contacts.borrow().ledger;
    let Some(seen) = contact.last_read.filter(|_| shared.is_ready(Boot::now())) else {
        return;
    };
    let succeeds = {
        let ledger = shared.ledger.borrow();
        let lease = ledger.leases.get(&subject);
        if lease.is_some_and(|lease| lease.incarnation == shared.incarnation && !lease.released) {
            return;
        }
        let claim_delay = claim_delay(shared, &subject);
        let lease_time = shared.settings.bounds.lease;
        if !may_claim(
            lease,
            &shared.settings.name,
            seen,
            contact.unbroken_since,
            claim_delay,
            lease_time,
        ) {
            return;
        }
        lease.map(|lease| lease.last)
    };
    event!("lease_claim", "subject" => subject,
        "seen_ms_ago" => Boot::now().since(seen).as_millis());
    let record = Record::Claim {
        subject: subject.clone(),
        incarnation: shared.incarnation.clone(),
        node: shared.settings.name.clone(),
        succeeds,
    };
    // If the acknowledgement is late, the claim still shows in the log.
    let _ = timeout(Duration::from_secs(1), shared.writer.push(&record)).await;
    let deadline = Boot::now() + Duration::from_secs(1);
    while Boot::now() < deadline {
        let last = shared
            .ledger
            .borrow()
            .leases
            .get(&subject)
            .map(|lease| lease.last);
        if last != succeeds {
            break;
        }
        let _ = timeout(CHECK_INTERVAL, shared.state_changed.notified()).await;
    }
    if shared.holds_lease(&subject) {
        event!("lease_won", "subject" => subject);
        shared.renewal_due.notify_one();
    }
}

/// Delay of this instance's claim, which keeps claimants apart.
///
/// The instance with the largest share of a core claims first; among equals, the one that ranks
/// first for the subject.
fn claim_delay(shared: &Shared, subject: &Subject) -> Duration {
    let before = u32::try_from(claim_position(shared, subject)).unwrap_or(u32::MAX);
    CLAIM_DELAY.saturating_mul(before).min(CLAIM_DELAY_MAX)
}

/// Number of known instances that claim a lease before this one.
fn claim_position(shared: &Shared, subject: &Subject) -> usize {
    let contact = shared.contacts.borrow().heartbeats;
    let seen = contact.last_read.unwrap_or_default();
    let instance_table = shared.instance_table.borrow();
    let order = |capacity: u32, name: &str| (Reverse(capacity), rank(subject, name));
    let own = order(shared.settings.capacity, &shared.settings.name);
    let alive = instance_table.alive(seen, contact.unbroken_since, HEARTBEAT_TIMEOUT);
    let before =
        alive.filter(|(name, instance)| instance.ready && order(instance.capacity, name) < own);
    before.count()
}

/// Releases all leases of this process.
pub fn release(shared: &Shared) {
    let mut ledger = shared.ledger.borrow_mut();
    for (subject, lease) in &mut ledger.leases {
        if lease.incarnation == shared.incarnation && !lease.released {
            // The lease is not used from here on, even before the record is appended.
            lease.released = true;
            event!("lease_release", "subject" => subject);
            let record = Record::Release {
                subject: subject.clone(),
                fence: lease.fence,
            };
            drop(shared.writer.push(&record));
        }
    }
}
