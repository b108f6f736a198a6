//! Lower bounds on when a peer's message was created, without synchronised clocks.
//!
//! Each message carries a timestamp of its sender's clock. It also echoes the last timestamp
//! received from the other side, and how long the sender held that timestamp. A message was
//! created no earlier than (instant of the echoed timestamp) + (time held), even if its sender
//! was paused before sending.

use std::time::{Duration, Instant};

use crate::util::millis;

/// The clock of one side of a link.
///
/// Timestamps count milliseconds since the side began to open the link.
#[derive(Clone, Copy, Debug)]
pub struct LinkClock {
    opened: Instant,
    last: Option<LastStamp>,
}

/// The last timestamp received from the other side, and when it was received.
#[derive(Clone, Copy, Debug)]
struct LastStamp {
    stamp: u64,
    at: Instant,
}

impl LinkClock {
    /// Creates the clock of a link whose handshake started at `opened` or later.
    #[must_use]
    pub fn new(opened: Instant) -> Self {
        Self { opened, last: None }
    }

    /// The timestamp to send at `now`, in milliseconds.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.opened))
    }

    /// The timestamp to echo at `now`, and the milliseconds for which it was held.
    #[must_use]
    pub fn echo(&self, now: Instant) -> (Option<u64>, u64) {
        match self.last {
            Some(last) => (
                Some(last.stamp),
                millis(now.saturating_duration_since(last.at)),
            ),
            None => (None, 0),
        }
    }

    /// Records a message received at `now`. Returns the earliest instant of its creation.
    pub fn receive(&mut self, stamp: u64, echo: Option<u64>, held: u64, now: Instant) -> Instant {
        self.last = Some(LastStamp { stamp, at: now });
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
            far.receive(near.stamp(after(10)), None, 0, after(11)),
            after(2)
        );
        let (echo, held) = far.echo(after(200));
        // The far side is paused for 4 s between creating its message and sending it.
        let made = near.receive(far.stamp(after(200)), echo, held, after(4_201));
        assert_eq!(made, after(199));
    }
}
