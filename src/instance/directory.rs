//! Which addresses callers are given.

use std::net::SocketAddr;
use std::time::Duration;

use super::Shared;
use super::leases::SILENCE;
use crate::boot::Boot;
use crate::ledger::members::Member;

/// Addresses in one answer at most.
const ADDRESSES_MAX: usize = 64;
/// Instances that a zone needs for its callers to be sent to that zone only.
const ZONE_MIN: usize = 2;
/// Time for which an answer holds; a leaving instance serves for three times as long.
pub const TTL: Duration = Duration::from_secs(2);

/// Addresses for a caller in an availability zone.
#[must_use]
pub fn addresses(shared: &Shared, zone: &str) -> Vec<SocketAddr> {
    let now = Boot::now();
    let contact = shared.contacts.borrow().signs;
    let known = shared.members.borrow();
    let mut members: Vec<(&String, &Member)> = Vec::new();
    if let Some(seen) = contact.seen {
        let alive = known.alive(seen, contact.since, SILENCE);
        let ready = alive.filter(|(name, member)| member.ready && **name != shared.settings.name);
        members.extend(ready);
    }
    let mut found: Vec<(SocketAddr, bool)> = members
        .iter()
        .filter_map(|(_, member)| Some((member.front?, member.zone == zone)))
        .collect();
    if shared.is_ready(now)
        && let Some(own) = shared.settings.front
    {
        found.push((own, shared.settings.zone == zone));
    }
    let near: Vec<SocketAddr> = found
        .iter()
        .filter(|(_, near)| *near)
        .map(|(address, _)| *address)
        .collect();
    let mut chosen = if near.len() >= ZONE_MIN {
        near
    } else {
        found.into_iter().map(|(address, _)| address).collect()
    };
    chosen.sort();
    chosen.truncate(ADDRESSES_MAX);
    chosen
}
