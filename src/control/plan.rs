//! Decides which backend servers to start, mark as leaving and stop; does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::log::Started;
use crate::manifest::{Manifest, PoolSpec};
use crate::names::{Pool, ServerId, Zone};
use crate::wire::{BackendServer, Price, ServerState};

/// Load, as a share of a pool's slots in use, for which the pool is sized when it grows.
const TARGET_LOAD: f64 = 0.7;
/// Load below which a pool has servers to spare, and for which it is sized when it shrinks.
const SPARE_LOAD: f64 = 0.5;
/// Cooldown: time for which a pool must have servers to spare before it shrinks.
const SHRINK_AFTER: Duration = Duration::from_secs(60);

/// What to do about one server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Order a server.
    Start {
        /// The pool of the server.
        pool: Pool,
        /// The availability zone of the server.
        zone: Zone,
        /// Whether to order a cheap server.
        cheap: bool,
    },
    /// Mark a server as leaving, or remove the mark.
    Mark {
        /// The server to mark or unmark.
        server: ServerId,
        /// Whether to set the mark; `false` removes it.
        leaving: bool,
    },
    /// Order a drained server to stop.
    Stop {
        /// The server to stop.
        server: ServerId,
    },
}

/// The state of pools and servers that a plan is made from.
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
    /// Pools and zones where a cheap server was refused a short time ago.
    pub cheap_refused: &'a BTreeSet<(Pool, Zone)>,
    /// Requests in flight by pool; a pool whose demand is unknown is absent.
    pub demand: &'a BTreeMap<Pool, u64>,
}

/// State that is kept from one plan to the next.
#[derive(Clone, Debug, Default)]
pub struct PlanMemory {
    /// Since when each pool has had servers to spare.
    spare_since: BTreeMap<Pool, Instant>,
}

/// A server that counts towards the size of its pool.
#[derive(Clone, Copy, Debug)]
struct Member<'a> {
    id: &'a str,
    zone: &'a str,
    cheap: bool,
    marked: bool,
}

/// Plans all pools that name availability zones; servers of other pools are left alone.
pub fn plan(inputs: &Inputs<'_>, memory: &mut PlanMemory, now: Instant) -> Vec<Action> {
    let mut actions = finish_leaving(inputs);
    for (pool, spec) in &inputs.manifest.pools {
        if !spec.zones.is_empty() {
            plan_pool(inputs, memory, now, pool, spec, &mut actions);
        }
    }
    actions
}

/// Stops drained servers, and removes the marks of servers that are no longer listed.
fn finish_leaving(inputs: &Inputs<'_>) -> Vec<Action> {
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
    // Removing a mark adds capacity at once, while a new server must start first.
    let marked = members.iter().filter(|m| m.marked);
    for member in marked.take(saturating_usize(target.saturating_sub(have))) {
        if !inputs.drained.contains(member.id) {
            actions.push(mark(member.id, false));
            staying.push(*member);
        }
    }
    while (staying.len() as u64) < target {
        let (zone, cheap) = placement(inputs, pool, spec, target, &staying);
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
        let index = surplus(&staying, cheap_bound(spec, target));
        actions.push(mark(staying.remove(index).id, true));
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
/// A pool grows at once, and shrinks only after `SHRINK_AFTER` with servers to spare.
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
    let grown = servers_for(demand, spec.slots, TARGET_LOAD).clamp(spec.min, spec.max);
    let shrunk = servers_for(demand, spec.slots, SPARE_LOAD).clamp(spec.min, spec.max);
    if shrunk >= have {
        memory.spare_since.remove(pool);
        return grown.max(bounded);
    }
    let since = *memory.spare_since.entry(pool.clone()).or_insert(now);
    if now < since + SHRINK_AFTER {
        return bounded;
    }
    shrunk
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of requests and servers are small and positive"
)]
/// Number of servers at which `demand` requests use `share` of the slots.
fn servers_for(demand: u64, slots: u64, share: f64) -> u64 {
    (demand as f64 / (slots as f64 * share)).ceil() as u64
}

/// The zone of the next server, which is the one with the fewest servers, and whether to order
/// a cheap server there.
fn placement<'a>(
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
    // Cheap servers are spread evenly, so that a reclaim in one zone takes only its part.
    let zone_bound = bound.div_ceil(spec.zones.len() as u64);
    let within_bounds = cheap < bound && (cheap_in_zone.count() as u64) < zone_bound;
    let was_refused = inputs.cheap_refused.contains(&(pool.clone(), zone.clone()));
    (zone, within_bounds && !was_refused)
}

/// Maximum number of cheap servers in a pool of `target` servers; `spec.cheap` is in percent.
fn cheap_bound(spec: &PoolSpec, target: u64) -> u64 {
    target * spec.cheap / 100
}

/// The index of the server to give up: a regular one of the fullest zone, or a cheap one if
/// more servers are cheap than `bound` allows.
fn surplus(staying: &[Member<'_>], bound: u64) -> usize {
    let in_zone = |zone: &str| staying.iter().filter(|m| m.zone == zone).count();
    let cheap = staying.iter().filter(|member| member.cheap).count() as u64;
    let over = cheap > bound;
    let ranked = staying.iter().enumerate();
    let chosen = ranked.max_by_key(|(_, m)| (m.cheap == over, in_zone(m.zone), m.id));
    chosen.map_or(0, |(index, _)| index)
}

fn mark(server: &str, leaving: bool) -> Action {
    Action::Mark {
        server: server.into(),
        leaving,
    }
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
