//! State of one session's samples, by slot of the round; delivers each slot once.
//!
//! Pure logic without locks or I/O: [`super::session`] holds the lock, [`super::generation`]
//! calls the entries.

use derive_more::Display;

use crate::manifest::RoundPolicy;
use crate::names::sha256_hex;
use crate::wire::{Pull, Pulled, RoundSpec, Sample, SampleAnswer, Segment, Slot};

use super::order::{self, Candidate, GroupProgress};

/// Maximum samples in the answer to a pull.
const PULL_MAX: usize = 1_024;

/// Output of an unfinished sample, from which generation can resume.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartialSample {
    /// Tokens generated so far.
    pub tokens: Vec<String>,
    /// Weight versions that generated the tokens.
    pub segments: Vec<Segment>,
    /// Server that generated the last token.
    pub server: String,
    /// Number of parts generated so far, each the output of one request to an entry.
    pub parts: u32,
    /// Milliseconds that these parts took on servers.
    pub took_ms: u64,
}

/// A sample to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleTask {
    /// Position of the sample's slot in the round.
    pub position: usize,
    /// Number of times that the sample was dropped as stale and restarted.
    pub attempt: u32,
    /// Output of the earlier parts, from which generation resumes.
    pub partial: PartialSample,
    /// Oldest weight version that may generate the sample.
    pub min_version: u64,
    /// Whether the sample takes precedence over other rollout requests.
    pub urgent: bool,
}

/// Progress of one slot's sample.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Waiting(PartialSample),
    Running,
    Ready(Sample),
    /// Part of the answer that the trainer has not acknowledged yet.
    Offered(Sample),
    Delivered,
}

#[derive(Clone, Debug, PartialEq)]
struct SlotState {
    stage: Stage,
    attempt: u32,
}

/// Outcome of a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum PullOutcome {
    /// The answer; a repeated pull gets the same one.
    Answer(Pulled),
    /// No sample is ready yet; the caller should try again later.
    Wait,
    /// The pull's number neither repeats nor follows the last one.
    OutOfOrder {
        /// The number of the last pull that was answered.
        last: u64,
    },
}

/// Number of samples in each stage.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
#[display(
    "waiting {waiting} running {running} ready {ready} offered {offered} delivered {delivered}"
)]
pub struct Counts {
    /// Samples that wait for a server.
    pub waiting: usize,
    /// Samples that are being generated.
    pub running: usize,
    /// Whole samples that are in no answer yet.
    pub ready: usize,
    /// Samples in the unacknowledged answer.
    pub offered: usize,
    /// Samples that the trainer holds.
    pub delivered: usize,
}

/// The slots of one session's round and their samples.
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: Vec<SlotState>,
    /// Samples per group.
    samples: usize,
    /// Versions by which a sample may lag behind the trainer.
    staleness: u64,
    /// The trainer's weight version, as stated by its last pull.
    version: u64,
    /// The number of the last pull that was answered.
    seq: u64,
    /// Bytes of whole samples that the trainer has not acknowledged.
    buffered_bytes: usize,
    /// Samples that were dropped as stale.
    pub dropped: u64,
}

impl SlotTable {
    /// Creates the table; the slots in `held` count as delivered.
    #[must_use]
    pub fn new(spec: &RoundSpec, held: &[Slot]) -> Self {
        let samples = spec.samples as usize;
        let empty = SlotState {
            stage: Stage::Waiting(PartialSample::default()),
            attempt: 0,
        };
        let mut table = Self {
            slots: vec![empty; spec.groups as usize * samples],
            samples,
            staleness: spec.staleness,
            version: 0,
            seq: 0,
            buffered_bytes: 0,
            dropped: 0,
        };
        for slot in held {
            if let Some(position) = table.position_of(slot) {
                table.slots[position].stage = Stage::Delivered;
            }
        }
        table
    }

    /// The slot at a position in the round.
    #[must_use]
    pub fn slot(&self, position: usize) -> Slot {
        let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Slot {
            group: to_u32(position / self.samples),
            index: to_u32(position % self.samples),
        }
    }

