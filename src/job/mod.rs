//! Rollout jobs kept in the log: their records, their fold, and the order of their items.

pub mod order;
pub mod place;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

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

/// A sample to make, as every instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Id, which is also the id of its request.
    pub id: String,
    /// Group of samples that share a prompt.
    pub group: String,
    /// Estimate of its output in tokens; 0 if there is none.
    pub hint: u64,
}

/// The request of an item, which only its run needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Content {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// What scores the sample.
    pub scorer: Option<Scorer>,
}

/// Where a payload stands in the log of payloads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Extent {
    /// Offset of its first record.
    pub offset: u64,
    /// Length in bytes as it was encoded.
    pub bytes: usize,
}

/// Contents of a job's items from one of them on, up to the next part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Position of the first item.
    pub first: usize,
    /// Where the contents stand.
    pub extent: Extent,
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
    /// The items' contents, in the same order.
    pub parts: Vec<Part>,
}

impl JobRecord {
    /// The part that holds an item's content, and the content's position there.
    #[must_use]
    pub fn part(&self, at: usize) -> Option<(Extent, usize)> {
        let after = self.parts.partition_point(|part| part.first <= at);
        let part = self.parts.get(after.checked_sub(1)?)?;
        Some((part.extent, at - part.first))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemEnd {
    /// Its text is whole and scored.
    Complete,
    /// It was given up.
    Dead,
}

/// The result of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// The item.
    pub item: String,
    /// How it ended.
    pub end: ItemEnd,
    /// The data of its events, one a line; none if it was given up.
    pub text: Option<Extent>,
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
    /// Estimate of the output of all its items in tokens.
    pub tokens: u64,
    /// Answers of status 500 by request: an item, or its scorer's call.
    failures: HashMap<String, u32>,
    index: HashMap<String, usize>,
}

impl Job {
    /// Position of an item.
    #[must_use]
    pub fn position(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Answers of status 500 to a request of this job, as far as the log has them.
    #[must_use]
    pub fn failures(&self, request: &str) -> u32 {
        self.failures.get(request).copied().unwrap_or_default()
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.ended || self.listed.len() == self.record.items.len()
    }
}

/// All jobs that the log holds.
#[derive(Debug, Default)]
pub struct Jobs {
    known: HashMap<String, Job>,
    /// The job that first held an item.
    first: HashMap<String, String>,
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
            tokens: record.items.iter().map(|item| item.hint).sum(),
            failures: HashMap::new(),
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
            job.listed.push(Rc::new(result));
        }
    }

    /// Counts an answer of status 500 to a request of a job.
    pub fn fail(&mut self, job: &str, request: String) {
        if let Some(job) = self.known.get_mut(job) {
            *job.failures.entry(request).or_default() += 1;
        }
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

    /// Jobs that have something left to do.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.iter().filter(|job| !job.is_finished())
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
    }
}
