//! HTTP listeners for callers' requests, readiness, the address directory and metrics.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::{Body as HttpBody, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use super::active::{ActiveBody, OpenConnection};
use super::connections::{Close, Slot};
use super::handle::handle;
use super::reply::{Body, full_body, json, status};
use super::tracked::TrackedStream;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Limits;
use crate::instance::directory::{TTL, addresses};
use crate::instance::events::event;
use crate::instance::route_report::report;

/// Interval at which slow heads and paused bodies are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Connections above the limit from which on accepting yields to the tasks that close them.
/// Yielding for each accepted connection costs a turn of all tasks: a new caller waited for over
/// 10 s behind 250 connections.
const SURPLUS_MAX: usize = 32;
/// Smallest read buffer that the HTTP server accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8192;
/// Backoff after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A caller's connection as the HTTP server serves it.
type Served<S> = http1::Connection<TokioIo<TrackedStream>, S>;

/// Binds a listener to an address.
///
/// # Errors
/// I/O error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers' requests until the process is about to exit.
pub async fn serve_requests(shared: Rc<Shared>, listener: TcpListener) {
    serve_callers(listener, Rc::clone(&shared), move |slot, request| {
        handle(Rc::clone(&shared), slot, request)
    })
    .await;
}

/// Serves the readiness check; never returns.
pub async fn serve_ready(shared: Rc<Shared>, listener: TcpListener) {
    let state = Rc::clone(&shared);
    let answer = move |_: Request<Incoming>| {
        let ready = shared.is_ready(Boot::now());
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(Ok(status(code)))
    };
    serve_auxiliary(listener, state, answer).await;
}

/// Serves the addresses of instances to callers; never returns.
pub async fn serve_directory(shared: Rc<Shared>, listener: TcpListener) {
    let state = Rc::clone(&shared);
    let answer = move |request: Request<Incoming>| {
        let zone = query(request.uri(), "zone").unwrap_or_default().to_owned();
        let found = addresses(&shared, &zone);
        let response = if found.is_empty() {
            status(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            let ttl = TTL.min(shared.settings.bounds.address_ttl);
            json(shared.codec.encode_addresses(&found, ttl))
        };
        std::future::ready(Ok(response))
    };
    serve_auxiliary(listener, state, answer).await;
}

/// Serves metrics, and at `/route` where a request would go; never returns.
pub async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    let state = Rc::clone(&shared);
    let answer = move |request: Request<Incoming>| {
        let response = if request.uri().path() == "/route" {
            route_response(&shared, request.uri())
        } else {
            update_gauges(&shared);
            Response::new(full_body(shared.metrics.encode()))
        };
        std::future::ready(Ok(response))
    };
    serve_auxiliary(listener, state, answer).await;
}

