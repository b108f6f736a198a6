//! One sample for a control daemon: generated here, so that tokens never pass control.

use std::sync::Arc;

use http::StatusCode;

use crate::http::{Refusal, RefusalKind, Response, json};
use crate::util::{instant_of, random_id};
use crate::wire::{SampleAnswer, SampleRequest};

use super::Entry;
use super::generate::{Generation, Job};
use super::usage::Tally;

/// Engine priority of rollout work.
const PRIORITY_ROLLOUT: u32 = 10;

/// Generates one sample; a part of it is an answer too, which can be resumed.
pub(super) async fn sample(entry: &Arc<Entry>, body: &[u8]) -> Result<Response, Refusal> {
    let request: SampleRequest = serde_json::from_slice(body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))?;
    let held = request.resume.len();
    let mut segments = request.segments;
    let job = Job {
        id: format!("smpl-{}", random_id()),
        tenant: request.tenant.into(),
        model: request.model.into(),
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        priority: PRIORITY_ROLLOUT,
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
    let mut generation = Generation::new(Arc::clone(entry), job)?;
    let done = loop {
        match generation.next().await {
            Ok(chunk) => {
                tally.count(generation.prompt_tokens(), chunk.tokens.len());
                if chunk.done {
                    break true;
                }
            }
            Err(refusal) if generation.tokens().len() == held => return Err(refusal),
            Err(_) => break false,
        }
    };
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
