//! Tracks the listed instances, and whether this daemon's configuration is up to date.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::freshness::{Contact, FreshnessInputs, is_head_recent};
use super::{Link, PeerDigest, Peers, PendingHead};
use crate::names::{KeyDigest, Tenant};
use crate::wire::{ConfigSnapshot, Daemon, Instance, PeerMessage};

/// Interval at which the instance list is read.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the freshness of the configuration is evaluated.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last confirmation of the log's head after which a majority is looked for.
const MAJORITY_CHECK_AGE: Duration = Duration::from_millis(1_500);
/// Time without an answer from the log after which the state is requested from peers.
const LOG_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest time between two requests for a peer's state.
const STATE_ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the instance list until the process ends; a failed read keeps the last list.
pub(super) async fn poll_list(peers: Arc<Peers>) {
    loop {
        match peers.instances.list().await {
            Ok(mut list) => {
                list.retain(|instance| instance.region == peers.region);
                peers.listed.store(Arc::new(list));
            }
            Err(error) => {
                spdlog::warn!("instance list failed", kv: {
                    error = error.to_string(),
                });
            }
        }
        tokio::time::sleep(LIST_POLL_INTERVAL).await;
    }
}

/// Evaluates freshness at each interval, and wakes watchers when it is lost.
///
/// Each evaluation also brings this daemon's own digest up to date.
pub(super) async fn check_freshness(peers: Arc<Peers>) {
    let mut was_fresh = false;
    loop {
        peers.check_majority();
        let now = Instant::now();
        let fresh = peers.is_fresh(now);
        if was_fresh && !fresh {
            spdlog::warn!("configuration may be out of date", kv: {
                next = peers.config.state().next,
            });
            peers.wake.send_modify(|count| *count += 1);
        }
        was_fresh = fresh;
        peers.update_own(now);
        tokio::time::sleep(FRESHNESS_CHECK_INTERVAL).await;
    }
}

/// How many of the listed instances hold a record or deny a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceCount {
    /// Listed instances whose entry holds the record or denies the key.
    pub holding: u32,
    /// All listed instances.
    pub listed: u32,
}

impl InstanceCount {
    /// Whether a majority of the listed instances holds the record.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.holding > self.listed / 2
    }

    /// Whether all listed instances hold the record.
    #[must_use]
    pub fn is_all(self) -> bool {
        self.listed > 0 && self.holding == self.listed
    }
}

impl Peers {
    /// Counts the listed instances whose entry has folded the record at `offset`.
    #[must_use]
    pub fn count_holding(&self, offset: u64) -> InstanceCount {
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

    /// Counts the listed instances whose entry reports a key as denied.
    #[must_use]
    pub fn count_denying(&self, key: &str) -> InstanceCount {
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

    fn count_listed(&self, holds: impl Fn(&Instance) -> bool) -> InstanceCount {
        let listed = self.listed();
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        InstanceCount {
            holding: count(listed.iter().filter(|instance| holds(instance)).count()),
            listed: count(listed.len()),
        }
    }

    /// Whether this daemon can show that its configuration is up to date.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let confirmed = self.config.freshness().confirmed();
        is_head_recent(confirmed, now)
            || self.majority_until.lock().is_some_and(|until| now < until)
    }

    /// The tenant of a key in force, unless the key is denied.
    #[must_use]
    pub fn tenant(&self, key: &KeyDigest) -> Option<Tenant> {
        let state = self.config.state();
        let tenant = state.tenant(key).cloned();
        tenant.filter(|_| !self.denied.contains(key))
    }

    /// Recomputes until when contact with a majority shows that the configuration is up to date.
    fn check_majority(&self) {
        let now = Instant::now();
        let confirmed = self.config.freshness().confirmed();
        let is_needed =
            confirmed.is_none_or(|at| now.saturating_duration_since(at) > MAJORITY_CHECK_AGE);
        let until = if is_needed {
            self.with_inputs(|inputs| inputs.majority_until(now))
        } else {
            None
        };
        *self.majority_until.lock() = until;
    }

    /// Offset up to which this daemon has folded; 0 until it has caught up once.
    ///
    /// Before a restart the daemon may have folded more than it has now. Until it has caught up,
    /// it must not count towards a majority.
    pub(super) fn caught_up_next(&self) -> u64 {
        if self.config.freshness().confirmed().is_some() {
            self.caught_up.store(true, Ordering::Relaxed);
        }
        if self.caught_up.load(Ordering::Relaxed) {
            self.config.state().next
        } else {
            0
        }
    }

    fn with_inputs<T>(&self, decide: impl FnOnce(&FreshnessInputs<'_>) -> T) -> T {
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
                beat_at: peer.beat_at,
                next: peer.digest.config_next,
            })
            .collect();
        decide(&FreshnessInputs {
            confirmed: self.config.freshness().confirmed(),
            next: self.caught_up_next(),
            own,
            listed: &listed,
            contacts: &contacts,
        })
    }

