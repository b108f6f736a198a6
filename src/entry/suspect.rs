//! Trials of suspect requests on this and other entries, and which requests may run.
//!
//! A suspect is a request that was in flight when its server crashed. Each further run is
//! a trial, announced to the other entries before the request is sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::names::{Fingerprint, Incarnation, ServerId};

use super::other_entries::OtherEntries;
use super::poison::{Clearance, Crash, CrashTable};

/// Timeout of the connection attempt that tells a crashed server from a broken stream.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Crashes that one entry reports to its peers; the latest are kept.
const SEEN_MAX: usize = 256;

/// A suspect request that runs, or is about to run, on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The suspect request.
    pub fingerprint: Fingerprint,
    /// The server that runs the trial.
    pub server: ServerId,
    /// Whether no other suspect may run on the server.
    pub alone: bool,
    /// The entry that runs the trial.
    pub incarnation: Incarnation,
    /// When the trial began.
    pub begun: Instant,
}

/// The crashes that one entry knows, and the trials that it runs.
#[derive(Debug, Default)]
pub struct Suspects {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    crashes: CrashTable,
    /// Crashes that this entry saw itself, for the digest to its peers.
    seen: Vec<Crash>,
    trials: BTreeMap<u64, Trial>,
    /// Number of the latest trial.
    last_number: u64,
}

/// A trial in flight. Dropping a `TrialGuard` ends the trial.
#[derive(Debug)]
pub struct TrialGuard {
    suspects: Arc<Suspects>,
    number: u64,
    /// The trial that the guard keeps registered.
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
    pub fn no_crashes(&self) -> bool {
        self.state.lock().crashes.is_empty()
    }

    /// Whether and how a request may run now, given trials on all entries.
    #[must_use]
    pub fn clearance(
        &self,
        request: &Fingerprint,
        others: &OtherEntries,
        now: Instant,
    ) -> Clearance {
        let state = self.state.lock();
        let same = |trial: &&Trial| trial.fingerprint == *request;
        let own = state.trials.values().filter(same).count();
        let elsewhere = others.trials.iter().filter(same).count();
        state.crashes.clearance(request, own + elsewhere, now)
    }

    /// The servers that a suspect must not run on.
    ///
    /// If the suspect must run `alone`, these are all servers with a trial, else the servers whose
    /// trial must run alone.
    #[must_use]
    pub fn excluded(&self, alone: bool, others: &OtherEntries) -> Vec<ServerId> {
        let state = self.state.lock();
        let trials = state.trials.values().chain(&others.trials);
        let excluded = trials.filter(|trial| alone || trial.alone);
        excluded.map(|trial| trial.server.clone()).collect()
    }

    /// Registers a trial, which must be announced to the peers before the request is sent.
    #[must_use]
    pub fn begin(self: &Arc<Self>, trial: Trial) -> TrialGuard {
        let mut state = self.state.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.trials.insert(number, trial.clone());
        TrialGuard {
            suspects: Arc::clone(self),
            number,
            trial,
        }
    }

    /// Whether the trial `own` must give way to a concurrent trial of another entry.
    ///
    /// The entry with the lower incarnation goes first.
    #[must_use]
    pub fn yields(&self, own: &Trial, others: &OtherEntries, now: Instant) -> bool {
        let state = self.state.lock();
        let before = |other: &&Trial| other.incarnation < own.incarnation;
        let earlier: Vec<&Trial> = others.trials.iter().filter(before).collect();
        let same = earlier
            .iter()
            .filter(|other| other.fingerprint == own.fingerprint);
        let clearance = state.crashes.clearance(&own.fingerprint, same.count(), now);
        let conflicts = |other: &&Trial| other.server == own.server && (own.alone || other.alone);
        matches!(clearance, Clearance::Wait | Clearance::Refused(_))
            || earlier.iter().any(conflicts)
    }

    /// Records a crash that this entry saw, and keeps it for the digest.
    pub fn note(&self, crash: Crash, now: Instant) {
        let mut state = self.state.lock();
        state.crashes.note(&crash, now);
        state.seen.retain(|seen| seen.counts(now));
        if state.seen.len() >= SEEN_MAX {
            state.seen.remove(0);
        }
        state.seen.push(crash);
    }

    /// Records a crash that a peer reported.
    pub fn note_reported(&self, crash: &Crash, now: Instant) {
        self.state.lock().crashes.note(crash, now);
    }

    /// Drops the crashes of a request that completed.
    pub fn note_completion(&self, request: &Fingerprint, now: Instant) {
        let mut state = self.state.lock();
        state.crashes.note_completion(request, now);
        state.seen.retain(|seen| seen.fingerprint != *request);
    }

    /// The crashes that this entry saw and the trials that it runs, for the digest.
    #[must_use]
    pub fn for_digest(&self) -> (Vec<Crash>, Vec<Trial>) {
        let state = self.state.lock();
        (state.seen.clone(), state.trials.values().cloned().collect())
    }
}

/// Whether a server's port refuses connections, which shows that its process ended.
pub(super) async fn is_down(address: &str) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
