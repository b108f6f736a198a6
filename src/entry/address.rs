//! Answers `/v1/addresses`: which entries a caller may use, and until when.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::http::{Refusal, RefusalKind};
use crate::peer::PeerDigest;
use crate::peer::freshness::FRESH_FOR;
use crate::util::unix_ms;
use crate::wire::{Address, Addresses, Daemon};

use super::Entry;

/// Returns the entries that callers may use now, those of the caller's zone first.
///
/// # Errors
/// No known entry has an up-to-date configuration.
pub(super) fn addresses(entry: &Entry, query: Option<&str>) -> Result<Addresses, Refusal> {
    let zone = query.and_then(zone_param);
    let zone = zone.unwrap_or(entry.settings.zone.as_str());
    let offset = rand::random_range(0..usize::MAX);
    let select = |digests: &mut dyn Iterator<Item = &PeerDigest>| {
        select(digests, zone, offset, Instant::now())
    };
    let addresses = entry.peers.with_digests(select);
    if addresses.is_empty() {
        let detail = "no entry can show that its configuration is up to date";
        return Err(Refusal::not_run(RefusalKind::NotFresh, detail).retry_after(1));
    }
    let ttl_ms = entry.config.state().manifest.limits.address;
    Ok(Addresses {
        addresses,
        until_ms: unix_ms() + ttl_ms,
    })
}

/// Returns the availability zone from the query parameter `zone`.
fn zone_param(query: &str) -> Option<&str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(name, _)| *name == "zone")
        .map(|(_, zone)| zone)
}

/// Selects the entries that are fresh and not shutting down, those of `zone` first.
///
/// Only the latest digest of each instance is considered. `offset` rotates the entries of a
/// zone, so that callers spread over them.
fn select<'a>(
    digests: impl Iterator<Item = &'a PeerDigest>,
    zone: &str,
    offset: usize,
    now: Instant,
) -> Vec<Address> {
    let mut latest: BTreeMap<&str, &PeerDigest> = BTreeMap::new();
    for peer in digests {
        if peer.digest.daemon == Daemon::Entry {
            let known = latest.entry(&peer.digest.instance).or_insert(peer);
            if known.beat_at < peer.beat_at {
                *known = peer;
            }
        }
    }
    let usable = latest.into_values().filter(|peer| {
        let digest = &peer.digest;
        let recent = now.saturating_duration_since(peer.beat_at) < FRESH_FOR;
        digest.fresh && !digest.leaving && recent
    });
    let (mut near, mut far): (Vec<_>, Vec<_>) = usable.partition(|p| p.digest.zone == zone);
    for part in [&mut near, &mut far] {
        let count = part.len().max(1);
        part.rotate_left(offset % count);
    }
    near.into_iter().chain(far).map(address).collect()
}

fn address(peer: &PeerDigest) -> Address {
    Address {
        incarnation: peer.digest.incarnation.clone(),
        url: peer.digest.url.clone(),
        zone: peer.digest.zone.clone(),
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::wire::Digest;

    fn peer(instance: &str, zone: &str, beat_at: Instant) -> PeerDigest {
        let digest = Digest {
            age_ms: 0,
            config_next: 1,
            content: 1,
            crashes: Vec::new(),
            daemon: Daemon::Entry,
            demand: Vec::new(),
            denied: Vec::new(),
            fresh: true,
            incarnation: format!("{instance}-run"),
            instance: instance.to_owned(),
            leases: Vec::new(),
            leaving: false,
            loads: Vec::new(),
            manifest: String::new(),
            peer: String::new(),
            revision: 0,
            seq: 1,
            url: format!("http://{instance}"),
            zone: zone.to_owned(),
        };
        PeerDigest {
            digest,
            content_at: beat_at,
            beat_at,
        }
    }

    fn urls(digests: &[PeerDigest], offset: usize, now: Instant) -> Vec<String> {
        let selected = select(digests.iter(), "z0", offset, now);
        selected.into_iter().map(|address| address.url).collect()
    }

    #[test]
    fn select_puts_own_zone_first() {
        let now = Instant::now();
        let digests = [
            peer("a", "z1", now),
            peer("b", "z0", now),
            peer("c", "z0", now),
        ];
        assert_eq!(urls(&digests, 0, now), ["http://b", "http://c", "http://a"]);
        assert_eq!(urls(&digests, 1, now), ["http://c", "http://b", "http://a"]);
    }

    #[test]
    fn select_skips_unusable_entries() {
        let now = Instant::now();
        let later = now + FRESH_FOR;
        let mut digests = [
            peer("stale", "z0", now),
            peer("leaving", "z0", later),
            peer("unfresh", "z0", later),
            peer("control", "z0", later),
            peer("good", "z0", later),
        ];
        digests[1].digest.leaving = true;
        digests[2].digest.fresh = false;
        digests[3].digest.daemon = Daemon::Control;
        assert_eq!(urls(&digests, 0, later), ["http://good"]);
    }

    #[test]
    fn select_keeps_latest_incarnation() {
        let now = Instant::now();
        let mut old = peer("a", "z0", now);
        old.digest.incarnation = "old".to_owned();
        let new = peer("a", "z0", now + Duration::from_millis(10));
        for digests in [[old.clone(), new.clone()], [new, old]] {
            let selected = select(digests.iter(), "z0", 0, now);
            assert_eq!(selected.len(), 1);
            assert_eq!(selected[0].incarnation, "a-run");
        }
    }
}
