//! The operators' manifest: its contents, parsing and checks.

mod parse;

use std::collections::BTreeMap;

use crate::checked::{self, Field, Findings};
use crate::names::{Model, Pool, Tenant, Zone};

/// A parsed and checked manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    /// The revision that this manifest replaces; 0 for the first manifest.
    pub base: u64,
    /// Limits of requests and queues.
    pub limits: Limits,
    /// Selected policies.
    pub policy: Policy,
    /// Limits on loading weights.
    pub weights: WeightLimits,
    /// Length of a usage window in seconds.
    pub window: u64,
    /// The service-level objective.
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

/// Limits of requests and queues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body: usize,
    /// Largest total size of header names and values in bytes.
    pub headers: usize,
    /// Timeout for receiving a request body, in milliseconds.
    pub upload: u64,
    /// Timeout of a request to a model engine, in milliseconds.
    pub request: u64,
    /// Idle timeout between chunks of an engine's stream, in milliseconds.
    pub idle: u64,
    /// Largest number of requests queued in one entry.
    pub queue: usize,
    /// Milliseconds for which callers may use a response of `/v1/addresses`.
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

/// The service-level objective and the ranges over which its burn rate is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Bad requests allowed per million requests.
    pub bad: u64,
    /// Milliseconds to the first part of the response above which a request is slow.
    pub first: u64,
    /// Length of the short range in seconds.
    pub short: u64,
    /// Length of the long range in seconds.
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

/// Selected policies; each has its simplest variant as a baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// How a backend server is selected.
    pub choice: ChoicePolicy,
    /// How waiting requests are ordered.
    pub queue: QueuePolicy,
    /// How the samples of a round are ordered and carried over.
    pub rounds: RoundPolicy,
    /// When a request that cannot run in time is refused.
    pub refusal: RefusalPolicy,
    /// How retries are limited.
    pub retries: RetryPolicy,
    /// Whether failing backend servers are ejected.
    pub ejection: EjectionPolicy,
    /// How requests that crash backend servers are handled.
    pub poison: PoisonPolicy,
    /// Backend servers of each pool that one entry uses; 0 for all.
    pub subset: usize,
}

/// How the samples of a round are ordered and carried over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoundPolicy {
    /// Long samples and the last samples of groups first; partial samples are carried over.
    #[default]
    Stragglers,
    /// Groups in order; an interrupted sample is restarted from the beginning.
    Ordered,
}

/// When a request that cannot run in time is refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RefusalPolicy {
    /// As soon as its response is not expected before its deadline.
    #[default]
    Early,
    /// Only when the queue is full or the deadline has passed.
    Late,
}

/// How retries are limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Retries are limited to a small share of first attempts.
    #[default]
    Budget,
    /// The retries of each request are limited, but not their total.
    Unlimited,
}

/// Whether failing backend servers are ejected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EjectionPolicy {
    /// Failing servers are ejected and return gradually.
    #[default]
    Slow,
    /// Failing servers keep receiving requests.
    Never,
}

/// How requests that crash backend servers are handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PoisonPolicy {
    /// Such requests run isolated from others and are then refused.
    #[default]
    Contain,
    /// Such requests run like all others.
    Ignore,
}

/// How a backend server is selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// Prefix affinity weighed against load.
    #[default]
    Affinity,
    /// The server with the fewest requests in flight from this entry.
    Least,
    /// All servers in turn.
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

/// Limits on loading weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLimits {
    /// Concurrent loads from the weight store.
    pub loads: usize,
    /// Share of a pool's engines that must keep serving during loads, in percent.
    pub keep: u64,
}

impl Default for WeightLimits {
    fn default() -> Self {
        Self { loads: 4, keep: 60 }
    }
}

/// A tenant's share and rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSpec {
    /// Weight in fair queueing, relative to other tenants.
    pub weight: u64,
    /// Rate limit in tokens per second over all entries; 0 for no limit.
    pub rate: u64,
}

/// The kind of a pool's backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Service,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The kind of the pool's servers.
    pub kind: PoolKind,
    /// Whether the pool's servers refuse orders with an old fencing token.
    pub fenced: bool,
    /// Availability zones in which servers may be ordered.
    pub zones: Vec<Zone>,
    /// Smallest number of servers.
    pub min: u64,
    /// Largest number of servers.
    pub max: u64,
    /// Largest share of cheap servers in percent.
    pub cheap: u64,
    /// Concurrent requests of one server.
    pub slots: u64,
}

/// A model and the weight version to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The pool that serves the model.
    pub pool: Pool,
    /// The weight version that the pool's servers should hold.
    pub version: u64,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Path prefix, such as `/orders`.
    pub path: String,
    /// The pool that serves the route.
    pub pool: Pool,
    /// Whether callers without an API key may use the route.
    pub open: bool,
    /// Whether calls of the route may be repeated.
    pub repeatable: bool,
    /// Timeout of a call in milliseconds.
    pub timeout: u64,
    /// Milliseconds for which the response to a call with an idempotency key is kept.
    pub keep: u64,
}

impl Manifest {
    /// Parses and checks a manifest.
    ///
    /// # Errors
    /// Returns all findings with line and column.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        checked::read(text, parse::manifest)
    }

    /// Lists the fields that a manifest may have.
    #[must_use]
    pub fn fields() -> Vec<Field> {
        checked::fields(parse::manifest)
    }

    /// The route whose path is the longest prefix of `path` that ends at a segment boundary.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&RouteSpec> {
        self.routes.iter().find(|route| {
            path.strip_prefix(route.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}
