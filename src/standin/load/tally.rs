//! Counts outcomes and latencies by tenant, and reports them.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::Outcome;

/// Upper bound of histograms in microseconds; longer latencies are recorded as this bound.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Most failed requests described in the report.
const ERRORS_SHOWN: usize = 5;
/// Significant decimal digits of histograms.
const DIGITS: u8 = 3;

/// Outcomes and latencies of one tenant's requests.
#[derive(Debug)]
struct Counts {
    asked: u64,
    whole: u64,
    failed: u64,
    unanswered: u64,
    wrong: u64,
    /// Refusals because of load that do not say that the request did not run.
    maybe_run: u64,
    /// Refusals because of load without a `Retry-After` header.
    no_retry: u64,
    /// Refusals by the title of their problem document.
    kinds: BTreeMap<String, u64>,
    first: Histogram<u64>,
    last: Histogram<u64>,
    refused: Histogram<u64>,
}

impl Default for Counts {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are valid");
        Self {
            asked: 0,
            whole: 0,
            failed: 0,
            unanswered: 0,
            wrong: 0,
            maybe_run: 0,
            no_retry: 0,
            kinds: BTreeMap::new(),
            first: histogram(),
            last: histogram(),
            refused: histogram(),
        }
    }
}

/// All tenants' counts.
#[derive(Debug)]
pub(super) struct Tally {
    tokens: u32,
    /// Descriptions of failed requests, in order.
    errors: Vec<String>,
    tenants: BTreeMap<String, Counts>,
}

/// One tenant's part of the report.
#[derive(Debug, Serialize)]
pub(super) struct TenantReport {
    asked: u64,
    whole: u64,
    failed: u64,
    unanswered: u64,
    /// Refusals because of load that do not say that the request did not run.
    refused_untrue: u64,
    /// Refusals because of load without a `Retry-After` header.
    refused_unsaid: u64,
    refused: BTreeMap<String, u64>,
    first_p50_ms: f64,
    first_p99_ms: f64,
    last_p99_ms: f64,
    refused_p99_ms: f64,
    /// Share of the requests with a complete answer.
    share: f64,
}

/// The figures of a load, over all tenants and by tenant.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    pub(super) wrong: u64,
    asked: u64,
    whole: u64,
    /// Tokens of complete answers per second.
    goodput: f64,
    errors: Vec<String>,
    tenants: BTreeMap<String, TenantReport>,
}

impl Tally {
    /// Creates a tally of answers of `tokens` tokens each.
    pub(super) fn new(tokens: u32) -> Self {
        Self {
            tokens,
            errors: Vec::new(),
            tenants: BTreeMap::new(),
        }
    }

    /// Counts the outcome of a request.
    pub(super) fn add(&mut self, tenant: &str, outcome: &Outcome) {
        let counts = self.tenants.entry(tenant.to_owned()).or_default();
        counts.asked += 1;
        match outcome {
            Outcome::Complete { first, last } => {
                counts.whole += 1;
                counts.first.saturating_record(micros(*first));
                counts.last.saturating_record(micros(*last));
            }
            Outcome::Refused {
                kind,
                not_run,
                retry_after,
                after,
            } => {
                let is_load = ["overloaded", "over-limit"].contains(&kind.as_str());
                *counts.kinds.entry(kind.clone()).or_default() += 1;
                counts.maybe_run += u64::from(is_load && !not_run);
                counts.no_retry += u64::from(is_load && !retry_after);
                counts.refused.saturating_record(micros(*after));
            }
            Outcome::Failed(detail) | Outcome::NoAnswer(detail) => {
                self.errors.push(format!("{tenant}: {detail}"));
                let is_failed = matches!(outcome, Outcome::Failed(_));
                counts.failed += u64::from(is_failed);
                counts.unanswered += u64::from(!is_failed);
            }
            Outcome::Wrong(detail) => {
                self.errors.push(format!("{tenant}: wrong: {detail}"));
                counts.wrong += 1;
            }
        }
    }

    /// Reports the figures of `seconds` of load.
    pub(super) fn report(&self, seconds: u64) -> Report {
        let all = self.tenants.values();
        let whole: u64 = all.clone().map(|counts| counts.whole).sum();
        let tenants = self.tenants.iter();
        Report {
            wrong: all.clone().map(|counts| counts.wrong).sum(),
            asked: all.map(|counts| counts.asked).sum(),
            whole,
            goodput: ratio(whole * u64::from(self.tokens), seconds),
            errors: self.errors.iter().take(ERRORS_SHOWN).cloned().collect(),
            tenants: tenants
                .map(|(name, counts)| (name.clone(), counts.report()))
                .collect(),
        }
    }
}

impl Counts {
    fn report(&self) -> TenantReport {
        TenantReport {
            asked: self.asked,
            whole: self.whole,
            failed: self.failed,
            unanswered: self.unanswered,
            refused_untrue: self.maybe_run,
            refused_unsaid: self.no_retry,
            refused: self.kinds.clone(),
            first_p50_ms: millis(&self.first, 0.5),
            first_p99_ms: millis(&self.first, 0.99),
            last_p99_ms: millis(&self.last, 0.99),
            refused_p99_ms: millis(&self.refused, 0.99),
            share: ratio(self.whole, self.asked),
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    ratio(histogram.value_at_quantile(quantile), 1_000)
}
