//! Sends a request with retries after failures and with hedging against slow servers.

use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Debug;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method};
use tokio::time::{sleep, timeout};

use super::call::{self, CallError, FullResponse, OutgoingRequest};
use super::choose::{AttemptOutcome, Decision, RetryLimits, decide_retry, hedge_at};
use super::crash::{self, RequestParts, SendGuard};
use super::load::InFlight;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{RequestKind, Route};
use crate::instance::events::event;
use crate::instance::interfaces::{Backend, UpstreamHeaders};
use crate::instance::zones::AttemptTimer;
use crate::ledger::crashes::Clearance;
use crate::util::unix_ms;

/// Minimum time left before the deadline for a retry.
const RETRY_TIME_MIN: Duration = Duration::from_millis(15);
/// Share of the route's latency objective for which a request waits for a server's limit: one that
/// is refused then can still be served in time elsewhere.
const PATIENCE_SHARE: f64 = 0.2;
/// Shortest wait for a server's limit; of the requests that wait, one gets the permit.
const PERMIT_WAIT_MIN: Duration = Duration::from_millis(2);
/// Backoff after each server has refused the request.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a failed server is avoided.
const SUSPECT_TTL: Duration = Duration::from_secs(3);

/// A request to send to a service.
#[derive(Debug)]
pub struct RelayRequest<'a> {
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
    /// Maximum number of attempts, hedges included; attempts that did not run do not count.
    pub attempts: u32,
    /// Whether crashes of servers that ran the request limit its retries.
    pub entitlement: Entitlement,
    /// Called on each status 500 of a server that ran the request, as it arrives, so that failures
    /// count even if a retry succeeds.
    #[debug(skip)]
    pub failed: Option<&'a dyn Fn()>,
    /// Time by which the caller must have a response.
    pub deadline: Boot,
}

/// What a request is entitled to, which decides whether server crashes limit its retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entitlement {
    /// A response, which may state a failure or a refusal. Crashes under the request are
    /// recorded, and known ones limit its hedges and retries.
    Response,
    /// A run: the request was accepted for later. Crashes under it are not recorded and do not
    /// block it.
    Run,
}

impl RelayRequest<'_> {
    /// Returns the parts by which crash records recognize repeats of the request.
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

    /// Returns until when the request may wait for a server whose limit has none left for it.
    fn patience(&self) -> Boot {
        let now = Boot::now();
        match self.entitlement {
            Entitlement::Response => {
                let objective = self.route.latency_objective.mul_f64(PATIENCE_SHARE);
                self.deadline.min(now + objective)
            }
            // The caller of an accepted request comes back after a pause.
            Entitlement::Run => now,
        }
    }

    /// Returns whether the request may be sent again, given the crashes known now.
    fn clearance(&self, shared: &Shared) -> Clearance {
        let crashes = &shared.ledger.borrow().crashes;
        if self.entitlement == Entitlement::Run || crashes.is_empty() {
            return Clearance::Clear;
        }
        crashes.clearance(&self.parts().fingerprint(), unix_ms())
    }
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// A server's response; a 5xx response only if no attempt had a better one.
    Answered(Box<FullResponse>),
    /// No server took the request; it has not run, and may come again after this time.
    NotRun(Duration),
    /// The request may have run, and no valid response came in time.
    Unknown,
}

/// Results of the attempts of a request so far.
#[derive(Default)]
struct AttemptTally {
    /// Attempts in flight or that may have run.
    runs: u32,
    /// Attempts that did not run.
    refusals: u32,
    /// Ids of the servers tried since all servers last refused the request.
    tried: HashSet<String>,
    /// The latest 5xx response.
    last: Option<FullResponse>,
    /// Whether an attempt may have run without a valid response.
    unknown: bool,
    hedged: bool,
}

/// Sends a request, with retries and hedges, until an attempt gives a final response.
///
/// Otherwise returns the latest 5xx response, or whether the request may have run.
pub async fn run(shared: &Shared, request: &RelayRequest<'_>) -> RelayOutcome {
    let outcome = run_attempts(shared, request).await;
    if matches!(outcome, RelayOutcome::Answered(_)) && request.entitlement == Entitlement::Response
    {
        crash::forgive_completed(shared, &request.parts());
    }
    outcome
}

