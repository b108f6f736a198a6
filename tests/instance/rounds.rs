//! Rounds at the worst load: which items go first, where, and when servers load weights.

use std::collections::BTreeMap;

use basillead::drive::assign::{Assignable, assign, quotas};
use basillead::drive::moves::{Running, Seat as Room, empties, faster};
use basillead::drive::pace::{Stopwatch, mix};
use basillead::drive::waves::{Caution, Loadable, at_once, next};
use basillead::job::order::queue;
use basillead::job::place::{Seat, Seating, place};
use basillead::job::{Item, Jobs};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::fold::{item, job, listed};
use crate::{at, ms};

fn ids(jobs: &Jobs, running: &[&str]) -> Vec<String> {
    let is_running = |_: &str, item: &str| running.contains(&item);
    let waiting = queue(jobs, |_| true, is_running);
    waiting
        .iter()
        .map(|one| one.job.record.items[one.at].id.clone())
        .collect()
}

#[test]
fn order_longest_first_spare_last() {
    let mut jobs = Jobs::default();
    let items = vec![
        item("a1", "a", 10),
        item("a2", "a", 50),
        item("b1", "b", 900),
        item("c1", "c", 20),
        item("c2", "c", 30),
    ];
    jobs.accept(job("j", 2, items));
    // The trainer waits for two groups; the one that takes longest is left for the end.
    assert_eq!(ids(&jobs, &[]), ["a2", "c2", "c1", "a1", "b1"]);
}

#[test]
fn order_groups_that_come_again() {
    let mut jobs = Jobs::default();
    jobs.accept(job(
        "j1",
        1,
        vec![item("b1", "b", 900), item("a1", "a", 10)],
    ));
    jobs.list("j1", listed("a1", 1));
    jobs.end("j1");
    jobs.accept(job(
        "j2",
        1,
        vec![item("b1", "b", 900), item("c1", "c", 10)],
    ));
    assert_eq!(
        ids(&jobs, &[]),
        ["b1", "c1"],
        "the trainer waits for it whatever else is whole"
    );
}

#[test]
fn order_older_job_first() {
    let mut jobs = Jobs::default();
    jobs.accept(job("j1", 2, vec![item("a1", "a", 1), item("b1", "b", 1)]));
    jobs.accept(job("j2", 1, vec![item("c1", "c", 99)]));
    assert_eq!(ids(&jobs, &["a1"]), ["b1", "c1"]);
}

/// Time until a round's wanted groups are whole, on `slots` slots, in the given order.
fn makespan(items: &[Item], lengths: &[f64], order: &[usize], slots: usize, target: usize) -> f64 {
    let mut free = vec![0.0_f64; slots];
    let mut groups: BTreeMap<&str, f64> = BTreeMap::new();
    for at in order {
        let slot = (0..slots)
            .min_by(|a, b| free[*a].total_cmp(&free[*b]))
            .expect("a slot");
        free[slot] += lengths[*at];
        let end = groups.entry(&items[*at].group).or_default();
        *end = end.max(free[slot]);
    }
    let mut ends: Vec<f64> = groups.into_values().collect();
    ends.sort_by(f64::total_cmp);
    ends[target - 1]
}

/// Replays rounds of 13 groups of 4 on 24 slots, with estimates that are often far off.
#[test]
fn order_against_submission_order() {
    let mut rng = StdRng::seed_from_u64(7);
    let (mut ours, mut baseline) = (0.0, 0.0);
    for _ in 0..200 {
        let mut items = Vec::new();
        let mut lengths = Vec::new();
        for n in 0..52 {
            let tail = rng.random_bool(0.08);
            let length = rng.random_range(0.2..1.8) * if tail { 4.0 } else { 1.0 };
            let hint = length * rng.random_range(0.5_f64..1.5) * 1000.0;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "small"
            )]
            let hint = hint as u64;
            items.push(item(&format!("i{n}"), &format!("g{}", n / 4), hint));
            lengths.push(length);
        }
        let mut jobs = Jobs::default();
        jobs.accept(job("j", 12, items.clone()));
        let waiting = queue(&jobs, |_| true, |_, _| false);
        let order: Vec<usize> = waiting.iter().map(|one| one.at).collect();
        ours += makespan(&items, &lengths, &order, 24, 12);
        let submitted: Vec<usize> = (0..52).collect();
        baseline += makespan(&items, &lengths, &submitted, 24, 12);
    }
    assert!(
        ours < baseline,
        "{ours:.0} s against {baseline:.0} s in the order of submission"
    );
}

fn seat(id: &str, free: usize, pace: f64) -> Seat<'_> {
    Seat {
        id,
        free,
        slots: 8,
        version: 3,
        pace,
        foreign: false,
    }
}

