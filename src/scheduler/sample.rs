//! An unfinished sample: its text so far, and the weight versions that generated it.

use super::event_stream::Event;
use crate::instance::interfaces::Software;

/// Limit on the memory of a sample in bytes: the largest page of results.
///
/// A faulty server may send events without end.
const SAMPLE_BYTES_MAX: usize = 1 << 20;

/// Memory that an event's data takes, in bytes.
fn memory(data: &String) -> usize {
    size_of_val(data) + data.len()
}

/// Memory that the data of events take, in bytes.
#[must_use]
pub fn memory_of(data: &[String]) -> usize {
    data.iter().map(memory).sum()
}

/// Text of an item so far, possibly from several servers and weight versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Data of each event.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: Option<u64>,
    /// Distinct weight versions, in the order of their first event.
    pub versions: Vec<u64>,
    /// Version of the software that generates the text.
    pub software: Option<Software>,
    /// Memory that the events take, in bytes.
    pub bytes: usize,
    /// Number of events that are saved in the log of drafts.
    pub saved: usize,
}

/// Why an event cannot be added to a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddError {
    /// An event is missing or was repeated.
    Gap,
    /// The event has no id.
    NoId,
    /// The text exceeds its size limit.
    TooLong,
    /// The event's weight version is too old, or differs where one is required.
    Version,
}

/// Which weight versions may generate a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionPolicy {
    /// Oldest version allowed.
    pub min: u64,
    /// Whether a single version must generate the whole sample.
    pub single: bool,
}

impl VersionPolicy {
    /// Whether a run at weight `version` may add to `sample`.
    ///
    /// The sample's existing events may have been generated for another job.
    #[must_use]
    pub fn allows(self, sample: &Sample, version: u64) -> bool {
        let same = sample.versions.iter().all(|known| *known == version);
        self.meets_min(&sample.versions) && version >= self.min && (same || !self.single)
    }

    /// Whether a complete text that `versions` generated is acceptable.
    #[must_use]
    pub fn accepts(self, versions: &[u64]) -> bool {
        self.meets_min(versions) && (!self.single || versions.len() == 1)
    }

    fn meets_min(self, versions: &[u64]) -> bool {
        versions.iter().all(|known| *known >= self.min)
    }
}

impl Sample {
    /// Appends an event that weight `version` generated.
    ///
    /// # Errors
    /// [`AddError`]; the sample is left unchanged.
    pub fn add(
        &mut self,
        event: Event,
        version: u64,
        policy: VersionPolicy,
    ) -> Result<(), AddError> {
        let id = event.id.ok_or(AddError::NoId)?;
        let follows = self.last.is_none_or(|last| id == last + 1);
        if !follows {
            return Err(AddError::Gap);
        }
        if !policy.allows(self, version) {
            return Err(AddError::Version);
        }
        let bytes = self.bytes + memory(&event.data);
        if bytes > SAMPLE_BYTES_MAX {
            return Err(AddError::TooLong);
        }
        self.bytes = bytes;
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        self.last = Some(id);
        self.data.push(event.data);
        Ok(())
    }

    /// The text: the events' data, one event per line.
    #[must_use]
    pub fn text(&self) -> String {
        self.data.join("\n")
    }
}
