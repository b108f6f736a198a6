//! Reads the configuration stream continuously and publishes the folded state.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{Backoff, ConfigFold, ConfigState, SnapshotClock};
use crate::edge::{EdgeResult, Log, Stream};
use crate::wire::{ConfigBody, ConfigRecord, ConfigSnapshot, LogPage, Verdict};

/// Longest time that one read at the log's head waits for a record.
const POLL_WAIT: Duration = Duration::from_millis(400);
/// Time without a confirmation of the log's head after which a daemon reads the log itself.
const PEER_SILENCE: Duration = Duration::from_millis(2_400);
/// Interval at which a daemon that relies on its peers checks whether it must read.
const STANDBY_INTERVAL: Duration = Duration::from_millis(100);

/// A guard that counts a submitted record while it waits for its verdict.
#[derive(Debug)]
struct SubmitGuard<'a>(&'a AtomicUsize);

impl<'a> SubmitGuard<'a> {
    fn new(submits: &'a AtomicUsize) -> Self {
        submits.fetch_add(1, Ordering::Relaxed);
        Self(submits)
    }
}

impl Drop for SubmitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// When this process last confirmed the log's head and last read the log.
#[derive(Debug)]
pub struct Freshness {
    confirmed: Mutex<Option<Instant>>,
    last_read: Mutex<Option<Instant>>,
}

impl Freshness {
    /// The last instant at which the folded state was known to be the log's head.
    #[must_use]
    pub fn confirmed(&self) -> Option<Instant> {
        *self.confirmed.lock()
    }

    /// The last instant at which the log answered a read.
    #[must_use]
    pub fn last_read(&self) -> Option<Instant> {
        *self.last_read.lock()
    }

    /// Records that the folded state was the log's head at `instant`.
    pub fn confirm(&self, instant: Instant) {
        let mut confirmed = self.confirmed.lock();
        if confirmed.is_none_or(|known| known < instant) {
            *confirmed = Some(instant);
        }
    }
}

/// Follows the configuration stream, and holds the folded state.
#[derive(Debug)]
pub struct ConfigLog {
    log: Arc<dyn Log>,
    fold: Mutex<ConfigFold>,
    state: ArcSwap<ConfigState>,
    next: watch::Sender<u64>,
    freshness: Freshness,
    pending_submits: AtomicUsize,
    /// After a gap, the offset up to which pages were searched for a snapshot.
    gap: Mutex<Option<u64>>,
    snapshot_clock: Mutex<SnapshotClock>,
}

