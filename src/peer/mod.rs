//! Membership: what daemons tell each other, over links to a few peers each.
//!
//! A daemon's digest travels from link to link. [`table`] keeps the digests, [`clock`]
//! bounds their age, [`fresh`] decides what they prove, and [`pick`] chooses the links.

mod beats;
mod calls;
pub mod clock;
mod denied;
mod dial;
pub mod fresh;
mod link;
mod members;
mod metrics;
mod own;
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
pub use denied::Denied;
pub use link::{Link, PeerId};
pub use members::Holding;
pub use metrics::PeerMetrics;
pub use own::{Own, OwnCrash};
pub use table::PeerDigest;

use crate::edge::Instances;
use crate::log::ConfigLog;
use crate::names::{Incarnation, Secret, Zone};
use crate::rank::is_chosen;
use crate::settings::{Listen, Settings};
use crate::util::millis;
use crate::wire::{Beat, Daemon, Digest, Instance, OnceAnswer, PeerMessage};

use calls::Calls;
use own::Counted;
use table::{DigestTable, PeerView};

/// Instances that read the configuration stream; the others hear of it from peers.
const LOG_READERS: usize = 12;
type Handler = Arc<dyn Fn(&Arc<Link>, &PeerMessage) + Send + Sync>;

/// One daemon's side of the peers' link.
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
    counted: Mutex<Counted>,
    links: Mutex<BTreeMap<u64, Arc<Link>>>,
    handlers: RwLock<Vec<Handler>>,
    calls: Calls,
    denied: Denied,
    settled: AtomicBool,
    asked: Mutex<Option<Instant>>,
    ahead: Mutex<Option<Ahead>>,
    majority: Mutex<Option<Instant>>,
    ids: AtomicU64,
    wake: watch::Sender<u64>,
    metrics: PeerMetrics,
}

