//! Chooses the instance addresses that callers are told to connect to.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Shared;
use super::leases::HEARTBEAT_TIMEOUT;
use crate::boot::Boot;

/// Maximum number of addresses in one answer.
const ADDRESSES_MAX: usize = 64;
/// Ready instances that a zone needs before its callers are sent to that zone only.
const ZONE_INSTANCES_MIN: usize = 2;
/// Share of the highest possible total throughput that the chosen instances must reach.
const THROUGHPUT_SHARE: f64 = 0.75;
/// Minimum number of addresses, if there are as many, so that callers survive the loss of some.
const ADDRESSES_MIN: usize = 6;
/// Time for which an answer is valid. A leaving instance serves for three times as long.
pub const TTL: Duration = Duration::from_secs(2);

/// A ready instance that callers may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Whether the instance is in the caller's availability zone.
    pub same_zone: bool,
    /// Share of a core that the instance's process gets, in thousandths.
    pub capacity: u32,
}

/// Chooses the addresses for a caller in an availability zone.
#[must_use]
pub fn addresses(shared: &Shared, zone: &str) -> Vec<SocketAddr> {
    let now = Boot::now();
    let contact = shared.contacts.borrow().heartbeats;
    let instance_table = shared.instance_table.borrow();
    let seen = contact.last_read.unwrap_or_default();
    let alive = instance_table.alive(seen, contact.unbroken_since, HEARTBEAT_TIMEOUT);
    let ready = alive.filter(|(name, instance)| instance.ready && **name != shared.settings.name);
    let mut offers: Vec<Offer> = ready
        .filter_map(|(_, instance)| {
            Some(Offer {
                address: instance.front?,
                same_zone: instance.zone == zone,
                capacity: instance.capacity,
            })
        })
        .collect();
    if shared.is_ready(now)
        && let Some(address) = shared.settings.front
    {
        offers.push(Offer {
            address,
            same_zone: shared.settings.zone == zone,
            capacity: shared.settings.capacity,
        });
    }
    choose(offers)
}

/// Chooses the addresses that a caller is told to connect to.
///
/// Callers pick an address uniformly at random, whatever the capacity of its instance. If the
/// requests are spread over many instances, each has too few to keep its connections to servers
/// open. So callers get the smallest set of the largest instances that, evenly loaded, reaches
/// nearly the highest throughput of any such set.
#[must_use]
pub fn choose(mut offers: Vec<Offer>) -> Vec<SocketAddr> {
    let same_zone = offers.iter().filter(|offer| offer.same_zone).count();
    if same_zone >= ZONE_INSTANCES_MIN {
        offers.retain(|offer| offer.same_zone);
    }
    offers.sort_by_key(|offer| (Reverse(offer.capacity), offer.address));
    // Under even load, the smallest instance of a set limits the share of each.
    let throughput = |count: usize| count * offers.get(count - 1).map_or(0, Offer::thousandths);
    let most = (1..=offers.len()).map(throughput).max().unwrap_or_default();
    let enough = |count: &usize| to_f64(throughput(*count)) >= THROUGHPUT_SHARE * to_f64(most);
    let chosen = (1..=offers.len()).find(enough).unwrap_or_default();
    offers.truncate(chosen.clamp(ADDRESSES_MIN, ADDRESSES_MAX));
    offers.into_iter().map(|offer| offer.address).collect()
}

impl Offer {
    fn thousandths(&self) -> usize {
        usize::try_from(self.capacity).unwrap_or(usize::MAX)
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
