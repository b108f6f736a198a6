//! How long a server needs for an event; pure.
//!
//! The load pattern: hundreds of short samples begin and end each second. A run's first event
//! comes with the head of its answer, so the time between the two says nothing of the server,
//! and events that were read late come together.

use std::time::Duration;

use crate::boot::Boot;

/// Measures the time between the events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    /// When events were read last.
    last: Option<Boot>,
}

impl Stopwatch {
    /// Notes that `events` events were read together at `now`; gives the time that each took,
    /// but for a run's first ones.
    pub fn note(&mut self, events: usize, now: Boot) -> Option<Duration> {
        let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
        let last = self.last.replace(now)?;
        Some(now.since(last) / events)
    }
}
