//! Which instances may claim a role, so that few read the lease stream at scale.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use crate::wire::{Instance, InstanceState, Role};

/// Instances that may claim one role.
const ELIGIBLE: usize = 5;

/// Whether `instance` is among the few listed instances that may claim `role`.
///
/// They are ranked by rendezvous hashing, one of each availability zone first, so that the
/// loss of a zone leaves some. Without a list every instance may claim.
#[must_use]
pub fn is_eligible(role: Role, instance: &str, list: &[Instance]) -> bool {
    let mut live: Vec<&Instance> = list
        .iter()
        .filter(|listed| listed.state == InstanceState::Live)
        .collect();
    if live.len() <= ELIGIBLE {
        return true;
    }
    live.sort_by_key(|listed| rank(role, &listed.id));
    let mut zones = BTreeSet::new();
    let (first, rest): (Vec<&Instance>, Vec<&Instance>) = live
        .into_iter()
        .partition(|listed| zones.insert(&listed.zone));
    let mut chosen = first.into_iter().chain(rest).take(ELIGIBLE);
    chosen.any(|listed| listed.id == instance)
}

fn rank(role: Role, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (role, id).hash(&mut hasher);
    hasher.finish()
}
