//! Chooses the caller's connection that is closed when a limit on connections, on the bytes of
//! request heads or on the bytes of small bodies is reached.
//!
//! The load: thousands of clients connect at once, send nothing or a part of a request, and stay,
//! beside ordinary callers that complete short requests and reuse connections after a while.

use std::time::Duration;

use crate::boot::Boot;
use crate::http::body::SMALL_BYTES as SMALL_BODY_BYTES;

/// Age from which an incomplete request goes before an idle connection, whatever their numbers.
///
/// The callers' round trips take up to 6 ms, and requests of usual size need few of them.
const STALLED_AGE: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No part of a request has arrived since the last response, or since the start.
    Idle,
    /// A request head is arriving.
    Head,
    /// A request body is arriving.
    Body,
    /// A request is being answered.
    Answering,
    /// The caller does not read the response.
    Blocked,
}

/// A connection, as far as the choice depends on it.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// What the connection does.
    pub phase: Phase,
    /// Whether a request was completed on it.
    pub proven: bool,
    /// Start of the incomplete request, or the last completion; the start of the connection if it
    /// has completed no request.
    pub since: Boot,
    /// When bytes last arrived.
    pub progress: Boot,
    /// Bytes of the incomplete body.
    pub body: usize,
}

/// What is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Connections.
    Connections,
    /// Memory for request heads.
    Heads,
    /// Memory for small bodies.
    SmallBodies,
    /// Memory for large bodies.
    LargeBodies,
}

/// Order in which connections are closed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    /// Idle for longer than compliant callers reuse a connection.
    Spent,
    /// An incomplete request, or none yet, and likely to stay so.
    Stalled,
    /// Idle between requests.
    Idle,
    /// An incomplete request that may be an ordinary one on its way.
    Recent,
}

/// Returns the connection to close at `now`; none if only requests that are being answered are
/// left. `idle_timeout` is the configuration's.
pub fn choose<Id: Copy>(
    connections: impl Iterator<Item = (Id, View)> + Clone,
    shortage: Shortage,
    idle_timeout: Duration,
    now: Boot,
) -> Option<Id> {
    let waiting = |view: &View| match view.phase {
        Phase::Idle => !view.proven,
        Phase::Head | Phase::Body | Phase::Blocked => true,
        Phase::Answering => false,
    };
    let (mut incomplete, mut idle) = (0_usize, 0_usize);
    for (_, view) in connections.clone() {
        if waiting(&view) {
            incomplete += 1;
        } else if view.phase == Phase::Idle {
            idle += 1;
        }
    }
    // Each group may hold half, so neither a crowd nor idle callers push out the other.
    let crowded = incomplete > idle;
    let rank = |view: &View| match shortage {
        Shortage::Connections if waiting(view) => {
            let stalled = crowded || now.since(view.since) >= STALLED_AGE;
            Some(if stalled { Rank::Stalled } else { Rank::Recent })
        }
        Shortage::Connections if view.phase == Phase::Idle => {
            // Compliant callers reuse a connection for four fifths of the idle timeout, which they
            // count from when they have read the response.
            let spent = now.since(view.since) > idle_timeout / 10 * 9;
            Some(if spent { Rank::Spent } else { Rank::Idle })
        }
        Shortage::Heads if view.phase == Phase::Head => Some(Rank::Stalled),
        Shortage::SmallBodies if view.phase == Phase::Body => {
            (view.body <= SMALL_BODY_BYTES).then_some(Rank::Stalled)
        }
        Shortage::LargeBodies if view.phase == Phase::Body => {
            let paused = now.since(view.progress) >= STALLED_AGE;
            (paused && view.body > SMALL_BODY_BYTES).then_some(Rank::Stalled)
        }
        _ => None,
    };
    let ranked = connections.filter_map(|(id, view)| Some((rank(&view)?, view.since, id)));
    let first = ranked.min_by_key(|(rank, since, _)| (*rank, *since));
    first.map(|(_, _, id)| id)
}
