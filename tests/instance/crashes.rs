//! Tests of the crash records of requests, simulated without sockets.

use std::collections::BTreeSet;

use basillead::instance::interfaces::ServerProcess;
use basillead::ledger::crashes::{Clearance, CrashHistory};
use basillead::ledger::record::{Crash, Record};
use basillead::ledger::state::LedgerState;
use basillead::names::Fingerprint;
use proptest::prelude::*;

use crate::at;

/// Delay after which an instance has read another instance's record, in milliseconds.
const LAG: u64 = 900;
/// Time after the third crash from which runs count as late, in milliseconds: `contactMs` of
/// the users' sites.
const LATE_AFTER: u64 = 3_000;
/// Number of late runs that the users allow.
const LATE_RUNS_MAX: usize = 3;
/// Number of runs for one call: the first run and its retries.
const RUNS_PER_CALL: usize = 3;

fn request() -> Fingerprint {
    Fingerprint::of(&["studio", "desk.example", "/one"])
}

fn process(number: u64) -> ServerProcess {
    ServerProcess {
        id: format!("s{number}"),
        born: number,
    }
}

fn crash(number: u64, wall: u64) -> Crash {
    Crash {
        request: request(),
        processes: BTreeSet::from([process(number)]),
        last: wall,
        written: wall,
    }
}

/// An instance that reads the shared log with a delay of [`LAG`].
struct Instance {
    ledger: LedgerState,
    /// Number of records read.
    read: usize,
}

impl Instance {
    fn read(&mut self, log: &[(u64, Record)], now: u64) {
        while let Some((wall, record)) = log.get(self.read).filter(|(wall, _)| wall + LAG <= now) {
            let offset = self.read as u64;
            self.ledger.apply(record.clone(), offset, at(*wall));
            self.read += 1;
        }
    }

    fn clearance(&self, now: u64) -> Clearance {
        self.ledger.crashes.clearance(&request(), now)
    }
}

/// Simulates a request that crashes every server, and returns the times of its runs.
///
/// `arrivals` has the time and the instance of each call. Before each call whose index is in
/// `restarts`, the instance restarts and loses its state.
fn simulate(arrivals: &[(u64, usize)], restarts: &[usize]) -> Vec<u64> {
    let new = || Instance {
        ledger: LedgerState::default(),
        read: 0,
    };
    let mut instances: Vec<Instance> = (0..4).map(|_| new()).collect();
    let mut log: Vec<(u64, Record)> = Vec::new();
    let mut runs = Vec::new();
    for (call, (wall, index)) in arrivals.iter().enumerate() {
        let instance = &mut instances[*index];
        if restarts.contains(&call) {
            *instance = new();
        }
        instance.read(&log, *wall);
        let mut attempts = match instance.clearance(*wall) {
            Clearance::Refused { .. } => continue,
            Clearance::Clear | Clearance::Suspect => RUNS_PER_CALL,
            Clearance::Trial => {
                let offset = log.len() as u64;
                let record = Record::Trial {
                    request: request(),
                    wall: *wall,
                };
                log.push((*wall, record));
                instance.read(&log, *wall + LAG);
                if !instance.ledger.crashes.is_granted(&request(), offset) {
                    continue;
                }
                1
            }
        };
        while attempts > 0 {
            runs.push(*wall);
            let crash = crash(runs.len() as u64, *wall);
            instance.ledger.crashes.record(crash.clone());
            log.push((*wall, Record::Crashed(crash)));
            attempts -= 1;
            if !matches!(
                instance.clearance(*wall),
                Clearance::Clear | Clearance::Suspect
            ) {
                break;
            }
        }
    }
    runs
}

/// Number of runs later than [`LATE_AFTER`] after the third one.
fn late(runs: &[u64]) -> usize {
    let third = runs.get(2).copied().unwrap_or(u64::MAX);
    let is_late = |run: &&u64| **run > third.saturating_add(LATE_AFTER);
    runs.iter().filter(is_late).count()
}

#[test]
fn crashes_request_each_second() {
    let arrivals: Vec<(u64, usize)> = (0..600)
        .zip((0..4).cycle())
        .map(|(n, at)| (n * 1000, at))
        .collect();
    let runs = simulate(&arrivals, &[]);
    assert_eq!(runs[..3], [0, 0, 0]);
    assert!(late(&runs) <= LATE_RUNS_MAX, "{runs:?}");
    assert!(runs.len() <= 3 + LATE_RUNS_MAX, "{runs:?}");
}

