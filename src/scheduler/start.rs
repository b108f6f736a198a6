//! Starts waiting items on servers with free slots.

use std::collections::HashSet;
use std::rc::Rc;

use super::drafts::{self, Outcome, Output};
use super::item::Task;
use super::look_ahead::LookAhead;
use super::sample::VersionPolicy;
use super::{Key, Models, Run, Scheduler, route, service_of};
use crate::boot::Boot;
use crate::instance::deployment::Deployment;
use crate::instance::events::event;
use crate::instance::interfaces::Backend;
use crate::instance::payloads;
use crate::job::order::{Waiting, queue};
use crate::job::placement::{Candidate, Needs, SlotAllocator};
use crate::job::{Content, Job};
use crate::relay::warmup::WarmupRate;
use crate::relay::zone::item_cost;
use crate::util::{millis, unix_ms};

/// Servers that accept items, with their relative paces and assigned models, by position.
struct Capacity<'a> {
    service: &'a str,
    servers: Vec<&'a Rc<Backend>>,
    paces: Vec<f64>,
    models: Vec<String>,
}

/// Starts the waiting items of `service` that get a slot, and gives up expired ones;
/// returns the models whose items found no server.
pub(super) fn start_due(
    scheduler: &Rc<Scheduler>,
    deployment: &Deployment,
    service: &str,
) -> Models {
    let mut unplaced = Models::new();
    if scheduler.shared.leaving.get().is_some() {
        return unplaced;
    }
    let ledger = scheduler.shared.ledger.borrow();
    let is_own =
        |job: &Job| route(deployment, job).is_some_and(|route| service_of(route, job) == service);
    let waiting = waiting(scheduler, &ledger.jobs, is_own);
    if waiting.is_empty() {
        return unplaced;
    }
    let now = Boot::now();
    let wall = unix_ms();
    let fleet = scheduler.shared.fleet.borrow();
    scheduler.shared.note_demand(service, now);
    let rate = scheduler.shared.warmup_rate(service);
    let usable = fleet.usable(service, now);
    let (capacity, free) = capacity(scheduler, service, usable, rate, now);
    let mut allocator = SlotAllocator::new(free);
    let mut look_ahead = LookAhead::new(deployment, service);
    for waiting in waiting {
        let job = waiting.job;
        let item = &job.record.items[waiting.at];
        if !look_ahead.admits(job, waiting.at) {
            continue;
        }
        let Some(route) = route(deployment, job) else {
            continue;
        };
        if job.record.submitted + millis(route.retention) < wall {
            give_up(scheduler, job, &item.id);
            continue;
        }
        let Some(content) = content(scheduler, job, waiting.at) else {
            continue;
        };
        let attempts = route.attempts.max(1);
        let mut policy = VersionPolicy {
            min: scheduler.min_version(job, &item.id),
            single: route.single_version,
        };
        let draft_text = || scheduler.drafts.complete_text(&item.id, policy);
        if let Some(text) = text_elsewhere(&ledger.jobs, job, &item.id, policy).or_else(draft_text)
        {
            let task = task(job, waiting.at, content, policy);
            spawn(
                scheduler,
                key(job, &item.id),
                None,
                |scheduler| async move {
                    scheduler.finish(&task, text).await;
                },
            );
            continue;
        }
        let mut server_at = take_slot(
            scheduler,
            &capacity,
            &mut allocator,
            job,
            waiting.at,
            policy.min,
        );
        if server_at.is_none() && policy.min > job.record.min_version {
            // No server with newer weights has a slot any more; older weights will do.
            scheduler.cancel_renewal(job, &item.id);
            policy.min = job.record.min_version;
            server_at = take_slot(
                scheduler,
                &capacity,
                &mut allocator,
                job,
                waiting.at,
                policy.min,
            );
        }
        let Some(server_at) = server_at else {
            unplaced.insert(job.record.model.clone());
            continue;
        };
        let backend = Rc::clone(capacity.servers[server_at]);
        event!("item_start", "job" => job.record.id, "item" => item.id, "server" => backend.id,
            "software" => backend.software, "events" => scheduler.drafts.event_count(&item.id),
            "spare" => waiting.spare);
        let prompt_server = key(job, &item.group);
        scheduler
            .prompt_servers
            .borrow_mut()
            .insert(prompt_server, backend.id.clone());
        let task = task(job, waiting.at, content, policy);
        spawn(
            scheduler,
            key(job, &item.id),
            Some((backend.id.clone(), now)),
            move |scheduler| async move {
                drafts::run_item(&scheduler, &task, &backend, attempts).await;
            },
        );
    }
    unplaced
}

/// Lists an item that has expired as dead.
fn give_up(scheduler: &Scheduler, job: &Job, item: &str) {
    scheduler
        .runs
        .borrow_mut()
        .insert(key(job, item), Run::default());
    scheduler.list(&job.record.id, item, Outcome::Dead);
}

/// Items that neither run nor have a result, in the order in which they start.
fn waiting<'a>(
    scheduler: &Scheduler,
    jobs: &'a crate::job::Jobs,
    is_own: impl Fn(&Job) -> bool,
) -> Vec<Waiting<'a>> {
    let runs = scheduler.runs.borrow();
    // Runs are matched by item only: a run serves whichever job holds the item now.
    let running: HashSet<&str> = runs.keys().map(|(_, item)| item.as_str()).collect();
    queue(jobs, is_own, |_, item| running.contains(item))
}

