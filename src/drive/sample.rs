//! A sample in the making: its text so far, and the weight versions that made it.

use super::events::Event;

/// Text of an item, across servers and weight versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Data of each event.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: Option<u64>,
    /// Weight versions, each once, in the order of their first event.
    pub versions: Vec<u64>,
    /// Events that the log has.
    pub saved: usize,
}

/// Why a sample cannot go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misfit {
    /// An event is missing or came twice.
    Gap,
    /// An event has no id.
    NoId,
    /// Its tokens were made by weights that are too old, or of a second version where one is
    /// allowed.
    Version,
}

/// Which weight versions may make a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fit {
    /// The oldest one.
    pub min: u64,
    /// Whether one version must make all of it.
    pub single: bool,
}

impl Fit {
    /// Whether a run at weight `version` may add to `sample`.
    ///
    /// What the sample holds already may have been made for another job.
    #[must_use]
    pub fn allows(self, sample: &Sample, version: u64) -> bool {
        let same = sample.versions.iter().all(|known| *known == version);
        self.is_young(&sample.versions) && version >= self.min && (same || !self.single)
    }

    /// Whether a whole text that `versions` made will do.
    #[must_use]
    pub fn takes(self, versions: &[u64]) -> bool {
        self.is_young(versions) && (!self.single || versions.len() == 1)
    }

    fn is_young(self, versions: &[u64]) -> bool {
        versions.iter().all(|known| *known >= self.min)
    }
}

impl Sample {
    /// Adds an event made at weight `version`.
    ///
    /// # Errors
    /// [`Misfit`]; the sample is left as it was.
    pub fn add(&mut self, event: Event, version: u64, fit: Fit) -> Result<(), Misfit> {
        let id = event.id.ok_or(Misfit::NoId)?;
        let follows = self.last.is_none_or(|last| id == last + 1);
        if !follows {
            return Err(Misfit::Gap);
        }
        if !fit.allows(self, version) {
            return Err(Misfit::Version);
        }
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        self.last = Some(id);
        self.data.push(event.data);
        Ok(())
    }

    /// The text: the events' data, one a line.
    #[must_use]
    pub fn text(&self) -> String {
        self.data.join("\n")
    }
}
