//! Selects the backend server for a request and decides on retries and hedges.
//!
//! The policy copes with a silent or slow server among healthy ones and with full servers that
//! refuse requests, while callers wait for a response. With hundreds of instances and a few
//! requests each, an instance prefers servers that it is already connected to; otherwise nearly
//! every request would open a connection.

use std::time::Duration;

use derive_more::Display;

use crate::boot::Boot;

/// Share of the route's latency objective after which a hedge is sent.
const HEDGE_SHARE: f64 = 0.55;
/// Minimum delay before a hedge is sent.
const HEDGE_MIN: Duration = Duration::from_millis(60);
/// Cost of a new connection, as a fraction of the server's slots.
///
/// A new connection takes the server's time and one of the connections that it accepts.
const NEW_CONNECTION_COST: f64 = 0.35;
/// Rounds of refusals by all servers after which a request is rejected.
const REFUSAL_ROUNDS_MAX: u32 = 3;
/// `Retry-After` for a request that no backend server accepted.
pub const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Origin of a connection to a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Link {
    /// Reused from the connection pool.
    #[display("kept")]
    Reused,
    /// Opened for the request.
    #[display("new")]
    New,
}

/// A backend server that may take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this instance in flight at the server.
    pub running: usize,
    /// Requests that the server runs concurrently.
    pub slots: usize,
    /// Cost of the server's availability zone, as a fraction of the server's slots.
    pub zone_cost: f64,
    /// Whether the server failed recently.
    pub suspect: bool,
    /// Whether this request was already sent to the server.
    pub tried: bool,
    /// Whether the request would reuse a connection or open one.
    pub link: Link,
}

/// Returns the index of the cheapest server; `draw` in `0..1` breaks ties.
#[must_use]
pub fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let cost = |candidate: &Candidate| {
        let load = ratio(candidate.running, candidate.slots);
        let suspect = if candidate.suspect { 10.0 } else { 0.0 };
        let tried = if candidate.tried { 5.0 } else { 0.0 };
        let connect = match candidate.link {
            Link::Reused => 0.0,
            Link::New => NEW_CONNECTION_COST,
        };
        load + candidate.zone_cost + suspect + tried + connect
    };
    let least = candidates.iter().map(cost).min_by(f64::total_cmp)?;
    let all = candidates.iter().enumerate();
    let best: Vec<usize> = all
        .filter(|(_, candidate)| cost(candidate) <= least + f64::EPSILON)
        .map(|(at, _)| at)
        .collect();
    let count = f64::from(u32::try_from(best.len()).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the draw is in 0..1"
    )]
    let at = (draw * count) as usize;
    best.get(at.min(best.len() - 1)).copied()
}

fn ratio(part: usize, whole: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_f64(part) / to_f64(whole.max(1))
}

/// Outcome of an attempt that gave no final response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server did not run the request.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, and the server returned a 5xx status.
    Failed,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to another server.
    Retry,
    /// End the request with the outcome so far.
    Stop,
}

/// Decides whether to retry a request after an attempt.
#[must_use]
pub fn decide_retry(
    outcome: AttemptOutcome,
    repeatable: bool,
    runs: u32,
    refusals: u32,
    limits: RetryLimits,
) -> Decision {
    let allowed = match outcome {
        AttemptOutcome::NotRun => {
            refusals < REFUSAL_ROUNDS_MAX * limits.servers.max(1) && runs < limits.attempts
        }
        AttemptOutcome::Unknown | AttemptOutcome::Failed => repeatable && runs < limits.attempts,
    };
    if allowed && limits.now + limits.min_remaining < limits.deadline {
        Decision::Retry
    } else {
        Decision::Stop
    }
}

/// Limits on the retries of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Maximum number of runs.
    pub attempts: u32,
    /// Number of servers that may take the request.
    pub servers: u32,
    /// The current time.
    pub now: Boot,
    /// Time by which the caller must have a response.
    pub deadline: Boot,
    /// Minimum time left before the deadline for another attempt.
    pub min_remaining: Duration,
}

/// Returns when to hedge a request that was sent at `sent`.
#[must_use]
pub fn hedge_at(sent: Boot, objective: Duration) -> Boot {
    sent + objective.mul_f64(HEDGE_SHARE).max(HEDGE_MIN)
}
