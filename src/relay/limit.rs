//! The request rates to which backend servers in need limit all instances together.
//!
//! A server names its limit in its answers, and takes it back by answering without it. Answers on
//! different connections overtake each other, so an answer without a limit counts only if its
//! request was sent after the last answer with one had arrived. What one instance hears, the
//! others learn from the ledger. Each instance keeps to its part of a limit ([`Demands::part`]).

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::demand::OwnDemand;
use crate::boot::Boot;
use crate::instance::interfaces::{Backend, ServerProcess, StatedLimit};
use crate::ledger::demand::{Demands, Part};
use crate::ledger::record::{DemandRecord, Incarnation};

/// Lowest rate that is kept to, in requests per second.
///
/// Only an answer tells that a limit has ended, so even a server that names zero gets a request
/// now and then.
const RATE_MIN: f64 = 0.05;
/// Time for which an instance believes an answer that it got itself rather than the ledger.
const OWN_ANSWER_TTL: Duration = Duration::from_secs(1);
/// Time after which a limit that holds is written to the ledger again, whose records expire.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);
/// Relative change of a limit from which on the ledger gets it at once.
const ANNOUNCED_CHANGE: f64 = 0.1;
/// Reports and load orders per second that a server with a limit gets beside its requests.
const CONTROL_RATE: f64 = 0.5;
/// Reports and load orders that such a server gets at once: those of a load.
const CONTROL_BURST: f64 = 3.0;
/// Fraction of its last part that an instance uses while it can't read the others' demands.
///
/// Its part may have been given to others by then, and instances lose contact together as a rule.
const BLIND_SHARE: f64 = 0.3;
/// Time between two computations of an instance's part of a limit.
const PART_TTL: Duration = Duration::from_millis(250);
/// What is known of the limit of one server process.
#[derive(Clone, Debug)]
struct ServerLimit {
    service: String,
    /// Requests per second; none after the server took its limit back.
    rate: Option<f64>,
    /// When the limit was last heard, from the server or from the ledger.
    heard: Boot,
    /// When this instance last got an answer with the limit.
    answered: Option<Boot>,
    /// The latest rate in the ledger, and when it was written or read.
    told: Option<(Option<f64>, Boot)>,
    /// Requests that may be sent now.
    permits: f64,
    /// Reports and load orders that may be sent now.
    control_permits: f64,
    /// When `permits` was last computed.
    refilled: Boot,
    /// This instance's part.
    part: Part,
    /// When `part` must be computed again.
    part_expires: Boot,
    /// The part as of the last recent read of the demands.
    known_part: Part,
}

/// A change of a server's limit: the rates before and after, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, if any.
    pub before: Option<f64>,
    /// The limit from now on, if any.
    pub after: Option<f64>,
}

/// What follows from an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Heard {
    /// The change of the limit, if it changed.
    pub change: Option<LimitChange>,
    /// The limit from now on, in requests per second, if any.
    pub rate: Option<f64>,
    /// Whether the other instances must be told.
    pub must_tell: bool,
}

/// The limits that server processes named, and this instance's part of them.
#[derive(Clone, Debug)]
pub struct Limits {
    own: Incarnation,
    servers: HashMap<ServerProcess, ServerLimit>,
    demands: Demands,
    own_demand: OwnDemand,
}

impl ServerLimit {
    fn new(service: &str, now: Boot) -> Self {
        Self {
            service: service.to_owned(),
            rate: None,
            heard: now,
            answered: None,
            told: None,
            permits: 0.0,
            control_permits: CONTROL_BURST,
            refilled: now,
            part: Part::default(),
            part_expires: now,
            known_part: Part::default(),
        }
    }

    /// Whether the ledger lacks this rate, or its record may expire; `spread` in `0..1` keeps
    /// instances from writing at the same time.
    fn must_tell(&self, now: Boot, spread: f64) -> bool {
        let Some((told, at)) = self.told else {
            return self.rate.is_some();
        };
        match (told, self.rate) {
            (None, None) => false,
            (Some(told), Some(rate)) => {
                let is_due =
                    now >= at + ANNOUNCE_INTERVAL + ANNOUNCE_INTERVAL.mul_f64(spread / 2.0);
                is_due || (told - rate).abs() > told.max(rate) * ANNOUNCED_CHANGE
            }
            (Some(_), None) | (None, Some(_)) => true,
        }
    }

