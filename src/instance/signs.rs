//! Signs of life of this instance, and renewals of the leases that it holds.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::settings::InstanceSettings;
use crate::boot::Boot;
use crate::ledger::record::{Record, Renewal, Sign, Subject};

/// Time between two renewals: four within the time for which a lease is held.
const RENEW_PACE: Duration = Duration::from_millis(400);
/// Shortest time between two signs of life.
const SIGN_PACE: Duration = Duration::from_millis(800);
/// Longest time between two signs of life: two of them fit into the silence after which an
/// instance counts as gone.
const SIGN_PACE_MAX: Duration = Duration::from_millis(1200);
/// Time that a partition has for each sign of life: twice what the platform states for an
/// append.
const SIGN_SHARE: Duration = Duration::from_millis(8);
/// Renewals whose times are remembered.
const RENEWALS_KEPT: usize = 64;

/// Partitions that signs of life are spread over: one for each availability zone, if the
/// store has as many.
#[must_use]
pub fn partitions(settings: &InstanceSettings) -> usize {
    let most = usize::try_from(settings.partitions).unwrap_or(usize::MAX);
    settings.zones.len().clamp(1, most.max(1))
}

/// Ready instances of a zone from which on those of other zones need not be known.
const ZONE_ENOUGH: usize = 6;

/// Whether signs of life of other partitions are followed where `ready` instances of this
/// one's partition are ready.
///
/// The load pattern: hundreds of instances sign about once a second, and each reads what it
/// follows of that. Callers are sent to instances of their own availability zone, so that an
/// instance needs to know others only while its zone has few.
#[must_use]
pub fn follows_others(ready: usize) -> bool {
    ready < ZONE_ENOUGH
}

/// The partition of this instance's signs of life.
#[must_use]
pub fn partition(settings: &InstanceSettings) -> u32 {
    let zones = settings.zones.iter();
    let at = zones.clone().position(|zone| *zone == settings.zone);
    let part = at.unwrap_or_default() % partitions(settings);
    u32::try_from(part).unwrap_or_default()
}

/// The partitions of other instances' signs of life.
pub fn others(settings: &InstanceSettings) -> impl Iterator<Item = u32> {
    let own = partition(settings);
    let count = u32::try_from(partitions(settings)).unwrap_or(u32::MAX);
    (0..count).filter(move |part| *part != own)
}

/// Time between two signs of life where `count` instances share a partition.
#[must_use]
pub fn pace(count: usize) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    SIGN_SHARE
        .saturating_mul(count)
        .clamp(SIGN_PACE, SIGN_PACE_MAX)
}

/// Writes signs of life, for ever.
pub async fn sign(shared: Rc<Shared>) {
    loop {
        let made = Boot::now();
        // The next one waits for this one, so that none pile up while the store is away; an
        // error means that the process ends.
        let _ = shared.sign_writer.push(&own_sign(&shared)).await;
        let pace = pace(shared.near());
        let left = (made + pace).left(Boot::now());
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
    Sign {
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation.clone(),
        front: shared.settings.front,
        zone: shared.settings.zone.clone(),
        ready: shared.is_ready(Boot::now()),
        capacity: shared.settings.capacity,
    }
}
