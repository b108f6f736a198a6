//! How reads of the store go on after one has failed; pure.
//!
//! The load pattern: hundreds of processes start together, or lose the store together, and
//! share its rates. Reads that are given up and asked again in step would spend those rates
//! on answers that nobody waits for any more.

use std::time::Duration;

use super::edge::{STORE_PAUSE, StoreError};

/// Longest pause after a read that failed: a withdrawn key must be known of in seconds.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Bytes that a read asks for at most: the platform's limit.
const BYTES_MAX: usize = 1 << 20;
/// Bytes that a read asks for at least: some hundred records.
const BYTES_MIN: usize = 32 << 10;

/// Pauses and sizes of the reads of one stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    failures: u32,
    bytes: usize,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            failures: 0,
            bytes: BYTES_MAX,
        }
    }
}

impl Retry {
    /// Bytes that the next read asks for.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Notes an answer.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.bytes = (self.bytes * 2).min(BYTES_MAX);
    }

    /// Notes a failure; gives the pause before the next read, which `draw` in `0..1` spreads.
    ///
    /// Pauses grow. An answer that did not come in time may have been too large.
    pub fn failed(&mut self, error: &StoreError, draw: f64) -> Duration {
        if matches!(error, StoreError::Unanswered { .. }) {
            self.bytes = (self.bytes / 2).max(BYTES_MIN);
        }
        let longest = STORE_PAUSE
            .saturating_mul(1 << self.failures.min(8))
            .min(PAUSE_MAX);
        self.failures += 1;
        longest.mul_f64(0.5 + draw / 2.0)
    }
}
