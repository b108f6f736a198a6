//! Withdraws keys: denies them everywhere at once, and appends until the log shows it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::wire::{ConfigBody, ConfigRecord};

use super::Control;

/// Longest pause between passes over denied keys.
const PAUSE_MAX: Duration = Duration::from_secs(3);
/// Timeout for a withdrawal to be folded.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Denies a known key before the log shows its withdrawal.
pub(super) fn deny(control: &Control, digest: &str) {
    if control.config.state().keys.contains_key(digest) {
        control.peers.deny(std::iter::once(digest));
    }
}

/// The refusal of a record that the log did not take in time.
///
/// For a withdrawal, it states how many instances deny the key meanwhile.
pub(super) fn not_recorded(control: &Control, body: &ConfigBody) -> Refusal {
    let detail = "the log did not take the record in time; publish it again";
    let detail = match body {
        ConfigBody::KeyWithdraw { digest } => {
            let denying = control.peers.count_denying(digest);
            format!(
                "{detail}. The key is refused meanwhile on {} of {} instances, and control \
                 daemons go on appending the withdrawal",
                denying.holding, denying.listed
            )
        }
        _ => detail.to_owned(),
    };
    Refusal::unknown(RefusalKind::Deadline, detail)
}

/// Appends withdrawals of denied keys until the log shows them; never returns.
///
/// The pause is jittered, so that mostly one control daemon appends. A withdrawal is
/// idempotent, so repeats are harmless.
pub(super) async fn append_denied(control: Arc<Control>) {
    loop {
        tokio::time::sleep(PAUSE_MAX.mul_f64(rand::random_range(0.2..=1.0))).await;
        for digest in control.peers.denied().keys().iter() {
            let record = ConfigRecord {
                body: ConfigBody::KeyWithdraw {
                    digest: digest.to_string(),
                },
                id: format!("withdraw-{digest}"),
            };
            let _ = control
                .config
                .submit(&record, Instant::now() + APPEND_TIMEOUT)
                .await;
        }
    }
}
