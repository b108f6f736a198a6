//! Crashes of backend servers by the request that ran there, and whether that request may run
//! again. Pure: instants are passed in as Unix time in milliseconds.
//!
//! A request that crashes every server that starts it is retried again and again, at any
//! instance, so every instance folds the same crashes. A harmless request may also have been
//! running on servers that crashed. So the crashes of a request are cleared once the request
//! runs to its end, and a refused request gets an occasional trial run, on one instance at a
//! time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::record::Crash;
use crate::instance::interfaces::ServerProcess;
use crate::names::Fingerprint;
use crate::util::millis;

/// Number of crashed servers from which a request is refused.
const REFUSED_FROM_CRASHES: usize = 3;
/// Time from the last crash to the first trial run of a refused request.
///
/// Servers need some seconds to restart after a crash.
const TRIAL_COOLDOWN: Duration = Duration::from_secs(10);
/// Factor by which each further crash multiplies the trial cooldown.
const COOLDOWN_FACTOR: u32 = 6;
/// Backoff from the last crash to the next attempt at work that must be done, such as loading
/// weights. The backoff doubles with each further crash, up to `RETRY_BACKOFF_MAX`.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum of `RETRY_BACKOFF`: half of the time that a round may take.
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Maximum number of crashed server processes that are kept for one request.
const CRASHES_MAX: usize = 8;
/// Time for which a request is kept after it could run again.
const RETENTION: Duration = Duration::from_secs(600);
/// Age from which the newest record of a refused request is written again, because records
/// expire from the log.
const REWRITE_AGE: Duration = Duration::from_secs(60);
/// Maximum number of requests that are kept.
const REQUESTS_MAX: usize = 4096;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// No server is known to have crashed while running the request.
    Clear,
    /// Servers crashed while running the request, but too few to refuse it.
    Suspect,
    /// The request may run only as a trial, if one is granted.
    Trial,
    /// The request may not run before `until`.
    Refused {
        /// Unix time in milliseconds.
        until: u64,
    },
}

/// The crashes of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Server processes that crashed.
    crashed: BTreeSet<ServerProcess>,
    /// When the last crash was seen, or the last trial began.
    last: u64,
    /// When the newest record of these crashes was made.
    written: u64,
    /// Offset of the record that asked for the last granted trial.
    trial: Option<u64>,
}

impl Suspect {
    /// When the request may run again, if enough servers crashed for it to be refused.
    fn refused_until(&self) -> Option<u64> {
        let excess = self.crashed.len().checked_sub(REFUSED_FROM_CRASHES)?;
        let factor = COOLDOWN_FACTOR.saturating_pow(u32::try_from(excess).unwrap_or(u32::MAX));
        Some(
            self.last
                .saturating_add(millis(TRIAL_COOLDOWN.saturating_mul(factor))),
        )
    }

    fn is_kept(&self, now: u64) -> bool {
        now < self
            .refused_until()
            .unwrap_or(self.last)
            .saturating_add(millis(RETENTION))
    }
}

/// Requests during which backend servers crashed.
#[derive(Debug, Default)]
pub struct CrashHistory {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Unix times in milliseconds at which requests last ran to their end.
    completed: HashMap<Fingerprint, u64>,
}

impl CrashHistory {
    /// Number of requests with known crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of servers that crashed while running a request.
    #[must_use]
    pub fn count(&self, request: &Fingerprint) -> usize {
        self.suspects
            .get(request)
            .map_or(0, |suspect| suspect.crashed.len())
    }

    /// Records the crashes of a request, unless the request has run to its end since; repeated
    /// records change nothing.
    pub fn record(&mut self, crash: Crash) {
        let completed = self.completed.get(&crash.request);
        if completed.is_some_and(|at| crash.last <= *at) {
            return;
        }
        let is_full = self.suspects.len() >= REQUESTS_MAX;
        if is_full && !self.suspects.contains_key(&crash.request) {
            return;
        }
        let suspect = self.suspects.entry(crash.request).or_default();
        suspect.crashed.extend(crash.processes);
        while suspect.crashed.len() > CRASHES_MAX {
            suspect.crashed.pop_first();
        }
        suspect.last = suspect.last.max(crash.last);
        suspect.written = suspect.written.max(crash.written);
    }

    /// Grants the trial that the record at `offset` asked for at `wall`, if one is due.
    pub fn grant_trial(&mut self, request: &Fingerprint, wall: u64, offset: u64) {
        if let Some(suspect) = self.suspects.get_mut(request)
            && suspect.refused_until().is_some_and(|until| until <= wall)
        {
            suspect.last = wall;
            suspect.trial = Some(offset);
        }
    }

    /// Whether the request may run: either the record at `offset` was granted the last trial, or no
    /// crash of the request is known any more.
    #[must_use]
    pub fn is_granted(&self, request: &Fingerprint, offset: u64) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_none_or(|suspect| suspect.trial == Some(offset))
    }

    /// Clears the crashes of a request that ran to its end at `wall`.
    pub fn clear(&mut self, request: Fingerprint, wall: u64) {
        if self
            .suspects
            .get(&request)
            .is_some_and(|suspect| suspect.last <= wall)
        {
            self.suspects.remove(&request);
        }
        let at = self.completed.entry(request).or_default();
        *at = wall.max(*at);
    }

    /// Whether a request may run at `now`.
    #[must_use]
    pub fn clearance(&self, request: &Fingerprint, now: u64) -> Clearance {
        match self.suspects.get(request).map(Suspect::refused_until) {
            None => Clearance::Clear,
            Some(None) => Clearance::Suspect,
            Some(Some(until)) if until <= now => Clearance::Trial,
            Some(Some(until)) => Clearance::Refused { until },
        }
    }

    /// When work that must be done may be retried, if too many servers crashed while running it.
    ///
    /// The retry is made on one server at a time.
    #[must_use]
    pub fn retry_at(&self, request: &Fingerprint) -> Option<u64> {
        let suspect = self.suspects.get(request)?;
        let excess = suspect.crashed.len().checked_sub(REFUSED_FROM_CRASHES)?;
        let doubled = RETRY_BACKOFF.saturating_mul(1 << excess.min(CRASHES_MAX));
        Some(
            suspect
                .last
                .saturating_add(millis(doubled.min(RETRY_BACKOFF_MAX))),
        )
    }

    /// A new record of a request's crashes, if their newest record is older than `REWRITE_AGE`.
    pub fn rewrite(&mut self, request: &Fingerprint, now: u64) -> Option<Crash> {
        let suspect = self.suspects.get_mut(request)?;
        if now < suspect.written.saturating_add(millis(REWRITE_AGE)) {
            return None;
        }
        suspect.written = now;
        Some(Crash {
            request: request.clone(),
            processes: suspect.crashed.clone(),
            last: suspect.last,
            written: now,
        })
    }

    /// Drops requests whose last crash or last complete run is long ago.
    pub fn prune(&mut self, now: u64) {
        self.suspects.retain(|_, suspect| suspect.is_kept(now));
        self.completed
            .retain(|_, at| now < at.saturating_add(millis(RETENTION)));
    }
}
