//! One process of an instance: the state that its tasks share, and the tasks that follow the
//! store, hold leases and send heartbeats.

pub mod backoff;
pub mod contact;
pub mod counters;
pub mod demands;
pub mod deployment;
pub mod directory;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod heartbeats;
pub mod identity;
pub mod interest;
pub mod interfaces;
pub mod leases;
pub mod metrics;
pub mod origins;
pub mod outage;
pub mod payloads;
pub mod route_report;
pub mod run;
pub mod settings;
pub mod store_watch;
pub mod trim;
pub mod zones;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::boot::Boot;
use crate::gateway::connections::Connections;
use crate::gateway::job_memory::JobMemory;
use crate::gateway::stop::{Durations, StopSchedule};
use crate::http::body::BodyBudget;
use crate::ledger::counters::Counters;
use crate::ledger::instances::InstanceTable;
use crate::ledger::record::{Counts, Incarnation, Record, Subject};
use crate::ledger::state::LedgerState;
use crate::ledger::writer::Writer;
use crate::relay::choose::{Candidate, FULL_RETRY_AFTER, choose};
use crate::relay::crash::UnansweredRequests;
use crate::relay::limit::{LimitChange, Limits};
use crate::relay::load::Load;
use crate::relay::pool::Pool;
use crate::relay::warmup::WarmupRate;
use crate::relay::zone::Destination;
use contact::Contact;
use deployment::{Deployment, Limits as CallerLimits};
use events::event;
use fleet::Fleet;
use interest::Interest;
use interfaces::{
    Backend, Codec, LeaseHolder, PlatformApi, ServerProcess, Software, StatedLimit, Store,
};
use metrics::Metrics;
use origins::StreamLog;
use payloads::Payloads;
use settings::InstanceSettings;
use store_watch::Outage;
use zones::Zones;

/// Safety margin below the withdrawal bound, for a request that is still being read.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);
/// `Retry-After` while an instance has no part of the servers' limits yet, and the longest one
/// that it states for them.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How recently each stream of the store was read to its end.
#[derive(Debug, Default)]
pub struct Contacts {
    /// Changes that operators write.
    pub operator: Contact,
    /// The registry of backend servers.
    pub servers: Contact,
    /// The ledger.
    pub ledger: Contact,
    /// The log of jobs.
    pub jobs: Contact,
    /// This instance's partition of the heartbeat log.
    pub heartbeats: Contact,
    /// The log of counters.
    pub counters: Contact,
}

/// State that all tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of this instance.
    pub settings: InstanceSettings,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The platform's store, whose calls end when it returns from a silence.
    pub store: Rc<dyn Store>,
    /// Since when the store has been silent.
    pub outage: Rc<Outage>,
    /// The platform's control interface, if there is one.
    pub platform: Option<Rc<dyn PlatformApi>>,
    /// Conversion between HTTP messages and internal types.
    pub codec: Rc<dyn Codec>,
    /// The configuration in force.
    pub deployment: RefCell<Option<Rc<Deployment>>>,
    /// Latest weight version that trainers requested, by model.
    pub requested_versions: RefCell<BTreeMap<String, u64>>,
    /// Registered backend servers.
    pub fleet: RefCell<Fleet>,
    /// State built from the ledger and the log of jobs.
    pub ledger: RefCell<LedgerState>,
    /// Known instances: those in this one's heartbeat partition, and others while those are few.
    pub instance_table: RefCell<InstanceTable>,
    /// Request counters of all instances, for usage reports.
    pub counters: RefCell<Counters>,
    /// Current users of the log of demands.
    pub demands_interest: Interest,
    /// Current users of the log of jobs.
    pub jobs_interest: Interest,
    /// How recently each stream of the store was read.
    pub contacts: RefCell<Contacts>,
    /// Notified when the ledger state, the fleet, the requested versions or the configuration
    /// changed.
    pub state_changed: Notify,
    /// Notified when a heartbeat must be sent at once.
    pub heartbeat_due: Notify,
    /// Notified when this instance's demand must be written at once.
    pub demand_due: Notify,
    /// Notified when leases must be renewed at once.
    pub renewal_due: Notify,
    /// Appends to the ledger.
    pub writer: Writer,
    /// Appends to the log of jobs.
    pub job_writer: Writer,
    /// Appends to this instance's partition of the heartbeat log.
    pub heartbeat_writer: Writer,
    /// Appends to the log of demands.
    pub demand_writer: Writer,
    /// Appends to the log of counters.
    pub counter_writer: Writer,
    /// Where callers' streams began.
    pub streams: StreamLog,
    /// Contents of jobs and texts of results.
    pub payloads: Payloads,
    /// Appends to the log of drafts.
    pub draft_writer: Writer,
    /// Connection pool to backend servers.
    pub pool: Pool,
    /// Load of backend servers, as seen by this instance.
    pub load: Load,
    /// What is measured of services' zones, and how many requests go to each.
    pub zones: RefCell<Zones>,
    /// Offset in the registry up to which its changes were applied.
    pub servers_next: Cell<Option<u64>>,
    /// Memory for the bodies of callers' requests.
    pub request_bodies: Rc<BodyBudget>,
    /// Memory for submitted jobs.
    pub job_memory: Rc<JobMemory>,
    /// Memory for servers' responses that are read whole.
    pub response_bodies: Rc<BodyBudget>,
    /// Request rates to which servers limit all instances together.
    pub limits: RefCell<Limits>,
    /// Requests that were sent to a server and got no answer.
    pub unanswered: UnansweredRequests,
    /// Counts of requests that began to run, by usage window and tenant.
    pub usage: RefCell<BTreeMap<u64, Counts>>,
    /// When the latest lease renewals were sent, by number.
    pub renewals: RefCell<BTreeMap<u64, Boot>>,
    /// When the process began to shut down, if it did.
    pub leaving: Cell<Option<Boot>>,
    /// Whether the process is about to exit: requests in flight get their final answers.
    pub closing: watch::Sender<bool>,
    /// Durations of callers' requests, by route.
    pub durations: Durations,
    /// Number of callers' requests in flight, each until its answer is sent.
    pub in_flight: Cell<usize>,
    /// Connections of all listeners.
    pub connections: Rc<Connections>,
    /// Number of open connections of callers.
    pub connections_open: Cell<usize>,
    /// Number of submissions that wait for the store.
    pub submissions_waiting: Cell<usize>,
    /// Prometheus metrics.
    pub metrics: Metrics,
}

