//! Duties that one instance at a time does for the platform.

pub mod capacity;
pub mod scale;
pub mod usage;
