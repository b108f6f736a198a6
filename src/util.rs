//! Small functions that several modules share.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Random bytes in an identifier.
const ID_BYTES: usize = 12;

/// Returns a random identifier of 24 hex digits.
#[must_use]
pub fn random_id() -> String {
    use std::fmt::Write as _;
    let bytes: [u8; ID_BYTES] = rand::random();
    let mut text = String::with_capacity(ID_BYTES * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a Unix time in milliseconds to a monotonic instant; past times give now.
#[must_use]
pub fn instant_of(unix: u64) -> Instant {
    let left = unix.saturating_sub(unix_ms());
    Instant::now() + Duration::from_millis(left)
}

/// Converts a duration to milliseconds, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a random duration between half of `pause` and all of it.
#[must_use]
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Fails if a signal handler cannot be installed.
pub async fn stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
