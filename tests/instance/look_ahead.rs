//! Tests of how many waiting items a scheduling pass looks at.

use basillead::job::{Extent, Item, Job, JobRecord, Jobs, Part};
use basillead::scheduler::look_ahead::LookAhead;

/// A job whose contents take a payload of `bytes` for each `per_part` items.
fn accept(jobs: &mut Jobs, id: &str, model: &str, items: usize, (per_part, bytes): (usize, usize)) {
    let item = |at: usize| Item {
        id: format!("{id}-{at}"),
        group: "g".to_owned(),
        hint: 0,
    };
    let part = |first: usize| Part {
        first,
        extent: Extent {
            offset: (jobs.iter().count() * 1_000_000 + first) as u64,
            bytes,
        },
    };
    let record = JobRecord {
        id: id.to_owned(),
        host: "desk.example".to_owned(),
        path: "/rounds/job".to_owned(),
        tenant: None,
        submitted: 0,
        model: model.to_owned(),
        min_version: 1,
        group_target: 1,
        items: (0..items).map(item).collect(),
        parts: (0..items).step_by(per_part).map(part).collect(),
    };
    jobs.accept(record);
}

fn admitted<'a>(look_ahead: &mut LookAhead<'a>, job: &'a Job) -> usize {
    (0..job.record.items.len())
        .filter(|at| look_ahead.admits(job, *at))
        .count()
}

/// Load: a job of 20,000 small items before a usual round of another model.
#[test]
fn look_ahead_of_many_items() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, "large", "m1", 20_000, (300, 14_000));
    accept(&mut jobs, "round", "m2", 152, (152, 20_000));
    let mut look_ahead = LookAhead::with_limit(1 << 20);
    let large = admitted(&mut look_ahead, jobs.get("large").expect("a job"));
    assert!((1000..=5000).contains(&large), "{large}");
    let round = admitted(&mut look_ahead, jobs.get("round").expect("a job"));
    assert_eq!(round, 152);
}

/// Load: a job of 200 items of 160 KB. Their contents are fetched as they are needed.
#[test]
fn look_ahead_of_large_contents() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, "large", "m1", 200, (1, 160 << 10));
    let mut look_ahead = LookAhead::with_limit(1 << 20);
    let admitted = admitted(&mut look_ahead, jobs.get("large").expect("a job"));
    assert_eq!(admitted, 6);
}

/// A content beyond the limit is looked at alone.
#[test]
fn look_ahead_of_a_content_beyond_the_limit() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, "large", "m1", 3, (1, 24 << 20));
    let mut look_ahead = LookAhead::with_limit(1 << 20);
    let admitted = admitted(&mut look_ahead, jobs.get("large").expect("a job"));
    assert_eq!(admitted, 1);
}
