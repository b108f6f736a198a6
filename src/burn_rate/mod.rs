//! Burn rate of the service-level objective: how fast bad requests use up the error budget.
//!
//! Each entry classifies its requests, and keeps counts and a latency histogram per time slot,
//! which can be merged over slots and entries. A burn rate of 1 uses up the budget exactly.

mod slot_ring;
#[cfg(test)]
mod tests;

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer as _, V2Serializer};

use crate::http::Refusal;
use crate::util::millis;
use crate::wire::{BurnCounts, BurnRange, Run};

pub use slot_ring::SlotRing;

/// Longest time to the first part of an answer that histograms resolve, in milliseconds.
const FIRST_MAX_MS: u64 = 600_000;
/// Significant decimal digits of the histograms.
const DIGITS: u8 = 2;
/// Scale of budgets in parts per million.
const MILLION: f64 = 1e6;

/// How a request ended, measured against the service-level objective.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Answered in time.
    Good,
    /// Answered, but too late.
    Slow,
    /// Refused without having run.
    Refused,
    /// Failed, or cut off after it may have run.
    Failed,
}

impl Outcome {
    /// The outcome of a refusal; `None` if the caller is at fault.
    #[must_use]
    pub fn of_refusal(refusal: &Refusal) -> Option<Self> {
        if !refusal.kind.status().is_server_error() {
            return None;
        }
        Some(match refusal.run {
            Run::NotRun => Self::Refused,
            Run::Unknown | Run::Ran => Self::Failed,
        })
    }

    /// The outcome of an answer whose first part arrived after `first`.
    #[must_use]
    pub fn of_answer(first: Duration, limit_ms: u64) -> Self {
        if millis(first) > limit_ms {
            Self::Slow
        } else {
            Self::Good
        }
    }

    /// The outcome's name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Slow => "slow",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

/// Counts of classified requests, with a histogram of their times to first answer.
#[derive(Clone, Debug, Default)]
pub struct OutcomeCounts {
    /// All requests.
    pub total: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Failed after they may have run.
    pub failed: u64,
    /// Answered too late.
    pub slow: u64,
    /// Times to the first part of the answer, in milliseconds.
    first: Option<Histogram<u64>>,
}

impl OutcomeCounts {
    /// Counts a request; `first` is the time to its first answer, if any.
    pub fn add(&mut self, outcome: Outcome, first: Option<Duration>) {
        self.total += 1;
        match outcome {
            Outcome::Good => {}
            Outcome::Slow => self.slow += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
        if let Some(first) = first {
            self.histogram().saturating_record(millis(first).max(1));
        }
    }

    fn histogram(&mut self) -> &mut Histogram<u64> {
        self.first.get_or_insert_with(|| {
            Histogram::new_with_max(FIRST_MAX_MS, DIGITS).expect("the bounds are valid")
        })
    }

    /// Adds the counts and histogram of another slot or entry.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.refused += other.refused;
        self.failed += other.failed;
        self.slow += other.slow;
        if let Some(first) = &other.first {
            // All histograms have the same bounds, so no value is out of range.
            let _ = self.histogram().add(first);
        }
    }

    /// Converts the counts and histogram to a message.
    #[must_use]
    pub fn to_wire(&self) -> BurnCounts {
        let mut bytes = Vec::new();
        if let Some(first) = &self.first {
            let _ = V2Serializer::new().serialize(first, &mut bytes);
        }
        BurnCounts {
            failed: self.failed,
            first: STANDARD.encode(bytes),
            refused: self.refused,
            slow: self.slow,
            total: self.total,
        }
    }

    /// Converts a message back; a histogram that does not parse is left out.
    #[must_use]
    pub fn from_wire(counts: &BurnCounts) -> Self {
        let bytes = STANDARD.decode(&counts.first).unwrap_or_default();
        let first = Deserializer::new().deserialize(&mut bytes.as_slice());
        Self {
            total: counts.total,
            refused: counts.refused,
            failed: counts.failed,
            slow: counts.slow,
            first: first.ok(),
        }
    }

    /// The burn rate against an error budget of `ppm` bad requests per million.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn burn(&self, ppm: u64) -> BurnRange {
        let bad = self.refused + self.failed + self.slow;
        let share = bad as f64 / self.total.max(1) as f64;
        let quantile = |q| {
            let first = self.first.as_ref();
            first.map_or(0, |first| first.value_at_quantile(q))
        };
        BurnRange {
            failed: self.failed,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            rate: share * MILLION / ppm.max(1) as f64,
            refused: self.refused,
            slow: self.slow,
            total: self.total,
        }
    }
}
