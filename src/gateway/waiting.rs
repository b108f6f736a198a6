//! Keeps submissions waiting while the store is silent, and admits them again afterwards.

use std::rc::Rc;
use std::time::Duration;

use http::Response;

use super::admit::{Admitted, Denied, UNSURE_RETRY_AFTER, admit};
use super::forward;
use super::handle::{Call, may_finish, refuse, view};
use super::reply::{Body, retry_later};
use super::submission::{Decision, StoreView, Submission};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::{RequestKind, Route};
use crate::instance::events::event;
use crate::instance::outage::Urgency;

/// Longest time between two decisions on a submission that waits.
const DECIDE_INTERVAL: Duration = Duration::from_millis(50);

/// How a submission goes on.
pub(super) enum Step {
    /// It is admitted, and its record may be written until then.
    Proceed(Admitted, Boot),
    /// It waits until then at the latest.
    Wait(Boot),
    /// It is refused; nothing of it has been written.
    Refused(Box<Response<Body>>),
}

/// Counts a waiting submission until it is dropped, which also happens when its caller closes the
/// connection.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn enter(shared: &'a Shared) -> Self {
        let waiting = &shared.submissions_waiting;
        waiting.set(waiting.get() + 1);
        Self(shared)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.submissions_waiting;
        waiting.set(waiting.get().saturating_sub(1));
    }
}

/// The times that bound a submission to a route.
pub(super) fn submission(shared: &Shared, call: &Call, route: &Route) -> Submission {
    let deadline = forward::route_deadline(call, route);
    let answer_by = shared.stop_schedule().map(|schedule| schedule.answer_by);
    Submission {
        arrived: call.arrived,
        result_due: route.result_due,
        deadline: answer_by.map_or(deadline, |by| deadline.min(by)),
    }
}

/// The route of a submission that may wait while it cannot be admitted.
pub(super) fn waiting_route(shared: &Shared, call: &Call) -> Option<Rc<Route>> {
    let deployment = shared.deployment()?;
    let request = &call.caller_request;
    let route = deployment.route(&request.host, &request.path)?;
    let waits = route.kind == RequestKind::Rollout && route.result_due.is_some();
    waits.then(|| Rc::clone(route))
}

/// Admits a submission by the present configuration, and decides how it goes on.
pub(super) fn step(shared: &Shared, call: &Call) -> Step {
    let now = Boot::now();
    let deployment = shared.deployment();
    let request = &call.caller_request;
    let view = view(shared, deployment.as_deref(), now);
    let admission = admit(view, &request.host, &request.path, request.key.as_deref());
    let route = match &admission {
        Ok(admitted) => Some(Rc::clone(&admitted.route)),
        Err(Denied::Unsure) => waiting_route(shared, call),
        Err(Denied::NoRoute | Denied::NoKey) => None,
    };
    // The route's kind may have changed during the wait.
    let Some(route) = route.filter(|route| route.kind == RequestKind::Rollout) else {
        let denied = admission.err().unwrap_or(Denied::Unsure);
        return Step::Refused(Box::new(refuse(call, denied)));
    };
    if !may_finish(shared, call, &route) {
        event!("stop_refused", "id" => request.id, "route" => route.name);
        let later = retry_later(UNSURE_RETRY_AFTER);
        return Step::Refused(Box::new(later));
    }
    let store = StoreView {
        keys_known: admission.is_ok(),
        silent_for: silent_for(shared, now),
    };
    match submission(shared, call, &route).decide(store, now, rand::random()) {
        Decision::Proceed { by } => match admission {
            Ok(admitted) => Step::Proceed(admitted, by),
            Err(denied) => Step::Refused(Box::new(refuse(call, denied))),
        },
        Decision::Wait { until } => Step::Wait(until),
        Decision::Refuse { retry_after } => {
            event!("job_refused", "job" => request.id, "keys_known" => store.keys_known,
                "store_stuck_ms" => store.silent_for.as_millis());
            shared.metrics.count_submission("refused");
            Step::Refused(Box::new(retry_later(retry_after)))
        }
    }
}

/// How long the store has been silent, or has not answered an append that a submission follows.
fn silent_for(shared: &Shared, now: Boot) -> Duration {
    let payloads = shared.payloads.writer.unanswered_for(now);
    let unanswered = shared.job_writer.unanswered_for(now).max(payloads);
    let store = shared.outage.state();
    let append = store.unanswered_since_return(unanswered, now);
    append.max(store.silent_for(now))
}

/// Waits until a submission is admitted and the store takes its record.
///
/// Returns the admission, and when the record is given up.
///
/// # Errors
/// The refusal for the caller.
pub(super) async fn until_admitted(
    shared: &Shared,
    call: &Call,
) -> Result<(Admitted, Boot), Box<Response<Body>>> {
    let id = &call.caller_request.id;
    let began = Boot::now();
    let _waiting = WaitingGuard::enter(shared);
    shared.metrics.count_submission("waited");
    event!("job_waits", "job" => id, "store_stuck_ms" => silent_for(shared, began).as_millis());
    loop {
        let until = match step(shared, call) {
            Step::Proceed(admitted, by) => {
                event!("job_wait_over", "job" => id,
                    "waited_ms" => Boot::now().since(began).as_millis());
                shared.metrics.count_submission("resumed");
                return Ok((admitted, by));
            }
            Step::Wait(until) => until,
            Step::Refused(response) => return Err(response),
        };
        let pause = until.left(Boot::now()).min(DECIDE_INTERVAL);
        tokio::select! {
            () = shared.outage.pause(pause, Urgency::Lease) => {}
            () = shared.until_closing() => {
                return Err(Box::new(retry_later(UNSURE_RETRY_AFTER)));
            }
        }
    }
}
