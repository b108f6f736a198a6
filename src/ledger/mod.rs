//! The instances' logs in the platform's store: records, their folds, leases and the writer.

pub mod ages;
pub mod counters;
pub mod crashes;
pub mod drafts;
pub mod fold;
pub mod lease;
pub mod members;
pub mod record;
pub mod writer;
