//! Detects when a server that is marked as leaving has drained.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;

use super::Orders;
use crate::manifest::{Manifest, PoolKind};
use crate::names::ServerId;
use crate::wire::{BackendServer, EngineLoad, ServerList};

/// Grace period after the mark in which entries may still send new work.
const MARK_GRACE: Duration = Duration::from_secs(5);
/// Timeout of the request for an engine's load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Servers marked as leaving, by when this process first saw each mark.
#[derive(Debug, Default)]
pub(super) struct Drains {
    since: BTreeMap<ServerId, Instant>,
}

impl Drains {
    /// Adds new marks as of `now` and drops removed ones.
    pub(super) fn update(&mut self, leaving: &BTreeSet<ServerId>, now: Instant) {
        self.since.retain(|server, _| leaving.contains(server));
        for server in leaving {
            self.since.entry(server.clone()).or_insert(now);
        }
    }

    /// Servers that were marked so long ago that every entry has had time to see the mark.
    fn past_grace(&self, now: Instant) -> impl Iterator<Item = (&ServerId, Instant)> {
        let since = self.since.iter().map(|(server, since)| (server, *since));
        since.filter(move |(_, since)| now >= *since + MARK_GRACE)
    }
}

/// Maximum time that a request may run on a server of the pool.
fn request_timeout(manifest: &Manifest, pool: &str) -> Duration {
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
    /// Marked servers that may be stopped: idle, or past the timeout of any request they run.
    pub(super) async fn drained(
        &self,
        drains: &Drains,
        list: &ServerList,
        now: Instant,
    ) -> BTreeSet<ServerId> {
        let state = self.config.state();
        let mut drained = BTreeSet::new();
        for (id, since) in drains.past_grace(now) {
            let listed = list.servers.iter().find(|s| s.id == id.as_str());
            let Some(server) = listed else { continue };
            let is_timed_out =
                now >= since + MARK_GRACE + request_timeout(&state.manifest, &server.pool);
            if is_timed_out || self.is_idle(server).await {
                drained.insert(id.clone());
            }
        }
        drained
    }

    /// Whether an engine reports no work; other kinds of server do not report their load.
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
