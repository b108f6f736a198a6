//! What a daemon tells about itself: its own digest, and when to tell it anew.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Peers;
use crate::log::ConfigState;
use crate::names::KeyDigest;
use crate::util::millis;
use crate::wire::{Crash, CrashStage, Daemon, Digest, LeaseHeld, ServerLoad, TenantDemand};

/// Time after which an entry's beat is counted up; majorities rest on entries' beats.
const BEAT_ENTRY: Duration = Duration::from_millis(900);
/// Time after which a control daemon's beat is counted up.
const BEAT_CONTROL: Duration = Duration::from_millis(2_700);
/// Time between two changes of a digest's content, unless the change is urgent.
const CONTENT: Duration = Duration::from_millis(450);

/// A crash of a backend server, as this daemon saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnCrash {
    /// Fingerprint of a request that ran on it.
    pub fingerprint: String,
    /// The backend server.
    pub server: String,
    /// When it crashed, or the run began.
    pub at: Instant,
    /// What it was.
    pub stage: CrashStage,
}

/// What a daemon tells about itself, besides its configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// Its work on backend servers.
    pub loads: Vec<ServerLoad>,
    /// Demand of tenants, as it sees it.
    pub demand: Vec<TenantDemand>,
    /// Crashes that it saw.
    pub crashes: Vec<OwnCrash>,
    /// Leases that it holds.
    pub leases: Vec<LeaseHeld>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// What a digest says of the configuration.
#[derive(Clone, Copy, Debug)]
struct Facts<'a> {
    state: &'a ConfigState,
    /// Offset folded, 0 until the daemon has caught up once.
    next: u64,
    fresh: bool,
    denied: &'a Arc<BTreeSet<KeyDigest>>,
}

/// The counters behind this daemon's own digest.
#[derive(Debug, Default)]
pub(super) struct Counted {
    /// What the daemon tells from the next change on.
    pub own: Own,
    told: Own,
    seq: u64,
    content: u64,
    revision: u64,
    denied: Arc<BTreeSet<KeyDigest>>,
    beat_at: Option<Instant>,
    content_at: Option<Instant>,
}

impl Counted {
    /// Lets the next change of content go out at once.
    pub(super) fn hurry(&mut self) {
        self.content_at = None;
    }

    /// Whether the content of the digest is to go out anew.
    fn has_news(&self, facts: Facts<'_>, now: Instant) -> bool {
        let differs = self.own != self.told || self.revision != facts.state.revision;
        self.content == 0
            || self.denied != *facts.denied
            || differs && is_due(self.content_at, CONTENT, now)
    }

    /// Counts the digest up.
    fn count(&mut self, facts: Facts<'_>, has_news: bool, now: Instant) {
        self.seq += 1;
        self.beat_at = Some(now);
        if has_news {
            self.content = self.seq;
            self.content_at = Some(now);
            self.told = self.own.clone();
            self.revision = facts.state.revision;
            self.denied = Arc::clone(facts.denied);
        }
    }
}

fn is_due(at: Option<Instant>, pause: Duration, now: Instant) -> bool {
    at.is_none_or(|at| now >= at + pause)
}

fn crash(crash: &OwnCrash, now: Instant) -> Crash {
    Crash {
        age_ms: millis(now.saturating_duration_since(crash.at)),
        fingerprint: crash.fingerprint.clone(),
        server: crash.server.clone(),
        stage: crash.stage,
    }
}

impl Peers {
    /// Counts this daemon's own digest up, if it changed or its beat is due.
    pub(super) fn count_own(&self, now: Instant) {
        let facts = Facts {
            state: &self.config.state(),
            next: self.settled_next(),
            fresh: self.is_fresh(now),
            denied: &self.denied.keys(),
        };
        let beat = match self.me.daemon {
            Daemon::Entry => BEAT_ENTRY,
            Daemon::Control => BEAT_CONTROL,
        };
        let mut table = self.table.lock();
        let mut counted = self.counted.lock();
        let known = table.get(self.me.incarnation.as_str());
        let is_changed = known.is_none_or(|known| {
            known.digest.config_next != facts.next || known.digest.fresh != facts.fresh
        });
        let has_news = counted.has_news(facts, now);
        if !(has_news || is_changed || is_due(counted.beat_at, beat, now)) {
            return;
        }
        counted.count(facts, has_news, now);
        table.set_own(self.own_digest(&counted, facts, now), now);
        table.expire(now);
    }

    fn own_digest(&self, counted: &Counted, facts: Facts<'_>, now: Instant) -> Digest {
        let told = &counted.told;
        Digest {
            age_ms: 0,
            config_next: facts.next,
            content: counted.content,
            crashes: told.crashes.iter().map(|one| crash(one, now)).collect(),
            daemon: self.me.daemon,
            demand: told.demand.clone(),
            denied: counted.denied.iter().map(ToString::to_string).collect(),
            fresh: facts.fresh,
            incarnation: self.me.incarnation.to_string(),
            instance: self.me.instance.to_string(),
            leases: told.leases.clone(),
            leaving: told.leaving,
            loads: told.loads.clone(),
            manifest: facts.state.digest.to_string(),
            peer: self.listen.peer.to_string(),
            revision: counted.revision,
            seq: counted.seq,
            url: format!("http://{}", self.listen.http),
            zone: self.zone.to_string(),
        }
    }
}
