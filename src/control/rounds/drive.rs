//! Drives one session: keeps entries generating its samples.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::manifest::RoundPolicy;
use crate::util::{millis, unix_ms};
use crate::wire::SampleRequest;

use super::Rounds;
use super::board::{Work, seed};
use super::session::Session;
use super::share::{Share, may_start};

/// Longest time that one part of a sample may take, waiting included.
const PART_MAX: Duration = Duration::from_secs(600);
/// Time beyond a part's deadline within which the entry must answer.
const GRACE: Duration = Duration::from_secs(5);
/// Pause before a sample that could not be generated is tried again.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest time between two looks at the round and the pool.
const LOOK: Duration = Duration::from_millis(500);

/// Generates a session's samples until it is closed or whole.
pub(super) async fn drive(rounds: Arc<Rounds>, session: Arc<Session>) {
    let mut running = JoinSet::new();
    while !session.is_closed() && session.missing() > 0 {
        start_all(&rounds, &session, &mut running);
        tokio::select! {
            _ = running.join_next(), if !running.is_empty() => {}
            () = session.wanted() => {}
            () = session.closed() => break,
            () = tokio::time::sleep(LOOK) => {}
        }
    }
    running.shutdown().await;
}

fn start_all(rounds: &Arc<Rounds>, session: &Arc<Session>, running: &mut JoinSet<()>) {
    let policy = rounds.config.state().manifest.policy.rounds;
    loop {
        let share = Share {
            own: running.len(),
            total: rounds.running(),
            sessions: rounds.count(),
            capacity: rounds.capacity(&session.spec.model),
            bytes: session.bytes(),
        };
        if unix_ms() >= session.spec.deadline_ms || !may_start(&share) {
            return;
        }
        let Some(work) = session.start(policy) else {
            return;
        };
        let guard = rounds.count_running();
        let (rounds, session) = (Arc::clone(rounds), Arc::clone(session));
        running.spawn(async move {
            generate(&rounds, &session, work, policy).await;
            drop(guard);
        });
    }
}

/// Generates one part of a sample.
async fn generate(rounds: &Rounds, session: &Session, work: Work, policy: RoundPolicy) {
    let slice = match policy {
        RoundPolicy::Stragglers => rounds.slice(&session.spec.model, work.partial.parts),
        RoundPolicy::Ordered => Duration::ZERO,
    };
    let request = request(session, &work, slice);
    let asked = rounds.entries.sample(&request, PART_MAX + GRACE).await;
    match asked {
        Ok(answer) if !answer.done && policy == RoundPolicy::Ordered => session.fail(work),
        Ok(answer) if answer.done => {
            rounds.note(&session.spec.model, work.partial.took + answer.took_ms);
            session.finish(&work, request.id, answer);
        }
        Ok(answer) => session.finish(&work, request.id, answer),
        Err(error) => {
            spdlog::warn!("sample failed", kv: {
                request = request.id.as_str(),
                round = session.spec.name.as_str(),
                error = error.to_string(),
            });
            tokio::time::sleep(PAUSE).await;
            session.fail(work);
        }
    }
}

fn request(session: &Session, work: &Work, slice: Duration) -> SampleRequest {
    let spec = &session.spec;
    let slot = session.slot(work.place);
    let prompt = spec
        .prompts
        .get(slot.group as usize)
        .or(spec.prompts.last());
    SampleRequest {
        avoid: Vec::new(),
        deadline_ms: unix_ms() + millis(PART_MAX),
        id: format!(
            "smpl-{}-{}-{}-{}",
            session.id, slot.group, slot.index, work.attempt
        ),
        max_tokens: spec.max_tokens,
        model: spec.model.clone(),
        prompt: prompt.cloned().unwrap_or_default(),
        resume: work.partial.tokens.clone(),
        seed: seed(&spec.name, &slot),
        segments: work.partial.segments.clone(),
        slice_ms: millis(slice),
        tenant: spec.tenant.clone(),
        urgent: work.urgent,
        version: Some(work.oldest),
    }
}

/// Whether a session may be dropped because its trainer has not called for long.
#[must_use]
pub(super) fn is_idle(used: Instant, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(used) >= limit
}
