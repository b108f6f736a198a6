//! The fold of crashes of backend servers by the request that ran there, and what that
//! request may do next; pure, with instants passed in as Unix time in milliseconds.
//!
//! The load pattern: a request that crashes each server which begins to run it comes again and
//! again, at any instance, so every instance folds the same crashes. A sound request may have
//! been on servers that crashed as well: whatever runs to its end is forgiven, and a request
//! that is refused gets another run now and then, of one instance at a time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::record::Crash;
use crate::instance::edge::Life;
use crate::names::Fingerprint;
use crate::util::millis;

/// Servers that a request may take with it before it is refused.
const REFUSED_FROM: usize = 3;
/// Time from the last crash to the next run of a request that is refused.
///
/// Servers need some seconds to come back from a crash.
const PAUSE: Duration = Duration::from_secs(10);
/// Growth of that time with each further crash.
const PAUSE_GROWTH: u32 = 6;
/// Time from the last crash to the next try of work that is owed: it doubles with each
/// further crash, up to the longest one.
const OWED_PAUSE: Duration = Duration::from_secs(1);
/// The longest such time: half of what a round may take.
const OWED_PAUSE_MAX: Duration = Duration::from_secs(4);
/// Crashes of one request that are told apart.
const LIVES_MAX: usize = 8;
/// Time for which a request is remembered after it could run again.
const KEPT: Duration = Duration::from_secs(600);
/// Age of the newest record of a refused request from which it is written again: records
/// expire from the log.
const REWRITE: Duration = Duration::from_secs(60);
/// Requests that are remembered.
const REQUESTS_MAX: usize = 4096;

/// What a request may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// No crash is known under it.
    Clear,
    /// Servers crashed under it, and it may run.
    Suspect,
    /// It may run if a trial is granted.
    Trial,
    /// It may not run before `until`.
    Refused {
        /// Unix time in milliseconds.
        until: u64,
    },
}

/// A request under which servers crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    lives: BTreeSet<Life>,
    /// When the last crash was seen, or the last trial begun.
    last: u64,
    /// When the newest record of it was made.
    written: u64,
    /// Offset of the last trial that was granted.
    trial: Option<u64>,
}

impl Suspect {
    /// When the request may run again, if it is refused until then.
    fn until(&self) -> Option<u64> {
        let beyond = self.lives.len().checked_sub(REFUSED_FROM)?;
        let growth = PAUSE_GROWTH.saturating_pow(u32::try_from(beyond).unwrap_or(u32::MAX));
        Some(
            self.last
                .saturating_add(millis(PAUSE.saturating_mul(growth))),
        )
    }

    fn is_kept(&self, now: u64) -> bool {
        now < self
            .until()
            .unwrap_or(self.last)
            .saturating_add(millis(KEPT))
    }
}

/// Requests under which servers crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Fingerprint, Suspect>,
    /// When requests last ran to their end.
    forgiven: HashMap<Fingerprint, u64>,
}

impl Crashes {
    /// Requests under which servers crashed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Servers that crashed under a request.
    #[must_use]
    pub fn count(&self, request: &Fingerprint) -> usize {
        self.suspects
            .get(request)
            .map_or(0, |suspect| suspect.lives.len())
    }

    /// Notes crashes, which may be known already.
    pub fn note(&mut self, crash: Crash) {
        let forgiven = self.forgiven.get(&crash.request);
        if forgiven.is_some_and(|at| crash.last <= *at) {
            return;
        }
        let is_full = self.suspects.len() >= REQUESTS_MAX;
        if is_full && !self.suspects.contains_key(&crash.request) {
            return;
        }
        let suspect = self.suspects.entry(crash.request).or_default();
        suspect.lives.extend(crash.lives);
        while suspect.lives.len() > LIVES_MAX {
            suspect.lives.pop_first();
        }
        suspect.last = suspect.last.max(crash.last);
        suspect.written = suspect.written.max(crash.made);
    }

    /// Grants a trial that was asked for at `wall` in the record at `offset`, if one is due.
    pub fn ask_trial(&mut self, request: &Fingerprint, wall: u64, offset: u64) {
        if let Some(suspect) = self.suspects.get_mut(request)
            && suspect.until().is_some_and(|until| until <= wall)
        {
            suspect.last = wall;
            suspect.trial = Some(offset);
        }
    }

    /// Whether the trial that was asked for in the record at `offset` is the one under way.
    #[must_use]
    pub fn is_granted(&self, request: &Fingerprint, offset: u64) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_none_or(|suspect| suspect.trial == Some(offset))
    }

    /// Forgives a request that ran to its end at `wall`.
    pub fn forgive(&mut self, request: Fingerprint, wall: u64) {
        if self
            .suspects
            .get(&request)
            .is_some_and(|suspect| suspect.last <= wall)
        {
            self.suspects.remove(&request);
        }
        let at = self.forgiven.entry(request).or_default();
        *at = wall.max(*at);
    }

    /// What a request may do at `now`.
    #[must_use]
    pub fn clearance(&self, request: &Fingerprint, now: u64) -> Clearance {
        match self.suspects.get(request).map(Suspect::until) {
            None => Clearance::Clear,
            Some(None) => Clearance::Suspect,
            Some(Some(until)) if until <= now => Clearance::Trial,
            Some(Some(until)) => Clearance::Refused { until },
        }
    }

    /// When work that is owed, and under which too many servers crashed, may be tried again, on
    /// one server.
    #[must_use]
    pub fn owed_at(&self, request: &Fingerprint) -> Option<u64> {
        let suspect = self.suspects.get(request)?;
        let beyond = suspect.lives.len().checked_sub(REFUSED_FROM)?;
        let doubled = OWED_PAUSE.saturating_mul(1 << beyond.min(LIVES_MAX));
        Some(
            suspect
                .last
                .saturating_add(millis(doubled.min(OWED_PAUSE_MAX))),
        )
    }

    /// The record that keeps a refused request known, if the newest one is old.
    pub fn rewrite(&mut self, request: &Fingerprint, now: u64) -> Option<Crash> {
        let suspect = self.suspects.get_mut(request)?;
        if now < suspect.written.saturating_add(millis(REWRITE)) {
            return None;
        }
        suspect.written = now;
        Some(Crash {
            request: request.clone(),
            lives: suspect.lives.clone(),
            last: suspect.last,
            made: now,
        })
    }

    /// Forgets requests that have not crashed a server for long.
    pub fn prune(&mut self, now: u64) {
        self.suspects.retain(|_, suspect| suspect.is_kept(now));
        self.forgiven
            .retain(|_, at| now < at.saturating_add(millis(KEPT)));
    }
}
