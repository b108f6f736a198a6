//! How many backend servers a service needs, and in which availability zones.
//!
//! All items of a round arrive at once, and each trainer submits its rounds at its own time. A
//! round is complete only with its longest sample, which should start at once. So, as far as
//! the limits allow, there are slots for all items of each model's largest recent round.

use std::collections::BTreeMap;

/// Slots per item of the largest recent rounds.
const SLOTS_PER_ITEM: f64 = 1.0;

/// Price and number of a service's servers in an availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneState {
    /// The zone.
    pub zone: String,
    /// Price of a server per second.
    pub price: f64,
    /// Number of servers that the zone has or that were last ordered for it, whichever is higher.
    pub have: usize,
}

/// Number of servers needed for `items` by model, with `slots` slots per server.
#[must_use]
pub fn servers_needed(items: &BTreeMap<&str, usize>, slots: usize) -> usize {
    let total = items.values().sum::<usize>();
    let total = f64::from(u32::try_from(total).unwrap_or(u32::MAX)) * SLOTS_PER_ITEM;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of items"
    )]
    let total = total.ceil() as usize;
    total.div_ceil(slots.max(1))
}

/// Distributes `total` servers over zones, with at most `max` servers ordered in each.
///
/// No zone gets fewer servers than it has.
#[must_use]
pub fn plan_zones(zones: &[ZoneState], total: usize, max: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = zones.iter().map(|zone| zone.have).collect();
    while counts.iter().sum::<usize>() < total {
        let open = (0..zones.len()).filter(|at| counts[*at] < max);
        // The cheapest zone comes first, and at equal prices the one with the fewest servers.
        let next = open.min_by(|a, b| {
            let price = zones[*a].price.total_cmp(&zones[*b].price);
            price.then(counts[*a].cmp(&counts[*b]))
        });
        match next {
            Some(at) => counts[at] += 1,
            None => break,
        }
    }
    counts
}
