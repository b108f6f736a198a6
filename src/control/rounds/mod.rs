//! Rollout rounds: trainers open sessions and pull samples.
//!
//! A trainer's session is the only record of what was delivered, and is held in memory only.
//! When this daemon fails, the trainer opens a session at another control daemon and states
//! which slots it holds already.
//!
//! [`slots`] tracks the samples and answers pulls, [`order`] and [`fair_share`] choose what is
//! generated next, and [`generation`] calls the entries.

mod entry_client;
mod fair_share;
mod generation;
mod handlers;
mod order;
mod session;
mod slots;
mod time_slice;

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

use entry_client::EntryClient;
use session::Session;
use time_slice::SampleDurations;

pub(super) use handlers::{close, open, pull};

/// Time without a call after which a session is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of sessions and backend servers.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum sessions of one control daemon.
const SESSIONS_MAX: usize = 256;

/// All sessions of one control daemon.
#[derive(Debug)]
pub(super) struct Sessions {
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    entries: EntryClient,
    servers: HttpServers,
    by_id: Mutex<BTreeMap<String, Arc<Session>>>,
    running: Arc<AtomicUsize>,
    /// Durations of recent samples, by model.
    durations: Mutex<BTreeMap<String, SampleDurations>>,
    /// Number of running backend servers, by pool.
    server_counts: ArcSwap<BTreeMap<Pool, usize>>,
    runtime: tokio::runtime::Handle,
}

/// Counts a sample as being generated until dropped.
#[derive(Debug)]
struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Sessions {
    /// Creates an empty set of sessions, which run on the caller's tokio runtime.
    pub fn new(
        settings: &Settings,
        client: &Client,
        config: Arc<ConfigLog>,
        peers: Arc<Peers>,
    ) -> Self {
        let local = settings.entry.http.to_string();
        let secret = settings.peer_secret.clone();
        Self {
            config,
            entries: EntryClient::new(client.clone(), Arc::clone(&peers), secret, local),
            peers,
            servers: HttpServers::new(client, &settings.platform.servers),
            by_id: Mutex::default(),
            running: Arc::default(),
            durations: Mutex::default(),
            server_counts: ArcSwap::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Polls the backend servers and closes ended sessions; never returns.
    pub async fn follow(self: Arc<Self>) {
        loop {
            if let Ok(list) = self.servers.list().await {
                self.server_counts
                    .store(Arc::new(count_servers(&list.servers)));
            }
            self.close_ended(Instant::now());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Closes all sessions at shutdown, so that no waiting pull delays the daemon's exit.
    ///
    /// Waiting pulls return what is ready; their trainers continue at another control daemon.
    pub async fn leave(self: Arc<Self>, mut leaving: watch::Receiver<bool>) {
        // An error means that the sender was dropped: the daemon has ended already.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        for session in self.by_id.lock().values() {
            session.close();
        }
    }

    /// Closes sessions that are idle, or whose round or key is no longer valid.
    fn close_ended(&self, now: Instant) {
        let state = self.config.state();
        self.by_id.lock().retain(|_, session| {
            let round_valid = state.round(&session.spec.name).is_some();
            let key_valid = self.peers.tenant(&session.key).is_some();
            let idle = generation::is_idle(session.last_call(), now, IDLE_TIMEOUT);
            if round_valid && key_valid && !idle {
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

    /// Adds and starts a session, replacing an earlier one for the same round.
    ///
    /// Returns false if the daemon already has `SESSIONS_MAX` other sessions.
    fn add(self: &Arc<Self>, session: Arc<Session>) -> bool {
        let mut sessions = self.by_id.lock();
        sessions.retain(|_, other| {
            let same_round = other.spec.name == session.spec.name;
            if same_round {
                other.close();
            }
            !same_round
        });
        if sessions.len() >= SESSIONS_MAX {
            return false;
        }
        sessions.insert(session.id.clone(), Arc::clone(&session));
        drop(sessions);
        self.runtime
            .spawn(generation::run(Arc::clone(self), session));
        true
    }

    fn remove(&self, id: &str) {
        if let Some(session) = self.by_id.lock().remove(id) {
            session.close();
        }
    }

    fn session(&self, id: &str) -> Option<Arc<Session>> {
        self.by_id.lock().get(id).cloned()
    }

    /// Number of open sessions.
    fn session_count(&self) -> usize {
        self.by_id.lock().len()
    }

    /// Number of samples that all sessions are generating.
    fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a further sample as being generated until the guard is dropped.
    fn running_guard(&self) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(Arc::clone(&self.running))
    }

    /// Number of requests that the model's servers can run concurrently.
    fn capacity(&self, model: &str) -> usize {
        let state = self.config.state();
        let Some(model) = state.manifest.models.get(model) else {
            return 0;
        };
        let slots = state.manifest.pools.get(&model.pool);
        let slots = slots.map_or(1, |pool| usize::try_from(pool.slots).unwrap_or(1));
        let servers = self
            .server_counts
            .load()
            .get(&model.pool)
            .copied()
            .unwrap_or(0);
        slots * servers
    }

    /// Time slice for the next part of a sample that has had `parts` parts before.
    fn slice(&self, model: &str, parts: u32) -> Duration {
        let durations = self.durations.lock();
        let recent = durations.get(model).cloned().unwrap_or_default();
        recent.slice(parts)
    }

    /// Records the milliseconds that a whole sample took on servers.
    fn record(&self, model: &str, took_ms: u64) {
        let mut durations = self.durations.lock();
        let recent = durations.entry(model.to_owned()).or_default();
        recent.record(Duration::from_millis(took_ms));
    }
}

/// Counts running backend servers that are not about to be reclaimed, by pool.
fn count_servers(servers: &[BackendServer]) -> BTreeMap<Pool, usize> {
    let mut pools = BTreeMap::new();
    for server in servers {
        if server.state == ServerState::Running && server.notice_ms.is_none() {
            *pools.entry(Pool::from(server.pool.as_str())).or_insert(0) += 1;
        }
    }
    pools
}
