//! Admission: a bounded queue before each pool that refuses early and releases by guards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::{QueuePolicy, RefusalPolicy};
use crate::names::{Pool, Tenant};

use super::fair::{Ask, Class, FairQueue, Pace, Waiting};

/// Weight of a finished request in the observed speed.
const SPEED_DECAY: f64 = 0.98;
/// Longest time that a refused caller is told to wait, in seconds.
const RETRY_MAX_S: f64 = 60.0;
/// Seconds after which to ask again while a pool has no server.
const NO_SERVER_RETRY_S: u64 = 1;

/// What bounds a pool's queue and its running requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Requests that may run.
    pub running: u32,
    /// Requests that may wait.
    pub waiting: usize,
    /// The order of waiting requests.
    pub queue: QueuePolicy,
    /// When a request that cannot run in time is refused.
    pub refusal: RefusalPolicy,
}

/// The queues of all pools.
#[derive(Debug, Default)]
pub struct Admission {
    gates: Mutex<BTreeMap<Pool, Arc<Gate>>>,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Gate {
    state: Mutex<GateState>,
}

type Verdict = Result<Arc<Notify>, Refusal>;

#[derive(Debug, Default)]
struct GateState {
    queue: FairQueue<oneshot::Sender<Verdict>>,
    bounds: Bounds,
    running: u32,
    speed: Speed,
    /// Running rollout work that can be asked to make room.
    yielding: Vec<Arc<Notify>>,
}

/// Tokens and seconds of finished requests, older ones decayed.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    tokens: f64,
    seconds: f64,
}

/// Leave to run. Dropping it lets the next waiting request run.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    tenant: Tenant,
    class: Class,
    cost: f64,
    since: Instant,
    used: f64,
    room: Arc<Notify>,
}

impl Permit {
    /// States the tokens that the request took so far.
    pub fn settle(&mut self, tokens: f64) {
        self.used = tokens;
    }

    /// Waits until live work needs this place, which only rollout work is asked.
    pub async fn room_wanted(&self) {
        self.room.notified().await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        if self.used > 0.0 {
            let seconds = self.since.elapsed().as_secs_f64();
            state.speed.note(self.used, seconds);
        }
        let beyond = self.used - self.cost;
        state.queue.settle(self.class, &self.tenant, beyond);
        state.yielding.retain(|room| !Arc::ptr_eq(room, &self.room));
        state.running -= 1;
        state.dispatch();
    }
}

/// A place in the queue. Dropping it gives the place up.
struct Place {
    gate: Arc<Gate>,
    number: u64,
    verdict: oneshot::Receiver<Verdict>,
    taken: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut state = self.gate.state.lock();
        let waited = state.queue.remove(self.number).is_some();
        if !waited && matches!(self.verdict.try_recv(), Ok(Ok(_))) {
            state.running -= 1;
            state.dispatch();
        }
    }
}

impl Speed {
    fn note(&mut self, tokens: f64, seconds: f64) {
        self.tokens = self.tokens * SPEED_DECAY + tokens;
        self.seconds = self.seconds * SPEED_DECAY + seconds;
    }

    fn pace(self, running: u32) -> Option<Pace> {
        let speed = self.tokens / self.seconds;
        let known = speed.is_finite() && speed > 0.0 && running > 0;
        known.then_some(Pace {
            speed,
            rate: speed * f64::from(running),
        })
    }
}

impl GateState {
    /// Lets waiting requests run while there is room.
    fn dispatch(&mut self) {
        while self.running < self.bounds.running {
            let Some(next) = self.queue.pop() else {
                return;
            };
            let room = Arc::new(Notify::new());
            if next.item.send(Ok(room)).is_ok() {
                self.running += 1;
            }
        }
        if self.queue.has_waiting(Class::Live)
            && let Some(room) = self.yielding.pop()
        {
            room.notify_one();
        }
    }

    /// Queues a request, unless it could not be whole in time or finds no room.
    fn enqueue(
        &mut self,
        ask: &Ask<'_>,
        now: Instant,
    ) -> Result<(u64, oneshot::Receiver<Verdict>), Refusal> {
        if self.bounds.running == 0 {
            let refusal = Refusal::not_run(RefusalKind::NoServer, "no backend server is ready");
            return Err(refusal.retry_after(NO_SERVER_RETRY_S));
        }
        self.check_deadline(ask, now)?;
        let full = self.queue.len() >= self.bounds.waiting;
        if full && self.running >= self.bounds.running {
            match self.queue.displace(ask) {
                Some(displaced) => self.refuse(displaced, "the queue is full"),
                None => return Err(self.overloaded(ask, "the queue is full")),
            }
        }
        let (sender, receiver) = oneshot::channel();
        let number = self.queue.push(ask, sender);
        self.dispatch();
        Ok((number, receiver))
    }

