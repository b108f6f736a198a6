//! Makes one sample, and keeps what was made of it for another run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::Driver;
use super::failures::Failures;
use super::item::{self, RunEnd, Task};
use super::sample::{Fit, Sample};
use crate::boot::Boot;
use crate::instance::edge::Backend;
use crate::instance::events::event;
use crate::job::{Extent, ItemEnd, Listed};
use crate::ledger::drafts::{Saved, SavedDrafts};
use crate::ledger::record::{self, JobEvent};

/// Time for which a server that turned an item away gets no other one.
const FULL_REST: Duration = Duration::from_millis(120);
/// Time for which a server that broke a run off gets no other one.
const BROKEN_REST: Duration = Duration::from_millis(1500);
/// Time for which an unfinished text is kept for a job that brings the item again.
const DRAFT_KEPT: Duration = Duration::from_secs(30);

/// The text of an item and the weight versions that made it.
#[derive(Clone, Debug)]
pub(super) struct ItemText {
    pub(super) output: Output,
    pub(super) versions: Vec<u64>,
}

/// Where the text of an item is.
#[derive(Clone, Debug)]
pub(super) enum Output {
    /// It was made here and is not stored yet.
    Made(String),
    /// An earlier job's result has it.
    Stored(Extent),
}

/// What is listed for an item.
#[derive(Clone, Debug)]
pub(super) enum Ended {
    /// Its text is whole and scored.
    Complete {
        text: ItemText,
        score: Option<String>,
    },
    /// It was given up.
    Dead,
}

/// What was made of an item so far.
#[derive(Debug, Default)]
struct Draft {
    sample: RefCell<Sample>,
    whole: Cell<bool>,
    /// Fencing number of the lease under which its text was saved last.
    fence: Cell<u64>,
    used: Cell<Boot>,
}

/// Unfinished texts by item: an item that comes again in another job goes on from there.
#[derive(Debug, Default)]
pub(super) struct Drafts(RefCell<HashMap<String, Rc<Draft>>>);

/// Events that an item makes before they are saved.
///
/// About half a second of an engine's work: what a takeover has to make again at most.
const SAVE_EVENTS: usize = 12;

impl Drafts {
    /// The draft of an item, which goes on from what a former leader saved.
    fn get(&self, item: &str, saved: &mut SavedDrafts) -> Rc<Draft> {
        let mut drafts = self.0.borrow_mut();
        let draft = drafts.entry(item.to_owned()).or_default();
        if let Some(saved) = saved.take(item) {
            draft.catch_up(saved);
        }
        draft.used.set(Boot::now());
        Rc::clone(draft)
    }

    fn remove(&self, item: &str) {
        self.0.borrow_mut().remove(item);
    }

    /// The text of an item that is whole and was not listed, if it fits.
    pub(super) fn whole(&self, item: &str, fit: Fit) -> Option<ItemText> {
        let drafts = self.0.borrow();
        let draft = drafts.get(item).filter(|draft| draft.whole.get())?;
        let sample = draft.sample.borrow();
        fit.takes(&sample.versions).then(|| ItemText {
            output: Output::Made(sample.text()),
            versions: sample.versions.clone(),
        })
    }

    /// Events that were made of an item.
    pub(super) fn events(&self, item: &str) -> usize {
        let drafts = self.0.borrow();
        drafts
            .get(item)
            .map_or(0, |draft| draft.sample.borrow().data.len())
    }

    /// Oldest weight version that made events of an item.
    pub(super) fn oldest(&self, item: &str) -> Option<u64> {
        let drafts = self.0.borrow();
        let sample = drafts.get(item)?.sample.borrow();
        sample.versions.iter().min().copied()
    }

    pub(super) fn forget(&self, now: Boot) {
        let mut drafts = self.0.borrow_mut();
        drafts.retain(|_, draft| now < draft.used.get() + DRAFT_KEPT);
    }

    /// What is to be saved of the items that run, given with the fences of their leases;
    /// all of it if `all`.
    pub(super) fn unsaved(&self, running: &HashMap<&str, u64>, all: bool) -> Vec<record::Draft> {
        let drafts = self.0.borrow();
        let least = if all { 1 } else { SAVE_EVENTS };
        running
            .iter()
            .filter_map(|(item, fence)| drafts.get(*item)?.part(item, *fence, least))
            .collect()
    }
}

impl Draft {
    /// Takes the text that a former leader saved, if it is longer.
    fn catch_up(&self, saved: Saved) {
        let mut sample = self.sample.borrow_mut();
        if saved.data.len() > sample.data.len() {
            *sample = Sample {
                data: saved.data,
                last: Some(saved.last),
                versions: saved.versions,
                saved: 0,
            };
        }
    }

    /// The part that is not saved yet under a lease, if it has `least` events or more.
    fn part(&self, item: &str, fence: u64, least: usize) -> Option<record::Draft> {
        let mut sample = self.sample.borrow_mut();
        if self.fence.replace(fence) != fence {
            sample.saved = 0;
        }
        let from = sample.saved;
        let end = sample.last.filter(|_| sample.data.len() >= from + least)?;
        sample.saved = sample.data.len();
        Some(record::Draft {
            fence,
            item: item.to_owned(),
            from,
            data: sample.data[from..].to_vec(),
            last: end,
            versions: sample.versions.clone(),
        })
    }

