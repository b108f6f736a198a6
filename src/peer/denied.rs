//! Keys that are withdrawn before the log shows it.
//!
//! A withdrawal is final and commutes with all else, so that it need not wait for the log:
//! digests carry it, and every daemon refuses the key as soon as it hears of it. Control
//! daemons append it until the log shows it.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::log::ConfigState;
use crate::names::KeyDigest;

/// Keys that are denied at most; more withdrawals must wait for the log.
const DENIED_MAX: usize = 1_000;

/// The keys that are denied now.
#[derive(Debug, Default)]
pub struct Denied(ArcSwap<BTreeSet<KeyDigest>>);

impl Denied {
    /// Whether a key is denied.
    #[must_use]
    pub fn contains(&self, key: &KeyDigest) -> bool {
        self.0.load().contains(key)
    }

    /// The keys that are denied.
    #[must_use]
    pub fn keys(&self) -> Arc<BTreeSet<KeyDigest>> {
        self.0.load_full()
    }

    /// Denies keys that are not withdrawn yet; returns whether any is new.
    pub fn add<'a>(&self, keys: impl Iterator<Item = &'a str>, state: &ConfigState) -> bool {
        let new: Vec<KeyDigest> = keys
            .map(KeyDigest::from)
            .filter(|key| !is_withdrawn(state, key) && !self.contains(key))
            .collect();
        if new.is_empty() {
            return false;
        }
        self.0.rcu(|known| {
            let mut keys = BTreeSet::clone(known);
            let room = DENIED_MAX.saturating_sub(keys.len());
            keys.extend(new.iter().take(room).cloned());
            keys
        });
        true
    }

    /// Drops keys that the log shows as withdrawn; returns whether there were any.
    pub fn settle(&self, state: &ConfigState) -> bool {
        if !self.0.load().iter().any(|key| is_withdrawn(state, key)) {
            return false;
        }
        self.0.rcu(|known| {
            let mut keys = BTreeSet::clone(known);
            keys.retain(|key| !is_withdrawn(state, key));
            keys
        });
        true
    }
}

fn is_withdrawn(state: &ConfigState, key: &KeyDigest) -> bool {
    state.keys.get(key).is_some_and(|info| info.withdrawn)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::log::KeyInfo;

    fn state(withdrawn: bool) -> ConfigState {
        let mut state = ConfigState::default();
        let info = KeyInfo {
            tenant: "desk".into(),
            label: String::new(),
            withdrawn,
        };
        state.keys.insert("k1".into(), info);
        state
    }

    #[test]
    fn denied_until_log_shows_it() {
        let denied = Denied::default();
        let key = KeyDigest::from("k1");
        assert!(denied.add(["k1"].into_iter(), &state(false)));
        assert!(!denied.add(["k1"].into_iter(), &state(false)));
        assert!(denied.contains(&key));
        assert!(!denied.settle(&state(false)));
        assert!(denied.settle(&state(true)));
        assert!(!denied.contains(&key));
        assert!(!denied.add(["k1"].into_iter(), &state(true)), "a peer lags");
    }
}
