//! Decides whether a daemon can show that its configuration is up to date.
//!
//! It can if its folded offset was recently known to be the log's head, or if a majority of the
//! listed instances was recently in contact and no contact is ahead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Age up to which a contact, or a confirmation of the log's head, counts.
pub const FRESH_FOR: Duration = Duration::from_secs(3);

/// Time for which an instance that is a majority by itself counts as in contact.
const LONE_MAJORITY_TTL: Duration = Duration::from_secs(60);

/// The last report of the entry daemon of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Contact<'a> {
    /// Id of the instance.
    pub instance: &'a str,
    /// Earliest instant at which the report can have been made.
    pub beat_at: Instant,
    /// Offset up to which the entry has folded; 0 until it has caught up once.
    pub next: u64,
}

/// Inputs to the decision whether a daemon's configuration is up to date.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessInputs<'a> {
    /// When the folded offset was last known to be the log's head.
    pub confirmed: Option<Instant>,
    /// Offset up to which this daemon has folded; 0 until it has caught up once.
    pub next: u64,
    /// Id of this daemon's instance; empty if the daemon is not an entry.
    pub own: &'a str,
    /// Ids of the listed instances of the region.
    pub listed: &'a [&'a str],
    /// Last reports of the entries of other instances.
    pub contacts: &'a [Contact<'a>],
}

impl FreshnessInputs<'_> {
    /// Whether the configuration is known to be up to date.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        is_head_recent(self.confirmed, now)
            || self.majority_until(now).is_some_and(|until| now < until)
    }

    /// Until when contact with a majority shows that the configuration is up to date.
    ///
    /// Returns none if any contact has folded more than this daemon.
    #[must_use]
    pub fn majority_until(&self, now: Instant) -> Option<Instant> {
        let ahead = self.contacts.iter().any(|contact| contact.next > self.next);
        if self.next == 0 || ahead {
            return None;
        }
        self.contact_until(now)
    }

    /// Until when a majority of the listed instances counts as in contact.
    ///
    /// Only instances that have caught up once count, this daemon's own included.
    #[must_use]
    pub fn contact_until(&self, now: Instant) -> Option<Instant> {
        let listed: BTreeSet<&str> = self.listed.iter().copied().collect();
        let mut latest: BTreeMap<&str, Instant> = BTreeMap::new();
        for contact in self.contacts {
            if contact.next > 0 && listed.contains(contact.instance) {
                let made = latest.entry(contact.instance).or_insert(contact.beat_at);
                *made = contact.beat_at.max(*made);
            }
        }
        let own_counts = self.next > 0 && listed.contains(self.own);
        let needed_others = listed.len() / 2 + usize::from(!own_counts);
        let mut made: Vec<Instant> = latest.into_values().collect();
        made.sort_unstable_by(|a, b| b.cmp(a));
        match needed_others {
            0 if listed.is_empty() => None,
            0 => Some(now + LONE_MAJORITY_TTL),
            _ => made.get(needed_others - 1).map(|made| *made + FRESH_FOR),
        }
    }
}

/// Whether the log's head was confirmed less than [`FRESH_FOR`] ago.
#[must_use]
pub fn is_head_recent(confirmed: Option<Instant>, now: Instant) -> bool {
    confirmed.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LISTED: [&str; 5] = ["a", "b", "c", "d", "e"];

    fn contact(instance: &str, age_ms: u64, next: u64, now: Instant) -> Contact<'_> {
        Contact {
            instance,
            beat_at: now
                .checked_sub(Duration::from_millis(age_ms))
                .expect("uptime"),
            next,
        }
    }

    fn fresh(head_age_ms: Option<u64>, next: u64, contacts: &[Contact<'_>], now: Instant) -> bool {
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).expect("uptime");
        let inputs = FreshnessInputs {
            confirmed: head_age_ms.map(ago),
            next,
            own: "a",
            listed: &LISTED,
            contacts,
        };
        inputs.is_fresh(now)
    }

    #[test]
    fn fresh_by_head() {
        let now = Instant::now();
        assert!(fresh(Some(2_999), 7, &[], now));
        assert!(!fresh(Some(3_000), 7, &[], now));
        assert!(!fresh(None, 7, &[], now));
    }

    #[test]
    fn fresh_by_majority() {
        let now = Instant::now();
        let recent = |next| [contact("b", 100, 7, now), contact("c", 100, next, now)];
        assert!(fresh(None, 7, &recent(7), now));
        assert!(fresh(None, 7, &recent(6), now), "a peer may be behind");
        assert!(!fresh(None, 7, &recent(8), now), "a peer is ahead");
        assert!(!fresh(None, 7, &recent(0), now), "a peer has just started");
        assert!(
            !fresh(None, 0, &recent(7), now),
            "this daemon has just started"
        );
        assert!(!fresh(None, 7, &recent(7)[..1], now), "a minority");
    }

    #[test]
    fn fresh_old_contact_can_only_block() {
        let now = Instant::now();
        let old = [contact("b", 100, 7, now), contact("c", 3_000, 7, now)];
        assert!(!fresh(None, 7, &old, now));
        let ahead = [
            contact("b", 100, 7, now),
            contact("c", 100, 7, now),
            contact("d", 9_000, 8, now),
        ];
        assert!(!fresh(None, 7, &ahead, now));
    }

    #[test]
    fn fresh_unlisted_do_not_count() {
        let now = Instant::now();
        let others = [contact("b", 100, 7, now), contact("x", 100, 7, now)];
        assert!(!fresh(None, 7, &others, now));
    }

    #[test]
    fn fresh_alone_is_majority() {
        let now = Instant::now();
        let alone = |next| FreshnessInputs {
            confirmed: None,
            next,
            own: "a",
            listed: &["a"],
            contacts: &[],
        };
        assert!(alone(7).is_fresh(now));
        assert!(!alone(0).is_fresh(now), "nothing was ever folded");
    }
}
