//! State folded from the draft log: partial texts of items, which a new leader continues.

use std::collections::HashMap;

use super::record::DraftPart;
use crate::instance::interfaces::Software;

/// The partial text of an item.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartialText {
    /// Fencing token of the lease under which the text was saved.
    pub fence: u64,
    /// Data of each event.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: u64,
    /// Weight versions that generated the text.
    pub versions: Vec<u64>,
    /// Version of the software that generated the text, if known.
    pub software: Option<Software>,
}

/// Partial texts by item.
#[derive(Clone, Debug, Default)]
pub struct PartialTexts(HashMap<String, PartialText>);

impl PartialTexts {
    /// Appends a part of an item's text; a part that leaves a gap or overlaps is ignored.
    ///
    /// A text is assembled from the parts of one lease only, so that a late part of a former
    /// leader never mixes with the parts of its successor.
    pub fn save(&mut self, part: DraftPart) {
        let known = self.0.get(&part.item);
        let follows = known.is_some_and(|saved| {
            saved.fence == part.fence
                && saved.data.len() == part.from
                && saved.software == part.software
        });
        if part.from == 0 {
            if known.is_some_and(|saved| saved.fence > part.fence) {
                return;
            }
            self.0.remove(&part.item);
        } else if !follows {
            return;
        }
        let saved = self.0.entry(part.item).or_default();
        saved.fence = part.fence;
        saved.data.extend(part.data);
        saved.last = part.last;
        saved.versions = part.versions;
        saved.software = part.software;
    }

    /// The partial text of an item.
    #[must_use]
    pub fn get(&self, item: &str) -> Option<&PartialText> {
        self.0.get(item)
    }

    /// Removes and returns the partial text of an item.
    pub fn take(&mut self, item: &str) -> Option<PartialText> {
        self.0.remove(item)
    }

    /// Number of partial texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no partial texts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
