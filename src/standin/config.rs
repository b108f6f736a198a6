//! How a stand-in engine behaves.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Requests that run at a time.
    pub slots: u32,
    /// Time for one token of a lone request.
    pub token: Duration,
    /// Share by which each further running request slows all of them down.
    pub slowdown: f64,
    /// Time for each prompt word that is not cached.
    pub prefill: Duration,
    /// Blocks in the prefix cache.
    pub cache: usize,
    /// Tokens in one chunk.
    pub chunk: usize,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Time by which the load report lags.
    pub lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            token: Duration::from_millis(2),
            slowdown: 0.05,
            prefill: Duration::from_micros(50),
            cache: 4_096,
            chunk: 4,
            fenced: true,
            lag: Duration::from_millis(500),
        }
    }
}
