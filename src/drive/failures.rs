//! Answers of status 500 to items and to scorers' calls, counted across leaders.

use super::Driver;
use crate::ledger::record::JobEvent;

/// The failures of one request of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failures<'a> {
    driver: &'a Driver,
    job: &'a str,
    request: &'a str,
}

impl<'a> Failures<'a> {
    /// Those of an item, or of a scorer's call, by the request's id.
    pub(super) fn new(driver: &'a Driver, job: &'a str, request: &'a str) -> Self {
        Self {
            driver,
            job,
            request,
        }
    }

    /// Failures under this leader and former ones.
    pub(super) fn count(&self) -> u32 {
        let fold = self.driver.shared.fold.borrow();
        let job = fold.jobs.get(self.job);
        let known = job.map_or(0, |job| job.failures(self.request));
        let failures = self.driver.failures.borrow();
        let key = (self.job.to_owned(), self.request.to_owned());
        // What this process counted may not have come back from the log yet.
        known.max(failures.get(&key).copied().unwrap_or_default())
    }

    /// Counts one, here and in the log of jobs.
    pub(super) fn note(&self) {
        let count = self.count().saturating_add(1);
        let key = (self.job.to_owned(), self.request.to_owned());
        self.driver.failures.borrow_mut().insert(key, count);
        let event = JobEvent::Failed {
            job: self.job.to_owned(),
            request: self.request.to_owned(),
        };
        // It is written whether or not anybody waits for it.
        drop(self.driver.shared.job_writer.push(&event));
    }
}
