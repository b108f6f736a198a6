//! When a server that is marked as leaving has no work left.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;

use super::Orders;
use crate::manifest::{Manifest, PoolKind};
use crate::names::ServerId;
use crate::wire::{BackendServer, EngineLoad, ServerList};

/// Time after the mark in which entries may still send new work.
const ANNOUNCED: Duration = Duration::from_secs(5);
/// Time within which an engine must tell its load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// When this process first saw each mark.
#[derive(Debug, Default)]
pub(super) struct Drains {
    since: BTreeMap<ServerId, Instant>,
}

impl Drains {
    /// Takes note of the marks in force at `now`.
    pub(super) fn watch(&mut self, leaving: &BTreeSet<ServerId>, now: Instant) {
        self.since.retain(|server, _| leaving.contains(server));
        for server in leaving {
            self.since.entry(server.clone()).or_insert(now);
        }
    }

    /// Servers whose mark every entry has had time to see.
    fn announced(&self, now: Instant) -> impl Iterator<Item = (&ServerId, Instant)> {
        let since = self.since.iter().map(|(server, since)| (server, *since));
        since.filter(move |(_, since)| now >= *since + ANNOUNCED)
    }
}

/// Longest time that work on a server of this pool may take.
fn longest(manifest: &Manifest, pool: &str) -> Duration {
    let routes = manifest.routes.iter();
    let routes = routes.filter(|route| route.pool.as_str() == pool);
    let route = routes.map(|route| route.timeout).max().unwrap_or(0);
    let spec = manifest.pools.get(pool);
    let is_engine = spec.is_none_or(|spec| spec.kind == PoolKind::Engine);
    let request = if is_engine {
        manifest.limits.request
    } else {
        0
    };
    Duration::from_millis(route.max(request))
}

impl Orders {
    /// Marked servers that may be stopped.
    pub(super) async fn drained(
        &self,
        drains: &Drains,
        list: &ServerList,
        now: Instant,
    ) -> BTreeSet<ServerId> {
        let state = self.config.state();
        let mut drained = BTreeSet::new();
        for (id, since) in drains.announced(now) {
            let listed = list.servers.iter().find(|s| s.id == id.as_str());
            let Some(server) = listed else { continue };
            let is_over = now >= since + ANNOUNCED + longest(&state.manifest, &server.pool);
            if is_over || self.is_idle(server).await {
                drained.insert(id.clone());
            }
        }
        drained
    }

    /// Whether an engine says that it has no work; other servers do not tell.
    async fn is_idle(&self, server: &BackendServer) -> bool {
        let url = format!("http://{}/load", server.address);
        let Ok(request) = Request::get(url).body(Bytes::new()) else {
            return false;
        };
        let Ok(answer) = self.client.fetch(request, LOAD_TIMEOUT).await else {
            return false;
        };
        let load = serde_json::from_slice::<EngineLoad>(answer.body());
        load.is_ok_and(|load| load.running == 0 && load.waiting == 0)
    }
}
