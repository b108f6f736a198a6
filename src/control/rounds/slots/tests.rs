use super::*;

fn spec(groups: u32, samples: u32, staleness: u64) -> RoundSpec {
    RoundSpec {
        deadline_ms: u64::MAX,
        groups,
        max_tokens: 8,
        model: "m".to_owned(),
        name: "r".to_owned(),
        prompts: vec!["p".to_owned()],
        samples,
        staleness,
        tenant: "t".to_owned(),
    }
}

fn answer(versions: &[u64], done: bool) -> SampleAnswer {
    let segment = |version: &u64| Segment {
        version: *version,
        tokens: 1,
    };
    SampleAnswer {
        done,
        segments: versions.iter().map(segment).collect(),
        server: "s".to_owned(),
        took_ms: 1,
        tokens: versions.iter().map(u64::to_string).collect(),
    }
}

fn pull(seq: u64, version: u64, max: u32) -> Pull {
    Pull {
        max,
        seq,
        version,
        wait_ms: 0,
    }
}

fn run_all(table: &mut SlotTable, version: u64) {
    while let Some(task) = table.start(RoundPolicy::Stragglers) {
        table.finish(&task, "id".to_owned(), answer(&[version], true));
    }
}

fn slots(outcome: PullOutcome) -> Vec<Slot> {
    match outcome {
        PullOutcome::Answer(pulled) => pulled
            .samples
            .into_iter()
            .map(|sample| sample.slot)
            .collect(),
        other => panic!("expected an answer to the pull, got {other:?}"),
    }
}

#[test]
fn pull_repeat_gets_same_batch() {
    let mut table = SlotTable::new(&spec(2, 2, 1), &[]);
    run_all(&mut table, 1);
    let first = table.pull(&pull(1, 1, 3), false);
    assert_eq!(table.pull(&pull(1, 1, 3), false), first);
    let rest = slots(table.pull(&pull(2, 1, 3), false));
    assert_eq!(slots(first).len() + rest.len(), 4);
    assert_eq!(slots(table.pull(&pull(3, 1, 3), false)).len(), 0);
    assert_eq!(table.missing(), 0);
}

#[test]
fn pull_out_of_order_is_refused() {
    let mut table = SlotTable::new(&spec(1, 1, 0), &[]);
    assert_eq!(
        table.pull(&pull(2, 1, 1), false),
        PullOutcome::OutOfOrder { last: 0 }
    );
}

#[test]
fn pull_drops_stale() {
    let mut table = SlotTable::new(&spec(1, 2, 1), &[]);
    run_all(&mut table, 3);
    assert!(slots(table.pull(&pull(1, 5, 9), false)).is_empty());
    assert_eq!(table.missing(), 2);
    run_all(&mut table, 4);
    assert_eq!(slots(table.pull(&pull(2, 5, 9), false)).len(), 2);
}

#[test]
fn pull_repeat_drops_newly_stale() {
    let mut table = SlotTable::new(&spec(1, 1, 1), &[]);
    run_all(&mut table, 1);
    assert_eq!(slots(table.pull(&pull(1, 2, 9), false)).len(), 1);
    assert!(slots(table.pull(&pull(1, 3, 9), false)).is_empty());
    assert_eq!(table.missing(), 1);
}

#[test]
fn start_resumes_partial_within_bound() {
    let mut table = SlotTable::new(&spec(1, 1, 1), &[]);
    let task = table
        .start(RoundPolicy::Stragglers)
        .expect("a waiting sample");
    table.finish(&task, "id".to_owned(), answer(&[3, 4], false));
    table.pull(&pull(1, 4, 1), false);
    let again = table
        .start(RoundPolicy::Stragglers)
        .expect("a waiting sample");
    assert_eq!(again.partial.tokens.len(), 2);
    table.fail(again);
    table.pull(&pull(2, 5, 1), false);
    let fresh = table
        .start(RoundPolicy::Stragglers)
        .expect("a waiting sample");
    assert_eq!((fresh.partial.tokens.len(), fresh.attempt), (0, 1));
}

#[test]
fn new_counts_held_as_delivered() {
    let held = [
        Slot { group: 0, index: 1 },
        Slot { group: 7, index: 0 },
        Slot { group: 0, index: 2 },
    ];
    let table = SlotTable::new(&spec(2, 2, 0), &held);
    assert_eq!(table.missing(), 3);
}
