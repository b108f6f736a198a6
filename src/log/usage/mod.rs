//! The fold of the usage stream: counters, closed windows and their figures.
//!
//! Counters are cumulative by (incarnation, window, tenant, unit) and merged by maximum, so
//! that repeats, copies and reordering change nothing. A window is closed by the first
//! record that says so; what comes later goes to the window closed next, marked late.

mod figures;
mod reader;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use crate::names::{Incarnation, Tenant};
use crate::wire::{
    UsageBody, UsageCount, UsageIncarnation, UsageOpen, UsageRecord, UsageReport, UsageSnapshot,
    UsageStatus, UsageUncertain, UsageUnit, UsageWindow, UsageWindowState,
};

use figures::Figures;
pub use reader::UsageReader;

/// Closed windows within which a count of a silent incarnation is still charged.
pub const CLOSINGS_KEPT: usize = 1_000;
/// Reported windows that are kept for operators to see.
const REPORTED_KEPT: usize = 16;

/// What is known of one incarnation.
#[derive(Clone, Debug, Default, PartialEq)]
struct Known {
    seq: u64,
    /// Counts for windows before this one are complete, and dropped.
    from: u64,
    counts: BTreeMap<(u64, Tenant, UsageUnit), u64>,
    open: Vec<UsageOpen>,
    /// The latest window counted in.
    last: u64,
    /// Offset of its last record.
    touched: u64,
}

impl Known {
    /// Raises a count and returns by how much.
    fn raise(&mut self, count: &UsageCount) -> u64 {
        if count.window < self.from {
            return 0;
        }
        self.last = self.last.max(count.window);
        let key = (count.window, Tenant::from(&*count.tenant), count.unit);
        let known = self.counts.entry(key).or_default();
        let more = count.amount.saturating_sub(*known);
        *known += more;
        more
    }

    fn advance(&mut self, from: u64) {
        if from > self.from {
            self.from = from;
            self.counts.retain(|(window, ..), _| *window >= from);
        }
    }
}

/// Folds the usage stream. Every reader gets the same figures.
#[derive(Clone, Debug, Default)]
pub struct UsageFold {
    next: u64,
    closings: VecDeque<u64>,
    known: BTreeMap<Incarnation, Known>,
    open: BTreeMap<u64, Figures>,
    late: Figures,
    expired: Figures,
    unreported: BTreeMap<u64, UsageReport>,
    reported: VecDeque<UsageReport>,
}

impl UsageFold {
    /// Offset after the last record folded.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The window closed last.
    #[must_use]
    pub fn closed(&self) -> Option<u64> {
        self.closings.back().copied()
    }

    /// The first open window that has figures.
    #[must_use]
    pub fn first_open(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    /// Whether figures wait for the window closed next.
    #[must_use]
    pub fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    /// The report of the first closed window that is not confirmed.
    #[must_use]
    pub fn due_report(&self) -> Option<&UsageReport> {
        self.unreported.values().next()
    }

    /// The reports of all closed windows that are not confirmed, in order.
    pub fn unreported(&self) -> impl Iterator<Item = &UsageReport> {
        self.unreported.values()
    }

    /// Folds the record at `offset`; returns the report of the window that it closed.
    ///
    /// A record that does not parse is skipped, by every reader alike.
    pub fn apply(&mut self, offset: u64, data: &str) -> Option<&UsageReport> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        let Ok(record) = serde_json::from_str::<UsageRecord>(data) else {
            spdlog::warn!("unreadable usage record skipped", kv: { offset });
            return None;
        };
        match record.body {
            UsageBody::Counters {
                incarnation,
                seq,
                from,
                counts,
                open,
            } => {
                self.fold_counts(&incarnation, &counts);
                self.fold_state(&incarnation, seq, from, open);
                self.touch(&incarnation, offset);
                None
            }
            UsageBody::Close { window } => self.fold_close(window),
            UsageBody::Reported { window } => {
                self.fold_reported(window);
                None
            }
            UsageBody::Snapshot { .. } => None,
        }
    }

    fn fold_counts(&mut self, incarnation: &str, counts: &[UsageCount]) {
        for count in counts {
            let tenant = Tenant::from(&*count.tenant);
            if !self.known.contains_key(incarnation) && self.is_expired(count.window) {
                self.expired.add(tenant, count.unit, count.amount);
                continue;
            }
            let known = self.known.entry(incarnation.into()).or_default();
            let more = known.raise(count);
            if more == 0 {
                continue;
            }
            if self.closed().is_some_and(|closed| count.window <= closed) {
                self.late.add(tenant, count.unit, more);
            } else {
                let figures = self.open.entry(count.window).or_default();
                figures.add(tenant, count.unit, more);
            }
        }
    }

    fn fold_state(&mut self, incarnation: &str, seq: u64, from: u64, open: Vec<UsageOpen>) {
        let known = self.known.entry(incarnation.into()).or_default();
        known.advance(from);
        if seq > known.seq {
            known.seq = seq;
            known.open = open;
        }
    }

    fn touch(&mut self, incarnation: &str, offset: u64) {
        if let Some(known) = self.known.get_mut(incarnation) {
            known.touched = offset;
        }
    }

    /// Whether a window was closed so long ago that silent incarnations are forgotten.
    fn is_expired(&self, window: u64) -> bool {
        let full = self.closings.len() == CLOSINGS_KEPT;
        full && self.closings.front().is_some_and(|first| window <= *first)
    }

