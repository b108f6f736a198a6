//! Weighted fair queueing over tenants, which orders the waiting requests of a pool.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::manifest::QueuePolicy;
use crate::names::Tenant;

/// Factor by which the estimated wait and run must exceed the time left before a waiting request
/// is removed, since the wait is only an estimate.
const OVERRUN_FACTOR: f64 = 1.5;

/// The priority class of a request. A request runs only if none of an earlier class waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PriorityClass {
    /// A request of a caller that waits for the answer.
    Live,
    /// A sample of a rollout round, which may wait.
    Rollout,
}

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// The tenant that sent the request.
    pub tenant: &'a Tenant,
    /// The tenant's weight in fair queueing.
    pub weight: f64,
    /// The priority class.
    pub class: PriorityClass,
    /// Expected cost in tokens.
    pub cost: f64,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// A waiting request.
#[derive(Debug)]
pub struct Waiting<T> {
    /// The request's number, in order of arrival, by which it can be removed.
    pub number: u64,
    /// Expected cost in tokens.
    pub cost: f64,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// The value that was passed to [`FairQueue::push`].
    pub item: T,
    /// Virtual time at which the request's turn begins.
    start_tag: f64,
}

/// The waiting requests of one tenant in one class.
#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Sum of the costs of waiting requests.
    backlog: f64,
    /// Earliest virtual start time of the tenant's next request.
    finish_tag: f64,
    waiting: VecDeque<Waiting<T>>,
}

type Flows<T> = BTreeMap<(PriorityClass, Tenant), Flow<T>>;

/// A queue by priority class and, within a class, by start-time fair queueing over tenants.
///
/// A request's cost is its number of tokens. With [`QueuePolicy::Fifo`], requests run in order of
/// arrival.
#[derive(Debug)]
pub struct FairQueue<T> {
    policy: QueuePolicy,
    flows: Flows<T>,
    /// Largest start tag of the requests taken to run.
    virtual_time: f64,
    /// Number of the latest request that was added.
    number: u64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            policy: QueuePolicy::default(),
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            number: 0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether a request of `class` or of an earlier class waits.
    #[must_use]
    pub fn has_waiting(&self, class: PriorityClass) -> bool {
        let mut flows = self.flows.iter();
        flows.any(|((flow_class, _), flow)| *flow_class <= class && !flow.waiting.is_empty())
    }

    /// Sets the queueing policy. Requests that wait keep their class and start tag.
    pub fn set_policy(&mut self, policy: QueuePolicy) {
        self.policy = policy;
    }

