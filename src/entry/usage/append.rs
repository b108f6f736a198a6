//! Appends an entry's usage counters to the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use opentelemetry::metrics::{Counter, Meter};

use crate::edge::{Log, Stream};
use crate::failpoint;
use crate::log::Backoff;
use crate::util::{jittered, unix_ms};
use crate::wire::UsageOpen;

use super::super::Entry;
use super::{UsageBatch, window_start};

/// Longest pause between two appends while counters change.
const APPEND_PAUSE: Duration = Duration::from_millis(1_250);

/// Keep-alive interval: longest time without a record while requests run.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Metrics of the appends.
#[derive(Debug)]
pub(in crate::entry) struct UsageMetrics {
    records: Counter<u64>,
    bytes: Counter<u64>,
    failures: Counter<u64>,
}

impl UsageMetrics {
    pub(in crate::entry) fn new(meter: &Meter) -> Self {
        let records = meter
            .u64_counter("basillead_usage_records")
            .with_description("Usage records that the log took.");
        let bytes = meter
            .u64_counter("basillead_usage_record_bytes")
            .with_description("Bytes of the usage records that the log took.");
        let failures = meter
            .u64_counter("basillead_usage_append_failures")
            .with_description("Appends of usage records without an answer.");
        Self {
            records: records.build(),
            bytes: bytes.build(),
            failures: failures.build(),
        }
    }
}

/// State between appends: the running requests in the latest record, and when it was appended.
#[derive(Debug, Default)]
pub(in crate::entry) struct AppendState {
    open: Vec<UsageOpen>,
    last: Option<Instant>,
}

impl AppendState {
    /// Whether a batch needs no record.
    ///
    /// The log holds its contents already, and no keep-alive is due. While requests run, records
    /// also show that the entry is alive.
    fn is_idle(&self, batch: &UsageBatch) -> bool {
        let recent = self.last.is_some_and(|last| last.elapsed() < KEEPALIVE);
        batch.counts.is_empty() && batch.open == self.open && (batch.open.is_empty() || recent)
    }
}

/// Appends changed counters about once a second; never returns.
pub(in crate::entry) async fn follow(entry: Arc<Entry>) {
    let mut backoff = Backoff::default();
    loop {
        if append(&entry).await {
            backoff.reset();
            tokio::time::sleep(jittered(APPEND_PAUSE)).await;
        } else {
            backoff.pause().await;
        }
    }
}

/// Retries appending the remaining counters until the log holds them or `deadline` passes.
pub(in crate::entry) async fn flush(entry: &Entry, deadline: Instant) {
    let mut backoff = Backoff::default();
    while !append(entry).await {
        if Instant::now() >= deadline {
            spdlog::error!("usage counters were not appended at shutdown");
            return;
        }
        backoff.pause().await;
    }
}

/// Appends one record if anything changed. Returns whether the log holds all counts.
///
/// A record whose answer was lost is not resent: counts are cumulative, so the next record
/// includes them.
async fn append(entry: &Entry) -> bool {
    let length = entry.config.state().manifest.window;
    let mut state = entry.appends.lock().await;
    let batch = entry.usage.batch(window_start(unix_ms(), length));
    if state.is_idle(&batch) {
        return true;
    }
    let record = batch.record(&entry.incarnation, entry.usage.next_seq());
    let Ok(text) = serde_json::to_string(&record) else {
        return true;
    };
    let bytes = text.len() as u64;
    failpoint::reach("usage-before-counters").await;
    let metrics = &entry.usage_metrics;
    if let Err(error) = entry.log.append(Stream::Usage, text).await {
        metrics.failures.add(1, &[]);
        spdlog::warn!("usage append failed", kv: { error = error.to_string() });
        return false;
    }
    failpoint::reach("usage-after-counters").await;
    metrics.records.add(1, &[]);
    metrics.bytes.add(bytes, &[]);
    entry.usage.confirm(&batch);
    state.open = batch.open;
    state.last = Some(Instant::now());
    true
}
