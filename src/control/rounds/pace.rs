//! How long samples of a model take, and how long one part of a sample may take.

use std::collections::VecDeque;
use std::time::Duration;

/// Samples that are remembered.
const KEPT: usize = 64;
/// Samples that must be known before their median counts.
const KNOWN_MIN: usize = 8;
/// Times the median after which a sample counts as long.
const LONG_FACTOR: u32 = 3;
/// Shortest first part.
const SLICE_MIN: Duration = Duration::from_millis(200);
/// Longest part, which bounds what the loss of an entry costs.
const SLICE_MAX: Duration = Duration::from_secs(30);
/// Part of a long sample.
const SLICE_LONG: Duration = Duration::from_secs(5);
/// First part while no median is known; each further part is twice as long.
const SLICE_UNKNOWN: Duration = Duration::from_secs(1);

/// The durations of the latest whole samples of a model.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    recent: VecDeque<Duration>,
}

impl Pace {
    /// Notes the time that a whole sample took on servers.
    pub fn note(&mut self, took: Duration) {
        if self.recent.len() == KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(took);
    }

    fn median(&self) -> Option<Duration> {
        if self.recent.len() < KNOWN_MIN {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        Some(sorted[sorted.len() / 2])
    }

    /// Time from its first token for the part of a sample that has had `parts` before.
    ///
    /// A first part ends where a sample counts as long. It is then resumed where there is
    /// most room.
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
        let pace = Pace::default();
        assert_eq!(pace.slice(0), SLICE_UNKNOWN);
        assert_eq!(pace.slice(1), SLICE_UNKNOWN * 2);
        assert_eq!(pace.slice(9), SLICE_MAX);
    }

    #[test]
    fn slice_ends_beyond_median() {
        let mut pace = Pace::default();
        (0..100).for_each(|_| pace.note(Duration::from_secs(1)));
        pace.note(Duration::from_secs(100));
        assert_eq!(pace.slice(0), Duration::from_secs(3));
        assert_eq!(pace.slice(1), SLICE_LONG);
    }
}
