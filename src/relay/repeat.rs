//! Calls with retries: another server after a failure, and a second one beside a slow one.

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
use super::choose::{Ended, Limits, Next, after, hedge_at};
use super::crash::{self, RequestParts, Sent};
use super::load::Running;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{Handling, Route};
use crate::instance::edge::{Backend, Dispatch};
use crate::instance::events::event;
use crate::ledger::crashes::Clearance;
use crate::util::unix_ms;

/// Shortest time in which another attempt can be of use.
const USEFUL: Duration = Duration::from_millis(15);
/// Pause after all servers turned a request away.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a server that failed is avoided.
const SUSPECT: Duration = Duration::from_secs(3);

/// A request to send to a service.
#[derive(Debug)]
pub struct Sending<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Rc<Route>,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Tenant, if one is known.
    pub tenant: Option<&'a str>,
    /// Servers that it may run on.
    pub attempts: u32,
    /// What it is owed.
    pub claim: Claim,
    /// Told of each answer of status 500 as it comes.
    #[debug(skip)]
    pub failed: Option<&'a dyn Fn()>,
    /// When the caller must have an answer.
    pub deadline: Boot,
}

/// What a request is owed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// An answer, which may be that it failed or is refused.
    Answer,
    /// A run: it was taken on for later, and no crash under it makes it suspect.
    Run,
}

impl Sending<'_> {
    /// What makes it a repeat of other requests.
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

    /// What its repeats may do, as far as is known now.
    fn clearance(&self, shared: &Shared) -> Clearance {
        let crashes = &shared.fold.borrow().crashes;
        if self.claim == Claim::Run || crashes.is_empty() {
            return Clearance::Clear;
        }
        crashes.clearance(&self.parts().fingerprint(), unix_ms())
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum Done {
    /// With a server's answer.
    Answered(Box<Answer>),
    /// No server took it; it has not run.
    NotRun,
    /// It may have run, and no answer came.
    Unknown,
}

/// What the attempts of a request have come to so far.
#[derive(Default)]
struct Tally {
    runs: u32,
    refusals: u32,
    tried: HashSet<String>,
    last: Option<Answer>,
    unknown: bool,
    hedged: bool,
}

/// Sends a request, to several servers if need be, and gives the best answer.
pub async fn run(shared: &Shared, sending: &Sending<'_>) -> Done {
    let done = attempts(shared, sending).await;
    if matches!(done, Done::Answered(_)) && sending.claim == Claim::Answer {
        crash::ran(shared, &sending.parts());
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
        // A copy of a request that crashes servers would crash one more.
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
        let Ok(ended) = next else {
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
        let Some((backend, result)) = ended else {
            continue;
        };
        let (ended, answer) = judge(shared, sending, &backend, result);
        match (ended, answer) {
            (None, Some(answer)) => return Done::Answered(Box::new(answer)),
            (Some(ended), answer) => {
                tally.note(ended, answer);
                if !calls.is_empty() {
                    continue;
                }
                let limits = limits(shared, sending, service, now);
                let next = after(ended, repeatable, tally.runs, tally.refusals, limits);
                let clearance = sending.clearance(shared);
                let is_cleared = matches!(clearance, Clearance::Clear | Clearance::Suspect);
                if next == Next::Stop || !is_cleared {
                    return tally.finish();
                }
                if ended == Ended::NotRun && tally.refusals.is_multiple_of(limits.servers.max(1)) {
                    tally.tried.clear();
                    sleep(FULL_PAUSE).await;
                }
            }
            (None, None) => {}
        }
    }
}

fn limits(shared: &Shared, sending: &Sending<'_>, service: &str, now: Boot) -> Limits {
    Limits {
        attempts: sending.attempts,
        servers: u32::try_from(shared.count(service)).unwrap_or(u32::MAX),
        now,
        deadline: sending.deadline,
        useful: USEFUL,
    }
}

impl Tally {
    fn begin(&mut self, backend: &Backend) {
        self.tried.insert(backend.id.clone());
        self.runs += 1;
    }

    fn note(&mut self, ended: Ended, answer: Option<Answer>) {
        match ended {
            Ended::NotRun => {
                self.refusals += 1;
                self.runs -= 1;
            }
            Ended::Unknown => self.unknown = true,
            Ended::Failed => self.last = answer,
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

/// Sends a request to one server, and once more if a kept connection broke: the server may
/// have closed it just before.
async fn attempt(
    shared: &Shared,
    sending: &Sending<'_>,
    backend: Rc<Backend>,
) -> (Rc<Backend>, Result<Answer, CallError>) {
    let running = shared.load.enter(&backend.id);
    let first = send(shared, sending, &backend, &running).await;
    let is_stale = first.as_ref().is_err_and(CallError::is_stale);
    let may_repeat = is_stale && sending.route.kind == Handling::Idempotent;
    let is_sound = sending.clearance(shared) == Clearance::Clear;
    if !may_repeat || !is_sound || shared.is_leaving(&backend) {
        return (backend, first);
    }
    let second = send(shared, sending, &backend, &running).await;
    let ran = match &second {
        Ok(answer) => !answer.is_not_run(),
        Err(error) => !error.is_unsent(),
    };
    // The first one may have run, whatever became of the second.
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
    let watched = sending.claim == Claim::Answer;
    let sent = watched.then(|| Sent::new(shared, sending.parts(), backend));
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
    match sent {
        Some(sent) if result.as_ref().is_err_and(CallError::is_cut) => sent.broke().await,
        Some(sent) => sent.settled(),
        None => {}
    }
    result
}

/// Classifies how an attempt ended; none for an answer that is passed on.
fn judge(
    shared: &Shared,
    sending: &Sending<'_>,
    backend: &Backend,
    result: Result<Answer, CallError>,
) -> (Option<Ended>, Option<Answer>) {
    let now = Boot::now();
    match result {
        Ok(answer) if answer.is_not_run() => {
            event!("turned_away", "id" => sending.id, "server" => backend.id,
                "status" => answer.whole.status().as_u16());
            if answer.whole.status() == http::StatusCode::MISDIRECTED_REQUEST {
                shared.load.suspect(&backend.id, now + SUSPECT);
            }
            (Some(Ended::NotRun), None)
        }
        Ok(answer) if answer.is_success() => (None, Some(answer)),
        Ok(answer) if answer.whole.status().is_success() => {
            event!("unsigned_answer", "id" => sending.id, "server" => backend.id);
            (Some(Ended::Unknown), None)
        }
        Ok(answer) if answer.whole.status().is_server_error() => {
            event!("server_failed", "id" => sending.id, "server" => backend.id,
                "status" => answer.whole.status().as_u16());
            if answer.whole.status() == http::StatusCode::INTERNAL_SERVER_ERROR
                && let Some(failed) = sending.failed
            {
                failed();
            }
            (Some(Ended::Failed), Some(answer))
        }
        Ok(answer) => (None, Some(answer)),
        Err(error) => {
            event!("call_failed", "id" => sending.id, "server" => backend.id, "error" => error);
            // A server whose connections are all in use is not at fault.
            if !error.is_busy() {
                shared.load.suspect(&backend.id, now + SUSPECT);
            }
            let ended = if error.is_unsent() {
                Ended::NotRun
            } else {
                Ended::Unknown
            };
            (Some(ended), None)
        }
    }
}
