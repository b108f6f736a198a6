//! Gossip-based membership: each daemon exchanges digests over links to a few peers.
//!
//! A daemon describes itself in a digest, and peers relay digests from link to link. [`table`]
//! stores the digests, [`clock`] bounds their age, [`freshness`] decides whether they prove that
//! the configuration is up to date, and [`pick`] chooses the peers to link to.

mod calls;
pub mod clock;
mod denied_keys;
mod dial;
pub mod freshness;
mod heartbeat_columns;
mod link;
mod local_status;
mod membership;
mod metrics;
pub mod pick;
mod socket;
pub mod table;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

pub use calls::CallError;
pub use denied_keys::DeniedKeys;
pub use link::{Link, PeerId};
pub use local_status::{LocalStatus, ObservedCrash};
pub use membership::InstanceCount;
pub use metrics::PeerMetrics;
pub use table::PeerDigest;

use crate::edge::Instances;
use crate::log::ConfigLog;
use crate::names::{Incarnation, Secret, Zone};
use crate::rank::is_selected;
use crate::settings::{Listen, Settings};
use crate::util::millis;
use crate::wire::{Beat, Daemon, Digest, Instance, OnceAnswer, PeerMessage};

use calls::Calls;
use local_status::Published;
use table::{DigestTable, PeerView};

/// Number of instances that read the configuration log; the others take its state from peers.
const LOG_READERS: usize = 12;
/// Called for each received message that this module does not handle itself.
type Handler = Arc<dyn Fn(&Arc<Link>, &PeerMessage) + Send + Sync>;

/// One daemon's links to its peers, and what it knows from them.
pub struct Peers {
    me: PeerId,
    zone: Zone,
    region: String,
    listen: Listen,
    secret: Secret,
    config: Arc<ConfigLog>,
    instances: Arc<dyn Instances>,
    listed: ArcSwap<Vec<Instance>>,
    table: Mutex<DigestTable>,
    published: Mutex<Published>,
    links: Mutex<BTreeMap<u64, Arc<Link>>>,
    handlers: RwLock<Vec<Handler>>,
    calls: Calls,
    denied: DeniedKeys,
    /// Whether this daemon has caught up with the log once since its start.
    caught_up: AtomicBool,
    /// When a peer was last asked for its configuration state.
    state_asked: Mutex<Option<Instant>>,
    pending_head: Mutex<Option<PendingHead>>,
    /// Until when contact with a majority shows that the configuration is up to date.
    majority_until: Mutex<Option<Instant>>,
    /// Id of the next link.
    link_ids: AtomicU64,
    /// Counted up to trigger a round of digests on all links.
    wake: watch::Sender<u64>,
    metrics: PeerMetrics,
}

/// A head of the log that a peer reported and this daemon has not folded yet.
#[derive(Clone, Copy, Debug)]
struct PendingHead {
    next: u64,
    /// Latest instant at which `next` is known to have been the head.
    at: Instant,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Creates the peer links of one daemon; [`Self::run`] starts them.
    #[must_use]
    pub fn new(
        settings: &Settings,
        daemon: Daemon,
        incarnation: &Incarnation,
        config: Arc<ConfigLog>,
        instances: Arc<dyn Instances>,
        meter: &Meter,
    ) -> Arc<Self> {
        let listen = match daemon {
            Daemon::Entry => settings.entry.clone(),
            Daemon::Control => settings.control.clone(),
        };
        Arc::new(Self {
            me: PeerId {
                instance: settings.instance.clone(),
                daemon,
                incarnation: incarnation.clone(),
            },
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            listen,
            secret: settings.peer_secret.clone(),
            config,
            instances,
            listed: ArcSwap::default(),
            table: Mutex::default(),
            published: Mutex::default(),
            links: Mutex::default(),
            handlers: RwLock::default(),
            calls: Calls::default(),
            denied: DeniedKeys::default(),
            caught_up: AtomicBool::new(false),
            state_asked: Mutex::new(None),
            pending_head: Mutex::new(None),
            majority_until: Mutex::new(None),
            link_ids: AtomicU64::new(0),
            wake: watch::Sender::new(0),
            metrics: PeerMetrics::new(meter),
        })
    }

