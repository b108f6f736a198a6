//! Opens links to a few chosen peers, and accepts links from other daemons.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::link::{self, Link};
use super::pick::{Candidate, pick};
use super::socket::{self, LinkError};
use super::{Peers, membership};
use crate::names::Incarnation;
use crate::wire::{Daemon, InstanceState};

/// Time between two choices of the peers to link to.
const CHOICE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a peer is not chosen after its link ended.
const FAILED_COOLDOWN: Duration = Duration::from_secs(4);
/// Most links that other daemons may have open to this daemon.
const ACCEPTED_MAX: usize = 1_024;
/// Time within which a link made for a call must be open.
const CALL_LINK_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a link made for a call stays open.
const CALL_LINK_LIFETIME: Duration = Duration::from_secs(600);

/// Accepts links until the process ends; further connections wait while `ACCEPTED_MAX` are open.
pub(super) async fn accept(peers: Arc<Peers>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(ACCEPTED_MAX));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
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
            drop(permit);
        });
    }
}

fn log_end(peer: &str, side: &'static str, error: &LinkError) {
    spdlog::info!("peer link ended", kv: { peer, side, reason = error.to_string() });
}

/// A daemon to which a link may be opened.
#[derive(Clone, Debug)]
struct Target {
    name: String,
    zone: String,
    address: String,
}

/// The name of a daemon in [`pick`], which every daemon derives alike.
fn target_name(instance: &str, daemon: Daemon) -> String {
    format!("{instance}/{daemon}")
}

/// Keeps links to the chosen peers open, and closes the others, until the process ends.
pub(super) async fn maintain(peers: Arc<Peers>) {
    let mut dial_tasks: JoinSet<(String, LinkError)> = JoinSet::new();
    let mut open: BTreeMap<String, tokio::task::AbortHandle> = BTreeMap::new();
    let mut cooldown: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        let now = Instant::now();
        while let Some(ended) = dial_tasks.try_join_next() {
            if let Ok((name, error)) = ended {
                log_end(&name, "dialled", &error);
                open.remove(&name);
                cooldown.insert(name, now + FAILED_COOLDOWN);
            }
        }
        cooldown.retain(|_, until| now < *until);
        let chosen = choose(&peers, &cooldown);
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
                let task = dial_tasks.spawn(dial(Arc::clone(&peers), target));
                open.insert(name, task);
            }
        }
        tokio::time::sleep(CHOICE_INTERVAL).await;
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

/// Chooses the daemons to link to, without those in `cooldown`.
fn choose(peers: &Peers, cooldown: &BTreeMap<String, Instant>) -> Vec<Target> {
    let mut targets = targets(peers);
    let total = targets.len();
    targets.retain(|target| !cooldown.contains_key(&target.name));
    if targets.len() < total {
        spdlog::debug!("peers in cooldown skipped", kv: { count = total - targets.len() });
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

/// All other daemons of the listed instances, without those that are shutting down.
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
///
/// Returns none if the incarnation is unknown or no link opens within `CALL_LINK_TIMEOUT`.
pub(super) async fn link_to(peers: &Arc<Peers>, to: &Incarnation) -> Option<Arc<Link>> {
    let digest = peers.digest(to.as_str())?.digest;
    let address = membership::peer_address(peers, &digest);
    let opened = Instant::now();
    let ws = socket::connect(&address, &peers.secret).await.ok()?;
    let (task_peers, expected) = (Arc::clone(peers), to.clone());
    let link_task = tokio::spawn(async move {
        let run = link::run(&task_peers, ws, opened, Some(&expected));
        if let Ok(error) = tokio::time::timeout(CALL_LINK_LIFETIME, run).await {
            log_end(&address, "called", &error);
        }
    });
    let until = opened + CALL_LINK_TIMEOUT;
    while Instant::now() < until && !link_task.is_finished() {
        if let Some(link) = peers.open_link(to) {
            return Some(link);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    None
}
