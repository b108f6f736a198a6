//! Replicates usage counters to two peers, and appends the counters of failed peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::{Log as _, Stream};
use crate::names::{Incarnation, sha256_hex};
use crate::util::{jittered, unix_ms};
use crate::wire::{Daemon, PeerMessage};

use super::super::Entry;
use super::{UsageBatch, window_start};

/// Number of peers that hold a copy of this entry's counters.
const REPLICAS: usize = 2;
/// Longest time from a change of the counters until the copies are sent.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks of the copies held for peers.
const COPY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Stores the copies that peers send from now on.
pub(in crate::entry) fn serve_copies(entry: &Arc<Entry>) {
    let own = Arc::downgrade(entry);
    entry.peers.on_message(move |link, message| {
        let PeerMessage::UsageCopy {
            counts,
            from,
            incarnation,
            open,
            seq,
        } = message
        else {
            return;
        };
        let Some(entry) = own.upgrade() else {
            return;
        };
        if *incarnation != *link.peer.incarnation.as_str() {
            return;
        }
        let batch = UsageBatch {
            from: *from,
            counts: counts.clone(),
            open: open.clone(),
        };
        let peer = &link.peer.incarnation;
        entry.copies.keep(peer, *seq, batch, Instant::now());
    });
}

/// Sends copies of the counters to peers when they change; never returns.
pub(in crate::entry) async fn replicate(entry: Arc<Entry>) {
    let mut sent = (UsageBatch::default(), Vec::new());
    loop {
        tokio::time::sleep(jittered(COPY_INTERVAL)).await;
        let length = entry.config.state().manifest.window;
        let batch = entry.usage.batch(window_start(unix_ms(), length));
        let targets = targets(&entry);
        let is_same = sent.0.counts == batch.counts && sent.0.open == batch.open;
        if is_same && (sent.1 == targets || batch.counts.is_empty()) {
            continue;
        }
        let seq = entry.usage.next_seq();
        for target in &targets {
            let copy = batch.copy(&entry.incarnation, seq);
            if let Err(error) = entry.peers.send(target, copy).await {
                spdlog::debug!("usage copy failed", kv: { error = error.to_string() });
            }
        }
        sent = (batch, targets);
    }
}

/// Chooses the entries of other instances that hold the copies, preferably in other zones.
fn targets(entry: &Entry) -> Vec<Incarnation> {
    let settings = &entry.settings;
    let digests = entry.peers.digests();
    let others = digests.iter().map(|known| &known.digest).filter(|digest| {
        digest.daemon == Daemon::Entry
            && digest.instance != settings.instance.as_str()
            && !digest.leaving
    });
    let own = entry.incarnation.as_str();
    let mut ranked: Vec<_> = others
        .map(|digest| {
            // Rendezvous hashing: few targets change when peers join or leave.
            let rank = sha256_hex(format!("{own} {}", digest.incarnation).as_bytes());
            (digest.zone == settings.zone.as_str(), rank, digest)
        })
        .collect();
    ranked.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    let chosen = ranked.into_iter().take(REPLICAS);
    chosen
        .map(|(.., digest)| Incarnation::from(&*digest.incarnation))
        .collect()
}

/// Appends the counters of peers that stopped sending copies; never returns.
pub(in crate::entry) async fn append_for_failed(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(jittered(COPY_CHECK_INTERVAL)).await;
        for (peer, record) in entry.copies.due(Instant::now()) {
            let Ok(text) = serde_json::to_string(&record) else {
                continue;
            };
            match entry.log.append(Stream::Usage, text).await {
                Ok(_) => {
                    entry.copies.forget(&peer, &record);
                    let peer = peer.to_string();
                    spdlog::warn!("usage of a silent peer appended", kv: { peer });
                }
                Err(error) => {
                    spdlog::warn!("usage append failed", kv: { error = error.to_string() });
                }
            }
        }
    }
}
