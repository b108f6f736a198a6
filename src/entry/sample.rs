//! Generates one sample for a control daemon, so that no token stream passes through control.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::http::{Refusal, RefusalKind, Response, json};
use crate::util::{instant_of, millis};
use crate::wire::{EngineChunk, SampleAnswer, SampleRequest};

use super::Entry;
use super::fair::PriorityClass;
use super::generate::{Generation, Job, PRIORITY_ROLLOUT_FIRST};
use super::intake::{self, Admitted, PoolRequest};
use super::usage::Tally;

/// Engine priority of rollout work.
const PRIORITY_ROLLOUT: u32 = 10;
/// Engine priority of rollout work that a training step waits for.
const PRIORITY_URGENT: u32 = PRIORITY_ROLLOUT_FIRST;

/// Generates one sample; a partial sample is a valid answer and can be resumed.
pub(super) async fn sample(entry: &Arc<Entry>, body: &[u8]) -> Result<Response, Refusal> {
    let request: SampleRequest = serde_json::from_slice(body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))?;
    let resumed = request.resume.len();
    let slice = Duration::from_millis(request.slice_ms);
    let mut segments = request.segments.clone();
    let job = job(request);
    let tenant = job.tenant.clone();
    let left = (job.max_tokens as usize).saturating_sub(resumed);
    let (cost, deadline) = (intake::cost(job.prompt.len(), left), job.deadline);
    let mut tally = Tally::new(entry, &tenant, u32::try_from(left).unwrap_or(u32::MAX));
    if resumed > 0 {
        tally = tally.resumed();
    }
    let mut generation = Generation::new(Arc::clone(entry), job)?;
    let pool_request = PoolRequest {
        pool: generation.pool(),
        tenant: Some(&tenant),
        class: PriorityClass::Rollout,
        cost,
        limited: true,
        deadline,
    };
    let mut admitted = intake::admit(entry, pool_request).await?;
    let mut sampling = SampleRun {
        generation: &mut generation,
        admitted: &mut admitted,
        tally: &mut tally,
        resumed,
        first: None,
    };
    let done = sampling.run(slice).await?;
    let took = sampling
        .first
        .map_or(Duration::ZERO, |first| first.elapsed());
    for segment in generation.segments() {
        super::generate::add_segment(&mut segments, segment.version, segment.tokens);
    }
    let server = generation.server().map(ToString::to_string);
    let answer = SampleAnswer {
        tokens: generation.tokens().to_vec(),
        segments,
        done,
        server: server.unwrap_or_default(),
        took_ms: millis(took),
    };
    Ok(json(StatusCode::OK, &answer))
}

fn job(request: SampleRequest) -> Job {
    Job {
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
    }
}

/// A sample in generation, with its admission and its usage count.
struct SampleRun<'a> {
    generation: &'a mut Generation,
    admitted: &'a mut Admitted,
    tally: &'a mut Tally,
    /// Number of tokens in the request's `resume`.
    resumed: usize,
    /// When the first chunk arrived.
    first: Option<Instant>,
}

impl SampleRun<'_> {
    /// Generates until the sample is complete (true) or is returned in part (false).
    ///
    /// A part is returned when no server could continue, when live work needs the slot, or when
    /// the time slice is over. The slice begins with the first chunk; a slice of zero has no end.
    async fn run(&mut self, slice: Duration) -> Result<bool, Refusal> {
        loop {
            let until = self.first.map(|first| first + slice);
            match self.next(until.filter(|_| !slice.is_zero())).await {
                Some(Ok(chunk)) => {
                    self.first.get_or_insert_with(Instant::now);
                    self.count(chunk.tokens.len());
                    if chunk.done {
                        return Ok(true);
                    }
                }
                Some(Err(refusal)) if self.generated() == 0 => return Err(refusal),
                Some(Err(_)) | None => return Ok(false),
            }
        }
    }

    /// Returns the next chunk; none if the sample is to be returned in part.
    async fn next(&mut self, until: Option<Instant>) -> Option<Result<EngineChunk, Refusal>> {
        let has_tokens = self.generated() > 0;
        let slice_over = async {
            match until {
                Some(until) => tokio::time::sleep_until(until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            next = self.generation.next() => Some(next),
            () = slice_over => None,
            () = self.admitted.preempted(), if has_tokens => None,
        }
    }

    /// Number of tokens generated in this run.
    fn generated(&self) -> usize {
        self.generation.tokens().len() - self.resumed
    }

    /// Adds tokens to the tenant's usage and updates the cost of the admitted request.
    fn count(&mut self, tokens: usize) {
        self.tally.count(self.generation.prompt_tokens(), tokens);
        self.admitted.set_used(intake::cost(0, self.generated()));
    }
}
