//! Checks before a request runs: its deadline, the tenant's rate limit, then the admission queue.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderMap;

use crate::http::{Refusal, RefusalKind};
use crate::names::{Pool, Tenant};

use super::admit::{Bounds, Permit};
use super::fair::{PriorityClass, QueueRequest};
use super::{Entry, gossip};

/// Request header with the caller's timeout in milliseconds.
pub(super) const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Prompt bytes that cost an engine as much time as one token of an answer.
const PROMPT_BYTES_PER_TOKEN: f64 = 200.0;
/// Interval between updates of the queues' limits.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Tenant name under which calls without a key are queued.
const OPEN_TENANT: &str = "";

/// A request that is to run on a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRequest<'a> {
    /// The pool to run on.
    pub pool: &'a Pool,
    /// The tenant that sent the request; none on open routes.
    pub tenant: Option<&'a Tenant>,
    /// The request's priority class.
    pub class: PriorityClass,
    /// Expected cost in tokens.
    pub cost: f64,
    /// Whether the cost counts towards the tenant's rate limit.
    pub limited: bool,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// An admitted request. Dropping it releases its permit and refunds unused tokens.
#[derive(Debug)]
pub(super) struct Admitted {
    entry: Arc<Entry>,
    tenant: Tenant,
    /// Tokens taken from the tenant's bucket.
    counted: f64,
    used: f64,
    permit: Permit,
}

impl Admitted {
    /// Sets the tokens that the request has used so far.
    pub(super) fn set_used(&mut self, used: f64) {
        self.used = used;
        self.permit.set_used(used);
    }

    /// Waits until a live request needs the permit; see [`Permit::preempted`].
    pub(super) async fn preempted(&self) {
        self.permit.preempted().await;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if self.counted > 0.0 {
            let unused = self.counted - self.used;
            self.entry.limits.refund(&self.tenant, unused);
        }
    }
}

/// Estimates the cost in tokens of a prompt of `bytes` and an answer of `tokens`.
pub(super) fn cost(bytes: usize, tokens: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let (bytes, tokens) = (bytes as f64, tokens as f64);
    tokens + bytes / PROMPT_BYTES_PER_TOKEN
}

/// Returns the deadline of a request: the caller's timeout, but at most `limit_ms`.
///
/// # Errors
/// The caller's timeout is not a positive integer.
pub(super) fn deadline(
    headers: &HeaderMap,
    limit_ms: u64,
    now: Instant,
) -> Result<Instant, Refusal> {
    let stated = match headers.get(TIMEOUT_HEADER) {
        None => limit_ms,
        Some(value) => {
            let text = value.to_str().unwrap_or_default();
            let parsed = text.parse().ok().filter(|ms| *ms > 0);
            parsed.ok_or_else(|| {
                let detail = format!("{TIMEOUT_HEADER} is not a positive number");
                Refusal::not_run(RefusalKind::Malformed, detail)
            })?
        }
    };
    Ok(now + Duration::from_millis(stated.min(limit_ms)))
}

/// Checks a request against its tenant's rate limit, then waits until it may run.
///
/// # Errors
/// The tenant is over its rate limit, or the request was not admitted; it did not run.
pub(super) async fn admit(
    entry: &Arc<Entry>,
    pool_request: PoolRequest<'_>,
) -> Result<Admitted, Refusal> {
    let state = entry.config.state();
    let open = Tenant::from(OPEN_TENANT);
    let tenant = pool_request.tenant.unwrap_or(&open);
    let spec = state.manifest.tenants.get(tenant);
    let rate = spec.map_or(0, |spec| spec.rate);
    let counted = if pool_request.limited {
        pool_request.cost
    } else {
        0.0
    };
    if pool_request.limited {
        let elsewhere = entry.other_entries.load().demand_of(tenant);
        let rate = to_f64(rate);
        let taken = entry
            .limits
            .take(tenant, counted, rate, elsewhere, Instant::now());
        taken.map_err(over_limit)?;
    }
    let request = QueueRequest {
        tenant,
        weight: spec.map_or(1.0, |spec| to_f64(spec.weight)),
        class: pool_request.class,
        cost: pool_request.cost,
        deadline: pool_request.deadline,
    };
    if entry.admission.is_closed(pool_request.pool) {
        // The manifest or the first server may have arrived since the last update.
        refresh_pool(entry, pool_request.pool, Instant::now());
    }
    let admitted = entry.admission.admit(pool_request.pool, request).await;
    if admitted.is_err() {
        entry.limits.refund(tenant, counted);
    }
    Ok(Admitted {
        entry: Arc::clone(entry),
        tenant: tenant.clone(),
        counted,
        used: 0.0,
        permit: admitted?,
    })
}

