//! Calls of entries for samples: the own instance's entry first, then others.

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

/// Time for which an entry that failed is not asked first.
const DOWN: Duration = Duration::from_secs(2);

/// Why an entry gave no sample.
#[derive(Debug, Snafu)]
pub(super) enum SampleError {
    /// No answer: what the entry made is lost.
    #[snafu(display("{url}: {source}"))]
    Call {
        /// The entry.
        url: String,
        /// The cause.
        source: ClientError,
    },
    /// The entry refused.
    #[snafu(display("{url}: status {status}: {title}"))]
    Refused {
        /// The entry.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The refusal's kind.
        title: String,
    },
    /// The answer does not parse.
    #[snafu(display("{url}: {source}"))]
    Malformed {
        /// The entry.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The entries that this control daemon may ask.
#[derive(Debug)]
pub(super) struct Entries {
    client: Client,
    peers: Arc<Peers>,
    secret: Secret,
    own: String,
    down: Mutex<Vec<(String, Instant)>>,
}

impl Entries {
    /// The entries of the listed instances; `own` is this instance's.
    pub fn new(client: Client, peers: Arc<Peers>, secret: Secret, own: String) -> Self {
        Self {
            client,
            peers,
            secret,
            own,
            down: Mutex::default(),
        }
    }

    /// The entry to ask now: the own one unless it failed lately, else some other.
    fn choose(&self, now: Instant, turn: usize) -> String {
        let mut down = self.down.lock();
        down.retain(|(_, until)| now < *until);
        let is_up = |entry: &str| !down.iter().any(|(known, _)| known == entry);
        if is_up(&self.own) {
            return self.own.clone();
        }
        let listed = self.peers.listed();
        let live = listed.iter().filter(|one| one.state == InstanceState::Live);
        let up: Vec<&str> = live
            .map(|one| one.entry.as_str())
            .filter(|entry| is_up(entry))
            .collect();
        if up.is_empty() {
            return self.own.clone();
        }
        up[turn % up.len()].to_owned()
    }

    /// Asks an entry for a sample.
    pub async fn sample(
        &self,
        request: &SampleRequest,
        limit: Duration,
    ) -> Result<SampleAnswer, SampleError> {
        let turn = usize::try_from(request.seed % 1_024).unwrap_or_default();
        let entry = self.choose(Instant::now(), turn);
        let asked = self.ask(&entry, request, limit).await;
        let gone = match &asked {
            Err(SampleError::Call { .. }) => true,
            Err(SampleError::Refused { title, .. }) => title == "not-fresh" || title == "leaving",
            _ => false,
        };
        if gone {
            self.down.lock().push((entry, Instant::now() + DOWN));
        }
        asked
    }

    async fn ask(
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