    /// Listens for links, and spawns tasks that run until the process ends.
    ///
    /// # Errors
    /// The address for links cannot be bound.
    pub async fn run(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(self.listen.peer).await?;
        tokio::spawn(dial::accept(Arc::clone(self), listener));
        tokio::spawn(membership::poll_list(Arc::clone(self)));
        tokio::spawn(membership::check_freshness(Arc::clone(self)));
        tokio::spawn(dial::maintain(Arc::clone(self)));
        tokio::spawn(watch_config(Arc::clone(self)));
        Ok(())
    }

    /// The identity of this daemon.
    #[must_use]
    pub fn me(&self) -> &PeerId {
        &self.me
    }

    /// Changes what this daemon publishes about itself.
    ///
    /// A change of `leaving` or of the crashes is sent at once.
    pub fn update(&self, change: impl FnOnce(&mut LocalStatus)) {
        let mut published = self.published.lock();
        let leaving = published.status.leaving;
        let crashes = published.status.crashes.clone();
        change(&mut published.status);
        let urgent = published.status.leaving != leaving || published.status.crashes != crashes;
        if urgent {
            published.skip_debounce();
        }
        drop(published);
        if urgent {
            self.wake.send_modify(|count| *count += 1);
        }
    }

    /// The digests of all daemons that are not gone, this daemon's included.
    #[must_use]
    pub fn digests(&self) -> Vec<PeerDigest> {
        self.table.lock().alive(Instant::now()).cloned().collect()
    }

    /// Passes the digests of daemons that are not gone to `read`, without copying.
    ///
    /// `read` runs under the table's lock, so it must not call methods that read digests.
    pub fn with_digests<T>(
        &self,
        read: impl FnOnce(&mut dyn Iterator<Item = &PeerDigest>) -> T,
    ) -> T {
        let table = self.table.lock();
        read(&mut table.alive(Instant::now()))
    }

    /// The digest of one incarnation, unless the daemon is gone.
    #[must_use]
    pub fn digest(&self, incarnation: &str) -> Option<PeerDigest> {
        let now = Instant::now();
        let table = self.table.lock();
        let found = table
            .alive(now)
            .find(|d| d.digest.incarnation == incarnation);
        found.cloned()
    }

    /// Whether this daemon's instance is one of those that read the configuration log.
    #[must_use]
    pub fn reads_log(&self) -> bool {
        let listed = self.listed();
        is_selected(&"config", LOG_READERS, self.me.instance.as_str(), &listed)
    }

    /// The instances of this region, from the last successful read of the list.
    #[must_use]
    pub fn listed(&self) -> Arc<Vec<Instance>> {
        self.listed.load_full()
    }

    /// Registers a handler for received messages; it runs on the link's task.
    ///
    /// Handlers receive the messages that this module does not handle itself.
    pub fn on_message(&self, handler: impl Fn(&Arc<Link>, &PeerMessage) + Send + Sync + 'static) {
        self.handlers.write().push(Arc::new(handler));
    }

