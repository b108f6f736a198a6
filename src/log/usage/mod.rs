//! Folds the usage stream: counters, closed windows and their figures.
//!
//! Counters are cumulative by (incarnation, window, tenant, unit) and merged by maximum, so
//! that repeats, copies and reordering change nothing. The first close record closes a
//! window; later counts for that window are charged to the window closed next, marked late.

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

/// Number of closed windows kept, the latest ones.
///
/// An incarnation without a count after the oldest of these is forgotten. Counts of unknown
/// incarnations for windows up to the oldest expire: they are recorded but not charged.
pub const CLOSINGS_KEPT: usize = 1_000;
/// Reported windows kept for operators' status views.
const REPORTED_MAX: usize = 16;

/// The folded counters of one incarnation.
#[derive(Clone, Debug, Default, PartialEq)]
struct IncarnationState {
    seq: u64,
    /// The first window that counts are kept for; earlier windows are complete.
    from: u64,
    counts: BTreeMap<(u64, Tenant, UsageUnit), u64>,
    /// Requests in flight at the incarnation's last record, by tenant.
    open: Vec<UsageOpen>,
    /// The latest window with a count.
    last_window: u64,
    /// Offset of the incarnation's last record.
    last_offset: u64,
}

impl IncarnationState {
    /// Raises a counter to the count's amount and returns the increase.
    fn raise(&mut self, count: &UsageCount) -> u64 {
        if count.window < self.from {
            return 0;
        }
        self.last_window = self.last_window.max(count.window);
        let key = (count.window, Tenant::from(&*count.tenant), count.unit);
        let counter = self.counts.entry(key).or_default();
        let increase = count.amount.saturating_sub(*counter);
        *counter += increase;
        increase
    }

    /// Drops the counts of windows before `from`, which are complete.
    fn advance(&mut self, from: u64) {
        if from > self.from {
            self.from = from;
            self.counts.retain(|(window, ..), _| *window >= from);
        }
    }
}

/// Folds the usage stream. Every reader derives the same figures.
#[derive(Clone, Debug, Default)]
pub struct UsageFold {
    next: u64,
    closings: VecDeque<u64>,
    incarnations: BTreeMap<Incarnation, IncarnationState>,
    open: BTreeMap<u64, Figures>,
    /// Counts for closed windows, to be charged to the window closed next.
    late: Figures,
    /// Counts that came too late to be charged to any window.
    expired: Figures,
    unreported: BTreeMap<u64, UsageReport>,
    reported: VecDeque<UsageReport>,
}

impl UsageFold {
    /// Offset after the last folded record.
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

    /// Whether late figures wait for the next window to close.
    #[must_use]
    pub fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    /// The report of the first closed window that is not yet confirmed as reported.
    #[must_use]
    pub fn due_report(&self) -> Option<&UsageReport> {
        self.unreported.values().next()
    }

    /// The reports of all closed windows that are not yet confirmed, in order.
    pub fn unreported(&self) -> impl Iterator<Item = &UsageReport> {
        self.unreported.values()
    }