async fn run_attempts(shared: &Shared, request: &RelayRequest<'_>) -> RelayOutcome {
    let repeatable = request.route.kind == RequestKind::Idempotent;
    let service = request.route.target(rand::random());
    let patience = request.patience();
    let mut tally = AttemptTally::default();
    let mut calls = FuturesUnordered::new();
    loop {
        let now = Boot::now();
        if calls.is_empty() {
            let Some(backend) = shared.choose_server(service, &tally.tried, None) else {
                if wait_for_permit(shared, service, patience).await {
                    continue;
                }
                let is_limited = shared.limits.borrow().is_limited(service);
                event!("no_server", "id" => request.id, "service" => service,
                    "limited" => is_limited);
                return tally.finish(shared, service);
            };
            tally.begin(&backend);
            calls.push(attempt(shared, request, backend));
        }
        // A hedge of a request that crashes servers would crash another one.
        let may_hedge = repeatable
            && !tally.hedged
            && tally.runs < request.attempts
            && request.clearance(shared) == Clearance::Clear;
        let wake = if may_hedge {
            hedge_at(now, request.route.latency_objective).min(request.deadline)
        } else {
            request.deadline
        };
        let next = timeout(wake.left(now), pin!(calls.next())).await;
        let now = Boot::now();
        let Ok(completed) = next else {
            if now >= request.deadline {
                event!("deadline", "id" => request.id, "runs" => tally.runs);
                tally.unknown |= !calls.is_empty();
                return tally.finish(shared, service);
            }
            tally.hedged = true;
            if let Some(backend) = shared.choose_server(service, &tally.tried, None)
                && !tally.tried.contains(&backend.id)
            {
                event!("hedge", "id" => request.id, "server" => backend.id);
                tally.begin(&backend);
                calls.push(attempt(shared, request, backend));
            }
            continue;
        };
        let Some((backend, result)) = completed else {
            continue;
        };
        let (outcome, answer) = classify(shared, request, &backend, result);
        match (outcome, answer) {
            (None, Some(answer)) => return RelayOutcome::Answered(Box::new(answer)),
            (Some(outcome), answer) => {
                tally.note(outcome, answer);
                if !calls.is_empty() {
                    continue;
                }
                let limits = retry_limits(shared, request, service, now);
                let next = decide_retry(outcome, repeatable, tally.runs, tally.refusals, limits);
                let clearance = request.clearance(shared);
                let is_cleared = matches!(clearance, Clearance::Clear | Clearance::Suspect);
                if next == Decision::Stop || !is_cleared {
                    return tally.finish(shared, service);
                }
                if outcome == AttemptOutcome::NotRun
                    && tally.refusals.is_multiple_of(limits.servers.max(1))
                {
                    tally.tried.clear();
                    sleep(REFUSAL_BACKOFF).await;
                }
            }
            (None, None) => {}
        }
    }
}

/// Waits until a server's limit leaves this instance a request, if that is by `patience`.
///
/// Returns whether it may have one now.
async fn wait_for_permit(shared: &Shared, service: &str, patience: Boot) -> bool {
    let now = Boot::now();
    let Some(at) = shared.permit_at(service, now) else {
        return false;
    };
    if at > patience || now >= patience {
        return false;
    }
    sleep(at.left(now).max(PERMIT_WAIT_MIN)).await;
    true
}

fn retry_limits(
    shared: &Shared,
    request: &RelayRequest<'_>,
    service: &str,
    now: Boot,
) -> RetryLimits {
    RetryLimits {
        attempts: request.attempts,
        servers: u32::try_from(shared.usable_count(service)).unwrap_or(u32::MAX),
        now,
        deadline: request.deadline,
        min_remaining: RETRY_TIME_MIN,
    }
}

impl AttemptTally {
    fn begin(&mut self, backend: &Backend) {
        self.tried.insert(backend.id.clone());
        self.runs += 1;
    }

    fn note(&mut self, outcome: AttemptOutcome, answer: Option<FullResponse>) {
        match outcome {
            AttemptOutcome::NotRun => {
                self.refusals += 1;
                self.runs -= 1;
            }
            AttemptOutcome::Unknown => self.unknown = true,
            AttemptOutcome::Failed => self.last = answer,
        }
    }

    fn finish(mut self, shared: &Shared, service: &str) -> RelayOutcome {
        match self.last.take() {
            Some(answer) => RelayOutcome::Answered(Box::new(answer)),
            None if self.unknown || self.runs > 0 => RelayOutcome::Unknown,
            None => RelayOutcome::NotRun(shared.retry_after(service)),
        }
    }
}

