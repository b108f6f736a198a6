//! Rollout rounds: trainers open sessions and pull samples.
//!
//! The trainer's own session is the record of delivery; nothing of it is kept elsewhere. When
//! this daemon dies, the trainer opens a session at another one and states what it holds.
//!
//! [`board`] decides what is handed out, [`order`] and [`share`] what is generated next;
//! [`drive`] calls the entries.

mod board;
mod drive;
mod entries;
mod order;
mod pace;
mod serve;
mod session;
mod share;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::edge::{HttpServers, Servers};
use crate::http::Client;
use crate::log::ConfigLog;
use crate::names::Pool;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::wire::{BackendServer, ServerState};

use entries::Entries;
use pace::Pace;
use session::Session;

pub(super) use serve::{close, open, pull};

/// Time without a call after which a session is dropped.
const IDLE: Duration = Duration::from_secs(60);
/// Time between two looks at sessions and backend servers.
const LOOK: Duration = Duration::from_secs(1);
/// Most sessions of one control daemon.
const SESSIONS_MAX: usize = 256;

/// All sessions of one control daemon.
#[derive(Debug)]
pub(super) struct Rounds {
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    entries: Entries,
    servers: HttpServers,
    sessions: Mutex<BTreeMap<String, Arc<Session>>>,
    running: Arc<AtomicUsize>,
    /// How long samples take, by model.
    paces: Mutex<BTreeMap<String, Pace>>,
    /// Backend servers that run, by pool.
    pools: ArcSwap<BTreeMap<Pool, usize>>,
    runtime: tokio::runtime::Handle,
}

/// One sample that is being generated. Dropping it ends its count.
#[derive(Debug)]
struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Rounds {
    /// No sessions yet. Their work runs on the runtime that calls this.
    pub fn new(
        settings: &Settings,
        client: &Client,
        config: Arc<ConfigLog>,
        peers: Arc<Peers>,
    ) -> Self {
        let own = settings.entry.http.to_string();
        let secret = settings.peer_secret.clone();
        Self {
            config,
            entries: Entries::new(client.clone(), Arc::clone(&peers), secret, own),
            peers,
            servers: HttpServers::new(client, &settings.platform.servers),
            sessions: Mutex::default(),
            running: Arc::default(),
            paces: Mutex::default(),
            pools: ArcSwap::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Follows the backend servers and the sessions' ends for ever.
    pub async fn follow(self: Arc<Self>) {
        loop {
            if let Ok(list) = self.servers.list().await {
                self.pools.store(Arc::new(count_running(&list.servers)));
            }
            self.drop_ended(Instant::now());
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Closes all sessions once this daemon is leaving, so that no pull holds it up.
    ///
    /// Waiting pulls get what is ready; their trainers go on at another daemon.
    pub async fn leave(self: Arc<Self>, mut leaving: watch::Receiver<bool>) {
        // An error means that the daemon is gone already.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        for session in self.sessions.lock().values() {
            session.close();
        }
    }

    /// Closes sessions that are idle, or whose round or key is no longer in force.
    fn drop_ended(&self, now: Instant) {
        let state = self.config.state();
        self.sessions.lock().retain(|_, session| {
            let in_force = state.round(&session.spec.name).is_some();
            let keyed = self.peers.tenant(&session.key).is_some();
            let idle = drive::is_idle(session.used(), now, IDLE);
            if in_force && keyed && !idle {
                return true;
            }
            spdlog::info!("session closed", kv: {
                round = session.spec.name.as_str(),
                idle,
                counts = session.counts().to_string(),
                dropped = session.dropped(),
            });
            session.close();
            false
        });
    }

    /// Adds a session, in place of an earlier one for the same round.
    fn add(self: &Arc<Self>, session: Arc<Session>) -> bool {
        let mut sessions = self.sessions.lock();
        sessions.retain(|_, known| {
            let same = known.spec.name == session.spec.name;
            if same {
                known.close();
            }
            !same
        });
        if sessions.len() >= SESSIONS_MAX {
            return false;
        }
        sessions.insert(session.id.clone(), Arc::clone(&session));
        drop(sessions);
        self.runtime.spawn(drive::drive(Arc::clone(self), session));
        true
    }

    fn remove(&self, id: &str) {
        if let Some(session) = self.sessions.lock().remove(id) {
            session.close();
        }
    }

    fn session(&self, id: &str) -> Option<Arc<Session>> {
        self.sessions.lock().get(id).cloned()
    }

    /// Sessions that have work left.
    fn count(&self) -> usize {
        self.sessions.lock().len()
    }

    /// Samples that all sessions are generating.
    fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    fn count_running(&self) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(Arc::clone(&self.running))
    }

    /// Requests that the model's servers run at a time.
    fn capacity(&self, model: &str) -> usize {
        let state = self.config.state();
        let Some(model) = state.manifest.models.get(model) else {
            return 0;
        };
        let slots = state.manifest.pools.get(&model.pool);
        let slots = slots.map_or(1, |pool| usize::try_from(pool.slots).unwrap_or(1));
        let servers = self.pools.load().get(&model.pool).copied().unwrap_or(0);
        slots * servers
    }

    /// Time for the part of a sample that has had `parts` before.
    fn slice(&self, model: &str, parts: u32) -> Duration {
        let paces = self.paces.lock();
        let pace = paces.get(model).cloned().unwrap_or_default();
        pace.slice(parts)
    }

    /// Notes the milliseconds that a whole sample took on servers.
    fn note(&self, model: &str, took: u64) {
        let mut paces = self.paces.lock();
        let pace = paces.entry(model.to_owned()).or_default();
        pace.note(Duration::from_millis(took));
    }
}

fn count_running(servers: &[BackendServer]) -> BTreeMap<Pool, usize> {
    let mut pools = BTreeMap::new();
    for server in servers {
        if server.state == ServerState::Running && server.notice_ms.is_none() {
            *pools.entry(Pool::from(server.pool.as_str())).or_insert(0) += 1;
        }
    }
    pools
}
