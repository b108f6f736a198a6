//! How many backend servers a service wants, and in which availability zones.
//!
//! The load pattern: rounds arrive whole, each trainer's at its own time, and a round is
//! whole only with its longest sample, which should start at once. So there are slots for
//! the items of every model's largest recent round, as far as the limits allow.

use std::collections::BTreeMap;

/// Slots for each item of the largest recent rounds.
const SLOTS_PER_ITEM: f64 = 1.0;

/// Servers of a service in an availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneState {
    /// The zone.
    pub zone: String,
    /// Price of a server's second.
    pub price: f64,
    /// Servers that the zone has, or had when none was lost.
    pub have: usize,
}

/// Servers wanted for rounds of `items` items by model, with `slots` slots a server.
#[must_use]
pub fn wanted(items: &BTreeMap<&str, usize>, slots: usize) -> usize {
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

/// Servers that each zone should have for `total` in all; no zone gets fewer than it has.
#[must_use]
pub fn plan(zones: &[ZoneState], total: usize, max: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = zones.iter().map(|zone| zone.have).collect();
    while counts.iter().sum::<usize>() < total {
        let open = (0..zones.len()).filter(|at| counts[*at] < max);
        // The cheapest zone first, and among equals the one with the fewest.
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
