//! Schedules the jobs of the services that this instance leads, and runs their items.
//!
//! A job is a round of a trainer, and an item is one sample of the round. The scheduler assigns
//! the servers of a service to models, has them load weights, and starts, moves and stops items.

pub mod assign;
mod drafts;
pub mod event_stream;
mod failures;
pub mod item;
pub mod load_policy;
pub mod look_ahead;
mod move_plan;
pub mod move_policy;
pub mod pace;
mod renewal;
pub mod sample;
mod start;
pub mod stragglers;
mod takeover;
pub mod weights;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{Deployment, Route};
use crate::instance::events::event;
use crate::instance::interfaces::Backend;
use crate::instance::leases;
use crate::instance::run::EXIT_MARGIN;
use crate::job::Job;
use crate::ledger::drafts::PartialTexts;
use crate::ledger::record::Subject;
use crate::ledger::state::LedgerState;
use drafts::Drafts;
use move_plan::MovePlan;
use renewal::LengthEstimate;
use stragglers::{Straggler, may_continue};
use takeover::{Saving, Takeover};
use weights::Weights;

/// Longest wait for a change before a scheduling pass.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a scheduling pass, so that one pass covers changes that arrive together.
const DEBOUNCE: Duration = Duration::from_millis(10);
/// Time between two searches for items to restart on newer weights: the time in which an engine
/// generates a few events.
const RENEW_INTERVAL: Duration = Duration::from_millis(100);
/// Assumed pace of a server without recent events, in seconds per event; higher is slower.
const DEFAULT_PACE: f64 = 0.04;
/// Age of the last read of the ledger up to which the store counts as reachable. An idle read
/// is a long poll of half a second.
const STORE_CONTACT_MAX_AGE: Duration = Duration::from_millis(900);
/// Time reserved for handing over before the process has to exit.
const HAND_OVER_MARGIN: Duration = Duration::from_millis(900);
/// Time after a server's last event for which its measured pace is valid.
const PACE_TTL: Duration = Duration::from_secs(4);

/// A job's id with the id of one of its items, groups or scorer calls.
type Key = (String, String);

/// An item in progress: running, being scored, or with a result being written to the log.
#[derive(Debug, Default)]
struct Run {
    handle: Option<AbortHandle>,
    /// The server that runs the item, and since when; none once the text is complete
    /// or the item was given up.
    server: Option<(String, Boot)>,
    /// When the scheduler first noticed that the item's job had ended.
    ended: Option<Boot>,
}

/// State of a server, other than its weights.
#[derive(Debug, Default)]
struct ServerState {
    /// Pace in seconds per event, and the time of the last event.
    pace: Option<(f64, Boot)>,
    /// Until when the server gets no new items.
    excluded_until: Boot,
}

/// The scheduler of an instance, with the state of its runs and servers.
#[derive(Debug)]
pub struct Scheduler {
    shared: Rc<Shared>,
    weights: Weights,
    runs: Rc<RefCell<HashMap<Key, Run>>>,
    drafts: Drafts,
    server_states: RefCell<HashMap<String, ServerState>>,
    /// The server that last read the prompt of a group.
    prompt_servers: RefCell<HashMap<Key, String>>,
    /// Unfinished texts of a former leader that no run has continued yet.
    saved_drafts: RefCell<PartialTexts>,
    /// When those texts were read.
    saved_at: Cell<Boot>,
    /// Progress of reading a former leader's unfinished texts, by service.
    takeovers: RefCell<HashMap<String, Takeover>>,
    /// When unfinished texts were last saved and deleted.
    saving: RefCell<Saving>,
    /// Oldest weight version allowed for an item that was restarted on newer weights.
    renewed: RefCell<HashMap<Key, u64>>,
    /// When items to restart were last searched for.
    renew_checked: Cell<Boot>,
    /// Estimates of sample lengths, by model.
    lengths: RefCell<HashMap<String, LengthEstimate>>,
    /// Number of answers with status 500, by item or scorer call.
    failures: RefCell<HashMap<Key, u32>>,
    /// The model that a server is assigned to, by the server's id.
    assigned: RefCell<BTreeMap<String, String>>,
}

