//! Completion calls: parses the body, generates, and returns a whole or streamed answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;

use crate::drain::Active;
use crate::http::{Refusal, RefusalKind, Response, full_response, stream_response};
use crate::util::{random_id, unix_ms};
use crate::wire::{EngineChunk, Run};

use super::Entry;
use super::api::{self, AnswerEncoder, Call, TokenUsage};
use super::auth::Caller;
use super::burn::MeasuredRequest;
use super::fair::PriorityClass;
use super::generate::{Generation, Job};
use super::intake::{self, Admitted, PoolRequest};
use super::key_check;
use super::key_filter;
use super::usage::Tally;

/// Engine priority of live requests.
const PRIORITY_LIVE: u32 = 0;

/// Answers a completion call and records how it met the objective.
pub(super) async fn complete(
    entry: &Arc<Entry>,
    call: Call,
    caller: Caller,
    deadline: Instant,
    body: &[u8],
) -> Result<Response, Refusal> {
    let prompt = api::parse(call, body)?;
    let measured = MeasuredRequest::start(entry, Some(&caller.tenant), &prompt.model);
    let begun = begin(entry, call, caller, deadline, prompt, measured.clone()).await;
    begun.inspect_err(|refusal| measured.refused(refusal))
}

/// Starts the generation and waits for its first chunk, then returns a stream or the whole answer.
async fn begin(
    entry: &Arc<Entry>,
    call: Call,
    caller: Caller,
    deadline: Instant,
    prompt: api::Prompt,
    measured: MeasuredRequest,
) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    key_filter::refuse_key("prompt", prompt.text.as_bytes())?;
    let cost = intake::cost(prompt.text.len(), prompt.max_tokens as usize);
    let base_cost = intake::cost(prompt.text.len(), 0);
    let encoder = AnswerEncoder {
        call,
        id: format!("cmpl-{}", random_id()),
        model: prompt.model.clone(),
        created: unix_ms() / 1_000,
    };
    let stream = prompt.stream;
    let job = job(&encoder, &caller, prompt, deadline);
    let max_tokens = job.max_tokens;
    let generation = Generation::new(Arc::clone(entry), job)?;
    let pool_request = PoolRequest {
        pool: generation.pool(),
        tenant: Some(&caller.tenant),
        class: PriorityClass::Live,
        cost,
        limited: true,
        deadline,
    };
    let entering = intake::admit(entry, pool_request);
    let admitted =
        key_check::run_while_valid(entry, &caller.digest, Run::NotRun, entering).await??;
    let mut relay = Relay {
        tally: Tally::new(entry, &caller.tenant, max_tokens),
        entry: Arc::clone(entry),
        caller,
        encoder,
        generation,
        admitted,
        base_cost,
        measured,
        _active: entry.drain.hold(),
        first: None,
        ended: false,
    };
    let first = relay.next().await?;
    let waited = arrived.elapsed().as_secs_f64();
    entry.counts.first_token(&relay.caller.tenant, waited);
    relay.first = Some(first);
    if stream {
        Ok(relay.into_stream())
    } else {
        relay.into_whole().await
    }
}

fn job(encoder: &AnswerEncoder, caller: &Caller, prompt: api::Prompt, deadline: Instant) -> Job {
    Job {
        id: encoder.id.clone(),
        tenant: caller.tenant.clone(),
        model: prompt.model.into(),
        prompt: prompt.text,
        max_tokens: prompt.max_tokens,
        priority: PRIORITY_LIVE,
        seed: prompt.seed,
        deadline,
        version: None,
        resume: Vec::new(),
        avoid: Vec::new(),
    }
}

/// Relays one generation to its caller.
struct Relay {
    entry: Arc<Entry>,
    caller: Caller,
    encoder: AnswerEncoder,
    generation: Generation,
    admitted: Admitted,
    /// Cost of the prompt in tokens.
    base_cost: f64,
    tally: Tally,
    measured: MeasuredRequest,
    _active: Active,
    /// The first chunk, until it is relayed.
    first: Option<EngineChunk>,
    ended: bool,
}

impl Relay {
    /// Returns the next chunk, and records for the objective that it came or why it did not.
    async fn next(&mut self) -> Result<EngineChunk, Refusal> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let next = self.advance().await;
        match &next {
            Ok(_) => self.measured.first(),
            Err(refusal) => self.measured.refused(refusal),
        }
        next
    }

    /// Reads the next chunk while the caller's key is valid, and counts its tokens.
    async fn advance(&mut self) -> Result<EngineChunk, Refusal> {
        let next = self.generation.next();
        let key = &self.caller.digest;
        let chunk = key_check::run_while_valid(&self.entry, key, Run::Unknown, next).await??;
        let prompt = self.generation.prompt_tokens();
        self.tally.count(prompt, chunk.tokens.len());
        let generated = self.generation.tokens().len();
        self.admitted
            .set_used(self.base_cost + intake::cost(0, generated));
        Ok(chunk)
    }

    /// Reads the generation to its end and returns one JSON answer.
    async fn into_whole(mut self) -> Result<Response, Refusal> {
        while !self.next().await?.done {}
        let text = self.generation.tokens().concat();
        let prompt_tokens = self.generation.prompt_tokens();
        let completion = u32::try_from(self.generation.tokens().len()).unwrap_or(u32::MAX);
        let usage = TokenUsage {
            prompt_tokens,
            completion_tokens: completion,
            total_tokens: prompt_tokens.saturating_add(completion),
        };
        let body = self
            .encoder
            .whole(&text, usage)
            .map_err(|error| Refusal::unknown(RefusalKind::ServerFailed, error.to_string()))?;
        Ok(full_response(
            StatusCode::OK,
            "application/json",
            Bytes::from(body),
        ))
    }

    /// Returns the generation as server-sent events.
    fn into_stream(self) -> Response {
        let events = futures_util::stream::unfold(self, |mut relay| async move {
            if relay.ended {
                return None;
            }
            let events = relay.next_events().await;
            Some((Ok(Bytes::from(events)), relay))
        });
        stream_response("text/event-stream", events)
    }

    /// Encodes the next chunk as events; a failure becomes an `error` event.
    async fn next_events(&mut self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(256);
        match self.next().await {
            Ok(chunk) => {
                self.ended = chunk.done;
                let written = self
                    .encoder
                    .event(&chunk.tokens.concat(), chunk.done, &mut buf);
                self.ended |= written.is_err();
            }
            Err(refusal) => {
                self.ended = true;
                buf.extend_from_slice(b"event: error\ndata: ");
                let problem = serde_json::to_vec(&refusal.problem()).unwrap_or_default();
                buf.extend_from_slice(&problem);
                buf.extend_from_slice(b"\n\n");
            }
        }
        buf
    }
}