/// A head of the log that peers know and this daemon has not folded yet.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    next: u64,
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
    /// The peers' link of one daemon; [`Self::run`] starts it.
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
            counted: Mutex::default(),
            links: Mutex::default(),
            handlers: RwLock::default(),
            calls: Calls::default(),
            denied: Denied::default(),
            settled: AtomicBool::new(false),
            asked: Mutex::new(None),
            ahead: Mutex::new(None),
            majority: Mutex::new(None),
            ids: AtomicU64::new(0),
            wake: watch::Sender::new(0),
            metrics: PeerMetrics::new(meter),
        })
    }

    /// Listens, follows the instance list and keeps links, until the process ends.
    ///
    /// # Errors
    /// The address of the peers' link cannot be bound.
    pub async fn run(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(self.listen.peer).await?;
        tokio::spawn(dial::accept(Arc::clone(self), listener));
        tokio::spawn(members::follow(Arc::clone(self)));
        tokio::spawn(members::review(Arc::clone(self)));
        tokio::spawn(dial::keep(Arc::clone(self)));
        tokio::spawn(watch_config(Arc::clone(self)));
        Ok(())
    }

    /// This daemon.
    #[must_use]
    pub fn me(&self) -> &PeerId {
        &self.me
    }

    /// Changes what this daemon tells about itself.
    pub fn update(&self, change: impl FnOnce(&mut Own)) {
        let mut counted = self.counted.lock();
        let leaving = counted.own.leaving;
        let crashes = counted.own.crashes.clone();
        change(&mut counted.own);
        let urgent = counted.own.leaving != leaving || counted.own.crashes != crashes;
        if urgent {
            counted.hurry();
        }
        drop(counted);
        if urgent {
            self.wake.send_modify(|count| *count += 1);
        }
    }

    /// The digests of all daemons that are not gone, this one's included.
    #[must_use]
    pub fn digests(&self) -> Vec<PeerDigest> {
        self.table.lock().alive(Instant::now()).cloned().collect()
    }

    /// Looks at the digests of all daemons that are not gone, without copying them.
    ///
    /// `look` must not ask for digests itself.
    pub fn with_digests<T>(
        &self,
        look: impl FnOnce(&mut dyn Iterator<Item = &PeerDigest>) -> T,
    ) -> T {
        let table = self.table.lock();
        look(&mut table.alive(Instant::now()))
    }

    /// The digest of one incarnation, unless it is gone.
    #[must_use]
    pub fn digest(&self, incarnation: &str) -> Option<PeerDigest> {
        let now = Instant::now();
        let table = self.table.lock();
        let found = table
            .alive(now)
            .find(|d| d.digest.incarnation == incarnation);
        found.cloned()
    }

    /// Whether this daemon is among those that read the log for the others.
    #[must_use]
    pub fn reads_log(&self) -> bool {
        let listed = self.listed();
        is_chosen(&"config", LOG_READERS, self.me.instance.as_str(), &listed)
    }

    /// The instances of this region, as last listed.
    #[must_use]
    pub fn listed(&self) -> Arc<Vec<Instance>> {
        self.listed.load_full()
    }

    /// Calls `handler` for every message that came on a link, on the link's own task.
    pub fn on_message(&self, handler: impl Fn(&Arc<Link>, &PeerMessage) + Send + Sync + 'static) {
        self.handlers.write().push(Arc::new(handler));
    }

    /// Denies keys here, and by digests everywhere, until the log shows them withdrawn.
    pub fn deny<'a>(&self, keys: impl Iterator<Item = &'a str>) {
        if self.denied.add(keys, &self.config.state()) {
            self.wake.send_modify(|count| *count += 1);
        }
    }

    /// The keys that are denied before the log shows them withdrawn.
    #[must_use]
    pub fn denied(&self) -> &Denied {
        &self.denied
    }

    /// Watches for changes of the configuration and the loss of its freshness.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.wake.subscribe()
    }

    /// Open links, one for each peer.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<Link>> {
        let links = self.links.lock();
        let mut found: BTreeMap<&PeerId, &Arc<Link>> = BTreeMap::new();
        for link in links.values() {
            found.insert(&link.peer, link);
        }
        found.into_values().cloned().collect()
    }

    /// Sends a message to an incarnation, on a new link if none is open.
    ///
    /// # Errors
    /// No link could be made, or its queue is full; nothing was sent.
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

    /// Sends what `message` makes of the call's number, and waits for the answer.
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

    fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// The digests message of one round on one link.
    fn round(&self, link: &Link, now: Instant) -> PeerMessage {
        self.count_own(now);
        let mut rounds = link.rounds.lock();
        let (echo, held_ms) = rounds.clock.echo(now);
        let stamp = rounds.clock.stamp(now);
        let (digests, beats) = self.table.lock().lacking(&mut rounds.view, now);
        drop(rounds);
        let state = self.config.state();
        let seen = self.config.freshness().seen();
        PeerMessage::Digests {
            beats: beats::pack(&beats),
            digests,
            echo,
            head_age_ms: seen.map(|seen| millis(now.saturating_duration_since(seen))),
            held_ms,
            next: state.next,
            stamp,
        }
    }

    /// Takes a message that came on a link.
    fn received(self: &Arc<Self>, link: &Arc<Link>, message: PeerMessage) {
        match message {
            PeerMessage::Digests { .. } => self.take_digests(link, message),
            PeerMessage::StateAsk => self.tell_state(link),
            PeerMessage::State { state, upto } => self.take_state(link, upto, state),
            PeerMessage::OnceAnswer { answer, call } => self.calls.answered(link, call, answer),
            PeerMessage::Hello { .. }
            | PeerMessage::OnceAsk { .. }
            | PeerMessage::UsageCopy { .. } => {
                for handler in self.handlers.read().iter() {
                    handler(link, &message);
                }
            }
        }
    }

    fn take_digests(&self, link: &Link, message: PeerMessage) {
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
        let Some(beats) = beats::unpack(&beats) else {
            spdlog::warn!("malformed beats dropped", kv: {
                peer = link.peer.instance.as_str(),
            });
            return;
        };
        let now = Instant::now();
        let mut rounds = link.rounds.lock();
        let at = rounds.clock.came(stamp, echo, held_ms, now);
        self.note_digests(&mut rounds.view, digests, at, now);
        self.note_beats(&mut rounds.view, &beats, at, now);
        drop(rounds);
        self.told_head(link, next, head_age_ms, at);
    }

    /// Takes digests over that were so at `at` at the earliest.
    fn note_digests(&self, view: &mut PeerView, digests: Vec<Digest>, at: Instant, now: Instant) {
        let mut table = self.table.lock();
        for digest in digests {
            view.note_digest(&digest);
            self.deny(digest.denied.iter().map(String::as_str));
            if digest.incarnation != self.me.incarnation.as_str() {
                table.take_digest(digest, at, now);
            }
        }
    }

    /// Takes beats over that were so at `at` at the earliest.
    fn note_beats(&self, view: &mut PeerView, beats: &[Beat], at: Instant, now: Instant) {
        let own = table::beat_id(self.me.incarnation.as_str());
        let mut table = self.table.lock();
        for beat in beats {
            view.note_beat(beat);
            if beat.id != own {
                table.take_beat(beat, at, now);
            }
        }
    }
}

/// Tells peers at once when the configuration changed.
async fn watch_config(peers: Arc<Peers>) {
    let mut next = peers.config.watch();
    while next.changed().await.is_ok() {
        peers.config_changed();
    }
}