    /// How fast requests run, if refusals are to be early and it is known.
    fn pace(&self) -> Option<Pace> {
        match self.bounds.refusal {
            RefusalPolicy::Early => self.speed.pace(self.bounds.running),
            RefusalPolicy::Late => None,
        }
    }

    fn check_deadline(&self, ask: &Ask<'_>, now: Instant) -> Result<(), Refusal> {
        let Some(pace) = self.pace() else {
            return Ok(());
        };
        let idle = self.running < self.bounds.running && self.queue.len() == 0;
        let wait = if idle {
            0.0
        } else {
            self.queue.ahead(ask) / pace.rate
        };
        let run = ask.cost / pace.speed;
        let left = ask.deadline.saturating_duration_since(now).as_secs_f64();
        if wait + run <= left {
            return Ok(());
        }
        let detail = "the answer would come after the request's deadline";
        Err(refusal(detail, wait + run - left))
    }

    fn overloaded(&self, ask: &Ask<'_>, detail: &str) -> Refusal {
        let pace = self.speed.pace(self.bounds.running);
        let wait = pace.map_or(0.0, |pace| self.queue.ahead(ask) / pace.rate);
        refusal(detail, wait)
    }

    /// Tells a waiting request at once that it will not run.
    fn refuse(&self, waiting: Waiting<oneshot::Sender<Verdict>>, detail: &str) {
        let pace = self.speed.pace(self.bounds.running);
        let wait = pace.map_or(0.0, |pace| waiting.cost / pace.speed);
        // The receiver may be gone, and then nobody waits for the verdict.
        let _ = waiting.item.send(Err(refusal(detail, wait)));
    }
}

/// A refusal of a request that never left the queue.
fn refusal(detail: &str, seconds: f64) -> Refusal {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value lies between 1 and RETRY_MAX_S"
    )]
    let retry = seconds.clamp(1.0, RETRY_MAX_S).ceil() as u64;
    Refusal::not_run(RefusalKind::Overloaded, detail).retry_after(retry)
}

impl Admission {
    /// Waits for leave to run.
    ///
    /// # Errors
    /// The refusal of a request that cannot run in time; it did not run.
    pub async fn admit(&self, pool: &Pool, ask: Ask<'_>) -> Result<Permit, Refusal> {
        let gate = self.gate(pool);
        let (number, verdict) = gate.state.lock().enqueue(&ask, Instant::now())?;
        let mut place = Place {
            gate,
            number,
            verdict,
            taken: false,
        };
        let verdict = tokio::time::timeout_at(ask.deadline.into(), &mut place.verdict).await;
        let Ok(Ok(verdict)) = verdict else {
            return Err(refusal("the deadline passed in the queue", 1.0));
        };
        place.taken = true;
        let room = verdict?;
        if ask.class == Class::Rollout {
            let mut state = place.gate.state.lock();
            state.yielding.push(Arc::clone(&room));
        }
        Ok(Permit {
            gate: Arc::clone(&place.gate),
            tenant: ask.tenant.clone(),
            class: ask.class,
            cost: ask.cost,
            since: Instant::now(),
            used: 0.0,
            room,
        })
    }

    fn gate(&self, pool: &Pool) -> Arc<Gate> {
        let mut gates = self.gates.lock();
        if let Some(gate) = gates.get(pool) {
            return Arc::clone(gate);
        }
        Arc::clone(gates.entry(pool.clone()).or_default())
    }

    /// Sets a pool's bounds and gives up requests that cannot be whole any more.
    pub fn refresh(&self, pool: &Pool, bounds: Bounds, now: Instant) {
        let gate = self.gate(pool);
        let mut state = gate.state.lock();
        state.bounds = bounds;
        state.queue.set_policy(bounds.queue);
        state.dispatch();
        let Some(pace) = state.pace() else {
            return;
        };
        for hopeless in state.queue.take_hopeless(pace, now) {
            state.refuse(
                hopeless,
                "the answer would come after the request's deadline",
            );
        }
    }

    /// Whether no request of a pool may run.
    #[must_use]
    pub fn is_closed(&self, pool: &Pool) -> bool {
        self.gate(pool).state.lock().bounds.running == 0
    }

    /// Requests of a pool that run now.
    #[must_use]
    pub fn running(&self, pool: &Pool) -> u32 {
        self.gate(pool).state.lock().running
    }

    /// Requests of all pools that wait now.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let gates = self.gates.lock();
        gates
            .values()
            .map(|gate| gate.state.lock().queue.len())
            .sum()
    }
}

#[cfg(test)]
mod tests;
