//! Which servers load new weights next.
//!
//! The load pattern: a trainer names a version and submits its next round at the same
//! moment, so servers must change weights while the round runs. A few load at a time;
//! those whose weights are too old for the round go first, then those with the least to do.

/// Servers for each one that may load at the same time: loads slow each other down beyond.
const SERVERS_PER_LOAD: f64 = 4.5;
/// Loads at the same time at least.
const LOADS_MIN: usize = 2;

/// A server and its weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loadable {
    /// Its weight version of the model.
    pub version: u64,
    /// Whether it is loading.
    pub loading: bool,
    /// Requests that it runs.
    pub running: usize,
}

/// Servers that may load at the same time, of `count` in all.
#[must_use]
pub fn at_once(count: usize) -> usize {
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let loads = (count / SERVERS_PER_LOAD) as usize;
    loads.max(LOADS_MIN)
}

/// Chooses servers to load `named`, by position; `oldest` is the oldest version still wanted.
#[must_use]
pub fn next(servers: &[Loadable], named: u64, oldest: u64) -> Vec<usize> {
    let loading = servers.iter().filter(|server| server.loading).count();
    let room = at_once(servers.len()).saturating_sub(loading);
    let all = servers.iter().enumerate();
    let mut behind: Vec<(usize, &Loadable)> = all
        .filter(|(_, server)| server.version < named && !server.loading)
        .collect();
    behind.sort_by_key(|(_, server)| (server.version >= oldest, server.running, server.version));
    behind.into_iter().take(room).map(|(at, _)| at).collect()
}
