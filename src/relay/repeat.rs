//! Sends a request with retries on other servers and with hedging against slow ones.

use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Debug;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method};
use tokio::time::{sleep, timeout};

use super::call::{self, Answer, CallError, Outgoing};
use super::choose::{AttemptOutcome, Decision, RetryLimits, after, hedge_at};
use super::crash::{self, RequestParts, SendGuard};
use super::load::Running;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{Handling, Route};
use crate::instance::edge::{Backend, Dispatch};
use crate::instance::events::event;
use crate::ledger::crashes::Clearance;
use crate::util::unix_ms;

/// Minimum time left before the deadline for another attempt.
const REMAINING_MIN: Duration = Duration::from_millis(15);
/// Backoff after all servers refused a request.
const FULL_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a failed server is avoided.
const SUSPECT_SPAN: Duration = Duration::from_secs(3);

/// A request to send to a service.
#[derive(Debug)]
pub struct Sending<'a> {
    /// Request id.
    pub id: &'a str,
    /// Route of the request.
    pub route: &'a Rc<Route>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Tenant, if known.
    pub tenant: Option<&'a str>,
    /// Maximum number of servers that the request may run on.
    pub attempts: u32,
    /// What the request is entitled to.
    pub claim: Claim,
    /// Called on each response with status 500 as it arrives.
    #[debug(skip)]
    pub failed: Option<&'a dyn Fn()>,
    /// Time by which the caller must have a response.
    pub deadline: Boot,
}

/// What a request is entitled to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// A response, which may state a failure or a refusal.
    Answer,
    /// A run: the request was accepted for later, and crashes under it do not block it.
    Run,
}

impl Sending<'_> {
    /// Returns the parts that identify repeats of the request.
    #[must_use]
    pub fn parts(&self) -> RequestParts<'_> {
        RequestParts {
            tenant: self.tenant,
            host: &self.route.host,
            method: &self.method,
            target: self.target,
            body: &self.body,
        }
    }

    /// Returns whether the request may be sent again, given the crashes known now.
    fn clearance(&self, shared: &Shared) -> Clearance {
        let crashes = &shared.fold.borrow().crashes;
        if self.claim == Claim::Run || crashes.is_empty() {
            return Clearance::Clear;
        }
        crashes.clearance(&self.parts().fingerprint(), unix_ms())
    }
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum Done {
    /// A server responded.
    Answered(Box<Answer>),
    /// No server took the request; it has not run.
    NotRun,
    /// The request may have run, and no response came.
    Unknown,
}

/// Results of the attempts of a request so far.
#[derive(Default)]
struct Tally {
    runs: u32,
    refusals: u32,
    tried: HashSet<String>,
    last: Option<Answer>,
    unknown: bool,
    hedged: bool,
}

/// Sends a request, to several servers if needed, and returns the best outcome.
pub async fn run(shared: &Shared, sending: &Sending<'_>) -> Done {
    let done = attempts(shared, sending).await;
    if matches!(done, Done::Answered(_)) && sending.claim == Claim::Answer {
        crash::forgive_completed(shared, &sending.parts());
    }
    done
}

async fn attempts(shared: &Shared, sending: &Sending<'_>) -> Done {
    let repeatable = sending.route.kind == Handling::Idempotent;
    let service = sending.route.target(rand::random());
    let mut tally = Tally::default();
    let mut calls = FuturesUnordered::new();
    loop {
        let now = Boot::now();
        if calls.is_empty() {
            let Some(backend) = shared.choose(service, &tally.tried) else {
                event!("no_server", "id" => sending.id, "service" => service);
                return tally.finish();
            };
            tally.begin(&backend);
            calls.push(attempt(shared, sending, backend));
        }
        // A hedge of a request that crashes servers would crash another one.
        let may_hedge = repeatable
            && !tally.hedged
            && tally.runs < sending.attempts
            && sending.clearance(shared) == Clearance::Clear;
        let wake = if may_hedge {
            hedge_at(now, sending.route.objective).min(sending.deadline)
        } else {
            sending.deadline
        };
        let next = timeout(wake.left(now), pin!(calls.next())).await;
        let now = Boot::now();
        let Ok(completed) = next else {
            if now >= sending.deadline {
                event!("deadline", "id" => sending.id, "runs" => tally.runs);
                tally.unknown |= !calls.is_empty();
                return tally.finish();
            }
            tally.hedged = true;
            if let Some(backend) = shared.choose(service, &tally.tried)
                && !tally.tried.contains(&backend.id)
            {
                event!("hedge", "id" => sending.id, "server" => backend.id);
                tally.begin(&backend);
                calls.push(attempt(shared, sending, backend));
            }
            continue;
        };
        let Some((backend, result)) = completed else {
            continue;
        };
        let (outcome, answer) = classify(shared, sending, &backend, result);
        match (outcome, answer) {
            (None, Some(answer)) => return Done::Answered(Box::new(answer)),
            (Some(outcome), answer) => {
                tally.note(outcome, answer);
                if !calls.is_empty() {
                    continue;
                }
                let limits = limits(shared, sending, service, now);
                let next = after(outcome, repeatable, tally.runs, tally.refusals, limits);
                let clearance = sending.clearance(shared);
                let is_cleared = matches!(clearance, Clearance::Clear | Clearance::Suspect);
                if next == Decision::Stop || !is_cleared {
                    return tally.finish();
                }
                if outcome == AttemptOutcome::NotRun
                    && tally.refusals.is_multiple_of(limits.servers.max(1))
                {
                    tally.tried.clear();
                    sleep(FULL_BACKOFF).await;
                }
            }
            (None, None) => {}
        }
    }
}

