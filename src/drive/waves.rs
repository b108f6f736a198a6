//! Which servers load new weights next.
//!
//! The load pattern: a trainer names a version and submits its next round at about the same
//! moment, so servers must change weights while rounds run, and loads slow each other down.
//! A few load at a time. Servers whose weights are too old for an open round go first;
//! others only while no item waits that they could take, and if what they run finds room
//! elsewhere, so that no sample waits for a load. A version under whose loads servers crash
//! is tried by one server at a time.

/// Servers for each one that may load at the same time: loads slow each other down beyond.
const SERVERS_PER_LOAD: f64 = 4.5;
/// Loads at the same time at least.
const LOADS_MIN: usize = 2;

/// A server and the weights of the model that it is kept for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loadable {
    /// Its weight version.
    pub version: u64,
    /// The version that the trainer named.
    pub named: u64,
    /// The oldest version that an open round takes; 0 if there is none.
    pub oldest: u64,
    /// Whether it is loading.
    pub loading: bool,
    /// Requests that it runs.
    pub running: usize,
    /// Whether items wait that it could take with its present weights.
    pub wanted: bool,
    /// What crashes under loads of the named version allow.
    pub caution: Caution,
}

/// How carefully a version is loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caution {
    /// By as many servers as may load at the same time.
    None,
    /// By one server at a time: servers crashed as they loaded it.
    Alone,
    /// Not yet.
    Wait,
}

impl Loadable {
    fn is_urgent(&self) -> bool {
        self.version < self.oldest
    }

    fn is_due(&self) -> bool {
        let behind = self.version < self.named && !self.loading;
        behind && self.caution != Caution::Wait && (self.is_urgent() || !self.wanted)
    }
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

/// Chooses servers to load, by position.
#[must_use]
pub fn next(servers: &[Loadable]) -> Vec<usize> {
    let loading = servers.iter().filter(|server| server.loading).count();
    let room = at_once(servers.len()).saturating_sub(loading);
    let all = servers.iter().enumerate();
    let mut due: Vec<(usize, &Loadable)> = all.filter(|(_, server)| server.is_due()).collect();
    due.sort_by_key(|(_, server)| (!server.is_urgent(), server.running, server.version));
    let mut alone = servers
        .iter()
        .any(|server| server.loading && server.caution == Caution::Alone);
    due.retain(|(_, server)| {
        server.caution == Caution::None || !std::mem::replace(&mut alone, true)
    });
    due.into_iter().take(room).map(|(at, _)| at).collect()
}
