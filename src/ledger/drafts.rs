//! The fold of the log of drafts: unfinished texts that a new leader goes on with.

use std::collections::HashMap;

use super::record::Draft;

/// The text of an item as far as it was saved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Saved {
    /// Fencing number of the lease under which it was saved.
    pub fence: u64,
    /// Data of each event.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: u64,
    /// Weight versions that made it.
    pub versions: Vec<u64>,
}

/// Unfinished texts by item.
#[derive(Clone, Debug, Default)]
pub struct SavedDrafts(HashMap<String, Saved>);

impl SavedDrafts {
    /// Adds a part of an item's text; one that does not follow what is saved is passed over.
    ///
    /// A text is put together from the parts of one lease only, so that a former leader's
    /// late part never gets between those of its successor.
    pub fn save(&mut self, draft: Draft) {
        let known = self.0.get(&draft.item);
        let follows =
            known.is_some_and(|saved| saved.fence == draft.fence && saved.data.len() == draft.from);
        if draft.from == 0 {
            if known.is_some_and(|saved| saved.fence > draft.fence) {
                return;
            }
            self.0.remove(&draft.item);
        } else if !follows {
            return;
        }
        let saved = self.0.entry(draft.item).or_default();
        saved.fence = draft.fence;
        saved.data.extend(draft.data);
        saved.last = draft.last;
        saved.versions = draft.versions;
    }

    /// The text of an item as far as it was saved, which is forgotten here.
    pub fn take(&mut self, item: &str) -> Option<Saved> {
        self.0.remove(item)
    }

    /// Number of texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no text.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
