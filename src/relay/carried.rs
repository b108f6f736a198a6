//! What a connection to a backend server has carried so far.
//!
//! A faulty server may send an answer a second time, when the next answer on the connection is
//! expected. The request id in the answer tells such a copy apart, unless the connection carries
//! the same id again: then the copy looks like the answer to the repeated request.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// Number of requests after which a connection is not used again, which bounds its memory.
const REQUESTS_MAX: usize = 1024;

/// Hashes of the ids of the requests that a connection has carried.
///
/// Two ids with the same hash only cost a new connection.
#[derive(Clone, Debug, Default)]
pub struct CarriedIds(Vec<u64>);

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl CarriedIds {
    /// Adds the id of a request that is about to be sent.
    pub fn add(&mut self, id: &str) {
        self.0.push(hash(id));
    }

    /// Whether the connection may carry a request with this id.
    #[must_use]
    pub fn admits(&self, id: &str) -> bool {
        !self.0.contains(&hash(id))
    }

    /// Whether the connection has carried as many requests as it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.0.len() >= REQUESTS_MAX
    }
}