    fn restart(&self) {
        self.sample.replace(Sample::default());
        self.whole.set(false);
    }
}

/// Runs a task on a server; lists its result or leaves it to another run.
pub(super) async fn make(driver: &Driver, task: &Task, backend: &Rc<Backend>, attempts: u32) {
    let draft = driver
        .drafts
        .get(&task.item.id, &mut driver.saved_drafts.borrow_mut());
    let version = driver.weights.version(backend, &task.model);
    if !task.fit.allows(&draft.sample.borrow(), version) {
        draft.restart();
    }
    if !draft.whole.get() {
        let end = item::run(&driver.shared, task, backend, &draft.sample, driver).await;
        driver
            .shared
            .metrics
            .items
            .with_label_values(&[&format!("{end:?}")])
            .inc();
        draft.used.set(Boot::now());
        if !settle(driver, task, backend, end, attempts) {
            return;
        }
        draft.whole.set(true);
        driver.note_length(&task.model, &task.item, draft.sample.borrow().data.len());
        let key = (task.job.clone(), task.item.id.clone());
        if driver.has_ended(&task.job) {
            // The job that has the item now lists it.
            driver.runs.borrow_mut().remove(&key);
            driver.shared.changed.notify_waiters();
            return;
        }
        if let Some(run) = driver.runs.borrow_mut().get_mut(&key) {
            run.server = None;
        }
        driver.shared.changed.notify_waiters();
    }
    let text = {
        let sample = draft.sample.borrow();
        ItemText {
            output: Output::Made(sample.text()),
            versions: sample.versions.clone(),
        }
    };
    driver.finish(task, text).await;
}

/// Acts on the end of a run; tells whether the text is whole.
fn settle(driver: &Driver, task: &Task, backend: &Backend, end: RunEnd, attempts: u32) -> bool {
    let now = Boot::now();
    match end {
        RunEnd::Whole => return true,
        RunEnd::Impossible => {
            driver.list(&task.job, &task.item.id, Ended::Dead);
            return false;
        }
        RunEnd::Failed => {
            let failures = Failures::new(driver, &task.job, &task.item.id);
            failures.note();
            if failures.count() >= attempts {
                driver.list(&task.job, &task.item.id, Ended::Dead);
                return false;
            }
        }
        RunEnd::NotRun => driver.rest(&backend.id, now + FULL_REST),
        RunEnd::Misdirected | RunEnd::Broken => driver.rest(&backend.id, now + BROKEN_REST),
    }
    driver
        .runs
        .borrow_mut()
        .remove(&(task.job.clone(), task.item.id.clone()));
    driver.shared.changed.notify_waiters();
    false
}

impl Driver {
    fn has_ended(&self, job: &str) -> bool {
        let fold = self.shared.fold.borrow();
        fold.jobs.get(job).is_none_or(|job| job.ended)
    }

    /// Has a whole text scored, and lists it.
    pub(super) async fn finish(&self, task: &Task, text: ItemText) {
        let (end, score) = match &task.content.scorer {
            Some(scorer) => {
                let failures = Failures::new(self, &task.job, &scorer.id);
                item::score(&self.shared, task, scorer, &failures).await
            }
            None => (ItemEnd::Complete, None),
        };
        let ended = match end {
            ItemEnd::Complete => Ended::Complete { text, score },
            ItemEnd::Dead => Ended::Dead,
        };
        self.list(&task.job, &task.item.id, ended);
    }

    /// Writes a result to the log of jobs; the item counts as running until it is read there.
    pub(super) fn list(&self, job: &str, item: &str, ended: Ended) {
        self.drafts.remove(item);
        let (text, score) = match ended {
            Ended::Complete { text, score } => (Some(text), score),
            Ended::Dead => (None, None),
        };
        let end = if text.is_some() {
            ItemEnd::Complete
        } else {
            ItemEnd::Dead
        };
        let versions = text.as_ref().map(|text| text.versions.clone());
        let versions = versions.unwrap_or_default();
        event!("item_listed", "job" => job, "item" => item, "end" => format!("{end:?}"),
            "versions" => format!("{versions:?}"));
        let shared = Rc::clone(&self.shared);
        let job = job.to_owned();
        let item = item.to_owned();
        tokio::task::spawn_local(async move {
            let text = match text.map(|text| text.output) {
                Some(Output::Made(text)) => shared.payloads.put_text(text).await,
                Some(Output::Stored(extent)) => Some(extent),
                None => None,
            };
            // A text that could not be stored means that the process ends.
            if end == ItemEnd::Complete && text.is_none() {
                return;
            }
            let result = Listed {
                item,
                end,
                text,
                versions,
                score,
            };
            drop(shared.job_writer.push(&JobEvent::Listed { job, result }));
        });
    }
}
