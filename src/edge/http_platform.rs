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

/// Time within which the platform must answer, besides time it was asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// One interface's base URL and the client that calls it.
#[derive(Clone, Debug)]
struct Base {
    url: String,
    client: Client,
    last: Arc<Mutex<Option<Tagged>>>,
}

/// The last list that was read, with its entity tag.
#[derive(Clone, Debug)]
struct Tagged {
    tag: HeaderValue,
    body: Bytes,
}

impl Base {
    fn new(client: &Client, url: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            client: client.clone(),
            last: Arc::default(),
        }
    }

    /// Calls `path` below the base URL and parses the answer.
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

    /// Posts under a lease, on a connection that is closed to writes at its deadline.
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

    /// Reads the list at the base URL; one that has not changed is not sent again.
    ///
    /// An interface that knows no entity tags sends it whole each time.
    async fn list<T: DeserializeOwned>(&self) -> EdgeResult<T> {
        let (url, mut request) = self.request(Method::GET, "", String::new())?;
        let last = self.last.lock().clone();
        if let Some(last) = &last {
            let headers = request.headers_mut();
            headers.insert(header::IF_NONE_MATCH, last.tag.clone());
        }
        let answer = self.client.fetch(request, CALL_TIMEOUT).await;
        let mut answer = answer.context(CallSnafu { url: &url })?;
        if let (StatusCode::NOT_MODIFIED, Some(last)) = (answer.status(), last) {
            *answer.status_mut() = StatusCode::OK;
            *answer.body_mut() = last.body;
            return parse(&url, &answer);
        }
        let parsed = parse(&url, &answer)?;
        let tag = answer.headers().get(header::ETAG).cloned();
        let body = answer.into_body();
        *self.last.lock() = tag.map(|tag| Tagged { tag, body });
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
pub struct HttpLog(Base);

impl HttpLog {
    /// A client of the log service at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Base::new(client, url))
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
pub struct HttpInstances(Base);

impl HttpInstances {
    /// A client of the instance list at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Base::new(client, url))
    }
}

impl Instances for HttpInstances {
    fn list(&self) -> BoxFuture<'_, EdgeResult<Vec<Instance>>> {
        self.0.list().boxed()
    }
}

/// The backend server interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpServers(Base);

impl HttpServers {
    /// A client of the backend server interface at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Base::new(client, url))
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
pub struct HttpUsage(Base);

impl HttpUsage {
    /// A client of the usage interface at `url`.
    #[must_use]
    pub fn new(client: &Client, url: &str) -> Self {
        Self(Base::new(client, url))
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
