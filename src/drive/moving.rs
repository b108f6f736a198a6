//! Moves running items to other servers.

use std::collections::HashMap;
use std::rc::Rc;

use super::moves::{Running, Seat, empties, faster, take};
use super::{Driver, Key};
use crate::boot::Boot;
use crate::instance::edge::Backend;
use crate::job::place::SLOW;

/// Running items of a service, and the servers with room.
pub(super) struct Board {
    /// The running items, their state, and the servers that run them, by position.
    keys: Vec<Key>,
    items: Vec<Running>,
    servers: Vec<String>,
    /// Servers with room, and their ids, by position.
    seats: Vec<Seat>,
    ids: Vec<String>,
    /// Time that the median server needs for an event, in seconds.
    event: f64,
}

/// Events that an item is taken to need while nothing is known of its model's samples.
const LEFT_UNKNOWN: f64 = 8.0;

impl Board {
    pub(super) fn new(driver: &Driver, service: &str, now: Boot) -> Self {
        let fleet = driver.shared.fleet.borrow();
        let usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
        let (paces, event) = driver.paces(&usable, now);
        let models = models(driver, &usable);
        let mut board = Self {
            keys: Vec::new(),
            items: Vec::new(),
            servers: Vec::new(),
            seats: Vec::new(),
            ids: Vec::new(),
            event,
        };
        for (backend, pace) in usable.iter().zip(&paces) {
            if driver.weights.is_loading(backend) || driver.rests(&backend.id, now) {
                continue;
            }
            let running = driver.shared.load.running(&backend.id);
            let kept = driver.model_of(backend);
            let mut versions = vec![0; models.len()];
            if let Some(number) = models.get(&kept) {
                versions[*number] = driver.weights.version(backend, &kept);
            }
            let free = backend.slots.saturating_sub(running);
            board.seats.push(Seat {
                free,
                pace: *pace,
                versions,
            });
            board.ids.push(backend.id.clone());
        }
        board.add_runs(driver, &usable, &paces, &models);
        board
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
                left: item
                    .and_then(|item| driver.left(job, item))
                    .unwrap_or(LEFT_UNKNOWN),
            });
        }
    }

    /// Has an item made anew by weights of version `min` or newer, if they have room.
    pub(super) fn renew(&mut self, driver: &Driver, key: &Key, min: u64) {
        let Some(at) = self.keys.iter().position(|known| known == key) else {
            return;
        };
        self.items[at].min_version = min;
        if take(&mut self.seats, &self.items[at], SLOW) {
            driver.renewed.borrow_mut().insert(key.clone(), min);
            driver.requeue(key, "newer weights");
        }
    }

    /// Whether the items of a server find room elsewhere; if so, they are moved.
    pub(super) fn empty(&mut self, driver: &Driver, server: &str) -> bool {
        let own: Vec<usize> = (0..self.items.len())
            .filter(|at| self.servers[*at] == server)
            .collect();
        let items: Vec<Running> = own.iter().map(|at| self.items[*at]).collect();
        if let Some(at) = self.ids.iter().position(|id| id == server) {
            self.seats[at].free = 0;
        }
        let moved = empties(&items, &mut self.seats);
        if moved {
            for at in own {
                driver.requeue(&self.keys[at], "load");
            }
        }
        moved
    }
}

fn models(driver: &Driver, usable: &[&Rc<Backend>]) -> HashMap<String, usize> {
    let mut models = HashMap::new();
    for backend in usable {
        let next = models.len();
        models.entry(driver.model_of(backend)).or_insert(next);
    }
    models
}

/// Moves items from slow servers to faster ones with room.
pub(super) fn leave_slow(driver: &Driver, board: &mut Board, now: Boot) {
    for at in faster(&board.items, &mut board.seats, board.event, now) {
        driver.requeue(&board.keys[at], "slow");
    }
}
