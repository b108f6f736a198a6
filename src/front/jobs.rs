//! Jobs as trainers see them: submission, results, bodies, and the end.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::timeout;

use super::admit::Admitted;
use super::handle::Call;
use super::reply::{Body, come_back, json, status, whole};
use crate::boot::Boot;
use crate::instance::edge::Shown;
use crate::instance::events::event;
use crate::instance::{Shared, payloads};
use crate::job::{Extent, Job, JobRecord, Listed};
use crate::ledger::record::JobEvent;
use crate::ledger::writer::Outcome;
use crate::util::unix_ms;

/// Time within which a record is acknowledged before the caller is told that it is not known.
const ACCEPT: Duration = Duration::from_millis(2500);
/// Time for which an append may be unanswered before new jobs are turned away at once.
const STORE_STUCK: Duration = Duration::from_secs(1);
/// Time after which a trainer that was turned away may come back.
const STORE_AWAY: Duration = Duration::from_millis(500);
/// Time to wait for the log to show whether a job exists.
const KNOWN: Duration = Duration::from_millis(1200);
/// Age of the last read of the log's end up to which there is no result where none is known.
const SURE: Duration = Duration::from_millis(900);
/// Time to wait for newer results where some are known.
const CATCH_UP: Duration = Duration::from_millis(150);
/// Bytes of one page of results.
const PAGE_BYTES: usize = 900_000;
/// Longest wait for a result.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Accepts a job once it is in the log.
pub async fn submit(shared: &Shared, call: &Call, admitted: &Admitted) -> Response<Body> {
    let intake = &call.intake;
    let tenant = admitted.tenant.as_deref();
    match with_job(shared, &intake.id, tenant, |_| ()) {
        Known::Unknown => {}
        Known::Foreign => return status(StatusCode::NOT_FOUND),
        Known::Own(()) => return status(StatusCode::ACCEPTED),
    }
    let submission = match shared.dialect.submission(&call.body) {
        Ok(submission) => submission,
        Err(error) => {
            event!("job_malformed", "job" => intake.id, "error" => error);
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let now = Boot::now();
    let payloads = shared.payloads.writer.stuck(now);
    let stuck = shared.job_writer.stuck(now).max(payloads);
    if stuck > STORE_STUCK {
        event!("job_refused", "job" => intake.id, "store_stuck_ms" => stuck.as_millis());
        return come_back(STORE_AWAY);
    }
    let items = submission.items.len();
    let model = submission.model.clone();
    let min_version = submission.min_version;
    let target = submission.group_target;
    let patience = intake.patience.unwrap_or(ACCEPT).min(ACCEPT);
    let deadline = Boot::now() + patience;
    let stored = shared.payloads.put_contents(submission.contents, deadline);
    let parts = match stored.await {
        Ok(parts) => parts,
        Err(outcome) => {
            // Contents that no job names are never run.
            event!("job_not_stored", "job" => intake.id, "outcome" => format!("{outcome:?}"));
            return come_back(STORE_AWAY);
        }
    };
    let record = JobRecord {
        id: intake.id.clone(),
        host: intake.host.clone(),
        path: intake.path.clone(),
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
        "job" => intake.id,
        "model" => model,
        "min_version" => min_version,
        "items" => items,
        "group_target" => target,
        "outcome" => format!("{outcome:?}"),
    );
    match outcome {
        Outcome::Written(_) => status(StatusCode::ACCEPTED),
        Outcome::Unsent => come_back(STORE_AWAY),
        Outcome::Unknown => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// What is known here of a job.
enum Known<T> {
    /// Nothing.
    Unknown,
    /// It is another tenant's.
    Foreign,
    /// What was looked at.
    Own(T),
}

impl<T> Known<T> {
    fn own(self) -> Option<T> {
        match self {
            Self::Own(value) => Some(value),
            Self::Unknown | Self::Foreign => None,
        }
    }
}

/// Looks at a tenant's job.
fn with_job<T>(
    shared: &Shared,
    job: &str,
    tenant: Option<&str>,
    look: impl FnOnce(&Job) -> T,
) -> Known<T> {
    let fold = shared.fold.borrow();
    match fold.jobs.get(job) {
        None => Known::Unknown,
        Some(job) if job.record.tenant.as_deref() != tenant => Known::Foreign,
        Some(job) => Known::Own(look(job)),
    }
}

/// Waits until a job is known, or the log shows that there is none.
///
/// # Errors
/// The answer if there is no such job, or if that cannot be known.
async fn find(shared: &Shared, job: &str, tenant: Option<&str>) -> Result<(), Box<Response<Body>>> {
    let asked = Boot::now();
    let deadline = asked + KNOWN;
    let _asking = shared.jobs_interest.ask();
    loop {
        let changed = shared.changed.notified();
        match with_job(shared, job, tenant, |_| ()) {
            Known::Own(()) => return Ok(()),
            Known::Foreign => return Err(Box::new(status(StatusCode::NOT_FOUND))),
            Known::Unknown => {}
        }
        let seen = shared.contacts.borrow().jobs.seen;
        if seen.is_some_and(|seen| seen > asked) {
            event!("job_unknown", "job" => job);
            return Err(Box::new(status(StatusCode::NOT_FOUND)));
        }
        let left = deadline.left(Boot::now());
        if left.is_zero() {
            event!("job_unsure", "job" => job);
            return Err(Box::new(come_back(super::admit::ELSEWHERE)));
        }
        // Time and contact are looked at again either way.
        let _ = timeout(left, changed).await;
    }
}

/// A page of a job's results.
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
    let _asking = shared.jobs_interest.ask();
    let asked = Boot::now();
    let deadline = asked + wait.min(WAIT_MAX);
    loop {
        let changed = shared.changed.notified();
        let page = with_job(shared, job, tenant, |job| {
            let waits = job.listed.len() <= after && !job.is_finished();
            (page(job, after), job.record.items.len(), waits)
        });
        let Some((page, total, waits)) = page.own() else {
            return come_back(super::admit::ELSEWHERE);
        };
        let now = Boot::now();
        // A result may stand at this position that was not read yet.
        let sure = shared.contacts.borrow().jobs.is_within(SURE, now);
        let until = match waits {
            true if sure => deadline,
            true => deadline.max(asked + KNOWN),
            false if shared.jobs_interest.is_current() => asked,
            false => asked + CATCH_UP,
        };
        let left = until.left(now);
        if left.is_zero() {
            if waits && !sure {
                event!("results_unsure", "job" => job, "after" => after);
                return come_back(super::admit::ELSEWHERE);
            }
            return match with_texts(shared, page).await {
                Some(page) => json(shared.dialect.results(total, after, &page)),
                None => come_back(super::admit::ELSEWHERE),
            };
        }
        // Time and results are looked at again either way.
        let _ = timeout(left, changed).await;
    }
}

/// Results from a position on, as many as a page holds.
fn page(job: &Job, after: usize) -> Vec<Rc<Listed>> {
    let listed = job.listed.get(after..).unwrap_or_default();
    let mut bytes = 0;
    let fits = |result: &&Rc<Listed>| {
        let first = bytes == 0;
        bytes += result.text.map_or(0, |text| text.bytes) * 2 + 200;
        first || bytes < PAGE_BYTES
    };
    listed.iter().take_while(fits).map(Rc::clone).collect()
}

/// The body of an item.
pub async fn body(shared: &Shared, job: &str, item: &str, tenant: Option<&str>) -> Response<Body> {
    if let Err(response) = find(shared, job, tenant).await {
        return *response;
    }
    let found = with_job(shared, job, tenant, |job| {
        job.record.part(job.position(item)?)
    });
    let Some((extent, at)) = found.own().flatten() else {
        return status(StatusCode::NOT_FOUND);
    };
    if !payloads::fetch(shared, &[extent]).await {
        return come_back(super::admit::ELSEWHERE);
    }
    let contents = shared.payloads.contents(extent);
    let content = contents.as_ref().and_then(|contents| contents.get(at));
    let Some(content) = content else {
        event!("content_missing", "job" => job, "item" => item, "offset" => extent.offset);
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    Response::new(whole(content.body.clone()))
}

/// Results with their texts; none if a text cannot be read now.
async fn with_texts(shared: &Shared, page: Vec<Rc<Listed>>) -> Option<Vec<Shown>> {
    let extents: Vec<Extent> = page.iter().filter_map(|listed| listed.text).collect();
    if !payloads::fetch(shared, &extents).await {
        return None;
    }
    let show = |listed: Rc<Listed>| {
        let text = match listed.text {
            Some(extent) => shared.payloads.text(extent)?,
            None => Rc::from(""),
        };
        Some(Shown { listed, text })
    };
    page.into_iter().map(show).collect()
}

/// Ends a job.
pub async fn end(shared: &Shared, job: &str, tenant: Option<&str>) -> Response<Body> {
    if let Err(response) = find(shared, job, tenant).await {
        return *response;
    }
    if with_job(shared, job, tenant, |job| job.ended).own() == Some(true) {
        return status(StatusCode::OK);
    }
    let deadline = Boot::now() + ACCEPT;
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
        Outcome::Unsent => come_back(STORE_AWAY),
        Outcome::Unknown => status(StatusCode::GATEWAY_TIMEOUT),
    }
}