    fn fold_close(&mut self, window: u64) -> Option<&UsageReport> {
        if self.closed().is_some_and(|closed| window <= closed) {
            return None;
        }
        let mut late = std::mem::take(&mut self.late);
        let later = self.open.split_off(&window);
        for (_, figures) in std::mem::replace(&mut self.open, later) {
            late.merge(figures);
        }
        let figures = self.open.remove(&window).unwrap_or_default();
        let lines = figures.lines(&late);
        if self.closings.len() == CLOSINGS_KEPT {
            self.closings.pop_front();
        }
        self.closings.push_back(window);
        self.forget();
        let report = UsageReport { window, lines };
        Some(self.unreported.entry(window).or_insert(report))
    }

    /// Drops incarnations that were silent for as long as closed windows are kept.
    fn forget(&mut self) {
        if self.closings.len() < CLOSINGS_KEPT {
            return;
        }
        let first = self.closings.front().copied().unwrap_or_default();
        self.known.retain(|_, known| known.last > first);
    }

    fn fold_reported(&mut self, window: u64) {
        let Some(report) = self.unreported.remove(&window) else {
            return;
        };
        if self.reported.len() == REPORTED_KEPT {
            self.reported.pop_front();
        }
        self.reported.push_back(report);
    }

    /// The state as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> UsageSnapshot {
        let open = |(window, figures): (&u64, &Figures)| UsageReport {
            window: *window,
            lines: figures.lines(&Figures::default()),
        };
        UsageSnapshot {
            closings: self.closings.iter().copied().collect(),
            expired: Figures::default().lines(&self.expired),
            incarnations: self.known.iter().map(incarnation_entry).collect(),
            late: Figures::default().lines(&self.late),
            unreported: self.unreported.values().cloned().collect(),
            windows: self.open.iter().map(open).collect(),
        }
    }

    /// Takes over a state that stands for all records before `upto`.
    ///
    /// Returns whether it was ahead of this fold.
    pub fn restore(&mut self, upto: u64, state: UsageSnapshot) -> bool {
        if upto <= self.next {
            return false;
        }
        let windows = state.windows.iter();
        let unreported = state.unreported.into_iter();
        *self = Self {
            next: upto,
            closings: state.closings.into(),
            known: state.incarnations.into_iter().map(known_entry).collect(),
            open: windows
                .map(|report| (report.window, Figures::amounts(&report.lines)))
                .collect(),
            late: Figures::lates(&state.late),
            expired: Figures::lates(&state.expired),
            unreported: unreported.map(|report| (report.window, report)).collect(),
            reported: VecDeque::new(),
        };
        true
    }

    /// All windows and late figures, as operators see them.
    ///
    /// Requests are uncertain if they ran at an incarnation's last record, and that was
    /// before the offset `silent`.
    #[must_use]
    pub fn status(&self, silent: u64) -> UsageStatus {
        let reported = self.reported.iter().map(|report| (report, true));
        let closed = self.unreported.values().map(|report| (report, false));
        let mut windows: Vec<UsageWindow> = reported.chain(closed).map(closed_window).collect();
        windows.extend(self.open.iter().map(|(window, figures)| UsageWindow {
            lines: figures.lines(&Figures::default()),
            state: UsageWindowState::Open,
            window: *window,
        }));
        let known = self.known.iter();
        let silent_ones = known.filter(|(_, known)| known.touched < silent);
        UsageStatus {
            expired: Figures::default().lines(&self.expired),
            late: Figures::default().lines(&self.late),
            next: self.next,
            uncertain: silent_ones.flat_map(uncertain).collect(),
            windows,
        }
    }
}

fn closed_window((report, reported): (&UsageReport, bool)) -> UsageWindow {
    let state = if reported {
        UsageWindowState::Reported
    } else {
        UsageWindowState::Closed
    };
    UsageWindow {
        lines: report.lines.clone(),
        state,
        window: report.window,
    }
}

fn uncertain<'a>(
    (incarnation, known): (&'a Incarnation, &'a Known),
) -> impl Iterator<Item = UsageUncertain> + 'a {
    known.open.iter().map(|open| UsageUncertain {
        incarnation: incarnation.to_string(),
        requests: open.requests,
        tenant: open.tenant.clone(),
        tokens: open.tokens,
    })
}

fn incarnation_entry((incarnation, known): (&Incarnation, &Known)) -> UsageIncarnation {
    let counts = known.counts.iter();
    let counts = counts.map(|((window, tenant, unit), amount)| UsageCount {
        amount: *amount,
        tenant: tenant.to_string(),
        unit: *unit,
        window: *window,
    });
    UsageIncarnation {
        counts: counts.collect(),
        from: known.from,
        incarnation: incarnation.to_string(),
        last: known.last,
        open: known.open.clone(),
        seq: known.seq,
        touched: known.touched,
    }
}

fn known_entry(entry: UsageIncarnation) -> (Incarnation, Known) {
    let counts = entry.counts.into_iter();
    let known = Known {
        seq: entry.seq,
        from: entry.from,
        counts: counts
            .map(|count| {
                (
                    (count.window, count.tenant.into(), count.unit),
                    count.amount,
                )
            })
            .collect(),
        open: entry.open,
        last: entry.last,
        touched: entry.touched,
    };
    (entry.incarnation.into(), known)
}
