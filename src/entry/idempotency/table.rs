//! The deduplication table of idempotency keys that this entry owns.
//!
//! A key in the table never runs again.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use sha2::{Digest as _, Sha256};
use tokio::sync::watch;

use super::super::plain::PlainAnswer;
use crate::http::{Refusal, RefusalKind};
use crate::names::Tenant;
use crate::wire::Run;

/// Shards of the table, each under its own lock.
const SHARDS: usize = 16;

/// Capacity limits of the table.
#[derive(Clone, Copy, Debug)]
pub(in crate::entry) struct Bounds {
    /// Total size of stored outcomes in bytes.
    pub bytes: usize,
    /// Keys in the table, tombstones included.
    ///
    /// Each key becomes a tombstone when its outcome is evicted.
    pub tombstones: usize,
    /// Keys whose call is running.
    pub running: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            bytes: 64 << 20,
            tombstones: 500_000,
            running: 4_096,
        }
    }
}

/// A SHA-256 digest truncated to 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Digest16([u8; 16]);

impl Digest16 {
    fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize()[..16]);
        Self(first)
    }

    /// Hashes a key, in the scope of its tenant or of the open routes.
    pub(super) fn key(tenant: Option<&Tenant>, id: &str) -> Self {
        let scope: &[u8] = if tenant.is_some() { b"t" } else { b"o" };
        let tenant = tenant.map_or("", Tenant::as_str);
        Self::of(&[scope, tenant.as_bytes(), id.as_bytes()])
    }

    /// Hashes a request, to detect that a key is reused with another request.
    pub(super) fn request(method: &str, target: &str, body: &[u8]) -> Self {
        Self::of(&[method.as_bytes(), target.as_bytes(), body])
    }
}

/// The outcome of a key's call.
pub(super) type Outcome = Result<Arc<PlainAnswer>, Refusal>;

#[derive(Debug)]
enum State {
    Running(watch::Sender<Option<Outcome>>),
    Ended { outcome: Outcome, until: Instant },
}

#[derive(Debug)]
struct Slot {
    request: Digest16,
    state: State,
}

/// What to do with a call, by the state of its key.
#[derive(Debug)]
pub(super) enum Begin {
    /// The key is new: run the call. The key counts as running from now on.
    Run,
    /// The call is running: wait for its outcome.
    Wait(watch::Receiver<Option<Outcome>>),
    /// The call ended with this outcome.
    Ended(Outcome),
    /// Refuse the call.
    Refuse(Refusal),
}

#[derive(Debug, Default)]
struct Shard {
    slots: HashMap<Digest16, Slot>,
    /// Keys with a stored outcome, in the order in which their calls ended.
    ended: VecDeque<Digest16>,
    /// Keys that ran and whose outcome was evicted.
    tombstones: HashSet<Digest16>,
    /// Total size of stored outcomes in bytes.
    bytes: usize,
    /// Keys whose call is running.
    running: usize,
}

/// All idempotency keys that this entry owns.
#[derive(Debug)]
pub(in crate::entry) struct DedupTable {
    shards: Vec<Mutex<Shard>>,
    bounds: Bounds,
}

impl Default for DedupTable {
    fn default() -> Self {
        Self::new(Bounds::default())
    }
}