    /// Adds a request and returns its number. `item` is returned with the request.
    pub fn push(&mut self, request: &QueueRequest<'_>, item: T) -> u64 {
        self.number += 1;
        let class = self.effective_class(request);
        let start_tag = self.start_tag(request);
        let key = (class, request.tenant.clone());
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            weight: request.weight,
            backlog: 0.0,
            finish_tag: 0.0,
            waiting: VecDeque::new(),
        });
        flow.weight = request.weight;
        flow.finish_tag = start_tag + request.cost / request.weight;
        flow.backlog += request.cost;
        flow.waiting.push_back(Waiting {
            number: self.number,
            cost: request.cost,
            deadline: request.deadline,
            item,
            start_tag,
        });
        self.len += 1;
        self.number
    }

    /// Returns the class to queue a request under; FIFO puts all requests into one class.
    fn effective_class(&self, request: &QueueRequest<'_>) -> PriorityClass {
        match self.policy {
            QueuePolicy::Fair => request.class,
            QueuePolicy::Fifo => PriorityClass::Live,
        }
    }

    /// Returns the virtual start time of a request that is added now.
    fn start_tag(&self, request: &QueueRequest<'_>) -> f64 {
        let flow = self.flow(self.effective_class(request), request.tenant);
        flow.map_or(self.virtual_time, |flow| {
            flow.finish_tag.max(self.virtual_time)
        })
    }

    fn flow(&self, class: PriorityClass, tenant: &Tenant) -> Option<&Flow<T>> {
        self.flows.get(&(class, tenant.clone()))
    }

    /// Returns the tokens that would run before a request that is added now.
    #[must_use]
    pub fn tokens_ahead(&self, request: &QueueRequest<'_>) -> f64 {
        self.tokens_before(self.effective_class(request), self.start_tag(request))
    }

    /// Returns the tokens that run before a request of `class` with start tag `start_tag`.
    ///
    /// With [`QueuePolicy::Fifo`], all waiting requests count, as for a request that is added now.
    fn tokens_before(&self, class: PriorityClass, start_tag: f64) -> f64 {
        let mut tokens = 0.0;
        for ((flow_class, _), flow) in &self.flows {
            let Some(head) = flow.waiting.front() else {
                continue;
            };
            tokens += match (self.policy, flow_class.cmp(&class)) {
                (QueuePolicy::Fifo, _) | (_, Ordering::Less) => flow.backlog,
                (_, Ordering::Greater) => 0.0,
                (_, Ordering::Equal) => {
                    // A request runs to its end, so the head counts in full once its turn begins.
                    let served = (start_tag - head.start_tag) * flow.weight;
                    let begun = if served > 0.0 { head.cost } else { 0.0 };
                    served.max(begun).min(flow.backlog)
                }
            };
        }
        tokens
    }

    /// Removes and returns the request that runs next.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        let key = self.next_flow()?;
        let flow = self.flows.get_mut(&key)?;
        let next = flow.waiting.pop_front()?;
        flow.backlog -= next.cost;
        self.virtual_time = self.virtual_time.max(next.start_tag);
        self.len -= 1;
        self.remove_idle();
        Some(next)
    }

    fn next_flow(&self) -> Option<(PriorityClass, Tenant)> {
        let heads = self
            .flows
            .iter()
            .filter_map(|(key, flow)| Some((key, flow.waiting.front()?)));
        let next = heads.min_by(|(a, head_a), (b, head_b)| match self.policy {
            QueuePolicy::Fifo => head_a.number.cmp(&head_b.number),
            QueuePolicy::Fair => {
                let by_start = head_a.start_tag.total_cmp(&head_b.start_tag);
                let by_number = head_a.number.cmp(&head_b.number);
                a.0.cmp(&b.0).then(by_start).then(by_number)
            }
        });
        next.map(|(key, _)| key.clone())
    }

    /// Removes flows without waiting requests whose finish tag has passed, so that idle tenants
    /// take no memory.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.finish_tag > virtual_time);
    }

    /// Corrects a tenant's account after a request has run.
    ///
    /// `excess` is the tokens used beyond the expected cost; if negative, the tenant is credited.
    pub fn settle(&mut self, class: PriorityClass, tenant: &Tenant, excess: f64) {
        if let Some(flow) = self.flows.get_mut(&(class, tenant.clone())) {
            flow.finish_tag += excess / flow.weight;
        }
    }

    /// Removes a waiting request by its number and credits its tenant with the cost.
    pub fn remove(&mut self, number: u64) -> Option<Waiting<T>> {
        for flow in self.flows.values_mut() {
            let found = flow
                .waiting
                .iter()
                .position(|waiting| waiting.number == number);
            if let Some(removed) = found.and_then(|place| flow.waiting.remove(place)) {
                flow.backlog -= removed.cost;
                flow.finish_tag -= removed.cost / flow.weight;
                self.len -= 1;
                return Some(removed);
            }
        }
        None
    }

    /// Makes room for `request` in a full queue.
    ///
    /// In the latest class that has waiting requests, removes the last request of the tenant with
    /// the largest backlog for its weight. Removes nothing if that class is earlier than the new
    /// request's, or if it is the same and the new request's tenant would have at least that
    /// backlog. With [`QueuePolicy::Fifo`], removes nothing.
    pub fn displace(&mut self, request: &QueueRequest<'_>) -> Option<Waiting<T>> {
        if self.policy == QueuePolicy::Fifo {
            return None;
        }
        let weighted_backlog = |flow: &Flow<T>| flow.backlog / flow.weight;
        let own = self.flow(request.class, request.tenant);
        let own = own.map_or(0.0, weighted_backlog) + request.cost / request.weight;
        let largest = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .max_by(|(a, flow_a), (b, flow_b)| {
                a.0.cmp(&b.0)
                    .then(weighted_backlog(flow_a).total_cmp(&weighted_backlog(flow_b)))
            });
        let (key, flow) = largest?;
        let later_class = key.0 > request.class;
        if key.0 < request.class || (!later_class && weighted_backlog(flow) <= own) {
            return None;
        }
        let number = flow.waiting.back()?.number;
        self.remove(number)
    }

    /// Removes and returns the requests that are not expected to finish by their deadline.
    ///
    /// Such a request would run for longer than the time left, or its wait and run together would
    /// exceed the time left by `OVERRUN_FACTOR`.
    pub fn remove_infeasible(&mut self, throughput: Throughput, now: Instant) -> Vec<Waiting<T>> {
        let mut infeasible = Vec::new();
        for ((class, _), flow) in &self.flows {
            for waiting in &flow.waiting {
                let run = waiting.cost / throughput.speed;
                let wait = self.tokens_before(*class, waiting.start_tag) / throughput.rate;
                let left = waiting
                    .deadline
                    .saturating_duration_since(now)
                    .as_secs_f64();
                if run > left || wait + run > left * OVERRUN_FACTOR {
                    infeasible.push(waiting.number);
                }
            }
        }
        infeasible
            .into_iter()
            .filter_map(|n| self.remove(n))
            .collect()
    }
}

