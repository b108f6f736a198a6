//! Groups that a trainer leaves out of a round and resubmits with a later one.

use basillead::scheduler::stragglers::{
    Group, Straggler, may_continue, outlasts, remaining, round_end,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::at;

fn group(remaining: f64) -> Group {
    Group {
        resubmitted: false,
        remaining,
    }
}

fn resubmitted(remaining: f64) -> Group {
    Group {
        resubmitted: true,
        remaining,
    }
}

#[test]
fn round_end_waits_for_target() {
    let groups = [group(10.0), group(90.0), group(0.0), group(30.0)];
    assert!((round_end(&groups, 3) - 30.0).abs() < f64::EPSILON);
    assert!((round_end(&groups, 1) - 0.0).abs() < f64::EPSILON);
    assert!((round_end(&groups, 9) - 90.0).abs() < f64::EPSILON);
    assert!((round_end(&[], 2) - 0.0).abs() < f64::EPSILON);
}

#[test]
fn round_end_waits_for_resubmitted_groups() {
    let groups = [resubmitted(120.0), group(10.0), group(40.0), group(90.0)];
    assert!((round_end(&groups, 3) - 120.0).abs() < f64::EPSILON);
    let groups = [resubmitted(5.0), group(10.0), group(40.0), group(90.0)];
    assert!((round_end(&groups, 3) - 40.0).abs() < f64::EPSILON);
}

#[test]
fn remaining_of_a_long_sample() {
    assert!((remaining(100.0, 30) - 70.0).abs() < f64::EPSILON);
    // Past its estimate, a sample is expected to need a share of what it has already.
    assert!(remaining(100.0, 120) > remaining(100.0, 100));
}

#[test]
fn may_continue_for_later_rounds() {
    let straggler = Straggler {
        oldest: Some(4),
        min_version: 3,
        later: None,
        ended: at(1000),
    };
    assert!(
        may_continue(&straggler, at(2500)),
        "the trainer may still be in its training step"
    );
    assert!(
        !may_continue(&straggler, at(3100)),
        "the trainer did not resubmit the group in time"
    );
    let old = Straggler {
        oldest: Some(3),
        ..straggler
    };
    assert!(
        !may_continue(&old, at(1000)),
        "no later round accepts weights this old"
    );
    let unstarted = Straggler {
        oldest: None,
        ..straggler
    };
    assert!(
        !may_continue(&unstarted, at(1000)),
        "a run without events has nothing to lose"
    );
    let later = |min| Straggler {
        later: Some(min),
        ..straggler
    };
    assert!(may_continue(&later(4), at(9000)));
    assert!(!may_continue(&later(5), at(1000)));
}

#[test]
fn outlasts_by_a_margin() {
    assert!(outlasts(100.0, 50.0));
    assert!(
        !outlasts(52.0, 50.0),
        "a lead of two events is within the error of the estimate"
    );
}

/// A sample of a replayed round, in events.
#[derive(Clone, Copy)]
struct Sample {
    length: f64,
    estimate: f64,
    /// Events generated before the round, which the round may use.
    generated: f64,
}

fn sample(rng: &mut StdRng) -> Sample {
    let tail = rng.random_bool(0.08);
    let length: f64 = rng.random_range(4.0..48.0) * if tail { 4.0 } else { 1.0 };
    let estimate = length * rng.random_range(0.5..1.5);
    Sample {
        length,
        estimate,
        generated: 0.0,
    }
}

/// Simulates a round; returns its duration and the group that the trainer leaves out.
///
/// The first `resubmitted` groups come from an earlier round. `renews` is when servers with newer
/// weights have free slots, in events from the start of the round.
fn simulate(groups: &[Vec<Sample>], resubmitted: usize, renews: Option<f64>) -> (f64, Vec<Sample>) {
    let need = |group: &Vec<Sample>| {
        let need = group.iter().map(|sample| sample.length - sample.generated);
        need.fold(0.0, f64::max)
    };
    let mut new: Vec<f64> = groups[resubmitted..].iter().map(need).collect();
    new.sort_by(f64::total_cmp);
    let wanted = 12 - resubmitted;
    let duration = groups[..resubmitted]
        .iter()
        .map(need)
        .fold(new[wanted - 1], f64::max);
    let last = groups[resubmitted..]
        .iter()
        .max_by(|a, b| need(a).total_cmp(&need(b)));
    let mut carried = last.expect("a group").clone();
    // Once newer weights have free slots, samples expected to outlast the round are restarted.
    let estimated: Vec<Group> = groups
        .iter()
        .enumerate()
        .map(|(at, group)| Group {
            resubmitted: at < resubmitted,
            remaining: group
                .iter()
                .map(|sample| expected(sample, renews.unwrap_or_default()))
                .fold(0.0, f64::max),
        })
        .collect();
    let round = round_end(&estimated, 12);
    for sample in &mut carried {
        let renewed = renews.filter(|at| {
            *at < duration && sample.length > *at && outlasts(expected(sample, *at), round)
        });
        sample.generated = match renewed {
            Some(at) => (duration - at).min(sample.length),
            None => 0.0,
        };
    }
    (duration, carried)
}

/// Events expected to remain of a sample after the first `at` events of its round.
fn expected(sample: &Sample, at: f64) -> f64 {
    if sample.generated + at >= sample.length {
        return 0.0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small"
    )]
    let done = (sample.generated + at) as usize;
    remaining(sample.estimate, done)
}

fn total_duration(renews: Option<f64>) -> f64 {
    let mut rng = StdRng::seed_from_u64(11);
    let mut total = 0.0;
    let mut carried: Vec<Vec<Sample>> = Vec::new();
    for _ in 0..400 {
        let resubmitted = carried.len();
        let mut groups = std::mem::take(&mut carried);
        let fresh = (0..13 - resubmitted).map(|_| (0..4).map(|_| sample(&mut rng)).collect());
        groups.extend(fresh);
        let (duration, last) = simulate(&groups, resubmitted, renews);
        total += duration;
        carried.push(last);
    }
    total
}

/// Restarting long samples on newer weights must shorten rounds. Simulates rounds of 13 groups
/// of 4 with a long tail, of which the trainer waits for 12; newer weights come after 60
/// events, a third of the longest sample.
#[test]
fn renewal_against_none() {
    let ours = total_duration(Some(60.0));
    let baseline = total_duration(None);
    assert!(
        ours < baseline,
        "{ours:.0} events against {baseline:.0} without renewal"
    );
}
