//! Which instances there are, and whether the configuration is up to date among them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::fresh::{Contact, Knowledge, is_head_recent};
use super::{Ahead, Link, PeerDigest, Peers};
use crate::names::{KeyDigest, Tenant};
use crate::wire::{ConfigSnapshot, Daemon, Instance, PeerMessage};

/// Time between two readings of the instance list.
const POLL: Duration = Duration::from_secs(1);
/// Time between two looks at who is in contact.
const REVIEW: Duration = Duration::from_millis(100);
/// Age up to which knowledge of the log's head makes a look for a majority needless.
const HEAD_ENOUGH: Duration = Duration::from_millis(1_500);
/// Time without an answer of the log after which the state is taken from peers.
const LOG_SILENCE: Duration = Duration::from_millis(1_200);
/// Time between two requests for a peer's state.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// Follows the instance list for ever; outages leave it as it is.
pub(super) async fn follow(peers: Arc<Peers>) {
    loop {
        match peers.instances.list().await {
            Ok(mut list) => {
                list.retain(|instance| instance.region == peers.region);
                peers.listed.store(Arc::new(list));
            }
            Err(error) => {
                spdlog::warn!("instance list failed", kv: { error = error.to_string() });
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Keeps the knowledge of a majority up to date for ever.
pub(super) async fn review(peers: Arc<Peers>) {
    let mut was_fresh = false;
    loop {
        peers.review_majority();
        let now = Instant::now();
        let fresh = peers.is_fresh(now);
        if was_fresh && !fresh {
            spdlog::warn!("configuration may be out of date", kv: {
                next = peers.config.state().next,
            });
            peers.wake.send_modify(|count| *count += 1);
        }
        was_fresh = fresh;
        peers.count_own(now);
        tokio::time::sleep(REVIEW).await;
    }
}

/// How many of the listed instances hold an offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Listed instances whose entry has folded the offset.
    pub holding: u32,
    /// Listed instances.
    pub listed: u32,
}

impl Holding {
    /// Whether a majority holds it.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.holding > self.listed / 2
    }

    /// Whether all hold it.
    #[must_use]
    pub fn is_all(self) -> bool {
        self.listed > 0 && self.holding == self.listed
    }
}

impl Peers {
    /// How many of the listed instances hold the record at `offset`.
    #[must_use]
    pub fn holding(&self, offset: u64) -> Holding {
        let table = self.table.lock();
        let digests: Vec<&PeerDigest> = table.alive(Instant::now()).collect();
        self.count_listed(|instance| {
            digests.iter().any(|peer| {
                let digest = &peer.digest;
                digest.daemon == Daemon::Entry
                    && digest.instance == instance.id
                    && digest.config_next > offset
            })
        })
    }

    /// How many of the listed instances deny a key or hold its withdrawal.
    #[must_use]
    pub fn denying(&self, key: &str) -> Holding {
        let table = self.table.lock();
        let digests: Vec<&PeerDigest> = table.alive(Instant::now()).collect();
        self.count_listed(|instance| {
            digests.iter().any(|peer| {
                let digest = &peer.digest;
                digest.daemon == Daemon::Entry
                    && digest.instance == instance.id
                    && digest.denied.iter().any(|denied| denied == key)
            })
        })
    }

    fn count_listed(&self, holds: impl Fn(&Instance) -> bool) -> Holding {
        let listed = self.listed();
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        Holding {
            holding: count(listed.iter().filter(|instance| holds(instance)).count()),
            listed: count(listed.len()),
        }
    }

    /// Whether this daemon can show that its configuration is up to date.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let seen = self.config.freshness().seen();
        is_head_recent(seen, now) || self.majority.lock().is_some_and(|until| now < until)
    }

    /// The tenant of a key that is in force, as far as this daemon knows.
    #[must_use]
    pub fn tenant(&self, key: &KeyDigest) -> Option<Tenant> {
        let state = self.config.state();
        let tenant = state.tenant(key).cloned();
        tenant.filter(|_| !self.denied.contains(key))
    }

    /// Works out anew until when a majority shows that the configuration is up to date.
    fn review_majority(&self) {
        let now = Instant::now();
        let seen = self.config.freshness().seen();
        let is_needed = seen.is_none_or(|seen| now.saturating_duration_since(seen) > HEAD_ENOUGH);
        let until = if is_needed {
            self.with_knowledge(|known| known.majority_until(now))
        } else {
            None
        };
        *self.majority.lock() = until;
    }

    /// Offset up to which this daemon has folded; 0 until it has caught up once.
    ///
    /// A daemon that has just started may have held more before; until it has caught up,
    /// it must not count towards a majority.
    pub(super) fn settled_next(&self) -> u64 {
        if self.config.freshness().seen().is_some() {
            self.settled.store(true, Ordering::Relaxed);
        }
        if self.settled.load(Ordering::Relaxed) {
            self.config.state().next
        } else {
            0
        }
    }

    fn with_knowledge<T>(&self, decide: impl FnOnce(&Knowledge<'_>) -> T) -> T {
        let listed = self.listed();
        let listed: Vec<&str> = listed.iter().map(|i| i.id.as_str()).collect();
        let table = self.table.lock();
        let is_entry = self.me.daemon == Daemon::Entry;
        let own = if is_entry {
            self.me.instance.as_str()
        } else {
            ""
        };
        let contacts: Vec<Contact<'_>> = table
            .alive(Instant::now())
            .filter(|peer| peer.digest.daemon == Daemon::Entry && peer.digest.instance != own)
            .map(|peer| Contact {
                instance: &peer.digest.instance,
                made: peer.made,
                next: peer.digest.config_next,
            })
            .collect();
        decide(&Knowledge {
            seen: self.config.freshness().seen(),
            next: self.settled_next(),
            own,
            listed: &listed,
            contacts: &contacts,
        })
    }

    /// Takes what a peer knows of the log's head; it was so at `at` at the earliest.
    pub(super) fn told_head(&self, link: &Link, next: u64, age: Option<u64>, at: Instant) {
        let head_at = age.and_then(|age| at.checked_sub(Duration::from_millis(age)));
        if let Some(head_at) = head_at {
            self.note_head(Ahead { next, at: head_at });
        }
        if next > self.config.state().next && self.wants_state(next) {
            *self.asked.lock() = Some(Instant::now());
            let _ = link.send(PeerMessage::StateAsk);
        }
    }

    /// Confirms the head if it is folded already, else keeps it until it is.
    fn note_head(&self, head: Ahead) {
        let mut ahead = self.ahead.lock();
        if self.config.state().next >= head.next {
            self.config.freshness().confirm(head.at);
        } else if ahead.is_none_or(|known| known.at < head.at) {
            *ahead = Some(head);
        }
    }

    /// Takes note that the configuration changed.
    pub(super) fn config_changed(&self) {
        self.denied.settle(&self.config.state());
        let ahead = self.ahead.lock().take();
        if let Some(ahead) = ahead {
            self.note_head(ahead);
        }
        self.wake.send_modify(|count| *count += 1);
    }

    /// Whether to take the state from a peer that has folded up to `next`.
    ///
    /// A daemon that has just started needs a majority, and the newest state of it: what
    /// it held before it restarted may have made up a majority.
    fn wants_state(&self, next: u64) -> bool {
        let now = Instant::now();
        let recent = |instant: Option<Instant>, limit| {
            instant.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        if recent(self.config.freshness().read(), LOG_SILENCE)
            || recent(*self.asked.lock(), ASK_PAUSE)
        {
            return false;
        }
        if self.settled_next() > 0 {
            return true;
        }
        self.with_knowledge(|known| {
            let newest = known.contacts.iter().map(|contact| contact.next).max();
            known.contact_until(now).is_some_and(|until| now < until)
                && newest.is_some_and(|newest| next >= newest)
        })
    }

    pub(super) fn tell_state(&self, link: &Link) {
        if self.settled_next() == 0 {
            return;
        }
        let state = self.config.state();
        let _ = link.send(PeerMessage::State {
            state: state.snapshot(),
            upto: state.next,
        });
    }

    pub(super) fn take_state(&self, link: &Link, upto: u64, state: ConfigSnapshot) {
        if self.asked.lock().is_none() {
            return;
        }
        spdlog::info!("state taken from a peer", kv: {
            peer = link.peer.instance.as_str(),
            upto,
        });
        self.config.restore(upto, state);
        self.settled.store(true, Ordering::Relaxed);
        self.config_changed();
    }
}

/// The address of a daemon's peers' link: as it is listed, else as the daemon says.
pub(super) fn peer_address(peers: &Peers, digest: &crate::wire::Digest) -> String {
    let listed = peers.listed();
    match listed.iter().find(|listed| listed.id == digest.instance) {
        Some(listed) if digest.daemon == Daemon::Entry => listed.entry_peer.clone(),
        Some(listed) => listed.control_peer.clone(),
        None => digest.peer.clone(),
    }
}
