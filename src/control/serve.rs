//! Routes the HTTP requests of the control daemon to their handlers.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Method, StatusCode};
use xitca_web::body::RequestBody;

use crate::entry::bearer;
use crate::http::{Refusal, RefusalKind, Request, Response, finish, full_response, json};

use super::rounds::{self, Sessions};
use super::{Control, burn, operator};

/// Answers one request; new work is refused during shutdown.
pub(super) async fn answer(
    control: Arc<Control>,
    sessions: Arc<Sessions>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    let (_, mut body) = body.replace_body(());
    let active = control.drain.enter();
    let is_work = !matches!(head.uri.path(), "/healthz" | "/metrics");
    if is_work && active.is_none() {
        let detail = "this control daemon is shutting down; use another one";
        let refusal = Refusal::not_run(RefusalKind::Leaving, detail).retry_after(1);
        return finish(refusal.response(), &mut body).await;
    }
    let answered = match head.uri.path().strip_prefix("/v1/rounds/sessions") {
        Some(rest) => dispatch_session(&sessions, rest, &head, &mut body).await,
        None => dispatch(&control, &head, &mut body).await,
    };
    let answer = answered.unwrap_or_else(|refusal| refusal.response());
    finish(answer, &mut body).await
}

/// Routes a trainer's call; `rest` is the path below `/v1/rounds/sessions`.
async fn dispatch_session(
    sessions: &Arc<Sessions>,
    rest: &str,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let mut parts = rest.trim_start_matches('/').split('/');
    match (&head.method, parts.next(), parts.next(), parts.next()) {
        (&Method::POST, Some(""), None, None) => rounds::open(sessions, &head.headers, body).await,
        (&Method::POST, Some(id), Some("pull"), None) => {
            rounds::pull(sessions, id, &head.headers, body).await
        }
        (&Method::DELETE, Some(id), None, None) => rounds::close(sessions, id, &head.headers),
        (method, ..) => {
            let detail = format!("no page for {method} {}", head.uri.path());
            Err(Refusal::not_run(RefusalKind::NotFound, detail))
        }
    }
}

/// Routes a call of an operator, or for health or metrics.
async fn dispatch(
    control: &Arc<Control>,
    head: &Parts,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/healthz") => Ok(full_response(
            StatusCode::OK,
            "text/plain",
            Bytes::from("ok\n"),
        )),
        (&Method::GET, "/metrics") => {
            let text = Bytes::from(control.metrics.text());
            Ok(full_response(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                text,
            ))
        }
        (&Method::POST, "/operator/records") => {
            check_operator(control, head)?;
            operator::publish(control, body).await
        }
        (&Method::GET, "/operator/status") => {
            check_operator(control, head)?;
            operator::status(control).await
        }
        (&Method::GET, "/operator/burn") => {
            check_operator(control, head)?;
            Ok(json(StatusCode::OK, &burn::status(control).await))
        }
        (&Method::GET, "/operator/usage") => {
            check_operator(control, head)?;
            operator::usage(control).await
        }
        (method, path) => {
            let detail = format!("no page for {method} {path}");
            Err(Refusal::not_run(RefusalKind::NotFound, detail))
        }
    }
}

/// Refuses a call without the operator's key.
fn check_operator(control: &Control, head: &Parts) -> Result<(), Refusal> {
    let key = bearer(&head.headers)?;
    if control.settings.operator_key.is(key) {
        return Ok(());
    }
    let detail = "this is not the operator's key";
    Err(Refusal::not_run(RefusalKind::KeyInvalid, detail))
}
