//! Outlier ejection: failing servers get no work for a while, then a slow start.

use std::time::{Duration, Instant};

/// Time of a server's first ejection; it doubles with each ejection in a row.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Longest time of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Failures in a row that eject a server; a failed connection ejects it at once.
const MAX_FAILURES: u32 = 2;
/// Concurrent requests at which a returning server counts as healthy after a success.
const SLOW_START_MAX: u32 = 16;

/// How a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made.
    Unreachable,
    /// The server broke off, stalled, or sent an invalid answer.
    Broken,
}

/// The health of a server, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// The server may get any work.
    Healthy {
        /// Failures since its last success.
        failures: u32,
    },
    /// The server gets no work until an instant, and then one request as a probe.
    Ejected {
        /// When the server may be probed.
        until: Instant,
        /// Ejections in a row.
        times: u32,
    },
    /// The server works again and may run more requests with each success.
    Returning {
        /// Requests of this entry that the server may run at a time.
        allowed: u32,
        /// Ejections in a row.
        times: u32,
    },
}

impl Default for Health {
    fn default() -> Self {
        Self::Healthy { failures: 0 }
    }
}

impl Health {
    /// Whether a server with `inflight` requests of this entry may get one more.
    #[must_use]
    pub fn admits(&self, inflight: u32, now: Instant) -> bool {
        match *self {
            Self::Healthy { .. } => true,
            Self::Ejected { until, .. } => now >= until && inflight == 0,
            Self::Returning { allowed, .. } => inflight < allowed,
        }
    }

    /// Records a failure, which may eject the server.
    pub fn fail(&mut self, failure: Failure, now: Instant) {
        *self = match *self {
            Self::Healthy { failures } => {
                let failures = failures + 1;
                if failure == Failure::Unreachable || failures >= MAX_FAILURES {
                    ejected(0, now)
                } else {
                    Self::Healthy { failures }
                }
            }
            // Failures of requests that were sent before the ejection don't prolong it.
            Self::Ejected { until, .. } if now < until => *self,
            Self::Ejected { times, .. } | Self::Returning { times, .. } => ejected(times, now),
        };
    }

    /// Records a complete answer, which may end the ejection or the slow start.
    pub fn succeed(&mut self, now: Instant) {
        *self = match *self {
            Self::Healthy { .. } => Self::default(),
            Self::Ejected { until, .. } if now < until => *self,
            Self::Ejected { times, .. } => Self::Returning { allowed: 2, times },
            Self::Returning { allowed, .. } if allowed >= SLOW_START_MAX => Self::default(),
            Self::Returning { allowed, times } => Self::Returning {
                allowed: allowed * 2,
                times,
            },
        };
    }
}

fn ejected(times: u32, now: Instant) -> Health {
    let wait = BASE_EJECTION
        .saturating_mul(1 << times.min(16))
        .min(MAX_EJECTION);
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
        assert!(health.admits(0, now + BASE_EJECTION));
        assert!(!health.admits(1, now + BASE_EJECTION));
    }

    #[test]
    fn fail_ejects_after_failures_in_a_row() {
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
        let back = now + BASE_EJECTION;
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