    /// Folds the record at `offset`; returns the report of the window that the record closed.
    ///
    /// Every reader skips a record that does not parse, so that their states stay equal.
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
                self.record_offset(&incarnation, offset);
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
            if !self.incarnations.contains_key(incarnation) && self.is_expired(count.window) {
                self.expired.add(tenant, count.unit, count.amount);
                continue;
            }
            let state = self.incarnations.entry(incarnation.into()).or_default();
            let increase = state.raise(count);
            if increase == 0 {
                continue;
            }
            if self.closed().is_some_and(|closed| count.window <= closed) {
                self.late.add(tenant, count.unit, increase);
            } else {
                let figures = self.open.entry(count.window).or_default();
                figures.add(tenant, count.unit, increase);
            }
        }
    }

    fn fold_state(&mut self, incarnation: &str, seq: u64, from: u64, open: Vec<UsageOpen>) {
        let state = self.incarnations.entry(incarnation.into()).or_default();
        state.advance(from);
        if seq > state.seq {
            state.seq = seq;
            state.open = open;
        }
    }

    /// Sets the offset of an incarnation's last record.
    fn record_offset(&mut self, incarnation: &str, offset: u64) {
        if let Some(state) = self.incarnations.get_mut(incarnation) {
            state.last_offset = offset;
        }
    }

    /// Whether a window is so old that silent incarnations with counts in it were forgotten.
    fn is_expired(&self, window: u64) -> bool {
        let full = self.closings.len() == CLOSINGS_KEPT;
        full && self.closings.front().is_some_and(|first| window <= *first)
    }

    fn fold_close(&mut self, window: u64) -> Option<&UsageReport> {
        if self.closed().is_some_and(|closed| window <= closed) {
            return None;
        }
        let mut late = std::mem::take(&mut self.late);
        let remaining = self.open.split_off(&window);
        for (_, figures) in std::mem::replace(&mut self.open, remaining) {
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

    /// Drops incarnations without a count after the oldest closed window kept.
    fn forget(&mut self) {
        if self.closings.len() < CLOSINGS_KEPT {
            return;
        }
        let first = self.closings.front().copied().unwrap_or_default();
        self.incarnations
            .retain(|_, state| state.last_window > first);
    }

    fn fold_reported(&mut self, window: u64) {
        let Some(report) = self.unreported.remove(&window) else {
            return;
        };
        if self.reported.len() == REPORTED_MAX {
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
            incarnations: self.incarnations.iter().map(incarnation_entry).collect(),
            late: Figures::default().lines(&self.late),
            unreported: self.unreported.values().cloned().collect(),
            windows: self.open.iter().map(open).collect(),
        }
    }

    /// Replaces the state by a snapshot of all records before `upto`.
    ///
    /// Returns false and changes nothing if the snapshot is not ahead of this fold.
    pub fn restore(&mut self, upto: u64, state: UsageSnapshot) -> bool {
        if upto <= self.next {
            return false;
        }
        let windows = state.windows.iter();
        let unreported = state.unreported.into_iter();
        *self = Self {
            next: upto,
            closings: state.closings.into(),
            incarnations: state
                .incarnations
                .into_iter()
                .map(incarnation_state)
                .collect(),
            open: windows
                .map(|report| (report.window, Figures::amounts(&report.lines)))
                .collect(),
            late: Figures::late_amounts(&state.late),
            expired: Figures::late_amounts(&state.expired),
            unreported: unreported.map(|report| (report.window, report)).collect(),
            reported: VecDeque::new(),
        };
        true
    }

    /// The status of all windows and late figures, for operators.
    ///
    /// Requests are uncertain if they were in flight at the last record of an incarnation
    /// and that record is before the offset `silent`.
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
        let incarnations = self.incarnations.iter();
        let silent_incarnations = incarnations.filter(|(_, state)| state.last_offset < silent);
        UsageStatus {
            expired: Figures::default().lines(&self.expired),
            late: Figures::default().lines(&self.late),
            next: self.next,
            uncertain: silent_incarnations.flat_map(uncertain).collect(),
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
    (incarnation, state): (&'a Incarnation, &'a IncarnationState),
) -> impl Iterator<Item = UsageUncertain> + 'a {
    state.open.iter().map(|open| UsageUncertain {
        incarnation: incarnation.to_string(),
        requests: open.requests,
        tenant: open.tenant.clone(),
        tokens: open.tokens,
    })
}

fn incarnation_entry((incarnation, state): (&Incarnation, &IncarnationState)) -> UsageIncarnation {
    let counts = state.counts.iter();
    let counts = counts.map(|((window, tenant, unit), amount)| UsageCount {
        amount: *amount,
        tenant: tenant.to_string(),
        unit: *unit,
        window: *window,
    });
    UsageIncarnation {
        counts: counts.collect(),
        from: state.from,
        incarnation: incarnation.to_string(),
        last: state.last_window,
        open: state.open.clone(),
        seq: state.seq,
        touched: state.last_offset,
    }
}

fn incarnation_state(entry: UsageIncarnation) -> (Incarnation, IncarnationState) {
    let counts = entry.counts.into_iter();
    let state = IncarnationState {
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
        last_window: entry.last,
        last_offset: entry.touched,
    };
    (entry.incarnation.into(), state)
}