/// Reports where a request with the query's `host` and `path` would go.
///
/// The path comes last in the query, as it may hold any separator.
fn route_response(shared: &Shared, uri: &http::Uri) -> Response<Body> {
    let path = uri.query().and_then(|query| query.split_once("path="));
    let (Some(host), Some((_, path))) = (query(uri, "host"), path) else {
        return status(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&report(shared, host, path)) {
        Ok(body) => json(body.into()),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Sets the gauges that describe the current state.
fn update_gauges(shared: &Shared) {
    let ledger = shared.ledger.borrow();
    let set = |what: &str, value: usize| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        shared.metrics.present.with_label_values(&[what]).set(value);
    };
    let millis = |span: Duration| usize::try_from(span.as_millis()).unwrap_or(usize::MAX);
    let (store, now) = (shared.outage.state(), Boot::now());
    set("store_silent_ms", millis(store.silent_for(now)));
    if let Some(answered) = store.answered {
        set("store_answer_age_ms", millis(now.since(answered)));
    }
    set("jobs_open", ledger.jobs.open().count());
    set("jobs_bytes", ledger.jobs.memory());
    set("submission_bytes", shared.job_memory.used().total);
    set(
        "instances_known",
        shared.instance_table.borrow().known.len(),
    );
    set("requests_active", shared.in_flight.get());
    set("submissions_waiting", shared.submissions_waiting.get());
    set(
        "connections_opened",
        usize::try_from(shared.pool.opened()).unwrap_or(usize::MAX),
    );
    let connections = &shared.connections;
    set("connections_open", connections.open());
    set("head_bytes", connections.head_bytes());
    let (small, large) = shared.request_bodies.used();
    set("small_body_bytes", small);
    set("large_body_bytes", large);
    let longest = connections.longest_wait(Boot::now()).as_millis();
    set(
        "longest_wait_ms",
        usize::try_from(longest).unwrap_or(usize::MAX),
    );
    set("servers_known", shared.fleet.borrow().iter().count());
    set("servers_leaving", shared.fleet.borrow().leaving());
}

/// Returns the value of a parameter in a URI's query.
#[must_use]
pub fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Periodically closes connections with slow heads or paused bodies, and reports closed ones.
pub async fn sweep(shared: Rc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Boot::now();
        shared.connections.sweep(shared.caller_limits(), now);
        for (cause, count) in shared.connections.take_closed() {
            shared
                .metrics
                .connections_closed
                .with_label_values(&[cause])
                .inc_by(count);
            event!("connections_closed", "cause" => cause, "count" => count,
                "open" => shared.connections.open(),
                "head_bytes" => shared.connections.head_bytes(),
                "longest_wait_ms" => shared.connections.longest_wait(now).as_millis());
        }
    }
}

/// Serves callers' connections until the process is about to exit; then each is closed once its
/// answer is sent.
async fn serve_callers<F, Fut>(listener: TcpListener, shared: Rc<Shared>, answer: F)
where
    F: Fn(Rc<Slot>, Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<ActiveBody>, Infallible>> + 'static,
{
    loop {
        let (stream, slot) = tokio::select! {
            accepted = accept(&shared, &listener) => accepted,
            () = shared.until_closing() => return,
        };
        let limits = shared.caller_limits();
        let (shared, answer) = (Rc::clone(&shared), answer.clone());
        let open = OpenConnection::enter(&shared);
        spawn_local(async move {
            connection(stream, slot, limits, answer, shared.until_closing()).await;
            drop(open);
        });
    }
}

/// Serves connections whose requests are answered at once, without reading their bodies; never
/// returns.
async fn serve_auxiliary<F, Fut>(listener: TcpListener, shared: Rc<Shared>, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let answer = move |slot: Rc<Slot>, request| {
        let response = answer(request);
        slot.answered();
        response
    };
    loop {
        let (stream, slot) = accept(&shared, &listener).await;
        let limits = shared.caller_limits();
        spawn_local(connection(stream, slot, limits, answer.clone(), pending()));
    }
}

/// Accepts the next connection for which there is room, or can be made.
async fn accept(shared: &Shared, listener: &TcpListener) -> (TcpStream, Rc<Slot>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let slot = shared.connections.enter();
                // Lets the tasks of connections that are closed for new ones end.
                if shared.connections.surplus() > SURPLUS_MAX {
                    yield_now().await;
                }
                if let Some(slot) = slot {
                    return (stream, slot);
                }
            }
            Err(error) => {
                event!("accept_failed", "error" => error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it ends or is evicted; once `closing` completes, no further request
/// is read from it.
async fn connection<F, Fut, B>(
    stream: TcpStream,
    slot: Rc<Slot>,
    limits: Limits,
    answer: F,
    closing: impl Future<Output = ()>,
) where
    F: Fn(Rc<Slot>, Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: HttpBody + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A failure only delays small packets.
    let _ = stream.set_nodelay(true);
    let stream = TrackedStream::new(stream, Rc::clone(&slot));
    let of_request = Rc::clone(&slot);
    let service = service_fn(move |request| {
        of_request.head_done();
        answer(Rc::clone(&of_request), request)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // Covers the idle time before a head as well; `sweep` limits the head alone.
        .header_read_timeout(limits.idle_timeout)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    // Progress goes before eviction: what has arrived may complete a request. An error means that
    // the caller closed the connection; each request's outcome is logged.
    tokio::select! {
        biased;
        _ = served.as_mut() => {}
        close = slot.until_evicted() => if close == Close::AfterResponse {
            finish(served, &slot).await;
        },
        () = closing => finish(served, &slot).await,
    }
}

/// Serves a connection until the response to its current request is sent, or it is evicted.
async fn finish<S, B>(mut served: Pin<&mut Served<S>>, slot: &Slot)
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: HttpBody + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    served.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            biased;
            _ = served.as_mut() => return,
            close = slot.until_evicted() => if close == Close::Now {
                return;
            },
        }
    }
}
