//! Tenants' token limits, held over all entries by dividing them by observed demand.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::names::Tenant;

/// Time in which the weight of observed demand falls to 1/e.
const MEMORY: Duration = Duration::from_secs(3);
/// Seconds of a tenant's rate that may be taken at once.
const BURST_S: f64 = 1.0;
/// Longest time that a refused caller is told to wait, in seconds.
const RETRY_MAX_S: f64 = 60.0;

/// One tenant's tokens at this entry.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    demand: f64,
    at: Instant,
}

impl Bucket {
    /// A full bucket of a tenant that asked for nothing yet.
    #[must_use]
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            level: rate * BURST_S,
            demand: 0.0,
            at: now,
        }
    }

    /// Demand in tokens a second, refused requests included.
    #[must_use]
    pub fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.demand * (-age / MEMORY.as_secs_f64()).exp()
    }

    /// Takes `cost` tokens of the tenant's global `rate`, of which others ask `elsewhere`.
    ///
    /// # Errors
    /// Seconds after which the tenant is within its limit again.
    pub fn take(&mut self, cost: f64, rate: f64, elsewhere: f64, now: Instant) -> Result<(), f64> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.demand = self.demand(now) + cost / MEMORY.as_secs_f64();
        self.at = now;
        let own = rate * share(self.demand, elsewhere);
        self.level = (self.level + passed * own).min(own * BURST_S);
        if self.level <= 0.0 {
            return Err((-self.level / own).clamp(1.0, RETRY_MAX_S));
        }
        // The last request may go into debt, so that one larger than the burst can run.
        self.level -= cost;
        Ok(())
    }

    /// Gives back what a request did not use.
    pub fn give_back(&mut self, tokens: f64) {
        self.level += tokens;
    }
}

/// This entry's share of a limit by its own demand and that of others.
fn share(own: f64, elsewhere: f64) -> f64 {
    if own + elsewhere <= 0.0 {
        return 1.0;
    }
    own / (own + elsewhere)
}

/// All tenants' buckets of one entry.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: Mutex<BTreeMap<Tenant, Bucket>>,
}

impl Limits {
    /// Takes `cost` tokens; a `rate` of 0 sets no limit. See [`Bucket::take`].
    ///
    /// # Errors
    /// Seconds after which the tenant is within its limit again.
    pub fn take(
        &self,
        tenant: &Tenant,
        cost: f64,
        rate: f64,
        elsewhere: f64,
        now: Instant,
    ) -> Result<(), f64> {
        let mut buckets = self.buckets.lock();
        let fresh = || Bucket::new(rate, now);
        let bucket = buckets.entry(tenant.clone()).or_insert_with(fresh);
        let taken = bucket.take(cost, rate, elsewhere, now);
        if rate > 0.0 { taken } else { Ok(()) }
    }

    /// Gives back what a request did not use.
    pub fn give_back(&self, tenant: &Tenant, tokens: f64) {
        if let Some(bucket) = self.buckets.lock().get_mut(tenant) {
            bucket.give_back(tokens);
        }
    }

    /// Each tenant's demand in tokens a second; idle tenants are forgotten.
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

    /// Tokens granted in `seconds` to entries that each ask for `asked` tokens a second.
    fn granted(asked: &[f64], seconds: u32) -> f64 {
        let start = Instant::now();
        let mut buckets = vec![Bucket::new(RATE, start); asked.len()];
        let mut owed = vec![0.0; asked.len()];
        let mut total = 0.0;
        for tick in 0..seconds * 100 {
            let now = start + Duration::from_millis(10) * tick;
            let demands: Vec<f64> = buckets.iter().map(|one| one.demand(now)).collect();
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
            // Each entry's first requests come before it knows of the others.
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
    fn take_says_when_to_come_back() {
        let now = Instant::now();
        let mut bucket = Bucket::new(RATE, now);
        assert!(bucket.take(500.0, RATE, 0.0, now).is_ok());
        let wait = bucket.take(COST, RATE, 0.0, now).unwrap_err();
        assert!((wait - 4.0).abs() < 0.01, "{wait}");
    }
}
