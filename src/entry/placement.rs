//! Assigns a request to a backend server; suspects are announced to the peers first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::PoisonPolicy;
use crate::names::{Fingerprint, Pool, ServerId};

use super::choose::Work;
use super::generate::Job;
use super::intake;
use super::poison::Clearance;
use super::servers::{Inflight, Need};
use super::suspect::{Trial, TrialGuard};
use super::{Entry, gossip};

/// Wait between announcing a suspect's trial and sending it, so that peers' trials arrive.
const ANNOUNCE_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a waiting suspect is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request's assignment to a server.
#[derive(Debug)]
pub(super) struct Placement {
    /// The server, with the request counted as in flight on it.
    pub inflight: Inflight,
    /// The trial, if the request is a suspect.
    pub trial: Option<TrialGuard>,
}

/// Assigns one request to a server.
#[derive(Debug)]
pub(super) struct Placer<'a> {
    /// The entry that runs the request.
    pub entry: &'a Arc<Entry>,
    /// The request's parameters.
    pub job: &'a Job,
    /// The pool whose servers may run the request.
    pub pool: &'a Pool,
    /// Identifies the request in crash records.
    pub fingerprint: &'a Fingerprint,
    /// Block hashes of the prompt.
    pub blocks: &'a [u64],
}

impl Placer<'_> {
    /// Waits until the request may run, and assigns it to a server.
    ///
    /// # Errors
    /// No server is ready, the request is refused as poison, or the deadline is too near.
    pub(super) async fn place(&self) -> Result<Placement, Refusal> {
        loop {
            let now = Instant::now();
            let alone = match self.clearance(now) {
                Clearance::Clear => {
                    let inflight = self.pick(&[]).ok_or_else(no_server)?;
                    let trial = None;
                    return Ok(Placement { inflight, trial });
                }
                Clearance::Refused(until) => return Err(poison_refusal(until, now)),
                Clearance::Suspect => Some(false),
                Clearance::Alone => Some(true),
                Clearance::Wait => None,
            };
            if let Some(alone) = alone
                && let Some(placement) = self.try_suspect(alone).await?
            {
                return Ok(placement);
            }
            if now + POLL_INTERVAL >= self.job.deadline {
                let detail = "other requests that crashed backend servers run first";
                return Err(Refusal::not_run(RefusalKind::Deadline, detail));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn clearance(&self, now: Instant) -> Clearance {
        let policy = self.entry.config.state().manifest.policy.poison;
        let suspects = &self.entry.suspects;
        if policy == PoisonPolicy::Ignore || suspects.no_crashes() {
            return Clearance::Clear;
        }
        suspects.clearance(self.fingerprint, &self.entry.other_entries.load(), now)
    }

    /// Picks a server for a suspect's trial and announces the trial to the peers.
    ///
    /// Returns none if another entry's trial goes first, or while trials of other suspects occupy
    /// every server.
    async fn try_suspect(&self, alone: bool) -> Result<Option<Placement>, Refusal> {
        let entry = self.entry;
        let excluded = entry.suspects.excluded(alone, &entry.other_entries.load());
        let Some(inflight) = self.pick(&excluded) else {
            return if excluded.is_empty() {
                Err(no_server())
            } else {
                Ok(None)
            };
        };
        let trial = entry.suspects.begin(Trial {
            fingerprint: self.fingerprint.clone(),
            server: inflight.server.id.clone(),
            alone,
            incarnation: entry.incarnation.clone(),
            begun: Instant::now(),
        });
        gossip::publish(entry, Instant::now());
        tokio::time::sleep(ANNOUNCE_WAIT).await;
        let now = Instant::now();
        let others = entry.other_entries.load();
        let yields = entry.suspects.yields(&trial.trial, &others, now);
        Ok((!yields).then_some(Placement {
            inflight,
            trial: Some(trial),
        }))
    }

    fn pick(&self, exclude: &[ServerId]) -> Option<Inflight> {
        let state = self.entry.config.state();
        let slots = state.manifest.pools.get(self.pool).map_or(1, |p| p.slots);
        let left = (self.job.max_tokens as usize).saturating_sub(self.job.resume.len());
        let need = Need {
            pool: self.pool,
            model: Some(&self.job.model),
            version: self.job.version,
            avoid: &self.job.avoid,
            exclude,
            zone: &self.entry.settings.zone,
            instance: &self.entry.settings.instance,
            policy: state.manifest.policy,
            slots: intake::to_f64(slots),
            work: Work {
                prompt: intake::cost(self.job.prompt.len(), 0),
                answer: intake::cost(0, left),
            },
            blocks: self.blocks,
        };
        let others = self.entry.other_entries.load();
        self.entry.servers.pick(&need, &others, Instant::now())
    }
}

fn no_server() -> Refusal {
    Refusal::not_run(RefusalKind::NoServer, "no backend server is ready").retry_after(1)
}

fn poison_refusal(until: Instant, now: Instant) -> Refusal {
    let detail = "the request crashed the backend servers that ran it";
    let left = until.saturating_duration_since(now).as_secs();
    Refusal::not_run(RefusalKind::Poison, detail).retry_after(left + 1)
}
