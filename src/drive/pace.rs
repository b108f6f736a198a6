//! How long a server needs for an event; pure.
//!
//! The load pattern: hundreds of short samples begin and end each second. A run's first event
//! comes with the head of its answer, so the time between the two says nothing of the server.
//! A leader that is short of processor time reads the events of all runs on a server late
//! together, and the next ones soon after: what it sees for a moment is its own lateness.

use std::time::Duration;

use crate::boot::Boot;

/// Share of the newest event in a server's pace: that of some thirty events, which a server
/// makes in half a second and more.
const SHARE: f64 = 0.03;

/// A server's pace in seconds an event after one that took `span`, from its pace `before`.
#[must_use]
pub fn mix(before: Option<f64>, span: Duration) -> f64 {
    let span = span.as_secs_f64();
    let before = before.unwrap_or(span);
    before + (span - before) * SHARE
}

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
