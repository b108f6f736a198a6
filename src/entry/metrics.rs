//! The entry's metrics.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::burn_rate::Outcome;
use crate::names::Tenant;

/// Histogram buckets in seconds, from a millisecond to two minutes.
const SECONDS_BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 30.0, 120.0,
];

/// The kind of an attempt to run a request on a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first attempt.
    First,
    /// An attempt after a failure that produced no tokens.
    Retry,
    /// An attempt that continues after the tokens generated so far.
    Resume,
}

impl Attempt {
    fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resume => "resume",
        }
    }
}

/// Counters and histograms of one entry.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first: Histogram<f64>,
    judged: Counter<u64>,
    waiting: Gauge<u64>,
    attempts: Counter<u64>,
    crashes: Counter<u64>,
}

impl EntryMetrics {
    /// Creates the instruments with `meter`.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let requests = meter
            .u64_counter("basillead_requests")
            .with_description("Answered requests by kind and outcome.");
        let tokens = meter
            .u64_counter("basillead_tokens")
            .with_description("Tokens relayed to callers by tenant.");
        let first = meter
            .f64_histogram("basillead_first_token_seconds")
            .with_description("Time from the request's arrival to its first token.")
            .with_boundaries(SECONDS_BUCKETS.to_vec());
        let judged = meter
            .u64_counter("basillead_judged_requests")
            .with_description("Requests by tenant and outcome against the objective.");
        let waiting = meter
            .u64_gauge("basillead_waiting_requests")
            .with_description("Requests that wait for leave to run.");
        let attempts = meter
            .u64_counter("basillead_attempts")
            .with_description("Attempts on backend servers: first ones, retries, resumes.");
        let crashes = meter
            .u64_counter("basillead_server_crashes")
            .with_description("Requests that ran on a backend server when it crashed.");
        Self {
            attempts: attempts.build(),
            crashes: crashes.build(),
            waiting: waiting.build(),
            requests: requests.build(),
            tokens: tokens.build(),
            first: first.build(),
            judged: judged.build(),
        }
    }

    /// Counts an attempt on a backend server.
    pub fn attempt(&self, kind: Attempt) {
        self.attempts.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts a request that ran on a server when it crashed.
    pub fn crash(&self, alone: bool) {
        self.crashes.add(1, &[KeyValue::new("alone", alone)]);
    }

    /// Records the number of requests waiting in the queues.
    pub fn waiting(&self, requests: usize) {
        self.waiting.record(requests as u64, &[]);
    }

    /// Counts an answered request. `outcome` is `ok` or the refusal's kind.
    pub fn request(&self, kind: &'static str, outcome: &str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome.to_owned()),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts a request that was judged against the objective.
    pub fn judged(&self, tenant: &str, outcome: Outcome) {
        let labels = [
            KeyValue::new("tenant", tenant.to_owned()),
            KeyValue::new("outcome", outcome.name()),
        ];
        self.judged.add(1, &labels);
    }

    /// Counts relayed tokens.
    pub fn tokens(&self, tenant: &Tenant, tokens: u64) {
        let labels = [KeyValue::new("tenant", tenant.to_string())];
        self.tokens.add(tokens, &labels);
    }

    /// Records the time to the first token.
    pub fn first_token(&self, tenant: &Tenant, seconds: f64) {
        let labels = [KeyValue::new("tenant", tenant.to_string())];
        self.first.record(seconds, &labels);
    }
}
