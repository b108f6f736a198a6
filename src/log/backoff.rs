//! Pauses between failed calls, which double and vary.

use std::time::Duration;

use crate::util::jittered;

/// First pause; it doubles with each failure.
const FIRST: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX: Duration = Duration::from_secs(1);

/// The pause after the next failure.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST }
    }
}

impl Backoff {
    /// Starts again with the first pause, after a success.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }

    /// Pauses between half of the pause that is due and all of it.
    pub async fn pause(&mut self) {
        let pause = jittered(self.next);
        self.next = (self.next * 2).min(MAX);
        tokio::time::sleep(pause).await;
    }
}
