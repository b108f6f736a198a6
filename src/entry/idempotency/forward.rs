//! Forwards calls to the entry that owns their idempotency key, and runs those of peers.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::RouteSpec;
use crate::peer::{CallError, Link};
use crate::wire::{Header, OnceAnswer, OnceRequest, PeerMessage};

use super::super::Entry;
use super::super::auth::Caller;
use super::super::plain::{PlainAnswer, PlainCall};
use super::super::{intake, key_filter};
use super::{IdempotencyKey, run_here};

/// Time that the owner has to answer beyond the route's timeout.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Forwards a call to the key's owner and returns the owner's answer.
pub(super) async fn forward(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<&Caller>,
    key: &IdempotencyKey,
    call: &PlainCall,
) -> Result<PlainAnswer, Refusal> {
    let request = OnceRequest {
        body: STANDARD.encode(&call.body),
        headers: encode_headers(&forwarded_headers(&call.headers)),
        key: caller.map(|caller| caller.digest.to_string()),
        method: call.method.to_string(),
        path: call.target.clone(),
        tenant: caller.map_or_else(String::new, |caller| caller.tenant.to_string()),
    };
    let id = key.id.clone();
    let message = move |call| PeerMessage::OnceAsk {
        call,
        key: id,
        request,
    };
    let limit = Duration::from_millis(route.timeout) + ANSWER_MARGIN;
    let asked = entry.peers.call(&key.owner, message);
    let answer = tokio::time::timeout(limit, asked).await;
    let answer = answer.unwrap_or(Err(CallError::Lost));
    answer
        .ok()
        .and_then(|answer| decode_answer(&answer))
        .ok_or_else(unknown_outcome)
}

/// Builds the refusal of a call whose owner gives no valid answer.
///
/// The outcome is unknown even if this call never reached the owner: an earlier call with the
/// same key may have run.
fn unknown_outcome() -> Refusal {
    let detail = "the entry that this idempotency key is bound to cannot be asked";
    Refusal::unknown(RefusalKind::OutcomeUnknown, detail)
}

/// Selects the headers that the owner needs: those for the service and the caller's timeout.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = key_filter::allowed_headers(headers);
    if let Some(limit) = headers.get(intake::TIMEOUT_HEADER) {
        forwarded.insert(intake::TIMEOUT_HEADER, limit.clone());
    }
    forwarded
}

/// Runs calls that other entries forward, and registers the gauge of known keys.
pub(in crate::entry) fn serve_forwarded(entry: &Arc<Entry>) {
    let counted = Arc::downgrade(entry);
    let _ = entry
        .metrics
        .meter()
        .u64_observable_gauge("basillead_once_keys")
        .with_description("Idempotency keys that this entry runs, or ran and remembers.")
        .with_callback(move |gauge| {
            if let Some(entry) = counted.upgrade() {
                gauge.observe(entry.dedup.len() as u64, &[]);
            }
        })
        .build();
    let asked = Arc::downgrade(entry);
    entry.peers.on_message(move |link, message| {
        let PeerMessage::OnceAsk { call, key, request } = message else {
            return;
        };
        let Some(entry) = asked.upgrade() else {
            return;
        };
        let (link, call) = (Arc::clone(link), *call);
        let (key, request) = (key.clone(), request.clone());
        tokio::spawn(async move { answer(&entry, &link, call, &key, request).await });
    });
}

async fn answer(entry: &Arc<Entry>, link: &Link, call: u64, id: &str, request: OnceRequest) {
    let answered = run_forwarded(entry, id, request).await;
    let answer = match answered {
        Ok(answer) => answer,
        Err(refusal) => refusal_answer(&refusal),
    };
    if !link.send(PeerMessage::OnceAnswer { answer, call }) {
        spdlog::warn!("cannot send an answer to a peer", kv: {
            peer = link.peer.instance.as_str(),
        });
    }
}

async fn run_forwarded(
    entry: &Arc<Entry>,
    id: &str,
    request: OnceRequest,
) -> Result<OnceAnswer, Refusal> {
    let malformed = || Refusal::not_run(RefusalKind::Malformed, "a peer's malformed request");
    let call = PlainCall {
        method: Method::from_bytes(request.method.as_bytes()).map_err(|_| malformed())?,
        headers: decode_headers(&request.headers).ok_or_else(malformed)?,
        body: STANDARD
            .decode(&request.body)
            .map_err(|_| malformed())?
            .into(),
        target: request.path,
    };
    let state = entry.config.state();
    let path = call.target.split('?').next().unwrap_or_default();
    let Some(route) = state.manifest.route(path).cloned() else {
        // One of the two entries has a newer configuration. The key may have run earlier, so the
        // outcome is unknown.
        let detail = format!("no route for {path} at the entry that the key is bound to");
        return Err(Refusal::unknown(RefusalKind::OutcomeUnknown, detail));
    };
    let caller = request.key.map(|key| Caller {
        tenant: request.tenant.into(),
        digest: key.into(),
    });
    let answer = run_here(entry, route, caller, id, call).await?;
    Ok(OnceAnswer {
        body: STANDARD.encode(&answer.body),
        headers: encode_headers(&answer.headers),
        status: answer.status.as_u16(),
    })
}

/// Converts a refusal to an answer for a peer.
fn refusal_answer(refusal: &Refusal) -> OnceAnswer {
    let problem = serde_json::to_vec(&refusal.problem()).unwrap_or_default();
    let kind = HeaderValue::from_static("application/problem+json");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, kind);
    if let Some(seconds) = refusal.retry {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    OnceAnswer {
        body: STANDARD.encode(problem),
        headers: encode_headers(&headers),
        status: refusal.kind.status().as_u16(),
    }
}

fn decode_answer(answer: &OnceAnswer) -> Option<PlainAnswer> {
    Some(PlainAnswer {
        status: StatusCode::from_u16(answer.status).ok()?,
        headers: decode_headers(&answer.headers)?,
        body: Bytes::from(STANDARD.decode(&answer.body).ok()?),
    })
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: STANDARD.encode(value.as_bytes()),
    };
    headers.iter().map(encode).collect()
}

fn decode_headers(wire: &[Header]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for header in wire {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = STANDARD.decode(&header.value).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(headers)
}
