//! Reads the unfinished texts that a former leader saved, and saves this leader's own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Scheduler;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::instance::interfaces::{Log, STORE_BACKOFF, StoreError};
use crate::instance::trim::Trimmer;
use crate::ledger::drafts::PartialTexts;
use crate::ledger::pieces::Decoder;
use crate::ledger::record::{DraftPart, Subject};

/// Time after which a new leader starts without the remaining texts of the former one.
///
/// Generating a long text again takes some seconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Age of the last read of the log of jobs up to which the log counts as followed. An idle
/// read is a long poll of half a second.
const FOLLOWED_MAX_AGE: Duration = Duration::from_millis(700);
/// Longest time between two checks of how far the log of jobs was read.
const JOBS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two saves of unfinished texts.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the log keeps drafts: the longest samples take eight seconds, and a new leader
/// reads the whole log before it starts.
const LOG_RETENTION: Duration = Duration::from_secs(12);
/// Time between two deletions of old drafts from the log.
const TRIM_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time that a leaving leader waits for its last drafts to be written. The next leader
/// would gain nothing by a longer wait.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks of whether the last drafts are written.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Progress of reading the texts of a service's former leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Takeover {
    /// The texts are being read under the lease with this fencing token.
    Reading(u64),
    /// The texts were read, or reading timed out, under the lease with this fencing token.
    Done(u64),
}

/// When drafts were last saved, and which ones are old enough to delete.
#[derive(Debug)]
pub(super) struct Saving {
    last: Boot,
    trimmer: Trimmer,
}

impl Default for Saving {
    fn default() -> Self {
        Self {
            last: Boot::default(),
            trimmer: Trimmer::new(Log::Drafts, LOG_RETENTION, TRIM_INTERVAL),
        }
    }
}

impl Scheduler {
    /// Whether a service's items may start; if not, starts to read the former leader's texts
    /// unless they are being read.
    pub(super) fn is_taken_over(self: &Rc<Self>, service: &str) -> bool {
        let Some(fence) = self.fence(service) else {
            return false;
        };
        let known = self.takeovers.borrow().get(service).copied();
        match known {
            Some(Takeover::Done(done)) if done == fence => return true,
            Some(Takeover::Reading(reading)) if reading == fence => return false,
            _ => {}
        }
        let mut takeovers = self.takeovers.borrow_mut();
        takeovers.insert(service.to_owned(), Takeover::Reading(fence));
        let scheduler = Rc::clone(self);
        let service = service.to_owned();
        tokio::task::spawn_local(async move {
            let started = Boot::now();
            // What was read before a timeout is used: the start of a text is useful by itself.
            let saved = RefCell::default();
            let read = timeout(READ_TIMEOUT, read(&scheduler.shared, &saved));
            let (read, ()) = tokio::join!(read, scheduler.wait_for_jobs(started));
            let took = Boot::now().since(started).as_millis();
            let saved = saved.into_inner();
            event!("drafts_read", "service" => service, "fence" => fence, "whole" => read.is_ok(),
                "items" => saved.len(), "took_ms" => took);
            scheduler.saved_drafts.replace(saved);
            scheduler.saved_at.set(Boot::now());
            let mut takeovers = scheduler.takeovers.borrow_mut();
            takeovers.insert(service, Takeover::Done(fence));
            scheduler.shared.state_changed.notify_waiters();
        });
        false
    }

    /// Waits until the log of jobs is followed to its end, as a standby does all the time, or
    /// a read sent after `since` has reached the end.
    async fn wait_for_jobs(&self, since: Boot) {
        let shared = &self.shared;
        let is_current = || {
            let contact = shared.contacts.borrow().jobs;
            let followed = shared.jobs_interest.is_current()
                && contact.is_within(FOLLOWED_MAX_AGE, Boot::now());
            followed || contact.last_read.is_some_and(|seen| seen >= since)
        };
        while !is_current() {
            // Checked again whether or not the wait timed out.
            let _ = timeout(JOBS_POLL_INTERVAL, shared.state_changed.notified()).await;
        }
    }

    /// Fencing token of a service's lease, which this process holds.
    fn fence(&self, service: &str) -> Option<u64> {
        let ledger = self.shared.ledger.borrow();
        let lease = ledger.leases.get(&Subject::Service(service.to_owned()))?;
        Some(lease.fence)
    }

    /// Saves unfinished texts, so that another instance can continue them.
    ///
    /// Unless `all`, saves at most once per [`SAVE_INTERVAL`] and leaves short parts for later.
    pub(super) fn save(self: &Rc<Self>, all: bool) {
        let now = Boot::now();
        if !all && now < self.saving.borrow().last + SAVE_INTERVAL {
            return;
        }
        self.saving.borrow_mut().last = now;
        let mut last = None;
        for draft in self.unsaved(all) {
            last = Some(self.shared.draft_writer.push(&draft));
        }
        let Some(written) = last else {
            return;
        };
        let scheduler = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // On an error the store refused the record for good, which the writer has logged.
            if let Ok(ack) = written.await {
                let now = Boot::now();
                let due = {
                    let trimmer = &mut scheduler.saving.borrow_mut().trimmer;
                    trimmer.note_written(now, ack.offset);
                    trimmer.due(now)
                };
                if let Some(trim) = due {
                    trim.run(&scheduler.shared).await;
                }
            }
        });
    }

    fn unsaved(&self, all: bool) -> Vec<DraftPart> {
        let Some(deployment) = self.shared.deployment() else {
            return Vec::new();
        };
        let ledger = self.shared.ledger.borrow();
        let runs = self.runs.borrow();
        let mut running = HashMap::new();
        for (job, item) in runs.keys() {
            let Some(job) = ledger.jobs.get(job) else {
                continue;
            };
            let service = super::route(&deployment, job).map(|route| super::service_of(route, job));
            let fence = service.and_then(|service| self.fence(service));
            if let Some(fence) = fence {
                running.insert(item.as_str(), fence);
            }
        }
        self.drafts.unsaved(&running, all)
    }

    /// Waits until the last drafts are written, for [`HAND_OVER_TIMEOUT`] at most.
    pub(super) async fn wait_until_saved(&self) {
        let deadline = Boot::now() + HAND_OVER_TIMEOUT;
        while Boot::now() < deadline && !self.shared.draft_writer.is_idle() {
            sleep(HAND_OVER_POLL_INTERVAL).await;
        }
    }
}

/// Reads the log of drafts to its end; `saved` holds what was read so far.
async fn read(shared: &Shared, saved: &RefCell<PartialTexts>) {
    let mut decoder = Decoder::default();
    let mut next = 0;
    loop {
        let call = shared
            .store
            .read(Log::Drafts, next, usize::MAX, Duration::ZERO);
        match call.await {
            Ok(page) => {
                for (_, draft) in decoder.records(page.items) {
                    saved.borrow_mut().save(draft);
                }
                next = page.next;
                if next >= page.end {
                    return;
                }
            }
            Err(StoreError::Expired { first }) => {
                decoder = Decoder::default();
                next = first;
            }
            Err(StoreError::Returned) => {}
            Err(error) => {
                event!("drafts_read_failed", "from" => next, "error" => error);
                sleep(STORE_BACKOFF).await;
            }
        }
    }
}
