//! Places a request on a backend server; suspects only after the peers were told.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::PoisonPolicy;
use crate::names::{Fingerprint, Pool, ServerId};

use super::choose::Work;
use super::enter;
use super::generate::Job;
use super::poison::Clearance;
use super::servers::{Inflight, Need};
use super::suspect::{Trial, TrialGuard};
use super::{Entry, share};

/// Time for which a suspect waits after the peers were told of it.
const SPREAD: Duration = Duration::from_secs(1);
/// Time between two looks at whether a suspect may run.
const LOOK: Duration = Duration::from_millis(100);

/// A request's place on a server.
#[derive(Debug)]
pub(super) struct Placed {
    /// Its count on the server.
    pub inflight: Inflight,
    /// The trial, if it is a suspect.
    pub trial: Option<TrialGuard>,
}

/// Finds a place for one request.
#[derive(Debug)]
pub(super) struct Placer<'a> {
    /// This entry.
    pub entry: &'a Arc<Entry>,
    /// The request.
    pub job: &'a Job,
    /// The pool to use.
    pub pool: &'a Pool,
    /// Which request it is.
    pub fingerprint: &'a Fingerprint,
    /// The blocks of its prompt.
    pub blocks: &'a [u64],
}

impl Placer<'_> {
    /// Places the request as soon as it may run.
    ///
    /// # Errors
    /// No server is ready, or the request crashed servers before.
    pub(super) async fn place(&self) -> Result<Placed, Refusal> {
        loop {
            let now = Instant::now();
            let alone = match self.clearance(now) {
                Clearance::Clear => {
                    let inflight = self.pick(&[]).ok_or_else(no_server)?;
                    let trial = None;
                    return Ok(Placed { inflight, trial });
                }
                Clearance::Refused(until) => return Err(poison(until, now)),
                Clearance::Suspect => Some(false),
                Clearance::Alone => Some(true),
                Clearance::Wait => None,
            };
            if let Some(alone) = alone
                && let Some(placed) = self.try_suspect(alone).await?
            {
                return Ok(placed);
            }
            if now + LOOK >= self.job.deadline {
                let detail = "other requests that crashed backend servers run first";
                return Err(Refusal::not_run(RefusalKind::Deadline, detail));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn clearance(&self, now: Instant) -> Clearance {
        let policy = self.entry.config.state().manifest.policy.poison;
        let suspects = &self.entry.suspects;
        if policy == PoisonPolicy::Ignore || suspects.is_quiet() {
            return Clearance::Clear;
        }
        suspects.clearance(self.fingerprint, &self.entry.others.load(), now)
    }

    /// Tells the peers where a suspect will run, unless another entry goes first.
    async fn try_suspect(&self, alone: bool) -> Result<Option<Placed>, Refusal> {
        let entry = self.entry;
        let shunned = entry.suspects.shunned(alone, &entry.others.load());
        let Some(inflight) = self.pick(&shunned) else {
            return if shunned.is_empty() {
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
        share::tell(entry, Instant::now());
        tokio::time::sleep(SPREAD).await;
        let now = Instant::now();
        let others = entry.others.load();
        let yields = entry.suspects.yields(&trial.trial, &others, now);
        Ok((!yields).then_some(Placed {
            inflight,
            trial: Some(trial),
        }))
    }

    fn pick(&self, shun: &[ServerId]) -> Option<Inflight> {
        let state = self.entry.config.state();
        let slots = state.manifest.pools.get(self.pool).map_or(1, |p| p.slots);
        let left = (self.job.max_tokens as usize).saturating_sub(self.job.resume.len());
        let need = Need {
            pool: self.pool,
            model: Some(&self.job.model),
            version: self.job.version,
            avoid: &self.job.avoid,
            shun,
            zone: &self.entry.settings.zone,
            instance: &self.entry.settings.instance,
            policy: state.manifest.policy,
            slots: enter::float(slots),
            work: Work {
                prompt: enter::cost(self.job.prompt.len(), 0),
                answer: enter::cost(0, left),
            },
            blocks: self.blocks,
        };
        let others = self.entry.others.load();
        self.entry.servers.pick(&need, &others, Instant::now())
    }
}

fn no_server() -> Refusal {
    Refusal::not_run(RefusalKind::NoServer, "no backend server is ready").retry_after(1)
}

fn poison(until: Instant, now: Instant) -> Refusal {
    let detail = "the request crashed the backend servers that ran it";
    let left = until.saturating_duration_since(now).as_secs();
    Refusal::not_run(RefusalKind::Poison, detail).retry_after(left + 1)
}
