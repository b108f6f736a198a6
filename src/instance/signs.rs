//! Signs of life of this instance, and renewals of the leases that it holds.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::edge::Log;
use super::trim::Trimmer;
use crate::boot::Boot;
use crate::ledger::record::{Record, Renewal, Sign, Subject};
use crate::util::{millis, unix_ms};

/// Time between two renewals: four within the time for which a lease is held.
const RENEW_PACE: Duration = Duration::from_millis(400);
/// Time between two signs of life.
const SIGN_PACE: Duration = Duration::from_millis(800);
/// Usage windows whose counters are sent along.
const WINDOWS_SENT: u64 = 4;
/// Renewals whose times are remembered.
const RENEWALS_KEPT: usize = 64;

/// Time for which signs of life are kept: longer than a usage window takes to be fixed.
const KEPT: Duration = Duration::from_secs(20);
/// Time between two deletions of old signs of life.
const TRIM_PACE: Duration = Duration::from_secs(10);

/// Writes signs of life, for ever.
pub async fn sign(shared: Rc<Shared>) {
    let mut trimmer = Trimmer::new(Log::Signs, KEPT, TRIM_PACE);
    loop {
        let made = Boot::now();
        // The next one waits for this one, so that none pile up while the store is away; an
        // error means that the process ends.
        if let Ok(ack) = shared.sign_writer.push(&own_sign(&shared)).await {
            trimmer.note(made, ack.offset);
        }
        // One or two instances hold a lease, which is enough to delete old signs.
        if let Some(trim) = trimmer.due(made)
            && !own_leases(&shared).is_empty()
        {
            trim.run(&shared).await;
        }
        let left = (made + SIGN_PACE).left(Boot::now());
        // Whichever comes first.
        let _ = timeout(left, shared.sign.notified()).await;
    }
}

/// Renews the leases that are held, for ever.
pub async fn renew(shared: Rc<Shared>) {
    let mut number = 0;
    loop {
        let made = Boot::now();
        let leases = own_leases(&shared);
        if !leases.is_empty() {
            number += 1;
            remember(&shared, number, made);
            let renewal = Renewal {
                node: shared.settings.name.clone(),
                incarnation: shared.incarnation.clone(),
                number,
                leases,
            };
            // As for signs of life.
            let _ = shared.writer.push(&Record::Renewal(renewal)).await;
        }
        let left = (made + RENEW_PACE).left(Boot::now());
        // Whichever comes first.
        let _ = timeout(left, shared.renew.notified()).await;
    }
}

fn remember(shared: &Shared, number: u64, made: Boot) {
    let mut renewals = shared.renewals.borrow_mut();
    renewals.insert(number, made);
    while renewals.len() > RENEWALS_KEPT {
        renewals.pop_first();
    }
}

fn own_leases(shared: &Shared) -> BTreeMap<Subject, u64> {
    let fold = shared.fold.borrow();
    let leases = fold.leases.iter();
    let own =
        leases.filter(|(_, lease)| lease.incarnation == shared.incarnation && !lease.released);
    own.map(|(subject, lease)| (subject.clone(), lease.fence))
        .collect()
}

fn own_sign(shared: &Shared) -> Sign {
    let wall = unix_ms();
    let window = wall / millis(shared.settings.bounds.window).max(1);
    let mut usage = shared.usage.borrow_mut();
    *usage = usage.split_off(&window.saturating_sub(WINDOWS_SENT));
    Sign {
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation.clone(),
        front: shared.settings.front,
        zone: shared.settings.zone.clone(),
        ready: shared.is_ready(Boot::now()),
        capacity: shared.settings.capacity,
        wall,
        counts: usage.clone(),
    }
}
