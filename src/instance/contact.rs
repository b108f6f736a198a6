//! Tracks how recently, and since when without a gap, a stream of the store was read to its end.

use std::time::Duration;

use crate::boot::Boot;

/// Longest gap between two reads that does not count as an interruption.
const GAP_MAX: Duration = Duration::from_millis(1800);

/// How recently, and since when, this process has been reading a stream to its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the last read that reached the stream's end was sent.
    pub last_read: Option<Boot>,
    /// When the current uninterrupted run of such reads began.
    pub unbroken_since: Boot,
}

impl Contact {
    /// Records a read that reached the stream's end.
    pub fn record_read(&mut self, sent: Boot, received: Boot) {
        let unbroken = self
            .last_read
            .is_some_and(|seen| sent.since(seen) < GAP_MAX);
        if !unbroken {
            self.unbroken_since = received;
        }
        self.last_read = Some(sent);
    }

    /// Whether the stream's end was read at most `age` before `now`.
    #[must_use]
    pub fn is_within(&self, age: Duration, now: Boot) -> bool {
        self.last_read.is_some_and(|seen| now < seen + age)
    }
}
