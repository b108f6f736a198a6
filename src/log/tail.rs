//! Follows the configuration stream and publishes the folded state.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{Backoff, ConfigFold, ConfigState, SnapshotClock};
use crate::edge::{EdgeResult, Log, Stream};
use crate::wire::{ConfigBody, ConfigRecord, ConfigSnapshot, LogPage, Verdict};

/// Longest wait of one read at the log's head.
const POLL_WAIT: Duration = Duration::from_millis(400);
/// Time without word of the log's head from peers after which a daemon reads it itself.
const PEER_SILENCE: Duration = Duration::from_millis(2_400);
/// Pause of a daemon that leaves reading to its peers.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Counts a submitted record that waits for its verdict, until it is dropped.
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

/// When this process last knew the log's head.
#[derive(Debug)]
pub struct Freshness {
    seen: Mutex<Option<Instant>>,
    read: Mutex<Option<Instant>>,
}

impl Freshness {
    /// The instant at which the head was last known to be what is folded.
    #[must_use]
    pub fn seen(&self) -> Option<Instant> {
        *self.seen.lock()
    }

    /// The instant at which the log last answered a read.
    #[must_use]
    pub fn read(&self) -> Option<Instant> {
        *self.read.lock()
    }

    /// Records that the folded state was the log's head at `instant`.
    pub fn confirm(&self, instant: Instant) {
        let mut seen = self.seen.lock();
        if seen.is_none_or(|known| known < instant) {
            *seen = Some(instant);
        }
    }
}

/// The configuration as this process has folded it.
#[derive(Debug)]
pub struct ConfigLog {
    log: Arc<dyn Log>,
    fold: Mutex<ConfigFold>,
    state: ArcSwap<ConfigState>,
    next: watch::Sender<u64>,
    freshness: Freshness,
    submits: AtomicUsize,
    /// After a gap, the offset up to which a snapshot was searched.
    gap: Mutex<Option<u64>>,
    snapshots: Mutex<SnapshotClock>,
}

impl ConfigLog {
    /// A fold of nothing yet.
    #[must_use]
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            fold: Mutex::default(),
            state: ArcSwap::default(),
            next: watch::Sender::new(0),
            freshness: Freshness {
                seen: Mutex::new(None),
                read: Mutex::new(None),
            },
            submits: AtomicUsize::new(0),
            gap: Mutex::new(None),
            snapshots: Mutex::default(),
        }
    }

    /// The state in force.
    #[must_use]
    pub fn state(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    /// When the head was last known.
    #[must_use]
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Watches the offset after the last record folded.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// The verdict on a record, once it was folded.
    #[must_use]
    pub fn verdict(&self, id: &str) -> Option<Verdict> {
        self.fold.lock().verdict(id).cloned()
    }

    /// Takes over a peer's state if it is ahead of this one.
    pub fn restore(&self, upto: u64, snapshot: ConfigSnapshot) {
        let restored = self.fold.lock().restore(upto, snapshot);
        if restored {
            self.publish();
        }
    }

    /// Appends a record until it is folded, or until `deadline`.
    ///
    /// Repeats are harmless: the first record with an id counts.
    pub async fn submit(&self, record: &ConfigRecord, deadline: Instant) -> Option<Verdict> {
        let _submit = SubmitGuard::new(&self.submits);
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

    /// Follows the stream for ever, while `reads` says that this daemon is to read it.
    ///
    /// A daemon that is not gets head and state from its peers, and reads for itself when
    /// they fall silent or when it waits for a verdict.
    pub async fn follow(&self, reads: impl Fn() -> bool) {
        let mut backoff = Backoff::default();
        loop {
            if !reads() && !self.must_read(Instant::now()) {
                tokio::time::sleep(READ_PAUSE).await;
                continue;
            }
            match self.step().await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    spdlog::warn!("log read failed", kv: { error = error.to_string() });
                    backoff.pause().await;
                }
            }
        }
    }

    /// Whether peers are silent on the log's head, or a verdict is waited for.
    fn must_read(&self, now: Instant) -> bool {
        let seen = self.freshness.seen();
        let is_known = seen.is_some_and(|seen| now < seen + PEER_SILENCE);
        !is_known || self.submits.load(Ordering::Relaxed) > 0
    }

    /// Reads one page and folds it.
    async fn step(&self) -> EdgeResult<()> {
        let from = self.from();
        let asked = Instant::now();
        let page = self.log.read(Stream::Config, from, POLL_WAIT).await?;
        *self.freshness.read.lock() = Some(Instant::now());
        self.fold_page(&page);
        if self.state.load().next >= page.next {
            self.freshness.confirm(asked);
        }
        Ok(())
    }

    /// The offset to read from: after what is folded, or after what was searched.
    fn from(&self) -> u64 {
        let next = self.state.load().next;
        self.gap.lock().map_or(next, |searched| searched.max(next))
    }

    fn fold_page(&self, page: &LogPage) {
        let mut fold = self.fold.lock();
        let before = fold.state().next;
        if page.first > before {
            self.search(&mut fold, page);
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
        self.snapshots.lock().observe(page, last_snapshot(page));
    }

    /// Searches a page after a gap for a snapshot that closes it.
    ///
    /// The records that follow the snapshot's offset are then read again. Until then the
    /// old state stays, and its head is not confirmed.
    fn search(&self, fold: &mut ConfigFold, page: &LogPage) {
        let found = page.records.iter().rev().find_map(|entry| {
            let (upto, state) = snapshot_of(&entry.data)?;
            (upto >= page.first).then_some((upto, state))
        });
        let mut gap = self.gap.lock();
        let Some((upto, state)) = found else {
            if gap.is_none() {
                spdlog::error!("configuration records expired", kv: { first = page.first });
            }
            let last = page.records.last().map(|entry| entry.offset + 1);
            *gap = Some(last.unwrap_or(page.first).max(gap.unwrap_or(0)));
            return;
        };
        spdlog::info!("snapshot restored", kv: { upto });
        fold.restore(upto, state);
        *gap = None;
    }

    /// Whether the records between what is folded and what the log keeps have expired.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap.lock().is_some()
    }

    /// The snapshot to append, if one is due; it counts as appended.
    #[must_use]
    pub fn due_snapshot(&self, now: Instant) -> Option<ConfigRecord> {
        let state = self.state();
        let is_due = !self.has_gap() && self.snapshots.lock().take_due(state.next, now);
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

fn snapshot_of(data: &str) -> Option<(u64, ConfigSnapshot)> {
    match serde_json::from_str::<ConfigRecord>(data).ok()?.body {
        ConfigBody::Snapshot { state, upto } => Some((upto, state)),
        _ => None,
    }
}

/// The offset of a page's last snapshot.
fn last_snapshot(page: &LogPage) -> Option<u64> {
    let mut records = page.records.iter().rev();
    let found = records.find(|entry| snapshot_of(&entry.data).is_some());
    found.map(|entry| entry.offset)
}
