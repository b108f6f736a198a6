//! Tells crashes of backend servers from mere connection failures and timeouts.
//!
//! Each crash is attributed to the request that ran on the server.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::timeout;

use super::pool::Probe;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::instance::interfaces::{Backend, ServerProcess, ServerState};
use crate::ledger::record::{Crash, Record};
use crate::names::Fingerprint;
use crate::util::unix_ms;

/// Time within which a running server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an unanswered request is remembered.
///
/// Within three heartbeats, a crashed server leaves the registry or registers again.
const UNANSWERED_TTL: Duration = Duration::from_secs(6);
/// Maximum number of unanswered requests that are remembered.
const UNANSWERED_MAX: usize = 256;

/// The parts of a request that identify its repeats.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Tenant, if known.
    pub tenant: Option<&'a str>,
    /// Host of the route.
    pub host: &'a str,
    /// Method.
    pub method: &'a http::Method,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// Returns the fingerprint that all repeats of the request share.
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

/// A request without a response from a server that may have crashed.
#[derive(Clone, Debug)]
struct Unanswered {
    request: Fingerprint,
    process: ServerProcess,
    sent: Boot,
    expires: Boot,
}

/// Requests without a response, each kept until its server has ended or shuts down in an orderly
/// way, or until `UNANSWERED_TTL` has passed.
#[derive(Debug, Default)]
pub struct UnansweredRequests(RefCell<Vec<Unanswered>>);

impl UnansweredRequests {
    /// Records a request that was sent at `sent` and got no response.
    pub fn note(&self, request: Fingerprint, process: ServerProcess, sent: Boot) {
        let expires = Boot::now() + UNANSWERED_TTL;
        let mut known = self.0.borrow_mut();
        if known.len() < UNANSWERED_MAX {
            known.push(Unanswered {
                request,
                process,
                sent,
                expires,
            });
        }
    }

    /// Removes the requests of a server that shuts down in an orderly way, which is no crash.
    pub fn forget(&self, process: &ServerProcess) {
        self.0
            .borrow_mut()
            .retain(|entry| entry.process != *process);
    }

    /// Removes expired requests and those of ended servers; returns the requests that count as
    /// crashes.
    ///
    /// An unexpired request to an ended server counts if the server has sent no response since the
    /// request was sent.
    pub fn take_crashed(
        &self,
        now: Boot,
        has_ended: impl Fn(&ServerProcess) -> bool,
        has_responded: impl Fn(&ServerProcess, Boot) -> bool,
    ) -> Vec<(Fingerprint, ServerProcess)> {
        let mut crashed = Vec::new();
        self.0.borrow_mut().retain(|entry| {
            let is_over = has_ended(&entry.process);
            if is_over && now < entry.expires && !has_responded(&entry.process, entry.sent) {
                crashed.push((entry.request.clone(), entry.process.clone()));
            }
            !is_over && now < entry.expires
        });
        crashed
    }
}

/// Guard of a request in flight; dropping the guard records the request as unanswered.
///
/// [`SendGuard::disarm`] and [`SendGuard::check_crash`] disarm the guard.
#[derive(Debug)]
pub struct SendGuard<'a> {
    shared: &'a Shared,
    request: RequestParts<'a>,
    backend: &'a Backend,
    sent: Boot,
    armed: bool,
}

impl<'a> SendGuard<'a> {
    /// Guards a request that is about to be sent to a server.
    #[must_use]
    pub fn new(shared: &'a Shared, request: RequestParts<'a>, backend: &'a Backend) -> Self {
        Self {
            shared,
            request,
            backend,
            sent: Boot::now(),
            armed: true,
        }
    }

    /// Disarms the guard: the server responded or was never reached.
    pub fn disarm(mut self) {
        self.armed = false;
    }

    /// Disarms the guard after a broken connection and checks whether the server crashed.
    pub async fn check_crash(mut self) {
        self.armed = false;
        check_crash(
            self.shared,
            self.request.fingerprint(),
            self.backend,
            self.sent,
        )
        .await;
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let request = self.request.fingerprint();
            self.shared
                .unanswered
                .note(request, self.backend.process(), self.sent);
        }
    }
}

/// Checks for a server crash after the connection of a request broke.
///
/// The request was sent at `sent`. If a probe is inconclusive, the request is recorded as
/// unanswered.
pub async fn check_crash(shared: &Shared, request: Fingerprint, backend: &Backend, sent: Boot) {
    let find = |id: &str| shared.fleet.borrow().get(id).cloned();
    // A server that shuts down in an orderly way also closes its connections.
    let is_draining = find(&backend.id).is_some_and(|known| known.state == ServerState::Draining);
    if is_draining || shared.is_leaving(backend) {
        return;
    }
    let limit = shared.connections(&backend.service);
    let probe = timeout(PROBE_TIMEOUT, shared.pool.probe(backend, limit)).await;
    match probe.unwrap_or(Probe::Unknown) {
        Probe::Up => {}
        Probe::Down => record_crash(shared, &request, &backend.process()),
        Probe::Unknown => shared.unanswered.note(request, backend.process(), sent),
    }
}

/// Records a crash locally and in the ledger, which all instances read.
pub fn record_crash(shared: &Shared, request: &Fingerprint, process: &ServerProcess) {
    let now = unix_ms();
    let crash = Crash {
        request: request.clone(),
        processes: [process.clone()].into(),
        last: now,
        written: now,
    };
    let count = {
        let crashes = &mut shared.ledger.borrow_mut().crashes;
        crashes.record(crash.clone());
        crashes.count(request)
    };
    event!("server_crashed", "request" => request, "server" => process.id, "born" => process.born,
        "crashes" => count);
    shared.metrics.count_crash("seen");
    // The writer appends the record even if its result is dropped.
    drop(shared.writer.push(&Record::Crashed(crash)));
}

/// Clears the crashes of a request that ran to completion.
pub fn forgive(shared: &Shared, request: Fingerprint) {
    let wall = unix_ms();
    {
        let crashes = &mut shared.ledger.borrow_mut().crashes;
        if crashes.count(&request) == 0 {
            return;
        }
        crashes.clear(request.clone(), wall);
    }
    event!("crashes_forgiven", "request" => request);
    shared.metrics.count_crash("forgiven");
    // The writer appends the record even if its result is dropped.
    drop(shared.writer.push(&Record::Forgiven { request, wall }));
}

/// Clears the crashes of a completed request.
///
/// The fingerprint is computed only while a crash is known.
pub fn forgive_completed(shared: &Shared, request: &RequestParts<'_>) {
    let none_known = shared.ledger.borrow().crashes.is_empty();
    if !none_known {
        forgive(shared, request.fingerprint());
    }
}