/// The observed throughput of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Tokens per second of one running request.
    pub speed: f64,
    /// Tokens per second of all running requests together.
    pub rate: f64,
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    const COST: f64 = 10.0;

    fn request(tenant: &Tenant, weight: f64, class: PriorityClass) -> QueueRequest<'_> {
        QueueRequest {
            tenant,
            weight,
            class,
            cost: COST,
            deadline: Instant::now() + Duration::from_secs(60),
        }
    }

    fn order(queue: &mut FairQueue<char>, count: usize) -> String {
        (0..count)
            .filter_map(|_| queue.pop())
            .map(|waiting| waiting.item)
            .collect()
    }

    #[test]
    fn pop_shares_by_weight() {
        let (heavy, light) = (Tenant::from("heavy"), Tenant::from("light"));
        let mut queue = FairQueue::default();
        for _ in 0..40 {
            queue.push(&request(&light, 1.0, PriorityClass::Live), 'l');
        }
        for _ in 0..40 {
            queue.push(&request(&heavy, 3.0, PriorityClass::Live), 'h');
        }
        let first = order(&mut queue, 40);
        assert_eq!(first.matches('h').count(), 30, "{first}");
    }

    #[test]
    fn pop_serves_newcomer_before_backlog() {
        let (flood, small) = (Tenant::from("flood"), Tenant::from("small"));
        let mut queue = FairQueue::default();
        for _ in 0..100 {
            queue.push(&request(&flood, 1.0, PriorityClass::Live), 'f');
        }
        order(&mut queue, 10);
        queue.push(&request(&small, 1.0, PriorityClass::Live), 's');
        assert!(queue.tokens_ahead(&request(&flood, 1.0, PriorityClass::Live)) > 80.0 * COST);
        assert!(order(&mut queue, 2).contains('s'));
    }

    #[test]
    fn pop_runs_live_before_rollout() {
        let tenant = Tenant::from("t");
        let mut queue = FairQueue::default();
        queue.push(&request(&tenant, 1.0, PriorityClass::Rollout), 'r');
        queue.push(&request(&tenant, 1.0, PriorityClass::Live), 'l');
        assert_eq!(order(&mut queue, 2), "lr");
    }

    #[test]
    fn pop_keeps_arrival_order_when_fifo() {
        let (a, b) = (Tenant::from("a"), Tenant::from("b"));
        let mut queue = FairQueue::default();
        queue.set_policy(QueuePolicy::Fifo);
        for item in ['1', '2', '3'] {
            queue.push(&request(&a, 1.0, PriorityClass::Rollout), item);
        }
        queue.push(&request(&b, 9.0, PriorityClass::Live), '4');
        assert_eq!(order(&mut queue, 4), "1234");
    }

    #[test]
    fn displace_removes_from_largest_backlog() {
        let (flood, small) = (Tenant::from("flood"), Tenant::from("small"));
        let mut queue = FairQueue::default();
        for _ in 0..5 {
            queue.push(&request(&flood, 1.0, PriorityClass::Live), 'f');
        }
        assert!(
            queue
                .displace(&request(&flood, 1.0, PriorityClass::Live))
                .is_none()
        );
        let displaced = queue.displace(&request(&small, 1.0, PriorityClass::Live));
        assert_eq!(displaced.map(|waiting| waiting.number), Some(5));
        assert_eq!(queue.len(), 4);
    }

    #[test]
    fn remove_infeasible_keeps_requests_that_can_finish() {
        let tenant = Tenant::from("t");
        let mut queue = FairQueue::default();
        let now = Instant::now();
        let mut late = request(&tenant, 1.0, PriorityClass::Live);
        late.deadline = now + Duration::from_millis(500);
        queue.push(&request(&tenant, 1.0, PriorityClass::Live), 'a');
        queue.push(&late, 'b');
        let throughput = Throughput {
            speed: COST,
            rate: COST,
        };
        let infeasible = queue.remove_infeasible(throughput, now);
        let items: String = infeasible.iter().map(|waiting| waiting.item).collect();
        assert_eq!(items, "b");
        assert_eq!(queue.len(), 1);
    }
}
