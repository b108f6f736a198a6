//! Starts the items that are due on the servers that have room.

use std::collections::HashSet;
use std::rc::Rc;

use super::item::Task;
use super::make::{self, Ended, Output};
use super::sample::Fit;
use super::{Driver, Key, Models, Run, route, service};
use crate::boot::Boot;
use crate::instance::deployment::Deployment;
use crate::instance::edge::Backend;
use crate::instance::events::event;
use crate::instance::payloads;
use crate::job::order::{Waiting, queue};
use crate::job::place::{Seat, Seating};
use crate::job::{Content, Job};
use crate::relay::warmup::Rate;
use crate::util::{millis, unix_ms};

/// Servers that take items.
struct Room<'a> {
    servers: Vec<&'a Rc<Backend>>,
    paces: Vec<f64>,
    models: Vec<String>,
}

/// Starts what is due; gives the models whose items still wait.
pub(super) fn due(driver: &Rc<Driver>, deployment: &Deployment, name: &str) -> Models {
    let mut left = Models::new();
    if driver.shared.leaving.get().is_some() {
        return left;
    }
    let fold = driver.shared.fold.borrow();
    let own = |job: &Job| route(deployment, job).is_some_and(|route| service(route, job) == name);
    let waiting = waiting(driver, &fold.jobs, own);
    if waiting.is_empty() {
        return left;
    }
    let now = Boot::now();
    let wall = unix_ms();
    let fleet = driver.shared.fleet.borrow();
    let rate = driver.shared.warmup(name);
    let (room, free) = room(driver, fleet.usable(name, now), rate, now);
    let mut seating = Seating::new(free);
    for waiting in waiting {
        let job = waiting.job;
        let item = &job.record.items[waiting.at];
        let Some(route) = route(deployment, job) else {
            continue;
        };
        if job.record.submitted + millis(route.retention) < wall {
            driver
                .runs
                .borrow_mut()
                .insert(key(job, &item.id), Run::default());
            driver.list(&job.record.id, &item.id, Ended::Dead);
            continue;
        }
        let Some(content) = content(driver, job, waiting.at) else {
            continue;
        };
        let attempts = route.attempts.max(1);
        let mut fit = Fit {
            min: driver.min_version(job, &item.id),
            single: route.single_version,
        };
        let made = || driver.drafts.whole(&item.id, fit);
        if let Some(text) = earlier(&fold.jobs, job, &item.id, fit).or_else(made) {
            let task = task(job, waiting.at, content, fit);
            spawn(driver, key(job, &item.id), None, |driver| async move {
                driver.finish(&task, text).await;
            });
            continue;
        }
        let mut at = seat(driver, &room, &mut seating, job, waiting.at, fit.min);
        if at.is_none() && fit.min > job.record.min_version {
            // The room that newer weights had is gone; older ones make it as well.
            driver.keep_old(job, &item.id);
            fit.min = job.record.min_version;
            at = seat(driver, &room, &mut seating, job, waiting.at, fit.min);
        }
        let Some(at) = at else {
            left.insert(job.record.model.clone());
            continue;
        };
        let backend = Rc::clone(room.servers[at]);
        event!("item_start", "job" => job.record.id, "item" => item.id, "server" => backend.id,
            "spare" => waiting.spare);
        let home = key(job, &item.group);
        driver.homes.borrow_mut().insert(home, backend.id.clone());
        let task = task(job, waiting.at, content, fit);
        spawn(
            driver,
            key(job, &item.id),
            Some((backend.id.clone(), now)),
            move |driver| async move {
                make::make(&driver, &task, &backend, attempts).await;
            },
        );
    }
    left
}

/// Items that neither run nor have a result, in the order in which they are due.
fn waiting<'a>(
    driver: &Driver,
    jobs: &'a crate::job::Jobs,
    is_own: impl Fn(&Job) -> bool,
) -> Vec<Waiting<'a>> {
    let runs = driver.runs.borrow();
    // A run goes on for whichever job has its item now.
    let running: HashSet<&str> = runs.keys().map(|(_, item)| item.as_str()).collect();
    queue(jobs, is_own, |_, item| running.contains(item))
}

