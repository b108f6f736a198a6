//! Trainers' calls on submitted jobs: read results, read an item's body, end.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::timeout;

use super::reply::{Body, full_body, json, retry_later, status};
use super::submission::{APPEND_TIMEOUT, STORE_RETRY_AFTER};
use crate::boot::Boot;
use crate::instance::events::event;
use crate::instance::interfaces::ResultText;
use crate::instance::{Shared, payloads};
use crate::job::{Extent, ItemResult, Job};
use crate::ledger::record::JobEvent;
use crate::ledger::writer::Outcome;

/// Time limit on learning from the log whether a job exists.
pub(super) const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1200);
/// Age of the last read of the log's end up to which the known results count as complete.
const READ_AGE_MAX: Duration = Duration::from_millis(900);
/// Time to wait for newer results if some are known.
const CATCH_UP_WAIT: Duration = Duration::from_millis(150);
/// Approximate size of a page of results.
const PAGE_BYTES: usize = 900_000;
/// Limit on the time that a trainer may wait for a result.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Result of looking up a job for a tenant.
pub(super) enum Lookup<T> {
    /// This instance has not read the job from the log.
    Unknown,
    /// The job belongs to another tenant.
    OtherTenant,
    /// A value read from the tenant's job.
    Own(T),
}

impl<T> Lookup<T> {
    fn own(self) -> Option<T> {
        match self {
            Self::Own(value) => Some(value),
            Self::Unknown | Self::OtherTenant => None,
        }
    }
}

/// Applies `read` to a job if the job belongs to the tenant.
pub(super) fn with_job<T>(
    shared: &Shared,
    job: &str,
    tenant: Option<&str>,
    read: impl FnOnce(&Job) -> T,
) -> Lookup<T> {
    let ledger = shared.ledger.borrow();
    match ledger.jobs.get(job) {
        None => Lookup::Unknown,
        Some(job) if job.record.tenant.as_deref() != tenant => Lookup::OtherTenant,
        Some(job) => Lookup::Own(read(job)),
    }
}

/// Waits until a job is known, or the log shows that there is none.
///
/// # Errors
/// The response for the caller if there is no such job, or if that is not certain in time.
async fn find(shared: &Shared, job: &str, tenant: Option<&str>) -> Result<(), Box<Response<Body>>> {
    let started = Boot::now();
    let deadline = started + LOOKUP_TIMEOUT;
    let _interest = shared.jobs_interest.acquire();
    loop {
        let changed = shared.state_changed.notified();
        match with_job(shared, job, tenant, |_| ()) {
            Lookup::Own(()) => return Ok(()),
            Lookup::OtherTenant => return Err(Box::new(status(StatusCode::NOT_FOUND))),
            Lookup::Unknown => {}
        }
        let seen = shared.contacts.borrow().jobs.last_read;
        if seen.is_some_and(|seen| seen > started) {
            event!("job_unknown", "job" => job);
            return Err(Box::new(status(StatusCode::NOT_FOUND)));
        }
        let left = deadline.left(Boot::now());
        if left.is_zero() {
            event!("job_unsure", "job" => job);
            return Err(Box::new(retry_later(super::admit::UNSURE_RETRY_AFTER)));
        }
        // The loop checks the deadline and the last read after a timeout as well.
        let _ = timeout(left, changed).await;
    }
}

