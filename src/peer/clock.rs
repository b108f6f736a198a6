//! Bounds on when a peer's message was made, without synchronised clocks.
//!
//! Each message carries a stamp of its sender's clock and echoes the last stamp that came,
//! with the time for which it was held. What the other side says was made no earlier than
//! (instant of the echoed stamp) + (time held), even if it was paused before sending.

use std::time::{Duration, Instant};

use crate::util::millis;

/// One side of a link's clock.
#[derive(Clone, Copy, Debug)]
pub struct LinkClock {
    opened: Instant,
    came: Option<Came>,
}

/// The last stamp that came from the other side.
#[derive(Clone, Copy, Debug)]
struct Came {
    stamp: u64,
    at: Instant,
}

impl LinkClock {
    /// The clock of a link that began to open at `opened`.
    #[must_use]
    pub fn new(opened: Instant) -> Self {
        Self { opened, came: None }
    }

    /// The stamp to send at `now`.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.opened))
    }

    /// The stamp to echo at `now`, and the milliseconds for which it was held.
    #[must_use]
    pub fn echo(&self, now: Instant) -> (Option<u64>, u64) {
        match self.came {
            Some(came) => (
                Some(came.stamp),
                millis(now.saturating_duration_since(came.at)),
            ),
            None => (None, 0),
        }
    }

    /// Notes a message that came at `now`; the earliest instant at which it was made.
    pub fn came(&mut self, stamp: u64, echo: Option<u64>, held: u64, now: Instant) -> Instant {
        self.came = Some(Came { stamp, at: now });
        let Some(echo) = echo else {
            return self.opened;
        };
        let after = Duration::from_millis(echo.saturating_add(held));
        let made = self.opened.checked_add(after).unwrap_or(now);
        made.min(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clock_counts_pause_before_sending() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut near = LinkClock::new(start);
        let mut far = LinkClock::new(after(2));
        assert_eq!(
            far.came(near.stamp(after(10)), None, 0, after(11)),
            after(2)
        );
        let (echo, held) = far.echo(after(200));
        // The far side is paused for 4 s between making its message and sending it.
        let made = near.came(far.stamp(after(200)), echo, held, after(4_201));
        assert_eq!(made, after(199));
    }
}
