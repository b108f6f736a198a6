//! Which addresses callers are given.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Shared;
use super::leases::SILENCE;
use crate::boot::Boot;

/// Addresses in one answer at most.
const ADDRESSES_MAX: usize = 64;
/// Instances that a zone needs for its callers to be sent to that zone only.
const ZONE_MIN: usize = 2;
/// Share of the most that a zone's instances can serve which those that are given must serve.
const SERVED_SHARE: f64 = 0.75;
/// Instances that are given at least where there are as many, so that the loss of some is borne.
const GIVEN_MIN: usize = 6;
/// Time for which an answer holds; a leaving instance serves for three times as long.
pub const TTL: Duration = Duration::from_secs(2);

/// An instance that callers may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether it is in the caller's availability zone.
    pub near: bool,
    /// Share of a core that its process gets, in thousandths.
    pub capacity: u32,
}

/// Addresses for a caller in an availability zone.
#[must_use]
pub fn addresses(shared: &Shared, zone: &str) -> Vec<SocketAddr> {
    let now = Boot::now();
    let contact = shared.contacts.borrow().signs;
    let members = shared.members.borrow();
    let seen = contact.seen.unwrap_or_default();
    let alive = members.alive(seen, contact.since, SILENCE);
    let ready = alive.filter(|(name, member)| member.ready && **name != shared.settings.name);
    let mut offers: Vec<Offer> = ready
        .filter_map(|(_, member)| {
            Some(Offer {
                address: member.front?,
                near: member.zone == zone,
                capacity: member.capacity,
            })
        })
        .collect();
    if shared.is_ready(now)
        && let Some(address) = shared.settings.front
    {
        offers.push(Offer {
            address,
            near: shared.settings.zone == zone,
            capacity: shared.settings.capacity,
        });
    }
    choose(offers)
}

/// Chooses the addresses that a caller is given.
///
/// The load pattern: callers pick an address at random, whatever its instance can bear, and
/// many instances with a few requests each keep no connection to any server. So callers get
/// the fewest of the largest instances that together serve nearly as much as any set of them
/// could, being used alike.
#[must_use]
pub fn choose(mut offers: Vec<Offer>) -> Vec<SocketAddr> {
    let near = offers.iter().filter(|offer| offer.near).count();
    if near >= ZONE_MIN {
        offers.retain(|offer| offer.near);
    }
    offers.sort_by_key(|offer| (Reverse(offer.capacity), offer.address));
    // The smallest of a set bounds what each of it can be given.
    let served = |count: usize| count * offers.get(count - 1).map_or(0, Offer::thousandths);
    let most = (1..=offers.len()).map(served).max().unwrap_or_default();
    let enough = |count: &usize| float(served(*count)) >= SERVED_SHARE * float(most);
    let given = (1..=offers.len()).find(enough).unwrap_or_default();
    offers.truncate(given.clamp(GIVEN_MIN, ADDRESSES_MAX));
    offers.into_iter().map(|offer| offer.address).collect()
}

impl Offer {
    fn thousandths(&self) -> usize {
        usize::try_from(self.capacity).unwrap_or(usize::MAX)
    }
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
