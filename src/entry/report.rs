//! Backend servers' own load reports, which lag.

use std::time::{Duration, Instant};

/// Time in which the weight of old news about load falls to 1/e.
///
/// It is that of a short answer: what ran longer ago than that says little of what runs now.
const MEMORY: Duration = Duration::from_millis(300);

/// The weight of news that is `age` old.
#[must_use]
pub fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}

/// A server's report with what this entry ran on it then.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Requests that run or wait on it.
    pub total: f64,
    /// Requests of this entry on it when the report came.
    pub own: f64,
    /// Weight version that it holds.
    pub version: u64,
    /// Model that it holds.
    pub model: String,
    /// When the report came.
    pub at: Instant,
}

/// Requests on a server: own ones, and the larger of what peers and the report say of others.
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
