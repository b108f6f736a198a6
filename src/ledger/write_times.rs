//! Write times of a log's records, by which old records are found.

use std::collections::VecDeque;
use std::time::Duration;

use crate::boot::Boot;

/// Write times and offsets of a log's records, oldest first.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes(VecDeque<(Boot, u64)>);

impl WriteTimes {
    /// Notes that the record at `offset`, and all before it, were written by `now`.
    pub fn add(&mut self, now: Boot, offset: u64) {
        self.0.push_back((now, offset));
    }

    /// Returns the offset before which all records are older than `kept`.
    ///
    /// Their write times are dropped, so that each offset is returned once.
    pub fn take_expired(&mut self, now: Boot, kept: Duration) -> Option<u64> {
        let mut before = None;
        while let Some((at, offset)) = self.0.front().copied()
            && at + kept < now
        {
            before = Some(offset);
            self.0.pop_front();
        }
        before
    }
}
