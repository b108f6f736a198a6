//! The registered backend servers, and which of them take new requests.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

use super::contact::Contact;
use super::interfaces::{Backend, ServerChange, ServerState};
use crate::boot::Boot;

/// Grace period after contact with the store is regained, for servers to register again whose
/// entries expired during the outage.
const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

#[derive(Clone, Debug)]
struct Entry {
    backend: Rc<Backend>,
    /// Until when an entry that was removed may still be used.
    usable_until: Option<Boot>,
}

/// Time after the removal of its entry for which a server is remembered as leaving.
///
/// The entry may have expired only because the store was down, and then comes back.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of servers that are remembered as leaving.
const LEAVING_MAX: usize = 4096;

/// A server's announcement that it is shutting down.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Unix time in milliseconds at which the last request was sent whose answer announced it.
    ///
    /// The registry may not list the server's latest start yet, so the announcement applies to
    /// every start up to this time: a later start cannot have answered on the connection.
    said: u64,
    /// When the announcement is forgotten if the server has no entry.
    expires: Boot,
}

/// Why a registered server takes no new requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exclusion {
    /// The registry no longer lists the server.
    #[display("removed")]
    Removed,
    /// The registry lists the server as draining.
    #[display("draining")]
    Draining,
    /// The server announced its shutdown.
    #[display("leaving")]
    Leaving,
    /// The server's zone is evacuated.
    #[display("evacuated")]
    Evacuated,
}

/// All registered backend servers, by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<String, Entry>,
    leaving: BTreeMap<String, Leaving>,
    /// Availability zones whose servers get no new requests.
    evacuated: BTreeSet<String>,
}

impl Fleet {
    /// Applies a registry change that was read at `now`.
    pub fn apply(&mut self, change: ServerChange, contact: &Contact, now: Boot) {
        match change.entry {
            Some(backend) => {
                let entry = Entry {
                    backend: Rc::new(backend),
                    usable_until: None,
                };
                self.entries.insert(change.id, entry);
            }
            None => self.remove(&change.id, contact, now),
        }
    }

    /// Records that a server announced its shutdown; returns whether that was not known yet.
    ///
    /// The announcement came in the answer to a request sent at Unix time `said`, in
    /// milliseconds. The server gets no new requests until it starts again, whatever its entry
    /// says.
    pub fn note_leaving(&mut self, id: &str, said: u64, now: Boot) -> bool {
        let known = self.leaving.get(id).copied();
        if known.is_none() && self.leaving.len() >= LEAVING_MAX {
            return false;
        }
        let leaving = Leaving {
            said: known.map_or(said, |known| known.said.max(said)),
            expires: now + LEAVING_RETENTION,
        };
        self.leaving.insert(id.to_owned(), leaving);
        self.prune_leaving(now);
        let still_applies = |known: Leaving| {
            let entry = self.entries.get(id);
            entry.is_none_or(|entry| entry.backend.born <= known.said)
        };
        !known.is_some_and(still_applies) && self.leaving.contains_key(id)
    }

    /// Starts or ends the evacuation of an availability zone; returns whether that is a change.
    ///
    /// Servers of an evacuated zone get no new requests.
    pub fn set_evacuated(&mut self, zone: &str, on: bool) -> bool {
        if on {
            self.evacuated.insert(zone.to_owned())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Ends the evacuation of every zone for which `is_evacuated` is false.
    pub fn retain_evacuated(&mut self, is_evacuated: impl Fn(&str) -> bool) {
        self.evacuated.retain(|zone| is_evacuated(zone));
    }

    /// Whether this run of the server announced its shutdown.
    #[must_use]
    pub fn is_leaving(&self, backend: &Backend) -> bool {
        let leaving = self.leaving.get(&backend.id);
        leaving.is_some_and(|leaving| backend.born <= leaving.said)
    }

    /// Number of registered servers that announced their shutdown.
    #[must_use]
    pub fn leaving(&self) -> usize {
        self.iter()
            .filter(|backend| self.is_leaving(backend))
            .count()
    }

    /// Forgets announcements of servers that started again or are long gone.
    fn prune_leaving(&mut self, now: Boot) {
        let entries = &self.entries;
        self.leaving.retain(|id, leaving| {
            let born = entries.get(id).map(|entry| entry.backend.born);
            if born.is_some_and(|born| born <= leaving.said) {
                leaving.expires = now + LEAVING_RETENTION;
            }
            let restarted = born.is_some_and(|born| born > leaving.said);
            !restarted && now < leaving.expires
        });
    }

    /// Removes an entry, or keeps it until the grace period after an outage ends.
    fn remove(&mut self, id: &str, contact: &Contact, now: Boot) {
        let grace = contact.unbroken_since + OUTAGE_GRACE;
        match self.entries.get_mut(id) {
            // The server may have failed to renew its entry only because the store was down.
            Some(entry) if now < grace => entry.usable_until = Some(grace),
            Some(_) => {
                self.entries.remove(id);
            }
            None => {}
        }
    }

    /// Removes servers that are not in a snapshot, subject to the grace period after an outage.
    pub fn retain_listed(&mut self, ids: &[String], contact: &Contact, now: Boot) {
        let known: Vec<String> = self.entries.keys().cloned().collect();
        for id in known.iter().filter(|id| !ids.contains(id)) {
            self.remove(id, contact, now);
        }
    }

    /// Drops removed entries whose grace period has ended.
    pub fn prune(&mut self, now: Boot) {
        self.entries
            .retain(|_, entry| entry.usable_until.is_none_or(|until| now < until));
        self.prune_leaving(now);
    }

    /// Servers of a service that take new requests at `now`.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Boot,
    ) -> impl Iterator<Item = &'a Rc<Backend>> {
        self.entries
            .values()
            .filter(move |entry| entry.backend.service == service && self.is_usable(entry, now))
            .map(|entry| &entry.backend)
    }

    /// Whether this run of a server takes new requests at `now`.
    #[must_use]
    pub fn takes_requests(&self, backend: &Backend, now: Boot) -> bool {
        let entry = self.entries.get(&backend.id);
        entry.is_some_and(|entry| entry.backend.born == backend.born && self.is_usable(entry, now))
    }

    /// All servers of a service, with the reason for which they take no new requests, if so.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
        now: Boot,
    ) -> impl Iterator<Item = (&'a Rc<Backend>, Option<Exclusion>)> {
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.backend.service == service)
            .map(move |entry| (&entry.backend, self.exclusion(entry, now)))
    }

    fn is_usable(&self, entry: &Entry, now: Boot) -> bool {
        self.exclusion(entry, now).is_none()
    }

    fn exclusion(&self, entry: &Entry, now: Boot) -> Option<Exclusion> {
        let backend = &entry.backend;
        if entry.usable_until.is_some_and(|until| now >= until) {
            Some(Exclusion::Removed)
        } else if backend.state != ServerState::Ready {
            Some(Exclusion::Draining)
        } else if self.is_leaving(backend) {
            Some(Exclusion::Leaving)
        } else if self.evacuated.contains(&backend.zone) {
            Some(Exclusion::Evacuated)
        } else {
            None
        }
    }

    /// The server with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Backend>> {
        self.entries.get(id).map(|entry| &entry.backend)
    }

    /// All registered servers, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.entries.values().map(|entry| &entry.backend)
    }
}
