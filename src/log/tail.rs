//! Follows the configuration stream and publishes the folded state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{Backoff, ConfigFold, ConfigState};
use crate::edge::{EdgeResult, Log, Stream};
use crate::wire::{ConfigBody, ConfigRecord, ConfigSnapshot, LogPage, Verdict};

/// Longest wait of one read at the log's head.
const POLL_WAIT: Duration = Duration::from_millis(800);
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

    /// Follows the stream for ever.
    pub async fn follow(&self) {
        let mut backoff = Backoff::default();
        loop {
            match self.step().await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    spdlog::warn!("log read failed", kv: { error = error.to_string() });
                    backoff.pause().await;
                }
            }
        }
    }

    /// Reads one page and folds it.
    async fn step(&self) -> EdgeResult<()> {
        let from = self.state.load().next;
        let asked = Instant::now();
        let page = self.log.read(Stream::Config, from, POLL_WAIT).await?;
        *self.freshness.read.lock() = Some(Instant::now());
        self.fold_page(&page);
        if self.state.load().next >= page.next {
            self.freshness.confirm(asked);
        }
        Ok(())
    }

    fn fold_page(&self, page: &LogPage) {
        let mut fold = self.fold.lock();
        let before = fold.state().next;
        if page.first > before {
            restore_first(&mut fold, page);
        }
        for entry in &page.records {
            fold.apply(entry.offset, &entry.data);
        }
        let changed = fold.state().next != before;
        drop(fold);
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        let state = self.fold.lock().state().clone();
        let next = state.next;
        self.state.store(Arc::new(state));
        self.next.send_replace(next);
    }
}

/// Restores the newest snapshot of a page that starts after what was folded.
fn restore_first(fold: &mut ConfigFold, page: &LogPage) {
    for entry in page.records.iter().rev() {
        let Ok(record) = serde_json::from_str::<ConfigRecord>(&entry.data) else {
            continue;
        };
        if let ConfigBody::Snapshot { upto, state } = record.body {
            fold.restore(upto, state);
            return;
        }
    }
}
