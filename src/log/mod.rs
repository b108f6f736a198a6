//! The log's folds: every reader computes the same state from records in offset order.

mod config;
mod tail;

pub use config::{ConfigFold, ConfigState, KeyInfo};
pub use tail::{ConfigLog, Freshness};