#[test]
fn place_shared_prompt_unless_slow() {
    let seats = [seat("a", 8, 1.0), seat("b", 2, 1.0)];
    assert_eq!(
        place(&seats, Some("b"), 3),
        Some(1),
        "its prompt was read there"
    );
    assert_eq!(place(&seats, None, 3), Some(0));
    let seats = [seat("a", 1, 1.0), seat("b", 8, 3.5)];
    assert_eq!(
        place(&seats, Some("b"), 3),
        Some(0),
        "a slow server is not worth it"
    );
    assert_eq!(place(&seats, None, 4), None, "weights too old");
    let foreign = Seat {
        foreign: true,
        ..seat("a", 8, 1.0)
    };
    assert_eq!(place(&[foreign, seat("b", 1, 1.0)], None, 3), Some(1));
}

/// Replays rounds of two models that come one after the other in one pass.
#[test]
fn seating_models_share_their_servers() {
    let seats = |free: &[usize]| {
        let one = |free: &usize| Seat {
            free: *free,
            ..seat("a", 6, 1.0)
        };
        free.iter().map(one).collect::<Vec<_>>()
    };
    let mut seating = Seating::new(vec![6]);
    let mut taken = 0;
    for model in ["m", "n", "m", "n", "o", "m"] {
        for _ in 0..10 {
            taken += usize::from(seating.take(model, None, 0, seats).is_some());
        }
    }
    assert_eq!(taken, 6, "items on a server with six free slots");
}

fn loadable(version: u64, running: usize) -> Loadable {
    Loadable {
        caution: Caution::None,
        version,
        named: 4,
        oldest: 3,
        loading: false,
        running,
        wanted: false,
    }
}

#[test]
fn waves_urgent_first_and_few() {
    assert_eq!((at_once(8), at_once(9), at_once(38)), (2, 2, 8));
    let mut servers = vec![loadable(3, 0); 7];
    servers[5] = loadable(2, 6);
    servers[6] = loadable(2, 1);
    assert_eq!(next(&servers), [6, 5], "too old for the open round");
    servers[0].loading = true;
    assert_eq!(next(&servers), [6], "two load at a time");
}

#[test]
fn waves_not_while_items_wait() {
    let wanted = Loadable {
        wanted: true,
        ..loadable(3, 0)
    };
    assert!(next(&[wanted; 4]).is_empty());
    let urgent = Loadable {
        wanted: true,
        ..loadable(2, 0)
    };
    assert_eq!(
        next(&[wanted, urgent]),
        [1],
        "it can take none of them as it is"
    );
    assert!(next(&[loadable(4, 0); 4]).is_empty());
}

#[test]
fn waves_with_caution_after_crashes() {
    let with = |caution| Loadable {
        caution,
        ..loadable(2, 0)
    };
    assert!(next(&[with(Caution::Wait); 9]).is_empty());
    assert_eq!(next(&[with(Caution::Alone); 9]), [0], "one at a time");
    let mut servers = [with(Caution::Alone); 9];
    servers[8].loading = true;
    assert!(next(&servers).is_empty(), "one loads already");
    servers[4].caution = Caution::None;
    assert_eq!(next(&servers), [4], "another model is not held up");
}

fn assignable<'a>(id: &'a str, model: Option<&'a str>) -> Assignable<'a> {
    Assignable {
        id,
        model,
        behind: BTreeMap::from([("a", 0), ("b", 0)]),
        running: 0,
    }
}

/// Replays two trainers on eight servers: each server follows one of them.
#[test]
fn assign_by_work() {
    let work = BTreeMap::from([("a", 500.0), ("b", 1350.0)]);
    let names = ["1", "2", "3", "4", "5", "6", "7", "8"];
    let mut kept: BTreeMap<&str, &str> = BTreeMap::new();
    for _ in 0..20 {
        let servers: Vec<Assignable<'_>> = names
            .iter()
            .map(|name| assignable(name, kept.get(name).copied()))
            .collect();
        kept.extend(assign(&servers, &work));
    }
    let count = |model: &str| kept.values().filter(|kept| **kept == model).count();
    assert!((2..=3).contains(&count("a")), "{kept:?}");
    assert_eq!(count("a") + count("b"), 8);
    let servers: Vec<Assignable<'_>> = names
        .iter()
        .map(|name| assignable(name, kept.get(name).copied()))
        .collect();
    assert!(
        assign(&servers, &work).is_empty(),
        "no server goes to and fro"
    );
}

