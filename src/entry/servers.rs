//! The backend servers that this entry knows, with its own work on each.

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
use super::enter;
use super::others::Others;
use super::prefix::{PrefixIndex, ServerNumber};
use super::report::{Report, estimate};
use super::subset;

/// Time between two readings of the backend server interface.
const POLL: Duration = Duration::from_millis(500);
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
#[derive(Debug)]
struct Work {
    number: ServerNumber,
    inflight: AtomicU32,
    leaving: AtomicBool,
    health: Mutex<Health>,
    report: Mutex<Option<Report>>,
}

impl Work {
    fn new(number: ServerNumber) -> Self {
        Self {
            number,
            inflight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            health: Mutex::default(),
            report: Mutex::default(),
        }
    }

    fn own(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }
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
    /// The model, if one is needed.
    pub model: Option<&'a Model>,
    /// The oldest weight version that will do, if not all do.
    pub version: Option<u64>,
    /// Servers that were tried already.
    pub avoid: &'a [ServerId],
    /// Servers that this request must not share with others.
    pub shun: &'a [ServerId],
    /// The requester's availability zone.
    pub zone: &'a Zone,
    /// The requester's instance.
    pub instance: &'a InstanceId,
    /// How to choose.
    pub policy: Policy,
    /// Requests that one server runs at a time.
    pub slots: f64,
    /// The work of the request.
    pub work: choose::Work,
    /// The blocks of its prompt.
    pub blocks: &'a [u64],
}

/// All known backend servers.
#[derive(Debug)]
pub struct ServerTable {
    api: Arc<dyn Servers>,
    known: ArcSwap<Vec<Arc<KnownServer>>>,
    turn: AtomicU64,
    numbers: AtomicU32,
    /// Which servers hold which prompts.
    pub prefixes: PrefixIndex,
}

impl ServerTable {
    /// A table that knows no server yet.
    #[must_use]
    pub fn new(api: Arc<dyn Servers>) -> Self {
        Self {
            api,
            known: ArcSwap::default(),
            turn: AtomicU64::new(rand::random()),
            numbers: AtomicU32::new(0),
            prefixes: PrefixIndex::default(),
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
            let fresh = || Arc::new(Work::new(self.numbers.fetch_add(1, Ordering::Relaxed)));
            let work = work.unwrap_or_else(fresh);
            let running = server.state == ServerState::Running && server.notice_ms.is_none();
            work.leaving.store(!running, Ordering::Relaxed);
            known.push(Arc::new(KnownServer {
                id,
                pool: server.pool.into(),
                zone: server.zone.into(),
                address: server.address,
                running,
                work,
            }));
        }
        self.known.store(Arc::new(known));
    }

    /// Chooses a server and counts the request on it.
    #[must_use]
    pub fn pick(&self, need: &Need<'_>, others: &Others, now: Instant) -> Option<Inflight> {
        let fits = self.fitting(need, now);
        let numbers: Vec<ServerNumber> = fits.iter().map(|server| server.work.number).collect();
        let held = self.prefixes.held(need.blocks, &numbers);
        let ids: Vec<ServerId> = fits.iter().map(|server| server.id.clone()).collect();
        let mean = others.inflight_on(&ids) / enter::float(ids.len().max(1) as u64);
        let mut candidates = Vec::with_capacity(fits.len());
        for (server, held) in fits.iter().zip(held) {
            let peers = others.expected_on(&server.id, mean);
            candidates.push(candidate(server, need, peers, held, now));
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let chosen = choose::choose(need.policy.choice, &candidates, need.work, turn)?;
        let server = Arc::clone(&fits[chosen]);
        server.work.inflight.fetch_add(1, Ordering::Relaxed);
        self.prefixes.note(need.blocks, server.work.number);
        Some(Inflight { server })
    }

    /// The servers that may get a request, those that hold its model and version first.
    fn fitting(&self, need: &Need<'_>, now: Instant) -> Vec<Arc<KnownServer>> {
        let known = self.known.load();
        let in_pool = |server: &&Arc<KnownServer>| server.running && server.pool == *need.pool;
        let pool: Vec<&Arc<KnownServer>> = known.iter().filter(in_pool).collect();
        let ids: Vec<&ServerId> = pool.iter().map(|server| &server.id).collect();
        let inside = subset::members(need.instance, &ids, need.policy.subset);
        let mut fits: Vec<Arc<KnownServer>> = Vec::with_capacity(pool.len());
        for (server, inside) in pool.iter().zip(inside) {
            if inside && is_candidate(server, need, now) {
                fits.push(Arc::clone(server));
            }
        }
        let serves = |server: &Arc<KnownServer>| server.serves(need);
        if fits.iter().any(serves) {
            fits.retain(serves);
        }
        fits
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

    /// All known servers.
    #[must_use]
    pub fn all(&self) -> Arc<Vec<Arc<KnownServer>>> {
        self.known.load_full()
    }

    /// Whether the platform lists a server as leaving.
    #[must_use]
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        let known = self.known.load();
        known
            .iter()
            .any(|server| server.id == *id && !server.running)
    }
}

impl KnownServer {
    /// Requests of this entry on it.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.work.own()
    }

    /// Whether it has been listed as leaving, since this view of it was made or before.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.work.leaving.load(Ordering::Relaxed)
    }

    /// Its number in the index of prefixes.
    #[must_use]
    pub fn number(&self) -> ServerNumber {
        self.work.number
    }

    /// Whether it is left out after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        !self.work.health.lock().admits(0, now)
    }

    /// Notes a failure.
    pub fn fail(&self, failure: Failure, now: Instant) {
        self.work.health.lock().fail(failure, now);
    }

    /// Notes an answer that came whole.
    pub fn succeed(&self, now: Instant) {
        self.work.health.lock().succeed(now);
    }

    /// Takes over its load report.
    pub fn take_report(&self, load: EngineLoad, now: Instant) {
        *self.work.report.lock() = Some(Report {
            total: f64::from(load.running) + f64::from(load.waiting),
            own: f64::from(self.own()),
            version: load.version,
            model: load.model,
            at: now,
        });
    }

    /// Whether it holds what a request needs, as far as is known.
    fn serves(&self, need: &Need<'_>) -> bool {
        let report = self.work.report.lock();
        let Some(report) = report.as_ref() else {
            return true;
        };
        let model = need
            .model
            .is_none_or(|model| model.as_str() == report.model);
        model && need.version.is_none_or(|oldest| oldest <= report.version)
    }
}

fn candidate(
    server: &KnownServer,
    need: &Need<'_>,
    peers: f64,
    held: usize,
    now: Instant,
) -> Candidate {
    let own = f64::from(server.own());
    let report = server.work.report.lock();
    #[expect(clippy::cast_precision_loss, reason = "a prompt has few blocks")]
    let held = held as f64 / need.blocks.len().max(1) as f64;
    Candidate {
        own,
        load: estimate(own, peers, report.as_ref(), now),
        slots: need.slots,
        held,
        near: server.zone == *need.zone,
    }
}

fn is_candidate(server: &KnownServer, need: &Need<'_>, now: Instant) -> bool {
    let admitted = match need.policy.ejection {
        EjectionPolicy::Slow => server.work.health.lock().admits(server.own(), now),
        EjectionPolicy::Never => true,
    };
    admitted && !need.avoid.contains(&server.id) && !need.shun.contains(&server.id)
}
