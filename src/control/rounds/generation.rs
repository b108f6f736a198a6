//! Generation of a session's samples by calls to entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::manifest::RoundPolicy;
use crate::util::{millis, unix_ms};
use crate::wire::SampleRequest;

use super::Sessions;
use super::fair_share::{SessionUsage, may_start};
use super::session::Session;
use super::slots::{SampleTask, seed};

/// Timeout of one part of a sample, including queueing.
const PART_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after a part's deadline within which the entry must answer.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// Delay before a sample that could not be generated is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum time between two checks whether samples can be started.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Generates a session's samples until all are delivered or the session is closed.
pub(super) async fn run(sessions: Arc<Sessions>, session: Arc<Session>) {
    let mut running = JoinSet::new();
    while !session.is_closed() && session.missing() > 0 {
        start_samples(&sessions, &session, &mut running);
        tokio::select! {
            _ = running.join_next(), if !running.is_empty() => {}
            () = session.work_available() => {}
            () = session.closed() => break,
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
    running.shutdown().await;
}

fn start_samples(sessions: &Arc<Sessions>, session: &Arc<Session>, running: &mut JoinSet<()>) {
    let policy = sessions.config.state().manifest.policy.rounds;
    loop {
        let usage = SessionUsage {
            own_running: running.len(),
            total_running: sessions.running(),
            sessions: sessions.session_count(),
            capacity: sessions.capacity(&session.spec.model),
            buffered_bytes: session.buffered_bytes(),
        };
        if unix_ms() >= session.spec.deadline_ms || !may_start(&usage) {
            return;
        }
        let Some(task) = session.start(policy) else {
            return;
        };
        let guard = sessions.running_guard();
        let (sessions, session) = (Arc::clone(sessions), Arc::clone(session));
        running.spawn(async move {
            generate_part(&sessions, &session, task, policy).await;
            drop(guard);
        });
    }
}

/// Generates one part of a sample.
///
/// Only the stragglers policy sets a time slice and keeps the output of unfinished samples. Under
/// the ordered policy, an unfinished sample starts again from its first token.
async fn generate_part(
    sessions: &Sessions,
    session: &Session,
    task: SampleTask,
    policy: RoundPolicy,
) {
    let slice = match policy {
        RoundPolicy::Stragglers => sessions.slice(&session.spec.model, task.partial.parts),
        RoundPolicy::Ordered => Duration::ZERO,
    };
    let request = request(session, &task, slice);
    let result = sessions
        .entries
        .sample(&request, PART_TIMEOUT + ANSWER_GRACE)
        .await;
    match result {
        Ok(answer) if !answer.done && policy == RoundPolicy::Ordered => session.fail(task),
        Ok(answer) if answer.done => {
            sessions.record(&session.spec.model, task.partial.took_ms + answer.took_ms);
            session.finish(&task, request.id, answer);
        }
        Ok(answer) => session.finish(&task, request.id, answer),
        Err(error) => {
            spdlog::warn!("sample failed", kv: {
                request = request.id.as_str(),
                round = session.spec.name.as_str(),
                error = error.to_string(),
            });
            tokio::time::sleep(RETRY_DELAY).await;
            session.fail(task);
        }
    }
}

fn request(session: &Session, task: &SampleTask, slice: Duration) -> SampleRequest {
    let spec = &session.spec;
    let slot = session.slot(task.position);
    let prompt = spec
        .prompts
        .get(slot.group as usize)
        .or(spec.prompts.last());
    SampleRequest {
        avoid: Vec::new(),
        deadline_ms: unix_ms() + millis(PART_TIMEOUT),
        id: format!(
            "smpl-{}-{}-{}-{}",
            session.id, slot.group, slot.index, task.attempt
        ),
        max_tokens: spec.max_tokens,
        model: spec.model.clone(),
        prompt: prompt.cloned().unwrap_or_default(),
        resume: task.partial.tokens.clone(),
        seed: seed(&spec.name, &slot),
        segments: task.partial.segments.clone(),
        slice_ms: millis(slice),
        tenant: spec.tenant.clone(),
        urgent: task.urgent,
        version: Some(task.min_version),
    }
}

/// Whether the trainer's last call was at least `limit` ago.
#[must_use]
pub(super) fn is_idle(last_call: Instant, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(last_call) >= limit
}
