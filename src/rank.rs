//! Selects a few listed instances for a duty, so that its cost does not grow with the list.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher as _};

use crate::wire::{Instance, InstanceState};

/// Whether `instance` is among the `count` live instances selected for `duty`.
///
/// Instances are ranked by rendezvous hashing, with the first of each availability zone
/// ahead of all others, so that some remain when a zone is lost. If at most `count` listed
/// instances are live, returns true for any `instance`, listed or not.
#[must_use]
pub fn is_selected(duty: &impl Hash, count: usize, instance: &str, list: &[Instance]) -> bool {
    let mut live: Vec<&Instance> = list
        .iter()
        .filter(|listed| listed.state == InstanceState::Live)
        .collect();
    if live.len() <= count {
        return true;
    }
    live.sort_by_key(|listed| rank(duty, &listed.id));
    let mut zones = BTreeSet::new();
    let (first, rest): (Vec<&Instance>, Vec<&Instance>) = live
        .into_iter()
        .partition(|listed| zones.insert(&listed.zone));
    let mut selected = first.into_iter().chain(rest).take(count);
    selected.any(|listed| listed.id == instance)
}

/// The rendezvous hash of `id` for `duty`; the lowest ranks are selected.
#[must_use]
pub fn rank(duty: &impl Hash, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (duty, id).hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(count: usize) -> Vec<Instance> {
        let instance = |n: usize| Instance {
            control: String::new(),
            control_peer: String::new(),
            entry: String::new(),
            entry_peer: String::new(),
            id: format!("i{n}"),
            region: "r".to_owned(),
            state: InstanceState::Live,
            zone: format!("z{}", n % 6),
        };
        (0..count).map(instance).collect()
    }

    fn selected(count: usize, list: &[Instance]) -> Vec<usize> {
        let selects = |n: &usize| is_selected(&"duty", count, &list[*n].id, list);
        (0..list.len()).filter(selects).collect()
    }

    #[test]
    fn selected_few_of_each_zone() {
        let list = list(350);
        let selected = selected(12, &list);
        assert_eq!(selected.len(), 12);
        let zones: BTreeSet<usize> = selected.iter().map(|n| n % 6).collect();
        assert_eq!(zones.len(), 6);
    }

    #[test]
    fn selected_all_of_a_short_list() {
        assert_eq!(selected(12, &list(11)).len(), 11);
    }

    #[test]
    fn selected_without_leaving() {
        let mut list = list(20);
        let first = selected(5, &list)[0];
        list[first].state = InstanceState::Leaving;
        assert!(!selected(5, &list).contains(&first));
    }
}
