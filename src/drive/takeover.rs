//! Reads the unfinished texts that a former leader saved, and saves this leader's own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Driver;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::edge::{Log, STORE_PAUSE, StoreError};
use crate::instance::events::event;
use crate::instance::trim::Trimmer;
use crate::ledger::drafts::SavedDrafts;
use crate::ledger::record::{Decoder, Draft, Subject};

/// Time after which a new leader starts without the texts of the former one.
///
/// Making a long text again takes some seconds.
const READ: Duration = Duration::from_millis(1500);
/// Age of the last read of the log of jobs up to which it counts as followed: reads are held
/// for half a second while there is nothing new.
const FOLLOWED: Duration = Duration::from_millis(700);
/// Longest time between two looks at how far the log of jobs was read.
const JOBS_LOOK: Duration = Duration::from_millis(100);
/// Time between two rounds of saving unfinished texts.
const SAVE_PACE: Duration = Duration::from_millis(500);
/// Time for which the log keeps drafts: the longest samples take eight seconds, and what a new
/// leader reads delays its start.
const LOG_KEPT: Duration = Duration::from_secs(12);
/// Time between two deletions of old drafts.
const TRIM_PACE: Duration = Duration::from_secs(2);
/// Time that a leaving leader waits for its last drafts to be written.
const HAND_OVER: Duration = Duration::from_millis(400);
/// Pause between two looks at whether they are written.
const HAND_OVER_LOOK: Duration = Duration::from_millis(5);

/// Whether the texts of a service's former leader have been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Takeover {
    /// They are being read under the lease with this fencing number.
    Reading(u64),
    /// They were read, or could not be, under the lease with this fencing number.
    Done(u64),
}

/// When drafts were saved last, and which ones are old.
#[derive(Debug)]
pub(super) struct Saving {
    last: Boot,
    trimmer: Trimmer,
}

impl Default for Saving {
    fn default() -> Self {
        Self {
            last: Boot::default(),
            trimmer: Trimmer::new(Log::Drafts, LOG_KEPT, TRIM_PACE),
        }
    }
}

impl Driver {
    /// Whether a service's items may start: the former leader's texts are read first.
    pub(super) fn has_taken_over(self: &Rc<Self>, service: &str) -> bool {
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
        let driver = Rc::clone(self);
        let service = service.to_owned();
        tokio::task::spawn_local(async move {
            let started = Boot::now();
            // Parts of a text are worth having without those that come after them.
            let saved = RefCell::default();
            let read = timeout(READ, read(&driver.shared, &saved));
            let (read, ()) = tokio::join!(read, driver.jobs_read(started));
            let took = Boot::now().since(started).as_millis();
            let saved = saved.into_inner();
            event!("drafts_read", "service" => service, "fence" => fence, "whole" => read.is_ok(),
                "items" => saved.len(), "took_ms" => took);
            driver.saved_drafts.replace(saved);
            let mut takeovers = driver.takeovers.borrow_mut();
            takeovers.insert(service, Takeover::Done(fence));
            driver.shared.changed.notify_waiters();
        });
        false
    }

    /// Waits until the log of jobs is followed to its end, as a standby does all the time, or
    /// has been read to it by a read sent after `since`.
    async fn jobs_read(&self, since: Boot) {
        let shared = &self.shared;
        let is_known = || {
            let contact = shared.contacts.borrow().jobs;
            let followed =
                shared.jobs_interest.is_current() && contact.is_within(FOLLOWED, Boot::now());
            followed || contact.seen.is_some_and(|seen| seen >= since)
        };
        while !is_known() {
            // Contact is looked at again either way.
            let _ = timeout(JOBS_LOOK, shared.changed.notified()).await;
        }
    }

    /// Fencing number of a service's lease, which this process holds.
    fn fence(&self, service: &str) -> Option<u64> {
        let fold = self.shared.fold.borrow();
        let lease = fold.leases.get(&Subject::Service(service.to_owned()))?;
        Some(lease.fence)
    }

    /// Saves the texts that items have made, so that another instance can go on with them.
    pub(super) fn save(self: &Rc<Self>, all: bool) {
        let now = Boot::now();
        if !all && now < self.saving.borrow().last + SAVE_PACE {
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
        let driver = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // An error means that the process ends.
            if let Ok(ack) = written.await {
                let now = Boot::now();
                let due = {
                    let trimmer = &mut driver.saving.borrow_mut().trimmer;
                    trimmer.note(now, ack.offset);
                    trimmer.due(now)
                };
                if let Some(trim) = due {
                    trim.run(&driver.shared).await;
                }
            }
        });
    }

    fn unsaved(&self, all: bool) -> Vec<Draft> {
        let Some(deployment) = self.shared.deployment() else {
            return Vec::new();
        };
        let fold = self.shared.fold.borrow();
        let runs = self.runs.borrow();
        let mut running = HashMap::new();
        for (job, item) in runs.keys() {
            let Some(job) = fold.jobs.get(job) else {
                continue;
            };
            let service = super::route(&deployment, job).map(|route| super::service(route, job));
            let fence = service.and_then(|service| self.fence(service));
            if let Some(fence) = fence {
                running.insert(item.as_str(), fence);
            }
        }
        self.drafts.unsaved(&running, all)
    }

    /// Waits until the last drafts are written, as long as the next leader would gain by it.
    pub(super) async fn saved_all(&self) {
        let last = Boot::now() + HAND_OVER;
        while Boot::now() < last && !self.shared.draft_writer.is_idle() {
            sleep(HAND_OVER_LOOK).await;
        }
    }
}

/// Reads the log of drafts to its end; `saved` has what was read so far.
async fn read(shared: &Shared, saved: &RefCell<SavedDrafts>) {
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
            Err(error) => {
                event!("drafts_read_failed", "from" => next, "error" => error);
                sleep(STORE_PAUSE).await;
            }
        }
    }
}
