//! Trainers' submissions of jobs.

use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::timeout;

use super::admit::Admitted;
use super::forward;
use super::handle::Call;
use super::job_memory::{Fit, JobMemoryGuard};
use super::jobs::{LOOKUP_TIMEOUT, Lookup, with_job};
use super::reply::{Body, retry_later, status};
use super::submission::APPEND_TIMEOUT;
use super::waiting::{self, Step};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Route;
use crate::instance::events::event;
use crate::instance::interfaces::{Submission, SubmissionSize};
use crate::instance::payloads::WriteContentsError;
use crate::job::JobRecord;
use crate::ledger::record::JobEvent;
use crate::ledger::writer::Outcome;
use crate::util::unix_ms;

/// `Retry-After` of a job that fits once others are gone: writing the largest takes about a
/// second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of the memory from which on a job counts as large, as a divisor. Only for these does an
/// instance read the log of jobs to learn what others have accepted.
const LARGE_JOB_SHARE: usize = 64;

/// Returns the time by which a trainer has a response to a submission, unless it has to wait for
/// the store; a wait ends before the process exits.
pub(super) fn deadline(call: &Call, route: &Route) -> Boot {
    forward::route_deadline(call, route).min(call.arrived + APPEND_TIMEOUT)
}

/// Accepts a job once its record is in the log.
///
/// While the store is silent, the submission waits if its route states when results are due.
pub async fn submit(shared: &Shared, call: &Call, admitted: Admitted) -> Response<Body> {
    let size = match measure(shared, call, &admitted) {
        Ok(size) => size,
        Err(response) => return *response,
    };
    let (admitted, by) = match waiting::step(shared, call) {
        Step::Proceed(admitted, by) => (admitted, by),
        Step::Refused(response) => return *response,
        Step::Wait(_) => match waiting::until_admitted(shared, call).await {
            Ok(admitted) => admitted,
            Err(response) => return *response,
        },
    };
    let taken = match take_memory(shared, call, &size, by).await {
        Ok(taken) => taken,
        Err(response) => return *response,
    };
    // Another instance may have accepted the job during the wait.
    if let Some(response) = known(shared, call, &admitted) {
        return response;
    }
    let response = match shared.codec.decode_submission(&call.body) {
        Ok(submission) => write(shared, call, &admitted, submission, by).await,
        Err(error) => malformed(call, &error),
    };
    drop(taken);
    response
}

/// The response to a job that this instance knows already.
fn known(shared: &Shared, call: &Call, admitted: &Admitted) -> Option<Response<Body>> {
    let id = &call.caller_request.id;
    match with_job(shared, id, admitted.tenant.as_deref(), |_| ()) {
        Lookup::Unknown => None,
        Lookup::OtherTenant => Some(status(StatusCode::NOT_FOUND)),
        Lookup::Own(()) => Some(status(StatusCode::ACCEPTED)),
    }
}

fn malformed(call: &Call, error: &str) -> Response<Body> {
    event!("job_malformed", "job" => call.caller_request.id, "error" => error);
    status(StatusCode::BAD_REQUEST)
}

/// Measures a job that is not known yet.
///
/// # Errors
/// The response to a known, malformed or too large job.
fn measure(
    shared: &Shared,
    call: &Call,
    admitted: &Admitted,
) -> Result<SubmissionSize, Box<Response<Body>>> {
    if let Some(response) = known(shared, call, admitted) {
        return Err(Box::new(response));
    }
    let size = shared.codec.measure_submission(&call.body);
    let size = size.map_err(|error| Box::new(malformed(call, &error)))?;
    match shared.job_memory.fit(&size, call.body.len(), 0) {
        Fit::Never => {
            event!("job_too_large", "job" => call.caller_request.id, "items" => size.items,
                "memory" => size.index, "content" => size.content, "headers" => size.headers,
                "body" => call.body.len());
            Err(Box::new(status(StatusCode::PAYLOAD_TOO_LARGE)))
        }
        Fit::Fits(_) | Fit::Later => Ok(size),
    }
}

