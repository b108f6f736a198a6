//! Graceful shutdown of an entry.
//!
//! An entry that shuts down accepts requests until every address answer that names it has
//! expired. Other entries name it until they learn of the shutdown, at most [`FRESH_FOR`]
//! later: they name no entry whose last heartbeat is older.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::Entry;
use crate::peer::freshness::FRESH_FOR;

/// Time beyond the longest request timeout that running requests have before the entry exits.
const EXIT_GRACE: Duration = Duration::from_secs(5);

/// Latest expiry of address answers that were given under earlier configurations.
#[derive(Debug, Default)]
pub(super) struct AddressExpiry(Mutex<Option<Instant>>);

impl AddressExpiry {
    /// Notes that answers given up to `now` are valid for `ttl`.
    fn note(&self, ttl: Duration, now: Instant) {
        let until = now + FRESH_FOR + ttl;
        let mut latest = self.0.lock();
        *latest = Some(latest.map_or(until, |known| known.max(until)));
    }

    /// Returns when the last answer given up to `now` expires.
    fn end(&self, ttl: Duration, now: Instant) -> Instant {
        self.note(ttl, now);
        self.0.lock().unwrap_or(now)
    }
}

fn address_ttl(entry: &Entry) -> Duration {
    Duration::from_millis(entry.config.state().manifest.limits.address)
}

/// Tracks changes of the validity period of address answers; never returns normally.
pub(super) async fn track_address_ttl(entry: Arc<Entry>) {
    let mut next = entry.config.watch();
    let mut ttl = address_ttl(&entry);
    while next.changed().await.is_ok() {
        let changed = address_ttl(&entry);
        if changed != ttl {
            entry.address_expiry.note(ttl, Instant::now());
            ttl = changed;
        }
    }
}

/// Drains the entry; returns when the process may exit.
pub(super) async fn drain(entry: &Entry) {
    let now = Instant::now();
    let end = entry.address_expiry.end(address_ttl(entry), now);
    entry.drain.leave();
    entry.peers.update(|status| status.leaving = true);
    spdlog::info!("leaving", kv: {
        active = entry.drain.active(),
        accepting_ms = end.saturating_duration_since(now).as_millis(),
    });
    tokio::time::sleep_until(end.into()).await;
    entry.drain.close();
    let request_limit = Duration::from_millis(entry.config.state().manifest.limits.request);
    let left = entry.drain.finish(end + request_limit + EXIT_GRACE).await;
    if left > 0 {
        spdlog::error!("ending with requests under way", kv: { left });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn address_expiry_keeps_longer_answers() {
        let start = Instant::now();
        let seconds = Duration::from_secs;
        let expiry = AddressExpiry::default();
        expiry.note(seconds(60), start);
        let now = start + seconds(10);
        assert_eq!(expiry.end(seconds(1), now), start + FRESH_FOR + seconds(60));
        let now = start + seconds(100);
        assert_eq!(expiry.end(seconds(1), now), now + FRESH_FOR + seconds(1));
    }
}
