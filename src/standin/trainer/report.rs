//! What trainers measured.

use std::collections::BTreeMap;

use serde::Serialize;

/// One round of one trainer.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Step {
    /// Milliseconds until half of the samples were there.
    pub half_ms: u64,
    /// Milliseconds until the round was whole, in which the trainer is idle.
    pub wait_ms: u64,
    /// Milliseconds that the longest sample takes on a server of its own.
    pub floor_ms: u64,
    /// Samples by distance of versions at the pull.
    pub staleness: BTreeMap<u64, u32>,
    /// Tokens of all samples.
    pub tokens: u64,
    /// Tokens of the longest sample.
    pub longest: u64,
    /// Samples that never came.
    pub missing: u32,
    /// Samples that came twice.
    pub doubled: u32,
    /// Samples beyond the staleness bound.
    pub too_old: u32,
    /// Samples whose text shows other versions than they name.
    pub false_segments: u32,
    /// Samples that more than one version made.
    pub crossed_swap: u32,
    /// Sessions that had to be opened anew.
    pub reopened: u32,
}

/// All rounds together.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Report {
    /// Rounds pulled.
    pub rounds: usize,
    /// Mean milliseconds until half of a round was there.
    pub half_ms: u64,
    /// Mean milliseconds that a trainer was idle for a round.
    pub wait_ms: u64,
    /// Longest time that a trainer was idle for a round.
    pub wait_max_ms: u64,
    /// Mean of the floors set by each round's longest sample.
    pub floor_ms: u64,
    /// Samples by distance of versions at the pull.
    pub staleness: BTreeMap<u64, u32>,
    /// Mean staleness in thousandths of a version.
    pub staleness_milli: u64,
    /// Weight versions published, the first included.
    pub versions: u64,
    /// Tokens of all samples.
    pub tokens: u64,
    /// Samples that never came.
    pub missing: u32,
    /// Samples that came twice.
    pub doubled: u32,
    /// Samples beyond the staleness bound.
    pub too_old: u32,
    /// Samples whose text shows other versions than they name.
    pub false_segments: u32,
    /// Samples that more than one version made.
    pub crossed_swap: u32,
    /// Sessions that had to be opened anew.
    pub reopened: u32,
}

impl Report {
    /// The report on all rounds.
    pub fn of(steps: Vec<Step>, versions: u64) -> Self {
        let mut report = Self {
            rounds: steps.len(),
            versions,
            ..Self::default()
        };
        for step in steps {
            report.add(step);
        }
        let rounds = report.rounds.max(1) as u64;
        report.half_ms /= rounds;
        report.wait_ms /= rounds;
        report.floor_ms /= rounds;
        let samples: u64 = report.staleness.values().map(|&n| u64::from(n)).sum();
        let ages = report.staleness.iter();
        let sum: u64 = ages.map(|(age, &n)| age * u64::from(n)).sum();
        report.staleness_milli = sum * 1_000 / samples.max(1);
        report
    }

    fn add(&mut self, step: Step) {
        self.half_ms += step.half_ms;
        self.wait_ms += step.wait_ms;
        self.wait_max_ms = self.wait_max_ms.max(step.wait_ms);
        self.floor_ms += step.floor_ms;
        for (age, count) in step.staleness {
            *self.staleness.entry(age).or_default() += count;
        }
        self.tokens += step.tokens;
        self.missing += step.missing;
        self.doubled += step.doubled;
        self.too_old += step.too_old;
        self.false_segments += step.false_segments;
        self.crossed_swap += step.crossed_swap;
        self.reopened += step.reopened;
    }

    /// Whether every sample came once, with true versions, within the bound.
    pub fn is_right(&self) -> bool {
        self.missing + self.doubled + self.too_old + self.false_segments == 0
    }
}
