//! Tracks in-flight requests and recent failures of each backend server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use super::warmup::RecentSends;
use crate::boot::Boot;
use crate::instance::interfaces::ServerProcess;

/// Load and recent history of one server.
#[derive(Debug, Default)]
struct ServerLoad {
    running: usize,
    /// Time until which the server is avoided.
    suspect_until: Boot,
    /// Start of the server process that responded last, and the time of the response.
    last_response: Option<(u64, Boot)>,
    sent: RecentSends,
}

/// In-flight requests and recent failures per backend server; clones share state.
#[derive(Clone, Debug, Default)]
pub struct Load {
    known: Rc<RefCell<HashMap<String, ServerLoad>>>,
}

/// Counts a request in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlight {
    load: Load,
    id: String,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = self.load.known.borrow_mut().get_mut(&self.id) {
            known.running = known.running.saturating_sub(1);
        }
    }
}

impl InFlight {
    /// Records a response from the server that started at Unix time `born`.
    pub fn note_response(&self, born: u64) {
        if let Some(known) = self.load.known.borrow_mut().get_mut(&self.id) {
            known.last_response = Some((born, Boot::now()));
        }
    }
}

impl Load {
    /// Whether a server has responded since `sent`.
    #[must_use]
    pub fn has_responded(&self, process: &ServerProcess, sent: Boot) -> bool {
        let known = self.known.borrow();
        let last = known.get(&process.id).and_then(|known| known.last_response);
        last.is_some_and(|(born, at)| born == process.born && at > sent)
    }

    /// Counts a request to a server as in flight.
    #[must_use]
    pub fn enter(&self, id: &str) -> InFlight {
        let mut known = self.known.borrow_mut();
        let server = known.entry(id.to_owned()).or_default();
        server.running += 1;
        server.sent.note(Boot::now());
        InFlight {
            load: self.clone(),
            id: id.to_owned(),
        }
    }

    /// Applies `read` to the times of the requests recently sent to a server.
    pub fn recent<T>(&self, id: &str, read: impl FnOnce(&RecentSends) -> T) -> T {
        match self.known.borrow().get(id) {
            Some(known) => read(&known.sent),
            None => read(&RecentSends::default()),
        }
    }

    /// Returns the number of requests in flight at a server.
    #[must_use]
    pub fn running(&self, id: &str) -> usize {
        self.known.borrow().get(id).map_or(0, |known| known.running)
    }

    /// Marks a server as suspect, and so to be avoided, until `until`.
    pub fn suspect(&self, id: &str, until: Boot) {
        self.known
            .borrow_mut()
            .entry(id.to_owned())
            .or_default()
            .suspect_until = until;
    }

    /// Whether a server is suspect at `now`.
    #[must_use]
    pub fn is_suspect(&self, id: &str, now: Boot) -> bool {
        let known = self.known.borrow();
        known.get(id).is_some_and(|known| now < known.suspect_until)
    }

    /// Removes servers that are neither live nor running requests.
    pub fn retain(&self, is_live: impl Fn(&str) -> bool) {
        let mut known = self.known.borrow_mut();
        known.retain(|id, known| known.running > 0 || is_live(id));
    }
}
