//! Orders backend servers from the platform for the services that this instance leads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::CALL_TIMEOUT;
use super::capacity::{ZoneState, plan_zones, servers_needed};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{Scaling, Service};
use crate::instance::events::event;
use crate::instance::interfaces::PlatformReply;
use crate::ledger::record::Subject;
use crate::util::{millis, unix_ms};

/// Interval between checks of the servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the order for a zone with too few servers is repeated.
///
/// The time is longer than a server needs to start, or to restart after a crash.
const REORDER_AFTER: Duration = Duration::from_secs(8);
/// Maximum age of the rounds that count towards the number of servers.
const ROUND_AGE_MAX: Duration = Duration::from_secs(30);

/// The last order for a zone.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    /// Total number of servers that the zone should have.
    count: usize,
    at: Boot,
}

/// Last orders by service and zone.
type Orders = BTreeMap<(String, String), Ordered>;

/// Runs forever: orders servers for each service whose lease is held.
pub async fn run(shared: Rc<Shared>) {
    let mut orders = Orders::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(deployment) = shared.deployment() else {
            continue;
        };
        for (name, service) in &deployment.services {
            let subject = Subject::Service(name.clone());
            if shared.usable_lease(&subject, Boot::now()).is_none() {
                orders.retain(|(service, _), _| service != name);
                continue;
            }
            if let Some(scaling) = &service.scaling {
                order_missing(&shared, &mut orders, name, service, scaling).await;
            }
        }
    }
}

/// Orders servers for the zones of one service that have too few.
async fn order_missing(
    shared: &Shared,
    orders: &mut Orders,
    name: &str,
    service: &Service,
    scaling: &Scaling,
) {
    let zones = zone_states(shared, orders, name, scaling);
    let total = total_needed(shared, name, service);
    let max = usize::try_from(scaling.max_servers).unwrap_or(usize::MAX);
    let counts = plan_zones(&zones, total, max);
    for (zone, count) in zones.iter().zip(counts) {
        let now = Boot::now();
        let key = (name.to_owned(), zone.zone.clone());
        let present = present(shared, name, &zone.zone);
        let is_pending = orders
            .get(&key)
            .is_some_and(|order| order.count >= count && now < order.at + REORDER_AFTER);
        if present >= count || is_pending {
            continue;
        }
        let Some(holder) = shared.usable_lease(&Subject::Service(name.to_owned()), now) else {
            return;
        };
        let Some(platform) = &shared.platform else {
            return;
        };
        let reply = timeout(
            CALL_TIMEOUT,
            platform.scale(&holder, name, &zone.zone, count),
        )
        .await;
        let reply = reply.unwrap_or(PlatformReply::Later);
        event!("servers_order", "service" => name, "zone" => zone.zone, "count" => count,
            "present" => present, "fence" => holder.fence, "reply" => format!("{reply:?}"));
        orders.insert(key, Ordered { count, at: now });
    }
}

/// Number of usable servers of a service in a zone.
fn present(shared: &Shared, service: &str, zone: &str) -> usize {
    let fleet = shared.fleet.borrow();
    let usable = fleet.usable(service, Boot::now());
    usable.filter(|backend| backend.zone == zone).count()
}

fn zone_states(shared: &Shared, orders: &Orders, name: &str, scaling: &Scaling) -> Vec<ZoneState> {
    let state = |(zone, price): (&String, &f64)| {
        let ordered = orders
            .get(&(name.to_owned(), zone.clone()))
            .map_or(0, |order| order.count);
        let have = present(shared, name, zone).max(ordered);
        ZoneState {
            zone: zone.clone(),
            price: *price,
            have,
        }
    };
    // Servers may be ordered only in zones where the service already runs.
    let states = scaling.prices.iter().map(state);
    states.filter(|state| state.have > 0).collect()
}

/// Number of servers needed for the largest recent round of each model.
fn total_needed(shared: &Shared, name: &str, service: &Service) -> usize {
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let oldest = unix_ms().saturating_sub(millis(ROUND_AGE_MAX));
    let ledger = shared.ledger.borrow();
    let largest = |model: &str| {
        let jobs = ledger.jobs.iter().filter(|job| job.record.model == model);
        let recent = jobs.filter(|job| job.record.submitted > oldest);
        recent
            .map(|job| job.record.items.len())
            .max()
            .unwrap_or_default()
    };
    let items: BTreeMap<&str, usize> = models
        .map(|model| (model.as_str(), largest(model)))
        .collect();
    let fleet = shared.fleet.borrow();
    let slots = fleet
        .usable(name, Boot::now())
        .map(|backend| backend.slots)
        .max();
    servers_needed(&items, slots.unwrap_or(1))
}
