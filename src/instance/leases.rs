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
    let deployment = shared.deployment();
    for (name, service) in deployment.iter().flat_map(|known| &known.services) {
        if service.engine.is_some() {
            subjects.push(Subject::Service(name.clone()));
        }
    }
    subjects
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
    let contact = shared.contacts.borrow().signs;
    let seen = contact.seen.unwrap_or_default();
    let members = shared.members.borrow();
    let place = |capacity: u32, name: &str| (Reverse(capacity), rank(subject, name));
    let own = place(shared.settings.capacity, &shared.settings.name);
    let alive = members.alive(seen, contact.since, SILENCE);
    let before = alive.filter(|(name, member)| member.ready && place(member.capacity, name) < own);
    let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
    STAGGER.saturating_mul(before).min(STAGGER_MAX)
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
