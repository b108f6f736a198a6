//! Groups that a trainer ends its round without, and submits again with a later one.

use basillead::drive::carry::{Group, Straggler, end, left, lingers, outlasts};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::at;

fn group(left: f64) -> Group {
    Group { again: false, left }
}

fn again(left: f64) -> Group {
    Group { again: true, left }
}

#[test]
fn end_waits_for_target() {
    let groups = [group(10.0), group(90.0), group(0.0), group(30.0)];
    assert!((end(&groups, 3) - 30.0).abs() < f64::EPSILON);
    assert!((end(&groups, 1) - 0.0).abs() < f64::EPSILON);
    assert!((end(&groups, 9) - 90.0).abs() < f64::EPSILON);
    assert!((end(&[], 2) - 0.0).abs() < f64::EPSILON);
}

#[test]
fn end_waits_for_groups_that_come_again() {
    let groups = [again(120.0), group(10.0), group(40.0), group(90.0)];
    assert!((end(&groups, 3) - 120.0).abs() < f64::EPSILON);
    let groups = [again(5.0), group(10.0), group(40.0), group(90.0)];
    assert!((end(&groups, 3) - 40.0).abs() < f64::EPSILON);
}

#[test]
fn left_of_a_long_sample() {
    assert!((left(100.0, 30) - 70.0).abs() < f64::EPSILON);
    // It became longer than estimated; the more so, the longer it goes on.
    assert!(left(100.0, 120) > left(100.0, 100));
}

#[test]
fn lingers_while_a_later_round_may_take_it() {
    let straggler = Straggler {
        oldest: Some(4),
        min_version: 3,
        later: None,
        ended: at(1000),
    };
    assert!(lingers(&straggler, at(2500)), "the trainer makes its step");
    assert!(!lingers(&straggler, at(3100)), "nobody submitted it again");
    let old = Straggler {
        oldest: Some(3),
        ..straggler
    };
    assert!(!lingers(&old, at(1000)), "no later round takes it");
    let begun = Straggler {
        oldest: None,
        ..straggler
    };
    assert!(!lingers(&begun, at(1000)), "nothing would be lost");
    let later = |min| Straggler {
        later: Some(min),
        ..straggler
    };
    assert!(lingers(&later(4), at(9000)));
    assert!(!lingers(&later(5), at(1000)));
}

#[test]
fn outlasts_by_a_margin() {
    assert!(outlasts(100.0, 50.0));
    assert!(!outlasts(52.0, 50.0), "the estimate is too rough");
}

/// A sample of a replayed round, in events.
#[derive(Clone, Copy)]
struct Sample {
    length: f64,
    estimate: f64,
    /// Events made before, which the round may use.
    made: f64,
}

fn sample(rng: &mut StdRng) -> Sample {
    let tail = rng.random_bool(0.08);
    let length: f64 = rng.random_range(4.0..48.0) * if tail { 4.0 } else { 1.0 };
    let estimate = length * rng.random_range(0.5..1.5);
    Sample {
        length,
        estimate,
        made: 0.0,
    }
}

/// Plays a round; gives its duration, and the group that its trainer ended it without.
fn play(groups: &[Vec<Sample>], again: usize, renews: Option<f64>) -> (f64, Vec<Sample>) {
    let need = |group: &Vec<Sample>| {
        let need = group.iter().map(|one| one.length - one.made);
        need.fold(0.0, f64::max)
    };
    let mut own: Vec<f64> = groups[again..].iter().map(need).collect();
    own.sort_by(f64::total_cmp);
    let wanted = 12 - again;
    let duration = groups[..again]
        .iter()
        .map(need)
        .fold(own[wanted - 1], f64::max);
    let last = groups[again..]
        .iter()
        .max_by(|a, b| need(a).total_cmp(&need(b)));
    let mut carried = last.expect("a group").clone();
    // When newer weights have room, samples that are expected to outlast the round begin anew.
    let estimated: Vec<Group> = groups
        .iter()
        .enumerate()
        .map(|(at, group)| Group {
            again: at < again,
            left: group
                .iter()
                .map(|one| expected(one, renews.unwrap_or_default()))
                .fold(0.0, f64::max),
        })
        .collect();
    let round = end(&estimated, 12);
    for one in &mut carried {
        let renewed = renews
            .filter(|at| *at < duration && one.length > *at && outlasts(expected(one, *at), round));
        one.made = match renewed {
            Some(at) => (duration - at).min(one.length),
            None => 0.0,
        };
    }
    (duration, carried)
}

/// Events that a sample is expected to need after `at` events of its round.
fn expected(one: &Sample, at: f64) -> f64 {
    if one.made + at >= one.length {
        return 0.0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small"
    )]
    let done = (one.made + at) as usize;
    left(one.estimate, done)
}

fn rounds(renews: Option<f64>) -> f64 {
    let mut rng = StdRng::seed_from_u64(11);
    let mut total = 0.0;
    let mut carried: Vec<Vec<Sample>> = Vec::new();
    for _ in 0..400 {
        let again = carried.len();
        let mut groups = std::mem::take(&mut carried);
        let fresh = (0..13 - again).map(|_| (0..4).map(|_| sample(&mut rng)).collect());
        groups.extend(fresh);
        let (duration, last) = play(&groups, again, renews);
        total += duration;
        carried.push(last);
    }
    total
}

/// Replays rounds of 13 groups of 4 with a long tail, of which the trainer waits for 12;
/// newer weights come after 60 events, a third of the longest sample.
#[test]
fn renewal_against_none() {
    let ours = rounds(Some(60.0));
    let baseline = rounds(None);
    assert!(
        ours < baseline,
        "{ours:.0} events against {baseline:.0} without renewal"
    );
}
