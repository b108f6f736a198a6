//! The instances' log in the platform's store: records, their fold, leases and the writer.

pub mod ages;
pub mod drafts;
pub mod fold;
pub mod lease;
pub mod members;
pub mod record;
pub mod writer;
