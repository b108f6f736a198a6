//! Admission control: a bounded queue for each pool.
//!
//! Requests that cannot finish by their deadline are refused early. Places in the queue and
//! permits to run are guards, which are released when dropped.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::{QueuePolicy, RefusalPolicy};
use crate::names::{Pool, Tenant};

use super::fair::{FairQueue, PriorityClass, QueueRequest, Throughput, Waiting};

/// Factor by which each finished request reduces the weight of earlier ones.
const SPEED_DECAY: f64 = 0.98;
/// Longest retry time given to a refused caller, in seconds.
const RETRY_MAX_S: f64 = 60.0;
/// Retry time given to a caller while a pool has no server, in seconds.
const NO_SERVER_RETRY_S: u64 = 1;

/// Limits and policies of a pool's queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Requests that may run at a time.
    pub running: u32,
    /// Requests that may wait at a time.
    pub waiting: usize,
    /// The order in which waiting requests run.
    pub queue: QueuePolicy,
    /// Whether a request that cannot finish in time is refused early.
    pub refusal: RefusalPolicy,
}

/// The admission queues of all pools.
#[derive(Debug, Default)]
pub struct Admission {
    pools: Mutex<BTreeMap<Pool, Arc<PoolQueue>>>,
}

/// The admission queue of one pool.
#[derive(Debug, Default)]
struct PoolQueue {
    state: Mutex<QueueState>,
}

/// The admission decision: the signal that asks the request to yield, or a refusal.
type Decision = Result<Arc<Notify>, Refusal>;

#[derive(Debug, Default)]
struct QueueState {
    queue: FairQueue<oneshot::Sender<Decision>>,
    bounds: Bounds,
    running: u32,
    speed: SpeedAverage,
    /// Signals that ask running rollout requests to yield to live ones.
    preemptible: Vec<Arc<Notify>>,
}

/// Decayed sums of the tokens and seconds of finished requests.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedAverage {
    tokens: f64,
    seconds: f64,
}

/// A permit to run. Dropping the permit lets the next waiting request run.
#[derive(Debug)]
pub struct Permit {
    pool_queue: Arc<PoolQueue>,
    tenant: Tenant,
    class: PriorityClass,
    cost: f64,
    since: Instant,
    used: f64,
    preempt: Arc<Notify>,
}

impl Permit {
    /// Sets the tokens that the request has used so far.
    pub fn set_used(&mut self, tokens: f64) {
        self.used = tokens;
    }

    /// Waits until a live request needs this permit. Only rollout requests are asked to yield: for
    /// a live request, this waits forever.
    pub async fn preempted(&self) {
        self.preempt.notified().await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.pool_queue.state.lock();
        if self.used > 0.0 {
            let seconds = self.since.elapsed().as_secs_f64();
            state.speed.record(self.used, seconds);
        }
        let excess = self.used - self.cost;
        state.queue.settle(self.class, &self.tenant, excess);
        state
            .preemptible
            .retain(|preempt| !Arc::ptr_eq(preempt, &self.preempt));
        state.running -= 1;
        state.dispatch();
    }
}

/// A request that waits for its admission decision.
///
/// If dropped before the decision was received, it removes the request from the queue, or
/// releases the permit that was granted in the meantime.
struct Waiter {
    pool_queue: Arc<PoolQueue>,
    number: u64,
    decision: oneshot::Receiver<Decision>,
    decided: bool,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut state = self.pool_queue.state.lock();
        let waited = state.queue.remove(self.number).is_some();
        if !waited && matches!(self.decision.try_recv(), Ok(Ok(_))) {
            state.running -= 1;
            state.dispatch();
        }
    }
}

impl SpeedAverage {
    fn record(&mut self, tokens: f64, seconds: f64) {
        self.tokens = self.tokens * SPEED_DECAY + tokens;
        self.seconds = self.seconds * SPEED_DECAY + seconds;
    }

    fn throughput(self, running: u32) -> Option<Throughput> {
        let speed = self.tokens / self.seconds;
        let known = speed.is_finite() && speed > 0.0 && running > 0;
        known.then_some(Throughput {
            speed,
            rate: speed * f64::from(running),
        })
    }
}

impl QueueState {
    /// Lets waiting requests run up to the limit.
    ///
    /// If a live request still waits, one running rollout request is asked to yield.
    fn dispatch(&mut self) {
        while self.running < self.bounds.running {
            let Some(next) = self.queue.pop() else {
                return;
            };
            let preempt = Arc::new(Notify::new());
            if next.item.send(Ok(preempt)).is_ok() {
                self.running += 1;
            }
        }
        if self.queue.has_waiting(PriorityClass::Live)
            && let Some(preempt) = self.preemptible.pop()
        {
            preempt.notify_one();
        }
    }

