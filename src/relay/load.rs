//! What this instance knows of each backend server's load.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use super::warmup::Recent;
use crate::boot::Boot;
use crate::instance::edge::Life;

#[derive(Debug, Default)]
struct Known {
    running: usize,
    suspect: Boot,
    /// Start of the server that answered last, and when.
    heard: Option<(u64, Boot)>,
    sent: Recent,
}

/// Requests under way and recent failures by backend server. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Load {
    known: Rc<RefCell<HashMap<String, Known>>>,
}

/// A request under way. Dropping it ends its count.
#[derive(Debug)]
pub struct Running {
    load: Load,
    id: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(known) = self.load.known.borrow_mut().get_mut(&self.id) {
            known.running = known.running.saturating_sub(1);
        }
    }
}

impl Running {
    /// Notes that the server, which started at Unix time `born`, has answered.
    pub fn heard(&self, born: u64) {
        if let Some(known) = self.load.known.borrow_mut().get_mut(&self.id) {
            known.heard = Some((born, Boot::now()));
        }
    }
}

impl Load {
    /// Whether a server has answered since `sent`.
    #[must_use]
    pub fn is_heard(&self, life: &Life, sent: Boot) -> bool {
        let known = self.known.borrow();
        let heard = known.get(&life.id).and_then(|known| known.heard);
        heard.is_some_and(|(born, at)| born == life.born && at > sent)
    }

    /// Counts a request to a server.
    #[must_use]
    pub fn enter(&self, id: &str) -> Running {
        let mut known = self.known.borrow_mut();
        let server = known.entry(id.to_owned()).or_default();
        server.running += 1;
        server.sent.note(Boot::now());
        Running {
            load: self.clone(),
            id: id.to_owned(),
        }
    }

    /// What a look at the requests sent to a server lately gives.
    pub fn recent<T>(&self, id: &str, look: impl FnOnce(&Recent) -> T) -> T {
        match self.known.borrow().get(id) {
            Some(known) => look(&known.sent),
            None => look(&Recent::default()),
        }
    }

    /// Requests under way at a server.
    #[must_use]
    pub fn running(&self, id: &str) -> usize {
        self.known.borrow().get(id).map_or(0, |known| known.running)
    }

    /// Avoids a server until `until`.
    pub fn suspect(&self, id: &str, until: Boot) {
        self.known
            .borrow_mut()
            .entry(id.to_owned())
            .or_default()
            .suspect = until;
    }

    /// Whether a server is avoided at `now`.
    #[must_use]
    pub fn is_suspect(&self, id: &str, now: Boot) -> bool {
        let known = self.known.borrow();
        known.get(id).is_some_and(|known| now < known.suspect)
    }

    /// Forgets servers that are gone.
    pub fn retain(&self, is_live: impl Fn(&str) -> bool) {
        let mut known = self.known.borrow_mut();
        known.retain(|id, known| known.running > 0 || is_live(id));
    }
}
