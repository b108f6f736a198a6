//! Rollout rounds: each slot once, true versions, within the staleness bound.

use http::StatusCode;

use crate::trainer::Trainer;
use crate::workdir::{Small, Workdir, show, wait_until};

/// Creates a round of the tenant `desk`.
fn create(dir: &Workdir, name: &str, args: &[&str]) {
    dir.write("prompts.txt", "one two\nthree four\n");
    let mut all = vec!["round", "create", name, "--tenant", "desk"];
    all.extend(["--model", "stroke-1", "--prompts", "prompts.txt"]);
    all.extend(args);
    let output = dir.basillead(&all);
    assert!(output.status.success(), "round create: {}", show(&output));
}

#[test]
fn rounds_deliver_whole_round() {
    let dir = Workdir::new("round");
    let small = Small::start(&dir);
    create(
        &dir,
        "r1",
        &["--groups", "8", "--samples", "8", "--max-tokens", "24"],
    );
    let mut trainer = Trainer::new(&dir, &small.key, "r1", 1);
    trainer.finish(|_| {});
    assert_eq!(trainer.held.len(), 64);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    assert_eq!(trainer.missing, 0);
}

#[test]
fn rounds_lost_pull_answer() {
    let dir = Workdir::new("lostpull");
    let small = Small::start(&dir);
    create(
        &dir,
        "r1",
        &["--groups", "2", "--samples", "8", "--max-tokens", "8"],
    );
    let mut trainer = Trainer::new(&dir, &small.key, "r1", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    let mut lost = 0;
    while trainer.missing > 0 {
        // The first answer counts as lost; the repeat has to bring the same samples.
        let first = trainer.pull_raw(3, 500).expect("an answer");
        let again = trainer.pull_raw(3, 500).expect("an answer");
        assert_eq!(first, again);
        lost += 1;
        assert_eq!(trainer.pull(3), Some(StatusCode::OK));
    }
    assert!(lost > 4);
    assert_eq!(trainer.held.len(), 16);
}

#[test]
fn rounds_refuse_withdrawn_and_cancelled() {
    let dir = Workdir::new("refused");
    let small = Small::start(&dir);
    let long = ["--groups", "4", "--samples", "8", "--max-tokens", "4000"];
    create(&dir, "r1", &long);
    let stranger = dir.grant("stroke");
    let mut other = Trainer::new(&dir, &stranger, "r1", 1);
    wait_until("another tenant is refused", || {
        other.open() == Some(StatusCode::FORBIDDEN)
    });

    let mut trainer = Trainer::new(&dir, &small.key, "r1", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    assert_eq!(trainer.pull(1), Some(StatusCode::OK));
    assert!(dir.basillead(&["round", "cancel", "r1"]).status.success());
    wait_until("the cancelled round's pulls are refused", || {
        trainer.pull(1) == Some(StatusCode::NOT_FOUND)
    });

    create(&dir, "r2", &long);
    let mut trainer = Trainer::new(&dir, &small.key, "r2", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    let digest = basillead::names::KeyDigest::of(&small.key).to_string();
    assert!(
        dir.basillead(&["key", "withdraw", &digest])
            .status
            .success()
    );
    wait_until("the withdrawn key is refused", || {
        trainer.pull(1) == Some(StatusCode::UNAUTHORIZED)
    });
    assert_eq!(trainer.open(), Some(StatusCode::UNAUTHORIZED));
}
