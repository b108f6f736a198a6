//! Tenants' rate limits in tokens, divided among all entries by observed demand.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::names::Tenant;

/// Time constant of the demand average: weights decay to 1/e in this time.
const DEMAND_DECAY: Duration = Duration::from_secs(3);
/// Largest burst, in seconds of a tenant's rate.
const BURST_S: f64 = 1.0;
/// Longest retry time given to a refused caller, in seconds.
const RETRY_MAX_S: f64 = 60.0;

/// A token bucket for one tenant at this entry.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Available tokens; negative while in debt.
    level: f64,
    /// Average demand in tokens a second at the last update.
    demand: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket without demand.
    #[must_use]
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            level: rate * BURST_S,
            demand: 0.0,
            updated: now,
        }
    }

    /// Returns the demand in tokens a second, refused requests included.
    #[must_use]
    pub fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.demand * (-age / DEMAND_DECAY.as_secs_f64()).exp()
    }

    /// Takes `cost` tokens from this entry's share of the tenant's global `rate`.
    ///
    /// `rate` and `elsewhere`, the demand at other entries, are in tokens a second.
    ///
    /// # Errors
    /// The tenant is over its limit; the error is the retry time in seconds.
    pub fn take(&mut self, cost: f64, rate: f64, elsewhere: f64, now: Instant) -> Result<(), f64> {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.demand = self.demand(now) + cost / DEMAND_DECAY.as_secs_f64();
        self.updated = now;
        let own = rate * share(self.demand, elsewhere);
        self.level = (self.level + passed * own).min(own * BURST_S);
        if self.level <= 0.0 {
            return Err((-self.level / own).clamp(1.0, RETRY_MAX_S));
        }
        // The last request may put the bucket in debt, so that a request larger than the burst
        // can run.
        self.level -= cost;
        Ok(())
    }

    /// Refunds the tokens that a request did not use.
    pub fn refund(&mut self, tokens: f64) {
        self.level += tokens;
    }
}

/// Returns this entry's share of a limit, in proportion to its demand.
fn share(own: f64, elsewhere: f64) -> f64 {
    if own + elsewhere <= 0.0 {
        return 1.0;
    }
    own / (own + elsewhere)
}

/// The token buckets of all tenants at this entry.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: Mutex<BTreeMap<Tenant, TokenBucket>>,
}

impl Limits {
    /// Takes `cost` tokens; a `rate` of 0 sets no limit. See [`TokenBucket::take`].
    ///
    /// # Errors
    /// The tenant is over its limit; the error is the retry time in seconds.
    pub fn take(
        &self,
        tenant: &Tenant,
        cost: f64,
        rate: f64,
        elsewhere: f64,
        now: Instant,
    ) -> Result<(), f64> {
        let mut buckets = self.buckets.lock();
        let new_bucket = || TokenBucket::new(rate, now);
        let bucket = buckets.entry(tenant.clone()).or_insert_with(new_bucket);
        let taken = bucket.take(cost, rate, elsewhere, now);
        if rate > 0.0 { taken } else { Ok(()) }
    }

    /// Refunds the tokens that a request did not use.
    pub fn refund(&self, tenant: &Tenant, tokens: f64) {
        if let Some(bucket) = self.buckets.lock().get_mut(tenant) {
            bucket.refund(tokens);
        }
    }

    /// Returns each tenant's demand in tokens a second, and drops the buckets of idle tenants.
    #[must_use]
    pub fn demand(&self, now: Instant) -> Vec<(Tenant, f64)> {
        let mut buckets = self.buckets.lock();
        buckets.retain(|_, bucket| bucket.demand(now) >= 1.0 || bucket.level < 0.0);
        let each = buckets.iter();
        each.map(|(tenant, bucket)| (tenant.clone(), bucket.demand(now)))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RATE: f64 = 100.0;
    const COST: f64 = 10.0;

    /// Returns the tokens granted in `seconds` to entries with demands of `asked` tokens a second.
    fn granted(asked: &[f64], seconds: u32) -> f64 {
        let start = Instant::now();
        let mut buckets = vec![TokenBucket::new(RATE, start); asked.len()];
        let mut owed = vec![0.0; asked.len()];
        let mut total = 0.0;
        for tick in 0..seconds * 100 {
            let now = start + Duration::from_millis(10) * tick;
            let demands: Vec<f64> = buckets.iter().map(|bucket| bucket.demand(now)).collect();
            let all: f64 = demands.iter().sum();
            for (n, bucket) in buckets.iter_mut().enumerate() {
                owed[n] += asked[n] / 100.0;
                while owed[n] >= COST {
                    owed[n] -= COST;
                    let elsewhere = all - demands[n];
                    if bucket.take(COST, RATE, elsewhere, now).is_ok() {
                        total += COST;
                    }
                }
            }
        }
        total
    }

    #[test]
    fn take_holds_limit_over_entries() {
        for asked in [&[1_000.0][..], &[1_000.0, 200.0, 0.0], &[400.0; 9]] {
            let tokens = granted(asked, 30);
            // Each entry admits its first requests before it knows the demand of others.
            let first = RATE * BURST_S + COST;
            let count = u32::try_from(asked.len()).expect("a small number");
            let most = RATE * 30.0 + first * f64::from(count);
            assert!(tokens <= most, "{asked:?}: {tokens}");
            assert!(tokens >= RATE * 30.0 * 0.9, "{asked:?}: {tokens}");
        }
    }

    #[test]
    fn take_grants_all_below_limit() {
        assert!(granted(&[40.0, 40.0], 30) >= 80.0 * 30.0 - 2.0 * COST);
    }

    #[test]
    fn take_returns_retry_time() {
        let now = Instant::now();
        let mut bucket = TokenBucket::new(RATE, now);
        assert!(bucket.take(500.0, RATE, 0.0, now).is_ok());
        let wait = bucket.take(COST, RATE, 0.0, now).unwrap_err();
        assert!((wait - 4.0).abs() < 0.01, "{wait}");
    }
}
