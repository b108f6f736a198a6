//! How many requests a server gets that bears only a few a second while it warms up; pure.
//!
//! The load pattern: servers that have just started, or lost their caches, stand beside warm ones,
//! have free slots, and would get most new requests from all instances at once. They crash at
//! a rate well above the stated one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::boot::Boot;

/// Span of time that the stated rate is about.
const WINDOW: Duration = Duration::from_secs(1);
/// The lowest rate that is told apart, in requests a second.
const RATE_MIN: f64 = 0.01;
/// Growth of the time between two requests of an instance, for what the way to the server adds.
const GAP_FACTOR: f64 = 1.25;
/// Sends that are remembered: more than any stated rate.
const SENT_MAX: usize = 128;

/// When requests were sent to a server lately.
#[derive(Clone, Debug, Default)]
pub struct Recent(VecDeque<Boot>);

impl Recent {
    /// Notes a request.
    pub fn note(&mut self, now: Boot) {
        if self.0.len() >= SENT_MAX {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Requests within the last window.
    #[must_use]
    pub fn count(&self, now: Boot) -> usize {
        let newest = self.0.iter().rev();
        newest.take_while(|sent| now < **sent + WINDOW).count()
    }
}

/// Requests a second that all instances together may send to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate(pub f64);

impl Rate {
    /// Requests that one holder may send now, where only holders of one lease send any.
    ///
    /// Half of the rate: a successor may send as many within the same second.
    #[must_use]
    pub fn left(self, recent: &Recent, now: Boot) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate is a small positive number"
        )]
        let most = (self.0 / 2.0).max(1.0) as usize;
        most.saturating_sub(recent.count(now))
    }

    /// Whether one of `instances` that share the rate may send a request now.
    #[must_use]
    pub fn allows(self, instances: usize, recent: &Recent, now: Boot) -> bool {
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let gap = WINDOW.mul_f64(GAP_FACTOR * instances / self.0.max(RATE_MIN));
        recent.0.back().is_none_or(|last| *last + gap <= now)
    }
}
