//! Measures attempts by availability zone, and applies `relay::zone` to this instance's requests.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;

use super::Shared;
use super::events::event;
use super::interfaces::Backend;
use crate::boot::Boot;
use crate::relay::call::{CallError, FullResponse};
use crate::relay::zone::{AttemptEnd, Destination, Pressure, ServiceZones};

/// The zones of all services, by service.
#[derive(Clone, Debug, Default)]
pub struct Zones(HashMap<String, ServiceZones>);

impl Zones {
    /// Returns where the next request to a service goes; `draw` in `0..1` decides by the shares.
    #[must_use]
    pub fn destination(&self, service: &str, draw: f64) -> Destination<'_> {
        let known = self.0.get(service);
        known.map_or(Destination::Home, |known| known.destination(draw))
    }

    /// What is known of a service's zones, if anything.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&ServiceZones> {
        self.0.get(service)
    }

    /// Forgets services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.0.retain(|service, _| exists(service));
    }
}

/// Measures an attempt at a server; one that is dropped before its end counts as abandoned.
#[derive(Debug)]
pub struct AttemptTimer<'a> {
    shared: &'a Shared,
    backend: &'a Backend,
    objective: Duration,
    started: Boot,
    /// How the attempt ended; none if that says nothing about the zone.
    end: Option<AttemptEnd>,
}

impl<'a> AttemptTimer<'a> {
    /// Starts to measure an attempt of a request with this latency objective.
    #[must_use]
    pub fn start(shared: &'a Shared, backend: &'a Backend, objective: Duration) -> Self {
        Self {
            shared,
            backend,
            objective,
            started: Boot::now(),
            end: Some(AttemptEnd::Abandoned),
        }
    }

    /// Records the result of the attempt.
    pub fn finish(mut self, result: &Result<FullResponse, CallError>) {
        self.end = attempt_end(result);
    }
}

impl Drop for AttemptTimer<'_> {
    fn drop(&mut self) {
        let is_measured = self.shared.settings.zones.len() > 1 && !self.objective.is_zero();
        let Some(end) = self.end.filter(|_| is_measured) else {
            return;
        };
        let now = Boot::now();
        let time = now.since(self.started).div_duration_f64(self.objective);
        let mut zones = self.shared.zones.borrow_mut();
        if !zones.0.contains_key(&self.backend.service) {
            zones
                .0
                .insert(self.backend.service.clone(), ServiceZones::default());
        }
        if let Some(known) = zones.0.get_mut(&self.backend.service) {
            known.note(&self.backend.zone, time, end, now);
        }
    }
}

/// What the result of an attempt says about the server's zone.
///
/// Failures of the request itself, of an outdated registry entry, and of this instance's own share
/// of connections and limits say nothing.
fn attempt_end(result: &Result<FullResponse, CallError>) -> Option<AttemptEnd> {
    match result {
        Ok(answer) if answer.response.status() == StatusCode::MISDIRECTED_REQUEST => None,
        Ok(answer) if answer.is_not_run() => Some(AttemptEnd::Refused),
        Ok(answer) if answer.response.status().is_server_error() => None,
        Ok(_) => Some(AttemptEnd::Answered),
        Err(CallError::Unusable | CallError::Malformed { .. }) => None,
        Err(error) if error.is_busy() => None,
        Err(_) => Some(AttemptEnd::Refused),
    }
}

/// Changes the shares of a service's requests by zone, if that is due.
///
/// `usable` are the servers that may get a request now: limits, evacuations and warm-up are
/// already applied.
pub fn update(shared: &Shared, service: &str, usable: &[&Rc<Backend>], now: Boot) {
    let mut zones = shared.zones.borrow_mut();
    let Some(known) = zones.0.get_mut(service).filter(|known| known.is_due(now)) else {
        return;
    };
    let home = shared.settings.zone.as_str();
    let pressure = known.update(home, &slots(usable), now);
    if known.take_news(now) {
        log_shares(service, known, pressure, now);
    }
    for (zone, share, _) in known.zones(now) {
        let labels = [service, zone];
        let metrics = &shared.metrics;
        metrics.zone_share.with_label_values(&labels).set(share);
        let cost = known.mean_cost(home, zone);
        metrics.zone_cost.with_label_values(&labels).set(cost);
    }
}

/// Slots of servers by zone.
#[must_use]
pub fn slots<'a>(servers: &[&'a Rc<Backend>]) -> BTreeMap<&'a str, usize> {
    let mut slots: BTreeMap<&str, usize> = BTreeMap::new();
    for backend in servers {
        *slots.entry(&backend.zone).or_default() += backend.slots;
    }
    slots
}

fn log_shares(service: &str, known: &ServiceZones, pressure: Pressure, now: Boot) {
    let mut inputs = String::new();
    for (zone, share, measured) in known.zones(now) {
        let _ = write!(inputs, "{zone}: share {share:.2}");
        if let Some(measured) = measured {
            let _ = write!(
                inputs,
                ", time {:.2}, refused {:.2}, age {} ms",
                measured.time,
                measured.refused,
                measured.age.as_millis()
            );
        }
        inputs.push_str("; ");
    }
    event!("zone_shares", "service" => service, "home" => format!("{pressure:?}"),
        "leaving" => format!("{:.2}", known.leaving()), "zones" => inputs);
}
