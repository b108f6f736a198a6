//! Limits the request rate to servers that are warming up.
//!
//! Servers that have just started, or lost their caches, have free slots and would get most new
//! requests from all instances at once. They crash at a rate well above the stated one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::boot::Boot;

/// Period to which the stated rate applies.
const WINDOW: Duration = Duration::from_secs(1);
/// Lowest effective rate, in requests per second; avoids a division by zero.
const RATE_MIN: f64 = 0.01;
/// Factor on the interval between the requests of an instance, for the network jitter.
const GAP_FACTOR: f64 = 1.25;
/// Maximum number of sends that are remembered; above any stated rate.
const SENT_MAX: usize = 128;

/// Times of the recent requests to a server.
#[derive(Clone, Debug, Default)]
pub struct RecentSends(VecDeque<Boot>);

impl RecentSends {
    /// Records a request.
    pub fn note(&mut self, now: Boot) {
        if self.0.len() >= SENT_MAX {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the number of requests within the last window.
    #[must_use]
    pub fn count(&self, now: Boot) -> usize {
        let newest = self.0.iter().rev();
        newest.take_while(|sent| now < **sent + WINDOW).count()
    }
}

/// Requests per second that all instances together may send to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRate(pub f64);

impl WarmupRate {
    /// Returns how many requests a lease holder may send now to a server that gets requests from
    /// the holder only.
    ///
    /// The limit is half of the rate, at least one per window: a successor may send as many within
    /// the same second.
    #[must_use]
    pub fn remaining(self, recent: &RecentSends, now: Boot) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate is a small positive number"
        )]
        let limit = (self.0 / 2.0).max(1.0) as usize;
        limit.saturating_sub(recent.count(now))
    }

    /// Whether one of `instances` instances that share the rate may send a request now.
    #[must_use]
    pub fn allows(self, instances: usize, recent: &RecentSends, now: Boot) -> bool {
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let gap = WINDOW.mul_f64(GAP_FACTOR * instances / self.0.max(RATE_MIN));
        recent.0.back().is_none_or(|last| *last + gap <= now)
    }
}