    fn refill(&mut self, demands: &Demands, own: &Incarnation, process: &ServerProcess, now: Boot) {
        let Some(rate) = self.rate else {
            return;
        };
        let before = self.part;
        if now >= self.part_expires {
            self.part_expires = now + PART_TTL;
            self.part = match demands.part(own, process, &self.service, rate, now) {
                Some(part) => {
                    self.known_part = part;
                    part
                }
                None => Part {
                    rate: self.known_part.rate * BLIND_SHARE,
                    burst: 1.0,
                },
            };
        }
        let span = now.since(self.refilled).as_secs_f64();
        let gained = before.rate.min(self.part.rate) * span;
        self.permits = (self.permits + gained).min(self.part.burst);
        self.control_permits = (self.control_permits + CONTROL_RATE * span).min(CONTROL_BURST);
        self.refilled = now;
    }
}

impl Limits {
    /// Creates the limits of a process that knows none yet.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            servers: HashMap::new(),
            demands: Demands::default(),
            own_demand: OwnDemand::default(),
        }
    }

    /// Takes in what an answer says of its server's limit.
    ///
    /// The answer's request was sent at `sent`, and its head arrived at `now`. `spread` is a draw
    /// in `0..1`.
    pub fn hear(
        &mut self,
        backend: &Backend,
        stated: StatedLimit,
        sent: Boot,
        now: Boot,
        spread: f64,
    ) -> Heard {
        let process = backend.process();
        if stated == StatedLimit::Unreadable
            || stated == StatedLimit::None && !self.servers.contains_key(&process)
        {
            return Heard::default();
        }
        let new = || ServerLimit::new(&backend.service, now);
        let known = self.servers.entry(process).or_insert_with(new);
        let before = known.rate;
        let is_newer = before.is_none() || known.heard < sent;
        match stated {
            StatedLimit::Rate(rate) => {
                let rate = rate.max(RATE_MIN);
                // Which of two overlapping answers is the newer one is unknown.
                let lowest = before.map_or(rate, |before| before.min(rate));
                known.set_rate(Some(if is_newer { rate } else { lowest }), now);
                known.answered = Some(now);
                known.heard = now;
            }
            StatedLimit::None if is_newer => known.set_rate(None, now),
            StatedLimit::None | StatedLimit::Unreadable => return Heard::default(),
        }
        let after = known.rate;
        let must_tell = known.must_tell(now, spread);
        if must_tell {
            known.told = Some((after, now));
        }
        Heard {
            change: (before != after).then_some(LimitChange { before, after }),
            rate: after,
            must_tell,
        }
    }

    /// Applies a record of the ledger that was read at `now`; returns the change, if any.
    pub fn apply(
        &mut self,
        process: ServerProcess,
        service: &str,
        rate: Option<f64>,
        now: Boot,
    ) -> Option<LimitChange> {
        if rate.is_none() && !self.servers.contains_key(&process) {
            return None;
        }
        let new = || ServerLimit::new(service, now);
        let known = self.servers.entry(process).or_insert_with(new);
        known.told = Some((rate, now));
        if known.answered.is_some_and(|at| now < at + OWN_ANSWER_TTL) {
            return None;
        }
        let before = known.rate;
        known.set_rate(rate, now);
        if rate.is_some() {
            known.heard = now;
        }
        (before != rate).then_some(LimitChange {
            before,
            after: rate,
        })
    }

    /// Applies a record of the demand log that was read at `now`.
    pub fn apply_demand(&mut self, record: DemandRecord, now: Boot) {
        self.demands.apply(record, &self.own, now);
        self.expire_parts(now);
    }

    /// Records a read of the demand log that was sent at `sent` and reached the log's end.
    pub fn note_view(&mut self, sent: Boot, now: Boot) {
        self.demands.note_view(sent, now);
    }

    /// Whether this instance deletes old records of the demand log.
    #[must_use]
    pub fn is_trimmer(&self) -> bool {
        self.own_demand.is_written() && self.demands.is_first(&self.own)
    }

    fn expire_parts(&mut self, now: Boot) {
        for known in self.servers.values_mut() {
            known.part_expires = now;
        }
    }

    /// Whether a request may be sent to a server now.
    pub fn has_permit(&mut self, backend: &Backend, now: Boot) -> bool {
        self.permits(backend, now)
            .is_none_or(|permits| permits >= 1.0)
    }

    /// Number of requests that may be sent to a server now; none if it has no limit.
    pub fn permits(&mut self, backend: &Backend, now: Boot) -> Option<f64> {
        if self.servers.is_empty() {
            return None;
        }
        let process = backend.process();
        let known = self.servers.get_mut(&process)?;
        known.rate?;
        known.refill(&self.demands, &self.own, &process, now);
        Some(known.permits)
    }

    /// Takes a permit to send a request to a server; returns whether there was one.
    #[must_use]
    pub fn take(&mut self, backend: &Backend, now: Boot) -> bool {
        match self.permits(backend, now) {
            None => true,
            Some(permits) if permits < 1.0 => false,
            Some(_) => {
                if let Some(known) = self.servers.get_mut(&backend.process()) {
                    known.permits -= 1.0;
                }
                true
            }
        }
    }

    /// Takes a permit for a report or a load order; returns whether there was one.
    ///
    /// These are no requests in the sense of the limit, and must not wait for those of rounds: a
    /// round waits for a load.
    #[must_use]
    pub fn take_control(&mut self, backend: &Backend, now: Boot) -> bool {
        if !self.has_control_permits(backend, 1, now) {
            return false;
        }
        if let Some(known) = self.servers.get_mut(&backend.process()) {
            known.control_permits -= 1.0;
        }
        true
    }

    /// Whether `count` reports and load orders may be sent to a server now.
    pub fn has_control_permits(&mut self, backend: &Backend, count: u32, now: Boot) -> bool {
        if self.permits(backend, now).is_none() {
            return true;
        }
        let known = self.servers.get(&backend.process());
        known.is_none_or(|known| known.control_permits >= f64::from(count))
    }

    /// When a request may next be sent to a server, if this instance has a part of its limit.
    pub fn permit_at(&mut self, backend: &Backend, now: Boot) -> Option<Boot> {
        let permits = self.permits(backend, now)?;
        let known = self.servers.get(&backend.process())?;
        let left = (1.0 - permits).max(0.0) / known.part.rate;
        let left = Duration::try_from_secs_f64(left).ok()?;
        Some(now + left)
    }

    /// Whether a server of a service has a limit.
    #[must_use]
    pub fn is_limited(&self, service: &str) -> bool {
        let limited = self.servers.values().filter(|known| known.rate.is_some());
        limited.into_iter().any(|known| known.service == service)
    }

    /// Counts a request to a service; returns whether the demand must be written now.
    pub fn want(&mut self, service: &str, now: Boot) -> bool {
        self.own_demand.note(service, now);
        !self.own_demand.includes(service) && self.is_limited(service)
    }

    /// Ends the demand for a service, which another instance takes over.
    pub fn end_demand(&mut self, service: &str) {
        self.own_demand.end(service);
    }

    /// The record of this instance's demand that is due at `now`, if any; counts it as written.
    pub fn due(&mut self, now: Boot) -> Option<DemandRecord> {
        let limited: HashSet<&str> = self
            .servers
            .values()
            .filter(|known| known.rate.is_some())
            .map(|known| &*known.service)
            .collect();
        let is_limited = |service: &str| limited.contains(service);
        let record = self
            .own_demand
            .due(&self.own, self.demands.len(), is_limited, now)?;
        self.demands.note_own(&record, now);
        self.expire_parts(now);
        Some(record)
    }

    /// When to look for a due record next; none while there is no demand.
    #[must_use]
    pub fn next_due(&self) -> Option<Boot> {
        self.own_demand.next_due()
    }

    /// Number of server processes with a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limited = self.servers.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Whether no server process has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the limits of server processes that are gone.
    pub fn retain(&mut self, is_live: impl Fn(&ServerProcess) -> bool) {
        self.servers.retain(|process, _| is_live(process));
    }
}

impl ServerLimit {
    /// Sets the rate; a server that had no limit before gives no permits at first.
    fn set_rate(&mut self, rate: Option<f64>, now: Boot) {
        if self.rate == rate {
            return;
        }
        if self.rate.is_none() {
            self.permits = 0.0;
            self.refilled = now;
            self.part = Part::default();
            self.known_part = Part::default();
        }
        self.part_expires = now;
        self.rate = rate;
    }
}
