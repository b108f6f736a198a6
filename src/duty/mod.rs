//! Duties that one instance at a time does for the platform.

pub mod usage;
