//! Chooses the backend server for a waiting item.
//!
//! A round arrives all at once, the items of a group share a prompt, and some servers are slow.
//! An item goes to the server that has already processed its group's prompt, unless that server
//! is slow or full; otherwise to the one with the lowest cost, which grows with the server's pace
//! and load. Between servers that are equal otherwise, the one in the instance's own zone is chosen.

use std::collections::HashMap;

/// Load added to a server that is assigned to another model, since it may load that model's
/// weights at any time; 1 is the load of a full server.
const OTHER_MODEL_COST: f64 = 2.0;
/// Relative pace from which on a server gets no further items for a prompt that it has processed,
/// and no restarted samples.
pub const SLOW_PACE: f64 = 1.6;

/// A backend server that may take an item.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Free slots.
    pub free: usize,
    /// Slots in all; at least one.
    pub slots: usize,
    /// Weight version of the item's model on the server.
    pub version: u64,
    /// Time that the server needs per event, relative to the median server; above 1 is slower.
    pub pace: f64,
    /// Whether the server is assigned to another model.
    pub other_model: bool,
    /// Version of the server's software.
    pub software: &'a str,
    /// Cost of the server's availability zone, relative to the time of an event on a median server.
    pub zone_cost: f64,
}

/// What an item needs of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs<'a> {
    /// The server that last got an item of the same group, if any.
    pub prompt_server: Option<&'a str>,
    /// Oldest weight version that may generate the item.
    pub min_version: u64,
    /// Software version that generated the item's text so far; on another one it starts anew.
    pub software: Option<&'a str>,
    /// Whether the item waits rather than starting its text anew.
    pub waits: bool,
}

/// Chooses the server for an item and returns its position in `candidates`.
///
/// Only servers with a free slot and recent enough weights are chosen, and among them those on which
/// the item's text can go on, if there is one.
#[must_use]
pub fn place(candidates: &[Candidate<'_>], needs: Needs<'_>) -> Option<usize> {
    let Some(software) = needs.software else {
        return place_among(candidates, needs, |_| true);
    };
    let goes_on = |candidate: &Candidate<'_>| candidate.software == software;
    let anew = || place_among(candidates, needs, |_| !needs.waits);
    place_among(candidates, needs, goes_on).or_else(anew)
}

fn place_among(
    candidates: &[Candidate<'_>],
    needs: Needs<'_>,
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let fits = |candidate: &Candidate<'_>| {
        candidate.free > 0 && candidate.version >= needs.min_version && is_eligible(candidate)
    };
    let preferred = candidates
        .iter()
        .position(|candidate| Some(candidate.id) == needs.prompt_server);
    if let Some(at) =
        preferred.filter(|at| fits(&candidates[*at]) && candidates[*at].pace < SLOW_PACE)
    {
        return Some(at);
    }
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| fits(candidate));
    let best = fitting.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
    best.map(|(at, _)| at)
}

/// Allocates the free slots of a set of servers to items of several models, in one scheduling pass.
#[derive(Debug)]
pub struct SlotAllocator<'a> {
    /// Free slots by server.
    free: Vec<usize>,
    /// The servers as candidates, in the order of `free`, by model.
    candidates: HashMap<String, Vec<Candidate<'a>>>,
}

impl<'a> SlotAllocator<'a> {
    /// Creates an allocator for servers with these free slots.
    #[must_use]
    pub fn new(free: Vec<usize>) -> Self {
        Self {
            free,
            candidates: HashMap::new(),
        }
    }

    /// Takes a slot for an item of a model; returns the position of its server.
    ///
    /// `candidates` is called for the first item of a model, with the free slots by server, and
    /// returns one candidate per server, in the same order.
    pub fn take(
        &mut self,
        model: &str,
        needs: Needs<'_>,
        candidates: impl FnOnce(&[usize]) -> Vec<Candidate<'a>>,
    ) -> Option<usize> {
        if !self.candidates.contains_key(model) {
            self.candidates
                .insert(model.to_owned(), candidates(&self.free));
        }
        let at = place(self.candidates.get(model)?, needs)?;
        self.free[at] = self.free[at].saturating_sub(1);
        for candidates in self.candidates.values_mut() {
            candidates[at].free = self.free[at];
        }
        Some(at)
    }
}

/// Relative cost of an item on a server: its pace, scaled up by its load, and its zone.
fn cost(candidate: &Candidate<'_>) -> f64 {
    let taken = candidate.slots.saturating_sub(candidate.free);
    let load = f64::from(u32::try_from(taken).unwrap_or(u32::MAX))
        / f64::from(u32::try_from(candidate.slots.max(1)).unwrap_or(u32::MAX));
    let other_model = if candidate.other_model {
        OTHER_MODEL_COST
    } else {
        0.0
    };
    candidate.pace * (1.0 + load + other_model) + candidate.zone_cost
}