#[test]
fn assign_loss_and_takeover() {
    let work = BTreeMap::from([("a", 1.0), ("b", 1.0)]);
    let servers = [
        assignable("1", Some("a")),
        assignable("2", Some("a")),
        assignable("3", Some("a")),
    ];
    let moved = assign(&servers, &work);
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].1, "b", "a model without a server gets one");
    let mut fresh = assignable("1", None);
    fresh.behind = BTreeMap::from([("a", 3), ("b", 0)]);
    let other = assignable("2", None);
    let given: BTreeMap<&str, &str> = assign(&[fresh, other], &work).into_iter().collect();
    assert_eq!(given["1"], "b", "it has that model's weights already");
    assert!(quotas(&work, 1).values().all(|quota| *quota <= 0.5));
}

fn running(pace: f64, since: u64) -> Running {
    Running {
        pace,
        since: at(since),
        min_version: 3,
        model: 0,
        left: 10.0,
    }
}

fn room(free: usize, pace: f64) -> Room {
    Room {
        free,
        pace,
        versions: vec![3],
    }
}

/// Replays short samples at a server that needs 77 ms for each event.
#[test]
fn pace_short_samples_alike() {
    let mut now = 1000;
    for length in [1, 2, 3, 5, 2, 1, 9] {
        let mut stopwatch = Stopwatch::default();
        assert_eq!(stopwatch.note(1, at(now)), None, "it comes with the head");
        for _ in 1..length {
            now += 77;
            assert_eq!(stopwatch.note(1, at(now)), Some(ms(77)));
        }
        now += 20;
    }
    let mut late = Stopwatch::default();
    assert_eq!(late.note(2, at(0)), None);
    assert_eq!(late.note(0, at(100)), None, "half an event");
    assert_eq!(late.note(3, at(231)), Some(ms(77)), "read late, together");
}

/// Replays a leader that stands still for 150 ms each half second, at six runs on a server.
#[test]
fn pace_late_reads() {
    let mut pace = None;
    let mut runs: Vec<(Stopwatch, u64)> = (0..6)
        .map(|n| (Stopwatch::default(), 1000 + n * 12))
        .collect();
    for now in 1000_u64..20_000 {
        if now % 500 < 150 {
            continue;
        }
        for (stopwatch, due) in &mut runs {
            let late = now.saturating_sub(*due) / 77 + u64::from(now >= *due);
            let span = stopwatch.note(usize::try_from(late).expect("a small number"), at(now));
            *due += 77 * late;
            if let Some(span) = span {
                pace = Some(mix(pace, span));
            }
            if now > 3000 {
                let pace = pace.expect("a pace");
                assert!(
                    (0.055..0.1).contains(&pace),
                    "{pace} s an event at {now} ms"
                );
            }
        }
    }
}

/// Time of an event at the median server, in seconds.
const EVENT: f64 = 0.077;

fn long(pace: f64, left: f64) -> Running {
    Running {
        left,
        ..running(pace, 0)
    }
}

/// Replays a round on servers of which some are a third slower: only long samples gain by a move.
#[test]
fn moves_worth_their_cost() {
    let items = [long(1.3, 5.0), long(1.3, 80.0), long(1.0, 80.0)];
    let moved = faster(&items, &mut [room(6, 1.0)], EVENT, at(5000));
    assert_eq!(
        moved,
        [1],
        "saves two seconds; the others save nothing or little"
    );
    let moved = faster(&[long(1.0, 10.0)], &mut [room(6, 0.6)], EVENT, at(5000));
    assert!(
        moved.is_empty(),
        "a server that seems to be quick saves a third of a second"
    );
    let moved = faster(&[long(1.1, 100.0)], &mut [room(6, 0.6)], EVENT, at(5000));
    assert!(
        moved.is_empty(),
        "equal servers differ by as much for a moment"
    );
}

/// Replays two servers that turn slow in the middle of a round.
#[test]
fn moves_off_slow_servers() {
    let items = [
        running(1.0, 0),
        running(3.9, 0),
        running(3.9, 900),
        running(2.0, 0),
    ];
    let moved = faster(&items, &mut [room(2, 1.0)], EVENT, at(1000));
    assert_eq!(moved, [1, 3], "the slowest first, none that has just come");
    assert!(faster(&items, &mut [room(0, 1.0)], EVENT, at(1000)).is_empty());
    let old = Room {
        versions: vec![2],
        ..room(4, 1.0)
    };
    assert!(
        faster(&items, &mut [old], EVENT, at(1000)).is_empty(),
        "weights too old"
    );
}

#[test]
fn moves_before_a_load() {
    let items = [running(1.0, 0), running(1.0, 0)];
    let mut seats = [room(1, 1.0), room(1, 1.2)];
    assert!(empties(&items, &mut seats));
    assert_eq!(seats.iter().map(|seat| seat.free).sum::<usize>(), 0);
    let mut seats = [room(1, 1.0)];
    assert!(!empties(&items, &mut seats), "all find room or none moves");
    assert_eq!(seats[0].free, 1);
}
