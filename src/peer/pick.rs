//! Chooses the peers to link to: one by consistent hashing, the rest by rendezvous hashing.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

/// Outgoing links of one daemon; fewer if there are fewer peers.
pub const OUTGOING_LINKS: usize = 4;

/// A daemon to which a link may be opened.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Candidate<'a> {
    /// The daemon's name, which all daemons derive alike.
    pub name: &'a str,
    /// The daemon's availability zone.
    pub zone: &'a str,
}

fn hash(parts: [&str; 2]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Names of the daemons to which the daemon `own` links.
///
/// The first is the successor on a hash ring, which keeps all daemons connected. The others are
/// chosen by rendezvous hashing, from each availability zone in turn.
#[must_use]
pub fn pick<'a>(own: &str, candidates: &[Candidate<'a>]) -> Vec<&'a str> {
    let mut picked: Vec<&str> = successor(own, candidates).into_iter().collect();
    let mut zones: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for candidate in candidates {
        if candidate.name != own && !picked.contains(&candidate.name) {
            let score = hash([own, candidate.name]);
            let zone = zones.entry(candidate.zone).or_default();
            zone.push((score, candidate.name));
        }
    }
    let mut zones: Vec<Vec<(u64, &str)>> = zones.into_values().collect();
    for zone in &mut zones {
        zone.sort_unstable();
    }
    zones.sort_unstable_by_key(|zone| std::cmp::Reverse(zone.last().copied()));
    while picked.len() < OUTGOING_LINKS && zones.iter().any(|zone| !zone.is_empty()) {
        for zone in &mut zones {
            if picked.len() < OUTGOING_LINKS {
                picked.extend(zone.pop().map(|(_, name)| name));
            }
        }
    }
    picked
}

/// The next daemon after `own` on the hash ring.
fn successor<'a>(own: &str, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let position = hash(["ring", own]);
    let others = candidates.iter().filter(|other| other.name != own);
    let next = others.min_by_key(|other| hash(["ring", other.name]).wrapping_sub(position));
    next.map(|other| other.name)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn daemons(count: usize) -> Vec<(String, String)> {
        let daemon = |n| (format!("10.0.0.{n}:7"), format!("z{}", n % 3));
        (0..count).map(daemon).collect()
    }

    fn candidates(daemons: &[(String, String)]) -> Vec<Candidate<'_>> {
        daemons
            .iter()
            .map(|(name, zone)| Candidate { name, zone })
            .collect()
    }

    #[test]
    fn pick_connects_all() {
        for count in [1, 2, 5, 20, 90] {
            let daemons = daemons(count);
            let candidates = candidates(&daemons);
            let mut reached = vec![daemons[0].0.as_str()];
            let mut at = 0;
            while at < reached.len() {
                let own = reached[at];
                let picked = pick(own, &candidates);
                assert_eq!(picked.len(), OUTGOING_LINKS.min(count - 1));
                for name in picked {
                    if !reached.contains(&name) {
                        reached.push(name);
                    }
                }
                at += 1;
            }
            assert_eq!(reached.len(), count);
        }
    }

    #[test]
    fn pick_covers_zones() {
        let daemons = daemons(20);
        let candidates = candidates(&daemons);
        for (own, _) in &daemons {
            let picked = pick(own, &candidates);
            let in_zone = |zone: &str| {
                let is_inside =
                    |name: &&str| candidates.iter().any(|c| c.name == *name && c.zone == zone);
                picked.iter().any(is_inside)
            };
            assert!(["z0", "z1", "z2"].into_iter().all(in_zone), "{picked:?}");
        }
    }
}
