//! Decides since when the store has been silent, and when calls are repeated once it answers.
//!
//! Load pattern: the store answers no call for several seconds and then returns. Calls that were
//! sent meanwhile get no answer, so each task would find out about the return only when its own
//! time limit has passed, up to 1.5 s later; and hundreds of processes that repeated their calls at
//! once would use up the store's rates.

use std::time::Duration;

use crate::boot::Boot;

/// Time without any answer, with a call that got none, after which the store counts as silent:
/// twice the wait of the long polls that every process keeps open.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time limit on a read that probes a silent store, so that its return is noticed within half a
/// second: 300 processes send 750 reads a second, an eighth of what the store takes of 80.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Range over which calls are repeated after the store's return.
const SPREAD: Duration = Duration::from_millis(200);

/// What is known of the store from the outcomes of all calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreState {
    /// When the last answer arrived; none before the first one.
    pub answered: Option<Boot>,
    /// When the last answer before the present silence arrived.
    silent_since: Option<Boot>,
    /// When the last silence ended.
    returned: Option<Boot>,
}

impl StoreState {
    /// Records an answer; returns the start of the silence that it ends, if there was one.
    pub fn note_answer(&mut self, now: Boot) -> Option<Boot> {
        self.answered = Some(now);
        let ended = self.silent_since.take();
        if ended.is_some() {
            self.returned = Some(now);
        }
        ended
    }

    /// Records that a call was given up without an answer; returns the start of the silence that
    /// this shows, if it was not known.
    ///
    /// A store that has never answered is not silent: a process that starts beside hundreds of
    /// others may have to wait for its first answers.
    pub fn note_unanswered(&mut self, now: Boot) -> Option<Boot> {
        let answered = self.answered?;
        if self.silent_since.is_some() || now < answered + SILENT_AFTER {
            return None;
        }
        self.silent_since = Some(answered);
        self.silent_since
    }

    /// Whether the store is silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// How long the store has been silent; zero while it answers.
    #[must_use]
    pub fn silent_for(&self, now: Boot) -> Duration {
        self.silent_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// How long a call that has been unanswered for `unanswered` has lacked an answer of a store
    /// that is not silent: a call sent during a silence was not answered because of that.
    #[must_use]
    pub fn unanswered_since_return(&self, unanswered: Duration, now: Boot) -> Duration {
        self.returned
            .map_or(unanswered, |returned| unanswered.min(now.since(returned)))
    }
}

/// Which calls are repeated first after the store's return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// Lease renewals, on which everything that a leader does depends.
    Lease,
    /// Submissions, results and what their leader reads.
    Job,
    /// Drafts, counters, heartbeats and demands.
    Background,
}

impl Urgency {
    /// Time from the store's return until a call is repeated; `draw` in `0..1` spreads it.
    #[must_use]
    pub fn delay(self, draw: f64) -> Duration {
        let half = SPREAD / 2;
        match self {
            Self::Lease => Duration::ZERO,
            Self::Job => half.mul_f64(draw),
            Self::Background => half + half.mul_f64(draw),
        }
    }
}

/// Pause after a probe that was sent at `sent` and failed.
///
/// One without an answer is followed by the next one at once. One that fails early, on a refused or
/// reset connection, is followed at the same rate.
#[must_use]
pub fn probe_pause(sent: Boot, now: Boot) -> Duration {
    (sent + PROBE_TIMEOUT).left(now)
}
