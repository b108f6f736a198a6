//! Runs an item on a server, keeps its unfinished text for the next run, and lists its result.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::Scheduler;
use super::failures::Failures;
use super::item::{self, RunEnd, Task};
use super::sample::{Sample, VersionPolicy, memory_of};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::instance::interfaces::{Backend, Software};
use crate::job::{Extent, ItemEnd, ItemResult};
use crate::ledger::drafts::{PartialText, PartialTexts};
use crate::ledger::record::{self, JobEvent};

/// Time for which a server gets no items after it refused one.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(120);
/// Time for which a server gets no items after a run on it broke off.
const BROKEN_COOLDOWN: Duration = Duration::from_millis(1500);
/// Time in which an engine generates an event.
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Longest time that an item waits for a slot at the software version that generated its text.
const SOFTWARE_PATIENCE_MAX: Duration = Duration::from_millis(2500);
/// Time for which an unfinished text is kept for a job that resubmits the item.
const DRAFT_TTL: Duration = Duration::from_secs(30);

/// The text of an item and the weight versions that generated it.
#[derive(Clone, Debug)]
pub(super) struct ItemText {
    pub(super) output: Output,
    pub(super) versions: Vec<u64>,
}

/// Where the text of an item is.
#[derive(Clone, Debug)]
pub(super) enum Output {
    /// In memory; not stored yet.
    InMemory(String),
    /// In the log of payloads, as part of an earlier job's result.
    Stored(Extent),
}

/// The outcome of an item, to be listed as its result.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The text is complete and scored.
    Complete {
        text: ItemText,
        score: Option<String>,
    },
    /// The item was given up.
    Dead,
}

/// The text of an item so far.
#[derive(Debug, Default)]
struct Draft {
    sample: RefCell<Sample>,
    complete: Cell<bool>,
    /// Fencing token of the lease under which the text was last saved.
    fence: Cell<u64>,
    used: Cell<Boot>,
}

/// Unfinished texts by item; an item resubmitted in another job continues from its text.
#[derive(Debug, Default)]
pub(super) struct Drafts(RefCell<HashMap<String, Rc<Draft>>>);

/// Unsaved events from which on an item's text is saved.
///
/// An engine generates this many in about half a second; a takeover repeats at most that.
const MIN_SAVE_EVENTS: usize = 12;

impl Drafts {
    /// The draft of an item, restored from what a former leader saved, if that is longer.
    fn get(&self, item: &str, saved: &mut PartialTexts) -> Rc<Draft> {
        let mut drafts = self.0.borrow_mut();
        let draft = drafts.entry(item.to_owned()).or_default();
        if let Some(saved) = saved.take(item) {
            draft.restore(saved);
        }
        draft.used.set(Boot::now());
        Rc::clone(draft)
    }

    fn remove(&self, item: &str) {
        self.0.borrow_mut().remove(item);
    }

    /// The text of an item that is complete but not listed, if `policy` accepts its versions.
    pub(super) fn complete_text(&self, item: &str, policy: VersionPolicy) -> Option<ItemText> {
        let drafts = self.0.borrow();
        let draft = drafts.get(item).filter(|draft| draft.complete.get())?;
        let sample = draft.sample.borrow();
        policy.accepts(&sample.versions).then(|| ItemText {
            output: Output::InMemory(sample.text()),
            versions: sample.versions.clone(),
        })
    }

    /// Version of the software that generated events of an item, if there are any.
    fn software(&self, item: &str) -> Option<Software> {
        let drafts = self.0.borrow();
        let sample = drafts.get(item)?.sample.borrow();
        sample.software.clone().filter(|_| !sample.data.is_empty())
    }

    /// When the last run of an item ended.
    fn used(&self, item: &str) -> Option<Boot> {
        self.0.borrow().get(item).map(|draft| draft.used.get())
    }

    /// Number of events generated for an item so far.
    pub(super) fn event_count(&self, item: &str) -> usize {
        let drafts = self.0.borrow();
        drafts
            .get(item)
            .map_or(0, |draft| draft.sample.borrow().data.len())
    }

    /// Oldest weight version that generated events of an item.
    pub(super) fn oldest_version(&self, item: &str) -> Option<u64> {
        let drafts = self.0.borrow();
        let sample = drafts.get(item)?.sample.borrow();
        sample.versions.iter().min().copied()
    }

    /// Drops drafts that have not been used for [`DRAFT_TTL`].
    pub(super) fn prune(&self, now: Boot) {
        let mut drafts = self.0.borrow_mut();
        drafts.retain(|_, draft| now < draft.used.get() + DRAFT_TTL);
    }

