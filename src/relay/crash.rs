//! Tells crashes of backend servers from connections that only broke or fell silent, by the
//! request that ran there.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::timeout;

use super::pool::Probe;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::edge::{Backend, Life, ServerState};
use crate::instance::events::event;
use crate::ledger::record::{Crash, Record};
use crate::names::Fingerprint;
use crate::util::unix_ms;

/// Time within which a server that is up takes a connection.
const PROBE: Duration = Duration::from_millis(100);
/// Time for which a request without an answer is remembered: a crashed server leaves the
/// registry, or is back in it, within three of its heartbeats.
const REMEMBERED: Duration = Duration::from_secs(6);
/// Requests without an answer that are remembered.
const UNANSWERED_MAX: usize = 256;

/// What makes requests repeats of each other.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Tenant, if one is known.
    pub tenant: Option<&'a str>,
    /// Host of its route.
    pub host: &'a str,
    /// Method.
    pub method: &'a http::Method,
    /// Path with its query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// The fingerprint that repeats share.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let parts: [&[u8]; 5] = [
            self.tenant.unwrap_or_default().as_bytes(),
            self.host.as_bytes(),
            self.method.as_str().as_bytes(),
            self.target.as_bytes(),
            self.body,
        ];
        Fingerprint::of(&parts)
    }
}

/// A request that got no answer from a server which may have crashed.
#[derive(Clone, Debug)]
struct Unanswered {
    request: Fingerprint,
    life: Life,
    sent: Boot,
    forgotten: Boot,
}

/// Requests that got no answer from servers of which nothing was heard since.
#[derive(Debug, Default)]
pub struct Silences(RefCell<Vec<Unanswered>>);

impl Silences {
    /// Remembers a request that was sent at `sent` and given up.
    pub fn note(&self, request: Fingerprint, life: Life, sent: Boot) {
        let forgotten = Boot::now() + REMEMBERED;
        let mut known = self.0.borrow_mut();
        if known.len() < UNANSWERED_MAX {
            known.push(Unanswered {
                request,
                life,
                sent,
                forgotten,
            });
        }
    }

    /// Forgets the requests of a server that leaves.
    pub fn forget(&self, life: &Life) {
        self.0.borrow_mut().retain(|one| one.life != *life);
    }

    /// Forgets the requests of servers that have ended, and gives those that they were given
    /// up with, if nothing was heard of the server since.
    pub fn ended(
        &self,
        now: Boot,
        is_over: impl Fn(&Life) -> bool,
        is_heard: impl Fn(&Life, Boot) -> bool,
    ) -> Vec<(Fingerprint, Life)> {
        let mut ended = Vec::new();
        self.0.borrow_mut().retain(|one| {
            let over = is_over(&one.life);
            if over && now < one.forgotten && !is_heard(&one.life, one.sent) {
                ended.push((one.request.clone(), one.life.clone()));
            }
            !over && now < one.forgotten
        });
        ended
    }
}

/// A send under way. Dropping it without an answer leaves the request among those unanswered.
#[derive(Debug)]
pub struct Sent<'a> {
    shared: &'a Shared,
    request: RequestParts<'a>,
    backend: &'a Backend,
    at: Boot,
    open: bool,
}

impl<'a> Sent<'a> {
    /// A request that is being sent to a server.
    #[must_use]
    pub fn new(shared: &'a Shared, request: RequestParts<'a>, backend: &'a Backend) -> Self {
        Self {
            shared,
            request,
            backend,
            at: Boot::now(),
            open: true,
        }
    }

    /// Notes that the server answered, or was never reached.
    pub fn settled(mut self) {
        self.open = false;
    }

    /// Notes that the connection broke, and looks whether the server crashed.
    pub async fn broke(mut self) {
        self.open = false;
        broke(
            self.shared,
            self.request.fingerprint(),
            self.backend,
            self.at,
        )
        .await;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if self.open {
            let request = self.request.fingerprint();
            self.shared
                .silences
                .note(request, self.backend.life(), self.at);
        }
    }
}

/// Looks whether a server crashed under a request that was sent at `sent` and whose connection
/// broke.
pub async fn broke(shared: &Shared, request: Fingerprint, backend: &Backend, sent: Boot) {
    let fleet = |id: &str| shared.fleet.borrow().get(id).cloned();
    // The end of a server that leaves is no crash.
    let is_draining = fleet(&backend.id).is_some_and(|known| known.state == ServerState::Draining);
    if is_draining || shared.is_leaving(backend) {
        return;
    }
    let limit = shared.connections(&backend.service);
    let probe = timeout(PROBE, shared.pool.probe(backend, limit)).await;
    match probe.unwrap_or(Probe::Unknown) {
        Probe::Up => {}
        Probe::Down => crashed(shared, &request, &backend.life()),
        Probe::Unknown => shared.silences.note(request, backend.life(), sent),
    }
}

/// Notes a crash here, and has all instances know of it.
pub fn crashed(shared: &Shared, request: &Fingerprint, life: &Life) {
    let now = unix_ms();
    let crash = Crash {
        request: request.clone(),
        lives: [life.clone()].into(),
        last: now,
        made: now,
    };
    let count = {
        let crashes = &mut shared.fold.borrow_mut().crashes;
        crashes.note(crash.clone());
        crashes.count(request)
    };
    event!("server_crashed", "request" => request, "server" => life.id, "born" => life.born,
        "crashes" => count);
    shared.metrics.crash("seen");
    // It is written whether or not anybody waits for it.
    drop(shared.writer.push(&Record::Crashed(crash)));
}

/// Forgives a request that ran to its end, if servers crashed under it.
pub fn forgive(shared: &Shared, request: Fingerprint) {
    let wall = unix_ms();
    {
        let crashes = &mut shared.fold.borrow_mut().crashes;
        if crashes.count(&request) == 0 {
            return;
        }
        crashes.forgive(request.clone(), wall);
    }
    event!("crashes_forgiven", "request" => request);
    shared.metrics.crash("forgiven");
    // As for a crash.
    drop(shared.writer.push(&Record::Forgiven { request, wall }));
}

/// Forgives a request that ran to its end; nothing is worked out while no crash is known.
pub fn ran(shared: &Shared, request: &RequestParts<'_>) {
    let is_quiet = shared.fold.borrow().crashes.is_empty();
    if !is_quiet {
        forgive(shared, request.fingerprint());
    }
}
