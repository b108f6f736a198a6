//! Since when, and how lately, a stream of the store has been read to its end.

use std::time::Duration;

use crate::boot::Boot;

/// Gap between two reads after which contact counts as interrupted.
const GAP: Duration = Duration::from_millis(1800);

/// Contact with one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the last read was sent that showed the stream's end.
    pub seen: Option<Boot>,
    /// When the present unbroken run of such reads began.
    pub since: Boot,
}

impl Contact {
    /// Notes a read that showed the stream's end.
    pub fn note(&mut self, sent: Boot, received: Boot) {
        let unbroken = self.seen.is_some_and(|seen| sent.since(seen) < GAP);
        if !unbroken {
            self.since = received;
        }
        self.seen = Some(sent);
    }

    /// Whether the stream's end was read at most `age` before `now`.
    #[must_use]
    pub fn is_within(&self, age: Duration, now: Boot) -> bool {
        self.seen.is_some_and(|seen| now < seen + age)
    }
}
