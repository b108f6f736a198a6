//! Makes the samples of the jobs whose service this instance leads.

pub mod events;
pub mod item;
pub mod sample;
pub mod waves;
pub mod weights;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{Deployment, Route};
use crate::instance::edge::Backend;
use crate::instance::events::event;
use crate::job::order::queue;
use crate::job::place::{Seat, place};
use crate::job::{ItemEnd, Job, Listed};
use crate::ledger::record::{Record, Subject};
use item::{RunEnd, Task};
use sample::{Fit, Sample};
use weights::Weights;

/// Longest time between two looks at what waits.
const LOOK: Duration = Duration::from_millis(50);
/// Time for which a server that turned an item away gets no other one.
const FULL_REST: Duration = Duration::from_millis(120);
/// Time for which a server that broke a run off gets no other one.
const BROKEN_REST: Duration = Duration::from_millis(1500);
/// Share of the newest event in a server's pace.
const PACE_SHARE: f64 = 0.1;
/// Pace of a server that has made no event yet, in seconds an event.
const PACE_START: f64 = 0.04;

/// An item of a job.
type Key = (String, String);

/// A run under way, or a result on its way to the log.
#[derive(Debug, Default)]
struct Run {
    handle: Option<AbortHandle>,
}

#[derive(Debug, Default)]
struct Place {
    /// Pace of events in seconds.
    pace: Option<f64>,
    rest: Boot,
}

/// Unfinished text and failures of an item that waits for another run.
#[derive(Debug, Default)]
struct Draft {
    sample: Sample,
    failures: u32,
}

/// Drives the jobs of the services that this instance leads.
#[derive(Debug)]
pub struct Driver {
    shared: Rc<Shared>,
    /// Weights of the servers.
    pub weights: Weights,
    runs: RefCell<HashMap<Key, Run>>,
    drafts: RefCell<HashMap<Key, Draft>>,
    places: RefCell<HashMap<String, Place>>,
    homes: RefCell<HashMap<Key, String>>,
}

