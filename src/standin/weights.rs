//! The weight store: one rate for all loads together, and what goes wrong with loads.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

/// How a load ends.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadEnd {
    /// The engine holds the new weights.
    #[default]
    Loaded,
    /// The engine goes on with its old weights.
    Failed,
    /// The engine holds no usable weights.
    Half,
    /// The engine crashes in the middle.
    Crash,
}

/// A rate-limited store of weights.
#[derive(Debug)]
pub struct WeightStore {
    /// Time of one load at the full rate.
    load: Duration,
    turns: Semaphore,
    ends: Mutex<VecDeque<LoadEnd>>,
    crossed: AtomicU32,
}

impl WeightStore {
    /// A store that serves `turns` loads at a time, each in `load`; others wait.
    #[must_use]
    pub fn new(load: Duration, turns: usize) -> Self {
        Self {
            load,
            turns: Semaphore::new(turns),
            ends: Mutex::default(),
            crossed: AtomicU32::new(0),
        }
    }

    /// Sets how the next loads end, one after another.
    pub fn set_ends(&self, ends: Vec<LoadEnd>) {
        *self.ends.lock() = ends.into();
    }

    /// Makes the next `count` chunks carry another request's id.
    pub fn cross_next(&self, count: u32) {
        self.crossed.store(count, Ordering::Relaxed);
    }

    /// Whether the next chunk is to carry another request's id.
    pub fn take_crossed(&self) -> bool {
        let less = |left: u32| left.checked_sub(1);
        let crossed = &self.crossed;
        let updated = crossed.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        updated.is_ok()
    }

    /// Fetches weights; returns how the load ends.
    pub async fn fetch(&self) -> LoadEnd {
        let _turn = self.turns.acquire().await;
        let end = self.ends.lock().pop_front().unwrap_or_default();
        match end {
            LoadEnd::Loaded | LoadEnd::Failed => tokio::time::sleep(self.load).await,
            LoadEnd::Half | LoadEnd::Crash => tokio::time::sleep(self.load / 2).await,
        }
        end
    }
}
