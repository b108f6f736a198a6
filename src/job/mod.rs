//! Rollout jobs in the log: their records, the state built from these, and item scheduling.

pub mod order;
pub mod placement;

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
    /// Host of the request's route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// A sample to generate, without the content of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Id, which is also the id of the item's request.
    pub id: String,
    /// Group of samples that share a prompt.
    pub group: String,
    /// Estimate of the output in tokens; 0 if there is none.
    pub hint: u64,
}

/// Memory in bytes that an instance needs for each item of a job, and for its result, besides the
/// item's names.
const ITEM_MEMORY: usize = 560;
/// Memory in bytes that a content needs besides its texts and bodies.
const CONTENT_MEMORY: usize = 256;
/// Memory in bytes that a header needs besides its name and value: two texts, each allocated.
const HEADER_MEMORY: usize = 112;

/// Memory in bytes that each instance that follows the log of jobs needs for an item, by the
/// lengths of its names.
#[must_use]
pub fn item_memory(id: usize, group: usize) -> usize {
    // The id is the key of three tables.
    id.saturating_mul(3)
        .saturating_add(group)
        .saturating_add(ITEM_MEMORY)
}

/// Memory in bytes that each instance that follows the log of jobs needs for a job's items.
#[must_use]
pub fn index_memory(items: &[Item]) -> usize {
    let item = |item: &Item| item_memory(item.id.len(), item.group.len());
    items.iter().map(item).sum()
}

/// Memory in bytes for a content with this many headers and bytes of texts and bodies.
#[must_use]
pub fn content_memory(headers: usize, bytes: usize) -> usize {
    headers
        .saturating_mul(HEADER_MEMORY)
        .saturating_add(bytes)
        .saturating_add(CONTENT_MEMORY)
}

/// The request of an item; only needed to run the item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Content {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Request that scores the sample, if any.
    pub scorer: Option<Scorer>,
}

impl Content {
    /// Size of the request and of its scorer's in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len());
        let scorer = self.scorer.as_ref().map_or(0, |scorer| {
            scorer.id.len() + scorer.host.len() + scorer.path.len() + scorer.body.len()
        });
        self.path.len() + headers.sum::<usize>() + self.body.len() + scorer
    }

    /// Memory that the request and its scorer's take, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        content_memory(self.headers.len(), self.size())
    }
}

/// Location of a payload in the log of payloads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Extent {
    /// Offset of the payload's first record.
    pub offset: u64,
    /// Encoded length in bytes.
    pub bytes: usize,
}

/// Location of the contents of consecutive items of a job, up to the next part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Position of the first item.
    pub first: usize,
    /// Location of the contents.
    pub extent: Extent,
}

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id.
    pub id: String,
    /// Host of the job's route.
    pub host: String,
    /// Path that the job was submitted to.
    pub path: String,
    /// Tenant that the job belongs to.
    pub tenant: Option<String>,
    /// Unix time of the submission in milliseconds.
    pub submitted: u64,
    /// Model that is trained.
    pub model: String,
    /// Oldest weight version that may generate tokens of the job.
    pub min_version: u64,
    /// Number of groups that the trainer waits for.
    pub group_target: usize,
    /// Items in the trainer's order.
    pub items: Vec<Item>,
    /// Locations of the items' contents, in the same order.
    pub parts: Vec<Part>,
}

