//! One sample for a control daemon: generated here, so that tokens never pass control.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::http::{Refusal, RefusalKind, Response, json};
use crate::util::instant_of;
use crate::wire::{SampleAnswer, SampleRequest};

use super::Entry;
use super::generate::{Generation, Job};
use super::usage::Tally;

/// Engine priority of rollout work.
const PRIORITY_ROLLOUT: u32 = 10;
/// Engine priority of rollout work that holds up a step.
const PRIORITY_URGENT: u32 = 9;

/// Generates one sample; a part of it is an answer too, which can be resumed.
pub(super) async fn sample(entry: &Arc<Entry>, body: &[u8]) -> Result<Response, Refusal> {
    let request: SampleRequest = serde_json::from_slice(body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))?;
    let held = request.resume.len();
    let mut segments = request.segments;
    let job = Job {
        id: request.id,
        tenant: request.tenant.into(),
        model: request.model.into(),
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        priority: if request.urgent {
            PRIORITY_URGENT
        } else {
            PRIORITY_ROLLOUT
        },
        seed: Some(request.seed),
        deadline: instant_of(request.deadline_ms),
        version: request.version,
        resume: request.resume,
        avoid: request.avoid.into_iter().map(Into::into).collect(),
    };
    let most = job
        .max_tokens
        .saturating_sub(u32::try_from(held).unwrap_or(u32::MAX));
    let mut tally = Tally::new(entry, &job.tenant, most);
    if held > 0 {
        tally = tally.resumed();
    }
    let mut generation = Generation::new(Arc::clone(entry), job)?;
    let slice = Duration::from_millis(request.slice_ms);
    let done = run(&mut generation, &mut tally, held, slice).await?;
    for segment in generation.segments() {
        super::generate::add_segment(&mut segments, segment.version, segment.tokens);
    }
    let server = generation.server().map(ToString::to_string);
    let answer = SampleAnswer {
        tokens: generation.tokens().to_vec(),
        segments,
        done,
        server: server.unwrap_or_default(),
    };
    Ok(json(StatusCode::OK, &answer))
}

/// Runs a generation until it is whole, or broken, or its slice is over.
///
/// The slice counts from the first token, so that waiting for a server uses none of it.
async fn run(
    generation: &mut Generation,
    tally: &mut Tally,
    held: usize,
    slice: Duration,
) -> Result<bool, Refusal> {
    let mut until: Option<Instant> = None;
    loop {
        let next = match until {
            None => generation.next().await,
            Some(until) => match tokio::time::timeout_at(until.into(), generation.next()).await {
                Ok(next) => next,
                Err(_) => return Ok(false),
            },
        };
        if let Ok(chunk) = &next {
            tally.count(generation.prompt_tokens(), chunk.tokens.len());
        }
        match next {
            Ok(chunk) if chunk.done => return Ok(true),
            Ok(_) if !slice.is_zero() => {
                until.get_or_insert_with(|| Instant::now() + slice);
            }
            Ok(_) => {}
            Err(refusal) if generation.tokens().len() == held => return Err(refusal),
            Err(_) => return Ok(false),
        }
    }
}
