//! Which items run next when more wait than there are slots for.
//!
//! The load pattern: a trainer submits a round while the round before still has stragglers,
//! and is served by whole groups. So the older job goes first, and inside a job the groups
//! that the trainer lists first, each to its end before another one begins. Groups beyond
//! the trainer's target fill slots that are left.

use std::collections::{BTreeMap, HashMap};

use super::Job;

/// An item that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting<'a> {
    /// The job.
    pub job: &'a Job,
    /// Position of the item in the job.
    pub at: usize,
    /// Whether its group is beyond the trainer's target.
    pub spare: bool,
}

impl PartialEq for Job {
    fn eq(&self, other: &Self) -> bool {
        self.record.id == other.record.id
    }
}

impl Eq for Job {}

#[derive(Default)]
struct Progress {
    first: usize,
    left: usize,
    begun: bool,
}

/// Orders the items of open jobs that neither run nor have a result.
///
/// `is_running` tells whether an item of a job runs already.
pub fn queue<'a>(
    jobs: impl Iterator<Item = &'a Job>,
    is_running: impl Fn(&str, &str) -> bool,
) -> Vec<Waiting<'a>> {
    let mut open: Vec<&Job> = jobs.filter(|job| !job.is_finished()).collect();
    open.sort_by_key(|job| job.order);
    let mut wanted = Vec::new();
    let mut spare = Vec::new();
    for job in open {
        let ranks = ranks(job, &is_running);
        let mut waiting: Vec<Waiting<'a>> = Vec::new();
        for (at, item) in job.record.items.iter().enumerate() {
            let settled = job.done.contains(&item.id) || is_running(&job.record.id, &item.id);
            if !settled {
                let rank = ranks.get(item.group.as_str()).copied().unwrap_or_default();
                let beyond = rank >= job.record.group_target;
                waiting.push(Waiting {
                    job,
                    at,
                    spare: beyond,
                });
            }
        }
        waiting.sort_by_key(|one| ranks.get(job.record.items[one.at].group.as_str()));
        let (beyond, within): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|one| one.spare);
        wanted.extend(within);
        spare.extend(beyond);
    }
    wanted.extend(spare);
    wanted
}

/// Ranks a job's groups: whole ones, then begun ones with the fewest items left, then the rest.
fn ranks<'a>(job: &'a Job, is_running: &impl Fn(&str, &str) -> bool) -> HashMap<&'a str, usize> {
    let mut groups: BTreeMap<&str, Progress> = BTreeMap::new();
    for (at, item) in job.record.items.iter().enumerate() {
        let group = groups.entry(&item.group).or_insert_with(|| Progress {
            first: at,
            ..Progress::default()
        });
        let done = job.done.contains(&item.id);
        group.left += usize::from(!done);
        group.begun |= done || is_running(&job.record.id, &item.id);
    }
    let mut ranked: Vec<(&str, Progress)> = groups.into_iter().collect();
    ranked.sort_by_key(|(_, group)| {
        let pace = if group.begun { group.left } else { usize::MAX };
        (pace, group.first)
    });
    let ranked = ranked.into_iter().enumerate();
    ranked.map(|(rank, (name, _))| (name, rank)).collect()
}
