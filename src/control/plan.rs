//! Decides which backend servers to start, mark as leaving and stop; pure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::log::Started;
use crate::manifest::{Manifest, PoolSpec};
use crate::names::{Pool, ServerId, Zone};
use crate::wire::{BackendServer, Price, ServerState};

/// Share of its slots up to which a server is meant to be used.
const BUSY: f64 = 0.7;
/// Share of its slots below which a pool has servers to spare.
const IDLE: f64 = 0.5;
/// Time for which a pool must have servers to spare before it shrinks.
const SHRINK_AFTER: Duration = Duration::from_secs(60);

/// What to do about one server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Order a server.
    Start {
        /// Its pool.
        pool: Pool,
        /// Its availability zone.
        zone: Zone,
        /// Whether it is a cheap one.
        cheap: bool,
    },
    /// Mark a server as leaving, or take the mark away.
    Mark {
        /// The server.
        server: ServerId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// Order a drained server to stop.
    Stop {
        /// The server.
        server: ServerId,
    },
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// The servers that the platform lists.
    pub servers: &'a [BackendServer],
    /// Servers that were started and are not listed yet.
    pub unlisted: &'a [Started],
    /// Servers that are marked as leaving.
    pub leaving: &'a BTreeSet<ServerId>,
    /// Marked servers that have no work left.
    pub drained: &'a BTreeSet<ServerId>,
    /// Where cheap servers were lacking a short time ago.
    pub lacking: &'a BTreeSet<(Pool, Zone)>,
    /// Requests in flight by pool; none for a pool whose demand is unknown.
    pub demand: &'a BTreeMap<Pool, u64>,
}

/// Since when each pool has had servers to spare.
#[derive(Clone, Debug, Default)]
pub struct PlanMemory {
    spare: BTreeMap<Pool, Instant>,
}

/// A server that counts for its pool.
#[derive(Clone, Copy, Debug)]
struct Member<'a> {
    id: &'a str,
    zone: &'a str,
    cheap: bool,
    marked: bool,
}

/// Plans all pools that name availability zones; servers of other pools are left alone.
pub fn plan(inputs: &Inputs<'_>, memory: &mut PlanMemory, now: Instant) -> Vec<Action> {
    let mut actions = stops(inputs);
    for (pool, spec) in &inputs.manifest.pools {
        if !spec.zones.is_empty() {
            plan_pool(inputs, memory, now, pool, spec, &mut actions);
        }
    }
    actions
}

/// Stops drained servers, and takes marks from servers that are gone.
fn stops(inputs: &Inputs<'_>) -> Vec<Action> {
    let listed: BTreeSet<&str> = inputs.servers.iter().map(|s| s.id.as_str()).collect();
    let action = |server: &ServerId| {
        if !listed.contains(server.as_str()) {
            return Some(mark(server.as_str(), false));
        }
        let server = server.clone();
        let is_drained = inputs.drained.contains(&server);
        is_drained.then_some(Action::Stop { server })
    };
    inputs.leaving.iter().filter_map(action).collect()
}

fn plan_pool(
    inputs: &Inputs<'_>,
    memory: &mut PlanMemory,
    now: Instant,
    pool: &Pool,
    spec: &PoolSpec,
    actions: &mut Vec<Action>,
) {
    let members = members(inputs, pool);
    let mut staying: Vec<Member<'_>> = members.iter().filter(|m| !m.marked).copied().collect();
    let have = staying.len() as u64;
    let target = target(inputs.demand.get(pool), have, pool, spec, memory, now);
    // A marked server that is still there serves at once; a new one must start first.
    let marked = members.iter().filter(|m| m.marked);
    for member in marked.take(count(target.saturating_sub(have))) {
        if !inputs.drained.contains(member.id) {
            actions.push(mark(member.id, false));
            staying.push(*member);
        }
    }
    while (staying.len() as u64) < target {
        let (zone, cheap) = place(inputs, pool, spec, target, &staying);
        actions.push(Action::Start {
            pool: pool.clone(),
            zone: zone.clone(),
            cheap,
        });
        staying.push(Member {
            id: "",
            zone: zone.as_str(),
            cheap,
            marked: false,
        });
    }
    while staying.len() as u64 > target {
        let place = spare(&staying, cheap_bound(spec, target));
        actions.push(mark(staying.remove(place).id, true));
    }
}

