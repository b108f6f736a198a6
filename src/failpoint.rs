//! Named failpoints at which tests pause or abort a process.
//!
//! Without the feature `failpoints`, both functions do nothing. The environment variable
//! `FAILPOINTS` configures the actions: `usage-before-report=1*return(pause 2000)` pauses for
//! 2000 ms the first time that the failpoint is reached, and
//! `usage-after-close=1*return(abort)` aborts the process.

/// Configures failpoints from `FAILPOINTS` for the lifetime of the process.
#[cfg(feature = "failpoints")]
pub fn setup() {
    std::mem::forget(fail::FailScenario::setup());
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub fn setup() {}

/// Executes the action configured for `point`, if any.
///
/// # Panics
/// Panics if the action is neither `abort` nor `pause MS`: ignoring the action would let a
/// test pass without its fault.
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
    let pause = pause.expect("a failpoint's action must be `abort` or `pause MS`");
    tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
}

/// Does nothing.
#[cfg(not(feature = "failpoints"))]
pub async fn reach(_point: &'static str) {
    std::future::ready(()).await;
}