impl ConfigLog {
    /// Creates an empty state that reads from `log`.
    #[must_use]
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            fold: Mutex::default(),
            state: ArcSwap::default(),
            next: watch::Sender::new(0),
            freshness: Freshness {
                confirmed: Mutex::new(None),
                last_read: Mutex::new(None),
            },
            pending_submits: AtomicUsize::new(0),
            gap: Mutex::new(None),
            snapshot_clock: Mutex::default(),
        }
    }

    /// The latest folded state.
    #[must_use]
    pub fn state(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    /// When the log's head was last confirmed and read.
    #[must_use]
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Watches the offset after the last folded record.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// The verdict on the record with this id, if it was folded recently.
    #[must_use]
    pub fn verdict(&self, id: &str) -> Option<Verdict> {
        self.fold.lock().verdict(id).cloned()
    }

    /// Restores a peer's snapshot if the snapshot is ahead of this state.
    pub fn restore(&self, upto: u64, snapshot: ConfigSnapshot) {
        let restored = self.fold.lock().restore(upto, snapshot);
        if restored {
            self.publish();
        }
    }

    /// Appends a record, with retries, until it is folded or `deadline` passes.
    ///
    /// Returns none if the record was not folded in time. Retries are idempotent: repeats of a
    /// recent record id are ignored.
    pub async fn submit(&self, record: &ConfigRecord, deadline: Instant) -> Option<Verdict> {
        let _submit = SubmitGuard::new(&self.pending_submits);
        let text = serde_json::to_string(record).ok()?;
        let mut next = self.watch();
        let mut backoff = Backoff::default();
        while Instant::now() < deadline {
            if let Some(verdict) = self.verdict(&record.id) {
                return Some(verdict);
            }
            let appended = self.log.append(Stream::Config, text.clone()).await;
            if let Ok(offset) = &appended {
                let folded = next.wait_for(|next| next > offset);
                let _ = tokio::time::timeout_at(deadline.into(), folded).await;
                continue;
            }
            backoff.pause().await;
        }
        self.verdict(&record.id)
    }

    /// Reads the stream in an endless loop while `reads` returns true.
    ///
    /// Otherwise this daemon gets head and state from its peers, and reads the log only when
    /// the peers are silent or when a submitted record waits for its verdict.
    pub async fn follow(&self, reads: impl Fn() -> bool) {
        let mut backoff = Backoff::default();
        loop {
            if !reads() && !self.must_read(Instant::now()) {
                tokio::time::sleep(STANDBY_INTERVAL).await;
                continue;
            }
            match self.read_page().await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    spdlog::warn!("log read failed", kv: {
                        error = error.to_string(),
                    });
                    backoff.pause().await;
                }
            }
        }
    }

    /// Whether the head was not confirmed recently or a submit waits for its verdict.
    fn must_read(&self, now: Instant) -> bool {
        let confirmed = self.freshness.confirmed();
        let is_recent = confirmed.is_some_and(|at| now < at + PEER_SILENCE);
        !is_recent || self.pending_submits.load(Ordering::Relaxed) > 0
    }

    /// Reads one page and folds it.
    async fn read_page(&self) -> EdgeResult<()> {
        let from = self.read_offset();
        let asked = Instant::now();
        let page = self.log.read(Stream::Config, from, POLL_WAIT).await?;
        *self.freshness.last_read.lock() = Some(Instant::now());
        self.fold_page(&page);
        if self.state.load().next >= page.next {
            self.freshness.confirm(asked);
        }
        Ok(())
    }

    /// The offset to read from: after the last folded or searched record.
    fn read_offset(&self) -> u64 {
        let next = self.state.load().next;
        self.gap.lock().map_or(next, |searched| searched.max(next))
    }

    fn fold_page(&self, page: &LogPage) {
        let mut fold = self.fold.lock();
        let before = fold.state().next;
        if page.first > before {
            self.close_gap(&mut fold, page);
        } else {
            *self.gap.lock() = None;
            for entry in &page.records {
                fold.apply(entry.offset, &entry.data);
            }
        }
        let changed = fold.state().next != before;
        drop(fold);
        if changed {
            self.publish();
        }
        self.snapshot_clock
            .lock()
            .observe(page, last_snapshot(page));
    }

    /// Searches a page after a gap for a snapshot that closes the gap, and restores it.
    ///
    /// Records from the snapshot's `upto` on are then read again. While no snapshot is found,
    /// the old state stays in force and the head is not confirmed.
    fn close_gap(&self, fold: &mut ConfigFold, page: &LogPage) {
        let found = page.records.iter().rev().find_map(|entry| {
            let (upto, state) = decode_snapshot(&entry.data)?;
            (upto >= page.first).then_some((upto, state))
        });
        let mut gap = self.gap.lock();
        let Some((upto, state)) = found else {
            if gap.is_none() {
                spdlog::error!("configuration records expired", kv: {
                    first = page.first,
                });
            }
            let last = page.records.last().map(|entry| entry.offset + 1);
            *gap = Some(last.unwrap_or(page.first).max(gap.unwrap_or(0)));
            return;
        };
        spdlog::info!("configuration snapshot restored", kv: { upto });
        fold.restore(upto, state);
        *gap = None;
    }

    /// Whether records after the last folded one expired before they were read.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap.lock().is_some()
    }

    /// The snapshot record to append, if one is due; the record counts as appended.
    #[must_use]
    pub fn due_snapshot(&self, now: Instant) -> Option<ConfigRecord> {
        let state = self.state();
        let is_due = !self.has_gap() && self.snapshot_clock.lock().take_due(state.next, now);
        is_due.then(|| ConfigRecord {
            id: crate::util::random_id(),
            body: ConfigBody::Snapshot {
                state: state.snapshot(),
                upto: state.next,
            },
        })
    }

    fn publish(&self) {
        let state = self.fold.lock().state().clone();
        let next = state.next;
        self.state.store(Arc::new(state));
        self.next.send_replace(next);
    }
}

fn decode_snapshot(data: &str) -> Option<(u64, ConfigSnapshot)> {
    match serde_json::from_str::<ConfigRecord>(data).ok()?.body {
        ConfigBody::Snapshot { state, upto } => Some((upto, state)),
        _ => None,
    }
}

/// The offset of a page's last snapshot record.
fn last_snapshot(page: &LogPage) -> Option<u64> {
    let mut records = page.records.iter().rev();
    let found = records.find(|entry| decode_snapshot(&entry.data).is_some());
    found.map(|entry| entry.offset)
}