    /// Unsaved parts of the running items' texts, without those shorter than
    /// [`MIN_SAVE_EVENTS`] unless `all`.
    ///
    /// `running` maps the items to the fencing tokens of their leases.
    pub(super) fn unsaved(
        &self,
        running: &HashMap<&str, u64>,
        all: bool,
    ) -> Vec<record::DraftPart> {
        let drafts = self.0.borrow();
        let min_events = if all { 1 } else { MIN_SAVE_EVENTS };
        running
            .iter()
            .filter_map(|(item, fence)| drafts.get(*item)?.unsaved_part(item, *fence, min_events))
            .collect()
    }
}

impl Draft {
    /// Replaces the text by the one that a former leader saved, if that is longer.
    fn restore(&self, saved: PartialText) {
        let mut sample = self.sample.borrow_mut();
        if saved.data.len() > sample.data.len() {
            *sample = Sample {
                bytes: memory_of(&saved.data),
                data: saved.data,
                last: Some(saved.last),
                versions: saved.versions,
                software: saved.software,
                saved: 0,
            };
        }
    }

    /// The part not yet saved under a lease, if it has at least `min_events` events.
    fn unsaved_part(&self, item: &str, fence: u64, min_events: usize) -> Option<record::DraftPart> {
        let mut sample = self.sample.borrow_mut();
        if self.fence.replace(fence) != fence {
            sample.saved = 0;
        }
        let from = sample.saved;
        let last = sample
            .last
            .filter(|_| sample.data.len() >= from + min_events)?;
        sample.saved = sample.data.len();
        Some(record::DraftPart {
            fence,
            item: item.to_owned(),
            from,
            data: sample.data[from..].to_vec(),
            last,
            versions: sample.versions.clone(),
            software: sample.software.clone(),
        })
    }

    /// Prepares the text for a run at a software version: events of another version are dropped.
    fn go_on_at(&self, software: &Software) {
        let is_same = self.sample.borrow().software.as_ref() == Some(software);
        if !is_same {
            self.restart();
            self.sample.borrow_mut().software = Some(software.clone());
        }
    }

    fn restart(&self) {
        self.sample.replace(Sample::default());
        self.complete.set(false);
    }
}

/// Runs a task on a server; lists its result, or leaves the item to another run.
pub(super) async fn run_item(
    scheduler: &Scheduler,
    task: &Task,
    backend: &Rc<Backend>,
    attempts: u32,
) {
    let draft = scheduler
        .drafts
        .get(&task.item.id, &mut scheduler.saved_drafts.borrow_mut());
    let version = scheduler.weights.version(backend, &task.model);
    if !task.policy.allows(&draft.sample.borrow(), version) {
        draft.restart();
    }
    if !draft.complete.get() {
        draft.go_on_at(&backend.software);
        let end = item::run(&scheduler.shared, task, backend, &draft.sample, scheduler).await;
        scheduler
            .shared
            .metrics
            .items
            .with_label_values(&[&format!("{end:?}")])
            .inc();
        draft.used.set(Boot::now());
        if end != RunEnd::Whole && !is_software_certain(scheduler, backend) {
            draft.restart();
        }
        if !handle_end(scheduler, task, backend, end, attempts) {
            return;
        }
        draft.complete.set(true);
        scheduler.record_length(&task.model, &task.item, draft.sample.borrow().data.len());
        let key = (task.job.clone(), task.item.id.clone());
        if scheduler.has_ended(&task.job) {
            // The later job that holds the item lists the result.
            scheduler.runs.borrow_mut().remove(&key);
            scheduler.shared.state_changed.notify_waiters();
            return;
        }
        if let Some(run) = scheduler.runs.borrow_mut().get_mut(&key) {
            run.server = None;
        }
        scheduler.shared.state_changed.notify_waiters();
    }
    let text = {
        let sample = draft.sample.borrow();
        ItemText {
            output: Output::InMemory(sample.text()),
            versions: sample.versions.clone(),
        }
    };
    scheduler.finish(task, text).await;
}

/// Whether the server did not start again with another version of its software, as far as known.
fn is_software_certain(scheduler: &Scheduler, backend: &Backend) -> bool {
    let fleet = scheduler.shared.fleet.borrow();
    let known = fleet.get(&backend.id);
    known.is_none_or(|known| known.software == backend.software)
}

