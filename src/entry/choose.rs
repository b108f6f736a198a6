//! The choice of a backend server among candidates.

use crate::manifest::ChoicePolicy;

/// What the choice weighs of one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight, as far as this entry knows.
    pub load: f64,
    /// Whether it is in this entry's availability zone.
    pub near: bool,
}

/// The index of the server to use. `turn` grows by one with each choice.
#[must_use]
pub fn choose(policy: ChoicePolicy, candidates: &[Candidate], turn: usize) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match policy {
        ChoicePolicy::RoundRobin => Some(turn % candidates.len()),
        ChoicePolicy::Least | ChoicePolicy::Affinity => least_loaded(candidates, turn),
    }
}

fn least_loaded(candidates: &[Candidate], turn: usize) -> Option<usize> {
    let count = candidates.len();
    let rotated = (0..count).map(|n| (n + turn) % count);
    rotated.min_by(|&a, &b| {
        let (a, b) = (candidates[a], candidates[b]);
        a.load.total_cmp(&b.load).then(b.near.cmp(&a.near))
    })
}
