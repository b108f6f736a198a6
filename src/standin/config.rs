//! Settings of a simulated engine.

use std::time::Duration;

/// Capacity and timing of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Requests that run at a time.
    pub slots: u32,
    /// Time for one token of a lone request.
    pub token_time: Duration,
    /// Fraction of the token time that each further running request adds to every token.
    pub slowdown: f64,
    /// Time for each prompt word that is not cached.
    pub prefill_time: Duration,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Tokens in one chunk.
    pub chunk_tokens: usize,
    /// Whether orders with a stale fencing token are refused.
    pub fenced: bool,
    /// Interval at which the load report is refreshed, by which it can lag.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            token_time: Duration::from_millis(2),
            slowdown: 0.05,
            prefill_time: Duration::from_micros(50),
            cache_blocks: 4_096,
            chunk_tokens: 4,
            fenced: true,
            report_lag: Duration::from_millis(500),
        }
    }
}
