//! Orders servers to load the weight versions that trainers name.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use snafu::{ResultExt as _, Snafu};
use tokio::time::sleep;

use super::moving::Board;
use super::waves::{Caution, Loadable, next};
use super::{Driver, Models};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::edge::{Backend, Dispatch, EngineReport, LoadMode, LoadOrder};
use crate::instance::events::event;
use crate::ledger::record::Subject;
use crate::names::Fingerprint;
use crate::relay::call::{self, Answer, CallError, Outgoing};
use crate::relay::crash;
use crate::util::unix_ms;

/// Time within which a server answers a report call or an order.
const ANSWER: Duration = Duration::from_millis(900);
/// Time of a load before one was measured.
const LOAD_START: Duration = Duration::from_millis(800);
/// Share of the usual time of a load after which the server is looked at.
const LOOK_SHARE: f64 = 0.95;
/// Pause between two looks at a server that still loads.
const POLL: Duration = Duration::from_millis(120);
/// Time after which a load is ordered again.
const LOAD_MAX: Duration = Duration::from_secs(6);
/// Pause after an order without effect.
const RETRY: Duration = Duration::from_millis(400);

/// Weights of one start of a server, as far as this process knows better than the registry.
#[derive(Debug, Default)]
pub struct Weights {
    known: RefCell<HashMap<(String, u64), Known>>,
    /// The shortest time that a load took.
    shortest: Cell<Option<Duration>>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    versions: HashMap<String, u64>,
    loading: bool,
    rest: Boot,
}

#[derive(Debug, Snafu)]
enum OrderError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The server was lost while it loaded.
    #[snafu(display("lost while loading: {source}"))]
    Lost { source: CallError },
    /// The server ended, or started again, while it loaded.
    #[snafu(display("ended while loading"))]
    Ended,
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed report: {detail}"))]
    Report { detail: String },
    #[snafu(display("the lease is not held any more"))]
    Lease,
    #[snafu(display("not loaded in time"))]
    Slow,
    #[snafu(display("the server leaves"))]
    Leaving,
}

impl OrderError {
    /// The same error of the call that ordered the load: the server may have taken it.
    fn of_order(self) -> Self {
        match self {
            Self::Call { source } if !source.is_unsent() => Self::Lost { source },
            other => other,
        }
    }

    /// The same error of a call that came after the order.
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

    /// The weight version of a server's model.
    #[must_use]
    pub fn version(&self, backend: &Backend, model: &str) -> u64 {
        let known = self.known.borrow();
        let seen = known.get(&Self::key(backend));
        let seen = seen.and_then(|seen| seen.versions.get(model)).copied();
        let registered = backend.weights.get(model).copied();
        seen.max(registered).unwrap_or(1)
    }

    /// Whether a load under way at an earlier start of a server has not been seen to end.
    fn is_unsettled(&self, backend: &Backend) -> bool {
        let known = self.known.borrow();
        let mut starts = known.iter().filter(|((id, _), _)| *id == backend.id);
        starts.any(|((_, born), known)| *born != backend.born && known.loading)
    }

    /// Whether a server loads weights.
    #[must_use]
    pub fn is_loading(&self, backend: &Backend) -> bool {
        let known = self.known.borrow();
        known
            .get(&Self::key(backend))
            .is_some_and(|known| known.loading)
    }

    fn is_resting(&self, backend: &Backend, now: Boot) -> bool {
        let known = self.known.borrow();
        known
            .get(&Self::key(backend))
            .is_some_and(|known| now < known.rest)
    }

    fn update(&self, backend: &Backend, change: impl FnOnce(&mut Known)) {
        change(
            self.known
                .borrow_mut()
                .entry(Self::key(backend))
                .or_default(),
        );
    }

    /// Time that a load usually takes at least.
    fn usual(&self) -> Duration {
        self.shortest
            .get()
            .unwrap_or(LOAD_START)
            .saturating_sub(POLL)
    }

    fn measure(&self, took: Duration) {
        let shortest = self.shortest.get().map_or(took, |known| known.min(took));
        self.shortest.set(Some(shortest));
    }

    /// Forgets servers that are gone.
    pub fn retain(&self, is_live: impl Fn(&str, u64) -> bool) {
        self.known
            .borrow_mut()
            .retain(|(id, born), known| known.loading || is_live(id, *born));
    }
}

/// Starts the loads of a service that are due.
///
/// `waiting` holds the models whose items wait for a server.
pub(super) fn step(driver: &Rc<Driver>, service: &str, waiting: &Models) {
    let shared = &driver.shared;
    let now = Boot::now();
    let subject = Subject::Service(service.to_owned());
    if shared.held(&subject, now).is_none() || shared.leaving.get().is_some() {
        return;
    }
    let fleet = shared.fleet.borrow();
    let usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
    let named = shared.named.borrow();
    let mut models = Vec::new();
    let mut servers = Vec::new();
    let wall = unix_ms();
    for backend in &usable {
        let model = driver.model_of(backend);
        let named = named.get(&model).copied().unwrap_or_default();
        servers.push(Loadable {
            caution: caution(shared, &model, named, wall),
            version: driver.weights.version(backend, &model),
            named,
            oldest: driver.oldest(&model).min(named),
            loading: driver.weights.is_loading(backend)
                || driver.weights.is_unsettled(backend)
                || driver.weights.is_resting(backend, now),
            running: shared.load.running(&backend.id),
            wanted: waiting.contains(&model),
        });
        models.push(model);
    }
    let mut board = Board::new(driver, service, now);
    for at in next(&servers) {
        let backend = Rc::clone(usable[at]);
        let is_empty = servers[at].running == 0 || board.empty(driver, &backend.id);
        if !is_empty && servers[at].version >= servers[at].oldest {
            continue;
        }
        driver
            .weights
            .update(&backend, |known| known.loading = true);
        let driver = Rc::clone(driver);
        let model = models[at].clone();
        let version = servers[at].named;
        tokio::task::spawn_local(async move { load(&driver, &backend, &model, version).await });
    }
}

