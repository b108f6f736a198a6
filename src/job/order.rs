//! Which items run next when more wait than there are slots for.
//!
//! The load pattern: a trainer submits a round while the round before still has stragglers,
//! waits for most but not all of its groups, and always for those that it submits again.
//! So the older job goes first. Inside a job, groups that come again and groups that have
//! begun go before the others, and those that promise to take longest fill what is left
//! beyond the trainer's target. Among the wanted items the longest start first, since the
//! last one to end decides when the round is whole.

use std::collections::HashMap;

use super::{Job, Jobs};

/// An item that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// The job.
    pub job: &'a Job,
    /// Position of the item in the job.
    pub at: usize,
    /// Whether its group is beyond the trainer's target.
    pub spare: bool,
}

#[derive(Default)]
struct Group {
    first: usize,
    left: usize,
    begun: bool,
    again: bool,
    longest: u64,
}

/// Orders the items of open jobs that neither run nor have a result.
///
/// `is_running` tells whether an item of a job runs already.
pub fn queue<'a>(
    jobs: &'a Jobs,
    is_own: impl Fn(&Job) -> bool,
    is_running: impl Fn(&str, &str) -> bool,
) -> Vec<Waiting<'a>> {
    let mut open: Vec<&Job> = jobs.open().filter(|job| is_own(job)).collect();
    open.sort_by_key(|job| job.order);
    let mut wanted = Vec::new();
    let mut spare = Vec::new();
    for job in open {
        let ranks = ranks(jobs, job, &is_running);
        let items = job.record.items.iter().enumerate();
        let waits = |item: &super::Item| {
            !job.done.contains(&item.id) && !is_running(&job.record.id, &item.id)
        };
        let mut waiting: Vec<Waiting<'a>> = items
            .filter(|(_, item)| waits(item))
            .map(|(at, item)| {
                let rank = ranks.get(item.group.as_str()).copied().unwrap_or_default();
                Waiting {
                    job,
                    at,
                    spare: rank >= job.record.group_target,
                }
            })
            .collect();
        waiting.sort_by_key(|one| std::cmp::Reverse(job.record.items[one.at].hint));
        let (beyond, within): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|one| one.spare);
        wanted.extend(within);
        spare.extend(beyond);
    }
    wanted.extend(spare);
    wanted
}

/// Ranks a job's groups: those that come again, then begun ones with the fewest items left,
/// then those that promise to be whole soonest.
fn ranks<'a>(
    jobs: &Jobs,
    job: &'a Job,
    is_running: &impl Fn(&str, &str) -> bool,
) -> HashMap<&'a str, usize> {
    let mut groups: HashMap<&str, Group> = HashMap::new();
    for (at, item) in job.record.items.iter().enumerate() {
        let group = groups.entry(&item.group).or_insert_with(|| Group {
            first: at,
            ..Group::default()
        });
        let done = job.done.contains(&item.id);
        group.left += usize::from(!done);
        group.begun |= done || is_running(&job.record.id, &item.id);
        group.again |= jobs.is_again(job, &item.id);
        group.longest = group.longest.max(item.hint);
    }
    let mut ranked: Vec<(&str, Group)> = groups.into_iter().collect();
    ranked.sort_by_key(|(_, group)| {
        let left = if group.begun { group.left } else { usize::MAX };
        (!group.again, left, group.longest, group.first)
    });
    let ranked = ranked.into_iter().enumerate();
    ranked.map(|(rank, (name, _))| (name, rank)).collect()
}
