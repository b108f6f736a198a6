//! The callers' side of an instance: listeners, admission, and the answers.

pub mod admit;
pub mod forward;
pub mod handle;
pub mod jobs;
pub mod listen;
pub mod reply;
pub mod suspect;
