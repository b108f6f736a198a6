//! Selects the subset of servers that one entry uses, by rendezvous hashing.

use crate::names::{InstanceId, ServerId};
use crate::rank::rank;

/// The rendezvous score of a server for an instance; the servers with the highest scores form
/// its subset.
#[must_use]
pub fn score(instance: &InstanceId, server: &ServerId) -> u64 {
    rank(&instance.as_str(), server.as_str())
}

/// Whether each server is in the subset of `instance`; `size` is the number of servers in the
/// subset, and 0 means all.
#[must_use]
pub fn members(instance: &InstanceId, servers: &[&ServerId], size: usize) -> Vec<bool> {
    if size == 0 || servers.len() <= size {
        return vec![true; servers.len()];
    }
    let scores: Vec<u64> = servers.iter().map(|id| score(instance, id)).collect();
    let mut order = scores.clone();
    order.sort_unstable_by(|a, b| b.cmp(a));
    scores
        .iter()
        .map(|score| *score >= order[size - 1])
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ids(count: usize) -> Vec<ServerId> {
        (0..count)
            .map(|n| ServerId::from(format!("s{n}")))
            .collect()
    }

    fn subset(instance: usize, servers: &[ServerId], size: usize) -> Vec<ServerId> {
        let instance = InstanceId::from(format!("i{instance}"));
        let refs: Vec<&ServerId> = servers.iter().collect();
        let inside = members(&instance, &refs, size);
        let kept = servers.iter().zip(inside).filter(|(_, inside)| *inside);
        kept.map(|(id, _)| id.clone()).collect()
    }

    #[test]
    fn members_change_little_when_a_server_leaves() {
        let all = ids(100);
        let before = subset(1, &all, 20);
        assert_eq!(before.len(), 20);
        let rest: Vec<ServerId> = all.iter().filter(|id| **id != before[0]).cloned().collect();
        let after = subset(1, &rest, 20);
        let kept = before.iter().filter(|id| after.contains(id)).count();
        assert_eq!(kept, 19);
    }

    #[test]
    fn members_cover_all_servers() {
        let all = ids(60);
        let mut uses = vec![0; all.len()];
        for instance in 0..35 {
            for id in subset(instance, &all, 20) {
                let place = all
                    .iter()
                    .position(|other| *other == id)
                    .expect("a known id");
                uses[place] += 1;
            }
        }
        assert!(uses.iter().all(|count| *count > 0), "{uses:?}");
    }
}
