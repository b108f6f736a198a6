//! A simulated plain service that records requests and counts runs by request body.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{Method, Request};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;

use super::serve::{self, Answer, ServerHandle, json};

/// A request that reached a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct SeenRequest {
    /// Method and target.
    pub line: String,
    /// Headers as `name: value`.
    pub headers: Vec<String>,
    /// The body.
    pub body: String,
}

impl SeenRequest {
    fn new(head: &Parts, body: &[u8]) -> Self {
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
        };
        Self {
            line: format!("{} {}", head.method, head.uri),
            headers: head.headers.iter().map(header).collect(),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }
}

/// Most requests to engines that are recorded.
const ENGINE_SEEN_MAX: usize = 1_000;

/// Requests and runs, recorded for all backend servers of a platform.
#[derive(Debug, Default)]
pub struct ServiceRecord {
    seen: Mutex<Vec<SeenRequest>>,
    runs: Mutex<BTreeMap<String, u64>>,
}

impl ServiceRecord {
    /// All recorded requests.
    #[must_use]
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().clone()
    }

    /// How often each body was run by a POST request.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().clone()
    }

    /// Records a request to an engine; only the first `ENGINE_SEEN_MAX` are kept.
    pub fn record_engine(&self, head: &Parts, body: &[u8]) {
        let mut seen = self.seen.lock();
        if seen.len() < ENGINE_SEEN_MAX {
            seen.push(SeenRequest::new(head, body));
        }
    }

    /// Records a request, and counts it as a run of its body if `is_run` is set.
    ///
    /// Returns how often the body has run; 0 unless `is_run` is set.
    fn record(&self, seen: SeenRequest, is_run: bool) -> u64 {
        let body = seen.body.clone();
        self.seen.lock().push(seen);
        if !is_run {
            return 0;
        }
        let mut runs = self.runs.lock();
        let count = runs.entry(body).or_default();
        *count += 1;
        *count
    }
}

/// The answer to a request.
#[derive(Serialize)]
struct Receipt<'a> {
    server: &'a str,
    line: &'a str,
    body: &'a str,
    run: u64,
}

/// Serves a plain service whose calls each take `work`.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    server: String,
    record: Arc<ServiceRecord>,
    work: Duration,
) -> io::Result<ServerHandle> {
    let server: Arc<str> = server.into();
    serve::serve(address, move |request| {
        let (server, record) = (Arc::clone(&server), Arc::clone(&record));
        answer(server, record, work, request)
    })
    .await
}

async fn answer(
    server: Arc<str>,
    record: Arc<ServiceRecord>,
    work: Duration,
    request: Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = serve::read(body).await?;
    let seen = SeenRequest::new(&head, &body);
    let (line, body) = (seen.line.clone(), seen.body.clone());
    let run = record.record(seen, head.method == Method::POST);
    tokio::time::sleep(work).await;
    Ok(json(&Receipt {
        server: &server,
        line: &line,
        body: &body,
        run,
    }))
}