/// Handles the end of a run; returns whether the text is complete.
fn handle_end(
    scheduler: &Scheduler,
    task: &Task,
    backend: &Backend,
    end: RunEnd,
    attempts: u32,
) -> bool {
    let now = Boot::now();
    match end {
        RunEnd::Whole => return true,
        RunEnd::Impossible => {
            scheduler.list(&task.job, &task.item.id, Outcome::Dead);
            return false;
        }
        RunEnd::Failed => {
            let failures = Failures::new(scheduler, &task.job, &task.item.id);
            failures.record();
            if failures.count() >= attempts {
                scheduler.list(&task.job, &task.item.id, Outcome::Dead);
                return false;
            }
        }
        RunEnd::NotRun => scheduler.exclude(&backend.id, now + REFUSED_COOLDOWN),
        RunEnd::Misdirected | RunEnd::Broken => {
            scheduler.exclude(&backend.id, now + BROKEN_COOLDOWN);
        }
    }
    scheduler
        .runs
        .borrow_mut()
        .remove(&(task.job.clone(), task.item.id.clone()));
    scheduler.shared.state_changed.notify_waiters();
    false
}

/// Longest time that an item waits for the software version that generated `events` events of it:
/// about the time in which they would be generated anew.
fn software_patience(events: usize) -> Duration {
    let events = u32::try_from(events).unwrap_or(u32::MAX);
    EVENT_TIME.saturating_mul(events).min(SOFTWARE_PATIENCE_MAX)
}

impl Scheduler {
    /// Whether an item waits for a slot at the software version that generated its text so far.
    ///
    /// It does for a while if servers of that version serve: they may only be full, or not be used
    /// since a run broke off.
    pub(super) fn waits_for_software(
        &self,
        item: &str,
        service: &str,
        software: &Software,
        now: Boot,
    ) -> bool {
        let ended = self.drafts.used(item).unwrap_or(self.saved_at.get());
        let saved = self.saved_drafts.borrow();
        let saved = saved.get(item).map_or(0, |saved| saved.data.len());
        let patience = software_patience(self.drafts.event_count(item).max(saved));
        let fleet = self.shared.fleet.borrow();
        let mut usable = fleet.usable(service, now);
        now < ended + patience && usable.any(|backend| backend.software == *software)
    }

    /// Version of the software that generated an item's text so far, here or under a former leader.
    pub(super) fn text_software(&self, item: &str) -> Option<Software> {
        let saved = self.saved_drafts.borrow();
        let saved = || saved.get(item).and_then(|saved| saved.software.clone());
        self.drafts.software(item).or_else(saved)
    }

    fn has_ended(&self, job: &str) -> bool {
        let ledger = self.shared.ledger.borrow();
        ledger.jobs.get(job).is_none_or(|job| job.ended)
    }

    /// Has a complete text scored, and lists the result.
    pub(super) async fn finish(&self, task: &Task, text: ItemText) {
        let (end, score) = match &task.content.scorer {
            Some(scorer) => {
                let failures = Failures::new(self, &task.job, &scorer.id);
                item::score(&self.shared, task, scorer, &failures).await
            }
            None => (ItemEnd::Complete, None),
        };
        let outcome = match end {
            ItemEnd::Complete => Outcome::Complete { text, score },
            ItemEnd::Dead => Outcome::Dead,
        };
        self.list(&task.job, &task.item.id, outcome);
    }

    /// Writes a result to the log of jobs.
    ///
    /// The item counts as running until the result is read back from the log. If the store refuses
    /// the result for good, the item runs again.
    pub(super) fn list(&self, job: &str, item: &str, outcome: Outcome) {
        self.drafts.remove(item);
        let (text, score) = match outcome {
            Outcome::Complete { text, score } => (Some(text), score),
            Outcome::Dead => (None, None),
        };
        let end = if text.is_some() {
            ItemEnd::Complete
        } else {
            ItemEnd::Dead
        };
        let (output, versions) = match text {
            Some(text) => (Some(text.output), text.versions),
            None => (None, Vec::new()),
        };
        event!("item_listed", "job" => job, "item" => item, "end" => format!("{end:?}"),
            "versions" => format!("{versions:?}"));
        let shared = Rc::clone(&self.shared);
        let runs = Rc::clone(&self.runs);
        let key = (job.to_owned(), item.to_owned());
        tokio::task::spawn_local(async move {
            let (job, item) = key.clone();
            let result = ItemResult {
                item,
                end,
                text: None,
                versions,
                score,
            };
            if write_result(&shared, job, result, output).await.is_none() {
                event!("item_not_listed", "job" => key.0, "item" => key.1);
                runs.borrow_mut().remove(&key);
                shared.state_changed.notify_waiters();
            }
        });
    }
}

/// Writes a result and its text; returns none if the store refuses either for good.
async fn write_result(
    shared: &Shared,
    job: String,
    mut result: ItemResult,
    output: Option<Output>,
) -> Option<()> {
    result.text = match output {
        Some(Output::InMemory(text)) => Some(shared.payloads.write_text(text).await?),
        Some(Output::Stored(extent)) => Some(extent),
        None => None,
    };
    let listed = shared.job_writer.push(&JobEvent::Listed { job, result });
    listed.await.ok().map(|_| ())
}
