//! The operators' manifest: what it may say and how it is checked.

mod parse;

use std::collections::BTreeMap;

use crate::checked::{self, Field, Findings};
use crate::names::{Model, Pool, Tenant, Zone};

/// A checked manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    /// The revision that it replaces; 0 for the first.
    pub base: u64,
    /// Limits of each request.
    pub limits: Limits,
    /// Choices between policies.
    pub policy: Policy,
    /// How weights are loaded.
    pub weights: WeightLimits,
    /// Length of a usage window in seconds.
    pub window: u64,
    /// What requests are judged by.
    pub objective: Objective,
    /// Tenants by name.
    pub tenants: BTreeMap<Tenant, TenantSpec>,
    /// Pools by name.
    pub pools: BTreeMap<Pool, PoolSpec>,
    /// Models by name.
    pub models: BTreeMap<Model, ModelSpec>,
    /// Routes to plain services, longest path first.
    pub routes: Vec<RouteSpec>,
}

/// Limits of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body: usize,
    /// Largest sum of header names and values in bytes.
    pub headers: usize,
    /// Milliseconds in which a request's body must arrive.
    pub upload: u64,
    /// Milliseconds that a request to a model engine may take.
    pub request: u64,
    /// Milliseconds without a chunk after which an engine's stream counts as broken.
    pub idle: u64,
    /// Requests that may wait in one entry.
    pub queue: usize,
    /// Milliseconds for which an address answer holds.
    pub address: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            headers: 16 << 10,
            upload: 10_000,
            request: 120_000,
            idle: 10_000,
            queue: 1_000,
            address: 5_000,
        }
    }
}

/// What requests are judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Bad requests allowed in a million.
    pub bad: u64,
    /// Milliseconds to the first answer after which a request is slow.
    pub first: u64,
    /// Seconds of the short range.
    pub short: u64,
    /// Seconds of the long range.
    pub long: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            bad: 1_000,
            first: 2_000,
            short: 300,
            long: 3_600,
        }
    }
}

/// Choices between policies; each has its simplest form as a baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// How a backend server is chosen.
    pub choice: ChoicePolicy,
    /// How waiting requests are ordered.
    pub queue: QueuePolicy,
    /// How the samples of a round are ordered and carried over.
    pub rounds: RoundPolicy,
    /// When a request that cannot run in time is refused.
    pub refusal: RefusalPolicy,
    /// How many attempts are made beyond the first ones.
    pub retries: RetryPolicy,
    /// What becomes of failing backend servers.
    pub ejection: EjectionPolicy,
    /// What becomes of requests that crash backend servers.
    pub poison: PoisonPolicy,
    /// Backend servers of a pool that one entry works with; 0 for all.
    pub subset: usize,
}

/// How the samples of a round are ordered and carried over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoundPolicy {
    /// Long samples and the last ones of groups first; parts are carried over.
    #[default]
    Stragglers,
    /// Groups in order; a sample that broke off is made again from the start.
    Ordered,
}

/// When a request that cannot run in time is refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RefusalPolicy {
    /// As soon as its answer would come after its deadline.
    #[default]
    Early,
    /// Only when the queue is full or the deadline has passed.
    Late,
}

/// How many attempts are made beyond the first ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A small share of the first ones.
    #[default]
    Budget,
    /// As many as each request may make.
    Unlimited,
}

/// What becomes of failing backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EjectionPolicy {
    /// They are left out and return slowly.
    #[default]
    Slow,
    /// They keep getting work.
    Never,
}

/// What becomes of requests that crash backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PoisonPolicy {
    /// They run alone and are then refused.
    #[default]
    Contain,
    /// They run like all others.
    Ignore,
}

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// Prefix affinity weighed against load.
    #[default]
    Affinity,
    /// Fewest own requests in flight.
    Least,
    /// Each server in turn.
    RoundRobin,
}

/// How waiting requests are ordered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueuePolicy {
    /// Weighted fair queueing over tenants.
    #[default]
    Fair,
    /// First come, first served.
    Fifo,
}

/// How weights are loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLimits {
    /// Loads that the weight store serves at a time.
    pub loads: usize,
    /// Share of a pool's engines that must go on serving, in percent.
    pub keep: u64,
}

impl Default for WeightLimits {
    fn default() -> Self {
        Self { loads: 4, keep: 60 }
    }
}

/// One tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSpec {
    /// Share relative to other tenants.
    pub weight: u64,
    /// Tokens a second over all entries; 0 for no limit.
    pub rate: u64,
}

/// What the backend servers of a pool are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Service,
}

/// One pool of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// What its servers are.
    pub kind: PoolKind,
    /// Whether its servers refuse orders with an old fencing number.
    pub fenced: bool,
    /// Availability zones in which servers may be ordered.
    pub zones: Vec<Zone>,
    /// Fewest servers.
    pub min: u64,
    /// Most servers.
    pub max: u64,
    /// Largest share of cheap servers in percent.
    pub cheap: u64,
    /// Requests that one server runs at a time.
    pub slots: u64,
}

/// One model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The pool that serves it.
    pub pool: Pool,
    /// The weight version that its servers should hold.
    pub version: u64,
}

/// One route to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Path prefix, such as `/orders`.
    pub path: String,
    /// The pool that serves it.
    pub pool: Pool,
    /// Whether callers without a key may use it.
    pub open: bool,
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// Milliseconds that a call may take.
    pub timeout: u64,
    /// Milliseconds for which the answer to a call with an idempotency key is kept.
    pub keep: u64,
}

impl Manifest {
    /// Parses and checks a manifest.
    ///
    /// # Errors
    /// All findings with their place.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        checked::read(text, parse::manifest)
    }

    /// The fields that a manifest may have.
    #[must_use]
    pub fn fields() -> Vec<Field> {
        checked::fields(parse::manifest)
    }

    /// The route with the longest path that `path` falls under.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&RouteSpec> {
        self.routes.iter().find(|route| {
            path.strip_prefix(route.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}
