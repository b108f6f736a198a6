//! Finds the page of a request and answers it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{Method, StatusCode};
use xitca_web::body::RequestBody;

use crate::http::{Refusal, RefusalKind, Request, Response, finish, json, read_body, whole};
use crate::log::ConfigState;

use super::Entry;
use super::api::Call;
use super::burn::Served;
use super::plain::{self, PlainCall};
use super::{address, auth, enter, fresh, path, sample, stream};

/// The pages of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Page {
    Health,
    Metrics,
    Addresses,
    Complete(Call),
    Sample,
    Burn,
    Plain,
}

impl Page {
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

    /// Whether the page's requests do work, which a shutdown must finish.
    fn is_work(self) -> bool {
        matches!(self, Self::Complete(_) | Self::Sample | Self::Plain)
    }

    /// Checks the request's method.
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
    let page = Page::of(head.uri.path());
    let answered = dispatch(&entry, page, &head, &mut body).await;
    let outcome = match &answered {
        Ok(_) => "ok".to_owned(),
        Err(refusal) => refusal.kind.to_string(),
    };
    entry.counts.request(page.name(), &outcome);
    let answer = answered.unwrap_or_else(|refusal| refusal.response());
    finish(answer, &mut body).await
}

async fn dispatch(
    entry: &Arc<Entry>,
    page: Page,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    page.check(&head.method)?;
    let _active = if page.is_work() {
        Some(entry.drain.enter().ok_or_else(leaving)?)
    } else {
        None
    };
    match page {
        Page::Health => Ok(whole(StatusCode::OK, "text/plain", Bytes::from("ok\n"))),
        Page::Metrics => {
            let text = Bytes::from(entry.metrics.text());
            Ok(whole(StatusCode::OK, "text/plain; version=0.0.4", text))
        }
        Page::Addresses => {
            let addresses = address::addresses(entry, head.uri.query())?;
            Ok(json(StatusCode::OK, &addresses))
        }
        Page::Complete(call) => complete(entry, call, head, body).await,
        Page::Sample => internal_sample(entry, head, body).await,
        Page::Burn => internal_burn(entry, head),
        Page::Plain => plain_call(entry, head, body).await,
    }
}

/// The refusal of an entry that takes no new work.
fn leaving() -> Refusal {
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
    let caller = fresh::caller(entry, &state, &head.headers)?;
    let limit = state.manifest.limits.request;
    let deadline = enter::deadline(&head.headers, limit, Instant::now())?;
    let body = take_body(&state, body).await?;
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
    fresh::check(entry)?;
    let body = take_body(&state, body).await?;
    sample::sample(entry, &body).await
}

/// Answers a control daemon with what was judged here.
fn internal_burn(entry: &Entry, head: &Parts) -> Result<Response, Refusal> {
    if !entry.settings.peer_secret.is(auth::bearer(&head.headers)?) {
        return Err(auth::invalid());
    }
    let objective = entry.config.state().manifest.objective;
    let report = entry.burn.report((objective.short, objective.long));
    Ok(json(StatusCode::OK, &report))
}

/// Refuses while the configuration may be out of date, and judges the caller's request.
fn check_fresh(entry: &Arc<Entry>, state: &ConfigState, head: &Parts) -> Result<(), Refusal> {
    fresh::check(entry).inspect_err(|refusal| {
        if let Ok(caller) = auth::caller(state, &head.headers) {
            Served::start(entry, Some(&caller.tenant), "").refused(refusal);
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
        Some(fresh::caller(entry, &state, &head.headers)?)
    };
    let target = head
        .uri
        .path_and_query()
        .map_or(path, |target| target.as_str());
    let call = PlainCall {
        method: head.method.clone(),
        target: target.to_owned(),
        headers: head.headers.clone(),
        body: take_body(&state, body).await?,
    };
    plain::relay(entry, route, caller, call).await
}

async fn take_body(state: &ConfigState, body: &mut RequestBody) -> Result<Bytes, Refusal> {
    let limits = state.manifest.limits;
    let deadline = Instant::now() + Duration::from_millis(limits.upload);
    Ok(read_body(body, limits.body, deadline).await?)
}

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
