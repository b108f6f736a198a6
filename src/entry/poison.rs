//! Requests that crash the backend servers which run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::{Fingerprint, ServerId};

/// Time for which a crash counts.
const COUNTED: Duration = Duration::from_secs(600);
/// Time for which a poison request is refused after its last crash.
pub const REFUSED_FOR: Duration = Duration::from_secs(300);
/// Crashes after which a request runs only where no other suspect runs.
const ALONE_FROM: usize = 2;
/// Crashes after which a request is refused.
const REFUSED_FROM: usize = 3;
/// Crashes that are remembered.
const CRASHES_MAX: usize = 4_096;

/// One crash of a server with a request on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server.
    pub server: ServerId,
    /// When it crashed.
    pub at: Instant,
    /// Whether the request was the only suspect on it.
    pub alone: bool,
}

impl Crash {
    /// Whether it still counts.
    #[must_use]
    pub fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < COUNTED
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// It is no suspect.
    Clear,
    /// It may run after the peers were told.
    Suspect,
    /// It may run, after the peers were told, where no other suspect runs.
    Alone,
    /// It must wait until runs of the same request elsewhere have ended.
    Wait,
    /// It is refused until an instant.
    Refused(Instant),
}

/// All crashes that count.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: BTreeMap<(Fingerprint, ServerId), Crash>,
    /// When requests ran to their end; crashes before that no longer count.
    absolved: BTreeMap<Fingerprint, Instant>,
}

impl CrashTable {
    /// Notes a crash. A crash that is known already counts once.
    pub fn note(&mut self, crash: &Crash, now: Instant) {
        self.expire(now);
        let absolved = self.absolved.get(&crash.fingerprint);
        if self.crashes.len() >= CRASHES_MAX || absolved.is_some_and(|at| crash.at <= *at) {
            return;
        }
        let key = (crash.fingerprint.clone(), crash.server.clone());
        let known = self.crashes.entry(key).or_insert_with(|| crash.clone());
        known.alone |= crash.alone;
    }

    /// Whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        self.crashes.retain(|_, crash| crash.counts(now));
        let counts = |at: &Instant| now.saturating_duration_since(*at) < COUNTED;
        self.absolved.retain(|_, at| counts(at));
    }

    /// Forgets what is known of a request that ran to its end.
    pub fn absolve(&mut self, fingerprint: &Fingerprint, now: Instant) {
        self.absolved.insert(fingerprint.clone(), now);
        self.crashes.retain(|(known, _), _| known != fingerprint);
    }

    /// What may be done with a request that `trials` other suspect runs are under way of.
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
        // A request that never crashed a server by itself may only have had bad company.
        if crashes >= REFUSED_FROM && alone && now < until {
            return Clearance::Refused(until);
        }
        match crashes {
            0 => Clearance::Clear,
            _ if trials > 0 && crashes + trials >= REFUSED_FROM => Clearance::Wait,
            _ if crashes >= ALONE_FROM => Clearance::Alone,
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
    fn clearance_spares_what_never_crashed_alone() {
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
    fn clearance_ends_after_stated_time() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let table = table(&[("s1", false), ("s2", false), ("s3", true)], now);
        let later = table.clearance(&request, 0, now + REFUSED_FOR);
        assert_eq!(later, Clearance::Alone);
        assert_eq!(
            table.clearance(&request, 0, now + COUNTED),
            Clearance::Clear
        );
    }

    #[test]
    fn absolve_outlives_late_news() {
        let now = Instant::now();
        let request = Fingerprint::of(&["a"]);
        let mut table = table(&[("s1", false)], now);
        table.absolve(&request, now);
        table.note(&crash("s1", false, now), now);
        assert_eq!(table.clearance(&request, 0, now), Clearance::Clear);
        let later = now + Duration::from_secs(1);
        table.note(&crash("s2", false, later), later);
        assert_eq!(table.clearance(&request, 0, later), Clearance::Suspect);
    }
}
