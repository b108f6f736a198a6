//! Decides how much of a service's load leaves the instance's own availability zone.
//!
//! The policy copes with a zone whose servers are too few for its callers while other zones have
//! capacity left. Hundreds of instances decide independently and cannot see each other's load, so
//! each one moves a share of its requests, in small steps and only while its own measurements show
//! that a request is served better elsewhere; where all zones are short, requests stay.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::boot::Boot;

/// Cost of another zone while the home zone is not short, as a fraction of a server's slots.
pub const OTHER_ZONE_COST: f64 = 0.3;
/// Cost of the home zone for a request that leaves it, as a fraction of a server's slots: more than
/// a new connection in the other zone costs, and less than a suspect server.
const LEAVE_COST: f64 = 1.0;
/// Cost of another zone for an item, relative to the time of an event on a median server: less than
/// one of 16 slots, so that it only decides between servers that are equal otherwise.
const ITEM_ZONE_COST: f64 = 0.05;

/// Time constant of the measurements, in seconds: three of the slow phases of servers (600 ms).
const MEMORY_S: f64 = 2.0;
/// Age from which a measurement says nothing about a zone any more, as it is down to a tenth of
/// its weight.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Time between two changes of the shares: a quarter of the measurements' memory, so that the
/// effect of one change shows before the next few.
const PERIOD: Duration = Duration::from_millis(500);
/// Recent attempts in the home zone, weighted by age, from which on its measurements are used: two
/// requests a second.
const HOME_ATTEMPTS_MIN: f64 = 2.0;
/// The same for another zone: one attempt in the last 1.4 s, since a probe share of a few requests
/// a second gives no more.
const OTHER_ATTEMPTS_MIN: f64 = 0.5;

/// Share of refused attempts from which the home zone is short: callers get three rounds of
/// refusals, and one refusal in twenty leaves hardly any request with three.
const SHORT_REFUSED: f64 = 0.05;
/// Share of refused attempts below which the home zone may have capacity left.
const CLEAR_REFUSED: f64 = 0.01;
/// Response time, in latency objectives, from which the home zone is short: with a mean of half the
/// objective, the slow responses miss it.
const SHORT_TIME: f64 = 0.5;
/// Response time, in latency objectives, below which the home zone may have capacity left.
const CLEAR_TIME: f64 = 0.35;
/// Cost of a refusal, in latency objectives: a request that is refused for good misses its own.
const REFUSAL_COST: f64 = 1.0;
/// Gain, in latency objectives, from which a request is worth sending to another zone: a fifth of
/// the objective, less seldom decides whether a response meets it, and traffic costs money.
const LEAVE_GAIN: f64 = 0.2;
/// Gain, in latency objectives, below which requests return to the home zone.
const STAY_GAIN: f64 = 0.1;

/// Smallest step of the share that leaves.
const STEP_MIN: f64 = 0.02;
/// Largest step of the share that leaves; a third of the load leaves within 2 s.
const STEP_MAX: f64 = 0.08;
/// Factor on a share while the home zone has capacity left.
const RETURN_FACTOR: f64 = 0.97;
/// Factor on the share of a zone that serves no better than the home zone.
const REJECT_FACTOR: f64 = 0.7;
/// Share that tries another zone of which nothing is known.
const PROBE_SHARE: f64 = 0.05;
/// Largest share that leaves, so that the home zone remains measured.
const LEAVE_MAX: f64 = 0.9;
/// Share below which nothing leaves.
const SHARE_MIN: f64 = 0.005;

/// Change of the share that leaves from which it is reported.
const REPORT_CHANGE: f64 = 0.1;
/// Shortest time between two reports of a service, so that a hundred services stay within the
/// bound on log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A response arrived.
    Answered,
    /// The server or its connection took no request, or failed.
    Refused,
    /// The caller stopped waiting; a response would have taken longer.
    Abandoned,
}

/// Where the next request goes, if a server there takes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination<'a> {
    /// The instance's own zone, and others only as its servers fill up.
    Home,
    /// Another zone.
    Zone(&'a str),
}

impl Destination<'_> {
    /// Returns the cost of a server's zone, as a fraction of the server's slots.
    #[must_use]
    pub fn cost(self, home: &str, zone: &str) -> f64 {
        let far = if zone == home { 0.0 } else { OTHER_ZONE_COST };
        match self {
            Self::Home => far,
            Self::Zone(chosen) if chosen == zone => 0.0,
            Self::Zone(_) => LEAVE_COST + far,
        }
    }
}

