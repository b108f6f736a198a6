//! Usage counters of one incarnation: cumulative by window, tenant and unit.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::names::Tenant;
use crate::wire::{UsageCount, UsageUnit};

/// Shards, each under its own lock.
const SHARDS: usize = 8;

type Counts = BTreeMap<(u64, Tenant, UsageUnit), u64>;

/// Cumulative counters in shards.
#[derive(Debug, Default)]
pub struct UsageCounters {
    shards: [Mutex<Counts>; SHARDS],
}

impl UsageCounters {
    /// Adds amounts of a tenant to the window of `now_ms`; `window` is in seconds.
    pub fn add(&self, now_ms: u64, window: u64, tenant: &Tenant, amounts: &[(UsageUnit, u64)]) {
        let number = now_ms / 1_000 / window.max(1);
        let shard = tenant.as_str().bytes().map(usize::from).sum::<usize>() % SHARDS;
        let mut counts = self.shards[shard].lock();
        for (unit, amount) in amounts {
            *counts.entry((number, tenant.clone(), *unit)).or_default() += amount;
        }
    }

    /// All counters.
    #[must_use]
    pub fn counts(&self) -> Vec<UsageCount> {
        let mut all = Vec::new();
        for shard in &self.shards {
            for ((window, tenant, unit), amount) in shard.lock().iter() {
                all.push(UsageCount {
                    window: *window,
                    tenant: tenant.to_string(),
                    unit: *unit,
                    amount: *amount,
                });
            }
        }
        all
    }
}
