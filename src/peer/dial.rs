//! Keeps links to a few peers, and accepts links from others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::link::{self, Link};
use super::pick::{Candidate, pick};
use super::socket::{self, LinkError};
use super::{Peers, members};
use crate::names::Incarnation;
use crate::wire::{Daemon, InstanceState};

/// Time between two reviews of the chosen links.
const REVIEW: Duration = Duration::from_millis(500);
/// Time for which a peer is passed over after its link failed.
const AVOID: Duration = Duration::from_secs(4);
/// Links that others may have open to this daemon.
const ACCEPTED_MAX: usize = 1_024;
/// Time within which a link made for a call must be open.
const CALL_OPEN: Duration = Duration::from_secs(3);
/// Time for which a link made for a call stays open.
const CALL_LINK: Duration = Duration::from_secs(600);

/// Accepts links until the process ends.
pub(super) async fn accept(peers: Arc<Peers>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(ACCEPTED_MAX));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let opened = Instant::now();
        let peers = Arc::clone(&peers);
        tokio::spawn(async move {
            let error = match socket::accept(stream, &peers.secret).await {
                Ok(ws) => link::run(&peers, ws, opened, None).await,
                Err(error) => error,
            };
            log_end(&from.to_string(), "accepted", &error);
            drop(place);
        });
    }
}

fn log_end(peer: &str, side: &'static str, error: &LinkError) {
    spdlog::info!("peer link ended", kv: { peer, side, reason = error.to_string() });
}

/// A daemon that may be linked to.
#[derive(Clone, Debug)]
struct Target {
    name: String,
    zone: String,
    address: String,
}

/// Names daemons so that all that choose among them agree.
fn target_name(instance: &str, daemon: Daemon) -> String {
    format!("{instance}/{daemon}")
}

/// Keeps the chosen links open for ever.
pub(super) async fn keep(peers: Arc<Peers>) {
    let mut dialled: JoinSet<(String, LinkError)> = JoinSet::new();
    let mut open: BTreeMap<String, tokio::task::AbortHandle> = BTreeMap::new();
    let mut avoid: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        let now = Instant::now();
        while let Some(ended) = dialled.try_join_next() {
            if let Ok((name, error)) = ended {
                log_end(&name, "dialled", &error);
                open.remove(&name);
                avoid.insert(name, now + AVOID);
            }
        }
        avoid.retain(|_, until| now < *until);
        let chosen = choose(&peers, &avoid);
        open.retain(|name, task| {
            let keep = chosen.iter().any(|target| target.name == *name);
            if !keep {
                task.abort();
            }
            keep
        });
        for target in chosen {
            if !open.contains_key(&target.name) {
                let name = target.name.clone();
                let task = dialled.spawn(dial(Arc::clone(&peers), target));
                open.insert(name, task);
            }
        }
        tokio::time::sleep(REVIEW).await;
    }
}

async fn dial(peers: Arc<Peers>, target: Target) -> (String, LinkError) {
    let opened = Instant::now();
    let error = match socket::connect(&target.address, &peers.secret).await {
        Ok(ws) => link::run(&peers, ws, opened, None).await,
        Err(error) => error,
    };
    (target.name, error)
}

/// The daemons to link to now.
fn choose(peers: &Peers, avoid: &BTreeMap<String, Instant>) -> Vec<Target> {
    let mut targets = targets(peers);
    let others = targets.len();
    targets.retain(|target| !avoid.contains_key(&target.name));
    if targets.len() < others {
        spdlog::debug!("peers passed over", kv: { count = others - targets.len() });
    }
    let own = target_name(peers.me.instance.as_str(), peers.me.daemon);
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|target| Candidate {
            name: &target.name,
            zone: &target.zone,
        })
        .collect();
    let picked = pick(&own, &candidates);
    let is_picked = |target: &&Target| picked.contains(&target.name.as_str());
    targets.iter().filter(is_picked).cloned().collect()
}

/// All daemons that are listed and stay.
fn targets(peers: &Peers) -> Vec<Target> {
    let leaving: Vec<String> = peers
        .table
        .lock()
        .alive(Instant::now())
        .filter(|peer| peer.digest.leaving)
        .map(|peer| target_name(&peer.digest.instance, peer.digest.daemon))
        .collect();
    let own = target_name(peers.me.instance.as_str(), peers.me.daemon);
    let mut targets = Vec::new();
    for instance in peers.listed().iter() {
        if instance.state == InstanceState::Leaving {
            continue;
        }
        let daemons = [
            (Daemon::Entry, &instance.entry_peer),
            (Daemon::Control, &instance.control_peer),
        ];
        for (daemon, address) in daemons {
            let name = target_name(&instance.id, daemon);
            if name != own && !leaving.contains(&name) {
                targets.push(Target {
                    name,
                    zone: instance.zone.clone(),
                    address: address.clone(),
                });
            }
        }
    }
    targets
}

/// Opens a link to an incarnation for a call.
pub(super) async fn link_to(peers: &Arc<Peers>, to: &Incarnation) -> Option<Arc<Link>> {
    let digest = peers.digest(to.as_str())?.digest;
    let address = members::peer_address(peers, &digest);
    let opened = Instant::now();
    let ws = socket::connect(&address, &peers.secret).await.ok()?;
    let (task, wanted) = (Arc::clone(peers), to.clone());
    let running = tokio::spawn(async move {
        let run = link::run(&task, ws, opened, Some(&wanted));
        if let Ok(error) = tokio::time::timeout(CALL_LINK, run).await {
            log_end(&address, "called", &error);
        }
    });
    let until = opened + CALL_OPEN;
    while Instant::now() < until && !running.is_finished() {
        if let Some(link) = peers.open_link(to) {
            return Some(link);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    None
}
