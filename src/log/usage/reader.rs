//! Reads pages of the usage stream, also after records have expired.

use super::UsageFold;
use crate::wire::{LogPage, UsageBody, UsageRecord, UsageReport, UsageSnapshot};

/// Folds pages of the usage stream.
///
/// When records expired before they were read, it looks for a snapshot and starts there.
#[derive(Clone, Debug, Default)]
pub struct UsageReader {
    fold: UsageFold,
    /// Where the search for a snapshot has come to.
    seek: Option<u64>,
    head: u64,
    snapshot: Option<u64>,
}

impl UsageReader {
    /// The fold of what was read.
    #[must_use]
    pub fn fold(&self) -> &UsageFold {
        &self.fold
    }

    /// The offset to read from.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.seek.unwrap_or(self.fold.next())
    }

    /// Whether all records up to the head are folded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.seek.is_none() && self.fold.next() >= self.head
    }

    /// Whether the search for a snapshot came to the head.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.seek.is_some_and(|seek| seek >= self.head)
    }

    /// Offset of the last snapshot read.
    #[must_use]
    pub fn snapshot_at(&self) -> Option<u64> {
        self.snapshot
    }

    /// Folds a page; returns the reports of the windows that it closed.
    ///
    /// After a gap these include the windows that the snapshot holds as not yet reported.
    pub fn take(&mut self, page: &LogPage) -> Vec<UsageReport> {
        self.head = page.next;
        let is_gap = self.fold.next() < page.first;
        if is_gap && !self.restore(page) {
            let end = page.records.last().map(|entry| entry.offset + 1);
            self.seek = Some(end.unwrap_or(page.next));
            return Vec::new();
        }
        self.seek = None;
        let mut reports = Vec::new();
        if is_gap {
            reports.extend(self.fold.unreported().cloned());
        }
        for entry in &page.records {
            if snapshot_of(&entry.data).is_some() {
                self.snapshot = Some(entry.offset);
            }
            if entry.offset == self.fold.next() {
                reports.extend(self.fold.apply(entry.offset, &entry.data).cloned());
            }
        }
        reports
    }

    /// Takes over the page's last snapshot after which no record is missing.
    fn restore(&mut self, page: &LogPage) -> bool {
        let mut snapshots = page.records.iter().rev();
        let found = snapshots.find_map(|entry| {
            let (upto, state) = snapshot_of(&entry.data)?;
            (upto >= page.first).then_some((upto, state))
        });
        let Some((upto, state)) = found else {
            return false;
        };
        self.fold.restore(upto, state)
    }
}

/// The content of a record that is a snapshot.
fn snapshot_of(data: &str) -> Option<(u64, UsageSnapshot)> {
    if !data.contains("\"snapshot\"") {
        return None;
    }
    let record = serde_json::from_str::<UsageRecord>(data).ok()?;
    match record.body {
        UsageBody::Snapshot { upto, state } => Some((upto, state)),
        _ => None,
    }
}
