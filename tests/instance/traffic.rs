//! Load on the store, and the spread of callers, with up to hundreds of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use basillead::instance::backoff::ReadBackoff;
use basillead::instance::counters::{self, LastWrite};
use basillead::instance::directory::{Offer, choose};
use basillead::instance::heartbeats;
use basillead::instance::interfaces::StoreError;
use basillead::ledger::record::Counts;

use crate::ms;

/// Time that an append occupies a partition, as the platform states it.
const APPEND: Duration = Duration::from_millis(4);
/// Time without a heartbeat after which an instance counts as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

fn unanswered() -> StoreError {
    StoreError::Unanswered {
        detail: "timed out".to_owned(),
    }
}

#[test]
fn heartbeats_partition_takes_all() {
    for count in [1, 9, 50, 100, 170] {
        let interval = heartbeats::interval(count);
        let busy = APPEND * u32::try_from(count).expect("a small number");
        assert!(
            busy < interval,
            "the heartbeats of {count} instances occupy a partition for {busy:?} of {interval:?}"
        );
        assert!(
            interval * 2 < HEARTBEAT_TIMEOUT,
            "with {count} instances, two heartbeats must fit into the silence limit"
        );
    }
}

#[test]
fn heartbeats_of_others_while_few_are_near() {
    assert!(heartbeats::follows_others(0));
    assert!(heartbeats::follows_others(3), "a small zone");
    assert!(!heartbeats::follows_others(50));
}

#[test]
fn counters_log_takes_all() {
    for count in [1, 9, 100, 300, 1000] {
        let busy = APPEND * u32::try_from(count).expect("a small number");
        assert!(
            busy <= counters::write_interval(count),
            "the counters of {count} instances occupy the log for {busy:?}"
        );
    }
}

/// A killed instance loses only a small share of what all instances count in a window.
#[test]
fn counters_loss_is_small() {
    for count in [9_u32, 77, 300] {
        let window = Duration::from_secs(5) * count;
        let lost = counters::write_interval(usize::try_from(count).expect("a small number"));
        assert!(
            lost.as_secs_f64() / window.as_secs_f64() < 0.05,
            "of {count} instances, one loses the counts of {lost:?}"
        );
    }
}

#[test]
fn counters_written_when_new_or_settled() {
    let counts = |count| BTreeMap::from([(7, Counts::from([("t".to_owned(), count)]))]);
    let written = LastWrite::default();
    assert!(
        !written.is_due(&BTreeMap::new(), 39_000, 5000),
        "nothing was counted"
    );
    assert!(written.is_due(&counts(1), 39_000, 5000));
    let written = LastWrite::new(counts(1), 39_000);
    assert!(!written.is_due(&counts(1), 40_500, 5000));
    assert!(written.is_due(&counts(2), 40_500, 5000));
    assert!(
        written.is_due(&counts(1), 41_000, 5000),
        "the window has settled"
    );
    let written = LastWrite::new(counts(1), 41_000);
    assert!(
        !written.is_due(&counts(1), 42_000, 5000),
        "a settled window is written once"
    );
}

/// Guards against hundreds of readers that retry in step, with full-size reads, while the store
/// answers none of them.
#[test]
fn retry_spreads_and_asks_for_less() {
    let mut one = ReadBackoff::default();
    let mut other = ReadBackoff::default();
    let whole = one.bytes();
    let first = one.failed(&unanswered(), 0.0);
    assert_ne!(
        first,
        other.failed(&unanswered(), 0.9),
        "retries must be spread"
    );
    for _ in 0..20 {
        let backoff = one.failed(&unanswered(), 0.5);
        assert!(
            backoff <= ms(500),
            "{backoff:?}: key withdrawals must become known within seconds"
        );
    }
    assert!(
        one.failed(&unanswered(), 0.5) > first * 2,
        "the backoff must grow"
    );
    assert!(
        one.bytes() <= whole / 16,
        "reads must shrink until an answer arrives in time"
    );
    for _ in 0..8 {
        one.answered();
    }
    assert_eq!(one, ReadBackoff::default());
}

#[test]
fn retry_refusal_keeps_size() {
    let mut retry = ReadBackoff::default();
    let whole = retry.bytes();
    let _ = retry.failed(&StoreError::Refused { status: 429 }, 0.5);
    assert_eq!(retry.bytes(), whole);
}

fn offers(sizes: &[(u16, u32)], same_zone: bool) -> Vec<Offer> {
    let mut offers = Vec::new();
    for (count, capacity) in sizes {
        for _ in 0..*count {
            let port = u16::try_from(offers.len()).expect("a port") + 1;
            let zone = if same_zone { 1 } else { 2 };
            offers.push(Offer {
                address: SocketAddr::from(([10, 0, zone, 1], port)),
                same_zone,
                capacity: *capacity,
            });
        }
    }
    offers
}

/// Guards against sending callers to many small instances in a zone that has large ones: callers
/// pick an address at random, whatever the capacity of its instance.
#[test]
fn addresses_few_large_instances() {
    let given = choose(offers(&[(11, 500), (40, 120)], true));
    assert!((8..=11).contains(&given.len()), "{} given", given.len());
    assert!(
        given.iter().all(|address| address.port() <= 11),
        "only the large instances"
    );
}

#[test]
fn addresses_equal_instances() {
    assert_eq!(
        choose(offers(&[(3, 500)], true)).len(),
        3,
        "all of a few are given"
    );
    let given = choose(offers(&[(40, 500)], true)).len();
    assert_eq!(
        given, 30,
        "three quarters of the instances reach three quarters of the throughput"
    );
    assert_eq!(
        choose(offers(&[(300, 500)], true)).len(),
        64,
        "at most as many as an answer may hold"
    );
    assert!(choose(Vec::new()).is_empty());
}

#[test]
fn addresses_other_zones_when_few() {
    let mut all = offers(&[(1, 120)], true);
    all.extend(offers(&[(4, 500)], false));
    assert_eq!(
        choose(all).len(),
        5,
        "one instance in the caller's zone is not enough"
    );
}
