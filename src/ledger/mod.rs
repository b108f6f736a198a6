//! The instances' logs in the platform's store: records, the state folded from them, lease
//! rules and the log writer.

pub mod ages;
pub mod counters;
pub mod crashes;
pub mod drafts;
pub mod fold;
pub mod lease;
pub mod members;
pub mod record;
pub mod writer;