/// Returns the cost of a server's zone for an item, relative to the time of an event on a median
/// server.
#[must_use]
pub fn item_cost(home: &str, zone: &str) -> f64 {
    if zone == home { 0.0 } else { ITEM_ZONE_COST }
}

/// Measurements of a service's servers in one zone, and the share of requests that goes there.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// Weight of the attempts at `last`; an attempt's weight falls with its age.
    attempts: f64,
    /// Weight of the refused attempts.
    refused: f64,
    /// Sum of the weighted response times, in latency objectives.
    time: f64,
    /// Time of the latest attempt.
    last: Boot,
    /// Share of this instance's requests that leaves to the zone.
    share: f64,
}

/// What the recent attempts say of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measured {
    /// Mean response time, in latency objectives.
    pub time: f64,
    /// Share of the attempts that were refused.
    pub refused: f64,
    /// Age of the latest attempt.
    pub age: Duration,
}

impl Measured {
    fn cost(self) -> f64 {
        self.time + REFUSAL_COST * self.refused
    }
}

impl Zone {
    fn note(&mut self, time: f64, end: AttemptEnd, now: Boot) {
        let answered = self.attempts - self.refused;
        // A hedge is sent after half the objective; before, only the caller can have given up,
        // which says nothing about the server.
        if end == AttemptEnd::Abandoned && time < SHORT_TIME {
            return;
        }
        let is_bound = end == AttemptEnd::Abandoned && answered > 0.0;
        let time = if is_bound {
            time.max(self.time / answered)
        } else {
            time
        };
        let fade = (-now.since(self.last).as_secs_f64() / MEMORY_S).exp();
        self.attempts = self.attempts * fade + 1.0;
        self.refused *= fade;
        self.time *= fade;
        match end {
            AttemptEnd::Refused => self.refused += 1.0,
            AttemptEnd::Answered | AttemptEnd::Abandoned => self.time += time,
        }
        self.last = now;
    }

    fn measured(&self, attempts_min: f64, now: Boot) -> Option<Measured> {
        let age = now.since(self.last);
        let weight = self.attempts * (-age.as_secs_f64() / MEMORY_S).exp();
        if age >= STALE_AFTER || weight < attempts_min {
            return None;
        }
        let answered = self.attempts - self.refused;
        Some(Measured {
            time: if answered > 0.0 {
                self.time / answered
            } else {
                0.0
            },
            refused: self.refused / self.attempts,
            age,
        })
    }

    fn is_stale(&self, now: Boot) -> bool {
        self.attempts <= 0.0 || now.since(self.last) >= STALE_AFTER
    }
}

/// Whether the home zone has servers enough.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pressure {
    /// Nothing recent is known of the home zone.
    Unknown,
    /// The home zone has capacity left.
    Clear,
    /// Between the two: shares are kept.
    Steady,
    /// The home zone is short of capacity.
    Short,
}

fn pressure(home: Measured) -> Pressure {
    if home.refused >= SHORT_REFUSED || home.time >= SHORT_TIME {
        Pressure::Short
    } else if home.refused < CLEAR_REFUSED && home.time < CLEAR_TIME {
        Pressure::Clear
    } else {
        Pressure::Steady
    }
}

/// The zones of one service, as this instance sees them.
#[derive(Clone, Debug, Default)]
pub struct ServiceZones {
    zones: BTreeMap<String, Zone>,
    /// When the shares may change next.
    due: Boot,
    /// Cost of the home zone at the last change.
    before: f64,
    /// Share that left when it was last reported, and when the next report is allowed.
    reported: (f64, Boot),
}

