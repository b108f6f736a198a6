//! Makes the samples of the jobs whose service this instance leads.

pub mod assign;
pub mod carry;
pub mod events;
mod failures;
pub mod item;
mod make;
pub mod moves;
mod moving;
pub mod pace;
mod renew;
pub mod sample;
mod start;
mod takeover;
pub mod waves;
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
use crate::instance::edge::Backend;
use crate::instance::events::event;
use crate::instance::leases;
use crate::instance::run::END_MARGIN;
use crate::job::Job;
use crate::ledger::drafts::SavedDrafts;
use crate::ledger::fold::Fold;
use crate::ledger::record::Subject;
use carry::{Straggler, lingers};
use make::Drafts;
use moving::Board;
use renew::Lengths;
use takeover::{Saving, Takeover};
use weights::Weights;

/// Longest time between two looks at what waits.
const LOOK: Duration = Duration::from_millis(50);
/// Time for which changes gather before they are looked at.
const GATHER: Duration = Duration::from_millis(10);
/// Time between two looks for items to be made anew: a few events of an engine.
const RENEW_PACE: Duration = Duration::from_millis(100);
/// Pace of a server that has made no event lately, in seconds an event.
const PACE_START: f64 = 0.04;
/// Age of the last read of the ledger up to which the store counts as reached: reads are held
/// for half a second while there is nothing new.
const STORE_REACHED: Duration = Duration::from_millis(900);
/// Time that handing over takes at most, before the process has to end.
const HAND_OVER_MARGIN: Duration = Duration::from_millis(900);
/// Time after its last event from which on a server's pace is not known any more.
const PACE_KEPT: Duration = Duration::from_secs(4);

/// An item, a group of items or a scorer's call of a job.
type Key = (String, String);

/// A run under way, or a result on its way to the log.
#[derive(Debug, Default)]
struct Run {
    handle: Option<AbortHandle>,
    /// The server that makes its events, and since when; none while it is scored or listed.
    server: Option<(String, Boot)>,
    /// When its job was seen to have ended.
    ended: Option<Boot>,
}

/// What is known of a server beside its weights.
#[derive(Debug, Default)]
struct Place {
    /// Pace of events in seconds, and when the last one came.
    pace: Option<(f64, Boot)>,
    /// Until when it gets no item.
    rest: Boot,
}

/// Drives the jobs of the services that this instance leads.
#[derive(Debug)]
pub struct Driver {
    shared: Rc<Shared>,
    weights: Weights,
    runs: RefCell<HashMap<Key, Run>>,
    drafts: Drafts,
    places: RefCell<HashMap<String, Place>>,
    /// The server that read a group's prompt last.
    homes: RefCell<HashMap<Key, String>>,
    /// Unfinished texts of a former leader that no run has gone on with yet.
    saved_drafts: RefCell<SavedDrafts>,
    /// How far services have been taken over.
    takeovers: RefCell<HashMap<String, Takeover>>,
    saving: RefCell<Saving>,
    /// Oldest weight version of items that are made anew for a later job.
    renewed: RefCell<HashMap<Key, u64>>,
    /// When items to be made anew were looked for last.
    looked: Cell<Boot>,
    /// How long samples are, by model.
    lengths: RefCell<HashMap<String, Lengths>>,
    /// Answers of status 500 to items and scorers' calls of jobs.
    failures: RefCell<HashMap<Key, u32>>,
    /// The model that a server is kept for, by the server's id.
    kept: RefCell<BTreeMap<String, String>>,
}

