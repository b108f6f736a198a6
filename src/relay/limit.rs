//! The request rates to which backend servers in need limit all instances together.
//!
//! A server names its limit in its answers, and takes it back by answering without it. Answers on
//! different connections overtake each other, so an answer without a limit counts only if its
//! request was sent after the last answer with one had arrived.

use std::collections::HashMap;

use crate::boot::Boot;
use crate::instance::interfaces::{ServerProcess, StatedLimit};

/// Lowest rate that is kept to, in requests per second.
///
/// Only an answer tells that a limit has ended, so even a server that names zero gets a request
/// now and then.
const RATE_MIN: f64 = 0.05;

/// A limit that a server process named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests per second.
    pub rate: f64,
    /// When the last answer that named it arrived, here or at the instance that told of it.
    pub heard: Boot,
}

/// A change of a server's limit: the rates before and after, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, if any.
    pub before: Option<f64>,
    /// The limit from now on, if any.
    pub after: Option<f64>,
}

/// The limits that server processes named.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    named: HashMap<ServerProcess, NamedLimit>,
}

impl Limits {
    /// Takes in what an answer says of its server's limit; returns the change, if any.
    ///
    /// The answer's request was sent at `sent`, and its head arrived at `received`.
    pub fn hear(
        &mut self,
        process: &ServerProcess,
        stated: StatedLimit,
        sent: Boot,
        received: Boot,
    ) -> Option<LimitChange> {
        let known = self.named.get(process).copied();
        let is_newer = known.is_none_or(|known| known.heard < sent);
        let after = match stated {
            StatedLimit::Unreadable => return None,
            StatedLimit::Rate(rate) => {
                let rate = rate.max(RATE_MIN);
                // Which of two overlapping answers is the newer one is unknown.
                let lowest = known.map_or(rate, |known| known.rate.min(rate));
                let rate = if is_newer { rate } else { lowest };
                let limit = NamedLimit {
                    rate,
                    heard: received,
                };
                self.named.insert(process.clone(), limit);
                Some(rate)
            }
            StatedLimit::None if is_newer => {
                self.named.remove(process);
                None
            }
            StatedLimit::None => return None,
        };
        let before = known.map(|known| known.rate);
        (before != after).then_some(LimitChange { before, after })
    }

    /// The limit of a server process, if it named one.
    #[must_use]
    pub fn get(&self, process: &ServerProcess) -> Option<&NamedLimit> {
        self.named.get(process)
    }

    /// Number of server processes with a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.named.len()
    }

    /// Whether no server process has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// Forgets the limits of server processes that are gone.
    pub fn retain(&mut self, is_live: impl Fn(&ServerProcess) -> bool) {
        self.named.retain(|process, _| is_live(process));
    }
}