/// Returns a page of a job's results, waiting for one if necessary.
pub async fn results(
    shared: &Shared,
    job: &str,
    after: usize,
    wait: Duration,
    tenant: Option<&str>,
) -> Response<Body> {
    if let Err(response) = find(shared, job, tenant).await {
        return *response;
    }
    let _interest = shared.jobs_interest.acquire();
    let started = Boot::now();
    let deadline = started + wait.min(WAIT_MAX);
    loop {
        let changed = shared.state_changed.notified();
        let page = with_job(shared, job, tenant, |job| {
            let is_pending = job.results.len() <= after && !job.is_finished();
            (page(job, after), job.record.items.len(), is_pending)
        });
        let Some((page, total, is_pending)) = page.own() else {
            return retry_later(super::admit::UNSURE_RETRY_AFTER);
        };
        let now = Boot::now();
        // The log may hold a result at position `after` that this instance has not read yet.
        let log_current = shared.contacts.borrow().jobs.is_within(READ_AGE_MAX, now);
        let until = match is_pending {
            true if log_current => deadline,
            true => deadline.max(started + LOOKUP_TIMEOUT),
            false if shared.jobs_interest.is_current() => started,
            false => started + CATCH_UP_WAIT,
        };
        let left = until.left(now);
        if left.is_zero() {
            if is_pending && !log_current {
                event!("results_unsure", "job" => job, "after" => after);
                return retry_later(super::admit::UNSURE_RETRY_AFTER);
            }
            return match with_texts(shared, page).await {
                Some(page) => json(shared.codec.encode_results(total, after, &page)),
                None => retry_later(super::admit::UNSURE_RETRY_AFTER),
            };
        }
        // The loop checks the deadline and the results after a timeout as well.
        let _ = timeout(left, changed).await;
    }
}

/// Returns as many results from position `after` on as fit on a page, at least one.
fn page(job: &Job, after: usize) -> Vec<Rc<ItemResult>> {
    let results = job.results.get(after..).unwrap_or_default();
    let mut bytes = 0;
    let fits = |result: &&Rc<ItemResult>| {
        let first = bytes == 0;
        bytes += result.text.map_or(0, |text| text.bytes) * 2 + 200;
        first || bytes < PAGE_BYTES
    };
    results.iter().take_while(fits).map(Rc::clone).collect()
}

/// Returns the body of an item's request.
pub async fn body(shared: &Shared, job: &str, item: &str, tenant: Option<&str>) -> Response<Body> {
    if let Err(response) = find(shared, job, tenant).await {
        return *response;
    }
    let found = with_job(shared, job, tenant, |job| {
        job.record.content_location(job.position(item)?)
    });
    let Some((extent, at)) = found.own().flatten() else {
        return status(StatusCode::NOT_FOUND);
    };
    if !payloads::fetch(shared, &[extent]).await {
        return retry_later(super::admit::UNSURE_RETRY_AFTER);
    }
    let contents = shared.payloads.contents(extent);
    let content = contents.as_ref().and_then(|contents| contents.get(at));
    let Some(content) = content else {
        event!("content_missing", "job" => job, "item" => item, "offset" => extent.offset);
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    Response::new(full_body(content.body.clone()))
}

/// Adds the texts to results; none if a text cannot be read now.
async fn with_texts(shared: &Shared, page: Vec<Rc<ItemResult>>) -> Option<Vec<ResultText>> {
    let extents: Vec<Extent> = page.iter().filter_map(|result| result.text).collect();
    if !payloads::fetch(shared, &extents).await {
        return None;
    }
    let to_result = |result: Rc<ItemResult>| {
        let text = match result.text {
            Some(extent) => shared.payloads.text(extent)?,
            None => Rc::from(""),
        };
        Some(ResultText { result, text })
    };
    page.into_iter().map(to_result).collect()
}

/// Ends a job.
pub async fn end(shared: &Shared, job: &str, tenant: Option<&str>) -> Response<Body> {
    if let Err(response) = find(shared, job, tenant).await {
        return *response;
    }
    if with_job(shared, job, tenant, |job| job.ended).own() == Some(true) {
        return status(StatusCode::OK);
    }
    let deadline = Boot::now() + APPEND_TIMEOUT;
    let outcome = shared
        .job_writer
        .write(
            &JobEvent::End {
                job: job.to_owned(),
            },
            deadline,
        )
        .await;
    event!("job_end", "job" => job, "outcome" => format!("{outcome:?}"));
    match outcome {
        Outcome::Written(_) => status(StatusCode::OK),
        Outcome::Rejected => status(StatusCode::INTERNAL_SERVER_ERROR),
        Outcome::Unsent => retry_later(STORE_RETRY_AFTER),
        Outcome::Unknown => status(StatusCode::GATEWAY_TIMEOUT),
    }
}