impl Driver {
    /// A driver with nothing to do yet.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            weights: Weights::default(),
            runs: RefCell::default(),
            drafts: Drafts::default(),
            places: RefCell::default(),
            homes: RefCell::default(),
            saved_drafts: RefCell::default(),
            takeovers: RefCell::default(),
            saving: RefCell::default(),
            renewed: RefCell::default(),
            looked: Cell::default(),
            lengths: RefCell::default(),
            failures: RefCell::default(),
            kept: RefCell::default(),
        })
    }

    /// Drives jobs until the process leaves.
    pub async fn run(self: Rc<Self>) {
        loop {
            // Whichever comes first.
            let _ = timeout(LOOK, self.shared.changed.notified()).await;
            // What else changes at the same time is looked at once.
            sleep(GATHER).await;
            self.stop_needless();
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
                if self.shared.leads(&Subject::Service(name.clone())) {
                    self.keep_models(name, &engine.models);
                    self.rearrange(&deployment, name);
                    let waiting = if self.has_taken_over(name) {
                        start::due(&self, &deployment, name)
                    } else {
                        Models::new()
                    };
                    weights::step(&self, name, &waiting);
                }
            }
            self.forget();
        }
    }

    /// Oldest weight version that every open job of a model takes.
    fn oldest(&self, model: &str) -> u64 {
        let fold = self.shared.fold.borrow();
        let open = fold.jobs.open().filter(|job| job.record.model == model);
        open.map(|job| job.record.min_version)
            .max()
            .unwrap_or_default()
    }

    /// Whether a running sample of a model must be made by one weight version.
    fn single_version(&self, model: &str) -> bool {
        let Some(deployment) = self.shared.deployment() else {
            return true;
        };
        let fold = self.shared.fold.borrow();
        let open = fold.jobs.open().filter(|job| job.record.model == model);
        open.filter_map(|job| route(&deployment, job))
            .any(|route| route.single_version)
    }

    /// Oldest weight version that may make an item.
    fn min_version(&self, job: &Job, item: &str) -> u64 {
        let key = (job.record.id.clone(), item.to_owned());
        let renewed = self.renewed.borrow().get(&key).copied();
        job.record.min_version.max(renewed.unwrap_or_default())
    }

    /// Moves running items of a service where they are made sooner, or for longer use.
    fn rearrange(&self, deployment: &Deployment, name: &str) {
        if self.shared.leaving.get().is_some() {
            return;
        }
        let now = Boot::now();
        let mut board = Board::new(self, name, now);
        moving::leave_slow(self, &mut board, now);
        if now >= self.looked.get() + RENEW_PACE {
            self.looked.set(now);
            self.renew(deployment, name, &mut board);
        }
    }

    /// The model that a server is kept for.
    fn model_of(&self, backend: &Backend) -> String {
        let kept = self.kept.borrow().get(&backend.id).cloned();
        let only = || backend.weights.keys().next().cloned();
        kept.or_else(only).unwrap_or_default()
    }

    /// Decides which model each server of a service is kept for.
    fn keep_models(&self, service: &str, models: &[String]) {
        let fold = self.shared.fold.borrow();
        let mut work = BTreeMap::new();
        for model in models {
            let jobs: Vec<&Job> = fold
                .jobs
                .iter()
                .filter(|job| job.record.model == *model)
                .collect();
            let total: u64 = jobs.iter().map(|job| job.tokens).sum();
            let mean = total / u64::try_from(jobs.len().max(1)).unwrap_or(u64::MAX);
            work.insert(
                model.as_str(),
                f64::from(u32::try_from(mean).unwrap_or(u32::MAX)),
            );
        }
        let fleet = self.shared.fleet.borrow();
        let named = self.shared.named.borrow();
        let kept = self.kept.borrow().clone();
        let behind = |backend: &Backend, model: &str| {
            let named = named.get(model).copied().unwrap_or_default();
            named.saturating_sub(self.weights.version(backend, model))
        };
        let usable = fleet.usable(service, Boot::now());
        let servers: Vec<assign::Assignable<'_>> = usable
            .map(|backend| assign::Assignable {
                id: &backend.id,
                model: kept.get(&backend.id).map(String::as_str),
                behind: models
                    .iter()
                    .map(|name| (name.as_str(), behind(backend, name)))
                    .collect(),
                running: self.shared.load.running(&backend.id),
            })
            .collect();
        for (server, model) in assign::assign(&servers, &work) {
            event!("server_model", "server" => server, "model" => model);
            self.kept
                .borrow_mut()
                .insert(server.to_owned(), model.to_owned());
        }
    }

    /// Stops runs of items that are listed, of jobs that ended, and of services led elsewhere.
    fn stop_needless(&self) {
        let fold = self.shared.fold.borrow();
        let now = Boot::now();
        let mut runs = self.runs.borrow_mut();
        runs.retain(|(job, item), run| {
            let wanted = fold.jobs.get(job).is_some_and(|known| {
                let goes_on = !known.is_finished() || self.lingers(&fold, known, item, run, now);
                goes_on && !known.done.contains(item) && self.leads(known)
            });
            if !wanted && let Some(handle) = &run.handle {
                if let Some((server, _)) = &run.server {
                    event!("item_stopped", "job" => job, "item" => item, "server" => server);
                }
                handle.abort();
            }
            wanted
        });
    }

    /// Whether the run of an item goes on though its job has ended.
    fn lingers(&self, fold: &Fold, job: &Job, item: &str, run: &mut Run, now: Boot) -> bool {
        let ended = *run.ended.get_or_insert(now);
        let mut later = fold
            .jobs
            .open()
            .filter(|open| open.position(item).is_some());
        let straggler = Straggler {
            oldest: self.drafts.oldest(item),
            min_version: job.record.min_version,
            later: later.next().map(|later| later.record.min_version),
            ended,
        };
        run.server.is_some() && lingers(&straggler, now)
    }

    fn leads(&self, job: &Job) -> bool {
        let Some(deployment) = self.shared.deployment() else {
            return true;
        };
        // A route that is gone keeps its job where it runs.
        let Some(route) = route(&deployment, job) else {
            return true;
        };
        let subject = Subject::Service(service(route, job).to_owned());
        self.shared.leads(&subject)
    }

    fn rests(&self, server: &str, now: Boot) -> bool {
        self.places
            .borrow()
            .get(server)
            .is_some_and(|place| now < place.rest)
    }

    fn rest(&self, server: &str, until: Boot) {
        self.places
            .borrow_mut()
            .entry(server.to_owned())
            .or_default()
            .rest = until;
    }

    /// Paces of servers against their median, and that in seconds an event.
    fn paces(&self, servers: &[&Rc<Backend>], now: Boot) -> (Vec<f64>, f64) {
        let places = self.places.borrow();
        let one = |backend: &&Rc<Backend>| {
            let pace = places.get(&backend.id).and_then(|place| place.pace);
            let fresh = pace.filter(|(_, seen)| now < *seen + PACE_KEPT);
            fresh.map_or(PACE_START, |(pace, _)| pace)
        };
        let seen: Vec<f64> = servers.iter().map(one).collect();
        let mut sorted = seen.clone();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(PACE_START);
        let ratios = seen
            .into_iter()
            .map(|pace| pace / median.max(f64::MIN_POSITIVE));
        (ratios.collect(), median)
    }

    /// Forgets what belongs to jobs and servers that are gone.
    fn forget(&self) {
        let fold = self.shared.fold.borrow();
        let open = |job: &str| fold.jobs.get(job).is_some_and(|job| !job.is_finished());
        self.homes.borrow_mut().retain(|(job, _), _| open(job));
        self.renewed.borrow_mut().retain(|(job, _), _| open(job));
        self.failures.borrow_mut().retain(|(job, _), _| open(job));
        self.drafts.forget(Boot::now());
        let fleet = self.shared.fleet.borrow();
        self.places
            .borrow_mut()
            .retain(|id, _| fleet.get(id).is_some());
        self.kept
            .borrow_mut()
            .retain(|id, _| fleet.get(id).is_some());
        self.weights
            .retain(|id, born| fleet.get(id).is_some_and(|known| known.born == born));
    }
}

