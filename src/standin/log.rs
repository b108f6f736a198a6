//! A simulated log service: append-only streams in memory, with offsets and retention.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::wire::{LogEntry, LogPage};

/// Most records in one page.
const PAGE_MAX: usize = 1_000;

#[derive(Debug, Default)]
struct Records {
    /// Offset of the oldest record kept.
    first: u64,
    /// Records kept; all when there is no limit.
    keep: Option<usize>,
    data: VecDeque<String>,
}

impl Records {
    fn next(&self) -> u64 {
        self.first + self.data.len() as u64
    }

    fn expire(&mut self) {
        let keep = self.keep.unwrap_or(usize::MAX);
        while self.data.len() > keep {
            self.data.pop_front();
            self.first += 1;
        }
    }
}

/// All streams of the log.
#[derive(Debug)]
pub struct LogStore {
    streams: Mutex<BTreeMap<String, Records>>,
    /// Counts appends, to wake readers.
    changed: watch::Sender<u64>,
}

impl Default for LogStore {
    fn default() -> Self {
        Self {
            streams: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl LogStore {
    /// Appends a record and returns its offset.
    pub fn append(&self, stream: &str, record: String) -> u64 {
        let mut streams = self.streams.lock();
        let records = streams.entry(stream.to_owned()).or_default();
        let offset = records.next();
        records.data.push_back(record);
        records.expire();
        drop(streams);
        self.changed.send_modify(|count| *count += 1);
        offset
    }

    /// Sets a stream's retention to its last `keep` records; none keeps all.
    pub fn retain(&self, stream: &str, keep: Option<usize>) {
        let mut streams = self.streams.lock();
        let records = streams.entry(stream.to_owned()).or_default();
        records.keep = keep;
        records.expire();
    }

    /// Reads records from an offset on; waits up to `wait` if there are none (long poll).
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> LogPage {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let page = self.page(stream, from);
            if !page.records.is_empty() {
                return page;
            }
            if tokio::time::timeout_at(deadline, changed.changed())
                .await
                .is_err()
            {
                return page;
            }
        }
    }

    fn page(&self, stream: &str, from: u64) -> LogPage {
        let mut streams = self.streams.lock();
        let records = streams.entry(stream.to_owned()).or_default();
        let skip = usize::try_from(from.saturating_sub(records.first)).unwrap_or(usize::MAX);
        let start = records.first.max(from);
        let entries = records.data.iter().skip(skip).take(PAGE_MAX).zip(start..);
        LogPage {
            first: records.first,
            next: records.next(),
            records: entries
                .map(|(data, offset)| LogEntry {
                    offset,
                    data: data.clone(),
                })
                .collect(),
        }
    }
}
