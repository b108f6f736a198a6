//! Counts of classified requests in time slots, the oldest of which are dropped.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Outcome, OutcomeCounts};

/// Number of slots in the short range.
const SLOTS_SHORT: u64 = 5;

/// Time slots with their counts, newest last.
#[derive(Clone, Debug, Default)]
pub struct SlotRing {
    /// Slot numbers since the clock's origin, with the counts of each slot.
    slots: VecDeque<(u64, OutcomeCounts)>,
}

/// Length of a slot in milliseconds, for a short range of `short` seconds.
fn slot_ms(short: u64) -> u64 {
    (short * 1_000 / SLOTS_SHORT).max(1)
}

impl SlotRing {
    /// Counts a request that ended at `now`, in milliseconds, with the time to its first answer.
    ///
    /// The short and long ranges are in seconds. At most the slots of one long
    /// range are kept.
    pub fn add(
        &mut self,
        now: u64,
        (short, long): (u64, u64),
        outcome: Outcome,
        first: Option<Duration>,
    ) {
        let slot = now / slot_ms(short);
        if self.slots.back().is_none_or(|(last, _)| *last != slot) {
            self.slots.push_back((slot, OutcomeCounts::default()));
        }
        if let Some((_, counts)) = self.slots.back_mut() {
            counts.add(outcome, first);
        }
        let kept = (long * 1_000).div_ceil(slot_ms(short));
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        while self.slots.len() > kept {
            self.slots.pop_front();
        }
    }

    /// Sums the counts of the last `range` seconds; `now` is in milliseconds.
    ///
    /// `short` is the short range in seconds, which determines the length of a slot.
    #[must_use]
    pub fn counts(&self, now: u64, short: u64, range: u64) -> OutcomeCounts {
        let current = now / slot_ms(short);
        let count = (range * 1_000).div_ceil(slot_ms(short));
        let recent = |slot: u64| slot + count > current;
        let mut sum = OutcomeCounts::default();
        for (_, counts) in self.slots.iter().filter(|(slot, _)| recent(*slot)) {
            sum.merge(counts);
        }
        sum
    }
}
