//! One sample for a control daemon: generated here, so that tokens never pass control.

use std::sync::Arc;

use http::StatusCode;

use crate::http::{Refusal, RefusalKind, Response, json};
use crate::util::{instant_of, random_id};
use crate::wire::{SampleAnswer, SampleRequest};

use super::Entry;
use super::enter::{self, Arrival};
use super::fair::Class;
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
    let tenant = job.tenant.clone();
    let left = (job.max_tokens as usize).saturating_sub(held);
    let (cost, deadline) = (enter::cost(job.prompt.len(), left), job.deadline);
    let mut tally = Tally::new(entry, &tenant, u32::try_from(left).unwrap_or(u32::MAX));
    let mut generation = Generation::new(Arc::clone(entry), job)?;
    let arrival = Arrival {
        pool: generation.pool(),
        tenant: Some(&tenant),
        class: Class::Rollout,
        cost,
        limited: true,
        deadline,
    };
    let mut entered = enter::enter(entry, arrival).await?;
    let done = loop {
        let next = tokio::select! {
            next = generation.next() => Some(next),
            // Live work needs the place; what is made so far goes back and is resumed later.
            () = entered.room_wanted(), if generation.tokens().len() > held => None,
        };
        match next {
            Some(Ok(chunk)) => {
                tally.count(generation.prompt_tokens(), chunk.tokens.len());
                entered.settle(enter::cost(0, generation.tokens().len() - held));
                if chunk.done {
                    break true;
                }
            }
            Some(Err(refusal)) if generation.tokens().len() == held => return Err(refusal),
            Some(Err(_)) | None => break false,
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
