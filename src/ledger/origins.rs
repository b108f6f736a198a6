//! State folded from the log of streams: where callers' streams began.

use std::collections::HashMap;
use std::time::Duration;

use crate::boot::Boot;
use crate::instance::interfaces::{Backend, Software};

/// Time for which a stream is remembered after its last record; records of running streams are
/// written again before.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of streams that are remembered.
const STREAMS_MAX: usize = 200_000;

/// Where a stream began, which is where it may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// Version of the software of the server that began the stream.
    pub software: Software,
}

impl Origin {
    /// The origin of a stream that a server begins.
    #[must_use]
    pub fn of(backend: &Backend) -> Self {
        Self {
            service: backend.service.clone(),
            software: backend.software.clone(),
        }
    }
}

/// Origins of streams, by the id of the caller's attempt that began the stream.
#[derive(Clone, Debug, Default)]
pub struct Origins(HashMap<String, (Origin, Boot)>);

impl Origins {
    /// Notes that a stream began, or still runs, at `now`.
    ///
    /// The first origin of a stream stands.
    pub fn note(&mut self, stream: &str, origin: &Origin, now: Boot) {
        if let Some((_, noted)) = self.0.get_mut(stream) {
            *noted = now;
            return;
        }
        if self.0.len() >= STREAMS_MAX {
            self.prune(now);
        }
        if self.0.len() < STREAMS_MAX {
            self.0.insert(stream.to_owned(), (origin.clone(), now));
        }
    }

    /// Where a stream began, if known.
    #[must_use]
    pub fn get(&self, stream: &str) -> Option<&Origin> {
        self.0.get(stream).map(|(origin, _)| origin)
    }

    /// Forgets streams that were not noted for a while.
    pub fn prune(&mut self, now: Boot) {
        self.0.retain(|_, (_, noted)| now < *noted + RETENTION);
    }
}
