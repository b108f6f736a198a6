//! What this entry knows of the other entries' work, from their digests.

use std::collections::BTreeMap;

use crate::names::{ServerId, Tenant};

use super::suspect::Trial;

/// The other entries' work, as last heard.
#[derive(Clone, Debug, Default)]
pub struct Others {
    /// Other entries that are heard.
    pub heard: u32,
    /// Their requests by server, as last told.
    pub inflight: BTreeMap<ServerId, f64>,
    /// Weight of that news: 1 when it is new, less the older it is.
    pub weight: f64,
    /// Their demand by tenant, in tokens a second.
    pub demand: BTreeMap<Tenant, f64>,
    /// Suspect requests that they run.
    pub trials: Vec<Trial>,
}

impl Others {
    /// All entries, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.heard + 1
    }

    /// Their demand of a tenant.
    #[must_use]
    pub fn demand_of(&self, tenant: &Tenant) -> f64 {
        self.demand.get(tenant).copied().unwrap_or(0.0)
    }

    /// Their requests on one of `servers`: as told while the news is new, else the mean.
    #[must_use]
    pub fn expected_on(&self, server: &ServerId, mean: f64) -> f64 {
        let told = self.inflight.get(server).copied().unwrap_or(0.0);
        mean + (told - mean) * self.weight
    }

    /// Their requests on these servers.
    #[must_use]
    pub fn inflight_on(&self, servers: &[ServerId]) -> f64 {
        let each = servers.iter().filter_map(|id| self.inflight.get(id));
        each.sum()
    }
}