fn limits(shared: &Shared, sending: &Sending<'_>, service: &str, now: Boot) -> RetryLimits {
    RetryLimits {
        attempts: sending.attempts,
        servers: u32::try_from(shared.count(service)).unwrap_or(u32::MAX),
        now,
        deadline: sending.deadline,
        min_remaining: REMAINING_MIN,
    }
}

impl Tally {
    fn begin(&mut self, backend: &Backend) {
        self.tried.insert(backend.id.clone());
        self.runs += 1;
    }

    fn note(&mut self, outcome: AttemptOutcome, answer: Option<Answer>) {
        match outcome {
            AttemptOutcome::NotRun => {
                self.refusals += 1;
                self.runs -= 1;
            }
            AttemptOutcome::Unknown => self.unknown = true,
            AttemptOutcome::Failed => self.last = answer,
        }
    }

    fn finish(mut self) -> Done {
        match self.last.take() {
            Some(answer) => Done::Answered(Box::new(answer)),
            None if self.unknown || self.runs > 0 => Done::Unknown,
            None => Done::NotRun,
        }
    }
}

/// Sends a request to one server, and once more if a reused connection broke.
///
/// The server may have closed the idle connection just before the request. Only idempotent
/// requests are sent again.
async fn attempt(
    shared: &Shared,
    sending: &Sending<'_>,
    backend: Rc<Backend>,
) -> (Rc<Backend>, Result<Answer, CallError>) {
    let running = shared.load.enter(&backend.id);
    let first = send(shared, sending, &backend, &running).await;
    let is_stale = first.as_ref().is_err_and(CallError::is_stale);
    let may_resend = is_stale && sending.route.kind == Handling::Idempotent;
    let is_clear = sending.clearance(shared) == Clearance::Clear;
    if !may_resend || !is_clear || shared.is_leaving(&backend) {
        return (backend, first);
    }
    let second = send(shared, sending, &backend, &running).await;
    let ran = match &second {
        Ok(answer) => !answer.is_not_run(),
        Err(error) => !error.is_unsent(),
    };
    // If the second send did not run, the first one may still have run.
    (backend, if ran { second } else { first })
}

async fn send(
    shared: &Shared,
    sending: &Sending<'_>,
    backend: &Backend,
    running: &Running,
) -> Result<Answer, CallError> {
    let outgoing = Outgoing {
        method: sending.method.clone(),
        target: sending.target,
        headers: sending.headers,
        body: sending.body.clone(),
    };
    let dispatch = Dispatch {
        id: Some(sending.id),
        server: &backend.id,
        tenant: sending.tenant,
        left: Some(sending.deadline.left(Boot::now())),
        resume: None,
    };
    let is_watched = sending.claim == Claim::Answer;
    let guard = is_watched.then(|| SendGuard::new(shared, sending.parts(), backend));
    let arriving = call::send(shared, backend, &outgoing, &dispatch).await;
    let result = match arriving {
        Ok(arriving) => call::finish(arriving).await,
        Err(error) => Err(error),
    };
    match &result {
        Ok(_) => running.heard(backend.born),
        Err(error) if !error.is_unsent() => {
            event!("call_broken", "id" => sending.id,
                "request" => sending.parts().fingerprint(), "server" => backend.id,
                "born" => backend.born, "error" => error);
        }
        Err(_) => {}
    }
    match guard {
        Some(guard) if result.as_ref().is_err_and(CallError::is_broken) => guard.broke().await,
        Some(guard) => guard.settle(),
        None => {}
    }
    result
}

/// Classifies the result of an attempt; the outcome is none if the response is forwarded.
fn classify(
    shared: &Shared,
    sending: &Sending<'_>,
    backend: &Backend,
    result: Result<Answer, CallError>,
) -> (Option<AttemptOutcome>, Option<Answer>) {
    let now = Boot::now();
    match result {
        Ok(answer) if answer.is_not_run() => {
            event!("turned_away", "id" => sending.id, "server" => backend.id,
                "status" => answer.whole.status().as_u16());
            if answer.whole.status() == http::StatusCode::MISDIRECTED_REQUEST {
                shared.load.suspect(&backend.id, now + SUSPECT_SPAN);
            }
            (Some(AttemptOutcome::NotRun), None)
        }
        Ok(answer) if answer.is_success() => (None, Some(answer)),
        Ok(answer) if answer.whole.status().is_success() => {
            event!("unsigned_answer", "id" => sending.id, "server" => backend.id);
            (Some(AttemptOutcome::Unknown), None)
        }
        Ok(answer) if answer.whole.status().is_server_error() => {
            event!("server_failed", "id" => sending.id, "server" => backend.id,
                "status" => answer.whole.status().as_u16());
            if answer.whole.status() == http::StatusCode::INTERNAL_SERVER_ERROR
                && let Some(failed) = sending.failed
            {
                failed();
            }
            (Some(AttemptOutcome::Failed), Some(answer))
        }
        Ok(answer) => (None, Some(answer)),
        Err(error) => {
            event!("call_failed", "id" => sending.id, "server" => backend.id, "error" => error);
            // Exhausted connections are no failure of the server.
            if !error.is_busy() {
                shared.load.suspect(&backend.id, now + SUSPECT_SPAN);
            }
            let outcome = if error.is_unsent() {
                AttemptOutcome::NotRun
            } else {
                AttemptOutcome::Unknown
            };
            (Some(outcome), None)
        }
    }
}
