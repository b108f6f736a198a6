//! The state of one session: each slot of the round is handed out once.
//!
//! All decisions are pure; the session's lock and the calls to entries are elsewhere.

use derive_more::Display;

use crate::manifest::RoundPolicy;
use crate::names::sha256_hex;
use crate::wire::{Pull, Pulled, RoundSpec, Sample, SampleAnswer, Segment, Slot};

use super::order::{self, GroupProgress, Waiting};

/// Most samples of one answer to a pull.
const PULL_MAX: usize = 1_024;

/// A part of a sample that can be resumed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partial {
    /// The tokens made so far.
    pub tokens: Vec<String>,
    /// The weight versions that made them.
    pub segments: Vec<Segment>,
    /// The server that made the last of them.
    pub server: String,
    /// Parts that made them.
    pub parts: u32,
    /// Milliseconds that these parts took on servers.
    pub took: u64,
}

/// One sample to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Its place in the round.
    pub place: usize,
    /// Its attempt: one more each time that it is made again from the start.
    pub attempt: u32,
    /// What is held of it already.
    pub partial: Partial,
    /// Oldest weight version that may make it.
    pub oldest: u64,
    /// Whether it should go before other rollout work.
    pub urgent: bool,
}

/// Where the sample of one slot is.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Waiting(Partial),
    Running,
    Ready(Sample),
    /// In the answer that the trainer has not acknowledged yet.
    Offered(Sample),
    Delivered,
}

#[derive(Clone, Debug, PartialEq)]
struct Place {
    stage: Stage,
    attempt: u32,
}

/// What a pull gets.
#[derive(Clone, Debug, PartialEq)]
pub enum PullStep {
    /// An answer, the same for a repeated pull.
    Answer(Pulled),
    /// Nothing is ready yet.
    Wait,
    /// The pull's number neither repeats nor follows the last one.
    OutOfOrder {
        /// The number of the last pull that was answered.
        last: u64,
    },
}

/// How many samples are where.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
#[display(
    "waiting {waiting} running {running} ready {ready} offered {offered} delivered {delivered}"
)]
pub struct Counts {
    /// Samples that wait for a server.
    pub waiting: usize,
    /// Samples that are being generated.
    pub running: usize,
    /// Whole samples that were not handed out.
    pub ready: usize,
    /// Samples in the unacknowledged answer.
    pub offered: usize,
    /// Samples that the trainer holds.
    pub delivered: usize,
}

/// The samples of one session.
#[derive(Clone, Debug)]
pub struct Board {
    places: Vec<Place>,
    /// Samples a group.
    samples: usize,
    staleness: u64,
    /// The trainer's version, as its last pull stated it.
    version: u64,
    /// The number of the last pull that was answered.
    seq: u64,
    /// Bytes of whole samples that are kept.
    bytes: usize,
    /// Samples that were dropped because they were too old.
    pub dropped: u64,
}

impl Board {
    /// The board of a round of which the trainer holds some slots.
    #[must_use]
    pub fn new(spec: &RoundSpec, held: &[Slot]) -> Self {
        let samples = spec.samples as usize;
        let empty = Place {
            stage: Stage::Waiting(Partial::default()),
            attempt: 0,
        };
        let mut board = Self {
            places: vec![empty; spec.groups as usize * samples],
            samples,
            staleness: spec.staleness,
            version: 0,
            seq: 0,
            bytes: 0,
            dropped: 0,
        };
        for slot in held {
            if let Some(place) = board.place_of(slot) {
                board.places[place].stage = Stage::Delivered;
            }
        }
        board
    }

    /// The slot of a place.
    #[must_use]
    pub fn slot(&self, place: usize) -> Slot {
        let part = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Slot {
            group: part(place / self.samples),
            index: part(place % self.samples),
        }
    }

    fn place_of(&self, slot: &Slot) -> Option<usize> {
        let (group, index) = (slot.group as usize, slot.index as usize);
        let place = group * self.samples + index;
        (index < self.samples && place < self.places.len()).then_some(place)
    }

    /// Oldest weight version that the trainer takes.
    #[must_use]
    pub fn oldest(&self) -> u64 {
        self.version.saturating_sub(self.staleness)
    }

    /// Slots that the trainer is not known to hold.
    #[must_use]
    pub fn missing(&self) -> u32 {
        let open = |place: &&Place| place.stage != Stage::Delivered;
        u32::try_from(self.places.iter().filter(open).count()).unwrap_or(u32::MAX)
    }

