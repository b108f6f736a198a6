//! Duties of the usage role's holder: closes windows, reports them and appends snapshots.

use std::time::{Duration, Instant};

use crate::edge::Stream;
use crate::failpoint;
use crate::log::{Backoff, UsageFold};
use crate::util::{random_id, unix_ms};
use crate::wire::{Role, UsageBody, UsageRecord, UsageReport};

use super::UsageWindows;

/// Grace period after a window's end in which entries may still append its counters.
///
/// It covers one append of each entry, one retry, and a small clock skew.
const GRACE: Duration = Duration::from_secs(3);
/// Interval between checks whether a window, a report or a snapshot is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for an appended record to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// The window to close, if one is due at `now_ms`; `length` is in seconds.
fn due_close(fold: &UsageFold, now_ms: u64, length: u64) -> Option<u64> {
    let window = match (fold.first_open(), fold.closed()) {
        (Some(window), _) => window,
        // Late amounts are charged to the next window, even if it has no counters of its own.
        (None, Some(closed)) if fold.has_late() => closed + length,
        _ => return None,
    };
    let end = (window + length) * 1_000;
    let grace = crate::util::millis(GRACE);
    (now_ms >= end + grace).then_some(window)
}

impl UsageWindows {
    /// The window to close now, if this process holds the role and has read to the head.
    fn close_due(&self) -> Option<u64> {
        self.leases.held(Role::Usage)?;
        let length = self.config.state().manifest.window.max(1);
        let state = self.state.lock();
        // After an outage of the log, entries get a grace period to append their counters.
        let reachable = state
            .reachable_since
            .is_some_and(|at| at.elapsed() >= GRACE);
        if !reachable || !state.reader.is_known() {
            return None;
        }
        due_close(state.reader.fold(), unix_ms(), length)
    }

    /// Closes windows as they become due; never returns.
    pub(super) async fn close(&self) {
        let mut backoff = Backoff::default();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let Some(window) = self.close_due() else {
                continue;
            };
            failpoint::reach("usage-before-close").await;
            if self.append(UsageBody::Close { window }).await {
                spdlog::info!("usage window closed", kv: { window });
                backoff.reset();
            } else {
                backoff.pause().await;
            }
        }
    }

    /// Reports closed windows in order; never returns.
    pub(super) async fn report(&self) {
        let mut backoff = Backoff::default();
        // The window whose report was confirmed, but not yet recorded in the log as such.
        let mut confirmed = None;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let report = self.state.lock().reader.fold().due_report().cloned();
            let Some(report) = report.filter(|_| self.is_known()) else {
                continue;
            };
            let window = report.window;
            let is_confirmed = confirmed == Some(window) || self.send(report).await;
            if is_confirmed {
                failpoint::reach("usage-after-report").await;
                confirmed = Some(window);
            }
            if is_confirmed && self.append(UsageBody::Reported { window }).await {
                backoff.reset();
            } else {
                backoff.pause().await;
            }
        }
    }

    fn is_known(&self) -> bool {
        self.state.lock().reader.is_known()
    }

    /// Sends a report under the lease; returns whether the usage interface confirmed it.
    async fn send(&self, report: UsageReport) -> bool {
        let Some(lease) = self.leases.begin(Role::Usage) else {
            return false;
        };
        let window = report.window;
        failpoint::reach("usage-before-report").await;
        match self.sink.report(report, lease.held).await {
            Ok(()) => {
                let length = self.config.state().manifest.window;
                let delay = unix_ms().saturating_sub((window + length) * 1_000);
                self.metrics.count_report("confirmed");
                let delay = Duration::from_millis(delay).as_secs_f64();
                self.metrics.delay.record(delay, &[]);
                spdlog::info!("usage window reported", kv: { window, claim = lease.held.claim });
                true
            }
            Err(error) => {
                self.metrics.count_report("failed");
                let error = error.to_string();
                spdlog::warn!("usage report failed", kv: { window, error });
                false
            }
        }
    }

    /// Appends snapshots before the records that they replace expire; never returns.
    pub(super) async fn snapshot(&self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.leases.held(Role::Usage).is_none() || !self.is_known() {
                continue;
            }
            if let Some(snapshot) = self.due_snapshot(Instant::now()) {
                self.append(snapshot).await;
            }
        }
    }

    fn due_snapshot(&self, now: Instant) -> Option<UsageBody> {
        let mut state = self.state.lock();
        let upto = state.reader.fold().next();
        let is_due = state.snapshots.take_due(upto, now);
        is_due.then(|| UsageBody::Snapshot {
            state: state.reader.fold().snapshot(),
            upto,
        })
    }

    /// Appends a record and returns whether it was folded in time.
    async fn append(&self, body: UsageBody) -> bool {
        let id = random_id();
        let Ok(text) = serde_json::to_string(&UsageRecord { body, id }) else {
            return false;
        };
        let mut next = self.next.subscribe();
        match self.log.append(Stream::Usage, text).await {
            Ok(offset) => {
                failpoint::reach("usage-after-append").await;
                let folded = next.wait_for(|next| *next > offset);
                tokio::time::timeout(READ_BACK_TIMEOUT, folded)
                    .await
                    .is_ok()
            }
            Err(error) => {
                spdlog::warn!("usage append failed", kv: { error = error.to_string() });
                false
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn due_close_cases() {
        let counters = |window: u64| {
            format!(
                r#"{{"id":"x","body":{{"kind":"counters","incarnation":"a","seq":1,"from":0,
                "open":[],"counts":[{{"window":{window},"tenant":"t","unit":"requests","amount":1}}]}}}}"#
            )
        };
        let close = r#"{"id":"x","body":{"kind":"close","window":60}}"#.to_owned();
        // Records, Unix seconds, the window to close.
        let cases = [
            (vec![], 1_000, None),
            (vec![counters(60)], 122, None),
            (vec![counters(60)], 123, Some(60)),
            (vec![counters(60), close.clone()], 1_000, None),
            (vec![counters(60), close.clone(), counters(30)], 182, None),
            (
                vec![counters(60), close.clone(), counters(30)],
                183,
                Some(120),
            ),
        ];
        for (records, now, expected) in cases {
            let mut fold = UsageFold::default();
            for (offset, data) in (0..).zip(&records) {
                fold.apply(offset, data);
            }
            let due = due_close(&fold, now * 1_000, 60);
            assert_eq!(due, expected, "{records:?} at {now}");
        }
    }
}
