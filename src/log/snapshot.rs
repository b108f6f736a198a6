//! Decides when to append the next snapshot, before the last one expires.

use std::time::{Duration, Instant};

use crate::wire::LogPage;

/// New records after which the next snapshot is due.
const RECORDS_MAX: u64 = 500;
/// Time after which the next snapshot is due, if there are new records.
const AGE_MAX: Duration = Duration::from_secs(600);
/// Time after which an appended snapshot that was not read back is appended again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Decides when the next snapshot of a stream is due.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotClock {
    /// First offset that the log retains.
    first: u64,
    /// Offset of the last snapshot read.
    last: Option<u64>,
    /// When a snapshot was last appended.
    appended: Option<Instant>,
}

impl SnapshotClock {
    /// Records a page's first offset and the offset of the last snapshot read.
    pub fn observe(&mut self, page: &LogPage, last: Option<u64>) {
        self.first = page.first;
        self.last = self.last.max(last);
    }

    /// Whether a snapshot is due; if so, it counts as appended at `now`.
    pub fn take_due(&mut self, next: u64, now: Instant) -> bool {
        let is_due = self.is_due(next, now);
        if is_due {
            self.appended = Some(now);
        }
        is_due
    }

    fn is_due(&self, next: u64, now: Instant) -> bool {
        let elapsed = |limit| self.appended.is_none_or(|at| now >= at + limit);
        if !elapsed(RETRY_INTERVAL) {
            return false;
        }
        let new_records = next - self.last.map_or(0, |last| last + 1).min(next);
        let expired = self.first > 0 && self.last.unwrap_or(0) < self.first;
        // Records before `first` have expired, and the older half of the rest expires next.
        let middle = self.first + (next - self.first.min(next)) / 2;
        let expires_soon = self.first > 0 && self.last.unwrap_or(0) < middle;
        expired
            || (new_records > 0 && (new_records >= RECORDS_MAX || expires_soon || elapsed(AGE_MAX)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn page(first: u64) -> LogPage {
        LogPage {
            first,
            next: first,
            records: Vec::new(),
        }
    }

    #[test]
    fn due_cases() {
        let now = Instant::now();
        // First retained offset, last snapshot, next offset, whether a snapshot is due.
        let cases = [
            (0, None, 0, false),
            (0, None, 1, true),
            (0, Some(0), 1, false),
            (0, Some(0), 500, false),
            (0, Some(0), 501, true),
            (100, Some(120), 130, false),
            (100, Some(110), 130, true),
            (100, Some(99), 100, true),
        ];
        for (first, last, next, due) in cases {
            let mut clock = SnapshotClock {
                // Past the retry interval at `at`, but below the age limit.
                appended: (next > 1).then_some(now),
                ..SnapshotClock::default()
            };
            clock.observe(&page(first), last);
            let at = now + RETRY_INTERVAL;
            assert_eq!(clock.take_due(next, at), due, "{first} {last:?} {next}");
            assert!(
                !clock.take_due(next, at),
                "due again within the retry interval"
            );
        }
    }
}
