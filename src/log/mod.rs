//! The log's folds: every reader computes the same state from records in offset order.

mod config;
mod tail;
mod usage;

pub use config::{ConfigFold, ConfigState, KeyInfo};
pub use tail::{ConfigLog, Freshness};
pub use usage::{CLOSINGS_KEPT, UsageFold};
