//! What an engine did, and how it fails on purpose.

use serde::{Deserialize, Serialize};

/// How an engine fails on purpose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fail {
    /// It answers each request with an error.
    Refuse,
    /// It ends each stream before its first chunk.
    Break,
}

/// What an engine did so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct EngineCounts {
    /// Requests that came.
    pub came: u64,
    /// Words of their prompts.
    pub words: u64,
    /// Words of them that were cached.
    pub cached: u64,
}
