//! Ejection of failing servers, with a slow return.

use std::time::{Duration, Instant};

/// Time for which a server is left out the first time; it doubles each time.
const FIRST: Duration = Duration::from_secs(1);
/// Longest time for which a server is left out.
const LONGEST: Duration = Duration::from_secs(30);
/// Failures in a row, other than refused connections, that eject a server.
const STRIKES_MAX: u32 = 2;
/// Requests that a returning server runs at a time before it counts as healthy.
const ALLOWED_MAX: u32 = 16;

/// How a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made.
    Unreachable,
    /// It broke off, stalled, or answered something else.
    Broken,
}

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It may get any work.
    Healthy {
        /// Failures since its last success.
        strikes: u32,
    },
    /// It gets no work until an instant, and then one request.
    Ejected {
        /// When it may be tried again.
        until: Instant,
        /// Ejections in a row.
        times: u32,
    },
    /// It works again and gets more work with each success.
    Returning {
        /// Requests that it may run at a time.
        allowed: u32,
        /// Ejections in a row.
        times: u32,
    },
}

impl Default for Health {
    fn default() -> Self {
        Self::Healthy { strikes: 0 }
    }
}

impl Health {
    /// Whether one more request may go to a server that runs `inflight` of this entry.
    #[must_use]
    pub fn admits(&self, inflight: u32, now: Instant) -> bool {
        match *self {
            Self::Healthy { .. } => true,
            Self::Ejected { until, .. } => now >= until && inflight == 0,
            Self::Returning { allowed, .. } => inflight < allowed,
        }
    }

    /// Notes a failure.
    pub fn fail(&mut self, failure: Failure, now: Instant) {
        *self = match *self {
            Self::Healthy { strikes } => {
                let strikes = strikes + 1;
                if failure == Failure::Unreachable || strikes >= STRIKES_MAX {
                    ejected(0, now)
                } else {
                    Self::Healthy { strikes }
                }
            }
            // Requests that were sent before the ejection fail without prolonging it.
            Self::Ejected { until, .. } if now < until => *self,
            Self::Ejected { times, .. } | Self::Returning { times, .. } => ejected(times, now),
        };
    }

    /// Notes an answer that came whole.
    pub fn succeed(&mut self, now: Instant) {
        *self = match *self {
            Self::Healthy { .. } => Self::default(),
            Self::Ejected { until, .. } if now < until => *self,
            Self::Ejected { times, .. } => Self::Returning { allowed: 2, times },
            Self::Returning { allowed, .. } if allowed >= ALLOWED_MAX => Self::default(),
            Self::Returning { allowed, times } => Self::Returning {
                allowed: allowed * 2,
                times,
            },
        };
    }
}

fn ejected(times: u32, now: Instant) -> Health {
    let wait = FIRST.saturating_mul(1 << times.min(16)).min(LONGEST);
    Health::Ejected {
        until: now + wait,
        times: times + 1,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fail_ejects_unreachable_at_once() {
        let now = Instant::now();
        let mut health = Health::default();
        health.fail(Failure::Unreachable, now);
        assert!(!health.admits(0, now));
        assert!(health.admits(0, now + FIRST));
        assert!(!health.admits(1, now + FIRST));
    }

    #[test]
    fn fail_ejects_after_strikes() {
        let now = Instant::now();
        let mut health = Health::default();
        health.fail(Failure::Broken, now);
        assert!(health.admits(0, now));
        health.succeed(now);
        health.fail(Failure::Broken, now);
        assert!(health.admits(0, now));
        health.fail(Failure::Broken, now);
        assert!(!health.admits(0, now));
    }

    #[test]
    fn succeed_returns_slowly() {
        let now = Instant::now();
        let mut health = Health::default();
        health.fail(Failure::Unreachable, now);
        let back = now + FIRST;
        let mut allowed = vec![];
        while health != Health::default() {
            allowed.push((0..100).find(|n| !health.admits(*n, back)));
            health.succeed(back);
        }
        assert_eq!(allowed, [1, 2, 4, 8, 16].map(Some));
    }

    #[test]
    fn fail_waits_longer_each_time() {
        let mut now = Instant::now();
        let mut health = Health::default();
        let mut waits = Vec::new();
        for _ in 0..7 {
            health.fail(Failure::Unreachable, now);
            let Health::Ejected { until, .. } = health else {
                panic!("{health:?}");
            };
            waits.push((until - now).as_secs());
            now = until;
        }
        assert_eq!(waits, [1, 2, 4, 8, 16, 30, 30]);
    }
}
