//! The configuration in force: routes, services and tenants, decoded and indexed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    Once,
    /// A stream of events; it may go on at another backend server if `resumable`.
    Stream {
        /// Whether a run may go on after the last event that arrived.
        resumable: bool,
    },
    /// Rollout jobs.
    Rollout,
}

/// A route: requests of a host under a path prefix, and the services that take them.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Handling,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full credit.
    pub objective: Duration,
    /// Backend servers that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a sample may hold tokens of one weight version only.
    pub single_version: bool,
    /// Time from a job's submission until its samples may be given up.
    pub retention: Duration,
    /// Services with their weights; at least one.
    pub targets: Vec<(String, u32)>,
}

/// The engine of a service's backend servers.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Names of the models that it serves.
    pub models: Vec<String>,
}

/// How many backend servers may be ordered for a service.
#[derive(Clone, Debug)]
pub struct Scaling {
    /// Most in each availability zone.
    pub max: u32,
    /// Price of a server's second, by availability zone.
    pub prices: BTreeMap<String, f64>,
}

/// A service and what its backend servers are.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that one backend server accepts from all callers together.
    pub connections: usize,
    /// The engine, where the service generates tokens.
    pub engine: Option<Engine>,
    /// Limits on the number of backend servers, where they may be ordered.
    pub scaling: Option<Scaling>,
    /// Requests a second that a backend server bears while it warms up, if that is bounded.
    pub warmup: Option<f64>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Version; a later one is higher.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Tenants' names by key; none if requests need no key.
    pub keys: Option<HashMap<String, Rc<str>>>,
    /// Limits on callers.
    pub limits: Limits,
}

impl Deployment {
    /// The route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let fits = |route: &&Rc<Route>| route.host == host && path.starts_with(&route.prefix);
        let routes = self.routes.iter().filter(fits);
        routes.max_by_key(|route| route.prefix.len())
    }

    /// Whether a service that any route names generates tokens for `model`.
    #[must_use]
    pub fn service_of(&self, model: &str) -> Option<&str> {
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
    /// The service for a request, by a number drawn from `0..1`.
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
