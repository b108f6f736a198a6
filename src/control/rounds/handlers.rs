//! HTTP handlers for trainers: open a session, pull samples from it, close it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;
use xitca_web::body::RequestBody;

use crate::entry::bearer;
use crate::http::{Refusal, RefusalKind, Response, json, read_body};
use crate::names::{KeyDigest, Tenant};
use crate::util::unix_ms;
use crate::wire::{Pull, RoundSpec, SessionOpen, SessionOpened};

use super::Sessions;
use super::session::Session;

/// Maximum size of a request body in bytes.
const BODY_MAX: usize = 1 << 20;
/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that one pull waits for samples.
const PULL_WAIT_MAX: Duration = Duration::from_secs(30);

/// Opens a session for a round that belongs to the key's tenant.
pub(crate) async fn open(
    sessions: &Arc<Sessions>,
    headers: &HeaderMap,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let key = valid_key(sessions, headers)?;
    let open: SessionOpen = read_json(body).await?;
    let spec = find_round(sessions, &key, &open.round)?;
    if unix_ms() >= spec.deadline_ms {
        let detail = format!("the deadline of round {} has passed", spec.name);
        return Err(Refusal::not_run(RefusalKind::Deadline, detail));
    }
    let session = Arc::new(Session::new(spec, &open, key, Instant::now()));
    let opened = SessionOpened {
        missing: session.missing(),
        session: session.id.clone(),
    };
    spdlog::info!("session opened", kv: {
        round = session.spec.name.as_str(),
        tenant = session.spec.tenant.as_str(),
        missing = opened.missing,
    });
    if !sessions.add(session) {
        let detail = "this control daemon has too many sessions; open it at another one";
        return Err(Refusal::not_run(RefusalKind::Overloaded, detail).retry_after(1));
    }
    Ok(json(StatusCode::OK, &opened))
}

/// Answers a pull of a session.
pub(crate) async fn pull(
    sessions: &Arc<Sessions>,
    id: &str,
    headers: &HeaderMap,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let key = valid_key(sessions, headers)?;
    let pull: Pull = read_json(body).await?;
    let session = find_session(sessions, &key, id)?;
    let wait = Duration::from_millis(pull.wait_ms).min(PULL_WAIT_MAX);
    let pulled = session.pull(&pull, Instant::now() + wait).await;
    // The key may have been withdrawn, or the round cancelled, during the wait.
    check_fresh(sessions)?;
    find_session(sessions, &key, id)?;
    let pulled = pulled.map_err(|last| {
        let detail = format!("pull {} does not follow pull {last}", pull.seq);
        Refusal::not_run(RefusalKind::Malformed, detail)
    })?;
    let incomplete = pulled.samples.is_empty() && pulled.missing > 0;
    if incomplete && unix_ms() >= session.spec.deadline_ms && session.counts().running == 0 {
        let missing = pulled.missing;
        let detail = format!("the round's deadline has passed with {missing} samples missing");
        return Err(Refusal::unknown(RefusalKind::Deadline, detail));
    }
    Ok(json(StatusCode::OK, &pulled))
}

/// Closes a session at its trainer's request.
pub(crate) fn close(
    sessions: &Arc<Sessions>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response, Refusal> {
    let key = KeyDigest::of(bearer(headers)?);
    find_session(sessions, &key, id)?;
    sessions.remove(id);
    Ok(json(StatusCode::OK, &()))
}

/// Returns the request's key if valid; called before the body is read.
fn valid_key(sessions: &Sessions, headers: &HeaderMap) -> Result<KeyDigest, Refusal> {
    let key = KeyDigest::of(bearer(headers)?);
    check_fresh(sessions)?;
    check_key(sessions, &key)?;
    Ok(key)
}

async fn read_json<T: DeserializeOwned>(body: &mut RequestBody) -> Result<T, Refusal> {
    let body = read_body(body, BODY_MAX, Instant::now() + BODY_TIMEOUT).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))
}

/// Finds a session by id, if the request has the key that opened it and the key is valid.
fn find_session(sessions: &Sessions, key: &KeyDigest, id: &str) -> Result<Arc<Session>, Refusal> {
    let found = sessions.session(id).filter(|session| session.key == *key);
    let Some(session) = found else {
        // A withdrawn key is refused as such, even if its session no longer exists.
        check_key(sessions, key)?;
        let detail = "no such session; open one and state what you hold";
        return Err(Refusal::not_run(RefusalKind::NotFound, detail));
    };
    find_round(sessions, key, &session.spec.name)?;
    Ok(session)
}

fn check_key(sessions: &Sessions, key: &KeyDigest) -> Result<(), Refusal> {
    if sessions.peers.tenant(key).is_some() {
        return Ok(());
    }
    let detail = "the key is unknown or was withdrawn";
    Err(Refusal::not_run(RefusalKind::KeyInvalid, detail))
}

/// Returns the named round, if it exists and belongs to the key's tenant.
fn find_round(sessions: &Sessions, key: &KeyDigest, name: &str) -> Result<RoundSpec, Refusal> {
    check_key(sessions, key)?;
    let state = sessions.config.state();
    let Some(spec) = state.round(name) else {
        let detail = format!("no round is named {name}, or it was cancelled");
        return Err(Refusal::not_run(RefusalKind::NotFound, detail));
    };
    if state.tenant(key).map(Tenant::as_str) != Some(spec.tenant.as_str()) {
        let detail = format!("round {name} belongs to another tenant");
        return Err(Refusal::not_run(RefusalKind::Forbidden, detail));
    }
    Ok(spec.clone())
}

/// Refuses the request while this daemon's configuration may be out of date.
fn check_fresh(sessions: &Sessions) -> Result<(), Refusal> {
    if sessions.peers.is_fresh(Instant::now()) {
        return Ok(());
    }
    let detail = "this daemon cannot show that its configuration is up to date";
    Err(Refusal::not_run(RefusalKind::NotFresh, detail).retry_after(1))
}