impl ServiceZones {
    /// Records an attempt of `time` latency objectives at a server of a zone.
    pub fn note(&mut self, zone: &str, time: f64, end: AttemptEnd, now: Boot) {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.to_owned(), Zone::default());
        }
        if let Some(known) = self.zones.get_mut(zone) {
            known.note(time, end, now);
        }
    }

    /// Whether the shares may change now.
    #[must_use]
    pub fn is_due(&self, now: Boot) -> bool {
        now >= self.due
    }

    /// Changes the shares by the measurements and by the usable slots of each zone.
    pub fn update(&mut self, home: &str, slots: &BTreeMap<&str, usize>, now: Boot) -> Pressure {
        self.due = now + PERIOD;
        self.zones.retain(|zone, known| {
            slots.contains_key(zone.as_str()) || known.share > 0.0 || !known.is_stale(now)
        });
        for (zone, known) in &mut self.zones {
            if zone == home || !slots.contains_key(zone.as_str()) {
                known.share = 0.0;
            }
        }
        let (state, measured) = self.home_state(home, now);
        let Some(measured) = measured else {
            if state == Pressure::Unknown {
                self.reset();
            }
            return state;
        };
        let cost = measured.cost();
        // Requests that left already are about to have their effect.
        let is_falling = cost < self.before;
        self.before = cost;
        let total: usize = slots
            .iter()
            .filter(|(zone, _)| **zone != home)
            .map(|(_, slots)| slots)
            .sum();
        let free = (LEAVE_MAX - self.leaving()).max(0.0);
        let step = (measured.refused / 2.0).clamp(STEP_MIN, STEP_MAX).min(free);
        for (zone, slots) in slots.iter().filter(|(zone, _)| **zone != home) {
            let known = self.zones.entry((*zone).to_owned()).or_default();
            let gain = known
                .measured(OTHER_ATTEMPTS_MIN, now)
                .map(|there| cost - there.cost());
            let part = ratio(*slots, total);
            known.share = match (state, gain) {
                (_, Some(gain)) if gain < STAY_GAIN => known.share * REJECT_FACTOR,
                (Pressure::Short, None) => known.share.clamp(PROBE_SHARE * part, PROBE_SHARE),
                (Pressure::Short, Some(gain)) if gain >= LEAVE_GAIN && !is_falling => {
                    known.share + step * part
                }
                (Pressure::Clear, _) => known.share * RETURN_FACTOR,
                _ => known.share,
            };
            if known.share < SHARE_MIN {
                known.share = 0.0;
            }
        }
        state
    }

    fn home_state(&self, home: &str, now: Boot) -> (Pressure, Option<Measured>) {
        let known = self.zones.get(home);
        let Some(known) = known.filter(|known| !known.is_stale(now)) else {
            return (Pressure::Unknown, None);
        };
        match known.measured(HOME_ATTEMPTS_MIN, now) {
            Some(measured) => (pressure(measured), Some(measured)),
            None => (Pressure::Steady, None),
        }
    }

    fn reset(&mut self) {
        for known in self.zones.values_mut() {
            known.share = 0.0;
        }
        self.before = 0.0;
    }

    /// Share of the requests that leave the home zone.
    #[must_use]
    pub fn leaving(&self) -> f64 {
        self.zones.values().map(|known| known.share).sum()
    }

    /// Whether the share that leaves has changed so much that it is to be reported; counts it as
    /// reported.
    pub fn take_news(&mut self, now: Boot) -> bool {
        let leaving = self.leaving();
        let (before, due) = self.reported;
        let is_start_or_end = (leaving > 0.0) != (before > 0.0);
        let is_news = is_start_or_end || (leaving - before).abs() >= REPORT_CHANGE;
        if is_news && now >= due {
            self.reported = (leaving, now + REPORT_INTERVAL);
        }
        is_news && now >= due
    }

    /// Returns where the next request goes; `draw` in `0..1` decides by the shares.
    #[must_use]
    pub fn destination(&self, draw: f64) -> Destination<'_> {
        let mut left = draw;
        for (zone, known) in &self.zones {
            left -= known.share;
            if left < 0.0 {
                return Destination::Zone(zone);
            }
        }
        Destination::Home
    }

    /// Mean cost of a zone over the requests, as a fraction of a server's slots.
    #[must_use]
    pub fn mean_cost(&self, home: &str, zone: &str) -> f64 {
        let costs = self
            .zones
            .iter()
            .map(|(chosen, known)| known.share * Destination::Zone(chosen).cost(home, zone));
        costs.sum::<f64>() + (1.0 - self.leaving()) * Destination::Home.cost(home, zone)
    }

    /// The zones with the share of the requests that goes there and what is measured of them.
    pub fn zones(&self, now: Boot) -> impl Iterator<Item = (&str, f64, Option<Measured>)> {
        let zones = self.zones.iter();
        zones.map(move |(zone, known)| (zone.as_str(), known.share, known.measured(0.0, now)))
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_f64(part) / to_f64(whole.max(1))
}
