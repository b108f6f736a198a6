//! Usage counters of one incarnation, cumulative by window, tenant and unit.

mod append;
mod copies;
mod replication;
mod tally;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate::names::{Incarnation, Tenant};
use crate::util::random_id;
use crate::wire::{PeerMessage, UsageBody, UsageCount, UsageOpen, UsageRecord, UsageUnit};

pub(super) use append::{AppendState, UsageMetrics, flush, follow};
pub use copies::{COPY_TIMEOUT, UsageCopies};
pub(super) use replication::{append_for_failed, replicate, serve_copies};
pub(super) use tally::Tally;

/// Shards, each under its own lock.
const SHARDS: usize = 8;
/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Returns the start in Unix seconds of the window that contains `now_ms`.
///
/// `length` is in seconds.
#[must_use]
pub fn window_start(now_ms: u64, length: u64) -> u64 {
    let now = now_ms / SECOND_MS;
    now - now % length.max(1)
}

/// A cumulative count, and the part that the log is known to hold.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    amount: u64,
    logged: u64,
}

/// Running requests, and the most tokens that they may generate.
#[derive(Clone, Copy, Debug, Default)]
struct Running {
    requests: u64,
    tokens: u64,
}

#[derive(Debug, Default)]
struct Shard {
    /// Windows before this one are closed: no counts are added to them.
    open_from: u64,
    counts: BTreeMap<(u64, Tenant, UsageUnit), Count>,
    running: BTreeMap<Tenant, Running>,
}

/// Cumulative usage counters, sharded by tenant.
#[derive(Debug, Default)]
pub struct UsageCounters {
    shards: [Mutex<Shard>; SHARDS],
    seq: AtomicU64,
}

/// A snapshot of the counts that the log is not known to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageBatch {
    /// The log holds all counts for windows before this one.
    pub from: u64,
    /// Cumulative counts that are not confirmed.
    pub counts: Vec<UsageCount>,
    /// Running requests by tenant.
    pub open: Vec<UsageOpen>,
}

impl UsageBatch {
    /// Builds the log record of this batch.
    #[must_use]
    pub fn record(&self, incarnation: &Incarnation, seq: u64) -> UsageRecord {
        UsageRecord {
            body: UsageBody::Counters {
                counts: self.counts.clone(),
                from: self.from,
                incarnation: incarnation.to_string(),
                open: self.open.clone(),
                seq,
            },
            id: random_id(),
        }
    }

    /// Builds the message that gives a peer a copy of this batch, in place of earlier ones.
    #[must_use]
    pub fn copy(&self, incarnation: &Incarnation, seq: u64) -> PeerMessage {
        PeerMessage::UsageCopy {
            counts: self.counts.clone(),
            from: self.from,
            incarnation: incarnation.to_string(),
            open: self.open.clone(),
            seq,
        }
    }
}

impl UsageCounters {
    fn shard(&self, tenant: &Tenant) -> &Mutex<Shard> {
        let sum = tenant.as_str().bytes().map(usize::from).sum::<usize>();
        &self.shards[sum % SHARDS]
    }

    /// Returns the sequence number of the next record or copy.
    pub(super) fn next_seq(&self) -> u64 {
        self.seq.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Adds amounts of a tenant to the window of `now_ms`.
    ///
    /// `length` is the window's length in seconds.
    pub fn add(&self, now_ms: u64, length: u64, tenant: &Tenant, amounts: &[(UsageUnit, u64)]) {
        let mut shard = self.shard(tenant).lock();
        let window = window_start(now_ms, length).max(shard.open_from);
        for (unit, amount) in amounts {
            let key = (window, tenant.clone(), *unit);
            shard.counts.entry(key).or_default().amount += amount;
        }
    }

    /// Records the start of a request that may generate `tokens`.
    pub(super) fn begin(&self, tenant: &Tenant, tokens: u64) {
        let mut shard = self.shard(tenant).lock();
        let running = shard.running.entry(tenant.clone()).or_default();
        running.requests += 1;
        running.tokens += tokens;
    }

    /// Records the end of a request that might have generated `tokens`.
    pub(super) fn end(&self, tenant: &Tenant, tokens: u64) {
        let mut shard = self.shard(tenant).lock();
        let Some(running) = shard.running.get_mut(tenant) else {
            return;
        };
        running.requests = running.requests.saturating_sub(1);
        running.tokens = running.tokens.saturating_sub(tokens);
        if running.requests == 0 {
            shard.running.remove(tenant);
        }
    }

    /// Collects the counts that the log is not known to hold; `current` is the current window.
    ///
    /// Windows before `current` are closed from now on, even if the clock goes back. Closed
    /// windows whose counts the log holds are dropped.
    pub fn batch(&self, current: u64) -> UsageBatch {
        let mut batch = UsageBatch {
            from: current,
            ..UsageBatch::default()
        };
        for shard in &self.shards {
            shard.lock().collect(current, &mut batch);
        }
        batch.open.sort_by(|a, b| a.tenant.cmp(&b.tenant));
        batch
    }

    /// Records that the log holds a batch.
    pub fn confirm(&self, batch: &UsageBatch) {
        for count in &batch.counts {
            let tenant = Tenant::from(&*count.tenant);
            let mut shard = self.shard(&tenant).lock();
            if let Some(known) = shard.counts.get_mut(&(count.window, tenant, count.unit)) {
                known.logged = known.logged.max(count.amount);
            }
        }
    }
}

impl Shard {
    fn collect(&mut self, current: u64, batch: &mut UsageBatch) {
        self.open_from = self.open_from.max(current);
        self.counts
            .retain(|(window, ..), count| *window >= current || count.amount > count.logged);
        for ((window, tenant, unit), count) in &self.counts {
            if count.amount == count.logged {
                continue;
            }
            batch.from = batch.from.min(*window);
            batch.counts.push(UsageCount {
                amount: count.amount,
                tenant: tenant.to_string(),
                unit: *unit,
                window: *window,
            });
        }
        let open = self.running.iter().map(|(tenant, running)| UsageOpen {
            requests: running.requests,
            tenant: tenant.to_string(),
            tokens: running.tokens,
        });
        batch.open.extend(open);
    }
}