    /// Handles a peer's report of its folded offset and of when that was the log's head.
    ///
    /// `next` is the peer's folded offset, `age` the milliseconds since the peer knew it to be
    /// the head, and `at` the earliest instant at which the peer can have made the report. If
    /// the peer is ahead, its state may be requested.
    pub(super) fn receive_head(&self, link: &Link, next: u64, age: Option<u64>, at: Instant) {
        let head_at = age.and_then(|age| at.checked_sub(Duration::from_millis(age)));
        if let Some(head_at) = head_at {
            self.confirm_head(PendingHead { next, at: head_at });
        }
        if next > self.config.state().next && self.should_ask_state(next) {
            *self.state_asked.lock() = Some(Instant::now());
            let _ = link.send(PeerMessage::StateAsk);
        }
    }

    /// Confirms a reported head of the log, or keeps the report until that head is folded.
    fn confirm_head(&self, head: PendingHead) {
        let mut pending = self.pending_head.lock();
        if self.config.state().next >= head.next {
            self.config.freshness().confirm(head.at);
        } else if pending.is_none_or(|known| known.at < head.at) {
            *pending = Some(head);
        }
    }

    /// Updates what depends on the configuration after a change, and wakes watchers.
    pub(super) fn config_changed(&self) {
        self.denied.remove_withdrawn(&self.config.state());
        let pending = self.pending_head.lock().take();
        if let Some(head) = pending {
            self.confirm_head(head);
        }
        self.wake.send_modify(|count| *count += 1);
    }

    /// Whether to request the state from a peer that has folded up to `next`.
    ///
    /// A daemon that has not caught up since its start takes only the newest state known, and
    /// only in contact with a majority: before its restart, it may itself have been one of the
    /// majority that held a newer record.
    fn should_ask_state(&self, next: u64) -> bool {
        let now = Instant::now();
        let recent = |instant: Option<Instant>, limit| {
            instant.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        if recent(self.config.freshness().last_read(), LOG_TIMEOUT)
            || recent(*self.state_asked.lock(), STATE_ASK_INTERVAL)
        {
            return false;
        }
        if self.caught_up_next() > 0 {
            return true;
        }
        self.with_inputs(|inputs| {
            let newest = inputs.contacts.iter().map(|contact| contact.next).max();
            inputs.contact_until(now).is_some_and(|until| now < until)
                && newest.is_some_and(|newest| next >= newest)
        })
    }

    /// Answers a request for the state, if this daemon has caught up once.
    pub(super) fn send_state(&self, link: &Link) {
        if self.caught_up_next() == 0 {
            return;
        }
        let state = self.config.state();
        let _ = link.send(PeerMessage::State {
            state: state.snapshot(),
            upto: state.next,
        });
    }

    /// Restores the configuration from a peer's state, if one was ever requested.
    pub(super) fn restore_state(&self, link: &Link, upto: u64, state: ConfigSnapshot) {
        if self.state_asked.lock().is_none() {
            return;
        }
        spdlog::info!("state taken from a peer", kv: {
            peer = link.peer.instance.as_str(),
            upto,
        });
        self.config.restore(upto, state);
        self.caught_up.store(true, Ordering::Relaxed);
        self.config_changed();
    }
}

/// The address at which a daemon accepts links: from the instance list, else from its digest.
pub(super) fn peer_address(peers: &Peers, digest: &crate::wire::Digest) -> String {
    let listed = peers.listed();
    match listed
        .iter()
        .find(|instance| instance.id == digest.instance)
    {
        Some(instance) if digest.daemon == Daemon::Entry => instance.entry_peer.clone(),
        Some(instance) => instance.control_peer.clone(),
        None => digest.peer.clone(),
    }
}
