//! Orders servers to load the weight versions that trainers name.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use snafu::{ResultExt as _, Snafu};
use tokio::time::sleep;

use super::load_policy::{Caution, Loadable, next_loads};
use super::move_plan::MovePlan;
use super::{Models, Scheduler};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::instance::interfaces::{Backend, EngineReport, LoadMode, LoadRequest, UpstreamHeaders};
use crate::ledger::record::Subject;
use crate::names::Fingerprint;
use crate::relay::call::{self, CallError, FullResponse, OutgoingRequest};
use crate::relay::crash;
use crate::util::unix_ms;

/// Timeout of a report call or a load order.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Assumed duration of a load until one has been measured.
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(800);
/// Share of the expected load time after which polling starts.
const FIRST_POLL_SHARE: f64 = 0.95;
/// Calls that a load needs at once: the report and the order.
const LOAD_CALLS: u32 = 2;
/// Time between two polls of a server that is loading.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a load counts as failed and is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Cooldown of a server after a failed load.
const RETRY_COOLDOWN: Duration = Duration::from_millis(400);

/// What this process knows of weight loads beyond the registry, by id and start time of the server.
#[derive(Debug, Default)]
pub struct Weights {
    known: RefCell<HashMap<(String, u64), LoadState>>,
    /// The shortest load time measured.
    shortest: Cell<Option<Duration>>,
}

#[derive(Clone, Debug, Default)]
struct LoadState {
    versions: HashMap<String, u64>,
    loading: bool,
    cooldown_until: Boot,
}

#[derive(Debug, Snafu)]
enum OrderError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The connection to the server failed while it was loading.
    #[snafu(display("connection failed while the server was loading: {source}"))]
    Lost { source: CallError },
    /// The server exited or restarted while it was loading.
    #[snafu(display("the server exited or restarted while loading"))]
    Ended,
    #[snafu(display("the server answered with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed engine report: {detail}"))]
    Report { detail: String },
    #[snafu(display("the lease of the service is no longer held"))]
    Lease,
    #[snafu(display("the server did not load the weights in time"))]
    Slow,
    #[snafu(display("the server is leaving"))]
    Leaving,
}

impl OrderError {
    /// Converts an error of the load order itself: a server may have accepted the order although
    /// the call failed.
    fn for_order(self) -> Self {
        match self {
            Self::Call { source } if !source.is_unsent() => Self::Lost { source },
            other => other,
        }
    }

    /// Converts an error of a call made after the load order.
    fn while_loading(self) -> Self {
        match self {
            Self::Call { source } if !source.is_busy() => Self::Lost { source },
            other => other,
        }
    }
}

impl Weights {
    fn key(backend: &Backend) -> (String, u64) {
        (backend.id.clone(), backend.born)
    }

    /// The weight version of a model that a server has; 1 if none is known.
    #[must_use]
    pub fn version(&self, backend: &Backend, model: &str) -> u64 {
        let known = self.known.borrow();
        let seen = known.get(&Self::key(backend));
        let seen = seen.and_then(|seen| seen.versions.get(model)).copied();
        let registered = backend.weights.get(model).copied();
        seen.max(registered).unwrap_or(1)
    }

    /// Whether a load ordered at an earlier start of the server still counts as in progress.
    fn has_unfinished_load(&self, backend: &Backend) -> bool {
        let known = self.known.borrow();
        let mut starts = known.iter().filter(|((id, _), _)| *id == backend.id);
        starts.any(|((_, born), known)| *born != backend.born && known.loading)
    }

    /// Whether a server is loading weights.
    #[must_use]
    pub fn is_loading(&self, backend: &Backend) -> bool {
        let known = self.known.borrow();
        known
            .get(&Self::key(backend))
            .is_some_and(|known| known.loading)
    }

    fn is_cooling_down(&self, backend: &Backend, now: Boot) -> bool {
        let known = self.known.borrow();
        known
            .get(&Self::key(backend))
            .is_some_and(|known| now < known.cooldown_until)
    }

    fn update(&self, backend: &Backend, change: impl FnOnce(&mut LoadState)) {
        change(
            self.known
                .borrow_mut()
                .entry(Self::key(backend))
                .or_default(),
        );
    }