    /// Queues a request, unless it cannot finish by its deadline or the queue is full.
    fn enqueue(
        &mut self,
        request: &QueueRequest<'_>,
        now: Instant,
    ) -> Result<(u64, oneshot::Receiver<Decision>), Refusal> {
        if self.bounds.running == 0 {
            let refusal = Refusal::not_run(RefusalKind::NoServer, "no backend server is ready");
            return Err(refusal.retry_after(NO_SERVER_RETRY_S));
        }
        self.check_deadline(request, now)?;
        let full = self.queue.len() >= self.bounds.waiting;
        if full && self.running >= self.bounds.running {
            match self.queue.displace(request) {
                Some(displaced) => self.refuse(displaced, "the queue is full"),
                None => return Err(self.overloaded(request, "the queue is full")),
            }
        }
        let (sender, receiver) = oneshot::channel();
        let number = self.queue.push(request, sender);
        self.dispatch();
        Ok((number, receiver))
    }

    /// Returns the observed throughput if it is known and the policy is to refuse early.
    fn throughput(&self) -> Option<Throughput> {
        match self.bounds.refusal {
            RefusalPolicy::Early => self.speed.throughput(self.bounds.running),
            RefusalPolicy::Late => None,
        }
    }

    fn check_deadline(&self, request: &QueueRequest<'_>, now: Instant) -> Result<(), Refusal> {
        let Some(throughput) = self.throughput() else {
            return Ok(());
        };
        let idle = self.running < self.bounds.running && self.queue.len() == 0;
        let wait = if idle {
            0.0
        } else {
            self.queue.tokens_ahead(request) / throughput.rate
        };
        let run = request.cost / throughput.speed;
        let left = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        if wait + run <= left {
            return Ok(());
        }
        let detail = "the answer would come after the request's deadline";
        Err(refusal(detail, wait + run - left))
    }

    fn overloaded(&self, request: &QueueRequest<'_>, detail: &str) -> Refusal {
        let throughput = self.speed.throughput(self.bounds.running);
        let wait = throughput.map_or(0.0, |throughput| {
            self.queue.tokens_ahead(request) / throughput.rate
        });
        refusal(detail, wait)
    }

    /// Refuses a waiting request, with the retry time estimated from its cost.
    fn refuse(&self, waiting: Waiting<oneshot::Sender<Decision>>, detail: &str) {
        let throughput = self.speed.throughput(self.bounds.running);
        let wait = throughput.map_or(0.0, |throughput| waiting.cost / throughput.speed);
        // Sending fails if the caller is gone, and then nobody waits for the decision.
        let _ = waiting.item.send(Err(refusal(detail, wait)));
    }
}

/// Builds the refusal of a request that did not run; `seconds` is the estimated wait.
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
    /// Waits until a request may run.
    ///
    /// # Errors
    /// The request cannot finish by its deadline, the queue is full or no server is ready; the
    /// request did not run.
    pub async fn admit(&self, pool: &Pool, request: QueueRequest<'_>) -> Result<Permit, Refusal> {
        let pool_queue = self.pool_queue(pool);
        let (number, decision) = pool_queue.state.lock().enqueue(&request, Instant::now())?;
        let mut waiter = Waiter {
            pool_queue,
            number,
            decision,
            decided: false,
        };
        let decision = tokio::time::timeout_at(request.deadline.into(), &mut waiter.decision).await;
        let Ok(Ok(decision)) = decision else {
            return Err(refusal("the deadline passed in the queue", 1.0));
        };
        waiter.decided = true;
        let preempt = decision?;
        if request.class == PriorityClass::Rollout {
            let mut state = waiter.pool_queue.state.lock();
            state.preemptible.push(Arc::clone(&preempt));
        }
        Ok(Permit {
            pool_queue: Arc::clone(&waiter.pool_queue),
            tenant: request.tenant.clone(),
            class: request.class,
            cost: request.cost,
            since: Instant::now(),
            used: 0.0,
            preempt,
        })
    }

    fn pool_queue(&self, pool: &Pool) -> Arc<PoolQueue> {
        let mut pools = self.pools.lock();
        if let Some(pool_queue) = pools.get(pool) {
            return Arc::clone(pool_queue);
        }
        Arc::clone(pools.entry(pool.clone()).or_default())
    }

    /// Sets a pool's limits and refuses waiting requests that can no longer finish in time.
    pub fn refresh(&self, pool: &Pool, bounds: Bounds, now: Instant) {
        let pool_queue = self.pool_queue(pool);
        let mut state = pool_queue.state.lock();
        state.bounds = bounds;
        state.queue.set_policy(bounds.queue);
        state.dispatch();
        let Some(throughput) = state.throughput() else {
            return;
        };
        for infeasible in state.queue.remove_infeasible(throughput, now) {
            state.refuse(
                infeasible,
                "the answer would come after the request's deadline",
            );
        }
    }

    /// Whether a pool admits no requests, as when it has no servers.
    #[must_use]
    pub fn is_closed(&self, pool: &Pool) -> bool {
        self.pool_queue(pool).state.lock().bounds.running == 0
    }

    /// The number of running requests of a pool.
    #[must_use]
    pub fn running(&self, pool: &Pool) -> u32 {
        self.pool_queue(pool).state.lock().running
    }

    /// The number of waiting requests of all pools.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let pools = self.pools.lock();
        pools
            .values()
            .map(|pool_queue| pool_queue.state.lock().queue.len())
            .sum()
    }
}

#[cfg(test)]
mod tests;
