//! Graceful shutdown of an entry.
//!
//! An entry that leaves goes on accepting until no address answer that names it holds any
//! more. Others name it until they know that it leaves, at most [`FRESH_FOR`] later: they
//! name nobody whose last beat is older.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::Entry;
use crate::peer::fresh::FRESH_FOR;

/// Time after the longest request by which the entry ends in any case.
const FINISH: Duration = Duration::from_secs(5);

/// Until when address answers may hold that were given under earlier configurations.
#[derive(Debug, Default)]
pub(super) struct HoldBound(Mutex<Option<Instant>>);

impl HoldBound {
    /// Notes that answers given up to `now` may hold for `hold`.
    fn note(&self, hold: Duration, now: Instant) {
        let until = now + FRESH_FOR + hold;
        let mut bound = self.0.lock();
        *bound = Some(bound.map_or(until, |known| known.max(until)));
    }

    /// When the last answer given up to `now` no longer holds.
    fn end(&self, hold: Duration, now: Instant) -> Instant {
        self.note(hold, now);
        self.0.lock().unwrap_or(now)
    }
}

fn hold_time(entry: &Entry) -> Duration {
    Duration::from_millis(entry.config.state().manifest.limits.address)
}

/// Follows for ever how long address answers hold.
pub(super) async fn follow_hold(entry: Arc<Entry>) {
    let mut next = entry.config.watch();
    let mut hold = hold_time(&entry);
    while next.changed().await.is_ok() {
        let changed = hold_time(&entry);
        if changed != hold {
            entry.hold.note(hold, Instant::now());
            hold = changed;
        }
    }
}

/// Leaves: returns when the entry may end.
pub(super) async fn drain(entry: &Entry) {
    let now = Instant::now();
    let end = entry.hold.end(hold_time(entry), now);
    entry.drain.leave();
    entry.peers.update(|own| own.leaving = true);
    spdlog::info!("leaving", kv: {
        active = entry.drain.active(),
        accepting_ms = end.saturating_duration_since(now).as_millis(),
    });
    tokio::time::sleep_until(end.into()).await;
    entry.drain.close();
    let longest = Duration::from_millis(entry.config.state().manifest.limits.request);
    let left = entry.drain.finish(end + longest + FINISH).await;
    if left > 0 {
        spdlog::error!("ending with requests under way", kv: { left });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hold_bound_keeps_longer_answers() {
        let start = Instant::now();
        let seconds = Duration::from_secs;
        let bound = HoldBound::default();
        bound.note(seconds(60), start);
        let now = start + seconds(10);
        assert_eq!(bound.end(seconds(1), now), start + FRESH_FOR + seconds(60));
        let now = start + seconds(100);
        assert_eq!(bound.end(seconds(1), now), now + FRESH_FOR + seconds(1));
    }
}
