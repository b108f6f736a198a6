//! The instances' logs in the platform's store: records, the state folded from them, lease
//! rules and the log writer.

pub mod counters;
pub mod crashes;
pub mod demand;
pub mod drafts;
pub mod instances;
pub mod lease;
pub mod origins;
pub mod pieces;
pub mod record;
pub mod state;
pub mod write_times;
pub mod writer;
