//! Suspect requests under way here and elsewhere, and what that allows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::names::{Fingerprint, Incarnation, ServerId};

use super::others::Others;
use super::poison::{Clearance, Crash, CrashTable};

/// Time within which a server's port must answer to tell a crash from a broken stream.
const PROBE: Duration = Duration::from_millis(300);

/// Crashes that one entry tells its peers, the latest ones.
const SEEN_MAX: usize = 256;

/// A suspect request that runs, or is about to run, on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server.
    pub server: ServerId,
    /// Whether no other suspect may run there.
    pub alone: bool,
    /// The entry that runs it.
    pub incarnation: Incarnation,
    /// When it began.
    pub begun: Instant,
}

/// Crashes and suspects of one entry.
#[derive(Debug, Default)]
pub struct Suspects {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    crashes: CrashTable,
    /// Crashes that this entry saw itself, for its digest.
    seen: Vec<Crash>,
    trials: BTreeMap<u64, Trial>,
    next: u64,
}

/// A trial under way. Dropping it ends the trial.
#[derive(Debug)]
pub struct TrialGuard {
    suspects: Arc<Suspects>,
    number: u64,
    /// The trial.
    pub trial: Trial,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.suspects.state.lock().trials.remove(&self.number);
    }
}

impl Suspects {
    /// Whether no crash is known, so that no request can be a suspect.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.state.lock().crashes.is_empty()
    }

    /// What may be done with a request now.
    #[must_use]
    pub fn clearance(&self, request: &Fingerprint, others: &Others, now: Instant) -> Clearance {
        let state = self.state.lock();
        let same = |trial: &&Trial| trial.fingerprint == *request;
        let own = state.trials.values().filter(same).count();
        let elsewhere = others.trials.iter().filter(same).count();
        state.crashes.clearance(request, own + elsewhere, now)
    }

    /// The servers that a suspect must not run on.
    #[must_use]
    pub fn shunned(&self, alone: bool, others: &Others) -> Vec<ServerId> {
        let state = self.state.lock();
        let trials = state.trials.values().chain(&others.trials);
        let shunned = trials.filter(|trial| alone || trial.alone);
        shunned.map(|trial| trial.server.clone()).collect()
    }

    /// Begins a trial; it is to be told to the peers before the request is sent.
    #[must_use]
    pub fn begin(self: &Arc<Self>, trial: Trial) -> TrialGuard {
        let mut state = self.state.lock();
        state.next += 1;
        let number = state.next;
        state.trials.insert(number, trial.clone());
        TrialGuard {
            suspects: Arc::clone(self),
            number,
            trial,
        }
    }

    /// Whether another entry began a trial at the same time that goes before this one.
    #[must_use]
    pub fn yields(&self, own: &Trial, others: &Others, now: Instant) -> bool {
        let state = self.state.lock();
        let before = |other: &&Trial| other.incarnation < own.incarnation;
        let earlier: Vec<&Trial> = others.trials.iter().filter(before).collect();
        let same = earlier
            .iter()
            .filter(|other| other.fingerprint == own.fingerprint);
        let clearance = state.crashes.clearance(&own.fingerprint, same.count(), now);
        let crowded = |other: &&Trial| other.server == own.server && (own.alone || other.alone);
        matches!(clearance, Clearance::Wait | Clearance::Refused(_)) || earlier.iter().any(crowded)
    }

    /// Notes a crash that this entry saw.
    pub fn note(&self, crash: Crash, now: Instant) {
        let mut state = self.state.lock();
        state.crashes.note(&crash, now);
        state.seen.retain(|seen| seen.counts(now));
        if state.seen.len() >= SEEN_MAX {
            state.seen.remove(0);
        }
        state.seen.push(crash);
    }

    /// Notes a crash that a peer saw.
    pub fn heard(&self, crash: &Crash, now: Instant) {
        self.state.lock().crashes.note(crash, now);
    }

    /// Forgets crashes of a request that ran to its end.
    pub fn absolve(&self, request: &Fingerprint, now: Instant) {
        let mut state = self.state.lock();
        state.crashes.absolve(request, now);
        state.seen.retain(|seen| seen.fingerprint != *request);
    }

    /// The crashes that this entry saw and the trials that it runs, for its digest.
    #[must_use]
    pub fn told(&self) -> (Vec<Crash>, Vec<Trial>) {
        let state = self.state.lock();
        (state.seen.clone(), state.trials.values().cloned().collect())
    }
}

/// Whether nothing listens on a server's port any more.
pub(super) async fn is_down(address: &str) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(PROBE, connect).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
