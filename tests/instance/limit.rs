//! Servers that limit all instances together: what is believed of a limit, and how it is shared.

use std::collections::{BTreeMap, VecDeque};

use basillead::instance::interfaces::{Backend, ServerState, Software, StatedLimit};
use basillead::ledger::record::{DemandRecord, Incarnation};
use basillead::relay::limit::{LimitChange, Limits};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::{at, ms};

fn server(id: &str) -> Backend {
    Backend {
        id: id.to_owned(),
        born: 1,
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 4,
        state: ServerState::Ready,
        software: Software::default(),
        weights: BTreeMap::new(),
        warm_at: at(0),
    }
}

fn limits(name: &str) -> Limits {
    Limits::new(Incarnation(name.to_owned()))
}

/// Hears `stated` in the answer to a request sent and answered at these times.
fn hear(limits: &mut Limits, stated: StatedLimit, sent: u64, received: u64) -> Option<LimitChange> {
    let heard = limits.hear(&server("s"), stated, at(sent), at(received), 0.5);
    heard.change
}

fn change(before: Option<f64>, after: Option<f64>) -> LimitChange {
    LimitChange { before, after }
}

#[test]
fn limit_belief_answer_without_it() {
    let mut limits = limits("a");
    assert_eq!(
        hear(&mut limits, StatedLimit::Rate(4.0), 0, 10),
        Some(change(None, Some(4.0)))
    );
    // The request was sent before the limit was heard, so its answer may be older.
    assert_eq!(hear(&mut limits, StatedLimit::None, 9, 30), None);
    assert_eq!(
        hear(&mut limits, StatedLimit::None, 11, 40),
        Some(change(Some(4.0), None))
    );
    assert!(limits.take(&server("s"), at(41)), "no limit any more");
}

#[test]
fn limit_belief_overlapping_answers() {
    let mut limits = limits("a");
    hear(&mut limits, StatedLimit::Rate(4.0), 0, 10);
    assert_eq!(hear(&mut limits, StatedLimit::Rate(9.0), 5, 20), None);
    assert_eq!(
        hear(&mut limits, StatedLimit::Rate(2.0), 5, 25),
        Some(change(Some(4.0), Some(2.0)))
    );
    assert_eq!(
        hear(&mut limits, StatedLimit::Rate(9.0), 26, 30),
        Some(change(Some(2.0), Some(9.0)))
    );
}

#[test]
fn limit_belief_unreadable() {
    let mut limits = limits("a");
    hear(&mut limits, StatedLimit::Rate(4.0), 0, 10);
    assert_eq!(hear(&mut limits, StatedLimit::Unreadable, 20, 30), None);
    assert_eq!(limits.len(), 1);
}

#[test]
fn limit_belief_own_answer_against_the_ledger() {
    let mut limits = limits("a");
    hear(&mut limits, StatedLimit::Rate(4.0), 0, 10);
    let process = server("s").process();
    assert_eq!(limits.apply(process.clone(), "desk", None, at(500)), None);
    let heard = limits.apply(process, "desk", None, at(1500));
    assert_eq!(heard, Some(change(Some(4.0), None)));
}

#[test]
fn limit_told_once_and_again() {
    let mut limits = limits("a");
    let mut tell = |stated, sent, received| {
        let heard = limits.hear(&server("s"), stated, at(sent), at(received), 0.0);
        heard.must_tell
    };
    assert!(!tell(StatedLimit::None, 0, 5));
    assert!(tell(StatedLimit::Rate(4.0), 10, 20));
    assert!(!tell(StatedLimit::Rate(4.0), 30, 40));
    assert!(!tell(StatedLimit::Rate(4.1), 50, 60));
    assert!(tell(StatedLimit::Rate(8.0), 70, 80));
    // The ledger's records expire.
    assert!(tell(StatedLimit::Rate(8.0), 9000, 9010));
    assert!(tell(StatedLimit::None, 9020, 9030));
    assert!(!tell(StatedLimit::None, 9040, 9050));
}

/// Period over which requests are counted, in milliseconds.
const WINDOW: u64 = 4000;

/// What goes wrong in a play.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Probability per second that an instance freezes, loses the store or starts again.
    often: f64,
    /// Longest time until an append is in the log, in milliseconds.
    append_max: u64,
}

struct Node {
    name: String,
    starts: u32,
    limits: Limits,
    /// Whether the process knows of the limit.
    knows: bool,
    /// Requests per second of its callers.
    load: f64,
    next_read: u64,
    next_offset: usize,
    following: bool,
    frozen_until: u64,
    cut_until: u64,
    /// Appends under way, with the times at which they reach the log.
    appends: VecDeque<(u64, DemandRecord)>,
}

impl Node {
    fn start(name: &str, starts: u32, load: f64) -> Self {
        Self {
            name: name.to_owned(),
            starts,
            limits: limits(&format!("{name}-{starts}")),
            knows: false,
            load,
            next_read: 0,
            next_offset: 0,
            following: false,
            frozen_until: 0,
            cut_until: 0,
            appends: VecDeque::new(),
        }
    }
}

/// Instances with callers, one server that names a limit all the time, and the demand log.
struct Play {
    rate: f64,
    nodes: Vec<Node>,
    log: Vec<DemandRecord>,
    /// Times of the requests of processes that knew of the limit.
    sent: Vec<u64>,
    rng: StdRng,
}

/// Length of a step in milliseconds.
const STEP: u32 = 10;

