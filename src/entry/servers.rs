//! The backend servers that this entry knows, with the requests it runs on each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::edge::Servers;
use crate::manifest::{EjectionPolicy, Policy};
use crate::names::{InstanceId, Model, Pool, ServerId, Zone};
use crate::wire::{BackendServer, EngineLoad, ServerState};

use super::choose::{self, Candidate};
use super::eject::{Failure, Health};
use super::intake;
use super::load_estimate::{Report, estimate};
use super::other_entries::OtherEntries;
use super::prefix::{PrefixIndex, ServerNumber};
use super::subset;

/// Interval at which the list of backend servers is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A listed backend server, with this entry's state for it.
#[derive(Debug)]
pub struct KnownServer {
    /// The server's identifier.
    pub id: ServerId,
    /// The pool that the server belongs to.
    pub pool: Pool,
    /// The server's availability zone.
    pub zone: Zone,
    /// The server's host and port.
    pub address: String,
    /// Whether the list shows the server as running, with no notice of its end.
    pub running: bool,
    local: Arc<LocalState>,
}

/// This entry's state for one server, kept while the server stays in the list.
#[derive(Debug)]
struct LocalState {
    number: ServerNumber,
    inflight: AtomicU32,
    leaving: AtomicBool,
    health: Mutex<Health>,
    report: Mutex<Option<Report>>,
}

impl LocalState {
    fn new(number: ServerNumber) -> Self {
        Self {
            number,
            inflight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            health: Mutex::default(),
            report: Mutex::default(),
        }
    }

    fn own_inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }
}

/// A request counted as in flight on a server. Dropping an `Inflight` ends the count.
#[derive(Debug)]
pub struct Inflight {
    /// The server that the request was assigned to.
    pub server: Arc<KnownServer>,
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.server.local.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a request requires of a server, and how to choose among those that fit.
#[derive(Debug)]
pub struct Need<'a> {
    /// The pool whose servers may run the request.
    pub pool: &'a Pool,
    /// The required model, if any.
    pub model: Option<&'a Model>,
    /// The oldest acceptable weight version; any version is acceptable if absent.
    pub version: Option<u64>,
    /// Servers that must not run the request, such as those that already failed it.
    pub avoid: &'a [ServerId],
    /// Servers excluded because a suspect request must not share them with other suspects.
    pub exclude: &'a [ServerId],
    /// The entry's availability zone, whose servers cost less than those of other zones.
    pub zone: &'a Zone,
    /// The entry's instance, which determines its subset of the servers.
    pub instance: &'a InstanceId,
    /// The policies for choice, ejection and subsets.
    pub policy: Policy,
    /// Requests that one server runs concurrently.
    pub slots: f64,
    /// The expected work of the request.
    pub work: choose::Work,
    /// Block hashes of the request's prompt, for prefix affinity.
    pub blocks: &'a [u64],
}

/// The table of all listed backend servers.
#[derive(Debug)]
pub struct ServerTable {
    api: Arc<dyn Servers>,
    known: ArcSwap<Vec<Arc<KnownServer>>>,
    /// Number of the next choice; it starts at random.
    turn: AtomicU64,
    next_number: AtomicU32,
    /// Which servers have which prompt prefixes cached.
    pub prefixes: PrefixIndex,
}

impl ServerTable {
    /// Creates an empty table, filled by [`ServerTable::follow`].
    #[must_use]
    pub fn new(api: Arc<dyn Servers>) -> Self {
        Self {
            api,
            known: ArcSwap::default(),
            turn: AtomicU64::new(rand::random()),
            next_number: AtomicU32::new(0),
            prefixes: PrefixIndex::default(),
        }
    }

