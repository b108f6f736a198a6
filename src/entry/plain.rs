//! Relays calls to plain services, which serve no model.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};

use crate::http::{ClientError, Refusal, RefusalKind, Response, full_response};
use crate::manifest::{RetryPolicy, RouteSpec};
use crate::names::ServerId;
use crate::util::unix_ms;
use crate::wire::{Run, UsageUnit};

use super::Entry;
use super::auth::Caller;
use super::burn::MeasuredRequest;
use super::choose::Work;
use super::eject::Failure;
use super::fair::PriorityClass;
use super::idempotency::{self, IdempotencyKey};
use super::intake::{self, Admitted, PoolRequest};
use super::key_check;
use super::key_filter;
use super::metrics::Attempt;
use super::servers::{Inflight, Need};

/// Cost of a call in the fair queue; calls have no tokens to count.
const CALL_COST: f64 = 1.0;
/// Attempts on backend servers that one call may take.
const ATTEMPTS_MAX: usize = 3;
/// Header with the idempotency key of a call that must not run twice.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Headers of a service's answer that are returned to the caller.
const RETURNED_HEADERS: [header::HeaderName; 4] = [
    header::CONTENT_LANGUAGE,
    header::ETAG,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// A call to a plain service.
#[derive(Debug)]
pub(super) struct PlainCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers as the caller sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A service's answer, read completely.
#[derive(Clone, Debug)]
pub(super) struct PlainAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers that are returned to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl PlainAnswer {
    fn into_response(self) -> Response {
        let mut answer = full_response(self.status, "application/octet-stream", self.body);
        for (name, value) in &self.headers {
            answer.headers_mut().insert(name.clone(), value.clone());
        }
        answer
    }
}

/// Runs a call on `route` and records how it met the objective.
pub(super) async fn relay(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<Caller>,
    call: PlainCall,
) -> Result<Response, Refusal> {
    key_filter::refuse_key("path", call.target.as_bytes())?;
    key_filter::refuse_key("body", &call.body)?;
    let tenant = caller.as_ref().map(|caller| &caller.tenant);
    let measured = MeasuredRequest::start(entry, tenant, &route.path);
    let answered = answer(entry, route, caller, call).await;
    match &answered {
        Ok(answer) if answer.status.is_server_error() => measured.failed(),
        Ok(_) => measured.first(),
        Err(refusal) => measured.refused(refusal),
    }
    answered.map(PlainAnswer::into_response)
}

/// Runs a call while the caller's key is valid.
///
/// A call that must not run twice is deduplicated by its idempotency key, if it has one.
async fn answer(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<Caller>,
    call: PlainCall,
) -> Result<PlainAnswer, Refusal> {
    let key = if is_repeatable(route, &call.method) {
        None
    } else {
        idempotency_key(&call.headers)?
    };
    let digest = caller.as_ref().map(|caller| caller.digest.clone());
    let work = async {
        match key {
            Some(key) => idempotency::run_or_forward(entry, route, caller, key, call).await,
            None => run(entry, route, caller.as_ref(), &call).await,
        }
    };
    match digest {
        Some(digest) => {
            key_check::check_key(entry, &digest)?;
            key_check::run_while_valid(entry, &digest, Run::Unknown, work).await?
        }
        None => work.await,
    }
}

/// Reads the idempotency key of a call, if the call has one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let detail = "more than one idempotency key";
        return Err(Refusal::not_run(RefusalKind::Malformed, detail));
    }
    IdempotencyKey::parse(value.to_str().unwrap_or_default()).map(Some)
}

/// Adds a completed call to the tenant's usage.
fn count_usage(entry: &Entry, caller: Option<&Caller>) {
    if let Some(caller) = caller {
        let window = entry.config.state().manifest.window;
        let amounts = [(UsageUnit::Requests, 1)];
        entry.usage.add(unix_ms(), window, &caller.tenant, &amounts);
    }
}

/// Whether a call may run more than once without harm.
fn is_repeatable(route: &RouteSpec, method: &Method) -> bool {
    route.repeatable || method.is_safe()
}

