//! HTTP listeners for callers' requests, readiness, the address directory and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::handle::handle;
use super::reply::{Body, full_body, json, status};
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::directory::{TTL, addresses};
use crate::instance::events::event;

/// Idle timeout of a connection before the first configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);
/// Backoff after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1024;

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

/// Serves callers' requests; never returns.
pub async fn serve_requests(shared: Rc<Shared>, listener: TcpListener) {
    serve_callers(listener, Rc::clone(&shared), move |request| {
        handle(Rc::clone(&shared), request)
    })
    .await;
}

/// Serves the readiness check; never returns.
pub async fn serve_ready(shared: Rc<Shared>, listener: TcpListener) {
    let answer = move |_: Request<Incoming>| {
        let ready = shared.is_ready(Boot::now());
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(Ok(status(code)))
    };
    serve_auxiliary(listener, answer).await;
}

/// Serves the addresses of instances to callers; never returns.
pub async fn serve_directory(shared: Rc<Shared>, listener: TcpListener) {
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
    serve_auxiliary(listener, answer).await;
}

/// Serves metrics; never returns.
pub async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    let answer = move |_: Request<Incoming>| {
        update_gauges(&shared);
        std::future::ready(Ok(Response::new(full_body(shared.metrics.encode()))))
    };
    serve_auxiliary(listener, answer).await;
}

/// Sets the gauges that describe the current state.
fn update_gauges(shared: &Shared) {
    let ledger = shared.ledger.borrow();
    let set = |what: &str, value: usize| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        shared.metrics.present.with_label_values(&[what]).set(value);
    };
    set("jobs_open", ledger.jobs.open().count());
    set(
        "instances_known",
        shared.instance_table.borrow().known.len(),
    );
    set("requests_active", shared.in_flight.get());
    set(
        "connections_opened",
        usize::try_from(shared.pool.opened()).unwrap_or(usize::MAX),
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

/// Serves connections with the idle timeout of the configuration.
async fn serve_callers<F, Fut>(listener: TcpListener, shared: Rc<Shared>, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let idle = move || {
        shared
            .deployment()
            .map_or(IDLE_DEFAULT, |known| known.limits.idle_timeout)
    };
    serve(listener, idle, answer).await;
}

/// Serves connections with the default idle timeout.
async fn serve_auxiliary<F, Fut>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    serve(listener, || IDLE_DEFAULT, answer).await;
}

async fn serve<F, Fut>(listener: TcpListener, idle: impl Fn() -> Duration, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(stream, idle(), answer.clone()));
            }
            Err(error) => {
                event!("accept_failed", "error" => error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<F, Fut>(stream: TcpStream, idle: Duration, answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    // A failure only delays small packets.
    let _ = stream.set_nodelay(true);
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    // An error means that the caller closed the connection; each request's outcome is logged.
    let _ = served.await;
}