fn over_limit(seconds: f64) -> Refusal {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value lies between 1 and 60"
    )]
    let retry = seconds.ceil() as u64;
    let detail = "the tenant is over its limit of tokens a second";
    Refusal::not_run(RefusalKind::OverLimit, detail).retry_after(retry)
}

/// Converts a number of the manifest to a float.
#[expect(clippy::cast_precision_loss, reason = "settings are far below 2^52")]
pub(super) fn to_f64(number: u64) -> f64 {
    number as f64
}

/// Exchanges load with the peers and keeps the limits of all queues up to date; never returns.
pub(super) async fn follow_bounds(entry: Arc<Entry>) {
    loop {
        let now = Instant::now();
        gossip::collect(&entry, now);
        refresh(&entry, now);
        gossip::publish(&entry, now);
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Updates the limits of all queues.
fn refresh(entry: &Entry, now: Instant) {
    for pool in entry.config.state().manifest.pools.keys() {
        refresh_pool(entry, pool, now);
    }
    entry.counts.waiting(entry.admission.waiting());
}

/// Updates a pool's limits from its running servers and the load of other entries on them.
fn refresh_pool(entry: &Entry, pool: &Pool, now: Instant) {
    let state = entry.config.state();
    let others = entry.other_entries.load();
    let servers = entry.servers.running(pool);
    let slots = state.manifest.pools.get(pool).map_or(0, |spec| spec.slots);
    let capacity = to_f64(slots) * to_f64(servers.len() as u64);
    let elsewhere = others.inflight_on(&servers);
    let own = f64::from(entry.admission.running(pool));
    let bounds = Bounds {
        running: own_share(capacity, own, elsewhere, others.entries()),
        waiting: state.manifest.limits.queue,
        queue: state.manifest.policy.queue,
        refusal: state.manifest.policy.refusal,
    };
    entry.admission.refresh(pool, bounds, now);
}

/// Returns how many requests this entry may run, of a `capacity` that `entries` share.
///
/// Each entry has an equal share. An entry exceeds its share by a fraction of the unused slots
/// at a time, so that entries that see the same stale load don't all take the same slots.
fn own_share(capacity: f64, own: f64, elsewhere: f64, entries: u32) -> u32 {
    let entries = f64::from(entries.max(1));
    let left = (capacity - elsewhere).max(0.0);
    let unused = (left - own).max(0.0);
    // The excess over the equal share shrinks as soon as others use their shares.
    let grown = (own + unused / entries).ceil().min(left);
    let share = (capacity / entries).ceil().max(grown);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and the slots of a pool"
    )]
    let share = share as u32;
    share
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn own_share_is_equal_under_full_load() {
        assert_eq!(own_share(90.0, 30.0, 60.0, 3), 30);
        assert_eq!(own_share(90.0, 80.0, 60.0, 3), 30);
    }

    #[test]
    fn own_share_grows_into_unused_slots() {
        let mut own = 0.0;
        for _ in 0..30 {
            own = f64::from(own_share(90.0, own, 10.0, 3));
        }
        assert!((own - 80.0).abs() <= 1.0, "{own}");
    }

    #[test]
    fn own_share_is_nothing_without_servers() {
        assert_eq!(own_share(0.0, 5.0, 0.0, 3), 0);
    }

    #[test]
    fn deadline_takes_stated_timeout_up_to_limit() {
        let now = Instant::now();
        let mut headers = HeaderMap::new();
        let until = |ms| now + Duration::from_millis(ms);
        assert_eq!(deadline(&headers, 500, now), Ok(until(500)));
        headers.insert(TIMEOUT_HEADER, http::HeaderValue::from_static("200"));
        assert_eq!(deadline(&headers, 500, now), Ok(until(200)));
        assert_eq!(deadline(&headers, 100, now), Ok(until(100)));
        headers.insert(TIMEOUT_HEADER, http::HeaderValue::from_static("-1"));
        let refused = deadline(&headers, 500, now).unwrap_err();
        assert_eq!(refused.kind, RefusalKind::Malformed);
    }
}
