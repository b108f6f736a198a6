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

fn run_all(board: &mut Board, version: u64) {
    while let Some(work) = board.start(RoundPolicy::Stragglers) {
        board.finish(&work, "id".to_owned(), answer(&[version], true));
    }
}

fn slots(step: PullStep) -> Vec<Slot> {
    match step {
        PullStep::Answer(pulled) => pulled.samples.into_iter().map(|one| one.slot).collect(),
        other => panic!("no answer: {other:?}"),
    }
}

#[test]
fn pull_repeat_gets_same_batch() {
    let mut board = Board::new(&spec(2, 2, 1), &[]);
    run_all(&mut board, 1);
    let first = board.pull(&pull(1, 1, 3), false);
    assert_eq!(board.pull(&pull(1, 1, 3), false), first);
    let rest = slots(board.pull(&pull(2, 1, 3), false));
    assert_eq!(slots(first).len() + rest.len(), 4);
    assert_eq!(slots(board.pull(&pull(3, 1, 3), false)).len(), 0);
    assert_eq!(board.missing(), 0);
}

#[test]
fn pull_out_of_order_is_refused() {
    let mut board = Board::new(&spec(1, 1, 0), &[]);
    assert_eq!(
        board.pull(&pull(2, 1, 1), false),
        PullStep::OutOfOrder { last: 0 }
    );
}

#[test]
fn pull_drops_what_is_too_old() {
    let mut board = Board::new(&spec(1, 2, 1), &[]);
    run_all(&mut board, 3);
    assert!(slots(board.pull(&pull(1, 5, 9), false)).is_empty());
    assert_eq!(board.missing(), 2);
    run_all(&mut board, 4);
    assert_eq!(slots(board.pull(&pull(2, 5, 9), false)).len(), 2);
}

#[test]
fn pull_repeat_drops_what_became_too_old() {
    let mut board = Board::new(&spec(1, 1, 1), &[]);
    run_all(&mut board, 1);
    assert_eq!(slots(board.pull(&pull(1, 2, 9), false)).len(), 1);
    assert!(slots(board.pull(&pull(1, 3, 9), false)).is_empty());
    assert_eq!(board.missing(), 1);
}

#[test]
fn start_resumes_partial_within_bound() {
    let mut board = Board::new(&spec(1, 1, 1), &[]);
    let work = board.start(RoundPolicy::Stragglers).expect("work");
    board.finish(&work, "id".to_owned(), answer(&[3, 4], false));
    board.pull(&pull(1, 4, 1), false);
    let again = board.start(RoundPolicy::Stragglers).expect("work");
    assert_eq!(again.partial.tokens.len(), 2);
    board.fail(again);
    board.pull(&pull(2, 5, 1), false);
    let fresh = board.start(RoundPolicy::Stragglers).expect("work");
    assert_eq!((fresh.partial.tokens.len(), fresh.attempt), (0, 1));
}

#[test]
fn new_leaves_out_what_is_held() {
    let held = [
        Slot { group: 0, index: 1 },
        Slot { group: 7, index: 0 },
        Slot { group: 0, index: 2 },
    ];
    let board = Board::new(&spec(2, 2, 0), &held);
    assert_eq!(board.missing(), 3);
}
