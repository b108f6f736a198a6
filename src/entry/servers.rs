//! The backend servers that this entry knows, with its own work on each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::edge::Servers;
use crate::manifest::ChoicePolicy;
use crate::names::{Pool, ServerId, Zone};
use crate::wire::{BackendServer, ServerState};

use super::choose::{Candidate, choose};

/// Time between two readings of the backend server interface.
const POLL: Duration = Duration::from_millis(500);
/// Time for which a server that failed to connect gets no work.
const SUSPECT: Duration = Duration::from_secs(2);

/// One backend server with this entry's work on it.
#[derive(Debug)]
pub struct KnownServer {
    /// Its identifier.
    pub id: ServerId,
    /// Its pool.
    pub pool: Pool,
    /// Its availability zone.
    pub zone: Zone,
    /// Its host and port.
    pub address: String,
    /// Whether it may get new work, as the platform lists it.
    pub running: bool,
    work: Arc<Work>,
}

/// This entry's work on one server, which outlives changes of the list.
#[derive(Debug, Default)]
struct Work {
    inflight: AtomicU32,
    suspect: Mutex<Option<Instant>>,
}

/// One request on one server. Dropping it ends the request's count.
#[derive(Debug)]
pub struct Inflight {
    /// The server.
    pub server: Arc<KnownServer>,
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.server.work.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a request needs of a server.
#[derive(Debug)]
pub struct Need<'a> {
    /// The pool.
    pub pool: &'a Pool,
    /// Servers that were tried already.
    pub avoid: &'a [ServerId],
    /// The requester's availability zone.
    pub zone: &'a Zone,
    /// How to choose.
    pub policy: ChoicePolicy,
}

/// All known backend servers.
#[derive(Debug)]
pub struct ServerTable {
    api: Arc<dyn Servers>,
    known: ArcSwap<Vec<Arc<KnownServer>>>,
    turn: AtomicUsize,
}

impl ServerTable {
    /// A table that knows no server yet.
    #[must_use]
    pub fn new(api: Arc<dyn Servers>) -> Self {
        Self {
            api,
            known: ArcSwap::default(),
            turn: AtomicUsize::new(0),
        }
    }

    /// Follows the backend server interface for ever; outages leave the list as it is.
    pub async fn follow(&self) {
        loop {
            match self.api.list().await {
                Ok(list) => self.replace(list.servers),
                Err(error) => {
                    spdlog::warn!("server list failed", kv: { error = error.to_string() });
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Takes over a new list; work on servers that stay is kept.
    pub fn replace(&self, list: Vec<BackendServer>) {
        let old = self.known.load_full();
        let mut works: BTreeMap<&ServerId, &Arc<Work>> = BTreeMap::new();
        for server in old.iter() {
            works.insert(&server.id, &server.work);
        }
        let mut known = Vec::with_capacity(list.len());
        for server in list {
            let id = ServerId::from(server.id);
            let work = works.get(&id).map(|work| Arc::clone(work));
            known.push(Arc::new(KnownServer {
                id,
                pool: server.pool.into(),
                zone: server.zone.into(),
                address: server.address,
                running: server.state == ServerState::Running && server.notice_ms.is_none(),
                work: work.unwrap_or_default(),
            }));
        }
        self.known.store(Arc::new(known));
    }

    /// Chooses a server and counts the request on it.
    #[must_use]
    pub fn pick(&self, need: &Need<'_>, now: Instant) -> Option<Inflight> {
        let known = self.known.load();
        let fits: Vec<&Arc<KnownServer>> = known
            .iter()
            .filter(|server| is_candidate(server, need, now))
            .collect();
        let candidates: Vec<Candidate> = fits
            .iter()
            .map(|server| Candidate {
                load: f64::from(server.work.inflight.load(Ordering::Relaxed)),
                near: server.zone == *need.zone,
            })
            .collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let chosen = choose(need.policy, &candidates, turn)?;
        let server = Arc::clone(fits[chosen]);
        server.work.inflight.fetch_add(1, Ordering::Relaxed);
        Some(Inflight { server })
    }

    /// The servers of a pool that may get new work.
    #[must_use]
    pub fn running(&self, pool: &Pool) -> Vec<ServerId> {
        let known = self.known.load();
        let running = known
            .iter()
            .filter(|server| server.running && server.pool == *pool);
        running.map(|server| server.id.clone()).collect()
    }

    /// Keeps new work from a server for a while.
    pub fn suspect(&self, server: &KnownServer, now: Instant) {
        *server.work.suspect.lock() = Some(now + SUSPECT);
    }
}

fn is_candidate(server: &KnownServer, need: &Need<'_>, now: Instant) -> bool {
    let suspect = server.work.suspect.lock().is_some_and(|until| now < until);
    server.running && !suspect && server.pool == *need.pool && !need.avoid.contains(&server.id)
}
