//! Starts an instance's tasks, and shuts down gracefully after SIGTERM.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use derive_more::Debug;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::events::{self, event};
use super::interest::Interest;
use super::interfaces::{Codec, Log, PlatformApi, Store};
use super::metrics::Metrics;
use super::origins::StreamLog;
use super::payloads::Payloads;
use super::settings::InstanceSettings;
use super::store_watch::{Outage, WatchedStore};
use super::{Contacts, Shared, counters, demands, directory, follow, heartbeats, leases};
use crate::boot::Boot;
use crate::duty::{scale, usage};
use crate::gateway::connections::{ConnectionLimits, Connections};
use crate::gateway::job_memory::JobMemory;
use crate::gateway::listen;
use crate::gateway::stop::Durations;
use crate::http::body::BodyBudget;
use crate::ledger::record::Incarnation;
use crate::ledger::state::LedgerState;
use crate::ledger::writer::Writer;
use crate::relay::crash::UnansweredRequests;
use crate::relay::limit::Limits;
use crate::relay::load::Load;
use crate::relay::pool::Pool;
use crate::scheduler::Scheduler;
use crate::util::{random_id, stop_signal, unix_ms};

/// Share of the memory that the large bodies of callers' requests may take.
const REQUEST_MEMORY_SHARE: usize = 8;
/// Share of the memory that the bodies of callers' requests up to 64 KB may take.
const SMALL_REQUEST_MEMORY_SHARE: usize = 8;
/// Share of the memory that payloads of the store may take while they are read.
const PAYLOAD_MEMORY_SHARE: usize = 8;
/// Share of the memory that servers' responses may take which are read whole.
const RESPONSE_MEMORY_SHARE: usize = 16;
/// Part of the grace period that is reserved for the process to exit.
pub const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Callers may use an address answer for this many times its TTL.
const TTL_FACTOR: u32 = 3;
/// Poll interval for requests and appends that are still in flight during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time after the last answer in which its last bytes are sent before the connections are closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two removals of old jobs, crashes and instances from memory.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a heartbeat after which an instance is forgotten.
const INSTANCE_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a job is kept beyond the retention that the platform states.
const JOB_RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Why an instance cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics: {source}"))]
    Metrics {
        /// The cause.
        source: prometheus::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

/// Rereads the settings from their source.
pub type Reload = Rc<dyn Fn() -> Result<InstanceSettings, String>>;

/// The platform's interfaces that an instance uses.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Reads the settings again after SIGHUP.
    #[debug(skip)]
    pub reload: Reload,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The platform's control interface, if there is one.
    pub api: Option<Rc<dyn PlatformApi>>,
    /// Conversion between HTTP messages and internal types.
    pub codec: Rc<dyn Codec>,
}

