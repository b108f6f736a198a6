//! Runs an item on a server until its text is complete, then has the text scored.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt as _;
use tokio::time::{sleep, timeout};

use super::event_stream::EventReader;
use super::failures::Failures;
use super::pace::Stopwatch;
use super::sample::{AddError, Sample, VersionPolicy};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Route;
use crate::instance::events::event;
use crate::instance::identity::is_confirmed;
use crate::instance::interfaces::{Backend, UpstreamHeaders};
use crate::job::{Content, Item, ItemEnd, Scorer};
use crate::relay::call::{self, OutgoingRequest};
use crate::relay::retry::{self, Entitlement, RelayOutcome};

/// Time without an event after which a run is aborted.
///
/// A slow engine needs about a seventh of a second for an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Event timeout for a server that is loading weights, which takes a second or more.
const EVENT_TIMEOUT_LOADING: Duration = Duration::from_millis(2500);
/// Backoff before the first retry of a failed scorer call.
const SCORE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between two calls of a scorer.
const SCORE_BACKOFF_MAX: Duration = Duration::from_millis(800);

/// An item to run, with what the run needs from its job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Id of the job.
    pub job: String,
    /// The item.
    pub item: Item,
    /// Request of the item.
    pub content: Content,
    /// Host of the job's route.
    pub host: String,
    /// Tenant that the job belongs to.
    pub tenant: Option<String>,
    /// Model that generates the sample.
    pub model: String,
    /// Weight versions that may generate the sample.
    pub policy: VersionPolicy,
}

/// What a run reports about its server, and asks about it.
pub trait RunObserver {
    /// Records the time that a server needed for an event.
    fn record_pace(&self, server: &str, span: Duration);

    /// Whether a server is loading weights.
    fn is_loading(&self, backend: &Backend) -> bool;
}

/// How a run on one server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The text is complete.
    Whole,
    /// The server did not accept the item.
    NotRun,
    /// Another server answered, or the server has unsuitable weights.
    Misdirected,
    /// The call failed, or the stream broke off, stalled or was invalid.
    Broken,
    /// The server ran the item and answered with status 500.
    Failed,
    /// The server rejected the item as unprocessable.
    Impossible,
}

/// Runs a task on one server and appends the events to `sample`.
pub async fn run(
    shared: &Shared,
    task: &Task,
    backend: &Backend,
    sample: &RefCell<Sample>,
    observer: &impl RunObserver,
) -> RunEnd {
    let _running = shared.load.enter(&backend.id);
    let headers = headers(task);
    let outgoing = OutgoingRequest {
        method: Method::POST,
        target: &task.content.path,
        headers: &headers,
        body: task.content.body.clone(),
    };
    let added_headers = UpstreamHeaders {
        id: Some(&task.item.id),
        server: &backend.id,
        tenant: task.tenant.as_deref(),
        time_left: None,
        resume: sample.borrow().last,
    };
    let sent = call::send(shared, backend, &outgoing, &added_headers);
    let event_timeout = if observer.is_loading(backend) {
        EVENT_TIMEOUT_LOADING
    } else {
        EVENT_TIMEOUT
    };
    let pending = match timeout(event_timeout, sent).await {
        Ok(Ok(pending)) => pending,
        Ok(Err(error)) => {
            event!("item_call_failed", "item" => task.item.id, "server" => backend.id,
                "error" => error);
            return if error.is_unsent() {
                RunEnd::NotRun
            } else {
                RunEnd::Broken
            };
        }
        Err(_) => {
            event!("item_silent", "item" => task.item.id, "server" => backend.id);
            return RunEnd::Broken;
        }
    };
    let status = pending.head.status;
    if !status.is_success() || pending.reply.signature.is_none() {
        return classify_refusal(shared, task, backend, status, pending).await;
    }
    let is_resumed = sample.borrow().last.is_some();
    if is_resumed && !is_confirmed(shared, backend, pending.connection.opened).await {
        return RunEnd::Misdirected;
    }
    stream(shared, task, backend, pending, sample, observer).await
}

async fn classify_refusal(
    shared: &Shared,
    task: &Task,
    backend: &Backend,
    status: StatusCode,
    pending: call::PendingResponse,
) -> RunEnd {
    event!("item_refused", "item" => task.item.id, "server" => backend.id,
        "status" => status.as_u16());
    let not_run = pending.reply.not_run;
    // The body is not needed; reading it to its end lets the connection be reused.
    let _ = timeout(EVENT_TIMEOUT, call::read_body(shared, pending)).await;
    match status {
        StatusCode::MISDIRECTED_REQUEST => RunEnd::Misdirected,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        _ if not_run => RunEnd::NotRun,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => RunEnd::Broken,
    }
}