/// Sends a request to one server, and once more if a reused connection broke.
///
/// The server may have closed the idle connection just before the request. Only idempotent
/// requests are sent again, and only while the server takes new requests.
async fn attempt(
    shared: &Shared,
    request: &RelayRequest<'_>,
    backend: Rc<Backend>,
) -> (Rc<Backend>, Result<FullResponse, CallError>) {
    let running = shared.load.enter(&backend.id);
    let first = send(shared, request, &backend, &running).await;
    let is_stale = first.as_ref().is_err_and(CallError::is_stale);
    let may_resend = is_stale && request.route.kind == RequestKind::Idempotent;
    let is_clear = request.clearance(shared) == Clearance::Clear;
    if !may_resend || !is_clear {
        return (backend, first);
    }
    let second = send(shared, request, &backend, &running).await;
    let ran = match &second {
        Ok(answer) => !answer.is_not_run(),
        Err(error) => !error.is_unsent(),
    };
    // If the second send did not run, the first one may still have run.
    (backend, if ran { second } else { first })
}

async fn send(
    shared: &Shared,
    request: &RelayRequest<'_>,
    backend: &Backend,
    running: &InFlight,
) -> Result<FullResponse, CallError> {
    let outgoing = OutgoingRequest {
        method: request.method.clone(),
        target: request.target,
        headers: request.headers,
        body: request.body.clone(),
    };
    let added_headers = UpstreamHeaders {
        id: Some(request.id),
        server: &backend.id,
        tenant: request.tenant,
        time_left: Some(request.deadline.left(Boot::now())),
        resume: None,
    };
    let tracks_crashes = request.entitlement == Entitlement::Response;
    let guard = tracks_crashes.then(|| SendGuard::new(shared, request.parts(), backend));
    let timer = AttemptTimer::start(shared, backend, request.route.latency_objective);
    let pending = call::send(shared, backend, &outgoing, &added_headers).await;
    let result = match pending {
        Ok(pending) => call::read_body(shared, pending).await,
        Err(error) => Err(error),
    };
    timer.finish(&result);
    match &result {
        Ok(_) => running.note_response(backend.born),
        Err(error) if !error.is_unsent() => {
            event!("call_broken", "id" => request.id,
                "request" => request.parts().fingerprint(), "server" => backend.id,
                "born" => backend.born, "error" => error);
        }
        Err(_) => {}
    }
    match guard {
        Some(guard) if result.as_ref().is_err_and(CallError::is_broken) => {
            guard.check_crash().await;
        }
        Some(guard) => guard.disarm(),
        None => {}
    }
    result
}

/// Classifies the result of an attempt; the outcome is none if the response is forwarded.
fn classify(
    shared: &Shared,
    request: &RelayRequest<'_>,
    backend: &Backend,
    result: Result<FullResponse, CallError>,
) -> (Option<AttemptOutcome>, Option<FullResponse>) {
    let now = Boot::now();
    match result {
        Ok(answer) if answer.is_not_run() => {
            event!("turned_away", "id" => request.id, "server" => backend.id,
                "status" => answer.response.status().as_u16());
            if answer.response.status() == http::StatusCode::MISDIRECTED_REQUEST {
                shared.load.suspect(&backend.id, now + SUSPECT_TTL);
            }
            (Some(AttemptOutcome::NotRun), None)
        }
        Ok(answer) if answer.is_success() => (None, Some(answer)),
        Ok(answer) if answer.response.status().is_success() => {
            event!("unsigned_answer", "id" => request.id, "server" => backend.id);
            (Some(AttemptOutcome::Unknown), None)
        }
        Ok(answer) if answer.response.status().is_server_error() => {
            event!("server_failed", "id" => request.id, "server" => backend.id,
                "status" => answer.response.status().as_u16());
            if answer.response.status() == http::StatusCode::INTERNAL_SERVER_ERROR
                && let Some(failed) = request.failed
            {
                failed();
            }
            (Some(AttemptOutcome::Failed), Some(answer))
        }
        Ok(answer) => (None, Some(answer)),
        Err(error) => {
            event!("call_failed", "id" => request.id, "server" => backend.id, "error" => error);
            // Exhausted connections are no failure of the server.
            if !error.is_busy() {
                shared.load.suspect(&backend.id, now + SUSPECT_TTL);
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
