//! Makes one sample: runs it on engines until its text is whole, then has it scored.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt as _;
use tokio::time::{sleep, timeout};

use super::events::EventReader;
use super::failures::Failures;
use super::pace::Stopwatch;
use super::sample::{Fit, Misfit, Sample};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Route;
use crate::instance::edge::{Backend, Dispatch};
use crate::instance::events::event;
use crate::job::{Content, Item, ItemEnd, Scorer};
use crate::relay::call::{self, Outgoing};
use crate::relay::repeat::{self, Claim, Done};

/// Time without an event after which a run is given up.
///
/// A slow engine needs about a seventh of a second for an event.
const SILENCE: Duration = Duration::from_millis(900);
/// The same for a server that loads weights, which takes one second and more.
const SILENCE_LOADING: Duration = Duration::from_millis(2500);
/// Pause before a scorer that failed is asked again.
const SCORE_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two calls of a scorer.
const SCORE_PAUSE_MAX: Duration = Duration::from_millis(800);

/// What a run needs to know of its job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job.
    pub job: String,
    /// The item.
    pub item: Item,
    /// Its request.
    pub content: Content,
    /// Host of the job's route.
    pub host: String,
    /// Tenant of the job.
    pub tenant: Option<String>,
    /// The model.
    pub model: String,
    /// Which weight versions may make it.
    pub fit: Fit,
}

/// What a run tells of its server, and asks about it.
pub trait Watch {
    /// Notes the time that a server needed for an event.
    fn paced(&self, server: &str, span: Duration);

    /// Whether a server loads weights.
    fn is_loading(&self, backend: &Backend) -> bool;
}

/// How a run on one server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The text is whole.
    Whole,
    /// The server did not take it.
    NotRun,
    /// The server is another one, or has other weights.
    Misdirected,
    /// The stream broke off or fell silent.
    Broken,
    /// The server ran it and answered with status 500.
    Failed,
    /// The item can never be done.
    Impossible,
}

/// Runs a task on one server; adds to `sample`.
pub async fn run(
    shared: &Shared,
    task: &Task,
    backend: &Backend,
    sample: &RefCell<Sample>,
    watch: &impl Watch,
) -> RunEnd {
    let _running = shared.load.enter(&backend.id);
    let headers = headers(task);
    let outgoing = Outgoing {
        method: Method::POST,
        target: &task.content.path,
        headers: &headers,
        body: task.content.body.clone(),
    };
    let dispatch = Dispatch {
        id: Some(&task.item.id),
        server: &backend.id,
        tenant: task.tenant.as_deref(),
        left: None,
        resume: sample.borrow().last,
    };
    let sent = call::send(shared, backend, &outgoing, &dispatch);
    let silence = if watch.is_loading(backend) {
        SILENCE_LOADING
    } else {
        SILENCE
    };
    let arriving = match timeout(silence, sent).await {
        Ok(Ok(arriving)) => arriving,
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
    let status = arriving.head.status;
    if !status.is_success() || arriving.reply.stamp.is_none() {
        return refused(task, backend, status, arriving).await;
    }
    stream(shared, task, backend, arriving, sample, watch).await
}

async fn refused(
    task: &Task,
    backend: &Backend,
    status: StatusCode,
    arriving: call::Arriving,
) -> RunEnd {
    event!("item_refused", "item" => task.item.id, "server" => backend.id,
        "status" => status.as_u16());
    let not_run = arriving.reply.not_run;
    // The body tells nothing more; reading it keeps the connection.
    let _ = timeout(SILENCE, call::finish(arriving)).await;
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
    arriving: call::Arriving,
    sample: &RefCell<Sample>,
    watch: &impl Watch,
) -> RunEnd {
    let call::Arriving {
        reply,
        mut body,
        lane,
        ..
    } = arriving;
    let weights = backend.weights.get(&task.model).copied();
    let mut version = reply.version.or(weights).unwrap_or_default();
    let mut reader = EventReader::default();
    let mut stopwatch = Stopwatch::default();
    let mut heard = Boot::now();
    loop {
        let silence = if watch.is_loading(backend) {
            SILENCE_LOADING
        } else {
            SILENCE
        };
        // Bytes that make no event don't count: a stalled stream may send some now and then.
        let left = (heard + silence).left(Boot::now());
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
        if reader.is_endless() {
            event!("item_endless", "item" => task.item.id, "server" => backend.id);
            return RunEnd::Broken;
        }
        if !events.is_empty() {
            heard = Boot::now();
        }
        if let Some(span) = stopwatch.note(events.len(), Boot::now()) {
            watch.paced(&backend.id, span);
        }
        for event in events {
            let announced = event
                .other
                .iter()
                .find_map(|line| shared.dialect.version_line(line));
            version = announced.unwrap_or(version);
            let added = sample.borrow_mut().add(event, version, task.fit);
            if let Err(misfit) = added {
                event!("item_misfit", "item" => task.item.id, "server" => backend.id,
                    "version" => version, "misfit" => format!("{misfit:?}"));
                if misfit == Misfit::Version {
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
    lane.keep();
    RunEnd::Whole
}

fn headers(task: &Task) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &task.content.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        } else {
            event!("item_header", "item" => task.item.id, "error" => "a header is malformed");
        }
    }
    if let Ok(host) = HeaderValue::from_str(&task.host) {
        headers.insert(header::HOST, host);
    }
    headers
}

/// Has a whole sample scored; gives how it ends, with the scorer's signature.
pub(super) async fn score(
    shared: &Shared,
    task: &Task,
    scorer: &Scorer,
    failures: &Failures<'_>,
) -> (ItemEnd, Option<String>) {
    let mut pause = SCORE_PAUSE;
    loop {
        let deployment = shared.deployment();
        let route = deployment
            .as_ref()
            .and_then(|known| known.route(&scorer.host, &scorer.path));
        if let Some(route) = route {
            // Some may have come under a former leader.
            let left = || route.attempts.max(1).saturating_sub(failures.count());
            if left() > 0
                && let Some(stamp) = ask(shared, task, scorer, route, left(), failures).await
            {
                return (ItemEnd::Complete, Some(stamp));
            }
            if left() == 0 {
                return (ItemEnd::Dead, None);
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(SCORE_PAUSE_MAX);
    }
}

/// Calls a scorer, on `attempts` servers at most; gives its signature if it succeeds.
async fn ask(
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
    let failed = || failures.note();
    let call = repeat::Sending {
        id: &scorer.id,
        route,
        method: Method::POST,
        target: &scorer.path,
        headers: &headers,
        body: scorer.body.clone(),
        tenant: None,
        attempts,
        claim: Claim::Run,
        failed: Some(&failed),
        deadline: Boot::now() + route.timeout,
    };
    match repeat::run(shared, &call).await {
        Done::Answered(answer) if answer.is_success() => return answer.reply.stamp,
        Done::Answered(answer) => {
            event!("score_failed", "item" => task.item.id, "scorer" => scorer.id,
                "status" => answer.whole.status().as_u16(), "failures" => failures.count());
        }
        Done::NotRun | Done::Unknown => {
            event!("score_missed", "item" => task.item.id, "scorer" => scorer.id);
        }
    }
    None
}
