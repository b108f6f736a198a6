//! Sends this instance's heartbeats, and renews the leases that it holds.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::settings::InstanceSettings;
use crate::boot::Boot;
use crate::ledger::record::{Heartbeat, Record, Renewal, Subject};

/// Time between two lease renewals; four fit into the time for which a lease is held.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two heartbeats.
const INTERVAL_MIN: Duration = Duration::from_millis(800);
/// Maximum time between two heartbeats; two fit into `HEARTBEAT_TIMEOUT`, after which an instance
/// counts as gone.
const INTERVAL_MAX: Duration = Duration::from_millis(1200);
/// Time budgeted per heartbeat in a partition: twice what the platform states for an append.
const APPEND_BUDGET: Duration = Duration::from_millis(8);
/// Number of renewals whose times are remembered.
const RENEWALS_KEPT: usize = 64;

/// Number of heartbeat partitions: one per availability zone, if the store has as many.
#[must_use]
pub fn partitions(settings: &InstanceSettings) -> usize {
    let limit = usize::try_from(settings.partitions).unwrap_or(usize::MAX);
    settings.zones.len().clamp(1, limit.max(1))
}

/// Number of ready instances in the own partition from which on no other partition is followed.
const READY_ENOUGH: usize = 6;

/// Whether to follow other partitions' heartbeats, given `ready` instances in the own one.
///
/// Hundreds of instances send a heartbeat about once a second, and each instance reads all those
/// that it follows. Callers are sent to instances in their own availability zone, so an instance
/// needs to know other zones' instances only while its own zone has few.
#[must_use]
pub fn follows_others(ready: usize) -> bool {
    ready < READY_ENOUGH
}

/// The partition of this instance's heartbeats.
#[must_use]
pub fn partition(settings: &InstanceSettings) -> u32 {
    let zones = settings.zones.iter();
    let at = zones.clone().position(|zone| *zone == settings.zone);
    let part = at.unwrap_or_default() % partitions(settings);
    u32::try_from(part).unwrap_or_default()
}

/// The heartbeat partitions other than this instance's own.
pub fn others(settings: &InstanceSettings) -> impl Iterator<Item = u32> {
    let own = partition(settings);
    let count = u32::try_from(partitions(settings)).unwrap_or(u32::MAX);
    (0..count).filter(move |part| *part != own)
}

/// Time between two heartbeats of an instance, if `count` instances share its partition.
#[must_use]
pub fn interval(count: usize) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    APPEND_BUDGET
        .saturating_mul(count)
        .clamp(INTERVAL_MIN, INTERVAL_MAX)
}

/// Sends heartbeats; never returns.
pub async fn send_heartbeats(shared: Rc<Shared>) {
    loop {
        let made = Boot::now();
        // Waits for the append, so that heartbeats do not pile up while the store is away. An
        // error means that the process is shutting down.
        let _ = shared.heartbeat_writer.push(&own_heartbeat(&shared)).await;
        let interval = interval(shared.partition_instances());
        let left = (made + interval).left(Boot::now());
        // Waits out the interval, unless a heartbeat is requested at once.
        let _ = timeout(left, shared.heartbeat_due.notified()).await;
    }
}

/// Renews the leases that this process holds; never returns.
pub async fn renew_leases(shared: Rc<Shared>) {
    let mut number = 0;
    loop {
        let made = Boot::now();
        let leases = own_leases(&shared);
        if !leases.is_empty() {
            number += 1;
            remember_renewal(&shared, number, made);
            let renewal = Renewal {
                node: shared.settings.name.clone(),
                incarnation: shared.incarnation.clone(),
                number,
                leases,
            };
            // Waits for the append for the same reason as in `send_heartbeats`.
            let _ = shared.writer.push(&Record::Renewal(renewal)).await;
        }
        let left = (made + RENEW_INTERVAL).left(Boot::now());
        // Waits out the interval, unless a renewal is requested at once.
        let _ = timeout(left, shared.renewal_due.notified()).await;
    }
}

fn remember_renewal(shared: &Shared, number: u64, made: Boot) {
    let mut renewals = shared.renewals.borrow_mut();
    renewals.insert(number, made);
    while renewals.len() > RENEWALS_KEPT {
        renewals.pop_first();
    }
}

fn own_leases(shared: &Shared) -> BTreeMap<Subject, u64> {
    let ledger = shared.ledger.borrow();
    let leases = ledger.leases.iter();
    let own =
        leases.filter(|(_, lease)| lease.incarnation == shared.incarnation && !lease.released);
    own.map(|(subject, lease)| (subject.clone(), lease.fence))
        .collect()
}

fn own_heartbeat(shared: &Shared) -> Heartbeat {
    Heartbeat {
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation.clone(),
        front: shared.settings.front,
        zone: shared.settings.zone.clone(),
        ready: shared.is_ready(Boot::now()),
        capacity: shared.settings.capacity,
    }
}
