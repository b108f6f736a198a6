//! Polls the load reports of engines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::Request;

use crate::wire::EngineLoad;

use super::Entry;
use super::servers::KnownServer;

/// Wait between two polls of all engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Servers that are read concurrently.
const CONCURRENT_READS: usize = 32;

/// Polls the load reports of all running engines forever.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        let engines = engines(&entry);
        let reads = futures_util::stream::iter(engines).map(|server| read(&entry, server));
        reads
            .buffer_unordered(CONCURRENT_READS)
            .collect::<()>()
            .await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The running servers of pools that serve a model.
fn engines(entry: &Entry) -> Vec<Arc<KnownServer>> {
    let state = entry.config.state();
    let serves = |server: &&Arc<KnownServer>| {
        let mut models = state.manifest.models.values();
        server.running && models.any(|model| model.pool == server.pool)
    };
    entry.servers.all().iter().filter(serves).cloned().collect()
}

/// Reads one report; if that fails, the previous report stays and loses weight with age.
async fn read(entry: &Entry, server: Arc<KnownServer>) {
    let request = Request::builder()
        .uri(format!("http://{}/load", server.address))
        .body(Bytes::new());
    let Ok(request) = request else { return };
    let Ok(answer) = entry.client.fetch(request, READ_TIMEOUT).await else {
        return;
    };
    if let Ok(load) = serde_json::from_slice::<EngineLoad>(answer.body()) {
        server.store_report(load, Instant::now());
    }
}
