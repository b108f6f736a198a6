//! What a connection to a backend server has carried so far.
//!
//! A faulty server may send an answer a second time, when the next answer on the connection is
//! expected. The request id in the answer tells such a copy apart, unless the connection carries
//! the same id again, or the answer has no id: then the copy looks like the answer to the later
//! request.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// Number of requests after which a connection is not used again, which bounds its memory.
const REQUESTS_MAX: usize = 1024;

/// The requests and answers that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct Carried {
    /// Hashes of the requests' ids; two ids with the same hash only cost a new connection.
    ids: Vec<u64>,
    /// Whether an answer had no id.
    unnamed: bool,
    /// Whether such an answer was to a request with an id.
    ambiguous: bool,
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl Carried {
    /// Adds a request that is about to be sent; an instance's own calls have no id.
    pub fn add_request(&mut self, id: Option<&str>) {
        self.ids.extend(id.map(hash));
    }

    /// Adds the answer to the request `id` with the id that it bears.
    pub fn add_answer(&mut self, id: Option<&str>, echoed: Option<&str>) {
        if echoed.is_none() {
            self.unnamed = true;
            self.ambiguous |= id.is_some();
        }
    }

    /// Whether the connection may carry a request: none with an id that it has carried.
    #[must_use]
    pub fn admits(&self, id: Option<&str>) -> bool {
        id.is_none_or(|id| !self.ids.contains(&hash(id)))
    }

    /// Whether the connection may carry further requests at all.
    ///
    /// After an answer that has no id though its request had one, a copy of it could not be told
    /// from such an answer to the next request.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.ids.len() < REQUESTS_MAX && !self.ambiguous
    }

    /// Whether an answer with the id `echoed` belongs to the request `id`, the last one carried.
    ///
    /// A success repeats the request's id. Another answer may omit it, which is only certain if no
    /// earlier answer on the connection had no id. Answers to an instance's own calls have none.
    #[must_use]
    pub fn is_answer(&self, id: Option<&str>, echoed: Option<&str>, is_success: bool) -> bool {
        match (id, echoed) {
            (Some(id), Some(echoed)) => id == echoed,
            (Some(_), None) => !is_success && !self.unnamed,
            (None, echoed) => echoed.is_none(),
        }
    }
}