impl Scheduler {
    /// Creates a scheduler without any runs.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            weights: Weights::default(),
            runs: Rc::default(),
            drafts: Drafts::default(),
            server_states: RefCell::default(),
            prompt_servers: RefCell::default(),
            saved_drafts: RefCell::default(),
            saved_at: Cell::default(),
            takeovers: RefCell::default(),
            saving: RefCell::default(),
            renewed: RefCell::default(),
            renew_checked: Cell::default(),
            lengths: RefCell::default(),
            failures: RefCell::default(),
            assigned: RefCell::default(),
        })
    }

    /// Runs scheduling passes until the instance shuts down and hands its services over.
    pub async fn run(self: Rc<Self>) {
        let mut pause = DEBOUNCE;
        loop {
            // A change or the timeout, whichever comes first.
            let _ = timeout(POLL_INTERVAL, self.shared.state_changed.notified()).await;
            // Debounces changes that arrive together, and leaves half of the time to other tasks
            // while passes over many items take long.
            sleep(pause).await;
            let began = Boot::now();
            self.stop_unneeded();
            if let Some(since) = self.shared.leaving.get()
                && self.may_hand_over(since)
            {
                self.hand_over().await;
                return;
            }
            self.save(false);
            let Some(deployment) = self.shared.deployment() else {
                continue;
            };
            for (name, service) in &deployment.services {
                let Some(engine) = &service.engine else {
                    continue;
                };
                if self.shared.holds_lease(&Subject::Service(name.clone())) {
                    self.assign_models(name, &engine.models);
                    self.move_items(&deployment, name);
                    let waiting = if self.is_taken_over(name) {
                        start::start_due(&self, &deployment, name)
                    } else {
                        Models::new()
                    };
                    weights::start_loads(&self, name, &waiting);
                }
            }
            self.prune();
            pause = DEBOUNCE.max(Boot::now().since(began));
        }
    }

    /// Oldest weight version that every open job of a model accepts.
    fn oldest_accepted(&self, model: &str) -> u64 {
        let ledger = self.shared.ledger.borrow();
        let open = ledger.jobs.open().filter(|job| job.record.model == model);
        open.map(|job| job.record.min_version)
            .max()
            .unwrap_or_default()
    }

    /// Whether an open job of a model requires each sample to be of one weight version.
    fn requires_single_version(&self, model: &str) -> bool {
        let Some(deployment) = self.shared.deployment() else {
            return true;
        };
        let ledger = self.shared.ledger.borrow();
        let open = ledger.jobs.open().filter(|job| job.record.model == model);
        open.filter_map(|job| route(&deployment, job))
            .any(|route| route.single_version)
    }

    /// Oldest weight version that may generate an item's sample.
    fn min_version(&self, job: &Job, item: &str) -> u64 {
        let key = (job.record.id.clone(), item.to_owned());
        let renewed = self.renewed.borrow().get(&key).copied();
        job.record.min_version.max(renewed.unwrap_or_default())
    }

    /// Moves running items to faster servers, and restarts stragglers on newer weights.
    fn move_items(&self, deployment: &Deployment, service: &str) {
        if self.shared.leaving.get().is_some() {
            return;
        }
        let now = Boot::now();
        let mut plan = MovePlan::new(self, service, now);
        move_plan::leave_slow_servers(self, &mut plan, now);
        if now >= self.renew_checked.get() + RENEW_INTERVAL {
            self.renew_checked.set(now);
            self.renew(deployment, service, &mut plan);
        }
    }

    /// The model that a server is assigned to; by default the first of which it has weights.
    fn model_of(&self, backend: &Backend) -> String {
        let assigned = self.assigned.borrow().get(&backend.id).cloned();
        let only = || backend.weights.keys().next().cloned();
        assigned.or_else(only).unwrap_or_default()
    }

    /// Assigns each server of a service to a model.
    fn assign_models(&self, service: &str, models: &[String]) {
        let ledger = self.shared.ledger.borrow();
        let mut work = BTreeMap::new();
        for model in models {
            let jobs: Vec<&Job> = ledger
                .jobs
                .iter()
                .filter(|job| job.record.model == *model)
                .collect();
            let total: u64 = jobs.iter().map(|job| job.expected_tokens).sum();
            let mean = total / u64::try_from(jobs.len().max(1)).unwrap_or(u64::MAX);
            work.insert(
                model.as_str(),
                f64::from(u32::try_from(mean).unwrap_or(u32::MAX)),
            );
        }
        let fleet = self.shared.fleet.borrow();
        let requested = self.shared.requested_versions.borrow();
        let assigned = self.assigned.borrow().clone();
        let behind = |backend: &Backend, model: &str| {
            let requested = requested.get(model).copied().unwrap_or_default();
            requested.saturating_sub(self.weights.version(backend, model))
        };
        let usable = fleet.usable(service, Boot::now());
        let servers: Vec<assign::Assignable<'_>> = usable
            .map(|backend| assign::Assignable {
                id: &backend.id,
                model: assigned.get(&backend.id).map(String::as_str),
                behind: models
                    .iter()
                    .map(|name| (name.as_str(), behind(backend, name)))
                    .collect(),
                running: self.shared.load.running(&backend.id),
            })
            .collect();
        for (server, model) in assign::assign(&servers, &work) {
            event!("server_model", "server" => server, "model" => model);
            self.assigned
                .borrow_mut()
                .insert(server.to_owned(), model.to_owned());
        }
    }

    /// Stops runs of items that have a result, of jobs that have ended (unless a later job may use
    /// the sample), and of services that another instance leads.
    fn stop_unneeded(&self) {
        let ledger = self.shared.ledger.borrow();
        let now = Boot::now();
        let mut runs = self.runs.borrow_mut();
        runs.retain(|(job, item), run| {
            let needed = ledger.jobs.get(job).is_some_and(|known| {
                let may_run =
                    !known.is_finished() || self.may_outlive_job(&ledger, known, item, run, now);
                may_run && !known.done.contains(item) && self.leads(known)
            });
            if !needed && let Some(handle) = &run.handle {
                if let Some((server, _)) = &run.server {
                    event!("item_stopped", "job" => job, "item" => item, "server" => server);
                }
                handle.abort();
            }
            needed
        });
    }

    /// Whether the run of an item continues although its job has ended, as a later job may
    /// resubmit the item.
    fn may_outlive_job(
        &self,
        ledger: &LedgerState,
        job: &Job,
        item: &str,
        run: &mut Run,
        now: Boot,
    ) -> bool {
        let ended = *run.ended.get_or_insert(now);
        let mut later = ledger
            .jobs
            .open()
            .filter(|open| open.position(item).is_some());
        let straggler = Straggler {
            oldest: self.drafts.oldest_version(item),
            min_version: job.record.min_version,
            later: later.next().map(|later| later.record.min_version),
            ended,
        };
        run.server.is_some() && may_continue(&straggler, now)
    }

    /// Whether this instance leads the service of a job.
    fn leads(&self, job: &Job) -> bool {
        let Some(deployment) = self.shared.deployment() else {
            return true;
        };
        // A job whose route was removed stays with this instance.
        let Some(route) = route(&deployment, job) else {
            return true;
        };
        let subject = Subject::Service(service_of(route, job).to_owned());
        self.shared.holds_lease(&subject)
    }

    /// Whether a server gets no new items at present.
    fn is_excluded(&self, server: &str, now: Boot) -> bool {
        self.server_states
            .borrow()
            .get(server)
            .is_some_and(|state| now < state.excluded_until)
    }

    /// Excludes a server from new items until `until`.
    fn exclude(&self, server: &str, until: Boot) {
        self.server_states
            .borrow_mut()
            .entry(server.to_owned())
            .or_default()
            .excluded_until = until;
    }

    /// Paces of servers relative to their median, and the median in seconds per event. A relative
    /// pace above 1 is slower than the median.
    fn paces(&self, servers: &[&Rc<Backend>], now: Boot) -> (Vec<f64>, f64) {
        let server_states = self.server_states.borrow();
        let pace_of = |backend: &&Rc<Backend>| {
            let pace = server_states.get(&backend.id).and_then(|state| state.pace);
            let fresh = pace.filter(|(_, seen)| now < *seen + PACE_TTL);
            fresh.map_or(DEFAULT_PACE, |(pace, _)| pace)
        };
        let paces: Vec<f64> = servers.iter().map(pace_of).collect();
        let mut sorted = paces.clone();
        sorted.sort_by(f64::total_cmp);
        let median = sorted
            .get(sorted.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_PACE);
        let ratios = paces
            .into_iter()
            .map(|pace| pace / median.max(f64::MIN_POSITIVE));
        (ratios.collect(), median)
    }

    /// Drops state of finished jobs and of servers that are gone.
    fn prune(&self) {
        let ledger = self.shared.ledger.borrow();
        let open = |job: &str| ledger.jobs.get(job).is_some_and(|job| !job.is_finished());
        self.prompt_servers
            .borrow_mut()
            .retain(|(job, _), _| open(job));
        self.renewed.borrow_mut().retain(|(job, _), _| open(job));
        self.failures.borrow_mut().retain(|(job, _), _| open(job));
        self.drafts.prune(Boot::now());
        let fleet = self.shared.fleet.borrow();
        self.server_states
            .borrow_mut()
            .retain(|id, _| fleet.get(id).is_some());
        self.assigned
            .borrow_mut()
            .retain(|id, _| fleet.get(id).is_some());
        self.weights
            .retain(|id, born| fleet.get(id).is_some_and(|known| known.born == born));
    }
}

