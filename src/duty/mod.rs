//! Duties of the lease holders: ordering backend servers and reporting usage.

pub mod capacity;
pub mod scale;
pub mod usage;

use std::time::Duration;

/// Timeout of a duty's call to the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
