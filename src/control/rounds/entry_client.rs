//! Requests for samples to entries: the local instance's entry first, then others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, header};
use parking_lot::Mutex;
use snafu::{ResultExt as _, Snafu};

use crate::http::{Client, ClientError};
use crate::names::Secret;
use crate::peer::Peers;
use crate::wire::{InstanceState, Problem, SampleAnswer, SampleRequest};

/// Time for which an entry that failed is avoided.
const COOLDOWN: Duration = Duration::from_secs(2);

/// Failure of a request for a sample.
#[derive(Debug, Snafu)]
pub(super) enum SampleError {
    /// The call failed without an answer; what the entry generated is lost.
    #[snafu(display("no answer from {url}: {source}"))]
    Call {
        /// URL of the entry.
        url: String,
        /// Cause of the failure.
        source: ClientError,
    },
    /// The entry refused the request.
    #[snafu(display("{url} refused the sample: status {status}: {title}"))]
    Refused {
        /// URL of the entry.
        url: String,
        /// HTTP status of the refusal.
        status: u16,
        /// Kind of the refusal.
        title: String,
    },
    /// The request or the answer is not valid JSON.
    #[snafu(display("request to {url} or its answer is not valid JSON: {source}"))]
    Malformed {
        /// URL of the entry.
        url: String,
        /// Cause of the failure.
        source: serde_json::Error,
    },
}

/// Client for the entries of all instances.
#[derive(Debug)]
pub(super) struct EntryClient {
    client: Client,
    peers: Arc<Peers>,
    secret: Secret,
    /// Address of the local instance's entry.
    local: String,
    /// Entries that failed lately, and until when each is avoided.
    failed: Mutex<Vec<(String, Instant)>>,
}

impl EntryClient {
    /// Creates a client; `local` is the address of this instance's entry.
    pub fn new(client: Client, peers: Arc<Peers>, secret: Secret, local: String) -> Self {
        Self {
            client,
            peers,
            secret,
            local,
            failed: Mutex::default(),
        }
    }

    /// Chooses the local entry unless it failed lately, else one of the other live entries.
    ///
    /// `offset` spreads the requests over the others. If all failed lately, the local entry is
    /// chosen again.
    fn choose(&self, now: Instant, offset: usize) -> String {
        let mut failed = self.failed.lock();
        failed.retain(|(_, until)| now < *until);
        let is_available = |entry: &str| !failed.iter().any(|(address, _)| address == entry);
        if is_available(&self.local) {
            return self.local.clone();
        }
        let listed = self.peers.listed();
        let live = listed
            .iter()
            .filter(|peer| peer.state == InstanceState::Live);
        let available: Vec<&str> = live
            .map(|peer| peer.entry.as_str())
            .filter(|entry| is_available(entry))
            .collect();
        if available.is_empty() {
            return self.local.clone();
        }
        available[offset % available.len()].to_owned()
    }

    /// Requests a sample from an entry.
    pub async fn sample(
        &self,
        request: &SampleRequest,
        limit: Duration,
    ) -> Result<SampleAnswer, SampleError> {
        let offset = usize::try_from(request.seed % 1_024).unwrap_or_default();
        let entry = self.choose(Instant::now(), offset);
        let result = self.send(&entry, request, limit).await;
        let unavailable = match &result {
            Err(SampleError::Call { .. }) => true,
            Err(SampleError::Refused { title, .. }) => title == "not-fresh" || title == "leaving",
            _ => false,
        };
        if unavailable {
            self.failed.lock().push((entry, Instant::now() + COOLDOWN));
        }
        result
    }

    async fn send(
        &self,
        entry: &str,
        request: &SampleRequest,
        limit: Duration,
    ) -> Result<SampleAnswer, SampleError> {
        let url = format!("http://{entry}/internal/sample");
        let body = serde_json::to_vec(request).context(MalformedSnafu { url: &url })?;
        let secret = self.secret.reveal();
        let call = Request::builder()
            .method(Method::POST)
            .uri(&url)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {secret}"))
            .body(Bytes::from(body))
            .map_err(ClientError::malformed)
            .context(CallSnafu { url: &url })?;
        let answer = self.client.fetch(call, limit).await;
        let answer = answer.context(CallSnafu { url: &url })?;
        if answer.status().is_success() {
            return serde_json::from_slice(answer.body()).context(MalformedSnafu { url });
        }
        let status = answer.status().as_u16();
        let problem = serde_json::from_slice::<Problem>(answer.body());
        let title = problem.map_or_else(|_| String::new(), |problem| problem.title);
        RefusedSnafu { url, status, title }.fail()
    }
}
