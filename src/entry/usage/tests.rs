use std::time::Instant;

use super::*;

const WINDOW: u64 = 60;

fn add(counters: &UsageCounters, now: u64, amount: u64) {
    let desk = Tenant::from("desk");
    counters.add(
        now * 1_000,
        WINDOW,
        &desk,
        &[(UsageUnit::TokensOut, amount)],
    );
}

fn amounts(batch: &UsageBatch) -> Vec<(u64, u64)> {
    batch
        .counts
        .iter()
        .map(|count| (count.window, count.amount))
        .collect()
}

#[test]
fn batch_repeats_until_confirmed() {
    let counters = UsageCounters::default();
    add(&counters, 61, 5);
    let first = counters.batch(60);
    assert_eq!(amounts(&first), [(60, 5)]);
    add(&counters, 62, 2);
    let second = counters.batch(60);
    assert_eq!(
        amounts(&second),
        [(60, 7)],
        "counts are cumulative after a lost answer"
    );
    counters.confirm(&first);
    assert_eq!(
        amounts(&counters.batch(60)),
        [(60, 7)],
        "the rest is not confirmed"
    );
    counters.confirm(&second);
    assert!(counters.batch(60).counts.is_empty());
}

#[test]
fn batch_from_waits_for_confirmation() {
    let counters = UsageCounters::default();
    add(&counters, 61, 5);
    add(&counters, 125, 1);
    let batch = counters.batch(180);
    assert_eq!(batch.from, 60, "window 60 is not known to be in the log");
    counters.confirm(&batch);
    assert_eq!(counters.batch(180).from, 180);
}

#[test]
fn add_after_clock_goes_back() {
    let counters = UsageCounters::default();
    add(&counters, 125, 1);
    let batch = counters.batch(120);
    counters.confirm(&batch);
    add(&counters, 61, 4);
    let batch = counters.batch(120);
    assert_eq!(
        amounts(&batch),
        [(120, 5)],
        "a closed window takes no more counts"
    );
}

#[test]
fn copies_keep_latest() {
    let (copies, peer) = (UsageCopies::default(), Incarnation::from("a"));
    let (now, later) = (Instant::now(), Instant::now() + COPY_TIMEOUT);
    let counters = UsageCounters::default();
    add(&counters, 61, 5);
    let first = counters.batch(60);
    add(&counters, 62, 2);
    let second = counters.batch(60);
    copies.keep(&peer, 2, second.clone(), now);
    copies.keep(&peer, 1, first, now);
    assert!(copies.due(now).is_empty(), "the peer may be alive");
    let due = copies.due(later);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].1.body, second.record(&peer, 2).body);
    add(&counters, 63, 1);
    copies.keep(&peer, 3, counters.batch(60), now);
    copies.forget(&peer, &due[0].1);
    assert_eq!(copies.due(later).len(), 1, "a newer copy stays");
    counters.confirm(&counters.batch(60));
    copies.keep(&peer, 4, counters.batch(60), now);
    assert!(copies.due(later).is_empty(), "the log holds its counts");
}
