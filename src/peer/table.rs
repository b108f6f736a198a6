//! The table of digests of all known daemons, and which updates a peer still lacks.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sha2::{Digest as _, Sha256};

use crate::util::millis;
use crate::wire::{Beat, Digest};

/// Age of the last heartbeat from which a daemon counts as gone.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// Age of the last heartbeat from which a daemon's digest is removed.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// Most daemons that the table holds.
const ENTRIES_MAX: usize = 4_096;

/// The short identifier of an incarnation, which heartbeats carry.
#[must_use]
pub fn beat_id(incarnation: &str) -> u64 {
    let hash = Sha256::digest(incarnation.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

/// A digest with the instants to which its ages relate.
#[derive(Clone, Debug)]
pub struct PeerDigest {
    /// The digest; heartbeats update its `seq`, `config_next` and `fresh`.
    pub digest: Digest,
    /// When a peer sent the content, at the earliest; ages within the content count from here.
    pub content_at: Instant,
    /// Earliest instant at which the daemon can have incremented `seq`.
    pub beat_at: Instant,
}

impl PeerDigest {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.beat_at)
    }

    /// The digest to send at `now`, with its ages brought up to date.
    fn relayed(&self, now: Instant) -> Digest {
        let mut digest = self.digest.clone();
        let held = millis(now.saturating_duration_since(self.content_at));
        for crash in &mut digest.crashes {
            crash.age_ms = crash.age_ms.saturating_add(held);
        }
        digest.age_ms = millis(now.saturating_duration_since(self.beat_at));
        digest
    }

    /// The heartbeat to send at `now` in place of the whole digest.
    fn beat(&self, id: u64, now: Instant) -> Beat {
        Beat {
            id,
            seq: self.digest.seq,
            age: millis(now.saturating_duration_since(self.beat_at)),
            next: self.digest.config_next,
            fresh: self.digest.fresh,
        }
    }
}

/// Versions that the other side of one link holds of one daemon's digest.
#[derive(Clone, Copy, Debug, Default)]
struct HeldVersions {
    seq: u64,
    content: u64,
}

/// Versions that the other side of one link holds, by heartbeat id.
#[derive(Debug, Default)]
pub struct PeerView(HashMap<u64, HeldVersions>);

impl PeerView {
    fn record(&mut self, id: u64, seq: u64, content: u64) {
        let held = self.0.entry(id).or_default();
        held.seq = held.seq.max(seq);
        held.content = held.content.max(content);
    }

    /// Records a digest received from the other side.
    pub fn record_digest(&mut self, digest: &Digest) {
        self.record(beat_id(&digest.incarnation), digest.seq, digest.content);
    }

    /// Records a heartbeat received from the other side.
    pub fn record_beat(&mut self, beat: &Beat) {
        self.record(beat.id, beat.seq, 0);
    }
}

/// All digests that one daemon knows, its own included, by heartbeat id.
#[derive(Debug, Default)]
pub struct DigestTable {
    entries: BTreeMap<u64, PeerDigest>,
}

impl DigestTable {
    /// The digests of daemons that are not gone.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &PeerDigest> {
        let alive = move |entry: &&PeerDigest| entry.age(now) < GONE_AFTER;
        self.entries.values().filter(alive)
    }

    /// The digest of an incarnation.
    #[must_use]
    pub fn get(&self, incarnation: &str) -> Option<&PeerDigest> {
        self.entries.get(&beat_id(incarnation))
    }

    /// Merges a digest that was sent at `at`, unless a newer one is known.
    pub fn merge_digest(&mut self, digest: Digest, at: Instant, now: Instant) {
        let Some(beat_at) = beat_time(at, digest.age_ms, now) else {
            return;
        };
        let id = beat_id(&digest.incarnation);
        let Some(known) = self.entries.get_mut(&id) else {
            if self.entries.len() < ENTRIES_MAX {
                let entry = PeerDigest {
                    digest,
                    content_at: at,
                    beat_at,
                };
                self.entries.insert(id, entry);
            }
            return;
        };
        if digest.content > known.digest.content {
            // A later heartbeat may have arrived first, over another link; its values are kept.
            let is_newer = digest.seq > known.digest.seq;
            let (seq, next, fresh) = (
                known.digest.seq,
                known.digest.config_next,
                known.digest.fresh,
            );
            known.digest = digest;
            known.content_at = at;
            if is_newer {
                known.beat_at = beat_at;
            } else {
                known.digest.seq = seq;
                known.digest.config_next = next;
                known.digest.fresh = fresh;
            }
        }
    }

    /// Merges a heartbeat that was sent at `at`, unless a newer one is known.
    pub fn merge_beat(&mut self, beat: &Beat, at: Instant, now: Instant) {
        let Some(beat_at) = beat_time(at, beat.age, now) else {
            return;
        };
        let Some(known) = self.entries.get_mut(&beat.id) else {
            return;
        };
        if beat.seq > known.digest.seq {
            known.digest.seq = beat.seq;
            known.digest.config_next = beat.next;
            known.digest.fresh = beat.fresh;
            known.beat_at = beat_at;
        }
    }

    /// Sets this daemon's own digest.
    pub fn set_own(&mut self, digest: Digest, now: Instant) {
        let id = beat_id(&digest.incarnation);
        let changed = self
            .entries
            .get(&id)
            .is_none_or(|known| known.digest.content != digest.content);
        let content_at = match self.entries.get(&id) {
            Some(known) if !changed => known.content_at,
            _ => now,
        };
        let entry = PeerDigest {
            digest,
            content_at,
            beat_at: now,
        };
        self.entries.insert(id, entry);
    }

    /// Removes daemons whose last heartbeat is at least `FORGOTTEN_AFTER` old.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| entry.age(now) < FORGOTTEN_AFTER);
    }

    /// Digests and heartbeats that `view` lacks; afterwards the view counts them as held.
    pub fn missing_from(&self, view: &mut PeerView, now: Instant) -> (Vec<Digest>, Vec<Beat>) {
        let (mut digests, mut beats) = (Vec::new(), Vec::new());
        // After a daemon was gone, its whole digest is sent again once it is back.
        let alive = |id: &u64| {
            self.entries
                .get(id)
                .is_some_and(|e| e.age(now) < GONE_AFTER)
        };
        view.0.retain(|id, _| alive(id));
        for (&id, entry) in &self.entries {
            if entry.age(now) >= GONE_AFTER {
                continue;
            }
            let held = view.0.entry(id).or_default();
            if entry.digest.content > held.content {
                digests.push(entry.relayed(now));
            } else if entry.digest.seq > held.seq {
                beats.push(entry.beat(id, now));
            }
            held.content = entry.digest.content;
            held.seq = entry.digest.seq;
        }
        (digests, beats)
    }
}

