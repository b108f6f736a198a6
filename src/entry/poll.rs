//! Reads backend servers' load reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::Request;

use crate::wire::EngineLoad;

use super::Entry;
use super::servers::KnownServer;

/// Time between two rounds of reading.
const PERIOD: Duration = Duration::from_millis(500);
/// Time within which a server must answer.
const LIMIT: Duration = Duration::from_millis(400);
/// Servers that are read at a time.
const AT_ONCE: usize = 32;

/// Reads the load reports of this entry's engines for ever.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        let engines = engines(&entry);
        let reads = futures_util::stream::iter(engines).map(|server| read(&entry, server));
        reads.buffer_unordered(AT_ONCE).collect::<()>().await;
        tokio::time::sleep(PERIOD).await;
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

/// Reads one report; without an answer, older news loses its weight by itself.
async fn read(entry: &Entry, server: Arc<KnownServer>) {
    let request = Request::builder()
        .uri(format!("http://{}/load", server.address))
        .body(Bytes::new());
    let Ok(request) = request else { return };
    let Ok(answer) = entry.client.fetch(request, LIMIT).await else {
        return;
    };
    if let Ok(load) = serde_json::from_slice::<EngineLoad>(answer.body()) {
        server.take_report(load, Instant::now());
    }
}
