//! Predicts which groups a trainer leaves out of a round and resubmits with a later one.
//!
//! A trainer waits for most groups of a round and resubmits the rest with a later round, which
//! does not end without them. The resubmitted groups have the longest samples, so they decide
//! how long the later round takes. The later round accepts only newer weights, so the part of
//! a sample that older weights generated is lost. Such a sample is therefore restarted as soon
//! as a server with newer weights has a free slot, while its current round is still running,
//! and continues after that round ends until the later round takes it over.

use std::time::Duration;

use crate::boot::Boot;

/// Time for which a sample's run continues after its round ended: trainers need about a second
/// for their training step before they resubmit the groups that the round left out.
const STRAGGLER_GRACE: Duration = Duration::from_secs(2);
/// Events by which a sample must outlast its round, since length estimates are rough.
///
/// An engine generates this many in about half a second.
const OUTLAST_MARGIN: f64 = 15.0;
/// Events expected to remain of a sample that exceeds its estimate, as a share of those done.
const OVERRUN_SHARE: f64 = 0.25;

/// A group of a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// Whether an earlier round had the group, so that the trainer waits for it.
    pub resubmitted: bool,
    /// Events remaining of the group's longest sample; 0 once the group is complete.
    pub remaining: f64,
}

/// A running sample whose round ended before the sample was complete.
#[derive(Clone, Copy, Debug)]
pub struct Straggler {
    /// Oldest weight version that generated events of the sample; none before the first event.
    pub oldest: Option<u64>,
    /// Oldest weight version that the ended round accepted.
    pub min_version: u64,
    /// Oldest weight version that a later round with the sample accepts, if any.
    pub later: Option<u64>,
    /// When the round was seen to have ended.
    pub ended: Boot,
}

/// Whether a later round accepts, or may soon accept, the text of a straggler.
#[must_use]
pub fn may_continue(straggler: &Straggler, now: Boot) -> bool {
    let min = straggler.later.unwrap_or(straggler.min_version + 1);
    let in_time = straggler.later.is_some() || now < straggler.ended + STRAGGLER_GRACE;
    in_time && straggler.oldest.is_some_and(|oldest| oldest >= min)
}

/// Estimates the events remaining of a sample, given the total `expected` and those `done`.
#[must_use]
pub fn remaining(expected: f64, done: usize) -> f64 {
    let done = f64::from(u32::try_from(done).unwrap_or(u32::MAX));
    (expected - done).max(done * OVERRUN_SHARE)
}

/// Estimates the events until a round ends whose trainer waits for `target` groups.
#[must_use]
pub fn round_end(groups: &[Group], target: usize) -> f64 {
    let resubmitted = groups.iter().filter(|group| group.resubmitted);
    let longest = resubmitted
        .clone()
        .map(|group| group.remaining)
        .fold(0.0, f64::max);
    let mut others: Vec<f64> = groups
        .iter()
        .filter(|group| !group.resubmitted)
        .map(|group| group.remaining)
        .collect();
    others.sort_by(f64::total_cmp);
    let wanted = target.saturating_sub(resubmitted.count()).min(others.len());
    let last = wanted.checked_sub(1).map_or(0.0, |last| others[last]);
    longest.max(last)
}

/// Whether a sample is expected to outlast its round.
///
/// The sample needs `remaining` events; the round is expected to end in `round_end` events.
#[must_use]
pub fn outlasts(remaining: f64, round_end: f64) -> bool {
    remaining > round_end + OUTLAST_MARGIN
}