fn key(job: &Job, id: &str) -> Key {
    (job.record.id.clone(), id.to_owned())
}

/// Servers that accept items, and their free slots.
fn capacity<'a>(
    scheduler: &Scheduler,
    service: &'a str,
    usable: impl Iterator<Item = &'a Rc<Backend>>,
    rate: Option<WarmupRate>,
    now: Boot,
) -> (Capacity<'a>, Vec<usize>) {
    let accepts = |backend: &&Rc<Backend>| {
        !scheduler.weights.is_loading(backend) && !scheduler.is_excluded(&backend.id, now)
    };
    let servers: Vec<&Rc<Backend>> = usable.filter(accepts).collect();
    let load = &scheduler.shared.load;
    let limits = &scheduler.shared.limits;
    let free = |backend: &&Rc<Backend>| {
        let slots = backend.slots.saturating_sub(load.running(&backend.id));
        // The rate limits every server: one may lose its caches and warm up again at any time, and
        // its report of that arrives late.
        let allowed =
            rate.map(|rate| load.recent(&backend.id, |recent| rate.remaining(recent, now)));
        let slots = allowed.map_or(slots, |allowed| allowed.min(slots));
        let permits = limits.borrow_mut().permits(backend, now);
        permits.map_or(slots, |permits| whole(permits).min(slots))
    };
    let free = servers.iter().map(free).collect();
    let capacity = Capacity {
        service,
        paces: scheduler.paces(&servers, now).0,
        models: servers
            .iter()
            .map(|backend| scheduler.model_of(backend))
            .collect(),
        servers,
    };
    (capacity, free)
}

fn whole(permits: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "permits are few and never negative"
    )]
    let whole = permits as usize;
    whole
}

/// Candidates for items of a model, in the order of the servers.
fn candidates<'a>(
    scheduler: &Scheduler,
    capacity: &Capacity<'a>,
    free: &[usize],
    model: &str,
) -> Vec<Candidate<'a>> {
    let candidate = |at: usize| Candidate {
        id: &capacity.servers[at].id,
        free: free[at],
        slots: capacity.servers[at].slots,
        version: scheduler.weights.version(capacity.servers[at], model),
        pace: capacity.paces[at],
        other_model: capacity.models[at] != *model,
        software: capacity.servers[at].software.as_ref(),
        zone_cost: item_cost(&scheduler.shared.settings.zone, &capacity.servers[at].zone),
    };
    (0..capacity.servers.len()).map(candidate).collect()
}

/// Takes a slot for an item on a server that has at least the weight version `min_version`;
/// returns the position of the server.
fn take_slot<'a>(
    scheduler: &Scheduler,
    capacity: &Capacity<'a>,
    allocator: &mut SlotAllocator<'a>,
    job: &Job,
    item_at: usize,
    min_version: u64,
) -> Option<usize> {
    let model = &job.record.model;
    let prompt_servers = scheduler.prompt_servers.borrow();
    let prompt_server = prompt_servers
        .get(&key(job, &job.record.items[item_at].group))
        .map(String::as_str);
    let item = &job.record.items[item_at].id;
    let software = scheduler.text_software(item);
    let waits = software.as_ref().is_some_and(|software| {
        scheduler.waits_for_software(item, capacity.service, software, Boot::now())
    });
    let needs = Needs {
        prompt_server,
        min_version,
        software: software.as_ref().map(AsRef::as_ref),
        waits,
    };
    allocator.take(model, needs, |free| {
        candidates(scheduler, capacity, free, model)
    })
}

/// Text of the same item in another job's result, if `policy` accepts its versions.
fn text_elsewhere(
    jobs: &crate::job::Jobs,
    job: &Job,
    item: &str,
    policy: VersionPolicy,
) -> Option<drafts::ItemText> {
    let result = jobs
        .is_resubmitted(job, item)
        .then(|| jobs.result_elsewhere(&job.record.id, item))??;
    let extent = result.text.filter(|_| policy.accepts(&result.versions))?;
    Some(drafts::ItemText {
        output: Output::Stored(extent),
        versions: result.versions.clone(),
    })
}

/// The content of an item; starts to fetch it if it is not in memory.
fn content(scheduler: &Scheduler, job: &Job, at: usize) -> Option<Content> {
    let (extent, at) = job.record.content_location(at)?;
    let Some(contents) = scheduler.shared.payloads.contents(extent) else {
        payloads::fetch_background(&scheduler.shared, extent);
        return None;
    };
    contents.get(at).cloned()
}

fn task(job: &Job, at: usize, content: Content, policy: VersionPolicy) -> Task {
    let record = &job.record;
    Task {
        job: record.id.clone(),
        item: record.items[at].clone(),
        content,
        host: record.host.clone(),
        tenant: record.tenant.clone(),
        model: record.model.clone(),
        policy,
    }
}

/// Starts a run and registers it, so that it can be stopped.
///
/// `server` is the id of the server that runs the item and the time at which the item starts there;
/// none if the text is already complete.
fn spawn<F, Fut>(scheduler: &Rc<Scheduler>, key: Key, server: Option<(String, Boot)>, run: F)
where
    F: FnOnce(Rc<Scheduler>) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let running = tokio::task::spawn_local(run(Rc::clone(scheduler)));
    let run = Run {
        handle: Some(running.abort_handle()),
        server,
        ended: None,
    };
    scheduler.runs.borrow_mut().insert(key, run);
}
