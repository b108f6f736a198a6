//! Property tests of the folds: a fold restored from a snapshot of any prefix equals the
//! fold of the whole stream, and no manifest or withdrawal is reverted.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{ConfigFold, LeaseFold};
use crate::wire::{
    ConfigBody, ConfigRecord, LeaseBody, LeaseRecord, LogEntry, LogPage, Role, Verdict,
};

/// Seed of all generated records.
const SEED: [u8; 32] = *b"basillead folds, seed 2026-12-04";
const CASES: u32 = 2_000;
const RECORDS_MAX: usize = 24;

/// What a generated record does; indexes are taken modulo the number of records.
#[derive(Clone, Debug)]
enum Change {
    Manifest { stale: bool, weight: u8 },
    Invalid,
    Grant(u8),
    Withdraw(u8),
    Mark(u8, bool),
    Repeat(usize),
    Garbage,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (prop::bool::weighted(0.3), 1..9_u8)
            .prop_map(|(stale, weight)| Change::Manifest { stale, weight }),
        Just(Change::Invalid),
        (0..3_u8).prop_map(Change::Grant),
        (0..3_u8).prop_map(Change::Withdraw),
        (0..3_u8, any::<bool>()).prop_map(|(server, leaving)| Change::Mark(server, leaving)),
        any::<usize>().prop_map(Change::Repeat),
        Just(Change::Garbage),
    ]
}

/// The JSON of record `n`, given the fold and the records before it.
fn record_text(n: usize, change: &Change, fold: &ConfigFold, before: &[String]) -> String {
    let revision = fold.state().revision;
    let body = match change {
        Change::Manifest { stale, weight } => {
            let base = if *stale { revision + 1 } else { revision };
            let text = format!("base = {base}\n[[tenants]]\nname = \"t\"\nweight = {weight}\n");
            ConfigBody::Manifest { base, text }
        }
        Change::Invalid => ConfigBody::Manifest {
            base: revision,
            text: "nonsense = 1\n".to_owned(),
        },
        Change::Grant(key) => ConfigBody::KeyGrant {
            digest: format!("k{key}"),
            label: String::new(),
            tenant: "t".to_owned(),
        },
        Change::Withdraw(key) => ConfigBody::KeyWithdraw {
            digest: format!("k{key}"),
        },
        Change::Mark(server, leaving) => ConfigBody::ServerMark {
            leaving: *leaving,
            server: format!("s{server}"),
        },
        Change::Repeat(index) if !before.is_empty() => {
            return before[index % before.len()].clone();
        }
        Change::Repeat(_) | Change::Garbage => return "{".to_owned(),
    };
    let id = format!("r{n}");
    serde_json::to_string(&ConfigRecord { id, body }).expect("a record")
}

fn runner() -> TestRunner {
    // The cases contain thousands of unreadable records, each of which logs a warning.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// The verdicts on the records from `from` on.
fn verdicts(fold: &ConfigFold, from: usize) -> Vec<Option<Verdict>> {
    let ids = (from..RECORDS_MAX).map(|n| format!("r{n}"));
    ids.map(|id| fold.verdict(&id).cloned()).collect()
}

#[test]
fn config_fold_any_prefix() {
    let strategy = prop::collection::vec(change(), 1..RECORDS_MAX);
    let run = runner().run(&strategy, |changes| {
        let mut whole = ConfigFold::default();
        let mut texts = Vec::new();
        let mut snapshots = vec![whole.state().snapshot()];
        for (n, change) in changes.iter().enumerate() {
            let before = whole.state().clone();
            texts.push(record_text(n, change, &whole, &texts));
            whole.apply(n as u64, &texts[n]);
            let after = whole.state();
            prop_assert!(after.revision >= before.revision, "a manifest reverted");
            for (key, info) in &before.keys {
                let still = after.keys.get(key).is_some_and(|k| k.withdrawn);
                prop_assert!(!info.withdrawn || still, "a withdrawal reverted");
            }
            snapshots.push(after.snapshot());
        }
        for (upto, snapshot) in snapshots.into_iter().enumerate() {
            let mut late = ConfigFold::default();
            late.restore(upto as u64, snapshot);
            for (n, text) in texts.iter().enumerate() {
                late.apply(n as u64, text);
            }
            prop_assert_eq!(late.state().snapshot(), whole.state().snapshot());
            prop_assert_eq!(late.state().next, whole.state().next);
            // A record after the snapshot that repeats an earlier one has no verdict of its own.
            let restored = verdicts(&late, upto);
            prop_assert_eq!(restored, verdicts(&whole, upto));
        }
        Ok(())
    });
    run.expect("the property holds");
}

/// A lease record: its kind, its holder, and a number that selects an earlier offset.
type LeaseChange = (u8, u8, u64);

fn lease_text(n: usize, change: &LeaseChange, fold: &LeaseFold, snapshots: &[LeaseBody]) -> String {
    let (kind, holder, selector) = change;
    let role = Role::Servers;
    let lease = fold.lease(role);
    // Usually the current offset, sometimes an old one.
    let old = selector % (n as u64 + 1);
    let named = |current: u64| if selector % 4 == 0 { old } else { current };
    let claim = named(lease.map_or(0, |lease| lease.claim));
    let body = match kind {
        0 | 1 => LeaseBody::Claim {
            holder: format!("h{holder}"),
            role,
            succeeds: lease.map(|lease| named(lease.last)),
        },
        2 | 3 => LeaseBody::Renew { claim, role },
        4 => LeaseBody::Release { claim, role },
        // A snapshot may be appended late, after records that it does not cover.
        _ => {
            let late = usize::from(*holder) % snapshots.len();
            snapshots[snapshots.len() - 1 - late].clone()
        }
    };
    let id = format!("r{n}");
    serde_json::to_string(&LeaseRecord { id, body }).expect("a record")
}

fn page(first: u64, from: u64, texts: &[String]) -> LogPage {
    let from = usize::try_from(from.max(first)).expect("few records");
    let records = texts.iter().enumerate().skip(from);
    LogPage {
        first,
        next: texts.len() as u64,
        records: records
            .map(|(offset, data)| LogEntry {
                offset: offset as u64,
                data: data.clone(),
            })
            .collect(),
    }
}

#[test]
fn lease_fold_any_prefix() {
    let changes = (0..7_u8, 0..3_u8, any::<u64>());
    let strategy = prop::collection::vec(changes, 1..RECORDS_MAX);
    let run = runner().run(&strategy, |changes| {
        let mut whole = LeaseFold::default();
        let (mut texts, mut snapshots) = (Vec::new(), Vec::new());
        for (n, change) in changes.iter().enumerate() {
            let before = whole.lease(Role::Servers).map(|lease| lease.claim);
            snapshots.push(whole.snapshot());
            texts.push(lease_text(n, change, &whole, &snapshots));
            whole.apply_page(&page(0, n as u64, &texts));
            let after = whole.lease(Role::Servers).map(|lease| lease.claim);
            prop_assert!(after >= before, "a fencing token decreased");
        }
        for first in 0..=texts.len() as u64 {
            let mut late = LeaseFold::default();
            for _ in 0..3 {
                late.apply_page(&page(first, late.next(), &texts));
            }
            // Without a snapshot in the retained records, a late reader reports no lease.
            if late.is_known() {
                prop_assert_eq!(late.lease(Role::Servers), whole.lease(Role::Servers));
                prop_assert_eq!(late.next(), whole.next());
            } else {
                prop_assert!(late.lease(Role::Servers).is_none());
            }
        }
        Ok(())
    });
    run.expect("the property holds");
}