proptest! {
    #[test]
    fn crashes_any_arrivals_and_restarts(
        gaps in prop::collection::vec((0_u64..4_000, 0_usize..4), 1..150),
        restarts in prop::collection::vec(0_usize..150, 0..12),
    ) {
        let mut wall = 1_000_000;
        let arrivals: Vec<(u64, usize)> = gaps
            .into_iter()
            .map(|(gap, instance)| {
                wall += gap;
                (wall, instance)
            })
            .collect();
        let runs = simulate(&arrivals, &restarts);
        prop_assert!(late(&runs) <= LATE_RUNS_MAX, "{runs:?}");
    }

    #[test]
    fn crashes_any_order(order in Just((1_u64..7).collect::<Vec<u64>>()).prop_shuffle()) {
        let mut crashes = CrashHistory::default();
        for number in order {
            crashes.record(crash(number, number * 100));
            crashes.record(crash(number, number * 100));
        }
        let mut sorted = CrashHistory::default();
        for number in 1..7 {
            sorted.record(crash(number, number * 100));
        }
        prop_assert_eq!(crashes.count(&request()), 6);
        prop_assert_eq!(crashes.clearance(&request(), 700), sorted.clearance(&request(), 700));
    }
}

#[test]
fn crashes_refuse_from_the_third() {
    let mut crashes = CrashHistory::default();
    assert_eq!(crashes.clearance(&request(), 0), Clearance::Clear);
    crashes.record(crash(1, 100));
    crashes.record(crash(1, 100));
    crashes.record(crash(2, 200));
    assert_eq!(crashes.clearance(&request(), 300), Clearance::Suspect);
    crashes.record(crash(3, 300));
    let Clearance::Refused { until } = crashes.clearance(&request(), 300) else {
        panic!("the request is not refused after three crashes");
    };
    assert_eq!(crashes.clearance(&request(), until), Clearance::Trial);
    crashes.record(crash(4, until));
    let Clearance::Refused { until: later } = crashes.clearance(&request(), until) else {
        panic!("the request is not refused after four crashes");
    };
    assert!(later - until > until - 300, "the cooldown does not grow");
}

#[test]
fn crashes_one_trial_at_a_time() {
    let mut crashes = CrashHistory::default();
    for number in 1..4 {
        crashes.record(crash(number, 0));
    }
    let Clearance::Refused { until } = crashes.clearance(&request(), 0) else {
        panic!("the request is not refused after three crashes");
    };
    crashes.grant_trial(&request(), until - 1, 7);
    assert!(
        !crashes.is_granted(&request(), 7),
        "granted before it was due"
    );
    crashes.grant_trial(&request(), until, 8);
    crashes.grant_trial(&request(), until, 9);
    assert!(crashes.is_granted(&request(), 8));
    assert!(
        !crashes.is_granted(&request(), 9),
        "two trials granted at once"
    );
}

#[test]
fn crashes_forgiven_by_completed_run() {
    let mut crashes = CrashHistory::default();
    for number in 1..4 {
        crashes.record(crash(number, 100));
    }
    crashes.clear(request(), 200);
    assert_eq!(crashes.clearance(&request(), 300), Clearance::Clear);
    // Another instance's late record of the same crash changes nothing.
    crashes.record(crash(2, 100));
    assert_eq!(crashes.clearance(&request(), 300), Clearance::Clear);
    crashes.record(crash(5, 250));
    assert_eq!(crashes.clearance(&request(), 300), Clearance::Suspect);
    // A run that ended before the last crash does not clear it.
    crashes.clear(request(), 240);
    assert_eq!(crashes.clearance(&request(), 300), Clearance::Suspect);
}

#[test]
fn crashes_are_written_again_while_refused() {
    let mut crashes = CrashHistory::default();
    for number in 1..4 {
        crashes.record(crash(number, 0));
    }
    assert_eq!(crashes.rewrite(&request(), 1_000), None);
    let again = crashes.rewrite(&request(), 61_000).expect("an old record");
    assert_eq!((again.processes.len(), again.last), (3, 0));
    assert_eq!(crashes.rewrite(&request(), 62_000), None);
    let mut other = CrashHistory::default();
    other.record(again);
    assert_eq!(
        other.clearance(&request(), 62_000),
        crashes.clearance(&request(), 62_000)
    );
}

#[test]
fn crashes_are_bounded() {
    let mut crashes = CrashHistory::default();
    for number in 0..10_000_u64 {
        crashes.record(Crash {
            request: Fingerprint::of(&[number.to_string()]),
            ..crash(number, 0)
        });
        crashes.record(crash(number, 0));
    }
    assert!(crashes.len() < 5_000, "{} requests", crashes.len());
    crashes.prune(u64::MAX);
    assert!(crashes.is_empty());
}
