//! Randomly generated schedules that run the real lease decisions against freezes, lost answers,
//! late appends, outages, restarts, expiry, and clocks whose rates differ by 1%.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use super::Roles;
use crate::log::LeaseFold;
use crate::wire::{LogEntry, LogPage, Role};

const SEED: u64 = 20_261_204;
const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
const PROCESSES: usize = 3;
/// Length of one schedule, in milliseconds of true time.
const LENGTH_MS: u64 = 25_000;
/// Length of one step, in milliseconds of true time.
const TICK_MS: u64 = 50;
/// Maximum time from sending an order until the kernel delivers its last byte, in milliseconds.
const DELIVERY_MS: u64 = 500;

/// An order that reaches the platform.
struct SentOrder {
    /// When the order arrives.
    arrival: u64,
    /// The claim under which the order was sent.
    claim: u64,
}

/// The lease log and the platform. All times are in milliseconds of true time.
#[derive(Default)]
struct World {
    now: u64,
    /// Records, with the time at which each one took effect.
    records: Vec<(u64, String)>,
    /// Offset of the first record that has not expired.
    first: usize,
    /// Records in flight: when they take effect, and their text.
    in_flight: Vec<(u64, String)>,
    /// End of the present outage of the log.
    down_until: u64,
    sent: Vec<SentOrder>,
    /// Number of claims that took effect, known after [`World::check`].
    claims: u64,
}

struct Process {
    roles: Roles,
    base: Instant,
    /// Speed of the process's clock relative to true time.
    rate: f64,
    /// End of the present freeze.
    frozen_until: u64,
    /// End of the present network partition from the log.
    cut_until: u64,
    /// The read in flight: when it ends, and its page.
    read: Option<(u64, LogPage)>,
    /// Records that wait for the process to thaw before they are sent.
    unsent: VecDeque<String>,
    /// When the orders in flight at a shutdown will have arrived, after which the role is
    /// released.
    release_at: Option<u64>,
    /// When the orders in flight will have arrived, after which the role is given up for a while.
    step_down_at: Option<u64>,
    /// When the next decision is due.
    next_decision: Instant,
}

impl Process {
    fn new(rng: &mut StdRng, base: Instant) -> Self {
        let stagger = Duration::from_millis(rng.random_range(0..500));
        Self {
            roles: Roles::new(
                &[Role::Servers],
                &format!("{:x}", rng.random::<u64>()),
                stagger,
            ),
            base,
            rate: rng.random_range(0.995..=1.005),
            frozen_until: 0,
            cut_until: 0,
            read: None,
            unsent: VecDeque::new(),
            release_at: None,
            step_down_at: None,
            next_decision: base,
        }
    }

    /// The process's own clock.
    fn clock(&self, now: u64) -> Instant {
        let millis = Duration::from_millis(now);
        self.base + millis.mul_f64(self.rate)
    }

    fn step(&mut self, world: &mut World, rng: &mut StdRng) {
        if world.now < self.frozen_until {
            return;
        }
        while let Some(text) = self.unsent.pop_front() {
            self.append(world, rng, text);
        }
        self.read(world, rng);
        let now = self.clock(world.now);
        if let Some(held) = self.roles.held(Role::Servers, now)
            && self.step_down_at.is_none()
            && rng.random_bool(0.3)
        {
            world.sent.push(SentOrder {
                arrival: world.now + rng.random_range(0..=DELIVERY_MS),
                claim: held.claim,
            });
        }
        self.decide(world.now, now, rng);
        self.step_down(world.now, now, rng);
        self.shut_down(world, rng);
    }

    /// Gives the role up for a while, once no order is in flight.
    fn step_down(&mut self, true_now: u64, now: Instant, rng: &mut StdRng) {
        match self.step_down_at {
            None if rng.random_bool(0.000_8) => self.step_down_at = Some(true_now + DELIVERY_MS),
            Some(at) if true_now > at => {
                self.step_down_at = None;
                let cooldown = Duration::from_millis(rng.random_range(0..8_000));
                self.roles.step_down(Role::Servers, now + cooldown);
                self.next_decision = now;
            }
            _ => {}
        }
    }

    fn read(&mut self, world: &World, rng: &mut StdRng) {
        let done = self.read.take_if(|(at, _)| *at <= world.now);
        if let Some((_, page)) = done {
            let received = self.clock(world.now);
            self.roles.apply_page(&page, received);
            self.next_decision = received;
        }
        let reachable = world.now >= self.cut_until.max(world.down_until);
        let is_due = world.records.len() as u64 > self.roles.next() || rng.random_bool(0.1);
        if self.read.is_none() && reachable && is_due {
            let slow = rng.random_bool(0.03);
            let latency = if slow { 4_000 } else { 30 };
            let at = world.now + rng.random_range(0..latency);
            self.read = Some((at, world.page(self.roles.next())));
        }
    }

    fn decide(&mut self, true_now: u64, now: Instant, rng: &mut StdRng) {
        if now < self.next_decision {
            return;
        }
        let due = self.roles.due(now, |_| true);
        self.next_decision = due.until;
        for record in due.records {
            let text = serde_json::to_string(&record).expect("a record");
            self.unsent.push_back(text);
        }
        // The process may freeze between the decision and the send.
        if !self.unsent.is_empty() && rng.random_bool(0.05) {
            self.frozen_until = true_now + rng.random_range(0..12_000);
        }
    }

    /// Sends a record, which may take effect late or never.
    fn append(&self, world: &mut World, rng: &mut StdRng, text: String) {
        let reachable = world.now >= self.cut_until.max(world.down_until);
        let delay = match rng.random_range(0..100) {
            0..10 => rng.random_range(0..15_000),
            10..15 => return,
            _ if !reachable => return,
            _ => rng.random_range(1..30),
        };
        world.in_flight.push((world.now + delay, text));
    }

