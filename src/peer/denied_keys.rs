//! Deny list of keys whose withdrawal the configuration log does not show yet.
//!
//! A withdrawal is final and commutes with every other change, so it need not wait for the log.
//! Digests carry the denied keys, and every daemon refuses a key as soon as it receives the
//! withdrawal. Control daemons append the withdrawal until the log shows it.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::log::ConfigState;
use crate::names::KeyDigest;

/// Most keys that are denied at a time; further withdrawals must wait for the log.
const DENIED_MAX: usize = 1_000;

/// Set of keys that are denied before the log shows their withdrawal.
#[derive(Debug, Default)]
pub struct DeniedKeys(ArcSwap<BTreeSet<KeyDigest>>);

impl DeniedKeys {
    /// Whether a key is denied.
    #[must_use]
    pub fn contains(&self, key: &KeyDigest) -> bool {
        self.0.load().contains(key)
    }

    /// A snapshot of the denied keys.
    #[must_use]
    pub fn keys(&self) -> Arc<BTreeSet<KeyDigest>> {
        self.0.load_full()
    }

    /// Denies keys that are not withdrawn yet. Returns whether any of them is new.
    pub fn add<'a>(&self, keys: impl Iterator<Item = &'a str>, state: &ConfigState) -> bool {
        let added: Vec<KeyDigest> = keys
            .map(KeyDigest::from)
            .filter(|key| !is_withdrawn(state, key) && !self.contains(key))
            .collect();
        if added.is_empty() {
            return false;
        }
        self.0.rcu(|known| {
            let mut keys = BTreeSet::clone(known);
            let room = DENIED_MAX.saturating_sub(keys.len());
            keys.extend(added.iter().take(room).cloned());
            keys
        });
        true
    }

    /// Removes keys that the log shows as withdrawn. Returns whether there were any.
    pub fn remove_withdrawn(&self, state: &ConfigState) -> bool {
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
        let denied = DeniedKeys::default();
        let key = KeyDigest::from("k1");
        assert!(denied.add(["k1"].into_iter(), &state(false)));
        assert!(!denied.add(["k1"].into_iter(), &state(false)));
        assert!(denied.contains(&key));
        assert!(!denied.remove_withdrawn(&state(false)));
        assert!(denied.remove_withdrawn(&state(true)));
        assert!(!denied.contains(&key));
        assert!(!denied.add(["k1"].into_iter(), &state(true)), "a peer lags");
    }
}