    fn position_of(&self, slot: &Slot) -> Option<usize> {
        let (group, index) = (slot.group as usize, slot.index as usize);
        let position = group * self.samples + index;
        (index < self.samples && position < self.slots.len()).then_some(position)
    }

    /// Oldest weight version that the staleness bound allows.
    #[must_use]
    pub fn min_version(&self) -> u64 {
        self.version.saturating_sub(self.staleness)
    }

    /// Number of slots that the trainer is not known to hold.
    #[must_use]
    pub fn missing(&self) -> u32 {
        let undelivered = |state: &&SlotState| state.stage != Stage::Delivered;
        u32::try_from(self.slots.iter().filter(undelivered).count()).unwrap_or(u32::MAX)
    }

    /// Bytes of whole samples that the trainer has not acknowledged.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Number of samples in each stage.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for state in &self.slots {
            match state.stage {
                Stage::Waiting(_) => counts.waiting += 1,
                Stage::Running => counts.running += 1,
                Stage::Ready(_) => counts.ready += 1,
                Stage::Offered(_) => counts.offered += 1,
                Stage::Delivered => counts.delivered += 1,
            }
        }
        counts
    }

    /// Takes the next sample to generate, without its earlier output if that has become stale.
    pub fn start(&mut self, policy: RoundPolicy) -> Option<SampleTask> {
        let waiting = self.candidates();
        let groups = self.groups();
        let chosen = waiting[order::next(policy, &waiting, &groups)?];
        let min_version = self.min_version();
        let state = &mut self.slots[chosen.position];
        let previous = std::mem::replace(&mut state.stage, Stage::Running);
        let Stage::Waiting(mut partial) = previous else {
            return None;
        };
        if is_stale(&partial.segments, min_version) {
            partial = PartialSample::default();
            state.attempt += 1;
            self.dropped += 1;
        }
        Some(SampleTask {
            position: chosen.position,
            attempt: state.attempt,
            min_version,
            urgent: policy != RoundPolicy::Ordered && !partial.tokens.is_empty(),
            partial,
        })
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (position, state) in self.slots.iter().enumerate() {
            if let Stage::Waiting(partial) = &state.stage {
                candidates.push(Candidate {
                    position,
                    group: position / self.samples,
                    tokens: partial.tokens.len(),
                });
            }
        }
        candidates
    }

    fn groups(&self) -> Vec<GroupProgress> {
        let groups = self.slots.chunks(self.samples.max(1));
        groups.map(group_progress).collect()
    }

    /// Stores the answer for a started sample; ignores answers of earlier attempts.
    ///
    /// If the answer is only a part, the sample waits again, with its output so far.
    pub fn finish(&mut self, task: &SampleTask, id: String, answer: SampleAnswer) {
        let slot = self.slot(task.position);
        let state = &mut self.slots[task.position];
        if state.stage != Stage::Running || state.attempt != task.attempt {
            return;
        }
        if !answer.done {
            state.stage = Stage::Waiting(PartialSample {
                tokens: answer.tokens,
                segments: answer.segments,
                server: answer.server,
                parts: task.partial.parts + 1,
                took_ms: task.partial.took_ms + answer.took_ms,
            });
            return;
        }
        let sample = Sample {
            id,
            slot,
            text: answer.tokens.concat(),
            segments: answer.segments,
        };
        self.buffered_bytes += sample.text.len();
        state.stage = Stage::Ready(sample);
    }

    /// Puts a sample back that could not be generated, with the output of its earlier parts.
    pub fn fail(&mut self, task: SampleTask) {
        let state = &mut self.slots[task.position];
        if state.stage == Stage::Running && state.attempt == task.attempt {
            state.stage = Stage::Waiting(task.partial);
        }
    }

    /// Answers a pull.
    ///
    /// A pull with the next number acknowledges the last answer. A pull that repeats the last
    /// number gets that answer again, without the samples that have become stale since. With
    /// `may_wait`, a pull gets [`PullOutcome::Wait`] while samples are missing and none is ready.
    pub fn pull(&mut self, pull: &Pull, may_wait: bool) -> PullOutcome {
        if pull.seq != self.seq && pull.seq != self.seq + 1 {
            return PullOutcome::OutOfOrder { last: self.seq };
        }
        self.version = pull.version;
        if pull.seq == self.seq {
            self.drop_stale(pull.version);
            return PullOutcome::Answer(self.answer());
        }
        self.acknowledge();
        self.drop_stale(pull.version);
        let offered = self.offer(pull.max as usize);
        if offered == 0 && may_wait && self.missing() > 0 {
            return PullOutcome::Wait;
        }
        self.seq = pull.seq;
        PullOutcome::Answer(self.answer())
    }

    fn acknowledge(&mut self) {
        for state in &mut self.slots {
            if let Stage::Offered(sample) = &state.stage {
                self.buffered_bytes -= sample.text.len();
                state.stage = Stage::Delivered;
            }
        }
    }

    /// Drops whole samples that are stale at the trainer's version and schedules them anew.
    fn drop_stale(&mut self, version: u64) {
        let min_version = version.saturating_sub(self.staleness);
        for state in &mut self.slots {
            let (Stage::Ready(sample) | Stage::Offered(sample)) = &state.stage else {
                continue;
            };
            if is_stale(&sample.segments, min_version) {
                self.buffered_bytes -= sample.text.len();
                self.dropped += 1;
                state.stage = Stage::Waiting(PartialSample::default());
                state.attempt += 1;
            }
        }
    }

    /// Moves ready samples into the answer, those that become stale soonest first.
    fn offer(&mut self, max: usize) -> usize {
        let mut ready: Vec<(u64, usize)> = Vec::new();
        for (position, state) in self.slots.iter().enumerate() {
            if let Stage::Ready(sample) = &state.stage {
                ready.push((oldest_version(&sample.segments), position));
            }
        }
        ready.sort_unstable();
        ready.truncate(max.min(PULL_MAX));
        for (_, position) in &ready {
            let stage = &mut self.slots[*position].stage;
            if let Stage::Ready(sample) = std::mem::replace(stage, Stage::Delivered) {
                *stage = Stage::Offered(sample);
            }
        }
        ready.len()
    }

    fn answer(&self) -> Pulled {
        let mut samples = Vec::new();
        for state in &self.slots {
            if let Stage::Offered(sample) = &state.stage {
                samples.push(sample.clone());
            }
        }
        let offered = u32::try_from(samples.len()).unwrap_or(u32::MAX);
        Pulled {
            seq: self.seq,
            samples,
            missing: self.missing() - offered,
        }
    }
}

fn group_progress(slots: &[SlotState]) -> GroupProgress {
    let mut progress = GroupProgress::default();
    for state in slots {
        match &state.stage {
            Stage::Waiting(partial) => {
                progress.unfinished += 1;
                progress.started |= !partial.tokens.is_empty();
            }
            Stage::Running => {
                progress.unfinished += 1;
                progress.started = true;
            }
            Stage::Ready(_) | Stage::Offered(_) | Stage::Delivered => progress.started = true,
        }
    }
    progress
}

fn oldest_version(segments: &[Segment]) -> u64 {
    let versions = segments.iter().map(|segment| segment.version);
    versions.min().unwrap_or(u64::MAX)
}

fn is_stale(segments: &[Segment], min_version: u64) -> bool {
    oldest_version(segments) < min_version
}

/// Sampling seed of a slot, the same in every session of the round.
#[must_use]
pub fn seed(round: &str, slot: &Slot) -> u64 {
    let digest = sha256_hex(format!("{round}/{}/{}", slot.group, slot.index).as_bytes());
    u64::from_str_radix(&digest[..16], 16).unwrap_or_default()
}

#[cfg(test)]
mod tests;
