//! Poison requests, which crash the backend servers that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::{Fingerprint, ServerId};

/// Time after which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time for which a poison request is refused after its last crash.
pub const REFUSED_FOR: Duration = Duration::from_secs(300);
/// Crashes after which a request runs only where no other suspect runs.
const ALONE_CRASHES: usize = 2;
/// Crashes after which a request is refused.
const REFUSED_CRASHES: usize = 3;
/// Crashes kept in the table; further ones are dropped.
const CRASHES_MAX: usize = 4_096;

/// A crash of a server while it ran a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The request that was in flight.
    pub fingerprint: Fingerprint,
    /// The server that crashed.
    pub server: ServerId,
    /// When the crash was seen.
    pub at: Instant,
    /// Whether the request was the only suspect on the server.
    pub alone: bool,
}

impl Crash {
    /// Whether the crash is recent enough to count.
    #[must_use]
    pub fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CRASH_TTL
    }
}

/// Whether and how a request may run, given its crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// No crash counts against the request; it may run anywhere.
    Clear,
    /// The request may run after the trial is announced to the peers.
    Suspect,
    /// As `Suspect`, but only on a server where no other suspect runs.
    Alone,
    /// The request must wait until other trials of it end.
    Wait,
    /// The request is refused as poison until this instant.
    Refused(Instant),
}

/// The crashes that count, by request and server.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: BTreeMap<(Fingerprint, ServerId), Crash>,
    /// When each request last completed; its crashes up to then no longer count.
    completed: BTreeMap<Fingerprint, Instant>,
}

impl CrashTable {
    /// Records a crash; several crashes of a server by one request count once.
    pub fn note(&mut self, crash: &Crash, now: Instant) {
        self.expire(now);
        let completed = self.completed.get(&crash.fingerprint);
        if self.crashes.len() >= CRASHES_MAX || completed.is_some_and(|at| crash.at <= *at) {
            return;
        }
        let key = (crash.fingerprint.clone(), crash.server.clone());
        let known = self.crashes.entry(key).or_insert_with(|| crash.clone());
        known.alone |= crash.alone;
    }

    /// Whether the table has no crashes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Drops crashes and completions that are too old to count.
    fn expire(&mut self, now: Instant) {
        self.crashes.retain(|_, crash| crash.counts(now));
        let counts = |at: &Instant| now.saturating_duration_since(*at) < CRASH_TTL;
        self.completed.retain(|_, at| counts(at));
    }

    /// Drops the crashes of a request that completed.
    pub fn note_completion(&mut self, fingerprint: &Fingerprint, now: Instant) {
        self.completed.insert(fingerprint.clone(), now);
        self.crashes.retain(|(known, _), _| known != fingerprint);
    }

    /// Whether and how a request may run while `trials` other trials of it are in flight.
    #[must_use]
    pub fn clearance(&self, fingerprint: &Fingerprint, trials: usize, now: Instant) -> Clearance {
        let mut servers = BTreeSet::new();
        let mut alone = false;
        let mut last = None;
        for crash in self.crashes.values() {
            if crash.fingerprint == *fingerprint && crash.counts(now) {
                servers.insert(&crash.server);
                alone |= crash.alone;
                last = last.max(Some(crash.at));
            }
        }
        let crashes = servers.len();
        let until = last.map_or(now, |last| last + REFUSED_FOR);
        // Unless the request crashed a server as the only suspect on it, another request may have
        // caused all its crashes.
        if crashes >= REFUSED_CRASHES && alone && now < until {
            return Clearance::Refused(until);
        }
        match crashes {
            0 => Clearance::Clear,
            _ if trials > 0 && crashes + trials >= REFUSED_CRASHES => Clearance::Wait,
            _ if crashes >= ALONE_CRASHES => Clearance::Alone,
            _ => Clearance::Suspect,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn crash(server: &str, alone: bool, at: Instant) -> Crash {
        Crash {
            fingerprint: Fingerprint::of(&["a"]),
            server: ServerId::from(server),
            at,
            alone,
        }
    }

    fn table(crashes: &[(&str, bool)], now: Instant) -> CrashTable {
        let mut table = CrashTable::default();
        for (server, alone) in crashes {
            table.note(&crash(server, *alone, now), now);
        }
        table
    }

    #[test]
    fn clearance_tightens_with_each_crash() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let after = |crashes: &[(&str, bool)]| table(crashes, now).clearance(&request, 0, now);
        assert_eq!(after(&[]), Clearance::Clear);
        assert_eq!(after(&[("s1", false)]), Clearance::Suspect);
        assert_eq!(after(&[("s1", false), ("s1", false)]), Clearance::Suspect);
        let two = [("s1", false), ("s2", false)];
        assert_eq!(after(&two), Clearance::Alone);
        let three = [two[0], two[1], ("s3", true)];
        assert_eq!(after(&three), Clearance::Refused(now + REFUSED_FOR));
    }

    #[test]
    fn clearance_never_refuses_without_crash_alone() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let crashes = [("s1", false), ("s2", false), ("s3", false), ("s4", false)];
        let clearance = table(&crashes, now).clearance(&request, 0, now);
        assert_eq!(clearance, Clearance::Alone);
    }

    #[test]
    fn clearance_waits_for_other_trials() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let one = table(&[("s1", false)], now);
        assert_eq!(one.clearance(&request, 1, now), Clearance::Suspect);
        assert_eq!(one.clearance(&request, 2, now), Clearance::Wait);
        let two = table(&[("s1", false), ("s2", false)], now);
        assert_eq!(two.clearance(&request, 1, now), Clearance::Wait);
    }

    #[test]
    fn clearance_ends_refusal_after_stated_time() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let table = table(&[("s1", false), ("s2", false), ("s3", true)], now);
        let later = table.clearance(&request, 0, now + REFUSED_FOR);
        assert_eq!(later, Clearance::Alone);
        assert_eq!(
            table.clearance(&request, 0, now + CRASH_TTL),
            Clearance::Clear
        );
    }

    #[test]
    fn note_completion_ignores_late_crashes() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let mut table = table(&[("s1", false)], now);
        table.note_completion(&request, now);
        table.note(&crash("s1", false, now), now);
        assert_eq!(table.clearance(&request, 0, now), Clearance::Clear);
        let later = now + Duration::from_secs(1);
        table.note(&crash("s2", false, later), later);
        assert_eq!(table.clearance(&request, 0, later), Clearance::Suspect);
    }
}