fn key(job: &Job, part: &str) -> Key {
    (job.record.id.clone(), part.to_owned())
}

fn room<'a>(
    driver: &Driver,
    usable: impl Iterator<Item = &'a Rc<Backend>>,
    rate: Option<Rate>,
    now: Boot,
) -> (Room<'a>, Vec<usize>) {
    let takes = |backend: &&Rc<Backend>| {
        !driver.weights.is_loading(backend) && !driver.rests(&backend.id, now)
    };
    let servers: Vec<&Rc<Backend>> = usable.filter(takes).collect();
    let load = &driver.shared.load;
    let free = |backend: &&Rc<Backend>| {
        let slots = backend.slots.saturating_sub(load.running(&backend.id));
        // A server may warm up again at any moment, and tells so late.
        let left = rate.map(|rate| load.recent(&backend.id, |recent| rate.left(recent, now)));
        left.map_or(slots, |left| left.min(slots))
    };
    let free = servers.iter().map(free).collect();
    let room = Room {
        paces: driver.paces(&servers, now).0,
        models: servers
            .iter()
            .map(|backend| driver.model_of(backend))
            .collect(),
        servers,
    };
    (room, free)
}

/// Seats of a model, in the order of the servers.
fn seats<'a>(driver: &Driver, room: &Room<'a>, free: &[usize], model: &str) -> Vec<Seat<'a>> {
    let seat = |at: usize| Seat {
        id: &room.servers[at].id,
        free: free[at],
        slots: room.servers[at].slots,
        version: driver.weights.version(room.servers[at], model),
        pace: room.paces[at],
        foreign: room.models[at] != *model,
    };
    (0..room.servers.len()).map(seat).collect()
}

/// Takes the seat of an item.
fn seat<'a>(
    driver: &Driver,
    room: &Room<'a>,
    seating: &mut Seating<'a>,
    job: &Job,
    at: usize,
    min: u64,
) -> Option<usize> {
    let model = &job.record.model;
    let homes = driver.homes.borrow();
    let home = homes
        .get(&key(job, &job.record.items[at].group))
        .map(String::as_str);
    seating.take(model, home, min, |free| seats(driver, room, free, model))
}

/// Text that an earlier job's run of the same item left, if it fits.
fn earlier(jobs: &crate::job::Jobs, job: &Job, item: &str, fit: Fit) -> Option<make::ItemText> {
    let listed = jobs
        .is_again(job, item)
        .then(|| jobs.earlier(&job.record.id, item))??;
    let extent = listed.text.filter(|_| fit.takes(&listed.versions))?;
    Some(make::ItemText {
        output: Output::Stored(extent),
        versions: listed.versions.clone(),
    })
}

/// The content of an item; it is fetched if it is not known here.
fn content(driver: &Driver, job: &Job, at: usize) -> Option<Content> {
    let (extent, at) = job.record.part(at)?;
    let Some(contents) = driver.shared.payloads.contents(extent) else {
        payloads::fetch_later(&driver.shared, extent);
        return None;
    };
    contents.get(at).cloned()
}

fn task(job: &Job, at: usize, content: Content, fit: Fit) -> Task {
    let record = &job.record;
    Task {
        job: record.id.clone(),
        item: record.items[at].clone(),
        content,
        host: record.host.clone(),
        tenant: record.tenant.clone(),
        model: record.model.clone(),
        fit,
    }
}

/// Starts a run and remembers how to stop it.
fn spawn<F, Fut>(driver: &Rc<Driver>, key: Key, server: Option<(String, Boot)>, run: F)
where
    F: FnOnce(Rc<Driver>) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let running = tokio::task::spawn_local(run(Rc::clone(driver)));
    let run = Run {
        handle: Some(running.abort_handle()),
        server,
        ended: None,
    };
    driver.runs.borrow_mut().insert(key, run);
}
