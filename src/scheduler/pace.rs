//! Measures a server's pace: the time that it needs for an event.
//!
//! Hundreds of short samples start and end each second. A run's first event arrives together
//! with the response head, so the time between the two says nothing about the server. A leader
//! that is short of processor time reads the events of all runs on a server late and together,
//! and the next ones soon after; single measurements then reflect the leader's own delay, so
//! the pace is smoothed over many events.

use std::time::Duration;

use crate::boot::Boot;

/// Weight of the newest event in the moving average of a server's pace: averages over some
/// thirty events, which a server generates in half a second or more.
const SMOOTHING: f64 = 0.03;

/// Updates a server's pace, in seconds per event, with an event that took `span`.
#[must_use]
pub fn smooth(before: Option<f64>, span: Duration) -> f64 {
    let span = span.as_secs_f64();
    let before = before.unwrap_or(span);
    before + (span - before) * SMOOTHING
}

/// Measures the time between the events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    /// When events were last read.
    last: Option<Boot>,
}

impl Stopwatch {
    /// Records that `events` events were read together at `now`.
    ///
    /// Returns the time that each took; none for the first events of a run.
    pub fn record(&mut self, events: usize, now: Boot) -> Option<Duration> {
        let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
        let last = self.last.replace(now)?;
        Some(now.since(last) / events)
    }
}