/// Runs a call, and retries it on other servers as long as that is safe.
///
/// A retry is safe if the call is repeatable or was never sent.
pub(super) async fn run(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<&Caller>,
    call: &PlainCall,
) -> Result<PlainAnswer, Refusal> {
    let deadline = intake::deadline(&call.headers, route.timeout, Instant::now())?;
    let _admitted = admit(entry, route, caller, deadline).await?;
    let repeatable = is_repeatable(route, &call.method);
    let mut avoid: Vec<ServerId> = Vec::new();
    let mut sent = false;
    entry.retries.earn();
    entry.counts.attempt(Attempt::First);
    while avoid.len() < ATTEMPTS_MAX {
        if !avoid.is_empty() && !may_retry(entry) {
            break;
        }
        let Some(inflight) = pick(entry, route, &avoid) else {
            break;
        };
        let tried = attempt(entry, &inflight.server.address, call, repeatable, deadline).await;
        let error = match tried {
            Ok(answer) => {
                count_usage(entry, caller);
                inflight.server.record_success(Instant::now());
                return Ok(answer);
            }
            Err(error) => error,
        };
        inflight
            .server
            .record_failure(failure(&error), Instant::now());
        sent |= !error.is_unsent();
        if !repeatable && sent {
            let detail = format!("the service failed while it ran the call: {error}");
            return Err(Refusal::unknown(RefusalKind::ServerFailed, detail));
        }
        if Instant::now() >= deadline {
            return Err(refusal(sent, RefusalKind::Deadline, "the deadline passed"));
        }
        avoid.push(inflight.server.id.clone());
    }
    Err(refusal(
        sent,
        RefusalKind::NoServer,
        "no backend server is ready",
    ))
}

/// Waits in the pool's queue until a call may run, then checks the key again.
async fn admit(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<&Caller>,
    deadline: Instant,
) -> Result<Admitted, Refusal> {
    let pool_request = PoolRequest {
        pool: &route.pool,
        tenant: caller.map(|caller| &caller.tenant),
        class: PriorityClass::Live,
        cost: CALL_COST,
        limited: false,
        deadline,
    };
    let mut admitted = intake::admit(entry, pool_request).await?;
    admitted.set_used(CALL_COST);
    if let Some(caller) = caller {
        key_check::check_key(entry, &caller.digest)?;
    }
    Ok(admitted)
}

/// Takes a retry from the entry's retry budget, and counts it.
fn may_retry(entry: &Entry) -> bool {
    let policy = entry.config.state().manifest.policy.retries;
    let allowed = policy == RetryPolicy::Unlimited || entry.retries.spend();
    if allowed {
        entry.counts.attempt(Attempt::Retry);
    }
    allowed
}

fn pick(entry: &Entry, route: &RouteSpec, avoid: &[ServerId]) -> Option<Inflight> {
    let state = entry.config.state();
    let spec = state.manifest.pools.get(&route.pool);
    let need = Need {
        pool: &route.pool,
        model: None,
        version: None,
        avoid,
        exclude: &[],
        zone: &entry.settings.zone,
        instance: &entry.settings.instance,
        policy: state.manifest.policy,
        slots: spec.map_or(1.0, |spec| intake::to_f64(spec.slots)),
        work: Work {
            prompt: 0.0,
            answer: CALL_COST,
        },
        blocks: &[],
    };
    let others = entry.other_entries.load();
    entry.servers.pick(&need, &others, Instant::now())
}

fn failure(error: &ClientError) -> Failure {
    if error.is_unsent() {
        Failure::Unreachable
    } else {
        Failure::Broken
    }
}

/// Builds a refusal that states whether the call may have run.
fn refusal(sent: bool, kind: RefusalKind, detail: &str) -> Refusal {
    if sent {
        Refusal::unknown(kind, detail)
    } else {
        Refusal::not_run(kind, detail)
    }
}

/// Sends a call to one server and reads the answer, within the deadline.
async fn attempt(
    entry: &Entry,
    address: &str,
    call: &PlainCall,
    repeatable: bool,
    deadline: Instant,
) -> Result<PlainAnswer, ClientError> {
    let request = request(address, call)?;
    let exchange = async {
        let answer = if repeatable {
            entry.client.send(request).await?
        } else {
            entry.client.send_once(request).await?
        };
        crate::http::collect(answer).await
    };
    let limit = deadline.saturating_duration_since(Instant::now());
    let answer = tokio::time::timeout(limit, exchange).await;
    let answer = answer.unwrap_or(Err(ClientError::Timeout { limit }))?;
    let (head, body) = answer.into_parts();
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        if RETURNED_HEADERS.contains(name) || name == header::CONTENT_TYPE {
            headers.insert(name.clone(), value.clone());
        }
    }
    Ok(PlainAnswer {
        status: head.status,
        headers,
        body,
    })
}

fn request(address: &str, call: &PlainCall) -> Result<Request<Bytes>, ClientError> {
    let mut request = Request::builder()
        .method(&call.method)
        .uri(format!("http://{address}{}", call.target))
        .body(call.body.clone())
        .map_err(ClientError::malformed)?;
    *request.headers_mut() = key_filter::allowed_headers(&call.headers);
    Ok(request)
}
