//! Tests of what memory lets an instance accept jobs.

use basillead::gateway::job_memory::{Fit, JobMemory};
use basillead::instance::interfaces::SubmissionSize;

const MB: usize = 1 << 20;
/// Memory of the smallest instance and of the usual one.
const MEMORIES: [usize; 2] = [120 * MB, 290 * MB];
/// Largest body that a caller may send.
const BODY: usize = 32 * MB;

fn size(index: usize, content: usize) -> SubmissionSize {
    SubmissionSize {
        items: 1000,
        index,
        content,
        headers: 10,
    }
}

/// Memory that a job takes if it fits beside known ones.
fn total(memory: &JobMemory, size: &SubmissionSize, body: usize, known: usize) -> Option<usize> {
    match memory.fit(size, body, known) {
        Fit::Fits(needs) => Some(needs.total),
        Fit::Later | Fit::Never => None,
    }
}

/// A body at the limit fits by itself, whatever share of it items or contents of 64 KB take.
#[test]
fn job_memory_body_at_the_limit_fits() {
    for memory in MEMORIES {
        let budget = JobMemory::new(memory);
        assert!(total(&budget, &size(MB, 64 << 10), BODY, 0).is_some());
        assert!(total(&budget, &size(memory / 8, 64 << 10), BODY, 0).is_some());
    }
}

/// Guards against review/14: 295,256 items in a body within the limit.
#[test]
fn job_memory_many_small_items_never_fit() {
    for memory in MEMORIES {
        let budget = JobMemory::new(memory);
        assert_eq!(budget.fit(&size(295_256 * 560, 300), BODY, 0), Fit::Never);
    }
}

#[test]
fn job_memory_headers_of_an_item_are_bounded() {
    let budget = JobMemory::new(MEMORIES[1]);
    let with_headers = |headers| SubmissionSize {
        headers,
        ..size(MB, MB)
    };
    assert!(total(&budget, &with_headers(1000), MB, 0).is_some());
    assert_eq!(budget.fit(&with_headers(20_000), MB, 0), Fit::Never);
}

/// Load: callers submit at once as many jobs as are accepted, each of any size that fits, beside
/// known jobs. Whatever is accepted stays under the memory together.
#[test]
fn job_memory_submissions_at_once_are_bounded() {
    for memory in MEMORIES {
        for (index, content, body) in [
            (memory / 8, 1000, BODY),
            (1000, 8 * MB, 11 * MB),
            (30_000, 200, 60_000),
        ] {
            for known in [0, memory / 8, memory / 5] {
                let budget = JobMemory::new(memory);
                let size = size(index, content);
                let mut taken = Vec::new();
                while let Fit::Fits(needs) = budget.fit(&size, body, known) {
                    taken.push(budget.take(needs));
                    assert!(taken.len() < 100_000, "without bound");
                }
                assert!(budget.used().total + known <= memory / 8 * 5);
                assert!(budget.used().index + known <= memory / 4);
                assert_eq!(budget.fit(&size, body, known), Fit::Later);
                drop(taken);
                assert_eq!(budget.used().total, 0);
            }
        }
    }
}
