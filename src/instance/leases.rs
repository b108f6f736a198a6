//! Claims the leases that nobody holds, and gives them up on the way out.

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

/// Time between two looks at the leases.
const LOOK: Duration = Duration::from_millis(100);
/// What each instance waits longer than the one that ranks before it.
const STAGGER: Duration = Duration::from_millis(250);
/// Longest stagger, however many instances there are.
const STAGGER_MAX: Duration = Duration::from_millis(1500);
/// Silence after which an instance is no longer ranked.
pub const SILENCE: Duration = Duration::from_millis(2500);

/// The leases that there are to hold.
#[must_use]
pub fn subjects(shared: &Shared) -> Vec<Subject> {
    let mut subjects = Vec::new();
    if shared.settings.duties.usage {
        subjects.push(Subject::Usage);
    }
    subjects.extend(services(shared));
    subjects
}

/// The leases of services that make samples.
fn services(shared: &Shared) -> impl Iterator<Item = Subject> {
    let deployment = shared.deployment();
    let known = deployment.iter().flat_map(|known| &known.services);
    let engines = known.filter(|(_, service)| service.engine.is_some());
    let subjects: Vec<Subject> = engines
        .map(|(name, _)| Subject::Service(name.clone()))
        .collect();
    subjects.into_iter()
}

/// Claims leases as they fall free, for ever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        sleep(LOOK).await;
        if shared.leaving.get().is_some() {
            return;
        }
        for subject in subjects(&shared) {
            claim(&shared, subject).await;
        }
    }
}

/// Whether this process holds a lease, in time or not.
fn holds_any(shared: &Shared) -> bool {
    let fold = shared.fold.borrow();
    let mut leases = fold.leases.values();
    leases.any(|lease| lease.incarnation == shared.incarnation && !lease.released)
}

/// Whether this process leads a service.
#[must_use]
pub fn leads_service(shared: &Shared) -> bool {
    let mut subjects = services(shared);
    subjects.any(|subject| shared.leads(&subject))
}

/// Whether this instance would be among the first to claim one of the leases.
///
/// `None` while it cannot tell: instances that start together know only themselves at first.
fn is_next(shared: &Shared, subjects: impl IntoIterator<Item = Subject>) -> Option<bool> {
    let contact = shared.contacts.borrow().signs;
    let settled = contact.since + SILENCE;
    contact.seen.filter(|seen| settled <= *seen)?;
    let mut subjects = subjects.into_iter();
    Some(subjects.any(|subject| before(shared, &subject) == 0))
}

/// Whether this instance is among those that keep ready to lead a service.
#[must_use]
pub fn is_standby(shared: &Shared) -> bool {
    is_next(shared, services(shared)) == Some(true)
}

/// Whether this instance has to know of changes of leases at once.
#[must_use]
pub fn watches(shared: &Shared) -> bool {
    holds_any(shared) || is_next(shared, subjects(shared)) != Some(false)
}

async fn claim(shared: &Shared, subject: Subject) {
    let contact = shared.contacts.borrow().ledger;
    let Some(seen) = contact.seen.filter(|_| shared.is_ready(Boot::now())) else {
        return;
    };
    let succeeds = {
        let fold = shared.fold.borrow();
        let lease = fold.leases.get(&subject);
        if lease.is_some_and(|lease| lease.incarnation == shared.incarnation && !lease.released) {
            return;
        }
        let stagger = stagger(shared, &subject);
        let span = shared.settings.bounds.lease;
        if !may_claim(
            lease,
            &shared.settings.name,
            seen,
            contact.since,
            stagger,
            span,
        ) {
            return;
        }
        lease.map(|lease| lease.last)
    };
    event!("lease_claim", "subject" => subject, "seen_ms_ago" => Boot::now().since(seen).as_millis());
    let record = Record::Claim {
        subject: subject.clone(),
        incarnation: shared.incarnation.clone(),
        node: shared.settings.name.clone(),
        succeeds,
    };
    // A claim whose answer is late shows in the log all the same.
    let _ = timeout(Duration::from_secs(1), shared.writer.push(&record)).await;
    let folded = Boot::now() + Duration::from_secs(1);
    while Boot::now() < folded {
        let last = shared
            .fold
            .borrow()
            .leases
            .get(&subject)
            .map(|lease| lease.last);
        if last != succeeds {
            break;
        }
        let _ = timeout(LOOK, shared.changed.notified()).await;
    }
    if shared.leads(&subject) {
        event!("lease_won", "subject" => subject);
        shared.renew.notify_one();
    }
}

/// Keeps claimants apart: the instance with the largest share of a core claims first, and
/// among equals the one that ranks first for the subject.
fn stagger(shared: &Shared, subject: &Subject) -> Duration {
    let before = u32::try_from(before(shared, subject)).unwrap_or(u32::MAX);
    STAGGER.saturating_mul(before).min(STAGGER_MAX)
}

/// Instances known here that claim a lease before this one.
fn before(shared: &Shared, subject: &Subject) -> usize {
    let contact = shared.contacts.borrow().signs;
    let seen = contact.seen.unwrap_or_default();
    let members = shared.members.borrow();
    let place = |capacity: u32, name: &str| (Reverse(capacity), rank(subject, name));
    let own = place(shared.settings.capacity, &shared.settings.name);
    let alive = members.alive(seen, contact.since, SILENCE);
    let before = alive.filter(|(name, member)| member.ready && place(member.capacity, name) < own);
    before.count()
}

/// Gives up all leases of this process.
pub fn release(shared: &Shared) {
    let mut fold = shared.fold.borrow_mut();
    for (subject, lease) in &mut fold.leases {
        if lease.incarnation == shared.incarnation && !lease.released {
            // From here on it is not used, whenever the record lands.
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