impl item::RunObserver for Scheduler {
    fn record_pace(&self, server: &str, span: Duration) {
        let mut server_states = self.server_states.borrow_mut();
        if !server_states.contains_key(server) {
            server_states.insert(server.to_owned(), ServerState::default());
        }
        let Some(state) = server_states.get_mut(server) else {
            return;
        };
        let before = state.pace.map(|(pace, _)| pace);
        state.pace = Some((pace::smooth(before, span), Boot::now()));
    }

    fn is_loading(&self, backend: &Backend) -> bool {
        self.weights.is_loading(backend)
    }
}

impl Scheduler {
    /// Whether another instance can take over now, or there is no time left to wait for that.
    ///
    /// Runs continue while the store is unreachable, since no instance can become leader then.
    fn may_hand_over(&self, leaving: Boot) -> bool {
        let now = Boot::now();
        let grace = self.shared.settings.bounds.grace;
        let deadline = leaving + grace.saturating_sub(EXIT_MARGIN + HAND_OVER_MARGIN);
        let contact = self.shared.contacts.borrow().ledger;
        contact.is_within(STORE_CONTACT_MAX_AGE, now) || now >= deadline
    }

    /// Stops all runs on servers, saves their texts, and releases the leases.
    async fn hand_over(self: &Rc<Self>) {
        for run in self
            .runs
            .borrow()
            .values()
            .filter(|run| run.server.is_some())
        {
            if let Some(handle) = &run.handle {
                handle.abort();
            }
        }
        self.end_demands();
        self.save(true);
        self.wait_until_saved().await;
        leases::release(&self.shared);
    }

