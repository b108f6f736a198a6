//! Makes one sample, and keeps what was made of it for another run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::Driver;
use super::item::{self, RunEnd, Task};
use super::sample::Sample;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::edge::Backend;
use crate::instance::events::event;
use crate::job::{ItemEnd, Jobs, Listed, Text};
use crate::ledger::record::{self, Record};

/// Time for which a server that turned an item away gets no other one.
const FULL_REST: Duration = Duration::from_millis(120);
/// Time for which a server that broke a run off gets no other one.
const BROKEN_REST: Duration = Duration::from_millis(1500);
/// Time for which an unfinished text is kept for a job that brings the item again.
const DRAFT_KEPT: Duration = Duration::from_secs(30);

/// The text of an item and the weight versions that made it.
#[derive(Clone, Debug)]
pub(super) struct ItemText {
    pub(super) output: String,
    pub(super) versions: Vec<u64>,
}

/// What is listed for an item.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    end: ItemEnd,
    text: ItemText,
    score: Option<String>,
}

impl Ended {
    /// An item that was given up.
    pub(super) fn dead() -> Self {
        let text = ItemText {
            output: String::new(),
            versions: Vec::new(),
        };
        Self {
            end: ItemEnd::Dead,
            text,
            score: None,
        }
    }
}

/// What was made of an item so far.
#[derive(Debug, Default)]
struct Draft {
    sample: RefCell<Sample>,
    whole: Cell<bool>,
    /// Answers of servers that failed, and the job that got them.
    failures: RefCell<(String, u32)>,
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
    /// The draft of an item; a new one starts from what the log has.
    fn get(&self, item: &str, jobs: &Jobs) -> Rc<Draft> {
        let mut drafts = self.0.borrow_mut();
        let new = || Rc::new(Draft::of(item, jobs));
        let draft = drafts.entry(item.to_owned()).or_insert_with(new);
        draft.catch_up(item, jobs);
        draft.used.set(Boot::now());
        Rc::clone(draft)
    }

    fn remove(&self, item: &str) {
        self.0.borrow_mut().remove(item);
    }

    pub(super) fn forget(&self, now: Boot) {
        let mut drafts = self.0.borrow_mut();
        drafts.retain(|_, draft| now < draft.used.get() + DRAFT_KEPT);
    }

    /// What is to be saved of the items that `is_running` names; all of it if `all`.
    pub(super) fn unsaved(&self, is_running: impl Fn(&str) -> bool, all: bool) -> Vec<Record> {
        let drafts = self.0.borrow();
        let running = drafts.iter().filter(|(item, _)| is_running(item));
        let least = if all { 1 } else { SAVE_EVENTS };
        running
            .filter_map(|(item, draft)| draft.part(item, least))
            .collect()
    }
}

impl Draft {
    fn of(item: &str, jobs: &Jobs) -> Self {
        let draft = Self::default();
        draft.catch_up(item, jobs);
        draft
    }

    /// Takes the text that the log has, if it is longer.
    fn catch_up(&self, item: &str, jobs: &Jobs) {
        let mut sample = self.sample.borrow_mut();
        let saved = jobs.saved(item);
        if let Some(saved) = saved.filter(|saved| saved.data.len() > sample.data.len()) {
            *sample = Sample {
                data: saved.data.clone(),
                last: Some(saved.last),
                versions: saved.versions.clone(),
                saved: saved.data.len(),
            };
        }
    }

    /// The part that is not saved yet, if it has `least` events or more.
    fn part(&self, item: &str, least: usize) -> Option<Record> {
        let mut sample = self.sample.borrow_mut();
        let from = sample.saved;
        let end = sample.last.filter(|_| sample.data.len() >= from + least)?;
        sample.saved = sample.data.len();
        Some(Record::Draft(record::Draft {
            item: item.to_owned(),
            from,
            data: sample.data[from..].to_vec(),
            last: end,
            versions: sample.versions.clone(),
        }))
    }

    fn restart(&self) {
        self.sample.replace(Sample::default());
        self.whole.set(false);
    }

    /// Counts a failure of a job's item.
    fn fail(&self, job: &str) -> u32 {
        let mut failures = self.failures.borrow_mut();
        if failures.0 != job {
            *failures = (job.to_owned(), 0);
        }
        failures.1 += 1;
        failures.1
    }
}

/// Runs a task on a server; lists its result or leaves it to another run.
pub(super) async fn make(driver: &Driver, task: &Task, backend: &Rc<Backend>, attempts: u32) {
    let draft = driver
        .drafts
        .get(&task.item.id, &driver.shared.fold.borrow().jobs);
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
        if !settle(driver, task, backend, &draft, end, attempts) {
            return;
        }
        draft.whole.set(true);
        let key = (task.job.clone(), task.item.id.clone());
        if let Some(run) = driver.runs.borrow_mut().get_mut(&key) {
            run.server = None;
        }
        driver.shared.changed.notify_waiters();
    }
    let text = {
        let sample = draft.sample.borrow();
        ItemText {
            output: sample.text(),
            versions: sample.versions.clone(),
        }
    };
    driver.finish(task, text).await;
}

/// Acts on the end of a run; tells whether the text is whole.
fn settle(
    driver: &Driver,
    task: &Task,
    backend: &Backend,
    draft: &Draft,
    end: RunEnd,
    attempts: u32,
) -> bool {
    let now = Boot::now();
    match end {
        RunEnd::Whole => return true,
        RunEnd::Impossible => {
            driver.list(&task.job, &task.item.id, Ended::dead());
            return false;
        }
        RunEnd::Failed => {
            if draft.fail(&task.job) >= attempts {
                driver.list(&task.job, &task.item.id, Ended::dead());
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
    /// Has a whole text scored, and lists it.
    pub(super) async fn finish(&self, task: &Task, text: ItemText) {
        let (end, score) = match &task.item.scorer {
            Some(scorer) => item::score(&self.shared, task, scorer).await,
            None => (ItemEnd::Complete, None),
        };
        let ended = match end {
            ItemEnd::Complete => Ended { end, text, score },
            ItemEnd::Dead => Ended::dead(),
        };
        self.list(&task.job, &task.item.id, ended);
    }

    /// Writes a result to the log; the item counts as running until it is read there.
    pub(super) fn list(&self, job: &str, item: &str, ended: Ended) {
        event!("item_listed", "job" => job, "item" => item, "end" => format!("{:?}", ended.end),
            "versions" => format!("{:?}", ended.text.versions));
        self.drafts.remove(item);
        let apart = ended.end == ItemEnd::Complete && self.shared.texts_apart();
        let ItemText { output, versions } = ended.text;
        let mut result = Listed {
            item: item.to_owned(),
            end: ended.end,
            text: Text::Here(output),
            versions,
            score: ended.score,
        };
        if apart {
            let shared = Rc::clone(&self.shared);
            let job = job.to_owned();
            tokio::task::spawn_local(async move {
                put_apart(&shared, &mut result).await;
                let record = Record::Listed { job, result };
                drop(shared.writer.push(&record));
            });
            return;
        }
        let record = Record::Listed {
            job: job.to_owned(),
            result,
        };
        drop(self.shared.writer.push(&record));
    }
}

/// Writes a result's text to the log of texts.
async fn put_apart(shared: &Shared, result: &mut Listed) {
    let Text::Here(text) = &mut result.text else {
        return;
    };
    let bytes = text.len();
    let record = Record::Text(std::mem::take(text));
    // An error means that the process ends.
    if let Ok(ack) = shared.text_writer.push(&record).await {
        result.text = Text::Apart {
            offset: ack.offset,
            bytes,
        };
    }
}
