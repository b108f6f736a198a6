//! A simulated weight store with limited concurrency and injected load failures.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

/// The outcome of a weight load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadOutcome {
    /// The engine holds the new weights.
    #[default]
    Loaded,
    /// The load fails and the engine keeps its old weights.
    Failed,
    /// The load fails halfway and leaves the engine without usable weights.
    Half,
    /// The engine crashes halfway through the load.
    Crash,
}

/// A weight store that serves a limited number of loads at a time.
#[derive(Debug)]
pub struct WeightStore {
    /// Duration of one load, once it has a permit.
    load_time: Duration,
    permits: Semaphore,
    /// Injected outcomes of the next loads.
    outcomes: Mutex<VecDeque<LoadOutcome>>,
    /// Chunks still to be sent with a wrong id.
    mismatches: AtomicU32,
}

impl WeightStore {
    /// Creates a store that serves `permits` loads at a time, each in `load_time`; others wait.
    #[must_use]
    pub fn new(load_time: Duration, permits: usize) -> Self {
        Self {
            load_time,
            permits: Semaphore::new(permits),
            outcomes: Mutex::default(),
            mismatches: AtomicU32::new(0),
        }
    }

    /// Sets the outcomes of the next loads, in order.
    pub fn set_outcomes(&self, outcomes: Vec<LoadOutcome>) {
        *self.outcomes.lock() = outcomes.into();
    }

    /// Makes the next `count` chunks of the engines carry a wrong request id.
    pub fn mismatch_next(&self, count: u32) {
        self.mismatches.store(count, Ordering::Relaxed);
    }

    /// Uses up one injected mismatch; returns whether the next chunk carries a wrong id.
    pub fn take_mismatch(&self) -> bool {
        let decrement = |left: u32| left.checked_sub(1);
        let mismatches = &self.mismatches;
        let updated = mismatches.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        updated.is_ok()
    }

    /// Waits for a permit and for the load's duration; returns the next injected outcome.
    ///
    /// Loads that fail halfway take half of the duration.
    pub async fn fetch(&self) -> LoadOutcome {
        let _permit = self.permits.acquire().await;
        let outcome = self.outcomes.lock().pop_front().unwrap_or_default();
        match outcome {
            LoadOutcome::Loaded | LoadOutcome::Failed => tokio::time::sleep(self.load_time).await,
            LoadOutcome::Half | LoadOutcome::Crash => tokio::time::sleep(self.load_time / 2).await,
        }
        outcome
    }
}
