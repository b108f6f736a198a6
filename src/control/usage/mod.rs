//! Closes usage windows and reports them, under the lease of the usage role.
//!
//! Closing is safe for any process, as the first close record in log order counts. Reports
//! are sent by the lease's holder alone, on a connection that closes at the lease's deadline.

mod follow;
mod holder;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::edge::{Log, UsageSink};
use crate::log::{ConfigLog, SnapshotClock, UsageReader};
use crate::wire::{UsageReport, UsageStatus};

use super::leases::Leases;

/// Silence of an entry after which the requests that it reported to run count as uncertain.
const SILENT_AFTER: Duration = Duration::from_secs(30);
/// Histogram buckets for the time from a window's end to its confirmed report.
const DELAY_SECONDS: [f64; 8] = [1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 600.0, 3_600.0];

/// Metrics of closing and reporting.
#[derive(Debug)]
struct UsageMetrics {
    closed: Counter<u64>,
    reports: Counter<u64>,
    late: Counter<u64>,
    delay: Histogram<f64>,
}

impl UsageMetrics {
    fn new(meter: &Meter) -> Self {
        let closed = meter
            .u64_counter("basillead_usage_windows_closed")
            .with_description("Usage windows that this process saw closed.");
        let reports = meter
            .u64_counter("basillead_usage_reports")
            .with_description("Reports sent to the usage interface by outcome.");
        let late = meter
            .u64_counter("basillead_usage_late")
            .with_description("Amounts that were charged to a later window, by unit.");
        let delay = meter
            .f64_histogram("basillead_usage_report_delay_seconds")
            .with_description("Time from a window's end to the confirmation of its report.")
            .with_boundaries(DELAY_SECONDS.to_vec());
        Self {
            closed: closed.build(),
            reports: reports.build(),
            late: late.build(),
            delay: delay.build(),
        }
    }

    fn count_closed(&self, report: &UsageReport) {
        self.closed.add(1, &[]);
        for line in report.lines.iter().filter(|line| line.late > 0) {
            let unit = KeyValue::new("unit", line.unit.to_string());
            self.late.add(line.late, &[unit]);
        }
    }

    fn count_report(&self, outcome: &'static str) {
        self.reports.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

#[derive(Debug, Default)]
struct State {
    reader: UsageReader,
    snapshots: SnapshotClock,
    /// Since when every read has succeeded.
    reachable_since: Option<Instant>,
    /// Offsets of the head at recent instants, the oldest first.
    heads: VecDeque<(Instant, u64)>,
}

/// Folds the usage stream, closes its windows and reports them.
#[derive(Debug)]
pub struct UsageWindows {
    log: Arc<dyn Log>,
    sink: Arc<dyn UsageSink>,
    leases: Arc<Leases>,
    config: Arc<ConfigLog>,
    state: Mutex<State>,
    /// Offset of the next record to fold.
    next: watch::Sender<u64>,
    metrics: UsageMetrics,
}

impl UsageWindows {
    /// Creates the usage windows of a process that has not read the stream yet.
    #[must_use]
    pub fn new(
        log: Arc<dyn Log>,
        sink: Arc<dyn UsageSink>,
        leases: Arc<Leases>,
        config: Arc<ConfigLog>,
        meter: &Meter,
    ) -> Self {
        Self {
            log,
            sink,
            leases,
            config,
            state: Mutex::default(),
            next: watch::Sender::new(0),
            metrics: UsageMetrics::new(meter),
        }
    }

    /// Follows the stream, closes windows and reports them; never returns.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.follow(), self.close(), self.report(), self.snapshot());
    }

    /// All windows; only the running requests of silent entries count as uncertain.
    #[must_use]
    pub fn status(&self) -> UsageStatus {
        let state = self.state.lock();
        let heads = state.heads.iter().rev();
        let mut old = heads.filter(|(at, _)| at.elapsed() >= SILENT_AFTER);
        let silent_before = old.next().map_or(0, |(_, head)| *head);
        state.reader.fold().status(silent_before)
    }
}
