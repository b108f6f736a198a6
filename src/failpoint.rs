//! Named points at which tests pause or abort a process; nothing without the feature.
//!
//! The environment variable `FAILPOINTS` says what happens, as in
//! `usage-before-report=1*return(2000)` (a pause in milliseconds) or `usage-after-close=1*return(abort)`.

/// Reads `FAILPOINTS`, for as long as the process runs.
#[cfg(feature = "failpoints")]
pub fn setup() {
    std::mem::forget(fail::FailScenario::setup());
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub fn setup() {}

/// Pauses or aborts at a point, if it is set up to.
#[cfg(feature = "failpoints")]
pub async fn reach(point: &'static str) {
    let Some(action) = fail::eval(point, Option::unwrap_or_default) else {
        return;
    };
    spdlog::warn!("failpoint", kv: { point, action = action.as_str() });
    if action == "abort" {
        std::process::abort();
    }
    let pause = std::time::Duration::from_millis(action.parse().unwrap_or_default());
    tokio::time::sleep(pause).await;
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub async fn reach(_point: &'static str) {
    std::future::ready(()).await;
}
