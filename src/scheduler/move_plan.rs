//! Moves running items to other servers.

use std::collections::HashMap;
use std::rc::Rc;

use super::move_policy::{RunningItem, Target, items_to_move, reserve_all, reserve_slot};
use super::{Key, Scheduler};
use crate::boot::Boot;
use crate::instance::interfaces::{Backend, Software};
use crate::job::placement::SLOW_PACE;

/// Running items of a service, and the servers that they may move to.
pub(super) struct MovePlan {
    /// The running items, their state, and the ids of the servers that run them, by position.
    keys: Vec<Key>,
    items: Vec<RunningItem>,
    servers: Vec<String>,
    /// Servers that may take items, and their ids, by position.
    targets: Vec<Target>,
    target_ids: Vec<String>,
    /// Time that the median server needs for an event, in seconds.
    event_time: f64,
}

/// Events assumed to remain of an item while its model has no length estimate.
const DEFAULT_REMAINING: f64 = 8.0;

impl MovePlan {
    pub(super) fn new(scheduler: &Scheduler, service: &str, now: Boot) -> Self {
        let fleet = scheduler.shared.fleet.borrow();
        let usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
        let (paces, event_time) = scheduler.paces(&usable, now);
        let models = models(scheduler, &usable);
        let mut plan = Self {
            keys: Vec::new(),
            items: Vec::new(),
            servers: Vec::new(),
            targets: Vec::new(),
            target_ids: Vec::new(),
            event_time,
        };
        for (backend, pace) in usable.iter().zip(&paces) {
            if scheduler.weights.is_loading(backend) || scheduler.is_excluded(&backend.id, now) {
                continue;
            }
            let running = scheduler.shared.load.running(&backend.id);
            let model = scheduler.model_of(backend);
            let mut versions = vec![0; models.len()];
            if let Some(index) = models.get(&model) {
                versions[*index] = scheduler.weights.version(backend, &model);
            }
            let free = backend.slots.saturating_sub(running);
            plan.targets.push(Target {
                free,
                pace: *pace,
                versions,
                software: software_index(&usable, &backend.software),
            });
            plan.target_ids.push(backend.id.clone());
        }
        plan.add_runs(scheduler, &usable, &paces, &models);
        plan
    }

    fn add_runs(
        &mut self,
        scheduler: &Scheduler,
        usable: &[&Rc<Backend>],
        paces: &[f64],
        models: &HashMap<String, usize>,
    ) {
        let ledger = scheduler.shared.ledger.borrow();
        for (key, run) in &*scheduler.runs.borrow() {
            let Some((server, since)) = &run.server else {
                continue;
            };
            let at = usable.iter().position(|backend| backend.id == *server);
            let Some((at, job)) = at.zip(ledger.jobs.get(&key.0)) else {
                continue;
            };
            let Some(model) = models.get(&job.record.model) else {
                continue;
            };
            let item = job.position(&key.1).map(|at| &job.record.items[at]);
            self.keys.push(key.clone());
            self.servers.push(server.clone());
            self.items.push(RunningItem {
                pace: paces[at],
                since: *since,
                min_version: scheduler.min_version(job, &key.1),
                model: *model,
                remaining: item
                    .and_then(|item| scheduler.remaining(job, item))
                    .unwrap_or(DEFAULT_REMAINING),
                software: Some(software_index(usable, &usable[at].software)),
            });
        }
    }

    /// Restarts an item on weights of version `min` or newer, if a server with them has a slot.
    pub(super) fn renew(&mut self, scheduler: &Scheduler, key: &Key, min: u64) {
        let Some(at) = self.keys.iter().position(|known| known == key) else {
            return;
        };
        self.items[at].min_version = min;
        self.items[at].software = None;
        if reserve_slot(&mut self.targets, &self.items[at], SLOW_PACE) {
            scheduler.renewed.borrow_mut().insert(key.clone(), min);
            scheduler.requeue(key, "newer weights");
        }
    }

    /// Moves all items off a server, if other servers have slots for all of them; returns whether
    /// they were moved.
    pub(super) fn drain(&mut self, scheduler: &Scheduler, server: &str) -> bool {
        let positions: Vec<usize> = (0..self.items.len())
            .filter(|at| self.servers[*at] == server)
            .collect();
        let items: Vec<RunningItem> = positions.iter().map(|at| self.items[*at]).collect();
        if let Some(at) = self.target_ids.iter().position(|id| id == server) {
            self.targets[at].free = 0;
        }
        let moved = reserve_all(&items, &mut self.targets);
        if moved {
            for at in positions {
                scheduler.requeue(&self.keys[at], "load");
            }
        }
        moved
    }
}

/// Index of a software version: the position of the first server with it.
fn software_index(usable: &[&Rc<Backend>], software: &Software) -> usize {
    let with_it = usable
        .iter()
        .position(|backend| backend.software == *software);
    with_it.unwrap_or(usable.len())
}

/// Maps the models that the servers are assigned to to their indices in [`Target::versions`].
fn models(scheduler: &Scheduler, usable: &[&Rc<Backend>]) -> HashMap<String, usize> {
    let mut models = HashMap::new();
    for backend in usable {
        let next = models.len();
        models.entry(scheduler.model_of(backend)).or_insert(next);
    }
    models
}

/// Moves items from slow servers to faster ones with free slots.
pub(super) fn leave_slow_servers(scheduler: &Scheduler, plan: &mut MovePlan, now: Boot) {
    for at in items_to_move(&plan.items, &mut plan.targets, plan.event_time, now) {
        scheduler.requeue(&plan.keys[at], "slow");
    }
}