impl DedupTable {
    /// Creates an empty table; `bounds` are divided among the shards.
    pub(super) fn new(bounds: Bounds) -> Self {
        let share = |whole: usize| whole.div_ceil(SHARDS);
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            bounds: Bounds {
                bytes: share(bounds.bytes),
                tombstones: share(bounds.tombstones),
                running: share(bounds.running),
            },
        }
    }

    fn shard(&self, key: Digest16) -> &Mutex<Shard> {
        &self.shards[usize::from(key.0[0]) % SHARDS]
    }

    /// Looks up a key, and adds it as running if it is new.
    pub(super) fn begin(&self, key: Digest16, request: Digest16, now: Instant) -> Begin {
        let mut shard = self.shard(key).lock();
        shard.evict_expired(now);
        if let Some(slot) = shard.slots.get(&key) {
            return slot.begin(request);
        }
        if shard.tombstones.contains(&key) {
            let detail = "the call ran, but its answer is no longer kept";
            return Begin::Refuse(Refusal::with_run(
                RefusalKind::AnswerDropped,
                detail,
                Run::Ran,
            ));
        }
        // Each key needs room among the tombstones once its outcome is evicted.
        let known = shard.tombstones.len() + shard.slots.len();
        if known >= self.bounds.tombstones || shard.running >= self.bounds.running {
            let detail = "this entry can remember no more idempotency keys; use another entry";
            return Begin::Refuse(Refusal::not_run(RefusalKind::Overloaded, detail));
        }
        let state = State::Running(watch::Sender::new(None));
        shard.slots.insert(key, Slot { request, state });
        shard.running += 1;
        Begin::Run
    }

    /// Ends a running key; the outcome is stored until `until`, or until it is evicted for space.
    ///
    /// A key whose call certainly did not run is removed, so that the caller may retry.
    pub(super) fn end(&self, key: Digest16, outcome: Outcome, until: Instant) {
        let mut shard = self.shard(key).lock();
        let Some(slot) = shard.slots.remove(&key) else {
            return;
        };
        let State::Running(sender) = slot.state else {
            shard.slots.insert(key, slot);
            return;
        };
        shard.running -= 1;
        let ran = !matches!(&outcome, Err(refusal) if refusal.run == Run::NotRun);
        if ran {
            shard.bytes += size(&outcome);
            let state = State::Ended {
                outcome: outcome.clone(),
                until,
            };
            let request = slot.request;
            shard.slots.insert(key, Slot { request, state });
            shard.ended.push_back(key);
            shard.evict_to(self.bounds.bytes);
        }
        drop(shard);
        sender.send_replace(Some(outcome));
    }

    /// The number of keys: running, with a stored outcome, and tombstones.
    pub(in crate::entry) fn len(&self) -> usize {
        let count = |shard: &Mutex<Shard>| {
            let shard = shard.lock();
            shard.slots.len() + shard.tombstones.len()
        };
        self.shards.iter().map(count).sum()
    }
}

impl Slot {
    fn begin(&self, request: Digest16) -> Begin {
        if self.request != request {
            let detail = "the idempotency key came with another request before";
            return Begin::Refuse(Refusal::not_run(RefusalKind::KeyReused, detail));
        }
        match &self.state {
            State::Running(sender) => Begin::Wait(sender.subscribe()),
            State::Ended { outcome, .. } => Begin::Ended(outcome.clone()),
        }
    }
}

impl Shard {
    /// Evicts expired outcomes, oldest first, up to the first that has not expired.
    fn evict_expired(&mut self, now: Instant) {
        while let Some(key) = self.ended.front().copied() {
            let expired = match self.slots.get(&key) {
                Some(slot) => matches!(slot.state, State::Ended { until, .. } if until <= now),
                None => true,
            };
            if !expired {
                return;
            }
            self.evict_oldest();
        }
    }

    /// Evicts the oldest outcomes until the rest fits into `bytes`.
    fn evict_to(&mut self, bytes: usize) {
        while self.bytes > bytes && !self.ended.is_empty() {
            self.evict_oldest();
        }
    }

    /// Evicts the oldest stored outcome; the key stays as a tombstone.
    fn evict_oldest(&mut self) {
        let Some(key) = self.ended.pop_front() else {
            return;
        };
        if let Some(Slot {
            state: State::Ended { outcome, .. },
            ..
        }) = self.slots.remove(&key)
        {
            self.bytes -= size(&outcome);
            self.tombstones.insert(key);
        }
    }
}

