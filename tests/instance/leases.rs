//! Tests of lease rules, also over generated schedules of freezes, restarts, outages and late
//! appends.

use std::collections::BTreeMap;
use std::time::Duration;

use basillead::instance::contact::Contact;
use basillead::ledger::lease::{hold_time, is_held, may_claim};
use basillead::ledger::record::{Incarnation, Record, Renewal, Subject};
use basillead::ledger::state::{Lease, LedgerState};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::ledger_state::renewal;
use crate::{at, ms};

const LEASE: Duration = Duration::from_secs(3);

fn lease(node: &str, heard: u64) -> Lease {
    Lease {
        fence: 1,
        incarnation: Incarnation(format!("{node}-1")),
        node: node.to_owned(),
        last: 1,
        last_heard: at(heard),
        renewal: Some(1),
        released: false,
    }
}

#[test]
fn lease_silent_holder() {
    let held = lease("a", 10_000);
    let claims = |seen| may_claim(Some(&held), "b", at(seen), at(0), ms(0), LEASE);
    assert!(!claims(10_000 + 1800), "the holder may still act");
    assert!(claims(10_000 + 2300));
}

#[test]
fn lease_store_outage() {
    // No renewal was read for eight seconds, but only because the store was down.
    let held = lease("a", 10_000);
    assert!(!may_claim(
        Some(&held),
        "b",
        at(18_100),
        at(18_000),
        ms(0),
        LEASE
    ));
}

#[test]
fn lease_own_restart() {
    // An instance runs one process at a time, so a restarted process may claim at once what its
    // predecessor held.
    let held = lease("a", 10_000);
    assert!(may_claim(
        Some(&held),
        "a",
        at(10_400),
        at(10_300),
        ms(0),
        LEASE
    ));
    assert!(!may_claim(
        Some(&held),
        "b",
        at(10_400),
        at(10_300),
        ms(0),
        LEASE
    ));
}

#[test]
fn lease_renewal_after_another_claim() {
    // A renewal that lands in the log after another process's claim has no effect.
    let mut ledger = LedgerState::default();
    let claim = |node: &str, succeeds| Record::Claim {
        subject: Subject::Usage,
        incarnation: Incarnation(format!("{node}-1")),
        node: node.to_owned(),
        succeeds,
    };
    ledger.apply(claim("a", None), 0, at(0));
    ledger.apply(claim("b", Some(0)), 1, at(3000));
    let late = renewal("a", 9, Subject::Usage, 0);
    ledger.apply(Record::Renewal(late), 2, at(3010));
    let lease = &ledger.leases[&Subject::Usage];
    assert_eq!((lease.node.as_str(), lease.renewal), ("b", None));
    // A claim made without knowledge of the latest renewal has no effect.
    let own = renewal("b", 1, Subject::Usage, 1);
    ledger.apply(Record::Renewal(own), 3, at(3020));
    ledger.apply(claim("a", Some(1)), 4, at(3030));
    assert_eq!(ledger.leases[&Subject::Usage].node, "b");
}

#[test]
fn lease_read_from_a_renewal_only() {
    // The claim itself may have expired from the log before this reader started.
    let mut ledger = LedgerState::default();
    let own = renewal("a", 70, Subject::Usage, 12);
    ledger.apply(Record::Renewal(own), 90, at(0));
    assert_eq!(ledger.leases[&Subject::Usage].fence, 12);
}

/// Length of a schedule and of one step, in milliseconds of true time.
const LENGTH: u64 = 30_000;
const TICK: u64 = 20;
/// Schedules in CI; 100,000 are run by hand with `LEASE_SCHEDULES`.
const SCHEDULES: u64 = 400;
const PROCESSES: usize = 3;
/// Time between two renewals of a process, in milliseconds.
const RENEW_INTERVAL: u64 = 400;

struct Process {
    node: String,
    start: u32,
    ledger: LedgerState,
    contact: Contact,
    /// Offset of the next record to read.
    next: usize,
    /// End of the present freeze.
    frozen_until: u64,
    /// End of the present network partition from the store.
    cut_until: u64,
    /// Send times of renewals by number.
    sent: BTreeMap<u64, u64>,
    /// When the next renewal is due.
    due: u64,
    /// Number of the last renewal.
    number: u64,
    /// When the last claim was sent.
    claimed: u64,
}

impl Process {
    fn new(node: usize, start: u32) -> Self {
        Self {
            node: format!("n{node}"),
            start,
            ledger: LedgerState::default(),
            contact: Contact::default(),
            next: 0,
            frozen_until: 0,
            cut_until: 0,
            sent: BTreeMap::new(),
            due: 0,
            number: 0,
            claimed: 0,
        }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(format!("{}-{}", self.node, self.start))
    }

