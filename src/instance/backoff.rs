//! Backoff and read sizes after failed reads of the store, without I/O.
//!
//! Hundreds of processes start together, or lose the store together, and share its rate limits.
//! Reads that time out and are retried in step would spend those limits on answers that nobody
//! waits for any more.

use std::time::Duration;

use super::interfaces::{STORE_BACKOFF, StoreError};

/// Longest pause after a failed read; a key's withdrawal must become known within seconds.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Maximum bytes that a read requests: the platform's limit.
const BYTES_MAX: usize = 1 << 20;
/// Minimum bytes that a read requests: about a hundred records.
const BYTES_MIN: usize = 32 << 10;

/// Backoff state and read size of one stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadBackoff {
    failures: u32,
    bytes: usize,
}

impl Default for ReadBackoff {
    fn default() -> Self {
        Self {
            failures: 0,
            bytes: BYTES_MAX,
        }
    }
}

impl ReadBackoff {
    /// Bytes that the next read should request.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records an answer: resets the backoff and doubles the read size.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.bytes = (self.bytes * 2).min(BYTES_MAX);
    }

    /// Records a failure; returns the pause before the next read.
    ///
    /// Pauses grow exponentially, with jitter from the random number `draw` in `0..1`. After a
    /// missing answer the read size is halved, since the answer may have been too large. A read
    /// that ended since the store returned is repeated at once.
    pub fn failed(&mut self, error: &StoreError, draw: f64) -> Duration {
        if matches!(error, StoreError::Returned) {
            self.failures = 0;
            return Duration::ZERO;
        }
        if matches!(error, StoreError::Unanswered { .. }) {
            self.bytes = (self.bytes / 2).max(BYTES_MIN);
        }
        let longest = STORE_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(PAUSE_MAX);
        self.failures += 1;
        longest.mul_f64(0.5 + draw / 2.0)
    }
}
