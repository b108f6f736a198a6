//! Summary of the other entries' load, from the digests that they publish.

use std::collections::BTreeMap;

use crate::names::{ServerId, Tenant};

use super::suspect::Trial;

/// Load, demand and trials of the other entries, as last published.
#[derive(Clone, Debug, Default)]
pub struct OtherEntries {
    /// Number of other entries with a known digest that are not leaving.
    pub active: u32,
    /// Their requests in flight by server.
    pub inflight: BTreeMap<ServerId, f64>,
    /// Weight of `inflight`: 1 when the newest digest just arrived, decaying with its age.
    pub weight: f64,
    /// Their demand by tenant, in tokens a second.
    pub demand: BTreeMap<Tenant, f64>,
    /// Trials of suspect requests that they run.
    pub trials: Vec<Trial>,
}

impl OtherEntries {
    /// Number of entries, including this one.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.active + 1
    }

    /// The other entries' demand of a tenant, in tokens a second.
    #[must_use]
    pub fn demand_of(&self, tenant: &Tenant) -> f64 {
        self.demand.get(tenant).copied().unwrap_or(0.0)
    }

    /// Estimates the other entries' requests on a server.
    ///
    /// The published number counts while it is new; with age, `mean` takes its place.
    #[must_use]
    pub fn expected_on(&self, server: &ServerId, mean: f64) -> f64 {
        let published = self.inflight.get(server).copied().unwrap_or(0.0);
        mean + (published - mean) * self.weight
    }

    /// Total of the other entries' requests in flight on these servers.
    #[must_use]
    pub fn inflight_on(&self, servers: &[ServerId]) -> f64 {
        let each = servers.iter().filter_map(|id| self.inflight.get(id));
        each.sum()
    }
}
