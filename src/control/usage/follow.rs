//! Follows and folds the usage stream.

use std::time::{Duration, Instant};

use crate::edge::{EdgeResult, Stream};
use crate::log::Backoff;
use crate::wire::{LogPage, Role, UsageReport};

use super::UsageWindows;

/// Long-poll timeout of a read at the stream's head.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Minimum interval between two samples of the head's offset.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Number of samples of the head's offset that are kept; they must reach back
/// `SILENT_AFTER`.
const HEADS_KEPT: usize = 64;

impl UsageWindows {
    /// Follows the stream while this process may hold the usage role; never returns.
    pub(super) async fn follow(&self) {
        let mut backoff = Backoff::default();
        loop {
            if !self.leases.is_candidate(Role::Usage) {
                tokio::time::sleep(POLL_WAIT).await;
                continue;
            }
            match self.read(POLL_WAIT).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    self.state.lock().reachable_since = None;
                    spdlog::warn!("usage read failed", kv: { error = error.to_string() });
                    backoff.pause().await;
                }
            }
        }
    }

    /// Reads until the head is folded; returns whether that succeeded before `deadline`.
    pub async fn catch_up(&self, deadline: Instant) -> bool {
        while Instant::now() < deadline {
            if self.read(Duration::ZERO).await.is_err() {
                return false;
            }
            let state = self.state.lock();
            if state.reader.is_known() {
                return true;
            }
            if state.reader.is_lost() {
                return false;
            }
        }
        false
    }

    /// Reads one page and folds it.
    async fn read(&self, wait: Duration) -> EdgeResult<()> {
        let from = self.state.lock().reader.next();
        let page = self.log.read(Stream::Usage, from, wait).await?;
        for report in self.apply_page(&page, Instant::now()) {
            self.metrics.count_closed(&report);
        }
        Ok(())
    }

    fn apply_page(&self, page: &LogPage, now: Instant) -> Vec<UsageReport> {
        let mut state = self.state.lock();
        let reports = state.reader.apply_page(page);
        if state.reader.is_lost() {
            spdlog::error!("usage is unknown: records expired", kv: { first = page.first });
        }
        state.reachable_since.get_or_insert(now);
        let (snapshot, next) = (state.reader.snapshot_at(), state.reader.fold().next());
        state.snapshots.observe(page, snapshot);
        let last = state.heads.back().map(|(at, _)| *at);
        if last.is_none_or(|last| now >= last + HEAD_INTERVAL) {
            state.heads.push_back((now, next));
        }
        if state.heads.len() > HEADS_KEPT {
            state.heads.pop_front();
        }
        drop(state);
        self.next.send_replace(next);
        reports
    }
}
