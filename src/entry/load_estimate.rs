//! Estimates a server's load from its own load reports, which lag behind.

use std::time::{Duration, Instant};

/// Time in which the weight of a load figure falls to 1/e.
///
/// Equal to the duration of a short answer: older figures say little about the load now.
const DECAY_TIME: Duration = Duration::from_millis(300);

/// The weight of a load figure of this `age`, which decays exponentially from 1.
#[must_use]
pub fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// A server's load report, with this entry's share of the load at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Requests that ran or waited on the server.
    pub total: f64,
    /// This entry's requests in flight on the server when the report arrived.
    pub own: f64,
    /// Weight version that the server has loaded.
    pub version: u64,
    /// Model that the server has loaded.
    pub model: String,
    /// When the report arrived.
    pub at: Instant,
}

/// Estimates the requests on a server, from this entry and all others.
///
/// `peers` is the estimate of the other entries' requests from their digests. The larger of it
/// and the decayed report counts.
#[must_use]
pub fn estimate(own: f64, peers: f64, report: Option<&Report>, now: Instant) -> f64 {
    let reported = report.map_or(0.0, |report| {
        let others = (report.total - report.own).max(0.0);
        others * weight(now.saturating_duration_since(report.at))
    });
    own + peers.max(reported)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimate_forgets_old_reports() {
        let now = Instant::now();
        let report = Report {
            total: 12.0,
            own: 2.0,
            version: 1,
            model: String::new(),
            at: now,
        };
        let at = |seconds| estimate(3.0, 1.0, Some(&report), now + Duration::from_secs(seconds));
        assert!((at(0) - 13.0).abs() < 0.01);
        assert!(at(1) < 4.5);
        assert!((at(60) - 4.0).abs() < 0.01);
    }
}
