//! Chooses which servers load new weights next.
//!
//! A trainer names a weight version and submits its next round at about the same moment, so
//! servers must change weights while rounds run, and concurrent loads slow each other down.
//! Therefore only a few servers load at a time. Servers whose weights are too old for an open
//! round go first. Others load only while no item waits that they could take, and if their
//! running items can move to other servers, so that no sample waits for a load. A version that
//! crashes servers as they load it is tried by one server at a time.

/// Servers per concurrent load; with more loads at a time they slow each other down.
const SERVERS_PER_LOAD: f64 = 4.5;
/// Concurrent loads allowed however few servers there are.
const MIN_CONCURRENT_LOADS: usize = 2;

/// A server's load state, for the model that it is assigned to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loadable {
    /// Weight version that the server has.
    pub version: u64,
    /// Version that the trainer requested.
    pub requested: u64,
    /// Oldest version that every open job of the model accepts; 0 if no job is open.
    pub oldest_accepted: u64,
    /// Whether the server is loading weights, or may still be, or cools down after a failed load.
    pub loading: bool,
    /// Requests in flight on the server.
    pub running: usize,
    /// Whether items wait that the server could take with its present weights.
    pub in_demand: bool,
    /// Restriction due to crashes during loads of the requested version.
    pub caution: Caution,
}

/// Restriction on loading a version, after crashes during its loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caution {
    /// No restriction beyond the limit on concurrent loads.
    None,
    /// One server at a time: servers crashed while loading this version.
    OneAtATime,
    /// No load yet: the time of the next attempt has not come.
    Wait,
}

impl Loadable {
    fn is_urgent(&self) -> bool {
        self.version < self.oldest_accepted
    }

    fn is_due(&self) -> bool {
        let behind = self.version < self.requested && !self.loading;
        behind && self.caution != Caution::Wait && (self.is_urgent() || !self.in_demand)
    }
}

/// Number of servers that may load at the same time, of `count` in all.
#[must_use]
pub fn max_concurrent_loads(count: usize) -> usize {
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let loads = (count / SERVERS_PER_LOAD) as usize;
    loads.max(MIN_CONCURRENT_LOADS)
}

/// Chooses the servers that start loading, by position.
#[must_use]
pub fn next_loads(servers: &[Loadable]) -> Vec<usize> {
    let loading = servers.iter().filter(|server| server.loading).count();
    let available = max_concurrent_loads(servers.len()).saturating_sub(loading);
    let all = servers.iter().enumerate();
    let mut due: Vec<(usize, &Loadable)> = all.filter(|(_, server)| server.is_due()).collect();
    due.sort_by_key(|(_, server)| (!server.is_urgent(), server.running, server.version));
    let mut one_at_a_time = servers
        .iter()
        .any(|server| server.loading && server.caution == Caution::OneAtATime);
    due.retain(|(_, server)| {
        server.caution == Caution::None || !std::mem::replace(&mut one_at_a_time, true)
    });
    due.into_iter().take(available).map(|(at, _)| at).collect()
}
