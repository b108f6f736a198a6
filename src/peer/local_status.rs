//! The digest that a daemon publishes about itself, and when it publishes a new version.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Peers;
use crate::log::ConfigState;
use crate::names::KeyDigest;
use crate::util::millis;
use crate::wire::{Crash, CrashStage, Daemon, Digest, LeaseHeld, ServerLoad, TenantDemand};

/// Heartbeat interval of entries; short, because majorities are counted from their heartbeats.
const ENTRY_BEAT_INTERVAL: Duration = Duration::from_millis(900);
/// Heartbeat interval of control daemons.
const CONTROL_BEAT_INTERVAL: Duration = Duration::from_millis(2_700);
/// Shortest time between two changes of the digest's content, unless a change is urgent.
const CONTENT_DEBOUNCE: Duration = Duration::from_millis(450);

/// A crash of a backend server, or a trial run on the server, that this daemon observed.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedCrash {
    /// Fingerprint of a request that ran on the server.
    pub fingerprint: String,
    /// The backend server.
    pub server: String,
    /// When the server crashed, or the run began.
    pub at: Instant,
    /// Which stage was observed.
    pub stage: CrashStage,
}

/// What a daemon publishes about itself, apart from its configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalStatus {
    /// The daemon's load on backend servers.
    pub loads: Vec<ServerLoad>,
    /// Demand of tenants at this daemon.
    pub demand: Vec<TenantDemand>,
    /// Crashes that the daemon observed.
    pub crashes: Vec<ObservedCrash>,
    /// Leases that the daemon holds.
    pub leases: Vec<LeaseHeld>,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

/// The configuration's part of this daemon's digest.
#[derive(Clone, Copy, Debug)]
struct ConfigFacts<'a> {
    state: &'a ConfigState,
    /// Offset up to which the daemon has folded; 0 until the daemon has caught up once.
    next: u64,
    fresh: bool,
    denied: &'a Arc<BTreeSet<KeyDigest>>,
}

/// The current and the last published content of this daemon's digest, with their versions.
#[derive(Debug, Default)]
pub(super) struct Published {
    /// Current values; the next change of content publishes them.
    pub status: LocalStatus,
    /// Values in the published content.
    last: LocalStatus,
    /// Version of the digest, incremented with each change and each heartbeat.
    seq: u64,
    /// The `seq` at which the content last changed.
    content: u64,
    revision: u64,
    denied: Arc<BTreeSet<KeyDigest>>,
    beat_at: Option<Instant>,
    content_at: Option<Instant>,
}

impl Published {
    /// Publishes the next change of content without a debounce.
    pub(super) fn skip_debounce(&mut self) {
        self.content_at = None;
    }

    /// Whether new content must be published now.
    fn is_content_due(&self, facts: ConfigFacts<'_>, now: Instant) -> bool {
        let differs = self.status != self.last || self.revision != facts.state.revision;
        self.content == 0
            || self.denied != *facts.denied
            || differs && is_due(self.content_at, CONTENT_DEBOUNCE, now)
    }

    /// Increments the digest's version, and publishes new content if `new_content`.
    fn advance(&mut self, facts: ConfigFacts<'_>, new_content: bool, now: Instant) {
        self.seq += 1;
        self.beat_at = Some(now);
        if new_content {
            self.content = self.seq;
            self.content_at = Some(now);
            self.last = self.status.clone();
            self.revision = facts.state.revision;
            self.denied = Arc::clone(facts.denied);
        }
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + interval)
}

fn wire_crash(crash: &ObservedCrash, now: Instant) -> Crash {
    Crash {
        age_ms: millis(now.saturating_duration_since(crash.at)),
        fingerprint: crash.fingerprint.clone(),
        server: crash.server.clone(),
        stage: crash.stage,
    }
}

impl Peers {
    /// Publishes a new version of this daemon's digest, if it changed or its heartbeat is due.
    pub(super) fn update_own(&self, now: Instant) {
        let facts = ConfigFacts {
            state: &self.config.state(),
            next: self.caught_up_next(),
            fresh: self.is_fresh(now),
            denied: &self.denied.keys(),
        };
        let beat_interval = match self.me.daemon {
            Daemon::Entry => ENTRY_BEAT_INTERVAL,
            Daemon::Control => CONTROL_BEAT_INTERVAL,
        };
        let mut table = self.table.lock();
        let mut published = self.published.lock();
        let known = table.get(self.me.incarnation.as_str());
        let is_changed = known.is_none_or(|known| {
            known.digest.config_next != facts.next || known.digest.fresh != facts.fresh
        });
        let new_content = published.is_content_due(facts, now);
        if !(new_content || is_changed || is_due(published.beat_at, beat_interval, now)) {
            return;
        }
        published.advance(facts, new_content, now);
        table.set_own(self.own_digest(&published, facts, now), now);
        table.expire(now);
    }

    fn own_digest(&self, published: &Published, facts: ConfigFacts<'_>, now: Instant) -> Digest {
        let last = &published.last;
        Digest {
            age_ms: 0,
            config_next: facts.next,
            content: published.content,
            crashes: last
                .crashes
                .iter()
                .map(|crash| wire_crash(crash, now))
                .collect(),
            daemon: self.me.daemon,
            demand: last.demand.clone(),
            denied: published.denied.iter().map(ToString::to_string).collect(),
            fresh: facts.fresh,
            incarnation: self.me.incarnation.to_string(),
            instance: self.me.instance.to_string(),
            leases: last.leases.clone(),
            leaving: last.leaving,
            loads: last.loads.clone(),
            manifest: facts.state.digest.to_string(),
            peer: self.listen.peer.to_string(),
            revision: published.revision,
            seq: published.seq,
            url: format!("http://{}", self.listen.http),
            zone: self.zone.to_string(),
        }
    }
}
