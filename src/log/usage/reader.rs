//! Folds pages of the usage stream, and restores a snapshot if records expired unread.

use super::UsageFold;
use crate::wire::{LogPage, UsageBody, UsageRecord, UsageReport, UsageSnapshot};

/// Folds pages of the usage stream.
///
/// If records expired before they were read, the reader searches for a snapshot and resumes
/// there.
#[derive(Clone, Debug, Default)]
pub struct UsageReader {
    fold: UsageFold,
    /// After a gap, the offset up to which pages were searched for a snapshot.
    search_offset: Option<u64>,
    head: u64,
    snapshot_offset: Option<u64>,
}

impl UsageReader {
    /// The fold of all records read.
    #[must_use]
    pub fn fold(&self) -> &UsageFold {
        &self.fold
    }

    /// The offset to read from.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.search_offset.unwrap_or(self.fold.next())
    }

    /// Whether all records up to the head are folded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.search_offset.is_none() && self.fold.next() >= self.head
    }

    /// Whether the search for a snapshot reached the head without finding one.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.search_offset.is_some_and(|offset| offset >= self.head)
    }

    /// Offset of the last snapshot record read.
    #[must_use]
    pub fn snapshot_at(&self) -> Option<u64> {
        self.snapshot_offset
    }

    /// Folds a page; returns the reports of the windows that its records closed.
    ///
    /// After a gap the result includes the snapshot's windows that are not yet reported.
    pub fn apply_page(&mut self, page: &LogPage) -> Vec<UsageReport> {
        self.head = page.next;
        let is_gap = self.fold.next() < page.first;
        if is_gap && !self.restore(page) {
            let end = page.records.last().map(|entry| entry.offset + 1);
            self.search_offset = Some(end.unwrap_or(page.next));
            return Vec::new();
        }
        self.search_offset = None;
        let mut reports = Vec::new();
        if is_gap {
            reports.extend(self.fold.unreported().cloned());
        }
        for entry in &page.records {
            if decode_snapshot(&entry.data).is_some() {
                self.snapshot_offset = Some(entry.offset);
            }
            if entry.offset == self.fold.next() {
                reports.extend(self.fold.apply(entry.offset, &entry.data).cloned());
            }
        }
        reports
    }

    /// Restores the page's last snapshot after which no record is missing.
    fn restore(&mut self, page: &LogPage) -> bool {
        let mut snapshots = page.records.iter().rev();
        let found = snapshots.find_map(|entry| {
            let (upto, state) = decode_snapshot(&entry.data)?;
            (upto >= page.first).then_some((upto, state))
        });
        let Some((upto, state)) = found else {
            return false;
        };
        self.fold.restore(upto, state)
    }
}

/// Decodes a snapshot record; returns `None` for any other record.
fn decode_snapshot(data: &str) -> Option<(u64, UsageSnapshot)> {
    // A cheap test that spares parsing most records.
    if !data.contains("\"snapshot\"") {
        return None;
    }
    let record = serde_json::from_str::<UsageRecord>(data).ok()?;
    match record.body {
        UsageBody::Snapshot { upto, state } => Some((upto, state)),
        _ => None,
    }
}
