//! Appends snapshots of the folded configuration before its records expire.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::{Log, Stream};
use crate::log::ConfigLog;
use crate::wire::Role;

use super::leases::Leases;

/// Interval between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Appends due snapshots while this process holds the servers' role; never returns.
///
/// A snapshot that arrives late or from a former holder is still valid: it names the offset up
/// to which it replaces the records, and readers past that offset ignore it.
pub(super) async fn run(log: Arc<dyn Log>, config: Arc<ConfigLog>, leases: Arc<Leases>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if leases.held(Role::Servers).is_none() {
            continue;
        }
        let Some(record) = config.due_snapshot(Instant::now()) else {
            continue;
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        match log.append(Stream::Config, text).await {
            Ok(offset) => spdlog::info!("snapshot appended", kv: { offset }),
            Err(error) => {
                spdlog::warn!("snapshot append failed", kv: { error = error.to_string() });
            }
        }
    }
}
