//! The entry's HTTP endpoints: routes each request to its handler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{Method, StatusCode};
use xitca_web::body::RequestBody;

use crate::http::{
    Refusal, RefusalKind, Request, Response, finish, full_response, json, read_body,
};
use crate::log::ConfigState;

use super::Entry;
use super::api::Call;
use super::burn::MeasuredRequest;
use super::plain::{self, PlainCall};
use super::{address, auth, intake, key_check, path, sample, stream};

/// The HTTP endpoints of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Endpoint {
    Health,
    Metrics,
    Addresses,
    Complete(Call),
    Sample,
    Burn,
    Plain,
}

impl Endpoint {
    fn of(path: &str) -> Self {
        match path {
            "/healthz" => Self::Health,
            "/metrics" => Self::Metrics,
            "/v1/addresses" => Self::Addresses,
            "/v1/completions" => Self::Complete(Call::Completion),
            "/v1/chat/completions" => Self::Complete(Call::Chat),
            "/internal/sample" => Self::Sample,
            "/internal/burn" => Self::Burn,
            _ => Self::Plain,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Health => "health",
            Self::Metrics => "metrics",
            Self::Addresses => "addresses",
            Self::Complete(call) => call.name(),
            Self::Sample => "sample",
            Self::Burn => "burn",
            Self::Plain => "plain",
        }
    }

    /// Whether a shutdown waits for requests in flight on this endpoint.
    fn is_work(self) -> bool {
        matches!(self, Self::Complete(_) | Self::Sample | Self::Plain)
    }

    /// Refuses a method that this endpoint does not accept.
    fn check(self, method: &Method) -> Result<(), Refusal> {
        let expected = match self {
            Self::Plain => return Ok(()),
            Self::Complete(_) | Self::Sample => Method::POST,
            Self::Health | Self::Metrics | Self::Addresses | Self::Burn => Method::GET,
        };
        if *method == expected {
            return Ok(());
        }
        let detail = format!("this page takes {expected}");
        Err(Refusal::not_run(RefusalKind::MethodNotAllowed, detail))
    }
}

/// Answers one request.
pub(super) async fn answer(entry: Arc<Entry>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let (_, mut body) = body.replace_body(());
    let endpoint = Endpoint::of(head.uri.path());
    let answered = dispatch(&entry, endpoint, &head, &mut body).await;
    let outcome = match &answered {
        Ok(_) => "ok".to_owned(),
        Err(refusal) => refusal.kind.to_string(),
    };
    entry.counts.request(endpoint.name(), &outcome);
    let answer = answered.unwrap_or_else(|refusal| refusal.response());
    finish(answer, &mut body).await
}

async fn dispatch(
    entry: &Arc<Entry>,
    endpoint: Endpoint,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    endpoint.check(&head.method)?;
    let _active = if endpoint.is_work() {
        Some(entry.drain.enter().ok_or_else(leaving_refusal)?)
    } else {
        None
    };
    match endpoint {
        Endpoint::Health => Ok(full_response(
            StatusCode::OK,
            "text/plain",
            Bytes::from("ok\n"),
        )),
        Endpoint::Metrics => {
            let text = Bytes::from(entry.metrics.text());
            Ok(full_response(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                text,
            ))
        }
        Endpoint::Addresses => {
            let addresses = address::addresses(entry, head.uri.query())?;
            Ok(json(StatusCode::OK, &addresses))
        }
        Endpoint::Complete(call) => complete(entry, call, head, body).await,
        Endpoint::Sample => internal_sample(entry, head, body).await,
        Endpoint::Burn => internal_burn(entry, head),
        Endpoint::Plain => plain_call(entry, head, body).await,
    }
}

/// Builds the refusal of a request that arrives after the drain closed the entry to new work.
fn leaving_refusal() -> Refusal {
    let detail = "this entry is shutting down; ask for addresses again";
    Refusal::not_run(RefusalKind::Leaving, detail).retry_after(1)
}

async fn complete(
    entry: &Arc<Entry>,
    call: Call,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let state = entry.config.state();
    check_headers(&state, head)?;
    let caller = key_check::caller(entry, &state, &head.headers)?;
    let limit = state.manifest.limits.request;
    let deadline = intake::deadline(&head.headers, limit, Instant::now())?;
    let body = read_limited(&state, body).await?;
    stream::complete(entry, call, caller, deadline, &body).await
}

async fn internal_sample(
    entry: &Arc<Entry>,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let state = entry.config.state();
    let token = auth::bearer(&head.headers)?;
    if !entry.settings.peer_secret.is(token) {
        return Err(auth::invalid());
    }
    key_check::check_fresh(entry)?;
    let body = read_limited(&state, body).await?;
    sample::sample(entry, &body).await
}

/// Returns the counts of this entry's requests from which a control daemon computes burn rates.
fn internal_burn(entry: &Entry, head: &Parts) -> Result<Response, Refusal> {
    if !entry.settings.peer_secret.is(auth::bearer(&head.headers)?) {
        return Err(auth::invalid());
    }
    let objective = entry.config.state().manifest.objective;
    let report = entry.burn.report((objective.short, objective.long));
    Ok(json(StatusCode::OK, &report))
}

/// Refuses a call while the configuration may be stale.
///
/// If the caller is known, the refusal counts against the tenant's objective.
fn check_fresh(entry: &Arc<Entry>, state: &ConfigState, head: &Parts) -> Result<(), Refusal> {
    key_check::check_fresh(entry).inspect_err(|refusal| {
        if let Ok(caller) = auth::caller(state, &head.headers) {
            MeasuredRequest::start(entry, Some(&caller.tenant), "").refused(refusal);
        }
    })
}

async fn plain_call(
    entry: &Arc<Entry>,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let state = entry.config.state();
    check_headers(&state, head)?;
    let path = head.uri.path();
    path::check(path)?;
    let Some(route) = state.manifest.route(path) else {
        let detail = format!("no route for {path}");
        return Err(Refusal::not_run(RefusalKind::NotFound, detail));
    };
    check_fresh(entry, &state, head)?;
    let caller = if route.open {
        None
    } else {
        Some(key_check::caller(entry, &state, &head.headers)?)
    };
    let target = head
        .uri
        .path_and_query()
        .map_or(path, |target| target.as_str());
    let call = PlainCall {
        method: head.method.clone(),
        target: target.to_owned(),
        headers: head.headers.clone(),
        body: read_limited(&state, body).await?,
    };
    plain::relay(entry, route, caller, call).await
}

/// Reads the request body within the size and time limits of the manifest.
async fn read_limited(state: &ConfigState, body: &mut RequestBody) -> Result<Bytes, Refusal> {
    let limits = state.manifest.limits;
    let deadline = Instant::now() + Duration::from_millis(limits.upload);
    Ok(read_body(body, limits.body, deadline).await?)
}

/// Refuses headers whose names and values exceed the manifest's size limit.
fn check_headers(state: &ConfigState, head: &Parts) -> Result<(), Refusal> {
    let limit = state.manifest.limits.headers;
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.as_bytes().len()
    };
    let total: usize = head.headers.iter().map(size).sum();
    if total <= limit {
        return Ok(());
    }
    let detail = format!("the headers hold {total} bytes, more than {limit}");
    Err(Refusal::not_run(RefusalKind::HeadersTooLarge, detail))
}
