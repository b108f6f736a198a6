//! Rollout jobs kept in the log: their records, their fold, and the order of their items.

pub mod order;
pub mod place;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ledger::record::Draft;

/// A request whose answer scores a finished sample.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scorer {
    /// Id of the request.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// A sample to make.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Id, which is also the id of its request.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request.
    pub body: Bytes,
    /// Group of samples that share a prompt.
    pub group: String,
    /// Estimate of its output in tokens; 0 if there is none.
    pub hint: u64,
    /// What scores it.
    pub scorer: Option<Scorer>,
}

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Path that it was submitted to.
    pub path: String,
    /// Tenant that it belongs to.
    pub tenant: Option<String>,
    /// Unix time of its submission in milliseconds.
    pub submitted: u64,
    /// The model that is trained.
    pub model: String,
    /// Oldest weight version of any token.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub group_target: usize,
    /// Its items in the trainer's order.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemEnd {
    /// Its text is whole and scored.
    Complete,
    /// It was given up.
    Dead,
}

/// Where the text of a result is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Text {
    /// Here.
    Here(String),
    /// In the log of texts.
    Apart {
        /// Offset of its first record.
        offset: u64,
        /// Length in bytes.
        bytes: usize,
    },
}

impl Text {
    /// Length in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Here(text) => text.len(),
            Self::Apart { bytes, .. } => *bytes,
        }
    }
}

/// The result of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// The item.
    pub item: String,
    /// How it ended.
    pub end: ItemEnd,
    /// The data of its events, one a line.
    pub text: Text,
    /// Weight versions that made it.
    pub versions: Vec<u64>,
    /// Signature of the scorer's answer.
    pub score: Option<String>,
}

/// A job with its results.
#[derive(Debug)]
pub struct Job {
    /// As it was accepted.
    pub record: JobRecord,
    /// Results in the order of the log.
    pub listed: Vec<Rc<Listed>>,
    /// Items that have a result.
    pub done: HashSet<String>,
    /// Whether its trainer ended it.
    pub ended: bool,
    /// Number of jobs accepted before it.
    pub order: u64,
    index: HashMap<String, usize>,
}

impl Job {
    /// The item of an id.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.index.get(id).map(|at| &self.record.items[*at])
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.ended || self.listed.len() == self.record.items.len()
    }
}

/// The text of an item as far as the log has it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Saved {
    /// Data of each event.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: u64,
    /// Weight versions that made it.
    pub versions: Vec<u64>,
}

/// All jobs that the log holds.
#[derive(Debug, Default)]
pub struct Jobs {
    known: HashMap<String, Job>,
    /// The job that first held an item.
    first: HashMap<String, String>,
    /// Unfinished texts by item.
    saved: HashMap<String, Saved>,
    accepted: u64,
}

impl Jobs {
    /// Accepts a job; a job of the same id changes nothing.
    pub fn accept(&mut self, record: JobRecord) {
        if self.known.contains_key(&record.id) {
            return;
        }
        let numbered = record.items.iter().enumerate();
        let index = numbered.map(|(at, item)| (item.id.clone(), at)).collect();
        let job = Job {
            listed: Vec::new(),
            done: HashSet::new(),
            ended: false,
            order: self.accepted,
            index,
            record,
        };
        self.accepted += 1;
        for item in &job.record.items {
            let first = self.first.entry(item.id.clone());
            first.or_insert_with(|| job.record.id.clone());
        }
        self.known.insert(job.record.id.clone(), job);
    }

    /// Lists a result; the first one of an item counts.
    pub fn list(&mut self, job: &str, result: Listed) {
        let Some(job) = self.known.get_mut(job) else {
            return;
        };
        if job.index.contains_key(&result.item) && job.done.insert(result.item.clone()) {
            self.saved.remove(&result.item);
            job.listed.push(Rc::new(result));
        }
    }

    /// Saves a part of an item's text; one that does not follow what is saved is passed over.
    pub fn save(&mut self, draft: Draft) {
        if !self.first.contains_key(&draft.item) {
            return;
        }
        let saved = self.saved.entry(draft.item).or_default();
        if draft.from == 0 {
            saved.data.clear();
        } else if draft.from != saved.data.len() {
            return;
        }
        saved.data.extend(draft.data);
        saved.last = draft.last;
        saved.versions = draft.versions;
    }

    /// The text of an item as far as it was saved.
    #[must_use]
    pub fn saved(&self, item: &str) -> Option<&Saved> {
        self.saved.get(item)
    }

    /// Ends a job.
    pub fn end(&mut self, job: &str) {
        if let Some(job) = self.known.get_mut(job) {
            job.ended = true;
        }
    }

    /// Whether an earlier job held an item of `job` already.
    #[must_use]
    pub fn is_again(&self, job: &Job, item: &str) -> bool {
        self.first
            .get(item)
            .is_some_and(|first| *first != job.record.id)
    }

    /// A complete result of an item in another job than `job`.
    #[must_use]
    pub fn earlier(&self, job: &str, item: &str) -> Option<&Rc<Listed>> {
        let others = self.known.values().filter(|other| other.record.id != job);
        let holders = others.filter(|other| other.done.contains(item));
        let mut listed = holders.flat_map(|other| &other.listed);
        listed.find(|listed| listed.item == item && listed.end == ItemEnd::Complete)
    }

    /// The job of an id.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.known.get(job)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.known.values()
    }

    /// Forgets jobs that are finished and were submitted more than `kept` before `now`.
    pub fn prune(&mut self, now: u64, kept: Duration) {
        let kept = crate::util::millis(kept);
        let is_old = |job: &Job| job.is_finished() && job.record.submitted + kept < now;
        self.known.retain(|_, job| !is_old(job));
        let known = &self.known;
        self.first.retain(|_, job| known.contains_key(job));
        let first = &self.first;
        self.saved.retain(|item, _| first.contains_key(item));
    }
}
