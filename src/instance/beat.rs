//! Signs of life of this instance in the log; they renew its leases.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use crate::boot::Boot;
use crate::ledger::record::{Beat, Record, Subject};
use crate::util::{millis, unix_ms};

/// Time between two signs of life of an instance that holds a lease.
const HOLDER_PACE: Duration = Duration::from_millis(400);
/// Time between two signs of life of another instance.
pub const PACE: Duration = Duration::from_millis(800);
/// Usage windows whose counters are sent along.
const WINDOWS_SENT: u64 = 4;

/// Signs of life whose times are remembered.
const BEATS_KEPT: usize = 64;

/// Writes signs of life, for ever.
pub async fn run(shared: Rc<Shared>) {
    let mut number = 0;
    loop {
        let leases = own_leases(&shared);
        let pace = if leases.is_empty() { PACE } else { HOLDER_PACE };
        let made = Boot::now();
        number += 1;
        remember(&shared, number, made);
        let beat = beat(&shared, number, leases);
        // The next one waits for this one, so that none pile up while the store is away; an
        // error means that the process ends.
        let _ = shared.writer.push(&Record::Beat(beat)).await;
        let left = (made + pace).left(Boot::now());
        // Whichever comes first.
        let _ = timeout(left, shared.beat.notified()).await;
    }
}

fn remember(shared: &Shared, number: u64, made: Boot) {
    let mut beats = shared.beats.borrow_mut();
    beats.insert(number, made);
    while beats.len() > BEATS_KEPT {
        beats.pop_first();
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

fn beat(shared: &Shared, number: u64, leases: BTreeMap<Subject, u64>) -> Beat {
    let wall = unix_ms();
    let window = wall / millis(shared.settings.bounds.window).max(1);
    let mut usage = shared.usage.borrow_mut();
    *usage = usage.split_off(&window.saturating_sub(WINDOWS_SENT));
    Beat {
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation.clone(),
        number,
        front: shared.settings.front,
        zone: shared.settings.zone.clone(),
        ready: shared.is_ready(Boot::now()),
        capacity: shared.settings.capacity,
        wall,
        leases,
        counts: usage.clone(),
    }
}
