//! Folds of the log's streams: every reader derives the same state from the records in
//! offset order.

mod backoff;
mod config;
mod lease;
mod orders;
mod snapshot;
mod tail;
mod usage;

pub use backoff::Backoff;
pub use config::{ConfigFold, ConfigState, KeyInfo};
pub use lease::{Lease, LeaseChange, LeaseFold};
pub use orders::{Intent, OrderFold, Started};
pub use snapshot::SnapshotClock;
pub use tail::{ConfigLog, Freshness};
pub use usage::{CLOSINGS_KEPT, UsageFold, UsageReader};

#[cfg(test)]
mod tests;
