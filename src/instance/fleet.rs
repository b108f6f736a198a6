//! Backend servers as the registry has them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::contact::Contact;
use super::edge::{Backend, ServerNews, ServerState};
use crate::boot::Boot;

/// Time after the store's return within which entries that lapsed meanwhile come back.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

#[derive(Clone, Debug)]
struct Entry {
    backend: Rc<Backend>,
    /// Until when an entry that lapsed may be used.
    lapses: Option<Boot>,
}

/// All registered backend servers, by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<String, Entry>,
}

impl Fleet {
    /// Applies a change that was read at `now`.
    pub fn apply(&mut self, news: ServerNews, contact: &Contact, now: Boot) {
        match news.entry {
            Some(backend) => {
                let entry = Entry {
                    backend: Rc::new(backend),
                    lapses: None,
                };
                self.entries.insert(news.id, entry);
            }
            None => self.lapse(&news.id, contact, now),
        }
    }

    fn lapse(&mut self, id: &str, contact: &Contact, now: Boot) {
        let grace = contact.since + RETURN_GRACE;
        match self.entries.get_mut(id) {
            // It may have lapsed only because it could not reach the store.
            Some(entry) if now < grace => entry.lapses = Some(grace),
            Some(_) => {
                self.entries.remove(id);
            }
            None => {}
        }
    }

    /// Keeps only the servers of a snapshot, apart from those that may come back.
    pub fn keep(&mut self, ids: &[String], contact: &Contact, now: Boot) {
        let missing: Vec<String> = self.entries.keys().cloned().collect();
        for id in missing.iter().filter(|id| !ids.contains(id)) {
            self.lapse(id, contact, now);
        }
    }

    /// Drops entries whose time to come back has passed.
    pub fn prune(&mut self, now: Boot) {
        self.entries
            .retain(|_, entry| entry.lapses.is_none_or(|lapses| now < lapses));
    }

    /// Servers of a service that take new requests at `now`.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Boot,
    ) -> impl Iterator<Item = &'a Rc<Backend>> {
        let live = move |entry: &&Entry| {
            let backend = &entry.backend;
            let kept = entry.lapses.is_none_or(|lapses| now < lapses);
            kept && backend.service == service && backend.state == ServerState::Ready
        };
        self.entries
            .values()
            .filter(live)
            .map(|entry| &entry.backend)
    }

    /// The server of an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Backend>> {
        self.entries.get(id).map(|entry| &entry.backend)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.entries.values().map(|entry| &entry.backend)
    }
}
