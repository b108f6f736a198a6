//! HTTP clients of the platform's interfaces, with JSON bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;

use super::{
    CallSnafu, EdgeResult, FencedClient, FencedSnafu, Instances, Log, MalformedSnafu, RefusedSnafu,
    Servers, Stream, UsageSink,
};
use crate::http::Client;
use crate::lease::HeldLease;
use crate::wire::{Appended, Instance, LogPage, Order, OrderResult, ServerList, UsageReport};

/// Timeout of a platform call, in addition to the wait that a read asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one platform interface, with the interface's base URL.
#[derive(Clone, Debug)]
struct Endpoint {
    url: String,
    client: Client,
    cached: Arc<Mutex<Option<CachedList>>>,
}

/// The last list read, with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    tag: HeaderValue,
    body: Bytes,
}

impl Endpoint {
    fn new(client: &Client, url: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            client: client.clone(),
            cached: Arc::default(),
        }
    }

    /// Calls `path` below the base URL and parses the response.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> EdgeResult<T> {
        let (url, request) = self.request(method, path, body)?;
        let answer = self.client.fetch(request, timeout).await;
        parse(&url, &answer.context(CallSnafu { url: &url })?)
    }

    /// Posts under a lease; nothing is sent after the lease's deadline.
    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        client: FencedClient,
    ) -> EdgeResult<T> {
        let url = &self.url;
        let body = serde_json::to_string(body).context(MalformedSnafu { url })?;
        let (url, request) = self.request(Method::POST, path, body)?;
        let answer = client.send(request).await;
        parse(&url, &answer.context(FencedSnafu { url: &url })?)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> EdgeResult<(String, Request<Bytes>)> {
        let url = format!("{}{path}", self.url);
        let request = Request::builder()
            .method(method)
            .uri(&url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body));
        let request = request.map_err(crate::http::ClientError::malformed);
        let request = request.context(CallSnafu { url: &url })?;
        Ok((url, request))
    }

    /// Reads the list at the base URL, with a conditional request if a list is cached.
    ///
    /// An interface without entity tags sends the whole list each time.
    async fn list<T: DeserializeOwned>(&self) -> EdgeResult<T> {
        let (url, mut request) = self.request(Method::GET, "", String::new())?;
        let cached = self.cached.lock().clone();
        if let Some(cached) = &cached {
            let headers = request.headers_mut();
            headers.insert(header::IF_NONE_MATCH, cached.tag.clone());
        }
        let answer = self.client.fetch(request, CALL_TIMEOUT).await;
        let mut answer = answer.context(CallSnafu { url: &url })?;
        if let (StatusCode::NOT_MODIFIED, Some(cached)) = (answer.status(), cached) {
            *answer.status_mut() = StatusCode::OK;
            *answer.body_mut() = cached.body;
            return parse(&url, &answer);
        }
        let parsed = parse(&url, &answer)?;
        let tag = answer.headers().get(header::ETAG).cloned();
        let body = answer.into_body();
        *self.cached.lock() = tag.map(|tag| CachedList { tag, body });
        Ok(parsed)
    }
}

fn parse<T: DeserializeOwned>(url: &str, answer: &Response<Bytes>) -> EdgeResult<T> {
    let status = answer.status();
    if !status.is_success() {
        let detail = String::from_utf8_lossy(answer.body()).into_owned();
        let status = status.as_u16();
        return RefusedSnafu {
            url,
            status,
            detail,
        }
        .fail();
    }
    serde_json::from_slice(answer.body()).context(MalformedSnafu { url })
}

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog(Endpoint);

impl HttpLog {
    /// Creates a client of the log service at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Endpoint::new(client, url))
    }
}

impl Log for HttpLog {
    fn append(&self, stream: Stream, record: String) -> BoxFuture<'_, EdgeResult<u64>> {
        async move {
            let path = format!("/{stream}");
            let appended = self
                .0
                .call::<Appended>(Method::POST, &path, record, CALL_TIMEOUT);
            Ok(appended.await?.offset)
        }
        .boxed()
    }

    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> BoxFuture<'_, EdgeResult<LogPage>> {
        async move {
            let millis = wait.as_millis();
            let path = format!("/{stream}?from={from}&wait_ms={millis}");
            let timeout = CALL_TIMEOUT + wait;
            self.0
                .call(Method::GET, &path, String::new(), timeout)
                .await
        }
        .boxed()
    }
}

/// The instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstances(Endpoint);

impl HttpInstances {
    /// Creates a client of the instance list at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Endpoint::new(client, url))
    }
}

impl Instances for HttpInstances {
    fn list(&self) -> BoxFuture<'_, EdgeResult<Vec<Instance>>> {
        self.0.list().boxed()
    }
}

/// The backend server interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpServers(Endpoint);

impl HttpServers {
    /// Creates a client of the backend server interface at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Endpoint::new(client, url))
    }
}

impl Servers for HttpServers {
    fn list(&self) -> BoxFuture<'_, EdgeResult<ServerList>> {
        self.0.list().boxed()
    }

    fn order(&self, order: Order, held: HeldLease) -> BoxFuture<'_, EdgeResult<OrderResult>> {
        async move {
            let client = FencedClient::new(held, "order-connected");
            self.0.post("/orders", &order, client).await
        }
        .boxed()
    }
}

/// The usage interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpUsage(Endpoint);

impl HttpUsage {
    /// Creates a client of the usage interface at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Endpoint::new(client, url))
    }
}

impl UsageSink for HttpUsage {
    fn report(&self, report: UsageReport, held: HeldLease) -> BoxFuture<'_, EdgeResult<()>> {
        async move {
            let client = FencedClient::new(held, "usage-connected");
            let _: serde_json::Value = self.0.post("", &report, client).await?;
            Ok(())
        }
        .boxed()
    }
}
