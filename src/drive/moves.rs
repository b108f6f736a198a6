//! Which running items go on at another server.
//!
//! The load pattern: some servers turn slow in the middle of a round, and a round is whole
//! only with its last item. Reading a prompt and the text so far again takes an engine a few
//! milliseconds, an event tens of them, so an item leaves a slow server as soon as a faster
//! one has room. Servers that are to load weights are emptied in the same way.

use std::time::Duration;

use crate::boot::Boot;

/// How much slower a server must be than the best one with room.
const GAIN: f64 = 1.6;
/// How much slower than the median server one must be to be left.
///
/// A move costs a connection and reading the prompt again, and only the slow servers of a
/// round keep its trainer waiting.
const SLOWER: f64 = 1.25;
/// Time that an item stays on a server at least.
const STAY: Duration = Duration::from_millis(300);

/// A running item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Running {
    /// Pace of its server against the median server's.
    pub pace: f64,
    /// When it started there.
    pub since: Boot,
    /// Oldest weight version that may go on with it.
    pub min_version: u64,
    /// Number of its model.
    pub model: usize,
}

/// A server with room.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// Free slots.
    pub free: usize,
    /// Pace against the median server's.
    pub pace: f64,
    /// Weight version by number of model; 0 for a model that it is not kept for.
    pub versions: Vec<u64>,
}

/// Takes a slot of the fastest seat that an item fits, if it is fast enough.
pub fn take(seats: &mut [Seat], item: &Running, slowest: f64) -> bool {
    let fits = |seat: &&mut Seat| {
        let version = seat.versions.get(item.model).copied().unwrap_or_default();
        seat.free > 0 && seat.pace <= slowest && version >= item.min_version.max(1)
    };
    let best = seats
        .iter_mut()
        .filter(fits)
        .min_by(|a, b| a.pace.total_cmp(&b.pace));
    if let Some(seat) = best {
        seat.free -= 1;
        return true;
    }
    false
}

/// Chooses the items that leave slow servers, by position; the slowest go first.
#[must_use]
pub fn faster(items: &[Running], seats: &mut [Seat], now: Boot) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by(|a, b| items[*b].pace.total_cmp(&items[*a].pace));
    let stays = |at: &usize| now < items[*at].since + STAY || items[*at].pace < SLOWER;
    order.retain(|at| !stays(at));
    order.retain(|at| take(seats, &items[*at], items[*at].pace / GAIN));
    order
}

/// Whether all items of a server that is to load weights find room elsewhere.
#[must_use]
pub fn empties(items: &[Running], seats: &mut [Seat]) -> bool {
    let before = seats.to_vec();
    let all = items
        .iter()
        .all(|item| take(seats, item, item.pace.max(1.0) * GAIN));
    if !all {
        seats.clone_from_slice(&before);
    }
    all
}