async fn stream(
    shared: &Shared,
    task: &Task,
    backend: &Backend,
    pending: call::PendingResponse,
    sample: &RefCell<Sample>,
    observer: &impl RunObserver,
) -> RunEnd {
    let call::PendingResponse {
        reply,
        mut body,
        connection,
        ..
    } = pending;
    let weights = backend.weights.get(&task.model).copied();
    let mut version = reply.version.or(weights).unwrap_or_default();
    let mut reader = EventReader::default();
    let mut stopwatch = Stopwatch::default();
    let mut last_event = Boot::now();
    loop {
        let event_timeout = if observer.is_loading(backend) {
            EVENT_TIMEOUT_LOADING
        } else {
            EVENT_TIMEOUT
        };
        // Only complete events reset the timeout: a stalled stream may still send some bytes.
        let left = (last_event + event_timeout).left(Boot::now());
        let frame = match timeout(left, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                event!("item_broken", "item" => task.item.id, "server" => backend.id,
                    "events" => sample.borrow().data.len(), "error" => error);
                return RunEnd::Broken;
            }
            Err(_) => {
                event!("item_silent", "item" => task.item.id, "server" => backend.id,
                    "events" => sample.borrow().data.len());
                return RunEnd::Broken;
            }
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&bytes);
        if reader.is_oversized() {
            event!("item_endless", "item" => task.item.id, "server" => backend.id);
            return RunEnd::Broken;
        }
        if !events.is_empty() {
            last_event = Boot::now();
        }
        if let Some(span) = stopwatch.record(events.len(), Boot::now()) {
            observer.record_pace(&backend.id, span);
        }
        for event in events {
            let announced = event
                .other
                .iter()
                .find_map(|line| shared.codec.announced_version(line));
            version = announced.unwrap_or(version);
            let added = sample.borrow_mut().add(event, version, task.policy);
            if let Err(error) = added {
                event!("item_misfit", "item" => task.item.id, "server" => backend.id,
                    "version" => version, "misfit" => format!("{error:?}"));
                if error == AddError::Version {
                    return RunEnd::Misdirected;
                }
                sample.replace(Sample::default());
                return RunEnd::Broken;
            }
        }
    }
    if reader.is_partial() || sample.borrow().data.is_empty() {
        return RunEnd::Broken;
    }
    connection.return_to_pool();
    RunEnd::Whole
}

fn headers(task: &Task) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &task.content.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        } else {
            event!("item_header", "item" => task.item.id, "error" => "malformed header");
        }
    }
    if let Ok(host) = HeaderValue::from_str(&task.host) {
        headers.insert(header::HOST, host);
    }
    headers
}

/// Has a complete sample scored; returns how the item ends and the scorer's signature.
pub(super) async fn score(
    shared: &Shared,
    task: &Task,
    scorer: &Scorer,
    failures: &Failures<'_>,
) -> (ItemEnd, Option<String>) {
    let mut backoff = SCORE_BACKOFF;
    loop {
        let deployment = shared.deployment();
        let route = deployment
            .as_ref()
            .and_then(|known| known.route(&scorer.host, &scorer.path));
        if let Some(route) = route {
            // The count includes failures under earlier leaders.
            let left = || route.attempts.max(1).saturating_sub(failures.count());
            if left() > 0
                && let Some(stamp) =
                    call_scorer(shared, task, scorer, route, left(), failures).await
            {
                return (ItemEnd::Complete, Some(stamp));
            }
            if left() == 0 {
                return (ItemEnd::Dead, None);
            }
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(SCORE_BACKOFF_MAX);
    }
}

/// Calls a scorer on at most `attempts` servers; returns its signature on success.
async fn call_scorer(
    shared: &Shared,
    task: &Task,
    scorer: &Scorer,
    route: &Rc<Route>,
    attempts: u32,
    failures: &Failures<'_>,
) -> Option<String> {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&scorer.host) {
        headers.insert(header::HOST, host);
    }
    let failed = || failures.record();
    let call = retry::RelayRequest {
        id: &scorer.id,
        route,
        method: Method::POST,
        target: &scorer.path,
        headers: &headers,
        body: scorer.body.clone(),
        tenant: None,
        attempts,
        entitlement: Entitlement::Run,
        failed: Some(&failed),
        deadline: Boot::now() + route.timeout,
    };
    match retry::run(shared, &call).await {
        RelayOutcome::Answered(answer) if answer.is_success() => return answer.reply.signature,
        RelayOutcome::Answered(answer) => {
            event!("score_failed", "item" => task.item.id, "scorer" => scorer.id,
                "status" => answer.response.status().as_u16(), "failures" => failures.count());
        }
        RelayOutcome::NotRun(_) | RelayOutcome::Unknown => {
            event!("score_missed", "item" => task.item.id, "scorer" => scorer.id);
        }
    }
    None
}
