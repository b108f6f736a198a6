//! Moves running items to other servers.

use std::collections::HashMap;
use std::rc::Rc;

use super::moves::{Running, Target, items_to_move, reserve_all, reserve_slot};
use super::{Driver, Key};
use crate::boot::Boot;
use crate::instance::edge::Backend;
use crate::job::place::SLOW_PACE;

/// Running items of a service, and the servers that they may move to.
pub(super) struct MovePlan {
    /// The running items, their state, and the ids of the servers that run them, by position.
    keys: Vec<Key>,
    items: Vec<Running>,
    servers: Vec<String>,
    /// Servers that may take items, and their ids, by position.
    targets: Vec<Target>,
    target_ids: Vec<String>,
    /// Time that the median server needs for an event, in seconds.
    event: f64,
}

/// Events assumed to remain of an item while its model has no length estimate.
const DEFAULT_REMAINING: f64 = 8.0;

impl MovePlan {
    pub(super) fn new(driver: &Driver, service: &str, now: Boot) -> Self {
        let fleet = driver.shared.fleet.borrow();
        let usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
        let (paces, event) = driver.paces(&usable, now);
        let models = models(driver, &usable);
        let mut plan = Self {
            keys: Vec::new(),
            items: Vec::new(),
            servers: Vec::new(),
            targets: Vec::new(),
            target_ids: Vec::new(),
            event,
        };
        for (backend, pace) in usable.iter().zip(&paces) {
            if driver.weights.is_loading(backend) || driver.is_excluded(&backend.id, now) {
                continue;
            }
            let running = driver.shared.load.running(&backend.id);
            let model = driver.model_of(backend);
            let mut versions = vec![0; models.len()];
            if let Some(index) = models.get(&model) {
                versions[*index] = driver.weights.version(backend, &model);
            }
            let free = backend.slots.saturating_sub(running);
            plan.targets.push(Target {
                free,
                pace: *pace,
                versions,
            });
            plan.target_ids.push(backend.id.clone());
        }
        plan.add_runs(driver, &usable, &paces, &models);
        plan
    }

    fn add_runs(
        &mut self,
        driver: &Driver,
        usable: &[&Rc<Backend>],
        paces: &[f64],
        models: &HashMap<String, usize>,
    ) {
        let fold = driver.shared.fold.borrow();
        for (key, run) in &*driver.runs.borrow() {
            let Some((server, since)) = &run.server else {
                continue;
            };
            let at = usable.iter().position(|backend| backend.id == *server);
            let Some((at, job)) = at.zip(fold.jobs.get(&key.0)) else {
                continue;
            };
            let Some(model) = models.get(&job.record.model) else {
                continue;
            };
            let item = job.position(&key.1).map(|at| &job.record.items[at]);
            self.keys.push(key.clone());
            self.servers.push(server.clone());
            self.items.push(Running {
                pace: paces[at],
                since: *since,
                min_version: driver.min_version(job, &key.1),
                model: *model,
                remaining: item
                    .and_then(|item| driver.remaining(job, item))
                    .unwrap_or(DEFAULT_REMAINING),
            });
        }
    }

    /// Restarts an item on weights of version `min` or newer, if a server with them has a slot.
    pub(super) fn renew(&mut self, driver: &Driver, key: &Key, min: u64) {
        let Some(at) = self.keys.iter().position(|known| known == key) else {
            return;
        };
        self.items[at].min_version = min;
        if reserve_slot(&mut self.targets, &self.items[at], SLOW_PACE) {
            driver.renewed.borrow_mut().insert(key.clone(), min);
            driver.requeue(key, "newer weights");
        }
    }

    /// Moves all items off a server, if other servers have slots for all of them.
    pub(super) fn drain(&mut self, driver: &Driver, server: &str) -> bool {
        let own: Vec<usize> = (0..self.items.len())
            .filter(|at| self.servers[*at] == server)
            .collect();
        let items: Vec<Running> = own.iter().map(|at| self.items[*at]).collect();
        if let Some(at) = self.target_ids.iter().position(|id| id == server) {
            self.targets[at].free = 0;
        }
        let moved = reserve_all(&items, &mut self.targets);
        if moved {
            for at in own {
                driver.requeue(&self.keys[at], "load");
            }
        }
        moved
    }
}

/// Numbers the models that the servers are assigned to.
fn models(driver: &Driver, usable: &[&Rc<Backend>]) -> HashMap<String, usize> {
    let mut models = HashMap::new();
    for backend in usable {
        let next = models.len();
        models.entry(driver.model_of(backend)).or_insert(next);
    }
    models
}

/// Moves items from slow servers to faster ones with free slots.
pub(super) fn leave_slow_servers(driver: &Driver, plan: &mut MovePlan, now: Boot) {
    for at in items_to_move(&plan.items, &mut plan.targets, plan.event, now) {
        driver.requeue(&plan.keys[at], "slow");
    }
}