/// The pool's servers that are neither being reclaimed nor stopping.
fn members<'a>(inputs: &Inputs<'a>, pool: &Pool) -> Vec<Member<'a>> {
    let listed = inputs.servers.iter().filter(|server| {
        let stays = server.state != ServerState::Leaving && server.notice_ms.is_none();
        stays && server.pool == pool.as_str()
    });
    let listed = listed.map(|server| Member {
        id: &server.id,
        zone: &server.zone,
        cheap: server.price == Price::Cheap,
        marked: inputs.leaving.contains(server.id.as_str()),
    });
    let unlisted = inputs.unlisted.iter().filter(|s| s.pool == pool.as_str());
    let unlisted = unlisted.map(|started| Member {
        id: &started.server,
        zone: &started.zone,
        cheap: started.price == Price::Cheap,
        marked: inputs.leaving.contains(started.server.as_str()),
    });
    listed.chain(unlisted).collect()
}

/// How many servers the pool should have.
///
/// It grows at once and shrinks only after a while with servers to spare.
fn target(
    demand: Option<&u64>,
    have: u64,
    pool: &Pool,
    spec: &PoolSpec,
    memory: &mut PlanMemory,
    now: Instant,
) -> u64 {
    let bounded = have.clamp(spec.min, spec.max);
    let Some(&demand) = demand else {
        return bounded;
    };
    let grown = servers_for(demand, spec.slots, BUSY).clamp(spec.min, spec.max);
    let least = servers_for(demand, spec.slots, IDLE).clamp(spec.min, spec.max);
    if least >= have {
        memory.spare.remove(pool);
        return grown.max(bounded);
    }
    let since = *memory.spare.entry(pool.clone()).or_insert(now);
    if now < since + SHRINK_AFTER {
        return bounded;
    }
    least
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of requests and servers are small and positive"
)]
fn servers_for(demand: u64, slots: u64, share: f64) -> u64 {
    (demand as f64 / (slots as f64 * share)).ceil() as u64
}

/// The zone and price of the next server: the zone with the fewest servers first.
fn place<'a>(
    inputs: &Inputs<'_>,
    pool: &Pool,
    spec: &'a PoolSpec,
    target: u64,
    staying: &[Member<'_>],
) -> (&'a Zone, bool) {
    let in_zone = |zone: &Zone| staying.iter().filter(|m| m.zone == zone.as_str()).count();
    let zone = spec.zones.iter().min_by_key(|zone| in_zone(zone));
    let zone = zone.unwrap_or(&spec.zones[0]);
    let cheap_in_zone = staying
        .iter()
        .filter(|member| member.cheap && member.zone == zone.as_str());
    let cheap = staying.iter().filter(|member| member.cheap).count() as u64;
    let bound = cheap_bound(spec, target);
    // One zone's reclaim may take no more than its even part of the cheap servers.
    let zone_bound = bound.div_ceil(spec.zones.len() as u64);
    let fits = cheap < bound && (cheap_in_zone.count() as u64) < zone_bound;
    let lacks = inputs.lacking.contains(&(pool.clone(), zone.clone()));
    (zone, fits && !lacks)
}

fn cheap_bound(spec: &PoolSpec, target: u64) -> u64 {
    target * spec.cheap / 100
}

/// The place of the server to give up: a regular one of the fullest zone, unless there are
/// more cheap ones than the bound allows.
fn spare(staying: &[Member<'_>], bound: u64) -> usize {
    let in_zone = |zone: &str| staying.iter().filter(|m| m.zone == zone).count();
    let cheap = staying.iter().filter(|member| member.cheap).count() as u64;
    let over = cheap > bound;
    let ranked = staying.iter().enumerate();
    let place = ranked.max_by_key(|(_, m)| (m.cheap == over, in_zone(m.zone), m.id));
    place.map_or(0, |(place, _)| place)
}

fn mark(server: &str, leaving: bool) -> Action {
    Action::Mark {
        server: server.into(),
        leaving,
    }
}

fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