impl Driver {
    /// A driver with nothing to do yet.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            weights: Weights::default(),
            runs: RefCell::default(),
            drafts: RefCell::default(),
            places: RefCell::default(),
            homes: RefCell::default(),
        })
    }

    /// Drives jobs, for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            // Whichever comes first.
            let _ = timeout(LOOK, self.shared.changed.notified()).await;
            self.stop_needless();
            let Some(deployment) = self.shared.deployment() else {
                continue;
            };
            for (name, service) in &deployment.services {
                if service.engine.is_some() && self.shared.leads(&Subject::Service(name.clone())) {
                    weights::step(&self, name);
                    self.start_due(&deployment, name);
                }
            }
            self.forget();
        }
    }

    /// Oldest weight version that an open job of a model wants.
    fn oldest(&self, model: &str) -> u64 {
        let fold = self.shared.fold.borrow();
        let open = fold
            .jobs
            .iter()
            .filter(|job| !job.is_finished() && job.record.model == model);
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
        let open = fold
            .jobs
            .iter()
            .filter(|job| !job.is_finished() && job.record.model == model);
        open.filter_map(|job| route(&deployment, job))
            .any(|route| route.single_version)
    }

    /// Stops runs of items that are listed, of jobs that ended, and of services led elsewhere.
    fn stop_needless(&self) {
        let fold = self.shared.fold.borrow();
        let mut runs = self.runs.borrow_mut();
        runs.retain(|(job, item), run| {
            let wanted = fold.jobs.get(job).is_some_and(|known| {
                !known.is_finished() && !known.done.contains(item) && self.leads(known)
            });
            if !wanted && let Some(handle) = &run.handle {
                handle.abort();
            }
            wanted
        });
    }

    fn leads(&self, job: &Job) -> bool {
        let Some(deployment) = self.shared.deployment() else {
            return true;
        };
        // A route that is gone keeps its job where it runs.
        let Some(route) = route(&deployment, job) else {
            return true;
        };
        let service = service(route, job);
        self.shared.leaving.get().is_some()
            || self.shared.leads(&Subject::Service(service.to_owned()))
    }

    fn start_due(self: &Rc<Self>, deployment: &Deployment, name: &str) {
        if self.shared.leaving.get().is_some() {
            return;
        }
        let now = Boot::now();
        let wall = crate::util::unix_ms();
        let fold = self.shared.fold.borrow();
        let own =
            |job: &&Job| route(deployment, job).is_some_and(|route| service(route, job) == name);
        let is_running = |job: &str, item: &str| {
            let runs = self.runs.borrow();
            runs.contains_key(&(job.to_owned(), item.to_owned()))
        };
        let waiting = queue(fold.jobs.iter().filter(own), is_running);
        if waiting.is_empty() {
            return;
        }
        let fleet = self.shared.fleet.borrow();
        let usable: Vec<&Rc<Backend>> = fleet
            .usable(name, now)
            .filter(|backend| !self.weights.is_loading(backend) && !self.rests(&backend.id, now))
            .collect();
        let mut free: Vec<usize> = usable
            .iter()
            .map(|backend| {
                backend
                    .slots
                    .saturating_sub(self.shared.load.running(&backend.id))
            })
            .collect();
        let paces = self.paces(&usable);
        for waiting in waiting {
            let job = waiting.job;
            let item = &job.record.items[waiting.at];
            let Some(route) = route(deployment, job) else {
                continue;
            };
            let retention = crate::util::millis(route.retention);
            if job.record.submitted + retention < wall {
                self.list(job, &item.id, dead());
                continue;
            }
            if free.iter().all(|free| *free == 0) {
                break;
            }
            let model = &job.record.model;
            let seats: Vec<Seat<'_>> = (0..usable.len())
                .map(|at| Seat {
                    id: &usable[at].id,
                    free: free[at],
                    slots: usable[at].slots,
                    version: self.weights.version(usable[at], model),
                    pace: paces[at],
                })
                .collect();
            let home = (job.record.id.clone(), item.group.clone());
            let homes = self.homes.borrow();
            let own = homes.get(&home).map(String::as_str);
            let Some(at) = place(&seats, own, job.record.min_version) else {
                continue;
            };
            drop(homes);
            free[at] -= 1;
            self.homes.borrow_mut().insert(home, usable[at].id.clone());
            let fit = Fit {
                min: job.record.min_version,
                single: route.single_version,
            };
            self.start(job, waiting.at, fit, route.attempts.max(1), usable[at]);
        }
    }

    fn rests(&self, server: &str, now: Boot) -> bool {
        self.places
            .borrow()
            .get(server)
            .is_some_and(|place| now < place.rest)
    }

    /// Paces of servers against their median.
    fn paces(&self, usable: &[&Rc<Backend>]) -> Vec<f64> {
        let places = self.places.borrow();
        let pace = |backend: &&Rc<Backend>| {
            places
                .get(&backend.id)
                .and_then(|place| place.pace)
                .unwrap_or(PACE_START)
        };
        let paces: Vec<f64> = usable.iter().map(pace).collect();
        let mut sorted = paces.clone();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(PACE_START);
        paces
            .into_iter()
            .map(|pace| pace / median.max(f64::MIN_POSITIVE))
            .collect()
    }

    fn start(
        self: &Rc<Self>,
        job: &Job,
        at: usize,
        fit: Fit,
        attempts: u32,
        backend: &Rc<Backend>,
    ) {
        let record = &job.record;
        let item = record.items[at].clone();
        let key = (record.id.clone(), item.id.clone());
        event!("item_start", "job" => record.id, "item" => item.id, "server" => backend.id);
        let task = Task {
            job: record.id.clone(),
            item,
            host: record.host.clone(),
            tenant: record.tenant.clone(),
            model: record.model.clone(),
            fit,
        };
        let driver = Rc::clone(self);
        let server = Rc::clone(backend);
        let run = Run::default();
        self.runs.borrow_mut().insert(key.clone(), run);
        let running = tokio::task::spawn_local(async move {
            driver.make(&task, &server, attempts).await;
        });
        if let Some(run) = self.runs.borrow_mut().get_mut(&key) {
            run.handle = Some(running.abort_handle());
        }
    }

    /// Runs a task on a server; lists its result or leaves it to another run.
    async fn make(&self, task: &Task, backend: &Rc<Backend>, attempts: u32) {
        let key = (task.job.clone(), task.item.id.clone());
        let mut draft = self.drafts.borrow_mut().remove(&key).unwrap_or_default();
        let version = self.weights.version(backend, &task.model);
        if !task.fit.allows(&draft.sample, version) {
            draft.sample = Sample::default();
        }
        let paced = |span| self.paced(&backend.id, span);
        let end = item::run(&self.shared, task, backend, &mut draft.sample, paced).await;
        self.shared
            .metrics
            .items
            .with_label_values(&[&format!("{end:?}")])
            .inc();
        let now = Boot::now();
        match end {
            RunEnd::Whole => {
                self.shared.changed.notify_waiters();
                self.finish(task, draft.sample).await;
                return;
            }
            RunEnd::Impossible => {
                self.push(&task.job, &task.item.id, dead());
                return;
            }
            RunEnd::Failed => draft.failures += 1,
            RunEnd::NotRun => self.rest(&backend.id, now + FULL_REST),
            RunEnd::Misdirected | RunEnd::Broken => self.rest(&backend.id, now + BROKEN_REST),
        }
        if draft.failures >= attempts {
            self.push(&task.job, &task.item.id, dead());
            return;
        }
        self.drafts.borrow_mut().insert(key.clone(), draft);
        self.runs.borrow_mut().remove(&key);
        self.shared.changed.notify_waiters();
    }

    async fn finish(&self, task: &Task, sample: Sample) {
        let (end, score) = match &task.item.scorer {
            Some(scorer) => item::score(&self.shared, task, scorer).await,
            None => (ItemEnd::Complete, None),
        };
        let output = if end == ItemEnd::Complete {
            sample.text()
        } else {
            String::new()
        };
        let ended = Ended {
            end,
            output,
            versions: sample.versions,
            score,
        };
        self.push(&task.job, &task.item.id, ended);
    }

    fn paced(&self, server: &str, span: Duration) {
        let mut places = self.places.borrow_mut();
        let place = places.entry(server.to_owned()).or_default();
        let span = span.as_secs_f64();
        let before = place.pace.unwrap_or(span);
        place.pace = Some(before + (span - before) * PACE_SHARE);
    }

    fn rest(&self, server: &str, until: Boot) {
        self.places
            .borrow_mut()
            .entry(server.to_owned())
            .or_default()
            .rest = until;
    }

    /// Lists an item that no run was started for.
    fn list(&self, job: &Job, item: &str, ended: Ended) {
        let key = (job.record.id.clone(), item.to_owned());
        self.runs.borrow_mut().insert(key, Run::default());
        self.push(&job.record.id, item, ended);
    }

    /// Writes a result to the log; the item counts as running until it is read there.
    fn push(&self, job: &str, item: &str, ended: Ended) {
        event!("item_listed", "job" => job, "item" => item, "end" => format!("{:?}", ended.end),
            "versions" => format!("{:?}", ended.versions));
        let result = Listed {
            item: item.to_owned(),
            end: ended.end,
            output: ended.output,
            versions: ended.versions,
            score: ended.score,
        };
        let record = Record::Listed {
            job: job.to_owned(),
            result,
        };
        drop(self.shared.writer.push(&record));
    }

    /// Forgets what belongs to jobs and servers that are gone.
    fn forget(&self) {
        let fold = self.shared.fold.borrow();
        let open = |job: &str| fold.jobs.get(job).is_some_and(|job| !job.is_finished());
        self.drafts.borrow_mut().retain(|(job, _), _| open(job));
        self.homes.borrow_mut().retain(|(job, _), _| open(job));
        let fleet = self.shared.fleet.borrow();
        self.places
            .borrow_mut()
            .retain(|id, _| fleet.get(id).is_some());
        self.weights
            .retain(|id, born| fleet.get(id).is_some_and(|known| known.born == born));
    }
}

struct Ended {
    end: ItemEnd,
    output: String,
    versions: Vec<u64>,
    score: Option<String>,
}

fn dead() -> Ended {
    Ended {
        end: ItemEnd::Dead,
        output: String::new(),
        versions: Vec::new(),
        score: None,
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