impl item::Watch for Driver {
    fn paced(&self, server: &str, span: Duration) {
        let mut places = self.places.borrow_mut();
        if !places.contains_key(server) {
            places.insert(server.to_owned(), Place::default());
        }
        let Some(place) = places.get_mut(server) else {
            return;
        };
        let before = place.pace.map(|(pace, _)| pace);
        place.pace = Some((pace::mix(before, span), Boot::now()));
    }

    fn is_loading(&self, backend: &Backend) -> bool {
        self.weights.is_loading(backend)
    }
}

impl Driver {
    /// Whether another instance could take over now, or nothing is gained by waiting for that.
    ///
    /// Runs go on while the store is away: nobody can lead without it.
    fn may_hand_over(&self, leaving: Boot) -> bool {
        let now = Boot::now();
        let grace = self.shared.settings.bounds.grace;
        let last = leaving + grace.saturating_sub(END_MARGIN + HAND_OVER_MARGIN);
        let contact = self.shared.contacts.borrow().ledger;
        contact.is_within(STORE_REACHED, now) || now >= last
    }

    /// Stops all runs, saves their texts, and gives the leases up.
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
        self.save(true);
        self.saved_all().await;
        leases::release(&self.shared);
    }

    /// Stops a run so that its item goes on elsewhere, from the text made so far.
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

/// The service of a job: all its items go to one.
fn service<'a>(route: &'a Route, job: &Job) -> &'a str {
    #[expect(clippy::cast_precision_loss, reason = "a draw needs no more precision")]
    let draw = crate::rank::rank(&"job", &job.record.id) as f64 / u64::MAX as f64;
    route.target(draw)
}

/// Models of items that wait for a server.
type Models = HashSet<String>;