impl JobRecord {
    /// Location of the part that holds an item's content, and the content's position in that part.
    #[must_use]
    pub fn content_location(&self, at: usize) -> Option<(Extent, usize)> {
        let after = self.parts.partition_point(|part| part.first <= at);
        let part = self.parts.get(after.checked_sub(1)?)?;
        Some((part.extent, at - part.first))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemEnd {
    /// The text is complete and scored.
    Complete,
    /// The item was given up.
    Dead,
}

/// The result of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// Id of the item.
    pub item: String,
    /// How the item ended.
    pub end: ItemEnd,
    /// Location of the text, one event per line; none if given up.
    pub text: Option<Extent>,
    /// Weight versions that generated the text.
    pub versions: Vec<u64>,
    /// The server's signature on the scorer's answer, if the text was scored.
    pub score: Option<String>,
}

/// A job with its results.
#[derive(Debug)]
pub struct Job {
    /// The job as accepted.
    pub record: JobRecord,
    /// Results, in the order of the log.
    pub results: Vec<Rc<ItemResult>>,
    /// Ids of items that have a result.
    pub done: HashSet<String>,
    /// Whether the trainer ended the job.
    pub ended: bool,
    /// Number of jobs accepted before this one.
    pub order: u64,
    /// Estimate of the output of all items, in tokens.
    pub expected_tokens: u64,
    /// Memory of the items in bytes, by [`index_memory`].
    memory: usize,
    /// Answers with status 500, by id of the request: an item or its scorer call.
    failures: HashMap<String, u32>,
    /// Positions of items by id.
    index: HashMap<String, usize>,
}

impl Job {
    /// Position of an item in [`JobRecord::items`].
    #[must_use]
    pub fn position(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Number of answers with status 500 to a request, as recorded in the log.
    #[must_use]
    pub fn failures(&self, request: &str) -> u32 {
        self.failures.get(request).copied().unwrap_or_default()
    }

    /// Whether the trainer ended the job or all items have a result.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.ended || self.results.len() == self.record.items.len()
    }
}

/// All jobs in the log, by id.
#[derive(Debug, Default)]
pub struct Jobs {
    known: HashMap<String, Job>,
    /// Number of the job that first held an item, by the item's id.
    first_job: HashMap<String, u64>,
    accepted: u64,
    memory: usize,
}

impl Jobs {
    /// Adds a job, unless one of the same id exists.
    pub fn accept(&mut self, record: JobRecord) {
        if self.known.contains_key(&record.id) {
            return;
        }
        let numbered = record.items.iter().enumerate();
        let index = numbered.map(|(at, item)| (item.id.clone(), at)).collect();
        let job = Job {
            results: Vec::new(),
            done: HashSet::new(),
            ended: false,
            order: self.accepted,
            expected_tokens: record.items.iter().map(|item| item.hint).sum(),
            memory: index_memory(&record.items),
            failures: HashMap::new(),
            index,
            record,
        };
        self.accepted += 1;
        self.memory += job.memory;
        for item in &job.record.items {
            self.first_job.entry(item.id.clone()).or_insert(job.order);
        }
        self.known.insert(job.record.id.clone(), job);
    }

    /// Adds an item's result to its job, unless the item has one.
    pub fn add_result(&mut self, job: &str, result: ItemResult) {
        let Some(job) = self.known.get_mut(job) else {
            return;
        };
        if job.index.contains_key(&result.item) && job.done.insert(result.item.clone()) {
            job.results.push(Rc::new(result));
        }
    }

    /// Counts an answer with status 500 to a request of a job.
    pub fn count_failure(&mut self, job: &str, request: String) {
        if let Some(job) = self.known.get_mut(job) {
            *job.failures.entry(request).or_default() += 1;
        }
    }

    /// Marks a job as ended by its trainer.
    pub fn end(&mut self, job: &str) {
        if let Some(job) = self.known.get_mut(job) {
            job.ended = true;
        }
    }

    /// Whether an earlier job already held an item of `job`.
    #[must_use]
    pub fn is_resubmitted(&self, job: &Job, item: &str) -> bool {
        self.first_job
            .get(item)
            .is_some_and(|first| *first != job.order)
    }

    /// A complete result of an item in a job other than `job`.
    #[must_use]
    pub fn result_elsewhere(&self, job: &str, item: &str) -> Option<&Rc<ItemResult>> {
        let others = self.known.values().filter(|other| other.record.id != job);
        let holders = others.filter(|other| other.done.contains(item));
        let mut results = holders.flat_map(|other| &other.results);
        results.find(|result| result.item == item && result.end == ItemEnd::Complete)
    }

    /// The job with this id.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.known.get(job)
    }

    /// Memory of all jobs' items in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// Jobs that are not finished.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.iter().filter(|job| !job.is_finished())
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.known.values()
    }

    /// Drops finished jobs submitted more than `kept` before `now`, a Unix time in milliseconds.
    pub fn prune(&mut self, now: u64, kept: Duration) {
        let kept = crate::util::millis(kept);
        let is_old = |job: &Job| job.is_finished() && job.record.submitted + kept < now;
        self.known.retain(|_, job| !is_old(job));
        self.memory = self.known.values().map(|job| job.memory).sum();
        let orders: HashSet<u64> = self.known.values().map(|job| job.order).collect();
        self.first_job.retain(|_, first| orders.contains(first));
    }
}