    /// Denies keys on all daemons until the log shows them withdrawn.
    ///
    /// This daemon denies the keys at once; the others learn of them from digests.
    pub fn deny<'a>(&self, keys: impl Iterator<Item = &'a str>) {
        if self.denied.add(keys, &self.config.state()) {
            self.wake.send_modify(|count| *count += 1);
        }
    }

    /// The keys that are denied before the log shows them withdrawn.
    #[must_use]
    pub fn denied(&self) -> &DeniedKeys {
        &self.denied
    }

    /// Watches for changes that trigger a round of digests to all peers.
    ///
    /// These are changes of the configuration, loss of its freshness, newly denied keys, and
    /// urgent changes of this daemon's own digest.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.wake.subscribe()
    }

    /// The open links, one for each peer.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<Link>> {
        let links = self.links.lock();
        let mut found: BTreeMap<&PeerId, &Arc<Link>> = BTreeMap::new();
        for link in links.values() {
            found.insert(&link.peer, link);
        }
        found.into_values().cloned().collect()
    }

    /// Sends a message to an incarnation, over a new link if none is open.
    ///
    /// # Errors
    /// No link could be opened, or its queue is full; nothing was sent.
    pub async fn send(
        self: &Arc<Self>,
        to: &Incarnation,
        message: PeerMessage,
    ) -> Result<(), CallError> {
        let link = self.link_to(to).await?;
        if link.send(message) {
            Ok(())
        } else {
            Err(CallError::Unsent)
        }
    }

    /// Sends the message built for the call's number, and waits for the answer.
    ///
    /// # Errors
    /// [`CallError`] says whether the call may have been sent.
    pub async fn call(
        self: &Arc<Self>,
        to: &Incarnation,
        message: impl FnOnce(u64) -> PeerMessage + Send,
    ) -> Result<OnceAnswer, CallError> {
        let link = self.link_to(to).await?;
        self.calls.call(&link, message).await
    }

    async fn link_to(self: &Arc<Self>, to: &Incarnation) -> Result<Arc<Link>, CallError> {
        if let Some(link) = self.open_link(to) {
            return Ok(link);
        }
        dial::link_to(self, to).await.ok_or(CallError::Unsent)
    }

    fn open_link(&self, to: &Incarnation) -> Option<Arc<Link>> {
        let links = self.links.lock();
        let found = links.values().find(|link| link.peer.incarnation == *to);
        found.cloned()
    }

    fn next_link_id(&self) -> u64 {
        self.link_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Builds the message of one round of digests on a link.
    fn digests_message(&self, link: &Link, now: Instant) -> PeerMessage {
        self.update_own(now);
        let mut exchange = link.exchange.lock();
        let (echo, held_ms) = exchange.clock.echo(now);
        let stamp = exchange.clock.stamp(now);
        let (digests, beats) = self.table.lock().missing_from(&mut exchange.view, now);
        drop(exchange);
        let state = self.config.state();
        let confirmed = self.config.freshness().confirmed();
        PeerMessage::Digests {
            beats: heartbeat_columns::pack(&beats),
            digests,
            echo,
            head_age_ms: confirmed.map(|at| millis(now.saturating_duration_since(at))),
            held_ms,
            next: state.next,
            stamp,
        }
    }

    /// Handles a message received on a link.
    fn receive(self: &Arc<Self>, link: &Arc<Link>, message: PeerMessage) {
        match message {
            PeerMessage::Digests { .. } => self.receive_digests(link, message),
            PeerMessage::StateAsk => self.send_state(link),
            PeerMessage::State { state, upto } => self.restore_state(link, upto, state),
            PeerMessage::OnceAnswer { answer, call } => self.calls.complete(link, call, answer),
            PeerMessage::Hello { .. }
            | PeerMessage::OnceAsk { .. }
            | PeerMessage::UsageCopy { .. } => {
                for handler in self.handlers.read().iter() {
                    handler(link, &message);
                }
            }
        }
    }

    fn receive_digests(&self, link: &Link, message: PeerMessage) {
        let PeerMessage::Digests {
            beats,
            digests,
            echo,
            head_age_ms,
            held_ms,
            next,
            stamp,
        } = message
        else {
            return;
        };
        let Some(beats) = heartbeat_columns::unpack(&beats) else {
            spdlog::warn!("heartbeat columns of unequal length dropped", kv: {
                peer = link.peer.instance.as_str(),
            });
            return;
        };
        let now = Instant::now();
        let mut exchange = link.exchange.lock();
        let at = exchange.clock.receive(stamp, echo, held_ms, now);
        self.merge_digests(&mut exchange.view, digests, at, now);
        self.merge_beats(&mut exchange.view, &beats, at, now);
        drop(exchange);
        self.receive_head(link, next, head_age_ms, at);
    }

    /// Merges received digests into the table.
    ///
    /// `at` is the earliest instant at which they can have been sent.
    fn merge_digests(&self, view: &mut PeerView, digests: Vec<Digest>, at: Instant, now: Instant) {
        let mut table = self.table.lock();
        for digest in digests {
            view.record_digest(&digest);
            self.deny(digest.denied.iter().map(String::as_str));
            if digest.incarnation != self.me.incarnation.as_str() {
                table.merge_digest(digest, at, now);
            }
        }
    }

    /// Merges received heartbeats into the table.
    ///
    /// `at` is the earliest instant at which they can have been sent.
    fn merge_beats(&self, view: &mut PeerView, beats: &[Beat], at: Instant, now: Instant) {
        let own = table::beat_id(self.me.incarnation.as_str());
        let mut table = self.table.lock();
        for beat in beats {
            view.record_beat(beat);
            if beat.id != own {
                table.merge_beat(beat, at, now);
            }
        }
    }
}

/// Notifies peers as soon as the configuration changes.
async fn watch_config(peers: Arc<Peers>) {
    let mut next = peers.config.watch();
    while next.changed().await.is_ok() {
        peers.config_changed();
    }
}
