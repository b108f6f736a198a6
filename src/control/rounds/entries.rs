//! Calls of entries for samples: the own instance's entry first, then others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Method, Request, header};
use parking_lot::Mutex;
use snafu::{ResultExt as _, Snafu};

use crate::edge::Instances;
use crate::http::{Client, ClientError};
use crate::names::Secret;
use crate::wire::{Instance, InstanceState, Problem, SampleAnswer, SampleRequest};

/// Time between two readings of the instance list.
const POLL: Duration = Duration::from_secs(1);
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
    list: Arc<dyn Instances>,
    secret: Secret,
    own: String,
    others: ArcSwap<Vec<String>>,
    down: Mutex<Vec<(String, Instant)>>,
}

impl Entries {
    /// Entries of which only the own one is known yet.
    pub fn new(client: Client, list: Arc<dyn Instances>, secret: Secret, own: String) -> Self {
        Self {
            client,
            list,
            secret,
            own,
            others: ArcSwap::default(),
            down: Mutex::default(),
        }
    }

    /// Follows the instance list for ever; outages leave what is known as it is.
    pub async fn follow(&self) {
        loop {
            match self.list.list().await {
                Ok(list) => self.others.store(Arc::new(self.live(&list))),
                Err(error) => {
                    spdlog::warn!("instance list failed", kv: { error = error.to_string() });
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn live(&self, list: &[Instance]) -> Vec<String> {
        let live = list.iter().filter(|one| one.state == InstanceState::Live);
        let entries = live.map(|one| one.entry.clone());
        entries.filter(|entry| *entry != self.own).collect()
    }

    /// The entry to ask now: the own one unless it failed lately, else some other.
    fn choose(&self, now: Instant, turn: usize) -> String {
        let mut down = self.down.lock();
        down.retain(|(_, until)| now < *until);
        let is_up = |entry: &str| !down.iter().any(|(known, _)| known == entry);
        if is_up(&self.own) {
            return self.own.clone();
        }
        let others = self.others.load();
        let up: Vec<&String> = others.iter().filter(|entry| is_up(entry)).collect();
        if up.is_empty() {
            return self.own.clone();
        }
        up[turn % up.len()].clone()
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
