//! Backend servers as the registry has them.

use std::collections::{BTreeMap, BTreeSet};
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

/// Time after its entry is gone for which a server is remembered as leaving: entries that lapsed
/// with the store come back.
const LEAVING_KEPT: Duration = Duration::from_secs(60);
/// Servers that are remembered as leaving.
const LEAVING_MAX: usize = 4096;

/// A server that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Unix time in milliseconds at which the last request was sent whose answer said so.
    ///
    /// The registry may not show the server's last start yet, so what counts is whether a start
    /// came before: only such a one has answered on the connection.
    said: u64,
    /// Until when that is remembered without its entry.
    forgotten: Boot,
}

/// All registered backend servers, by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<String, Entry>,
    leaving: BTreeMap<String, Leaving>,
    /// Availability zones whose servers get nothing more.
    evacuated: BTreeSet<String>,
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

    /// Notes that a server said that it leaves, in the answer to a request that was sent at Unix
    /// time `said` in milliseconds; tells whether that is news.
    ///
    /// It gets nothing new until it starts again, whatever its entry says.
    pub fn note_leaving(&mut self, id: &str, said: u64, now: Boot) -> bool {
        let known = self.leaving.get(id).copied();
        if known.is_none() && self.leaving.len() >= LEAVING_MAX {
            return false;
        }
        let leaving = Leaving {
            said: known.map_or(said, |known| known.said.max(said)),
            forgotten: now + LEAVING_KEPT,
        };
        self.leaving.insert(id.to_owned(), leaving);
        self.prune_leaving(now);
        let is_old = |known: Leaving| {
            let entry = self.entries.get(id);
            entry.is_none_or(|entry| entry.backend.born <= known.said)
        };
        !known.is_some_and(is_old) && self.leaving.contains_key(id)
    }

    /// Notes whether the servers of an availability zone get nothing more; tells whether that
    /// is news.
    pub fn evacuate(&mut self, zone: &str, on: bool) -> bool {
        if on {
            self.evacuated.insert(zone.to_owned())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Keeps only those of the evacuated zones that `is_evacuated`.
    pub fn keep_evacuated(&mut self, is_evacuated: impl Fn(&str) -> bool) {
        self.evacuated.retain(|zone| is_evacuated(zone));
    }

    /// Whether a server said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, backend: &Backend) -> bool {
        let leaving = self.leaving.get(&backend.id);
        leaving.is_some_and(|leaving| backend.born <= leaving.said)
    }

    /// Servers that said that they leave and are still listed.
    #[must_use]
    pub fn leaving(&self) -> usize {
        self.iter()
            .filter(|backend| self.is_leaving(backend))
            .count()
    }

    fn prune_leaving(&mut self, now: Boot) {
        let entries = &self.entries;
        self.leaving.retain(|id, leaving| {
            let born = entries.get(id).map(|entry| entry.backend.born);
            if born.is_some_and(|born| born <= leaving.said) {
                leaving.forgotten = now + LEAVING_KEPT;
            }
            let starts_again = born.is_some_and(|born| born > leaving.said);
            !starts_again && now < leaving.forgotten
        });
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
        self.prune_leaving(now);
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
            let stays = backend.state == ServerState::Ready && !self.is_leaving(backend);
            let is_open = !self.evacuated.contains(&backend.zone);
            kept && backend.service == service && stays && is_open
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