    /// Leaves the limits of the servers of the services that this instance led to the next leader.
    fn end_demands(&self) {
        let Some(deployment) = self.shared.deployment() else {
            return;
        };
        let mut limits = self.shared.limits.borrow_mut();
        for (name, service) in &deployment.services {
            if service.engine.is_some() {
                limits.end_demand(name);
            }
        }
        self.shared.demand_due.notify_one();
    }

    /// Stops a run so that its item continues on another server, from the text so far.
    fn requeue(&self, key: &Key, reason: &str) {
        let run = self.runs.borrow_mut().remove(key);
        if let Some(run) = run {
            let server = run.server.map(|(server, _)| server).unwrap_or_default();
            event!("item_move", "job" => key.0, "item" => key.1, "from" => server, "why" => reason);
            if let Some(handle) = run.handle {
                handle.abort();
            }
        }
    }
}

/// The route that a job was submitted to.
fn route<'a>(deployment: &'a Deployment, job: &Job) -> Option<&'a Rc<Route>> {
    deployment.route(&job.record.host, &job.record.path)
}

/// The service of a job, picked by a hash of its id, so that all items go to the same service.
fn service_of<'a>(route: &'a Route, job: &Job) -> &'a str {
    #[expect(clippy::cast_precision_loss, reason = "a draw needs no more precision")]
    let draw = crate::rank::rank(&"job", &job.record.id) as f64 / u64::MAX as f64;
    route.target(draw)
}

/// Models with items that found no server with a free slot.
type Models = HashSet<String>;
