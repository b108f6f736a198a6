//! Counts answers with status 500 to items and scorer calls, across changes of leader.

use super::Scheduler;
use crate::ledger::record::JobEvent;

/// Failure counter of one request of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failures<'a> {
    scheduler: &'a Scheduler,
    job: &'a str,
    request: &'a str,
}

impl<'a> Failures<'a> {
    /// Counter for an item or a scorer call, by the id of its request.
    pub(super) fn new(scheduler: &'a Scheduler, job: &'a str, request: &'a str) -> Self {
        Self {
            scheduler,
            job,
            request,
        }
    }

    /// Failures under this leader and earlier ones.
    pub(super) fn count(&self) -> u32 {
        let ledger = self.scheduler.shared.ledger.borrow();
        let job = ledger.jobs.get(self.job);
        let known = job.map_or(0, |job| job.failures(self.request));
        let failures = self.scheduler.failures.borrow();
        let key = (self.job.to_owned(), self.request.to_owned());
        // Failures counted by this process may not have been read back from the log yet.
        known.max(failures.get(&key).copied().unwrap_or_default())
    }

    /// Counts a failure, in this process and in the log of jobs.
    pub(super) fn record(&self) {
        let count = self.count().saturating_add(1);
        let key = (self.job.to_owned(), self.request.to_owned());
        self.scheduler.failures.borrow_mut().insert(key, count);
        let event = JobEvent::Failed {
            job: self.job.to_owned(),
            request: self.request.to_owned(),
        };
        // The event is written whether or not anybody waits for the acknowledgement.
        drop(self.scheduler.shared.job_writer.push(&event));
    }
}