/// Estimates the memory of a stored outcome in bytes.
fn size(outcome: &Outcome) -> usize {
    const OVERHEAD_BYTES: usize = 256;
    match outcome {
        Ok(answer) => {
            let headers = answer.headers.iter();
            let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
            answer.body.len() + headers + OVERHEAD_BYTES
        }
        Err(refusal) => refusal.detail.len() + OVERHEAD_BYTES,
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use bytes::Bytes;
    use http::{HeaderMap, StatusCode};

    use super::*;

    const KEEP: Duration = Duration::from_secs(10);

    fn key(n: usize) -> Digest16 {
        Digest16::key(Some(&Tenant::from("desk")), &n.to_string())
    }

    fn request(body: &str) -> Digest16 {
        Digest16::request("POST", "/orders", body.as_bytes())
    }

    fn answer(bytes: usize) -> Arc<PlainAnswer> {
        Arc::new(PlainAnswer {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::from(vec![b'x'; bytes]),
        })
    }

    fn refused(begin: &Begin) -> (RefusalKind, Run) {
        match begin {
            Begin::Refuse(refusal) => (refusal.kind, refusal.run),
            other => panic!("not refused: {other:?}"),
        }
    }

    #[test]
    fn begin_runs_once() {
        let now = Instant::now();
        let table = DedupTable::default();
        assert!(matches!(table.begin(key(1), request("a"), now), Begin::Run));
        let Begin::Wait(waiting) = table.begin(key(1), request("a"), now) else {
            panic!("the second does not wait");
        };
        let reused = table.begin(key(1), request("b"), now);
        assert_eq!(refused(&reused), (RefusalKind::KeyReused, Run::NotRun));
        table.end(key(1), Ok(answer(3)), now + KEEP);
        assert!(matches!(&*waiting.borrow(), Some(Ok(_))));
        let again = table.begin(key(1), request("a"), now);
        assert!(matches!(again, Begin::Ended(Ok(_))));
    }

    #[test]
    fn begin_refuses_evicted_outcome() {
        let now = Instant::now();
        let table = DedupTable::default();
        assert!(matches!(table.begin(key(1), request("a"), now), Begin::Run));
        table.end(key(1), Ok(answer(3)), now + KEEP);
        let later = table.begin(key(1), request("a"), now + KEEP);
        assert_eq!(refused(&later), (RefusalKind::AnswerDropped, Run::Ran));
    }

    #[test]
    fn begin_bounds_memory() {
        let now = Instant::now();
        let table = DedupTable::new(Bounds {
            bytes: SHARDS * 1_000,
            tombstones: SHARDS * 10,
            running: SHARDS * 4,
        });
        let mut ran = Vec::new();
        for n in 0..400 {
            match table.begin(key(n), request("a"), now) {
                Begin::Run => {
                    table.end(key(n), Ok(answer(400)), now + KEEP);
                    ran.push(n);
                }
                other => assert_eq!(refused(&other), (RefusalKind::Overloaded, Run::NotRun)),
            }
        }
        assert_eq!(ran.len(), SHARDS * 10);
        for n in ran {
            let again = table.begin(key(n), request("a"), now);
            assert!(
                !matches!(again, Begin::Run | Begin::Wait(_)),
                "{n} ran twice"
            );
        }
        let bytes: usize = table.shards.iter().map(|shard| shard.lock().bytes).sum();
        assert!(bytes <= SHARDS * 1_000);
    }

    #[test]
    fn end_not_run_allows_retry() {
        let now = Instant::now();
        let table = DedupTable::default();
        assert!(matches!(table.begin(key(1), request("a"), now), Begin::Run));
        let refusal = Refusal::not_run(RefusalKind::NoServer, "none");
        table.end(key(1), Err(refusal), now + KEEP);
        assert!(matches!(table.begin(key(1), request("a"), now), Begin::Run));
        let refusal = Refusal::unknown(RefusalKind::ServerFailed, "broke");
        table.end(key(1), Err(refusal), now + KEEP);
        let again = table.begin(key(1), request("a"), now);
        assert!(matches!(again, Begin::Ended(Err(_))));
    }

    #[test]
    fn key_is_scoped_to_tenant() {
        let desk = Tenant::from("desk");
        let shop = Tenant::from("shop");
        assert_ne!(
            Digest16::key(Some(&desk), "1"),
            Digest16::key(Some(&shop), "1")
        );
        assert_ne!(
            Digest16::key(Some(&Tenant::from("")), "1"),
            Digest16::key(None, "1")
        );
    }
}
