//! Appends the folded configuration again before its records expire.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::{Log, Stream};
use crate::log::ConfigLog;
use crate::wire::Role;

use super::leases::Leases;

/// Time between two checks.
const CHECK: Duration = Duration::from_secs(1);

/// Appends snapshots for as long as this process holds the servers' role.
///
/// A snapshot that lands late, or from a former holder, is true all the same: it names the
/// offset that it stands for, and readers past it ignore it.
pub(super) async fn run(log: Arc<dyn Log>, config: Arc<ConfigLog>, leases: Arc<Leases>) {
    loop {
        tokio::time::sleep(CHECK).await;
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
