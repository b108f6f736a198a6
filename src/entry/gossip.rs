//! Publishes this entry's load, demand and crashes to its peers, and collects theirs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::names::{Fingerprint, ServerId, Tenant};
use crate::peer::{ObservedCrash, PeerDigest};
use crate::wire::{CrashStage, Daemon, ServerLoad, TenantDemand};

use super::Entry;
use super::load_estimate::weight;
use super::other_entries::OtherEntries;
use super::poison::Crash;
use super::suspect::Trial;

/// Publishes this entry's load, tenant demand, crashes and trials to its peers.
///
/// A change of crashes or trials is sent at once, the rest with the next digest.
pub(super) fn publish(entry: &Entry, now: Instant) {
    let loads = loads(entry, now);
    let demand = demand(entry, now);
    let crashes = crashes(entry);
    entry.peers.update(|status| {
        status.loads = loads;
        status.demand = demand;
        status.crashes = crashes;
    });
}

/// The servers on which this entry has requests in flight or which it ejected.
fn loads(entry: &Entry, now: Instant) -> Vec<ServerLoad> {
    let mut loads = Vec::new();
    for server in entry.servers.all().iter() {
        let (inflight, ejected) = (server.own_inflight(), server.is_ejected(now));
        if inflight > 0 || ejected {
            loads.push(ServerLoad {
                inflight,
                server: server.id.to_string(),
                suspect: ejected,
            });
        }
    }
    loads
}

/// This entry's demand by tenant, in tokens a second.
fn demand(entry: &Entry, now: Instant) -> Vec<TenantDemand> {
    let demand = entry.limits.demand(now);
    let to_wire = |(tenant, tokens): (Tenant, f64)| TenantDemand {
        tenant: tenant.to_string(),
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive rate far below 2^52"
        )]
        tokens: tokens as u64,
    };
    demand.into_iter().map(to_wire).collect()
}

/// The crashes that this entry saw and the trials that it runs, in the digest's form.
fn crashes(entry: &Entry) -> Vec<ObservedCrash> {
    let (seen, trials) = entry.suspects.for_digest();
    let mut crashes = Vec::with_capacity(seen.len() + trials.len());
    for crash in seen {
        crashes.push(ObservedCrash {
            fingerprint: crash.fingerprint.to_string(),
            server: crash.server.to_string(),
            at: crash.at,
            stage: if crash.alone {
                CrashStage::Alone
            } else {
                CrashStage::Seen
            },
        });
    }
    for trial in trials {
        crashes.push(ObservedCrash {
            fingerprint: trial.fingerprint.to_string(),
            server: trial.server.to_string(),
            at: trial.begun,
            stage: if trial.alone {
                CrashStage::TrialAlone
            } else {
                CrashStage::Trial
            },
        });
    }
    crashes
}

/// Replaces the summary of the other entries by what their latest digests state.
pub(super) fn collect(entry: &Entry, now: Instant) {
    let mut others = OtherEntries::default();
    for peer in entry.peers.digests() {
        let own = peer.digest.incarnation == entry.incarnation.as_str();
        if peer.digest.daemon == Daemon::Entry && !own {
            others.active += u32::from(!peer.digest.leaving);
            add_work(&mut others, &peer, now);
            add_crashes(entry, &mut others, &peer, now);
        }
    }
    entry.other_entries.store(others.into());
}

/// Adds a peer's requests by server and demand by tenant.
fn add_work(others: &mut OtherEntries, peer: &PeerDigest, now: Instant) {
    let age = now.saturating_duration_since(peer.content_at);
    others.weight = others.weight.max(weight(age));
    for load in &peer.digest.loads {
        let id = ServerId::from(load.server.as_str());
        *others.inflight.entry(id).or_default() += f64::from(load.inflight);
    }
    for demand in &peer.digest.demand {
        let tenant = Tenant::from(demand.tenant.as_str());
        add_demand(&mut others.demand, tenant, demand.tokens);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a rate far below 2^52")]
fn add_demand(demand: &mut BTreeMap<Tenant, f64>, tenant: Tenant, tokens: u64) {
    *demand.entry(tenant).or_default() += tokens as f64;
}

/// Records a peer's crashes and adds its trials.
fn add_crashes(entry: &Entry, others: &mut OtherEntries, peer: &PeerDigest, now: Instant) {
    for crash in &peer.digest.crashes {
        let fingerprint = Fingerprint::from_wire(&crash.fingerprint);
        let server = ServerId::from(crash.server.as_str());
        match crash.stage {
            CrashStage::Seen | CrashStage::Alone => {
                let age = Duration::from_millis(crash.age_ms);
                let Some(at) = peer.content_at.checked_sub(age) else {
                    continue;
                };
                let alone = crash.stage == CrashStage::Alone;
                let reported = Crash {
                    fingerprint,
                    server,
                    at,
                    alone,
                };
                entry.suspects.note_reported(&reported, now);
            }
            CrashStage::Trial | CrashStage::TrialAlone => others.trials.push(Trial {
                fingerprint,
                server,
                alone: crash.stage == CrashStage::TrialAlone,
                incarnation: peer.digest.incarnation.as_str().into(),
                begun: peer.content_at,
            }),
        }
    }
}