/// Runs an instance until SIGTERM. Must be called inside a `LocalSet`.
///
/// # Errors
/// An address, a metric or a signal handler cannot be set up; see [`StartError`].
pub async fn run(settings: InstanceSettings, platform: Platform) -> Result<(), StartError> {
    events::init();
    let reload_settings = Rc::clone(&platform.reload);
    let shared = shared(settings, platform)?;
    event!("start", "instance" => shared.settings.name, "incarnation" => shared.incarnation,
        "zone" => shared.settings.zone);
    listen_all(&shared)?;
    spawn_local(follow::operator(Rc::clone(&shared)));
    spawn_local(follow::servers(Rc::clone(&shared)));
    spawn_local(follow::ledger(Rc::clone(&shared)));
    spawn_local(follow::jobs(Rc::clone(&shared)));
    spawn_local(follow::heartbeats(Rc::clone(&shared)));
    for part in heartbeats::others(&shared.settings) {
        spawn_local(follow::other_heartbeats(Rc::clone(&shared), part));
    }
    let writers = [
        &shared.writer,
        &shared.job_writer,
        &shared.heartbeat_writer,
        &shared.counter_writer,
        &shared.demand_writer,
        &shared.streams.writer,
        &shared.payloads.writer,
        &shared.draft_writer,
    ];
    for writer in writers {
        let store = Rc::clone(&shared.store);
        spawn_local(writer.clone().run(store, shared.incarnation.clone()));
    }
    spawn_local(follow::demands(Rc::clone(&shared)));
    spawn_local(demands::run(Rc::clone(&shared)));
    spawn_local(heartbeats::send_heartbeats(Rc::clone(&shared)));
    spawn_local(heartbeats::renew_leases(Rc::clone(&shared)));
    spawn_local(leases::run(Rc::clone(&shared)));
    spawn_local(Scheduler::new(Rc::clone(&shared)).run());
    spawn_local(listen::sweep(Rc::clone(&shared)));
    spawn_local(prune(Rc::clone(&shared)));
    if shared.settings.duties.scale {
        spawn_local(scale::run(Rc::clone(&shared)));
    }
    if shared.settings.duties.usage {
        spawn_local(counters::run(Rc::clone(&shared)));
        spawn_local(follow::counters(Rc::clone(&shared)));
        spawn_local(usage::run(Rc::clone(&shared)));
    }
    spawn_local(reload(
        reload_settings,
        signal(SignalKind::hangup()).context(SignalsSnafu)?,
    ));
    stop_signal().await.context(SignalsSnafu)?;
    drain(&shared).await;
    Ok(())
}

fn shared(settings: InstanceSettings, platform: Platform) -> Result<Rc<Shared>, StartError> {
    let incarnation = Incarnation(random_id());
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let outage = Rc::new(Outage::new(metrics.clone()));
    Ok(Rc::new(Shared {
        writer: Writer::new(Log::Ledger, settings.size_limits),
        job_writer: Writer::new(Log::Jobs, settings.size_limits),
        heartbeat_writer: Writer::new(
            Log::Signs(heartbeats::partition(&settings)),
            settings.size_limits,
        ),
        counter_writer: Writer::new(Log::Counters, settings.size_limits),
        demand_writer: Writer::new(Log::Demands, settings.size_limits),
        payloads: Payloads::new(
            Writer::new(Log::Payloads, settings.size_limits),
            settings.memory / PAYLOAD_MEMORY_SHARE,
        ),
        job_memory: JobMemory::new(settings.memory),
        draft_writer: Writer::new(Log::Drafts, settings.size_limits),
        streams: StreamLog::new(&settings),
        connections: Connections::new(ConnectionLimits::new(settings.memory, settings.max_fds)),
        request_bodies: BodyBudget::with_small(
            settings.memory / REQUEST_MEMORY_SHARE,
            settings.memory / SMALL_REQUEST_MEMORY_SHARE,
        ),
        response_bodies: BodyBudget::new(settings.memory / RESPONSE_MEMORY_SHARE),
        settings,
        limits: RefCell::new(Limits::new(incarnation.clone())),
        incarnation,
        store: Rc::new(WatchedStore::new(platform.store, Rc::clone(&outage))),
        outage,
        platform: platform.api,
        codec: platform.codec,
        deployment: RefCell::default(),
        requested_versions: RefCell::default(),
        fleet: RefCell::default(),
        servers_next: Cell::default(),
        ledger: RefCell::new(LedgerState::default()),
        instance_table: RefCell::default(),
        counters: RefCell::default(),
        jobs_interest: Interest::default(),
        demands_interest: Interest::default(),
        contacts: RefCell::new(Contacts::default()),
        state_changed: Notify::new(),
        heartbeat_due: Notify::new(),
        demand_due: Notify::new(),
        renewal_due: Notify::new(),
        pool: Pool::default(),
        load: Load::default(),
        zones: RefCell::default(),
        unanswered: UnansweredRequests::default(),
        usage: RefCell::default(),
        renewals: RefCell::default(),
        leaving: Cell::new(None),
        closing: watch::Sender::new(false),
        durations: Durations::default(),
        in_flight: Cell::new(0),
        connections_open: Cell::new(0),
        submissions_waiting: Cell::new(0),
        metrics,
    }))
}

