//! Decides whether a job's submission proceeds, waits for the store or is refused.
//!
//! Load pattern: the store is silent for up to 7 s while several trainers submit a round every few
//! seconds. A trainer sends a submission twice at most and soon after a refusal, so refusing at
//! once uses up both attempts within a second, and the round is lost though the store returns in
//! time for it.

use std::time::Duration;

use crate::boot::Boot;

/// Time without an answer after which the store counts as silent: several times what a slow store
/// takes for an append, and the age up to which an append is expected to be answered.
pub const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time limit on an append to the log where the route states no due time.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// `Retry-After` of a submission whose key cannot be confirmed, where the route states no due time:
/// another instance may be able to.
const UNSURE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Part of the time until the results are due that a submission may wait, as a divisor: the other
/// half is left to a second attempt at another instance, which may reach the store.
const WAIT_DIVISOR: u32 = 2;
/// Least time to write a submission that stopped waiting: two appends one after the other, each
/// behind a resent one that is spread over 0.2 s.
const WRITE_TIME: Duration = Duration::from_millis(600);
/// `Retry-After` of a submission where the route states no due time.
pub(super) const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest `Retry-After` of a submission that waited: time for the trainer to choose an instance.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Range over which the retries of submissions that waited are spread, so that those refused by
/// one silence do not arrive together.
const RETRY_SPREAD: Duration = Duration::from_millis(300);

/// The times that bound a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Arrival of the request at this instance.
    pub arrived: Boot,
    /// Time from the arrival until the results are due, if the route states it.
    pub result_due: Option<Duration>,
    /// When the caller must have an answer.
    pub deadline: Boot,
}

/// What an instance knows of the store when it decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreView {
    /// Whether the configuration is recent enough to confirm or refuse the key.
    pub keys_known: bool,
    /// How long the store has answered no call, or no append.
    pub silent_for: Duration,
}

/// How to go on with a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Write the record, and answer by then.
    Proceed {
        /// When the caller is told that the record is not confirmed.
        by: Boot,
    },
    /// Decide again when the store has answered, and at this time at the latest.
    Wait {
        /// When the wait ends.
        until: Boot,
    },
    /// Refuse the submission, of which nothing has been written.
    Refuse {
        /// When the trainer may try again.
        retry_after: Duration,
    },
}

impl Submission {
    /// Decides at `now`; `draw` in `0..1` spreads the retries.
    #[must_use]
    pub fn decide(&self, view: StoreView, now: Boot, draw: f64) -> Decision {
        let is_silent = view.silent_for > SILENT_AFTER;
        match self.wait_end() {
            _ if view.keys_known && !is_silent => Decision::Proceed {
                by: self.write_by(now),
            },
            Some(until) if now < until => Decision::Wait { until },
            None if !view.keys_known => Decision::Refuse {
                retry_after: UNSURE_RETRY_AFTER,
            },
            Some(_) | None => Decision::Refuse {
                retry_after: self.retry_after(draw),
            },
        }
    }

    /// When the wait for the store ends; none if the route states no due time.
    #[must_use]
    pub fn wait_end(&self) -> Option<Boot> {
        let half = self.result_due? / WAIT_DIVISOR;
        Some((self.arrived + half).min(self.deadline))
    }

    /// When a record whose write begins at `now` is given up.
    fn write_by(&self, now: Boot) -> Boot {
        let by = match self.wait_end() {
            Some(end) => end.max(now + WRITE_TIME),
            None => self.arrived + APPEND_TIMEOUT,
        };
        by.min(self.deadline)
    }

    /// `Retry-After` of a submission that the store did not take; `draw` in `0..1` spreads it.
    #[must_use]
    pub fn retry_after(&self, draw: f64) -> Duration {
        match self.result_due {
            Some(_) => RETRY_MIN + RETRY_SPREAD.mul_f64(draw),
            None => STORE_RETRY_AFTER,
        }
    }
}
