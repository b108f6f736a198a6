//! Caller-facing side of an instance: listeners, admission, forwarding and job calls.

pub mod active;
pub mod admit;
pub mod connections;
pub mod event_boundary;
pub mod evict;
pub mod forward;
pub mod handle;
pub mod job_memory;
pub mod jobs;
pub mod listen;
pub mod reply;
pub mod stop;
mod stream;
pub mod submission;
mod submit;
pub mod suspect;
mod tracked;
mod waiting;
