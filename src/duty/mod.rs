//! Duties that one instance at a time does for the platform.

pub mod capacity;
pub mod scale;
pub mod usage;

use std::time::Duration;

/// Time within which the platform answers a call of a duty.
const ANSWER: Duration = Duration::from_millis(900);