/// Takes the memory for a job, of which nothing is written yet.
///
/// # Errors
/// The refusal if there is not enough beside other jobs, or those are not known in time.
async fn take_memory(
    shared: &Shared,
    call: &Call,
    size: &SubmissionSize,
    by: Boot,
) -> Result<JobMemoryGuard, Box<Response<Body>>> {
    let id = &call.caller_request.id;
    let is_large = size.index > shared.settings.memory / LARGE_JOB_SHARE;
    if is_large && !until_jobs_known(shared, by).await {
        event!("job_unsure", "job" => id);
        return Err(Box::new(retry_later(MEMORY_RETRY_AFTER)));
    }
    let known = shared.ledger.borrow().jobs.memory();
    match shared.job_memory.fit(size, call.body.len(), known) {
        Fit::Fits(needs) => Ok(shared.job_memory.take(needs)),
        Fit::Later | Fit::Never => {
            event!("job_no_memory", "job" => id, "items" => size.items, "memory" => size.index,
                "content" => size.content, "known" => known, "used" => shared.job_memory.used().total);
            shared.metrics.count_submission("no_memory");
            Err(Box::new(retry_later(MEMORY_RETRY_AFTER)))
        }
    }
}

/// Waits until the log of jobs was read to its end after now; returns whether it was in time.
async fn until_jobs_known(shared: &Shared, by: Boot) -> bool {
    let started = Boot::now();
    let deadline = by.min(started + LOOKUP_TIMEOUT);
    let _interest = shared.jobs_interest.acquire();
    loop {
        let changed = shared.state_changed.notified();
        let seen = shared.contacts.borrow().jobs.last_read;
        if seen.is_some_and(|seen| seen > started) {
            return true;
        }
        let left = deadline.left(Boot::now());
        if left.is_zero() {
            return false;
        }
        // The loop checks the deadline and the last read after a timeout as well.
        let _ = timeout(left, changed).await;
    }
}

/// Writes a job's contents and record, and answers by `deadline`.
async fn write(
    shared: &Shared,
    call: &Call,
    admitted: &Admitted,
    submission: Submission,
    deadline: Boot,
) -> Response<Body> {
    let caller_request = &call.caller_request;
    let tenant = admitted.tenant.as_deref();
    let retry = || {
        let bounds = waiting::submission(shared, call, &admitted.route);
        retry_later(bounds.retry_after(rand::random()))
    };
    let items = submission.items.len();
    let model = submission.model.clone();
    let min_version = submission.min_version;
    let target = submission.group_target;
    let contents = submission.spans.into_iter().map(|span| {
        let item = call.body.get(span).unwrap_or_default();
        shared.codec.decode_content(item)
    });
    let stored = shared.payloads.write_contents(contents, deadline).await;
    let parts = match stored {
        Ok(parts) => parts,
        // Stored contents without a job record are never run.
        Err(WriteContentsError::Malformed { detail }) => return malformed(call, &detail),
        Err(WriteContentsError::NotWritten { outcome }) => {
            event!("job_not_stored", "job" => caller_request.id, "outcome" => format!("{outcome:?}"));
            return match outcome {
                Outcome::Rejected => status(StatusCode::PAYLOAD_TOO_LARGE),
                _ => retry(),
            };
        }
    };
    let record = JobRecord {
        id: caller_request.id.clone(),
        host: caller_request.host.clone(),
        path: caller_request.path.clone(),
        tenant: tenant.map(str::to_owned),
        submitted: unix_ms(),
        model: submission.model,
        min_version: submission.min_version,
        group_target: submission.group_target,
        items: submission.items,
        parts,
    };
    let outcome = shared
        .job_writer
        .write(&JobEvent::Job(Box::new(record)), deadline)
        .await;
    event!(
        "job",
        "job" => caller_request.id,
        "model" => model,
        "min_version" => min_version,
        "items" => items,
        "group_target" => target,
        "outcome" => format!("{outcome:?}"),
    );
    match outcome {
        Outcome::Written(_) => status(StatusCode::ACCEPTED),
        Outcome::Rejected => status(StatusCode::PAYLOAD_TOO_LARGE),
        Outcome::Unsent => retry(),
        Outcome::Unknown => status(StatusCode::GATEWAY_TIMEOUT),
    }
}
