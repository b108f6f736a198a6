//! Counters of a simulated engine, and its injected failures.

use serde::{Deserialize, Serialize};

/// A failure injected into an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFailure {
    /// The engine answers each request with an error.
    Refuse,
    /// The engine ends each stream before its first chunk.
    Break,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct EngineCounts {
    /// Requests received.
    pub came: u64,
    /// Prompt words of the requests that ran.
    pub words: u64,
    /// Prompt words found in the prefix cache.
    pub cached: u64,
}