fn listen_all(shared: &Rc<Shared>) -> Result<(), StartError> {
    let bind = |address| listen::bind(address).context(BindSnafu { address });
    let settings = &shared.settings;
    if let Some(address) = settings.front {
        let listener: TcpListener = bind(address)?;
        spawn_local(listen::serve_requests(Rc::clone(shared), listener));
    }
    if let Some(address) = settings.ready {
        spawn_local(listen::serve_ready(Rc::clone(shared), bind(address)?));
    }
    if let Some(address) = settings.directory {
        spawn_local(listen::serve_directory(Rc::clone(shared), bind(address)?));
    }
    if let Some(address) = settings.metrics {
        spawn_local(listen::serve_metrics(Rc::clone(shared), bind(address)?));
    }
    Ok(())
}

/// Rereads and validates the settings at each SIGHUP, without applying them.
///
/// The settings that the platform may change at run time do not concern this process; all others
/// take effect at a restart.
async fn reload(read: Reload, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match read() {
            Ok(settings) => event!("reload", "instance" => settings.name, "outcome" => "valid"),
            Err(error) => event!("reload", "outcome" => "invalid", "error" => error),
        }
    }
}

/// Periodically removes old jobs, crashes and instances from memory.
async fn prune(shared: Rc<Shared>) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        let retention = shared.settings.bounds.job_kept + JOB_RETENTION_MARGIN;
        let mut ledger = shared.ledger.borrow_mut();
        ledger.jobs.prune(unix_ms(), retention);
        ledger.crashes.prune(unix_ms());
        shared.streams.origins.borrow_mut().prune(Boot::now());
        let seen = shared
            .contacts
            .borrow()
            .heartbeats
            .last_read
            .unwrap_or_default();
        if let Some(deployment) = shared.deployment() {
            let exists = |name: &str| deployment.routes.iter().any(|route| route.name == name);
            shared.durations.retain(exists);
            let exists = |service: &str| deployment.services.contains_key(service);
            shared.zones.borrow_mut().retain(exists);
        }
        let mut instance_table = shared.instance_table.borrow_mut();
        instance_table
            .known
            .retain(|_, instance| instance.last_heard + INSTANCE_RETENTION >= seen);
    }
}

/// Keeps serving while callers may still hold this address, then answers what is left and returns
/// for the process to exit.
async fn drain(shared: &Rc<Shared>) {
    let now = Boot::now();
    shared.leaving.set(Some(now));
    event!("stop", "active" => shared.in_flight.get());
    // Wakes the scheduler, which hands over its jobs and releases the leases.
    shared.state_changed.notify_waiters();
    shared.heartbeat_due.notify_one();
    let Some(schedule) = shared.stop_schedule() else {
        return;
    };
    let address_expiry = now + directory::TTL * TTL_FACTOR;
    let may_close = |now| now >= schedule.answer_by || (now >= address_expiry && is_idle(shared));
    while !may_close(Boot::now()) {
        sleep(DRAIN_POLL).await;
    }
    event!("closing", "active" => shared.in_flight.get());
    shared.closing.send_replace(true);
    let mut flush_by = Boot::now() + FLUSH_TIMEOUT;
    loop {
        sleep(DRAIN_POLL).await;
        let now = Boot::now();
        if !is_idle(shared) {
            flush_by = now + FLUSH_TIMEOUT;
        }
        let flushed = shared.connections_open.get() == 0 || now >= flush_by;
        if now >= schedule.exit_by || (is_idle(shared) && flushed) {
            break;
        }
    }
    event!("end", "active" => shared.in_flight.get());
}

/// Whether every answer is sent and every record is written.
fn is_idle(shared: &Shared) -> bool {
    let writers = [
        &shared.writer,
        &shared.job_writer,
        &shared.payloads.writer,
        &shared.counter_writer,
        &shared.streams.writer,
    ];
    shared.in_flight.get() == 0 && writers.into_iter().all(Writer::is_idle)
}
