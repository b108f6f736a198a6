//! Which backend server takes a request, and what to do when one did not serve it.
//!
//! The load patterns: a server that fell silent or slow among sound ones, servers that turn
//! requests away because they are full, and callers who wait for an answer meanwhile. Where
//! hundreds of instances serve a few requests each, each keeps to servers that it is connected
//! to, or nearly every request would open a connection.

use std::time::Duration;

use derive_more::Display;

use crate::boot::Boot;

/// Share of the objective after which a second server is asked as well.
const HEDGE_SHARE: f64 = 0.55;
/// Shortest time after which a second server is asked as well.
const HEDGE_MIN: Duration = Duration::from_millis(60);
/// What a server without a kept connection costs more, in shares of its slots: a new
/// connection takes the server's time and a place among those that it accepts.
const COLD: f64 = 0.35;
/// Rounds of refusals by all servers after which a request is turned away.
const FULL_ROUNDS: u32 = 3;
/// Time after which a caller who was turned away may come back.
pub const COME_BACK: Duration = Duration::from_millis(200);

/// A connection to a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Link {
    /// One that was kept after an earlier request.
    #[display("kept")]
    Kept,
    /// One that is made for the request.
    #[display("new")]
    New,
}

/// A backend server that may take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this instance that it runs.
    pub running: usize,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Whether it is in this instance's availability zone.
    pub near: bool,
    /// Whether it failed lately.
    pub suspect: bool,
    /// Whether this request was sent there before.
    pub tried: bool,
    /// The connection that the request would take.
    pub link: Link,
}

/// Chooses a server; `draw` in `0..1` breaks ties.
#[must_use]
pub fn choose(options: &[Candidate], draw: f64) -> Option<usize> {
    let cost = |option: &Candidate| {
        let load = ratio(option.running, option.slots);
        let far = if option.near { 0.0 } else { 0.3 };
        let suspect = if option.suspect { 10.0 } else { 0.0 };
        let tried = if option.tried { 5.0 } else { 0.0 };
        let cold = match option.link {
            Link::Kept => 0.0,
            Link::New => COLD,
        };
        load + far + suspect + tried + cold
    };
    let least = options.iter().map(cost).min_by(f64::total_cmp)?;
    let all = options.iter().enumerate();
    let best: Vec<usize> = all
        .filter(|(_, option)| cost(option) <= least + f64::EPSILON)
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
    let float = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    float(part) / float(whole.max(1))
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The server did not run the request.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and the server answered with a failure of its own.
    Failed,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Ask another server.
    Again,
    /// Give the final answer.
    Stop,
}

/// Decides after an attempt of a request.
#[must_use]
pub fn after(ended: Ended, repeatable: bool, runs: u32, refusals: u32, limits: Limits) -> Next {
    let allowed = match ended {
        Ended::NotRun => refusals < FULL_ROUNDS * limits.servers.max(1) && runs < limits.attempts,
        Ended::Unknown | Ended::Failed => repeatable && runs < limits.attempts,
    };
    if allowed && limits.now + limits.useful < limits.deadline {
        Next::Again
    } else {
        Next::Stop
    }
}

/// What bounds the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Runs allowed.
    pub attempts: u32,
    /// Servers that may take it.
    pub servers: u32,
    /// The present instant.
    pub now: Boot,
    /// When the caller must have an answer.
    pub deadline: Boot,
    /// Shortest time in which another attempt can be of use.
    pub useful: Duration,
}

/// When a second server is asked as well, for a request sent at `sent`.
#[must_use]
pub fn hedge_at(sent: Boot, objective: Duration) -> Boot {
    sent + objective.mul_f64(HEDGE_SHARE).max(HEDGE_MIN)
}
