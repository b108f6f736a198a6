//! Exponential backoff with jitter between failed calls.

use std::time::Duration;

use crate::util::jittered;

/// Longest pause after the first failure; the limit doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the doubled pause.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// An exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next: INITIAL_PAUSE,
        }
    }
}

impl Backoff {
    /// Returns to the initial pause, after a success.
    pub fn reset(&mut self) {
        self.next = INITIAL_PAUSE;
    }

    /// Sleeps for a random time between half of the current pause and all of it.
    pub async fn pause(&mut self) {
        let pause = jittered(self.next);
        self.next = (self.next * 2).min(MAX_PAUSE);
        tokio::time::sleep(pause).await;
    }
}