/// The instant `age` milliseconds before `at`, unless it is `FORGOTTEN_AFTER` ago or more.
fn beat_time(at: Instant, age: u64, now: Instant) -> Option<Instant> {
    let age = Duration::from_millis(age);
    let total = now.saturating_duration_since(at).checked_add(age)?;
    if total >= FORGOTTEN_AFTER {
        return None;
    }
    at.checked_sub(age)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{Crash, Daemon};

    fn digest(name: &str, seq: u64, content: u64) -> Digest {
        Digest {
            age_ms: 0,
            config_next: 1,
            content,
            crashes: Vec::new(),
            daemon: Daemon::Entry,
            demand: Vec::new(),
            denied: Vec::new(),
            fresh: true,
            incarnation: name.to_owned(),
            instance: name.to_owned(),
            leases: Vec::new(),
            leaving: false,
            loads: Vec::new(),
            manifest: String::new(),
            peer: String::new(),
            revision: 0,
            seq,
            url: String::new(),
            zone: "z0".to_owned(),
        }
    }

    #[test]
    fn table_ages_add_up_over_relays() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut first = DigestTable::default();
        let mut own = digest("a", 1, 1);
        own.crashes.push(Crash {
            stage: crate::wire::CrashStage::Seen,
            age_ms: 5,
            fingerprint: String::new(),
            server: String::new(),
        });
        first.set_own(own, start);
        let (sent, _) = first.missing_from(&mut PeerView::default(), after(300));
        let mut second = DigestTable::default();
        second.merge_digest(sent[0].clone(), after(300), after(310));
        let (sent, _) = second.missing_from(&mut PeerView::default(), after(700));
        assert_eq!(sent[0].age_ms, 700);
        assert_eq!(sent[0].crashes[0].age_ms, 705);
    }

    #[test]
    fn table_keeps_newest() {
        let now = Instant::now();
        let mut table = DigestTable::default();
        let mut view = PeerView::default();
        table.merge_digest(digest("a", 5, 3), now, now);
        table.merge_digest(digest("a", 4, 2), now, now);
        let (digests, beats) = table.missing_from(&mut view, now);
        assert_eq!((digests.len(), beats.len()), (1, 0));
        assert_eq!(digests[0].seq, 5);
        let mut beat = Beat {
            id: beat_id("a"),
            seq: 6,
            age: 0,
            next: 9,
            fresh: false,
        };
        table.merge_beat(&beat, now, now);
        let (digests, beats) = table.missing_from(&mut view, now);
        assert_eq!((digests.len(), beats[0].next), (0, 9));
        beat.seq = 4;
        beat.next = 2;
        table.merge_beat(&beat, now, now);
        assert_eq!(table.get("a").expect("known").digest.config_next, 9);
    }

    #[test]
    fn table_drops_gone_daemons() {
        let now = Instant::now();
        let mut table = DigestTable::default();
        let mut old = digest("a", 1, 1);
        old.age_ms = millis(FORGOTTEN_AFTER);
        table.merge_digest(old, now, now);
        assert!(table.get("a").is_none());
        table.merge_digest(digest("b", 1, 1), now, now);
        let later = now + GONE_AFTER;
        let mut view = PeerView::default();
        assert_eq!(table.alive(later).count(), 0);
        assert!(table.missing_from(&mut view, later).0.is_empty());
        table.expire(later);
        assert!(table.get("b").is_some());
        table.expire(now + FORGOTTEN_AFTER);
        assert!(table.get("b").is_none());
    }

    #[test]
    fn table_sends_whole_digest_after_absence() {
        let now = Instant::now();
        let mut table = DigestTable::default();
        let mut view = PeerView::default();
        table.merge_digest(digest("a", 1, 1), now, now);
        assert_eq!(table.missing_from(&mut view, now).0.len(), 1);
        let later = now + GONE_AFTER;
        assert_eq!(table.missing_from(&mut view, later).0.len(), 0);
        let beat = Beat {
            id: beat_id("a"),
            seq: 2,
            age: 0,
            next: 1,
            fresh: true,
        };
        table.merge_beat(&beat, later, later);
        assert_eq!(table.missing_from(&mut view, later).0.len(), 1);
    }
}
