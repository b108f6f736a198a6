//! The weight store: one rate for all loads together.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::Mutex;

/// A rate-limited store of weights.
#[derive(Debug)]
pub struct WeightStore {
    /// Time that one load takes of the store.
    pub load: Duration,
    turn: Mutex<()>,
    failures: AtomicU32,
}

impl WeightStore {
    /// A store that serves one load after another, each in `load`.
    #[must_use]
    pub fn new(load: Duration) -> Self {
        Self {
            load,
            turn: Mutex::const_new(()),
            failures: AtomicU32::new(0),
        }
    }

    /// Makes the next `count` loads fail.
    pub fn fail_next(&self, count: u32) {
        self.failures.store(count, Ordering::Relaxed);
    }

    /// Loads weights; returns whether it worked.
    pub async fn fetch(&self) -> bool {
        let _turn = self.turn.lock().await;
        tokio::time::sleep(self.load).await;
        let left = self
            .failures
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            });
        left.is_err()
    }
}
