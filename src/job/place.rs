//! Which backend server takes a waiting item.
//!
//! The load pattern: a whole round arrives at once, its groups share prompts, and some
//! servers are slow. Items of a group go where its prompt was read already; otherwise the
//! fastest server with the most room takes the item.

use std::collections::HashMap;

/// What a server that is kept for another model costs more: it may load that model's
/// weights at any time.
const FOREIGN: f64 = 2.0;
/// Slowdown from which on a server is not worth a shared prompt, or a sample made anew.
pub const SLOW: f64 = 1.6;

/// A backend server that may take an item.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat<'a> {
    /// The server.
    pub id: &'a str,
    /// Free slots.
    pub free: usize,
    /// Slots in all; at least one.
    pub slots: usize,
    /// Weight version of the item's model.
    pub version: u64,
    /// Time of an event against the median server's.
    pub pace: f64,
    /// Whether it is kept for another model.
    pub foreign: bool,
}

/// Chooses among the seats for an item of a group whose prompt `home` has read.
#[must_use]
pub fn place(seats: &[Seat<'_>], home: Option<&str>, min_version: u64) -> Option<usize> {
    let fits = |seat: &Seat<'_>| seat.free > 0 && seat.version >= min_version;
    let own = seats.iter().position(|seat| Some(seat.id) == home);
    if let Some(own) = own.filter(|at| fits(&seats[*at]) && seats[*at].pace < SLOW) {
        return Some(own);
    }
    let fitting = seats.iter().enumerate().filter(|(_, seat)| fits(seat));
    let best = fitting.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
    best.map(|(at, _)| at)
}

/// Seats of the items of all models on the same servers, as they are taken one after the other.
#[derive(Debug)]
pub struct Seating<'a> {
    /// Free slots by server.
    free: Vec<usize>,
    models: HashMap<String, Vec<Seat<'a>>>,
}

impl<'a> Seating<'a> {
    /// Seats on servers with these free slots.
    #[must_use]
    pub fn new(free: Vec<usize>) -> Self {
        Self {
            free,
            models: HashMap::new(),
        }
    }

    /// Takes a seat for an item of a model; `seats` makes the model's seats when it is the
    /// first one, in the order of the servers.
    pub fn take(
        &mut self,
        model: &str,
        home: Option<&str>,
        min_version: u64,
        seats: impl FnOnce(&[usize]) -> Vec<Seat<'a>>,
    ) -> Option<usize> {
        if !self.models.contains_key(model) {
            self.models.insert(model.to_owned(), seats(&self.free));
        }
        let at = place(self.models.get(model)?, home, min_version)?;
        self.free[at] = self.free[at].saturating_sub(1);
        for seats in self.models.values_mut() {
            seats[at].free = self.free[at];
        }
        Some(at)
    }
}

/// Expected time of an item: the server's pace, and more with each slot taken.
fn cost(seat: &Seat<'_>) -> f64 {
    let taken = seat.slots.saturating_sub(seat.free);
    let load = f64::from(u32::try_from(taken).unwrap_or(u32::MAX))
        / f64::from(u32::try_from(seat.slots.max(1)).unwrap_or(u32::MAX));
    let foreign = if seat.foreign { FOREIGN } else { 0.0 };
    seat.pace * (1.0 + load + foreign)
}
