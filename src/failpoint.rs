//! Named points at which tests pause or abort a process; nothing without the feature.
//!
//! The environment variable `FAILPOINTS` says what happens, as in
//! `usage-before-report=1*return(pause 2000)`, in milliseconds, or
//! `usage-after-close=1*return(abort)`.

/// Reads `FAILPOINTS`, for as long as the process runs.
#[cfg(feature = "failpoints")]
pub fn setup() {
    std::mem::forget(fail::FailScenario::setup());
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub fn setup() {}

/// Pauses or aborts at a point, if it is set up to.
///
/// # Panics
/// An action that is neither would let a test pass without its fault.
#[cfg(feature = "failpoints")]
pub async fn reach(point: &'static str) {
    let Some(action) = fail::eval(point, Option::unwrap_or_default) else {
        return;
    };
    spdlog::warn!("failpoint", kv: { point, action = action.as_str() });
    if action == "abort" {
        std::process::abort();
    }
    let pause = action.strip_prefix("pause ").and_then(|ms| ms.parse().ok());
    let pause = pause.expect("a failpoint's action is `abort` or `pause MS`");
    tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub async fn reach(_point: &'static str) {
    std::future::ready(()).await;
}
