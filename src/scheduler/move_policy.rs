//! Chooses which running items move to another server.
//!
//! Some servers are slow, or become slow in the middle of a round, and a round is complete only
//! with its last item. An engine reads a prompt and the text so far again in a few milliseconds,
//! while an event takes tens of them, so an item leaves a slower server as soon as a faster one
//! has a free slot, if enough of the item remains. Servers that are about to load weights are
//! drained in the same way.

use std::time::Duration;

use crate::boot::Boot;

/// Pace relative to the median from which on items leave a server. Measured paces of equal
/// servers differ by less.
const MIN_SLOWDOWN: f64 = 1.25;
/// Highest pace of a target server, relative to the server that is drained for a load.
const MAX_DRAIN_SLOWDOWN: f64 = 1.6;
/// Seconds that a move must save: it costs a connection, reading the prompt again, and the
/// event that the server was generating.
const MIN_SAVING: f64 = 0.4;
/// Shortest time that an item stays on a server.
const MIN_STAY: Duration = Duration::from_millis(300);

/// A running item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningItem {
    /// Pace of the item's server, relative to the median server.
    pub pace: f64,
    /// When the item started on that server.
    pub since: Boot,
    /// Oldest weight version that may continue the item.
    pub min_version: u64,
    /// Index of the item's model.
    pub model: usize,
    /// Estimate of the events that the item still needs.
    pub remaining: f64,
    /// Index of the software version at which the item's text goes on; none if it starts anew.
    pub software: Option<usize>,
}

impl RunningItem {
    /// Highest relative pace of a target server that makes a move worth its cost.
    ///
    /// `event_time` is the time that the median server needs for an event, in seconds.
    fn max_target_pace(&self, event_time: f64) -> f64 {
        self.pace - MIN_SAVING / (self.remaining * event_time).max(f64::MIN_POSITIVE)
    }
}

/// A server that may take items from others.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Free slots.
    pub free: usize,
    /// Pace of the server, relative to the median server.
    pub pace: f64,
    /// Weight version by model index; 0 if the server is not assigned to the model.
    pub versions: Vec<u64>,
    /// Index of the server's software version.
    pub software: usize,
}

/// Takes a slot of the fastest suitable target whose pace is at most `max_pace`; returns
/// whether there was one.
pub fn reserve_slot(targets: &mut [Target], item: &RunningItem, max_pace: f64) -> bool {
    let fits = |target: &&mut Target| {
        let version = target.versions.get(item.model).copied().unwrap_or_default();
        let goes_on = item
            .software
            .is_none_or(|software| software == target.software);
        target.free > 0 && target.pace <= max_pace && version >= item.min_version.max(1) && goes_on
    };
    let best = targets
        .iter_mut()
        .filter(fits)
        .min_by(|a, b| a.pace.total_cmp(&b.pace));
    if let Some(target) = best {
        target.free -= 1;
        return true;
    }
    false
}

/// Chooses the items that leave slow servers, by position; the longest remaining go first.
///
/// `event_time` is the time that the median server needs for an event, in seconds.
#[must_use]
pub fn items_to_move(
    items: &[RunningItem],
    targets: &mut [Target],
    event_time: f64,
    now: Boot,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    let needed = |at: usize| items[at].remaining * items[at].pace;
    order.sort_by(|a, b| needed(*b).total_cmp(&needed(*a)));
    let stays = |at: &usize| now < items[*at].since + MIN_STAY || items[*at].pace < MIN_SLOWDOWN;
    order.retain(|at| !stays(at));
    order.retain(|at| reserve_slot(targets, &items[*at], items[*at].max_target_pace(event_time)));
    order
}

/// Takes slots for all items of a server that is to load weights, or for none.
///
/// Returns whether there were slots for all of them.
#[must_use]
pub fn reserve_all(items: &[RunningItem], targets: &mut [Target]) -> bool {
    let before = targets.to_vec();
    let all = items
        .iter()
        .all(|item| reserve_slot(targets, item, item.pace.max(1.0) * MAX_DRAIN_SLOWDOWN));
    if !all {
        targets.clone_from_slice(&before);
    }
    all
}
