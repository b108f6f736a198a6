//! Admission of requests whose runs crashed backend servers.

use std::time::Duration;

use http::Response;
use tokio::time::timeout;

use super::reply::{Body, retry_later};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::ledger::crashes::Clearance;
use crate::ledger::record::Record;
use crate::ledger::writer::Outcome;
use crate::names::Fingerprint;
use crate::relay::crash::RequestParts;
use crate::util::unix_ms;

/// Time limit on granting a trial run: an append to the ledger and a read.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Returns how many servers a request may run on: `attempts`, or one in a trial run, which must be
/// granted by `deadline`.
///
/// # Errors
/// The response that refuses a request whose runs crashed too many servers.
pub async fn allowed_attempts(
    shared: &Shared,
    id: &str,
    parts: &RequestParts<'_>,
    attempts: u32,
    deadline: Boot,
) -> Result<u32, Box<Response<Body>>> {
    if shared.ledger.borrow().crashes.is_empty() {
        return Ok(attempts.max(1));
    }
    let request = parts.fingerprint();
    let clearance = shared
        .ledger
        .borrow()
        .crashes
        .clearance(&request, unix_ms());
    match clearance {
        Clearance::Clear | Clearance::Suspect => Ok(attempts.max(1)),
        Clearance::Refused { until } => Err(refuse(shared, id, &request, until)),
        Clearance::Trial => {
            let granted = request_trial(shared, &request, deadline).await;
            event!("crash_trial", "id" => id, "request" => request, "granted" => granted);
            if granted {
                shared.metrics.count_crash("trial");
                return Ok(1);
            }
            let until = match shared
                .ledger
                .borrow()
                .crashes
                .clearance(&request, unix_ms())
            {
                Clearance::Refused { until } => until,
                Clearance::Clear | Clearance::Suspect | Clearance::Trial => unix_ms(),
            };
            Err(refuse(shared, id, &request, until))
        }
    }
}

fn refuse(shared: &Shared, id: &str, request: &Fingerprint, until: u64) -> Box<Response<Body>> {
    let now = unix_ms();
    let left =
        Duration::from_millis(until.saturating_sub(now)).max(super::admit::UNSURE_RETRY_AFTER);
    let (count, rewritten) = {
        let crashes = &mut shared.ledger.borrow_mut().crashes;
        (crashes.count(request), crashes.rewrite(request, now))
    };
    event!("crasher_refused", "id" => id, "request" => request, "crashes" => count,
        "retry_ms" => left.as_millis());
    shared.metrics.count_crash("refused");
    if let Some(crash) = rewritten {
        // The writer appends the record even if its result is dropped.
        drop(shared.writer.push(&Record::Crashed(crash)));
    }
    Box::new(retry_later(left))
}

/// Requests the trial run that a refused request gets after its cooldown; returns whether this
/// instance was granted it by `deadline`.
async fn request_trial(shared: &Shared, request: &Fingerprint, deadline: Boot) -> bool {
    let deadline = deadline.min(Boot::now() + TRIAL_TIMEOUT);
    let record = Record::Trial {
        request: request.clone(),
        wall: unix_ms(),
    };
    let Outcome::Written(ack) = shared.writer.write(&record, deadline).await else {
        return false;
    };
    loop {
        let changed = shared.state_changed.notified();
        if shared.ledger.borrow().last >= Some(ack.offset) {
            return shared
                .ledger
                .borrow()
                .crashes
                .is_granted(request, ack.offset);
        }
        let left = deadline.left(Boot::now());
        if left.is_zero() {
            return false;
        }
        // The loop checks the state after a timeout as well.
        let _ = timeout(left, changed).await;
    }
}