/// What repeated loads of a version have in common.
fn fingerprint(model: &str, version: u64) -> Fingerprint {
    Fingerprint::of(&["weights", model, &version.to_string()])
}

fn caution(shared: &Shared, model: &str, version: u64, wall: u64) -> Caution {
    let crashes = &shared.fold.borrow().crashes;
    if crashes.is_empty() {
        return Caution::None;
    }
    match crashes.owed_at(&fingerprint(model, version)) {
        None => Caution::None,
        Some(at) if at <= wall => Caution::Alone,
        Some(_) => Caution::Wait,
    }
}

async fn load(driver: &Driver, backend: &Backend, model: &str, version: u64) {
    let started = Boot::now();
    let result = order(driver, backend, model, version).await;
    let took = Boot::now().since(started).as_millis();
    match result {
        Ok(reached) => {
            event!("weights_loaded", "server" => backend.id, "model" => model,
                "version" => reached, "took_ms" => took);
            driver.weights.update(backend, |known| {
                known.versions.insert(model.to_owned(), reached);
            });
            crash::forgive(&driver.shared, fingerprint(model, version));
        }
        Err(error) => {
            let order = fingerprint(model, version);
            match error {
                OrderError::Lost { .. } => {
                    crash::broke(&driver.shared, order, backend, started).await;
                }
                OrderError::Ended => crash::crashed(&driver.shared, &order, &backend.life()),
                _ => {}
            }
            event!("weights_failed", "server" => backend.id, "model" => model,
                "version" => version, "took_ms" => took, "error" => error);
            let rest = Boot::now() + RETRY;
            driver.weights.update(backend, |known| known.rest = rest);
        }
    }
    driver
        .weights
        .update(backend, |known| known.loading = false);
    driver.shared.changed.notify_waiters();
}

async fn order(
    driver: &Driver,
    backend: &Backend,
    model: &str,
    version: u64,
) -> Result<u64, OrderError> {
    let shared = &driver.shared;
    let report = report(shared, backend).await?;
    let has = |report: &EngineReport| report.weights.get(model).copied().unwrap_or_default();
    if has(&report) >= version && !report.busy {
        return Ok(has(&report));
    }
    if !report.busy {
        let single = driver.single_version(model);
        let idle = shared.load.running(&backend.id) == 0;
        let mode = if single || idle {
            LoadMode::Await
        } else {
            LoadMode::Retain
        };
        let sent = send(shared, backend, model, version, mode, report.orders).await;
        sent.map_err(OrderError::of_order)?;
    }
    let sent = Boot::now();
    let deadline = sent + LOAD_MAX;
    let look = sent + driver.weights.usual().mul_f64(LOOK_SHARE);
    while Boot::now() < deadline {
        sleep(POLL).await;
        let known = shared.fleet.borrow().get(&backend.id).cloned();
        if known.is_none_or(|known| known.born != backend.born) {
            return EndedSnafu.fail();
        }
        if Boot::now() < look {
            continue;
        }
        let report = self::report(shared, backend).await;
        let report = report.map_err(OrderError::while_loading)?;
        if !report.busy && has(&report) >= version {
            driver.weights.measure(Boot::now().since(sent));
            return Ok(has(&report));
        }
    }
    SlowSnafu.fail()
}

async fn send(
    shared: &Shared,
    backend: &Backend,
    model: &str,
    version: u64,
    mode: LoadMode,
    orders: u64,
) -> Result<(), OrderError> {
    let subject = Subject::Service(backend.service.clone());
    let holder = shared.held(&subject, Boot::now());
    let Some(holder) = holder.filter(|_| shared.leaving.get().is_none()) else {
        return LeaseSnafu.fail();
    };
    // Its report may just have said so.
    if shared.is_leaving(backend) {
        return LeavingSnafu.fail();
    }
    let order = LoadOrder {
        model,
        version,
        mode,
        expected: Some(orders),
        holder: &holder,
        server: &backend.id,
    };
    event!("weights_order", "server" => backend.id, "model" => model, "version" => version,
        "mode" => format!("{mode:?}"), "expected" => orders, "fence" => holder.fence);
    let answer = exchange(shared, backend, shared.dialect.load(&order)).await?;
    let status = answer.whole.status();
    if status.is_success() {
        return Ok(());
    }
    StatusSnafu { status }.fail()
}

async fn report(shared: &Shared, backend: &Backend) -> Result<EngineReport, OrderError> {
    let answer = exchange(shared, backend, shared.dialect.report()).await?;
    let status = answer.whole.status();
    if !status.is_success() {
        return StatusSnafu { status }.fail();
    }
    let report = shared.dialect.decode_report(answer.whole.body());
    report.map_err(|detail| OrderError::Report { detail })
}

async fn exchange(
    shared: &Shared,
    backend: &Backend,
    request: http::Request<bytes::Bytes>,
) -> Result<Answer, OrderError> {
    let (head, body) = request.into_parts();
    let outgoing = Outgoing {
        method: head.method,
        target: head.uri.path(),
        headers: &head.headers,
        body,
    };
    let dispatch = Dispatch {
        server: &backend.id,
        ..Dispatch::default()
    };
    let call = call::exchange(shared, backend, &outgoing, &dispatch, ANSWER);
    call.await.context(CallSnafu)
}
