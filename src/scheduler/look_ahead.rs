//! Limits how many waiting items a scheduling pass looks at.
//!
//! Load pattern: jobs of tens of thousands of items, or of items of many kilobytes, whose contents
//! are far larger than the cache of contents. Fetching those of all waiting items at once evicts
//! the ones that are needed first, so that every pass reads all of them again.

use std::collections::{HashMap, HashSet};

use crate::instance::deployment::Deployment;
use crate::instance::payloads::CACHE_BYTES;
use crate::job::Job;

/// Most waiting items of a model in a pass: more than all engines of a model have slots for.
const ITEMS_MAX: usize = 4096;

/// What a pass has looked at, by model.
#[derive(Debug, Default)]
struct Seen {
    items: usize,
    /// Offsets of the payloads that hold the items' contents.
    payloads: HashSet<u64>,
    /// Encoded size of these payloads.
    bytes: usize,
}

/// Limits on the waiting items of each model in a pass.
#[derive(Debug)]
pub struct LookAhead<'a> {
    seen: HashMap<&'a str, Seen>,
    /// Most bytes of payloads for each model, unless a single one is larger.
    bytes_max: usize,
}

impl<'a> LookAhead<'a> {
    /// Starts a pass over the items of a service, whose models share half of the cache.
    #[must_use]
    pub fn new(deployment: &Deployment, service: &str) -> Self {
        let engine = deployment
            .services
            .get(service)
            .and_then(|service| service.engine.as_ref());
        let models = engine.map_or(1, |engine| engine.models.len().max(1));
        Self::with_limit(CACHE_BYTES / 2 / models)
    }

    /// Starts a pass with this limit on the payloads of each model, in bytes.
    #[must_use]
    pub fn with_limit(bytes_max: usize) -> Self {
        Self {
            seen: HashMap::new(),
            bytes_max,
        }
    }

    /// Whether the pass looks at the next waiting item of a job, at this position.
    pub fn admits(&mut self, job: &'a Job, at: usize) -> bool {
        let seen = self.seen.entry(job.record.model.as_str()).or_default();
        if seen.items >= ITEMS_MAX {
            return false;
        }
        if let Some((extent, _)) = job.record.content_location(at)
            && !seen.payloads.contains(&extent.offset)
        {
            if seen.bytes > 0 && seen.bytes + extent.bytes > self.bytes_max {
                return false;
            }
            seen.payloads.insert(extent.offset);
            seen.bytes += extent.bytes;
        }
        seen.items += 1;
        true
    }
}
