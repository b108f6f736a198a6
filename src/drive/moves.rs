//! Which running items go on at another server.
//!
//! The load pattern: some servers are slow, or turn so in the middle of a round, and a round is
//! whole only with its last item. Reading a prompt and the text so far again takes an engine a
//! few milliseconds, an event tens of them, so an item leaves a slower server as soon as a
//! faster one has room, if what is left of it is long enough. Servers that are to load weights
//! are emptied in the same way.

use std::time::Duration;

use crate::boot::Boot;

/// How much slower than the median server one must be to be left: what is seen of equal
/// servers differs by less.
const SLOW: f64 = 1.25;
/// How much slower a server may be than one that is emptied for a load.
const SLOWER: f64 = 1.6;
/// Seconds that a move must save: it costs a connection, reading the prompt again, and the
/// event that the server was making.
const SAVED: f64 = 0.4;
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
    /// Events that it still needs, as far as can be told.
    pub left: f64,
}

impl Running {
    /// The slowest pace that is worth a move; `event` is the median server's, in seconds.
    fn worth(&self, event: f64) -> f64 {
        self.pace - SAVED / (self.left * event).max(f64::MIN_POSITIVE)
    }
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

/// Chooses the items that leave slow servers, by position; those that need longest go first.
///
/// `event` is the time that the median server needs for an event, in seconds.
#[must_use]
pub fn faster(items: &[Running], seats: &mut [Seat], event: f64, now: Boot) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    let needs = |at: usize| items[at].left * items[at].pace;
    order.sort_by(|a, b| needs(*b).total_cmp(&needs(*a)));
    let stays = |at: &usize| now < items[*at].since + STAY || items[*at].pace < SLOW;
    order.retain(|at| !stays(at));
    order.retain(|at| take(seats, &items[*at], items[*at].worth(event)));
    order
}

/// Whether all items of a server that is to load weights find room elsewhere.
#[must_use]
pub fn empties(items: &[Running], seats: &mut [Seat]) -> bool {
    let before = seats.to_vec();
    let all = items
        .iter()
        .all(|item| take(seats, item, item.pace.max(1.0) * SLOWER));
    if !all {
        seats.clone_from_slice(&before);
    }
    all
}