impl Shared {
    /// The configuration in force, if there is one.
    #[must_use]
    pub fn deployment(&self) -> Option<Rc<Deployment>> {
        self.deployment.borrow().clone()
    }

    /// The configuration's limits on callers, or the defaults before there is one.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.deployment()
            .map(|known| known.limits)
            .unwrap_or_default()
    }

    /// Whether operators' changes were read so recently that every key withdrawn longer ago than
    /// the bound is known to be withdrawn.
    #[must_use]
    pub fn is_fresh(&self, now: Boot) -> bool {
        let age = self
            .settings
            .bounds
            .withdrawal
            .saturating_sub(WITHDRAWAL_MARGIN);
        self.contacts.borrow().operator.is_within(age, now)
    }

    /// Whether this instance is ready for callers' requests.
    #[must_use]
    pub fn is_ready(&self, now: Boot) -> bool {
        let is_configured = self.deployment.borrow().is_some();
        let has_ledger = self.contacts.borrow().ledger.last_read.is_some();
        is_configured && has_ledger && self.is_fresh(now) && self.leaving.get().is_none()
    }

    /// When the process stops answering and exits, if it shuts down.
    #[must_use]
    pub fn stop_schedule(&self) -> Option<StopSchedule> {
        let grace = self.settings.bounds.grace.saturating_sub(run::EXIT_MARGIN);
        let leaving = self.leaving.get()?;
        Some(StopSchedule::new(leaving + grace))
    }

    /// Whether the process is about to exit.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until the process is about to exit.
    pub async fn until_closing(&self) {
        // The sender lives as long as `self`.
        let _ = self.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Whether this process holds a lease according to the log, even past its deadline.
    #[must_use]
    pub fn holds_lease(&self, subject: &Subject) -> bool {
        let ledger = self.ledger.borrow();
        let lease = ledger.leases.get(subject);
        lease.is_some_and(|lease| lease.incarnation == self.incarnation && !lease.released)
    }

    /// The lease of a subject, if this process may act under it at `now`.
    #[must_use]
    pub fn usable_lease(&self, subject: &Subject, now: Boot) -> Option<LeaseHolder> {
        let ledger = self.ledger.borrow();
        let lease = ledger.leases.get(subject)?;
        // A renewal is confirmed only once the log shows it before any other claim.
        let renewed = *self.renewals.borrow().get(&lease.renewal?)?;
        let lease_time = self.settings.bounds.lease;
        let held =
            crate::ledger::lease::is_held(lease, &self.incarnation, renewed, now, lease_time);
        held.then(|| LeaseHolder {
            name: self.settings.name.clone(),
            fence: lease.fence,
        })
    }

    /// Chooses a server for a plain request, preferring servers that are not in `tried`.
    ///
    /// Only servers with this `software` are chosen, if it is given.
    #[must_use]
    pub fn choose_server(
        &self,
        service: &str,
        tried: &HashSet<String>,
        software: Option<&Software>,
    ) -> Option<Rc<Backend>> {
        let now = Boot::now();
        let fleet = self.fleet.borrow();
        let fits = |backend: &&Rc<Backend>| software.is_none_or(|known| *known == backend.software);
        let mut usable: Vec<&Rc<Backend>> = fleet.usable(service, now).filter(fits).collect();
        self.exclude_warming(service, &mut usable, now);
        self.exclude_limited(service, &mut usable, now);
        zones::update(self, service, &usable, now);
        let zones = self.zones.borrow();
        let destination = zones.destination(service, rand::random());
        let candidate = |backend: &&Rc<Backend>| self.candidate(backend, tried, destination, now);
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        choose(&candidates, rand::random()).map(|at| Rc::clone(usable[at]))
    }

    /// What the choice of a server depends on, for one that may get a request to `destination`.
    fn candidate(
        &self,
        backend: &Backend,
        tried: &HashSet<String>,
        destination: Destination<'_>,
        now: Boot,
    ) -> Candidate {
        Candidate {
            running: self.load.running(&backend.id),
            slots: backend.slots,
            zone_cost: destination.cost(&self.settings.zone, &backend.zone),
            suspect: self.load.is_suspect(&backend.id, now),
            tried: tried.contains(&backend.id),
            link: self.pool.link(backend, now),
        }
    }

    /// Requests per second that a server of a service can take while it warms up, if limited.
    #[must_use]
    pub fn warmup_rate(&self, service: &str) -> Option<WarmupRate> {
        let deployment = self.deployment.borrow();
        let service = deployment.as_ref()?.services.get(service)?;
        let rate = service.warmup_rate?;
        Some(WarmupRate(self.settings.bounds.warmup.bound(rate)))
    }

    /// Excludes servers that are warming up, if the service limits their rate.
    ///
    /// While any server is warm, all others are excluded; else only those that have received
    /// this instance's share of their rate.
    fn exclude_warming(&self, service: &str, usable: &mut Vec<&Rc<Backend>>, now: Boot) {
        let Some(rate) = self.warmup_rate(service) else {
            return;
        };
        if usable.iter().any(|backend| backend.warm_at <= now) {
            usable.retain(|backend| backend.warm_at <= now);
            return;
        }
        let instances = self.instances();
        usable.retain(|backend| {
            self.load
                .recent(&backend.id, |recent| rate.allows(instances, recent, now))
        });
    }

    /// Excludes servers whose limit leaves no request to this instance now.
    fn exclude_limited(&self, service: &str, usable: &mut Vec<&Rc<Backend>>, now: Boot) {
        self.note_demand(service, now);
        let mut limits = self.limits.borrow_mut();
        usable.retain(|backend| limits.has_permit(backend, now));
    }

    /// Counts a request to a service, for the instance's part of its servers' limits.
    pub fn note_demand(&self, service: &str, now: Boot) {
        if self.limits.borrow_mut().want(service, now) {
            self.demand_due.notify_one();
        }
    }

    /// Takes a permit to send a request, or a report or order if `is_control`, to a server;
    /// returns whether its limit leaves one.
    #[must_use]
    pub fn take_permit(&self, backend: &Backend, is_control: bool) -> bool {
        let mut limits = self.limits.borrow_mut();
        if is_control {
            limits.take_control(backend, Boot::now())
        } else {
            limits.take(backend, Boot::now())
        }
    }

    /// Whether a server's limit leaves `count` reports and load orders now.
    #[must_use]
    pub fn has_control_permits(&self, backend: &Backend, count: u32) -> bool {
        let mut limits = self.limits.borrow_mut();
        limits.has_control_permits(backend, count, Boot::now())
    }

    /// Whether a server's limit leaves this instance a request now.
    #[must_use]
    pub fn has_permit(&self, backend: &Backend) -> bool {
        self.limits.borrow_mut().has_permit(backend, Boot::now())
    }

    /// When a server of a service may next get a request, if limits prevent it now.
    #[must_use]
    pub fn permit_at(&self, service: &str, now: Boot) -> Option<Boot> {
        let fleet = self.fleet.borrow();
        let mut limits = self.limits.borrow_mut();
        let usable = fleet.usable(service, now);
        usable
            .filter_map(|backend| limits.permit_at(backend, now))
            .min()
    }

    /// Time after which a request that no server of a service could take may come again.
    #[must_use]
    pub fn retry_after(&self, service: &str) -> Duration {
        let now = Boot::now();
        let is_limited = self.limits.borrow().is_limited(service);
        let wait = match self.permit_at(service, now) {
            Some(at) => at.left(now),
            None if is_limited => LIMITED_RETRY_AFTER,
            None => FULL_RETRY_AFTER,
        };
        wait.clamp(FULL_RETRY_AFTER, LIMITED_RETRY_AFTER)
    }

    /// Records that a server announced its shutdown, and tells the other instances.
    ///
    /// The announcement came in the answer to the request with id `request`, sent at Unix time
    /// `said`, in milliseconds.
    pub fn note_leaving(&self, backend: &Backend, request: Option<&str>, said: u64) {
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.note_leaving(&backend.id, said, Boot::now()) {
            return;
        }
        drop(fleet);
        let listed = self
            .fleet
            .borrow()
            .get(&backend.id)
            .map(|known| known.state);
        event!("server_leaving", "server" => backend.id, "born" => backend.born,
            "id" => request.unwrap_or_default(), "listed" => format!("{listed:?}"));
        self.metrics.leaving.inc();
        // The record is written even though nothing awaits its acknowledgement.
        let server = backend.id.clone();
        drop(self.writer.push(&Record::Leaving { server, said }));
    }

    /// Records what an answer says of its server's limit on requests.
    ///
    /// The answer's request, with id `request`, was sent at `sent`.
    pub fn note_limit(
        &self,
        backend: &Backend,
        request: Option<&str>,
        stated: StatedLimit,
        sent: Boot,
    ) {
        let mut limits = self.limits.borrow_mut();
        let heard = limits.hear(backend, stated, sent, Boot::now(), rand::random());
        drop(limits);
        if let Some(change) = heard.change {
            self.log_limit(&backend.process(), request.unwrap_or_default(), change);
        }
        if heard.must_tell {
            // The record is written even though nothing awaits its acknowledgement.
            drop(self.writer.push(&Record::Limit {
                server: backend.process(),
                service: backend.service.clone(),
                rate: heard.rate,
            }));
        }
    }

    /// Logs a change of a server's limit; `source` is the request that brought it, or the ledger.
    pub fn log_limit(&self, process: &ServerProcess, source: &str, change: LimitChange) {
        let text = |rate: Option<f64>| rate.map_or_else(String::new, |rate| rate.to_string());
        event!("server_limit", "server" => process.id, "born" => process.born,
            "source" => source, "before" => text(change.before), "after" => text(change.after),
            "limited" => self.limits.borrow().len());
        self.demand_due.notify_one();
    }

    /// Whether this run of the server announced its shutdown.
    #[must_use]
    pub fn is_leaving(&self, backend: &Backend) -> bool {
        self.fleet.borrow().is_leaving(backend)
    }

    /// Whether this run of the server takes new requests.
    ///
    /// The answer may differ from the one at the time when the server was chosen.
    #[must_use]
    pub fn takes_requests(&self, backend: &Backend) -> bool {
        self.fleet.borrow().takes_requests(backend, Boot::now())
    }

    /// Number of servers of a service that take new requests.
    #[must_use]
    pub fn usable_count(&self, service: &str) -> usize {
        self.fleet.borrow().usable(service, Boot::now()).count()
    }

    /// Estimated total number of instances, from those in the own heartbeat partition.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.partition_instances().max(1) * heartbeats::partitions(&self.settings)
    }

    /// Number of known instances in this one's heartbeat partition.
    #[must_use]
    pub fn partition_instances(&self) -> usize {
        let own = heartbeats::partition(&self.settings);
        let instance_table = self.instance_table.borrow();
        let members = instance_table
            .known
            .values()
            .filter(|instance| instance.part == own);
        members.count()
    }

    /// Number of ready instances in this one's heartbeat partition.
    #[must_use]
    pub fn ready_in_partition(&self) -> usize {
        let own = heartbeats::partition(&self.settings);
        let contact = self.contacts.borrow().heartbeats;
        let instance_table = self.instance_table.borrow();
        let seen = contact.last_read.unwrap_or_default();
        let alive = instance_table.alive(seen, contact.unbroken_since, leases::HEARTBEAT_TIMEOUT);
        alive
            .filter(|(_, instance)| instance.part == own && instance.ready)
            .count()
    }

    /// Maximum number of connections from this instance to one server of a service.
    ///
    /// Instances share the connections that a server accepts. A service with an engine is driven
    /// by one instance, its leader, which may use half of them.
    #[must_use]
    pub fn connections(&self, service: &str) -> usize {
        let deployment = self.deployment.borrow();
        let service = deployment
            .as_ref()
            .and_then(|known| known.services.get(service));
        let Some(service) = service else {
            return 1;
        };
        let share = service.connections / (self.instances() + 1);
        if service.engine.is_some() {
            service.connections / 2
        } else {
            share.max(2)
        }
    }

    /// Counts a request that began to run at Unix time `wall`, in milliseconds.
    pub fn count_usage(&self, tenant: &str, wall: u64) {
        let window = wall / crate::util::millis(self.settings.bounds.window).max(1);
        let mut usage = self.usage.borrow_mut();
        *usage
            .entry(window)
            .or_default()
            .entry(tenant.to_owned())
            .or_default() += 1;
    }
}
