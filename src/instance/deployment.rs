//! The decoded configuration that is in force: routes, services and tenants.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Limit on a request head, in bytes, if the configuration sets none.
pub const HEADER_BYTES_DEFAULT: usize = 16_384;
/// Timeout of a request head if the configuration sets none.
pub const HEADER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);
/// Limit on a request body, in bytes, before the first configuration is known.
const BODY_BYTES_DEFAULT: usize = 1 << 20;
/// Idle timeout of a connection before the first configuration is known.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// How requests of a route are handled, and whether they may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once per attempt of the caller.
    Once,
    /// Streams of events, which another backend server may continue if `resumable`.
    Stream {
        /// Whether a broken stream may resume after the last event received.
        resumable: bool,
    },
    /// Rollout jobs.
    Rollout,
}

/// Maps requests for a host and path prefix to the services that handle them.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// How requests are handled, and whether they may be retried.
    pub kind: RequestKind,
    /// Upper limit on the time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency objective: an answer within this time gets full credit.
    pub latency_objective: Duration,
    /// Maximum number of backend servers tried for one attempt of a caller.
    pub attempts: u32,
    /// Whether requests are accepted without an API key.
    pub keyless: bool,
    /// Whether all tokens of a sample must come from one weight version.
    pub single_version: bool,
    /// Time from a job's submission until its trainer needs the results, if the route states it.
    pub result_due: Option<Duration>,
    /// Time from a job's submission until its samples may be abandoned.
    pub retention: Duration,
    /// Services and their weights in the random choice; at least one.
    pub targets: Vec<(String, u32)>,
}

/// The inference engine that a service's backend servers run.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Names of the models that the engine serves.
    pub models: Vec<String>,
}

/// Limits and prices for scaling a service.
#[derive(Clone, Debug)]
pub struct Scaling {
    /// Maximum number of backend servers per availability zone.
    pub max_servers: u32,
    /// Price of a server per second, by availability zone.
    pub prices: BTreeMap<String, f64>,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that one backend server accepts from all instances together.
    pub connections: usize,
    /// The inference engine; none if the service generates no tokens.
    pub engine: Option<Engine>,
    /// Scaling limits; none if the number of servers is fixed.
    pub scaling: Option<Scaling>,
    /// Requests per second that a backend server can take while it warms up, if limited.
    pub warmup_rate: Option<f64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Time within which a request head must arrive, from its first byte on.
    pub header_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits before the first configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: HEADER_BYTES_DEFAULT,
            header_timeout: HEADER_TIMEOUT_DEFAULT,
            body_bytes: BODY_BYTES_DEFAULT,
            idle_timeout: IDLE_TIMEOUT_DEFAULT,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Version number, which grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Tenants' names by API key; none if requests need no key.
    pub keys: Option<HashMap<String, Rc<str>>>,
    /// Limits on callers.
    pub limits: Limits,
}

impl Deployment {
    /// The route of the host with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let matches = |route: &&Rc<Route>| route.host == host && path.starts_with(&route.prefix);
        let routes = self.routes.iter().filter(matches);
        routes.max_by_key(|route| route.prefix.len())
    }

    /// Name of the first service whose engine serves `model`.
    #[must_use]
    pub fn service_for_model(&self, model: &str) -> Option<&str> {
        let serves = |service: &Service| {
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| engine.models.iter().any(|name| name == model))
        };
        let mut services = self.services.iter();
        services
            .find(|(_, service)| serves(service))
            .map(|(name, _)| name.as_str())
    }
}

impl Route {
    /// Whether requests of the route may go to a service.
    #[must_use]
    pub fn has_target(&self, service: &str) -> bool {
        self.targets.iter().any(|(target, _)| target == service)
    }

    /// Picks a service at random by weight, given a random number `draw` in `0..1`.
    #[must_use]
    pub fn target(&self, draw: f64) -> &str {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.targets {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        self.targets.last().map_or("", |(service, _)| service)
    }
}
