//! Handles one request of a caller.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::admit::{Denied, ELSEWHERE, Knowledge, admit, tenant};
use super::reply::{Body, come_back, status};
use super::{forward, jobs};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Handling;
use crate::instance::edge::{Intake, Intent};
use crate::instance::events::event;

/// Largest body before the first configuration is known.
const BODY_DEFAULT: usize = 1 << 20;
/// Time from which on the answer to a request is worth a line.
const SLOW: Duration = Duration::from_millis(400);
/// Share of the time in which a configuration must be in force for which a read counts as
/// current.
const CURRENT_SHARE: f64 = 0.75;

/// Counts a request under way. Dropping it ends the count.
struct Active(Rc<Shared>);

impl Active {
    fn enter(shared: &Rc<Shared>) -> Self {
        shared.active.set(shared.active.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}

/// A caller's request whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// Its head, decoded.
    pub intake: Intake,
    /// Its head.
    pub head: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Boot,
}

/// Answers a request.
///
/// # Errors
/// Never; the type is what the server wants.
pub async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let _active = Active::enter(&shared);
    let arrived = Boot::now();
    let (head, body) = request.into_parts();
    let intake = shared.dialect.intake(&head);
    let limit = shared
        .deployment()
        .map_or(BODY_DEFAULT, |known| known.limits.body_bytes);
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            event!("body_failed", "id" => intake.id, "error" => error);
            let too_large = error.is::<LengthLimitError>();
            let code = if too_large {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            return Ok(close(status(code)));
        }
    };
    let call = Call {
        intake,
        head,
        body,
        arrived,
    };
    let id = call.intake.id.clone();
    let (route, mut response) = answer(&shared, call).await;
    let took = Boot::now().since(arrived);
    let code = response.status();
    shared.metrics.request(&route, code.as_str(), took);
    if !code.is_success() || took > SLOW {
        event!("answer", "id" => id, "route" => route, "status" => code.as_u16(),
            "took_ms" => took.as_millis());
    }
    if shared.leaving.get().is_some() {
        response = close(response);
    }
    Ok(response)
}

fn close(mut response: Response<Body>) -> Response<Body> {
    let value = http::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(http::header::CONNECTION, value);
    response
}

async fn answer(shared: &Rc<Shared>, call: Call) -> (String, Response<Body>) {
    let now = Boot::now();
    let deployment = shared.deployment();
    let current = shared.settings.bounds.apply.mul_f64(CURRENT_SHARE);
    let knowledge = Knowledge {
        deployment: deployment.as_deref(),
        fresh: shared.is_fresh(now),
        current: shared.contacts.borrow().operator.is_within(current, now),
    };
    let intake = &call.intake;
    if let Some(response) = jobs_call(shared, &call, knowledge).await {
        return ("jobs".to_owned(), response);
    }
    let admitted = match admit(knowledge, &intake.host, &intake.path, intake.key.as_deref()) {
        Ok(admitted) => admitted,
        Err(denied) => return ("none".to_owned(), refuse(&call, denied)),
    };
    let name = admitted.route.name.clone();
    let response = match admitted.route.kind {
        Handling::Rollout => jobs::submit(shared, &call, &admitted).await,
        Handling::Idempotent | Handling::Once => forward::plain(shared, &call, &admitted).await,
        Handling::Stream { .. } => forward::stream(shared, &call, &admitted).await,
    };
    (name, response)
}

async fn jobs_call(
    shared: &Rc<Shared>,
    call: &Call,
    knowledge: Knowledge<'_>,
) -> Option<Response<Body>> {
    if matches!(call.intake.intent, Intent::Forward | Intent::Unknown) {
        return None;
    }
    let Some(deployment) = knowledge.deployment else {
        return Some(refuse(call, Denied::Unsure));
    };
    if deployment
        .route(&call.intake.host, &call.intake.path)
        .is_some()
    {
        return None;
    }
    let tenant = match tenant(deployment, knowledge, call.intake.key.as_deref()) {
        Ok(tenant) => tenant,
        Err(denied) => return Some(refuse(call, denied)),
    };
    let tenant = tenant.as_deref();
    Some(match &call.intake.intent {
        Intent::Results { job, after, wait } => {
            jobs::results(shared, job, *after, *wait, tenant).await
        }
        Intent::Body { job, item } => jobs::body(shared, job, item, tenant).await,
        Intent::End { job } => jobs::end(shared, job, tenant).await,
        Intent::Forward | Intent::Unknown => return None,
    })
}

fn refuse(call: &Call, denied: Denied) -> Response<Body> {
    event!("denied", "id" => call.intake.id, "host" => call.intake.host,
        "path" => call.intake.path, "why" => format!("{denied:?}"));
    match denied {
        Denied::Unsure => come_back(ELSEWHERE),
        Denied::NoRoute => status(StatusCode::NOT_FOUND),
        Denied::NoKey => status(StatusCode::UNAUTHORIZED),
    }
}