    /// Shuts down: stops using the role, and releases it once no order is in flight.
    fn shut_down(&mut self, world: &mut World, rng: &mut StdRng) {
        match self.release_at {
            None if rng.random_bool(0.000_8) => {
                self.roles.shut_down();
                self.release_at = Some(world.now + DELIVERY_MS);
            }
            Some(at) if world.now > at => {
                if let Some(record) = self.roles.release(Role::Servers) {
                    let text = serde_json::to_string(&record).expect("a record");
                    self.append(world, rng, text);
                }
                *self = Self::new(rng, self.base);
            }
            _ => {}
        }
    }
}

impl World {
    fn page(&self, from: u64) -> LogPage {
        let from = usize::try_from(from).expect("few records").max(self.first);
        let records = self.records.iter().enumerate().skip(from).take(20);
        LogPage {
            first: self.first as u64,
            next: self.records.len() as u64,
            records: records
                .map(|(offset, (_, data))| LogEntry {
                    offset: offset as u64,
                    data: data.clone(),
                })
                .collect(),
        }
    }

    fn tick(&mut self, rng: &mut StdRng) {
        self.now += TICK_MS;
        self.in_flight.sort_by_key(|(at, _)| *at);
        while self
            .in_flight
            .first()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let (at, text) = self.in_flight.remove(0);
            self.records.push((at, text));
        }
        if rng.random_bool(0.000_8) {
            self.down_until = self.now + rng.random_range(0..20_000);
        }
        if rng.random_bool(0.003) {
            // The log keeps at least the newest snapshot and the records after it.
            let is_snapshot = |(_, text): &(u64, String)| text.contains("\"snapshot\"");
            let last = self.records.iter().rposition(is_snapshot).unwrap_or(0);
            let keep = last.saturating_sub(rng.random_range(0..5));
            self.first = self.first.max(keep);
        }
    }

    /// Checks that each order arrived while its claim was the current one.
    fn check(&mut self) {
        let whole = LogPage {
            first: 0,
            ..self.page_of_all()
        };
        let mut fold = LeaseFold::default();
        let mut claims: Vec<(u64, u64)> = Vec::new();
        for (entry, (at, _)) in whole.records.into_iter().zip(&self.records) {
            let page = LogPage {
                first: 0,
                next: entry.offset + 1,
                records: vec![entry],
            };
            fold.apply_page(&page);
            let claim = fold.lease(Role::Servers).map(|lease| lease.claim);
            if let Some(claim) = claim
                && claims.last().is_none_or(|(last, _)| *last != claim)
            {
                claims.push((claim, *at));
            }
        }
        self.claims = claims.len() as u64;
        for sent in &self.sent {
            let place = claims.iter().position(|(claim, _)| *claim == sent.claim);
            let place = place.expect("an order under a claim that never won");
            let from = claims[place].1;
            let to = claims.get(place + 1).map_or(u64::MAX, |(_, at)| *at);
            assert!(
                (from..to).contains(&sent.arrival),
                "an order of claim {} at {} outside {from}..{to}",
                sent.claim,
                sent.arrival
            );
        }
    }

    fn page_of_all(&self) -> LogPage {
        let entries = self.records.iter().enumerate();
        LogPage {
            first: 0,
            next: self.records.len() as u64,
            records: entries
                .map(|(offset, (_, data))| LogEntry {
                    offset: offset as u64,
                    data: data.clone(),
                })
                .collect(),
        }
    }
}

/// Runs one schedule; returns its numbers of orders and claims.
fn run(seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let base = Instant::now() + Duration::from_secs(3_600);
    let mut world = World::default();
    let mut processes: Vec<Process> = (0..PROCESSES)
        .map(|_| Process::new(&mut rng, base))
        .collect();
    while world.now < LENGTH_MS {
        world.tick(&mut rng);
        for process in &mut processes {
            if rng.random_bool(0.003) {
                process.frozen_until = world.now + rng.random_range(0..15_000);
            }
            if rng.random_bool(0.003) {
                process.cut_until = world.now + rng.random_range(0..15_000);
            }
            if rng.random_bool(0.000_8) {
                *process = Process::new(&mut rng, base);
            }
            process.step(&mut world, &mut rng);
        }
        let now = world.now;
        let holders = processes.iter().filter(|process| {
            let clock = process.clock(now);
            process.roles.held(Role::Servers, clock).is_some()
        });
        assert!(holders.count() <= 1, "two holders at {now}, seed {seed}");
    }
    world.check();
    (world.sent.len() as u64, world.claims)
}

#[test]
fn schedules_one_holder() {
    println!("seeds {SEED}..{}", SEED + SCHEDULES);
    let started = Instant::now();
    let share = SCHEDULES / THREADS;
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let first = SEED + thread * share;
            std::thread::spawn(move || {
                let runs = (first..first + share).map(run);
                runs.fold((0, 0), |sum, run| (sum.0 + run.0, sum.1 + run.1))
            })
        })
        .collect();
    let mut total = (0, 0);
    for thread in threads {
        let (orders, claims) = thread.join().expect("no schedule fails");
        total = (total.0 + orders, total.1 + claims);
    }
    let taken = started.elapsed();
    println!(
        "{SCHEDULES} schedules, {} orders, {} claims, {taken:?}",
        total.0, total.1
    );
    // Guards against schedules in which the lease is hardly ever held or taken over.
    assert!(
        total.0 > SCHEDULES * LENGTH_MS / 400,
        "few orders: {}",
        total.0
    );
    assert!(total.1 > SCHEDULES * 3 / 2, "few claims: {}", total.1);
}
