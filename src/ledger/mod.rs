//! The instances' log in the platform's store: records, their fold, leases and the writer.

pub mod drafts;
pub mod fold;
pub mod lease;
pub mod record;
pub mod writer;