    /// Expected load time: the shortest one measured, less a poll interval, since the end of a
    /// load is noticed up to one poll late.
    fn expected_time(&self) -> Duration {
        self.shortest
            .get()
            .unwrap_or(DEFAULT_LOAD_TIME)
            .saturating_sub(POLL_INTERVAL)
    }

    fn record_time(&self, took: Duration) {
        let shortest = self.shortest.get().map_or(took, |known| known.min(took));
        self.shortest.set(Some(shortest));
    }

    /// Drops the state of servers that are gone, except while a load is in progress.
    pub fn retain(&self, is_live: impl Fn(&str, u64) -> bool) {
        self.known
            .borrow_mut()
            .retain(|(id, born), known| known.loading || is_live(id, *born));
    }
}

/// Starts the weight loads of a service that are due.
///
/// `waiting` holds the models with items that wait for a server.
pub(super) fn start_loads(scheduler: &Rc<Scheduler>, service: &str, waiting: &Models) {
    let shared = &scheduler.shared;
    let now = Boot::now();
    let subject = Subject::Service(service.to_owned());
    if shared.usable_lease(&subject, now).is_none() || shared.leaving.get().is_some() {
        return;
    }
    let fleet = shared.fleet.borrow();
    let usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
    let requested = shared.requested_versions.borrow();
    let mut models = Vec::new();
    let mut servers = Vec::new();
    let wall = unix_ms();
    for backend in &usable {
        let model = scheduler.model_of(backend);
        let requested = requested.get(&model).copied().unwrap_or_default();
        servers.push(Loadable {
            caution: if shared.has_control_permits(backend, LOAD_CALLS) {
                caution(shared, &model, requested, wall)
            } else {
                Caution::Wait
            },
            version: scheduler.weights.version(backend, &model),
            requested,
            oldest_accepted: scheduler.oldest_accepted(&model).min(requested),
            loading: scheduler.weights.is_loading(backend)
                || scheduler.weights.has_unfinished_load(backend)
                || scheduler.weights.is_cooling_down(backend, now),
            running: shared.load.running(&backend.id),
            in_demand: waiting.contains(&model),
        });
        models.push(model);
    }
    let mut plan = MovePlan::new(scheduler, service, now);
    for at in next_loads(&servers) {
        let backend = Rc::clone(usable[at]);
        // Weights that every open job accepts are replaced only on an empty server.
        let is_empty = servers[at].running == 0 || plan.drain(scheduler, &backend.id);
        if !is_empty && servers[at].version >= servers[at].oldest_accepted {
            continue;
        }
        scheduler
            .weights
            .update(&backend, |known| known.loading = true);
        let scheduler = Rc::clone(scheduler);
        let model = models[at].clone();
        let version = servers[at].requested;
        tokio::task::spawn_local(async move { load(&scheduler, &backend, &model, version).await });
    }
}

/// Identifies loads of the same version in the crash records.
fn fingerprint(model: &str, version: u64) -> Fingerprint {
    Fingerprint::of(&["weights", model, &version.to_string()])
}

/// Restriction on loading a version, from the crashes recorded during its loads.
fn caution(shared: &Shared, model: &str, version: u64, wall: u64) -> Caution {
    let crashes = &shared.ledger.borrow().crashes;
    if crashes.is_empty() {
        return Caution::None;
    }
    match crashes.retry_at(&fingerprint(model, version)) {
        None => Caution::None,
        Some(at) if at <= wall => Caution::OneAtATime,
        Some(_) => Caution::Wait,
    }
}

/// Loads a version on a server and records the outcome.
async fn load(scheduler: &Scheduler, backend: &Backend, model: &str, version: u64) {
    let started = Boot::now();
    let result = order(scheduler, backend, model, version).await;
    let took = Boot::now().since(started).as_millis();
    match result {
        Ok(reached) => {
            event!("weights_loaded", "server" => backend.id, "model" => model,
                "version" => reached, "took_ms" => took);
            scheduler.weights.update(backend, |known| {
                known.versions.insert(model.to_owned(), reached);
            });
            crash::forgive(&scheduler.shared, fingerprint(model, version));
        }
        Err(error) => {
            let order = fingerprint(model, version);
            match error {
                OrderError::Lost { .. } => {
                    crash::check_crash(&scheduler.shared, order, backend, started).await;
                }
                OrderError::Ended => {
                    crash::record_crash(&scheduler.shared, &order, &backend.process());
                }
                _ => {}
            }
            event!("weights_failed", "server" => backend.id, "model" => model,
                "version" => version, "took_ms" => took, "error" => error);
            let cooldown_until = Boot::now() + RETRY_COOLDOWN;
            scheduler
                .weights
                .update(backend, |known| known.cooldown_until = cooldown_until);
        }
    }
    scheduler
        .weights
        .update(backend, |known| known.loading = false);
    scheduler.shared.state_changed.notify_waiters();
}