    fn read(&mut self, log: &[Record], now: u64) {
        for (offset, record) in log.iter().enumerate().skip(self.next) {
            self.ledger.apply(record.clone(), offset as u64, at(now));
        }
        self.next = log.len();
        self.contact.record_read(at(now), at(now));
    }

    /// The fencing token of the lease, if this process may act on it at `now`.
    fn fence(&self, now: u64) -> Option<u64> {
        let lease = self.ledger.leases.get(&Subject::Usage)?;
        let renewed = *self.sent.get(&lease.renewal?)?;
        let held = is_held(lease, &self.incarnation(), at(renewed), at(now), LEASE);
        held.then_some(lease.fence)
    }

    /// The renewals and claims that the process sends at `now`.
    fn write(&mut self, now: u64) -> Vec<Record> {
        let mut records = Vec::new();
        if now >= self.due {
            self.due = now + RENEW_INTERVAL;
            self.number += 1;
            self.sent.insert(self.number, now);
            let incarnation = self.incarnation();
            let own = self.ledger.leases.iter();
            let own = own.filter(|(_, lease)| lease.incarnation == incarnation);
            let leases = own
                .map(|(subject, lease)| (subject.clone(), lease.fence))
                .collect();
            records.push(Record::Renewal(Renewal {
                node: self.node.clone(),
                incarnation,
                number: self.number,
                leases,
            }));
        }
        let lease = self.ledger.leases.get(&Subject::Usage);
        let own = lease.is_some_and(|lease| lease.incarnation == self.incarnation());
        let seen = self.contact.last_read.unwrap_or_default();
        let free = may_claim(
            lease,
            &self.node,
            seen,
            self.contact.unbroken_since,
            ms(0),
            LEASE,
        );
        if !own && free && self.contact.last_read.is_some() && now >= self.claimed + 500 {
            self.claimed = now;
            records.push(Record::Claim {
                subject: Subject::Usage,
                incarnation: self.incarnation(),
                node: self.node.clone(),
                succeeds: lease.map(|lease| lease.last),
            });
        }
        records
    }
}

/// Runs one schedule and returns the actions of lease holders in order of time.
///
/// Each action has its time, its fencing token and its instance.
fn simulate(seed: u64) -> Vec<(u64, u64, String)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut processes: Vec<Process> = (0..PROCESSES).map(|n| Process::new(n, 1)).collect();
    let mut log: Vec<Record> = Vec::new();
    let mut in_flight: Vec<(u64, Record)> = Vec::new();
    let mut down_until = 0;
    let mut actions = Vec::new();
    for now in (0..LENGTH).step_by(usize::try_from(TICK).expect("a small step")) {
        if rng.random_bool(0.001) {
            down_until = now + rng.random_range(500..7000);
        }
        in_flight.sort_by_key(|(due, _)| *due);
        while in_flight.first().is_some_and(|(due, _)| *due <= now) && now >= down_until {
            log.push(in_flight.remove(0).1);
        }
        for process in &mut processes {
            if rng.random_bool(0.001) {
                process.frozen_until = now + rng.random_range(200..6000);
            }
            if rng.random_bool(0.001) {
                process.cut_until = now + rng.random_range(200..6000);
            }
            if rng.random_bool(0.0005) {
                let node = process.node[1..].parse().expect("a number");
                *process = Process::new(node, process.start + 1);
                process.frozen_until = now + 300;
            }
            if now < process.frozen_until {
                continue;
            }
            // A process may act right after a freeze, before it reads anything.
            if let Some(fence) = process.fence(now) {
                actions.push((now, fence, process.node.clone()));
            }
            if now < down_until || now < process.cut_until {
                continue;
            }
            process.read(&log, now);
            for record in process.write(now) {
                // An append may take effect seconds after it was sent.
                let late = rng.random_bool(0.05);
                let delay = if late { rng.random_range(0..5000) } else { 10 };
                in_flight.push((now + delay, record));
            }
        }
    }
    actions
}

#[test]
fn lease_generated_schedules() {
    let count = std::env::var("LEASE_SCHEDULES")
        .ok()
        .and_then(|count| count.parse().ok());
    let mut takeovers = 0;
    for seed in 0..count.unwrap_or(SCHEDULES) {
        let actions = simulate(seed);
        let mut before: Option<&(u64, u64, String)> = None;
        for action in &actions {
            if let Some(before) = before {
                assert!(
                    action.1 >= before.1,
                    "seed {seed}: an action under fence {} after {before:?}",
                    action.1
                );
                takeovers += u32::from(action.1 > before.1);
            }
            before = Some(action);
        }
        assert!(
            !actions.is_empty(),
            "seed {seed}: nobody ever held the lease"
        );
    }
    assert!(
        takeovers > 100,
        "the schedules cause too few takeovers: {takeovers}"
    );
    assert!(hold_time(LEASE) < LEASE);
}
