//! Client of a model engine: sends a request and reads its answer as a stream of chunks.

use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::{Stream, StreamExt as _, TryStreamExt as _};
use http::{Method, Request, header};
use http_body_util::{BodyStream, Limited};
use snafu::{ResultExt as _, Snafu};

use crate::http::{AnswerBody, Client, ClientError, RESPONSE_BYTES_MAX};
use crate::wire::{EngineChunk, EngineRequest};

use super::eject::Failure;
use super::servers::Inflight;

/// HTTP status by which an engine refuses a model or version that it does not serve.
const CONFLICT: u16 = 409;

/// Why an engine gave no complete answer.
#[derive(Debug, Snafu)]
pub(super) enum EngineError {
    /// The HTTP call failed.
    #[snafu(display("{source}"))]
    Call {
        /// The cause.
        source: ClientError,
    },
    /// The engine refused the request, which did not run.
    #[snafu(display("the engine refused the request with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The stream failed, ended before its last chunk or could not be parsed.
    #[snafu(display("the answer's stream broke off: {detail}"))]
    Broken {
        /// What was received.
        detail: String,
    },
    /// Neither response headers nor a chunk arrived within the idle timeout or the deadline.
    #[snafu(display("the engine sent nothing within the idle timeout or the deadline"))]
    Stalled,
    /// A chunk carried another request's id, or did not follow the chunk before.
    #[snafu(display("a chunk does not continue this answer: {detail}"))]
    Mismatched {
        /// What was received.
        detail: String,
    },
}

impl EngineError {
    /// Whether the request certainly did not run on the engine.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Self::Call { source } => source.is_unsent(),
            Self::Refused { .. } => true,
            Self::Broken { .. } | Self::Stalled | Self::Mismatched { .. } => false,
        }
    }

    /// Returns how the engine failed, unless the error does not count against the engine.
    pub(super) fn failure(&self) -> Option<Failure> {
        match self {
            Self::Call { source } if source.is_unsent() => Some(Failure::Unreachable),
            // The engine works, but serves another model or version.
            Self::Refused { status: CONFLICT } => None,
            _ => Some(Failure::Broken),
        }
    }
}

type Events = Pin<Box<dyn Stream<Item = Result<EngineChunk, EngineError>> + Send>>;

/// The streamed answer of an engine. Dropping the stream cancels the request.
pub(super) struct EngineStream {
    id: String,
    next_index: u32,
    events: Events,
    /// Counts the request as in flight on its server.
    pub inflight: Inflight,
}

impl std::fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineStream")
            .field("id", &self.id)
            .field("next_index", &self.next_index)
            .finish_non_exhaustive()
    }
}

impl EngineStream {
    /// Sends a request to the server of `inflight` and waits for the response headers.
    pub(super) async fn open(
        client: &Client,
        inflight: Inflight,
        request: &EngineRequest,
        deadline: Instant,
    ) -> Result<Self, EngineError> {
        let call = generate_call(&inflight.server.address, request).context(CallSnafu)?;
        let sent = tokio::time::timeout_at(deadline.into(), client.send(call)).await;
        let Ok(sent) = sent else {
            return StalledSnafu.fail();
        };
        let answer = sent.context(CallSnafu)?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            return RefusedSnafu { status }.fail();
        }
        Ok(Self {
            id: request.id.clone(),
            next_index: u32::try_from(request.resume.len()).unwrap_or(u32::MAX),
            events: Box::pin(decode_chunks(answer.into_body())),
            inflight,
        })
    }

    /// Waits for the next chunk, for at most `idle` and until `deadline`.
    pub(super) async fn next(
        &mut self,
        idle: Duration,
        deadline: Instant,
    ) -> Result<EngineChunk, EngineError> {
        let until = deadline.min(Instant::now() + idle);
        let next = tokio::time::timeout_at(until.into(), self.events.next()).await;
        let Ok(next) = next else {
            return StalledSnafu.fail();
        };
        let Some(chunk) = next else {
            let detail = "end of stream before the last chunk";
            return BrokenSnafu { detail }.fail();
        };
        let chunk = chunk?;
        self.check(&chunk)?;
        let tokens = u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        self.next_index = self.next_index.saturating_add(tokens);
        Ok(chunk)
    }

    /// Checks that a chunk echoes the request's id and follows the chunk before.
    fn check(&self, chunk: &EngineChunk) -> Result<(), EngineError> {
        if chunk.id == self.id && chunk.index == self.next_index {
            return Ok(());
        }
        let (id, index) = (&chunk.id, chunk.index);
        let detail = format!(
            "id {id} at token {index}, expected this request's id at token {}",
            self.next_index
        );
        MismatchedSnafu { detail }.fail()
    }
}

fn generate_call(address: &str, request: &EngineRequest) -> Result<Request<Bytes>, ClientError> {
    let body = serde_json::to_vec(request).unwrap_or_default();
    let call = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/generate"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body));
    call.map_err(ClientError::malformed)
}

fn decode_chunks(
    body: AnswerBody,
) -> impl Stream<Item = Result<EngineChunk, EngineError>> + Send + use<> {
    let data = BodyStream::new(Limited::new(body, RESPONSE_BYTES_MAX))
        .try_filter_map(async |frame| Ok(frame.into_data().ok()))
        .eventsource();
    data.map(|event| {
        let broken = |detail: String| EngineError::Broken { detail };
        let event = event.map_err(|error| broken(error.to_string()))?;
        serde_json::from_str(&event.data).map_err(|error| broken(error.to_string()))
    })
}