/// Orders a load, unless one is in progress, and waits for it; returns the version reached.
async fn order(
    scheduler: &Scheduler,
    backend: &Backend,
    model: &str,
    version: u64,
) -> Result<u64, OrderError> {
    let shared = &scheduler.shared;
    let report = report(shared, backend).await?;
    let has = |report: &EngineReport| report.weights.get(model).copied().unwrap_or_default();
    if has(&report) >= version && !report.busy {
        return Ok(has(&report));
    }
    if !report.busy {
        let single = scheduler.requires_single_version(model);
        let idle = shared.load.running(&backend.id) == 0;
        let mode = if single || idle {
            LoadMode::Await
        } else {
            LoadMode::Retain
        };
        let sent = send(shared, backend, model, version, mode, report.orders).await;
        sent.map_err(OrderError::for_order)?;
    }
    let sent = Boot::now();
    let deadline = sent + LOAD_TIMEOUT;
    let first_poll = sent + scheduler.weights.expected_time().mul_f64(FIRST_POLL_SHARE);
    while Boot::now() < deadline {
        sleep(POLL_INTERVAL).await;
        let known = shared.fleet.borrow().get(&backend.id).cloned();
        if known.is_none_or(|known| known.born != backend.born) {
            return EndedSnafu.fail();
        }
        if Boot::now() < first_poll || !shared.has_control_permits(backend, 1) {
            continue;
        }
        let report = self::report(shared, backend).await;
        let report = report.map_err(OrderError::while_loading)?;
        if !report.busy && has(&report) >= version {
            scheduler.weights.record_time(Boot::now().since(sent));
            return Ok(has(&report));
        }
    }
    SlowSnafu.fail()
}

/// Sends a load order under the service's lease.
///
/// The server refuses the order unless it has accepted exactly `orders` orders before.
async fn send(
    shared: &Shared,
    backend: &Backend,
    model: &str,
    version: u64,
    mode: LoadMode,
    orders: u64,
) -> Result<(), OrderError> {
    let subject = Subject::Service(backend.service.clone());
    let holder = shared.usable_lease(&subject, Boot::now());
    let Some(holder) = holder.filter(|_| shared.leaving.get().is_none()) else {
        return LeaseSnafu.fail();
    };
    // The report that was just read took a while, and may have announced that the server leaves.
    if !shared.takes_requests(backend) {
        return LeavingSnafu.fail();
    }
    let order = LoadRequest {
        model,
        version,
        mode,
        expected: Some(orders),
        holder: &holder,
        server: &backend.id,
    };
    event!("weights_order", "server" => backend.id, "model" => model, "version" => version,
        "mode" => format!("{mode:?}"), "expected" => orders, "fence" => holder.fence);
    let answer = exchange(shared, backend, shared.codec.load_request(&order)).await?;
    let status = answer.response.status();
    if status.is_success() {
        return Ok(());
    }
    StatusSnafu { status }.fail()
}

async fn report(shared: &Shared, backend: &Backend) -> Result<EngineReport, OrderError> {
    let answer = exchange(shared, backend, shared.codec.report_request()).await?;
    let status = answer.response.status();
    if !status.is_success() {
        return StatusSnafu { status }.fail();
    }
    let report = shared.codec.decode_report(answer.response.body());
    report.map_err(|detail| OrderError::Report { detail })
}

async fn exchange(
    shared: &Shared,
    backend: &Backend,
    request: http::Request<bytes::Bytes>,
) -> Result<FullResponse, OrderError> {
    let (head, body) = request.into_parts();
    let outgoing = OutgoingRequest {
        method: head.method,
        target: head.uri.path(),
        headers: &head.headers,
        body,
    };
    let added_headers = UpstreamHeaders {
        server: &backend.id,
        ..UpstreamHeaders::default()
    };
    let call = call::exchange(shared, backend, &outgoing, &added_headers, CALL_TIMEOUT);
    call.await.context(CallSnafu)
}