    /// Bytes of whole samples that are kept for the trainer.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many samples are where.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for place in &self.places {
            match place.stage {
                Stage::Waiting(_) => counts.waiting += 1,
                Stage::Running => counts.running += 1,
                Stage::Ready(_) => counts.ready += 1,
                Stage::Offered(_) => counts.offered += 1,
                Stage::Delivered => counts.delivered += 1,
            }
        }
        counts
    }

    /// Takes the next sample to generate.
    pub fn start(&mut self, policy: RoundPolicy) -> Option<Work> {
        let waiting = self.waiting();
        let groups = self.groups();
        let chosen = waiting[order::next(policy, &waiting, &groups)?];
        let oldest = self.oldest();
        let place = &mut self.places[chosen.place];
        let stage = std::mem::replace(&mut place.stage, Stage::Running);
        let Stage::Waiting(mut partial) = stage else {
            return None;
        };
        if is_stale(&partial.segments, oldest) {
            partial = Partial::default();
            place.attempt += 1;
            self.dropped += 1;
        }
        Some(Work {
            place: chosen.place,
            attempt: place.attempt,
            oldest,
            urgent: policy != RoundPolicy::Ordered && !partial.tokens.is_empty(),
            partial,
        })
    }

    fn waiting(&self) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for (place, known) in self.places.iter().enumerate() {
            if let Stage::Waiting(partial) = &known.stage {
                waiting.push(Waiting {
                    place,
                    group: place / self.samples,
                    held: partial.tokens.len(),
                });
            }
        }
        waiting
    }

    fn groups(&self) -> Vec<GroupProgress> {
        let groups = self.places.chunks(self.samples.max(1));
        groups.map(group_progress).collect()
    }

    /// Takes over what became of a sample that was started.
    pub fn finish(&mut self, work: &Work, id: String, answer: SampleAnswer) {
        let slot = self.slot(work.place);
        let place = &mut self.places[work.place];
        if place.stage != Stage::Running || place.attempt != work.attempt {
            return;
        }
        if !answer.done {
            place.stage = Stage::Waiting(Partial {
                tokens: answer.tokens,
                segments: answer.segments,
                server: answer.server,
                parts: work.partial.parts + 1,
                took: work.partial.took + answer.took_ms,
            });
            return;
        }
        let sample = Sample {
            id,
            slot,
            text: answer.tokens.concat(),
            segments: answer.segments,
        };
        self.bytes += sample.text.len();
        place.stage = Stage::Ready(sample);
    }

    /// Puts a sample back that could not be generated; what was held of it stays.
    pub fn fail(&mut self, work: Work) {
        let place = &mut self.places[work.place];
        if place.stage == Stage::Running && place.attempt == work.attempt {
            place.stage = Stage::Waiting(work.partial);
        }
    }

    /// Answers a pull.
    ///
    /// The next number acknowledges the last answer. A repeated number gets the last answer
    /// again, less what has become too old since.
    pub fn pull(&mut self, pull: &Pull, patient: bool) -> PullStep {
        if pull.seq != self.seq && pull.seq != self.seq + 1 {
            return PullStep::OutOfOrder { last: self.seq };
        }
        self.version = pull.version;
        if pull.seq == self.seq {
            self.drop_stale(pull.version);
            return PullStep::Answer(self.answer());
        }
        self.acknowledge();
        self.drop_stale(pull.version);
        let offered = self.offer(pull.max as usize);
        if offered == 0 && patient && self.missing() > 0 {
            return PullStep::Wait;
        }
        self.seq = pull.seq;
        PullStep::Answer(self.answer())
    }

    fn acknowledge(&mut self) {
        for place in &mut self.places {
            if let Stage::Offered(sample) = &place.stage {
                self.bytes -= sample.text.len();
                place.stage = Stage::Delivered;
            }
        }
    }

    /// Drops whole samples that are too old for the trainer's version, to be made again.
    fn drop_stale(&mut self, version: u64) {
        let oldest = version.saturating_sub(self.staleness);
        for place in &mut self.places {
            let (Stage::Ready(sample) | Stage::Offered(sample)) = &place.stage else {
                continue;
            };
            if is_stale(&sample.segments, oldest) {
                self.bytes -= sample.text.len();
                self.dropped += 1;
                place.stage = Stage::Waiting(Partial::default());
                place.attempt += 1;
            }
        }
    }

    /// Moves ready samples into the answer, those that grow too old first going first.
    fn offer(&mut self, max: usize) -> usize {
        let mut ready: Vec<(u64, usize)> = Vec::new();
        for (place, known) in self.places.iter().enumerate() {
            if let Stage::Ready(sample) = &known.stage {
                ready.push((oldest_version(&sample.segments), place));
            }
        }
        ready.sort_unstable();
        ready.truncate(max.min(PULL_MAX));
        for (_, place) in &ready {
            let stage = &mut self.places[*place].stage;
            if let Stage::Ready(sample) = std::mem::replace(stage, Stage::Delivered) {
                *stage = Stage::Offered(sample);
            }
        }
        ready.len()
    }

    fn answer(&self) -> Pulled {
        let mut samples = Vec::new();
        for place in &self.places {
            if let Stage::Offered(sample) = &place.stage {
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

fn group_progress(places: &[Place]) -> GroupProgress {
    let mut progress = GroupProgress::default();
    for place in places {
        match &place.stage {
            Stage::Waiting(partial) => {
                progress.open += 1;
                progress.started |= !partial.tokens.is_empty();
            }
            Stage::Running => {
                progress.open += 1;
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

fn is_stale(segments: &[Segment], oldest: u64) -> bool {
    oldest_version(segments) < oldest
}

/// The seed of a slot, the same in every session of the round.
#[must_use]
pub fn seed(round: &str, slot: &Slot) -> u64 {
    let digest = sha256_hex(format!("{round}/{}/{}", slot.group, slot.index).as_bytes());
    u64::from_str_radix(&digest[..16], 16).unwrap_or_default()
}

#[cfg(test)]
mod tests;
