//! Reports where a request would go now, and why, without sending it.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::Shared;
use super::contact::Contact;
use super::deployment::{RequestKind, Route};
use super::fleet::Exclusion;
use super::interfaces::Backend;
use crate::boot::Boot;
use crate::ledger::record::Subject;
use crate::relay::choose::{Candidate, Link, choose};
use crate::relay::zone::{Destination, ServiceZones};
use crate::util::millis;

/// Where a request would go.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RouteReport {
    /// Name of the instance that reports.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the instance is ready for requests; if not, it refuses most.
    pub ready: bool,
    /// Milliseconds since the configuration, the registry and the ledger were read to their ends.
    pub ages: BTreeMap<String, Option<u64>>,
    /// Name of the route, if one matches.
    pub route: Option<String>,
    /// Whether the request is a batch job, whose items the leader of the service starts.
    pub job: bool,
    /// Services that the route may pick.
    pub services: Vec<ServiceReport>,
}

/// One service that a route may pick.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub name: String,
    /// Weight in the route's random pick.
    pub weight: u32,
    /// Process that leads the service, if any; `own` if it is this one.
    pub leader: Option<String>,
    /// What is measured of each zone.
    pub zones: Vec<ZoneReport>,
    /// All registered servers of the service.
    pub servers: Vec<ServerReport>,
    /// The choice for each destination; empty for batch jobs and if no server is left.
    pub choices: Vec<Choice>,
}

/// What is known of a zone's servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub name: String,
    /// Share of the requests that leaves to the zone.
    pub share: f64,
    /// Mean response time, in latency objectives.
    pub time: Option<f64>,
    /// Share of the attempts that were refused.
    pub refused: Option<f64>,
    /// Milliseconds since the latest attempt.
    pub age: Option<u64>,
}

/// A backend server and the terms of its cost.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerReport {
    /// The server's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Why the server gets no new request now, if so.
    pub excluded: Option<String>,
    /// Requests of this instance in flight there.
    pub running: usize,
    /// Concurrent requests that the server takes.
    pub slots: usize,
    /// Mean cost of the zone, as a fraction of the slots.
    pub cost: f64,
    /// Whether the server failed recently.
    pub suspect: bool,
    /// Whether an idle connection is open.
    pub connected: bool,
}

/// A server that would be chosen.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Choice {
    /// Share of the requests with this destination.
    pub share: f64,
    /// Zone of the destination.
    pub zone: String,
    /// The server, or one of those with the same cost.
    pub server: String,
}

/// Reports where a request with this host and path would go; changes nothing.
#[must_use]
pub fn report(shared: &Shared, host: &str, path: &str) -> RouteReport {
    let now = Boot::now();
    let deployment = shared.deployment();
    let route = deployment
        .as_ref()
        .and_then(|known| known.route(host, path));
    let is_job = route.is_some_and(|route| route.kind == RequestKind::Rollout);
    let services = route.map_or_else(Vec::new, |route| services(shared, route, now));
    let contacts = shared.contacts.borrow();
    let age = |contact: Contact| contact.last_read.map(|read| millis(now.since(read)));
    RouteReport {
        instance: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        ready: shared.is_ready(now),
        ages: [
            ("configuration", age(contacts.operator)),
            ("servers", age(contacts.servers)),
            ("ledger", age(contacts.ledger)),
        ]
        .map(|(name, age)| (name.to_owned(), age))
        .into(),
        route: route.map(|route| route.name.clone()),
        job: is_job,
        services,
    }
}

fn services(shared: &Shared, route: &Route, now: Boot) -> Vec<ServiceReport> {
    let is_job = route.kind == RequestKind::Rollout;
    let targets = route.targets.iter();
    targets
        .map(|(service, weight)| service_report(shared, service, *weight, is_job, now))
        .collect()
}

