//! Which groups a trainer is expected to end a round without.
//!
//! The load pattern: a trainer waits for most groups of a round, and submits the rest again
//! with a later round, which it does not end without them. Those are the groups with the
//! longest samples, so the later round lasts as long as they do. It takes only newer weights:
//! what older ones have made of such a sample until then is lost. So it is made anew as soon
//! as newer weights have room for it, while the round that ends without it still runs, and
//! goes on after that round's end until the later one takes it.

use std::time::Duration;

use crate::boot::Boot;

/// Time after the end of its round for which a sample's run goes on: trainers need a second or
/// so for their step before they submit what the round ended without.
const LINGER: Duration = Duration::from_secs(2);
/// Events by which a sample must outlast its round: estimates of lengths are rough.
///
/// About half a second of an engine's work.
const MARGIN: f64 = 15.0;
/// Share of its events so far that a sample longer than estimated is expected to need still.
const OVERDUE: f64 = 0.25;

/// A group of a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// Whether the trainer submitted it before, so that it waits for it.
    pub again: bool,
    /// Events left of its longest sample; 0 once the group is whole.
    pub left: f64,
}

/// A running sample whose round has ended without it.
#[derive(Clone, Copy, Debug)]
pub struct Straggler {
    /// Oldest weight version that made events of it; none before the first event.
    pub oldest: Option<u64>,
    /// Oldest weight version that the round took.
    pub min_version: u64,
    /// The same of the later round that has it, once there is one.
    pub later: Option<u64>,
    /// When its round was seen to have ended.
    pub ended: Boot,
}

/// Whether a straggler's run goes on: a later round takes what it makes, or may soon.
#[must_use]
pub fn lingers(straggler: &Straggler, now: Boot) -> bool {
    let min = straggler.later.unwrap_or(straggler.min_version + 1);
    let in_time = straggler.later.is_some() || now < straggler.ended + LINGER;
    in_time && straggler.oldest.is_some_and(|oldest| oldest >= min)
}

/// Events that a sample still needs, of `expected` in all.
#[must_use]
pub fn left(expected: f64, done: usize) -> f64 {
    let done = f64::from(u32::try_from(done).unwrap_or(u32::MAX));
    (expected - done).max(done * OVERDUE)
}

/// Events until the round is expected to end, its trainer waiting for `target` groups.
#[must_use]
pub fn end(groups: &[Group], target: usize) -> f64 {
    let again = groups.iter().filter(|group| group.again);
    let longest = again.clone().map(|group| group.left).fold(0.0, f64::max);
    let mut others: Vec<f64> = groups
        .iter()
        .filter(|group| !group.again)
        .map(|group| group.left)
        .collect();
    others.sort_by(f64::total_cmp);
    let wanted = target.saturating_sub(again.count()).min(others.len());
    let last = wanted.checked_sub(1).map_or(0.0, |last| others[last]);
    longest.max(last)
}

/// Whether a sample that needs `left` events is expected to outlast a round that ends in
/// `end` events.
#[must_use]
pub fn outlasts(left: f64, end: f64) -> bool {
    left > end + MARGIN
}
