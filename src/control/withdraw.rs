//! Withdrawals of keys: denied at once everywhere, and appended until the log shows them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::wire::{ConfigBody, ConfigRecord};

use super::Control;

/// Longest pause between two looks at what the log does not show yet.
const PAUSE: Duration = Duration::from_secs(3);
/// Time within which the log must take a record.
const APPEND: Duration = Duration::from_secs(5);

/// Denies a key that is known, before the log shows it withdrawn.
pub(super) fn deny(control: &Control, digest: &str) {
    if control.config.state().keys.contains_key(digest) {
        control.peers.deny(std::iter::once(digest));
    }
}

/// The refusal of a record that the log did not take in time.
pub(super) fn not_recorded(control: &Control, body: &ConfigBody) -> Refusal {
    let detail = "the log did not take the record in time; publish it again";
    let detail = match body {
        ConfigBody::KeyWithdraw { digest } => {
            let denying = control.peers.denying(digest);
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

/// Appends for ever what is denied and the log does not show yet.
///
/// The pause is random, so that mostly one control daemon appends; repeats are harmless.
pub(super) async fn append_denied(control: Arc<Control>) {
    loop {
        tokio::time::sleep(PAUSE.mul_f64(rand::random_range(0.2..=1.0))).await;
        for digest in control.peers.denied().keys().iter() {
            let record = ConfigRecord {
                body: ConfigBody::KeyWithdraw {
                    digest: digest.to_string(),
                },
                id: format!("withdraw-{digest}"),
            };
            let _ = control
                .config
                .submit(&record, Instant::now() + APPEND)
                .await;
        }
    }
}
