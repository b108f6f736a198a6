//! Time slices of samples, derived from the durations of recent samples of the model.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent samples of which the duration is kept.
const RECENT_MAX: usize = 64;
/// Number of samples below which no median is computed.
const MEDIAN_SAMPLES_MIN: usize = 8;
/// Multiple of the median duration above which a sample counts as long.
const LONG_FACTOR: u32 = 3;
/// Minimum time slice of a first part.
const SLICE_MIN: Duration = Duration::from_millis(200);
/// Maximum time slice; bounds the work that is lost when an entry fails.
const SLICE_MAX: Duration = Duration::from_secs(30);
/// Minimum time slice of a long sample's further parts.
const SLICE_LONG: Duration = Duration::from_secs(5);
/// Time slice of a first part while there is no median; doubles with each further part.
const SLICE_UNKNOWN: Duration = Duration::from_secs(1);

/// Durations of the most recent whole samples of a model.
#[derive(Clone, Debug, Default)]
pub struct SampleDurations {
    recent: VecDeque<Duration>,
}

impl SampleDurations {
    /// Records the time that a whole sample took on servers.
    pub fn record(&mut self, took: Duration) {
        if self.recent.len() == RECENT_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(took);
    }

    fn median(&self) -> Option<Duration> {
        if self.recent.len() < MEDIAN_SAMPLES_MIN {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        Some(sorted[sorted.len() / 2])
    }

    /// Time slice for the next part of a sample that has had `parts` parts before.
    ///
    /// The slice starts at the part's first token. The first part ends when the sample counts as
    /// long; the sample then resumes on the server with the most free capacity.
    #[must_use]
    pub fn slice(&self, parts: u32) -> Duration {
        match self.median() {
            Some(median) if parts == 0 => (median * LONG_FACTOR).clamp(SLICE_MIN, SLICE_MAX),
            Some(median) => SLICE_LONG.max(median).min(SLICE_MAX),
            None => (SLICE_UNKNOWN * 2_u32.pow(parts.min(5))).min(SLICE_MAX),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slice_grows_while_unknown() {
        let durations = SampleDurations::default();
        assert_eq!(durations.slice(0), SLICE_UNKNOWN);
        assert_eq!(durations.slice(1), SLICE_UNKNOWN * 2);
        assert_eq!(durations.slice(9), SLICE_MAX);
    }

    #[test]
    fn slice_ends_beyond_median() {
        let mut durations = SampleDurations::default();
        (0..100).for_each(|_| durations.record(Duration::from_secs(1)));
        durations.record(Duration::from_secs(100));
        assert_eq!(durations.slice(0), Duration::from_secs(3));
        assert_eq!(durations.slice(1), SLICE_LONG);
    }
}