    /// Polls the list of backend servers forever; a failed read leaves the table as it is.
    pub async fn follow(&self) {
        loop {
            match self.api.list().await {
                Ok(list) => self.replace(list.servers),
                Err(error) => {
                    spdlog::warn!("server list failed", kv: { error = error.to_string() });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Replaces the table by a new list, keeping the state of servers that stay listed.
    pub fn replace(&self, list: Vec<BackendServer>) {
        let old = self.known.load_full();
        let mut locals: BTreeMap<&ServerId, &Arc<LocalState>> = BTreeMap::new();
        for server in old.iter() {
            locals.insert(&server.id, &server.local);
        }
        let mut known = Vec::with_capacity(list.len());
        for server in list {
            let id = ServerId::from(server.id);
            let local = locals.get(&id).map(|local| Arc::clone(local));
            let new_local = || {
                Arc::new(LocalState::new(
                    self.next_number.fetch_add(1, Ordering::Relaxed),
                ))
            };
            let local = local.unwrap_or_else(new_local);
            let running = server.state == ServerState::Running && server.notice_ms.is_none();
            local.leaving.store(!running, Ordering::Relaxed);
            known.push(Arc::new(KnownServer {
                id,
                pool: server.pool.into(),
                zone: server.zone.into(),
                address: server.address,
                running,
                local,
            }));
        }
        self.known.store(Arc::new(known));
    }

    /// Chooses a server and counts the request as in flight on it.
    #[must_use]
    pub fn pick(&self, need: &Need<'_>, others: &OtherEntries, now: Instant) -> Option<Inflight> {
        let eligible = self.eligible(need, now);
        let numbers: Vec<ServerNumber> =
            eligible.iter().map(|server| server.local.number).collect();
        let cached = self.prefixes.held(need.blocks, &numbers);
        let ids: Vec<ServerId> = eligible.iter().map(|server| server.id.clone()).collect();
        let mean = others.inflight_on(&ids) / intake::to_f64(ids.len().max(1) as u64);
        let mut candidates = Vec::with_capacity(eligible.len());
        for (server, cached) in eligible.iter().zip(cached) {
            let peers = others.expected_on(&server.id, mean);
            candidates.push(candidate(server, need, peers, cached, now));
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let chosen = choose::choose(need.policy.choice, &candidates, need.work, turn)?;
        let server = Arc::clone(&eligible[chosen]);
        server.local.inflight.fetch_add(1, Ordering::Relaxed);
        self.prefixes.note(need.blocks, server.local.number);
        Some(Inflight { server })
    }

    /// The servers that may run a request.
    ///
    /// If any of them has the required model and version loaded, only those are returned.
    fn eligible(&self, need: &Need<'_>, now: Instant) -> Vec<Arc<KnownServer>> {
        let known = self.known.load();
        let in_pool = |server: &&Arc<KnownServer>| server.running && server.pool == *need.pool;
        let pool: Vec<&Arc<KnownServer>> = known.iter().filter(in_pool).collect();
        let ids: Vec<&ServerId> = pool.iter().map(|server| &server.id).collect();
        let in_subset = subset::members(need.instance, &ids, need.policy.subset);
        let mut eligible: Vec<Arc<KnownServer>> = Vec::with_capacity(pool.len());
        for (server, in_subset) in pool.iter().zip(in_subset) {
            if in_subset && is_candidate(server, need, now) {
                eligible.push(Arc::clone(server));
            }
        }
        let serves = |server: &Arc<KnownServer>| server.serves(need);
        if eligible.iter().any(serves) {
            eligible.retain(serves);
        }
        eligible
    }

    /// The running servers of a pool.
    #[must_use]
    pub fn running(&self, pool: &Pool) -> Vec<ServerId> {
        let known = self.known.load();
        let running = known
            .iter()
            .filter(|server| server.running && server.pool == *pool);
        running.map(|server| server.id.clone()).collect()
    }

    /// All listed servers.
    #[must_use]
    pub fn all(&self) -> Arc<Vec<Arc<KnownServer>>> {
        self.known.load_full()
    }

    /// Whether the current list shows a server as leaving: not running, or with a notice.
    #[must_use]
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        let known = self.known.load();
        known
            .iter()
            .any(|server| server.id == *id && !server.running)
    }
}

impl KnownServer {
    /// Number of this entry's requests in flight on the server.
    #[must_use]
    pub fn own_inflight(&self) -> u32 {
        self.local.own_inflight()
    }

    /// Whether the last list that names the server shows it as leaving.
    ///
    /// Unlike `running`, the answer also reflects lists read after this `KnownServer` was made.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.local.leaving.load(Ordering::Relaxed)
    }

    /// The server's number in the prefix index.
    #[must_use]
    pub fn number(&self) -> ServerNumber {
        self.local.number
    }

    /// Whether the server is ejected from selection after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        !self.local.health.lock().admits(0, now)
    }

    /// Records a failed request.
    pub fn record_failure(&self, failure: Failure, now: Instant) {
        self.local.health.lock().fail(failure, now);
    }

    /// Records a complete answer.
    pub fn record_success(&self, now: Instant) {
        self.local.health.lock().succeed(now);
    }

    /// Stores the server's load report.
    pub fn store_report(&self, load: EngineLoad, now: Instant) {
        *self.local.report.lock() = Some(Report {
            total: f64::from(load.running) + f64::from(load.waiting),
            own: f64::from(self.own_inflight()),
            version: load.version,
            model: load.model,
            at: now,
        });
    }

    /// Whether the server has the required model and version loaded; true if unknown.
    fn serves(&self, need: &Need<'_>) -> bool {
        let report = self.local.report.lock();
        let Some(report) = report.as_ref() else {
            return true;
        };
        let model = need
            .model
            .is_none_or(|model| model.as_str() == report.model);
        model && need.version.is_none_or(|oldest| oldest <= report.version)
    }
}

/// Builds the inputs to the choice for one server.
///
/// `peers` is the estimate of the other entries' requests on it, and `cached` the number of the
/// prompt's leading blocks that it has cached.
fn candidate(
    server: &KnownServer,
    need: &Need<'_>,
    peers: f64,
    cached: usize,
    now: Instant,
) -> Candidate {
    let own = f64::from(server.own_inflight());
    let report = server.local.report.lock();
    #[expect(clippy::cast_precision_loss, reason = "a prompt has few blocks")]
    let cached = cached as f64 / need.blocks.len().max(1) as f64;
    Candidate {
        own_inflight: own,
        load: estimate(own, peers, report.as_ref(), now),
        slots: need.slots,
        cached,
        same_zone: server.zone == *need.zone,
    }
}

/// Whether a server of the pool is healthy and not excluded for this request.
fn is_candidate(server: &KnownServer, need: &Need<'_>, now: Instant) -> bool {
    let admitted = match need.policy.ejection {
        EjectionPolicy::Slow => server
            .local
            .health
            .lock()
            .admits(server.own_inflight(), now),
        EjectionPolicy::Never => true,
    };
    admitted && !need.avoid.contains(&server.id) && !need.exclude.contains(&server.id)
}
