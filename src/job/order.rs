//! Orders the waiting items when there are more of them than free slots.
//!
//! A trainer submits a round while the previous round still has stragglers. It waits for most
//! of a round's groups, and always for those that it resubmitted from an earlier round.
//! Therefore older jobs go first. Within a job, resubmitted and started groups rank before the
//! others, and the groups that are expected to take longest are the spare ones beyond the
//! trainer's target, which start last. Among the other items the longest start first, since
//! the last one to finish decides when the round is complete.

use std::collections::HashMap;

use super::{Job, Jobs};

/// An item that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// The job.
    pub job: &'a Job,
    /// Position of the item in [`JobRecord::items`](super::JobRecord::items).
    pub at: usize,
    /// Whether the item's group ranks beyond the number that the trainer waits for.
    pub spare: bool,
}

/// What the rank of a group depends on.
#[derive(Default)]
struct Group {
    /// Position of the group's first item in the job.
    first: usize,
    /// Number of items without a result.
    left: usize,
    started: bool,
    resubmitted: bool,
    /// Largest hint of the group's items, in tokens.
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
        waiting.sort_by_key(|entry| std::cmp::Reverse(job.record.items[entry.at].hint));
        let (beyond, within): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|entry| entry.spare);
        wanted.extend(within);
        spare.extend(beyond);
    }
    wanted.extend(spare);
    wanted
}

/// Ranks a job's groups: resubmitted ones first, then started ones by the fewest items left,
/// then the others by the shortest expected time.
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
        group.started |= done || is_running(&job.record.id, &item.id);
        group.resubmitted |= jobs.is_resubmitted(job, &item.id);
        group.longest = group.longest.max(item.hint);
    }
    let mut ranked: Vec<(&str, Group)> = groups.into_iter().collect();
    ranked.sort_by_key(|(_, group)| {
        let left = if group.started {
            group.left
        } else {
            usize::MAX
        };
        (!group.resubmitted, left, group.longest, group.first)
    });
    let ranked = ranked.into_iter().enumerate();
    ranked.map(|(rank, (name, _))| (name, rank)).collect()
}
