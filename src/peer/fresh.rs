//! Whether a daemon can show that its configuration is up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Age up to which knowledge of the log's head, or a contact, counts.
pub const FRESH_FOR: Duration = Duration::from_secs(3);

/// Time after which a lone instance looks at its contacts again.
const ALWAYS: Duration = Duration::from_secs(60);

/// What one instance's entry last said.
#[derive(Clone, Copy, Debug)]
pub struct Contact<'a> {
    /// The instance.
    pub instance: &'a str,
    /// When it said so, at the earliest.
    pub made: Instant,
    /// Offset up to which it has folded; 0 until it has caught up once.
    pub next: u64,
}

/// What a daemon knows when it asks whether it is fresh.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// When what is folded was last known to be the log's head.
    pub seen: Option<Instant>,
    /// Offset up to which this daemon has folded; 0 until it has caught up once.
    pub next: u64,
    /// This daemon's instance.
    pub own: &'a str,
    /// The listed instances of the region.
    pub listed: &'a [&'a str],
    /// What the entries of other instances said.
    pub contacts: &'a [Contact<'a>],
}

impl Knowledge<'_> {
    /// Whether the configuration is known to be up to date.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        is_head_recent(self.seen, now) || self.majority_until(now).is_some_and(|until| now < until)
    }

    /// Until when a majority with nobody ahead shows that the configuration is up to date.
    #[must_use]
    pub fn majority_until(&self, now: Instant) -> Option<Instant> {
        let ahead = self.contacts.iter().any(|contact| contact.next > self.next);
        if self.next == 0 || ahead {
            return None;
        }
        self.contact_until(now)
    }

    /// Until when a majority of the listed instances, all caught up, counts as in contact.
    #[must_use]
    pub fn contact_until(&self, now: Instant) -> Option<Instant> {
        let listed: BTreeSet<&str> = self.listed.iter().copied().collect();
        let mut latest: BTreeMap<&str, Instant> = BTreeMap::new();
        for contact in self.contacts {
            if contact.next > 0 && listed.contains(contact.instance) {
                let made = latest.entry(contact.instance).or_insert(contact.made);
                *made = contact.made.max(*made);
            }
        }
        let own = self.next > 0 && listed.contains(self.own);
        let others = listed.len() / 2 + usize::from(!own);
        let mut made: Vec<Instant> = latest.into_values().collect();
        made.sort_unstable_by(|a, b| b.cmp(a));
        match others {
            0 if listed.is_empty() => None,
            0 => Some(now + ALWAYS),
            _ => made.get(others - 1).map(|made| *made + FRESH_FOR),
        }
    }
}

/// Whether the log's head was known a short while ago.
#[must_use]
pub fn is_head_recent(seen: Option<Instant>, now: Instant) -> bool {
    seen.is_some_and(|seen| now.saturating_duration_since(seen) < FRESH_FOR)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LISTED: [&str; 5] = ["a", "b", "c", "d", "e"];

    fn contact(instance: &str, age: u64, next: u64, now: Instant) -> Contact<'_> {
        Contact {
            instance,
            made: now.checked_sub(Duration::from_millis(age)).expect("uptime"),
            next,
        }
    }

    fn fresh(seen: Option<u64>, next: u64, contacts: &[Contact<'_>], now: Instant) -> bool {
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).expect("uptime");
        let knowledge = Knowledge {
            seen: seen.map(ago),
            next,
            own: "a",
            listed: &LISTED,
            contacts,
        };
        knowledge.is_fresh(now)
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
        let near = |next| [contact("b", 100, 7, now), contact("c", 100, next, now)];
        assert!(fresh(None, 7, &near(7), now));
        assert!(fresh(None, 7, &near(6), now), "a peer may be behind");
        assert!(!fresh(None, 7, &near(8), now), "a peer is ahead");
        assert!(!fresh(None, 7, &near(0), now), "a peer has just started");
        assert!(
            !fresh(None, 0, &near(7), now),
            "this daemon has just started"
        );
        assert!(!fresh(None, 7, &near(7)[..1], now), "a minority");
    }

    #[test]
    fn fresh_old_contact_counts_only_against() {
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
        let alone = |next| Knowledge {
            seen: None,
            next,
            own: "a",
            listed: &["a"],
            contacts: &[],
        };
        assert!(alone(7).is_fresh(now));
        assert!(!alone(0).is_fresh(now), "nothing was ever folded");
    }
}