impl Play {
    fn new(seed: u64, rate: f64, loads: &[f64]) -> Self {
        let node = |(n, load): (usize, &f64)| Node::start(&format!("n{n}"), 0, *load);
        Self {
            rate,
            nodes: loads.iter().enumerate().map(node).collect(),
            log: Vec::new(),
            sent: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, end: u64, trouble: Trouble) {
        for now in (0..end).step_by(usize::try_from(STEP).expect("small")) {
            for n in 0..self.nodes.len() {
                self.disturb(n, now, trouble);
                if now >= self.nodes[n].frozen_until {
                    self.step(n, now, trouble);
                }
            }
            self.land(now);
        }
    }

    fn disturb(&mut self, n: usize, now: u64, trouble: Trouble) {
        if !self
            .rng
            .random_bool(trouble.often * f64::from(STEP) / 1000.0)
        {
            return;
        }
        let length = self.rng.random_range(200..6000);
        let node = &mut self.nodes[n];
        match self.rng.random_range(0..3) {
            0 => node.frozen_until = now + length,
            1 => node.cut_until = now + length,
            _ => {
                let load = node.load;
                // An append of the former process may still land.
                let appends = std::mem::take(&mut node.appends);
                *node = Node::start(&node.name.clone(), node.starts + 1, load);
                node.appends = appends;
                node.frozen_until = now + length / 4;
            }
        }
    }

    /// Moves appends into the log, in their order of arrival.
    fn land(&mut self, now: u64) {
        for node in &mut self.nodes {
            while node.appends.front().is_some_and(|(at, _)| *at <= now) {
                self.log
                    .extend(node.appends.pop_front().map(|(_, record)| record));
            }
        }
    }

    fn step(&mut self, n: usize, now: u64, trouble: Trouble) {
        let here = at(now);
        let node = &mut self.nodes[n];
        if node.following && now >= node.next_read && now >= node.cut_until {
            let sent = now.saturating_sub(self.rng.random_range(0..100));
            for record in &self.log[node.next_offset..] {
                node.limits.apply_demand(record.clone(), here);
            }
            node.next_offset = self.log.len();
            node.limits.note_view(at(sent), here);
            node.next_read = now + self.rng.random_range(20..600);
        }
        if node.following
            && let Some(record) = node.limits.due(here)
        {
            let lag = self.rng.random_range(3..trouble.append_max);
            let last = node.appends.back().map_or(0, |(at, _)| *at);
            let lands = (now + lag).max(node.cut_until).max(last);
            node.appends.push_back((lands, record));
        }
        if !self
            .rng
            .random_bool((node.load * f64::from(STEP) / 1000.0).min(1.0))
        {
            return;
        }
        node.limits.want("desk", here);
        node.following |= node.knows;
        if node.limits.take(&server("s"), here) {
            if node.knows {
                self.sent.push(now);
            }
            let stated = StatedLimit::Rate(self.rate);
            node.limits
                .hear(&server("s"), stated, here, here + ms(5), 0.5);
            node.knows = true;
        }
    }

    /// Highest number of requests in 4 s.
    fn peak(&self) -> usize {
        let within = |(n, start): (usize, &u64)| {
            let rest = self.sent[n..].iter();
            rest.take_while(|sent| **sent < start + WINDOW).count()
        };
        self.sent.iter().enumerate().map(within).max().unwrap_or(0)
    }

    fn assert_kept(&self, what: &str) {
        let allowed = self.rate * 6.0 + 5.0;
        let peak = f64::from(u32::try_from(self.peak()).expect("a small count"));
        assert!(
            peak <= allowed,
            "{what}: {peak} in 4 s at {}; allowed {allowed}",
            self.rate
        );
    }
}

const CALM: Trouble = Trouble {
    often: 0.0,
    append_max: 10,
};

#[test]
fn limit_shared_in_calm_is_used() {
    for (rate, loads, least) in [
        (6.0, vec![10.0; 8], 0.7),
        (2.0, vec![3.0; 20], 0.7),
        (0.5, vec![1.0; 10], 0.7),
        (20.0, vec![100.0, 1.0, 1.0, 1.0], 0.7),
        // Few of many instances share the limit, and none has a request whenever it may send one.
        (12.0, vec![0.5; 40], 0.3),
    ] {
        let mut play = Play::new(1, rate, &loads);
        play.run(40_000, CALM);
        play.assert_kept(&format!("{rate} {}", loads.len()));
        let used = f64::from(u32::try_from(play.sent.len()).expect("few")) / 40.0;
        assert!(
            used >= rate * least,
            "{used} of {rate} a second used by {}",
            loads.len()
        );
    }
}

#[test]
fn limit_shared_over_generated_troubles() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = rng.random_range(0.3..25.0);
        let count = rng.random_range(1..30);
        let loads: Vec<f64> = (0..count).map(|_| rng.random_range(0.1..40.0)).collect();
        let trouble = Trouble {
            often: rng.random_range(0.0..0.15),
            append_max: [10, 300, 2500][rng.random_range(0..3)],
        };
        let mut play = Play::new(seed, rate, &loads);
        play.run(40_000, trouble);
        play.assert_kept(&format!("seed {seed}, {count} instances, {trouble:?}"));
    }
}

/// Hundreds of instances renew their demands so slowly that one log takes them.
#[test]
fn limit_shared_by_hundreds() {
    let mut play = Play::new(7, 9.0, &[0.4; 295]);
    play.run(30_000, CALM);
    play.assert_kept("295 instances");
    let last = play.log.len();
    assert!(last < 295 * 30, "{last} records in 30 s");
}