fn service_report(
    shared: &Shared,
    service: &str,
    weight: u32,
    is_job: bool,
    now: Boot,
) -> ServiceReport {
    let fleet = shared.fleet.borrow();
    let mut usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
    shared.exclude_warming(service, &mut usable, now);
    let warm: HashSet<&str> = usable.iter().map(|backend| backend.id.as_str()).collect();
    usable.retain(|backend| shared.has_permit(backend));
    let zones = current_zones(shared, service, &usable, now);
    let home = shared.settings.zone.as_str();
    let server = |(backend, exclusion): (&Rc<Backend>, Option<Exclusion>)| {
        let left = usable.iter().any(|left| left.id == backend.id);
        let excluded = match exclusion {
            Some(exclusion) => Some(exclusion.to_string()),
            None if !warm.contains(backend.id.as_str()) => Some("warming up".to_owned()),
            None => (!left).then(|| "limited".to_owned()),
        };
        let candidate = shared.candidate(backend, &HashSet::new(), Destination::Home, now);
        server_report(
            backend,
            &candidate,
            excluded,
            zones.mean_cost(home, &backend.zone),
        )
    };
    ServiceReport {
        name: service.to_owned(),
        weight,
        leader: leader(shared, service),
        zones: zone_reports(&zones, now),
        servers: fleet.of_service(service, now).map(server).collect(),
        choices: if is_job {
            Vec::new()
        } else {
            choices(shared, &usable, &zones, now)
        },
    }
}

/// The zones of a service as the next request would find them.
fn current_zones(
    shared: &Shared,
    service: &str,
    usable: &[&Rc<Backend>],
    now: Boot,
) -> ServiceZones {
    let known = shared.zones.borrow().get(service).cloned();
    let mut zones = known.unwrap_or_default();
    if zones.is_due(now) {
        let slots = super::zones::slots(usable);
        zones.update(&shared.settings.zone, &slots, now);
    }
    zones
}

fn leader(shared: &Shared, service: &str) -> Option<String> {
    let subject = Subject::Service(service.to_owned());
    if shared.holds_lease(&subject) {
        return Some("own".to_owned());
    }
    let ledger = shared.ledger.borrow();
    let lease = ledger.leases.get(&subject).filter(|lease| !lease.released);
    lease.map(|lease| lease.incarnation.to_string())
}

fn zone_reports(zones: &ServiceZones, now: Boot) -> Vec<ZoneReport> {
    let report =
        |(name, share, measured): (&str, f64, Option<crate::relay::zone::Measured>)| ZoneReport {
            name: name.to_owned(),
            share,
            time: measured.map(|measured| measured.time),
            refused: measured.map(|measured| measured.refused),
            age: measured.map(|measured| millis(measured.age)),
        };
    zones.zones(now).map(report).collect()
}

fn server_report(
    backend: &Backend,
    candidate: &Candidate,
    excluded: Option<String>,
    cost: f64,
) -> ServerReport {
    ServerReport {
        id: backend.id.clone(),
        zone: backend.zone.clone(),
        excluded,
        running: candidate.running,
        slots: candidate.slots,
        cost,
        suspect: candidate.suspect,
        connected: candidate.link == Link::Reused,
    }
}

fn choices(
    shared: &Shared,
    usable: &[&Rc<Backend>],
    zones: &ServiceZones,
    now: Boot,
) -> Vec<Choice> {
    let home = (Destination::Home, 1.0 - zones.leaving());
    let others = zones.zones(now).filter(|(_, share, _)| *share > 0.0);
    let others = others.map(|(zone, share, _)| (Destination::Zone(zone), share));
    let choice = |(destination, share): (Destination<'_>, f64)| {
        let none = HashSet::new();
        let candidate = |backend: &&Rc<Backend>| shared.candidate(backend, &none, destination, now);
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        let server = usable[choose(&candidates, 0.0)?].id.clone();
        let zone = match destination {
            Destination::Home => &shared.settings.zone,
            Destination::Zone(zone) => zone,
        };
        Some(Choice {
            share,
            zone: zone.to_owned(),
            server,
        })
    };
    std::iter::once(home)
        .chain(others)
        .filter_map(choice)
        .collect()
}
