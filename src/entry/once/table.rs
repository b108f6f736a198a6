//! The table of idempotency keys bound to this entry. A key in it never runs again.

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

/// Shards of the table, a lock each.
const SHARDS: usize = 16;

/// What the table may hold.
#[derive(Clone, Copy, Debug)]
pub(in crate::entry) struct Bounds {
    /// Bytes of kept answers.
    pub bytes: usize,
    /// Keys of which only the fact that they ran is kept.
    pub spent: usize,
    /// Keys that run.
    pub running: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            bytes: 64 << 20,
            spent: 500_000,
            running: 4_096,
        }
    }
}

/// A digest of 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Hash16([u8; 16]);

impl Hash16 {
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

    /// The identity of a key: scoped to the tenant, or to open routes.
    pub(super) fn key(tenant: Option<&Tenant>, id: &str) -> Self {
        let scope: &[u8] = if tenant.is_some() { b"t" } else { b"o" };
        let tenant = tenant.map_or("", Tenant::as_str);
        Self::of(&[scope, tenant.as_bytes(), id.as_bytes()])
    }

    /// The identity of a request.
    pub(super) fn request(method: &str, target: &str, body: &[u8]) -> Self {
        Self::of(&[method.as_bytes(), target.as_bytes(), body])
    }
}

/// The one outcome of a key.
pub(super) type Outcome = Result<Arc<PlainAnswer>, Refusal>;

#[derive(Debug)]
enum State {
    Running(watch::Sender<Option<Outcome>>),
    Kept { outcome: Outcome, until: Instant },
}

#[derive(Debug)]
struct Slot {
    request: Hash16,
    state: State,
}

/// What is to be done about a key.
#[derive(Debug)]
pub(super) enum Begin {
    /// Run it; it is counted as running from now on.
    Run,
    /// It runs already.
    Wait(watch::Receiver<Option<Outcome>>),
    /// It ended with this outcome.
    Ended(Outcome),
    /// It is refused.
    Refuse(Refusal),
}

#[derive(Debug, Default)]
struct Shard {
    slots: HashMap<Hash16, Slot>,
    /// Kept outcomes in the order in which they ended.
    ended: VecDeque<Hash16>,
    /// Keys whose outcome was dropped.
    spent: HashSet<Hash16>,
    bytes: usize,
    running: usize,
}

/// All keys bound to this entry.
#[derive(Debug)]
pub(in crate::entry) struct OnceTable {
    shards: Vec<Mutex<Shard>>,
    bounds: Bounds,
}

impl Default for OnceTable {
    fn default() -> Self {
        Self::new(Bounds::default())
    }
}

impl OnceTable {
    /// An empty table.
    pub(super) fn new(bounds: Bounds) -> Self {
        let share = |whole: usize| whole.div_ceil(SHARDS);
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            bounds: Bounds {
                bytes: share(bounds.bytes),
                spent: share(bounds.spent),
                running: share(bounds.running),
            },
        }
    }

    fn shard(&self, key: Hash16) -> &Mutex<Shard> {
        &self.shards[usize::from(key.0[0]) % SHARDS]
    }

    /// Looks a key up, and counts it as running if it is new.
    pub(super) fn begin(&self, key: Hash16, request: Hash16, now: Instant) -> Begin {
        let mut shard = self.shard(key).lock();
        shard.drop_old(now);
        if let Some(slot) = shard.slots.get(&key) {
            return slot.look(request);
        }
        if shard.spent.contains(&key) {
            let detail = "the call ran, but its answer is no longer kept";
            return Begin::Refuse(Refusal::with_run(
                RefusalKind::AnswerDropped,
                detail,
                Run::Ran,
            ));
        }
        // Every key that ends needs a place among the spent ones some day.
        let known = shard.spent.len() + shard.slots.len();
        if known >= self.bounds.spent || shard.running >= self.bounds.running {
            let detail = "this entry can remember no more idempotency keys; use another entry";
            return Begin::Refuse(Refusal::not_run(RefusalKind::Overloaded, detail));
        }
        let state = State::Running(watch::Sender::new(None));
        shard.slots.insert(key, Slot { request, state });
        shard.running += 1;
        Begin::Run
    }

    /// Ends a running key; its outcome is kept until `until` or until room is needed.
    ///
    /// A key that provably did not run is forgotten, so that the caller may try again.
    pub(super) fn end(&self, key: Hash16, outcome: Outcome, until: Instant) {
        let mut shard = self.shard(key).lock();
        let Some(slot) = shard.slots.remove(&key) else {
            return;
        };
        let State::Running(waiting) = slot.state else {
            shard.slots.insert(key, slot);
            return;
        };
        shard.running -= 1;
        let ran = !matches!(&outcome, Err(refusal) if refusal.run == Run::NotRun);
        if ran {
            shard.bytes += size(&outcome);
            let state = State::Kept {
                outcome: outcome.clone(),
                until,
            };
            let request = slot.request;
            shard.slots.insert(key, Slot { request, state });
            shard.ended.push_back(key);
            shard.make_room(self.bounds.bytes);
        }
        drop(shard);
        waiting.send_replace(Some(outcome));
    }

    /// Keys that are known: running, kept and spent.
    pub(in crate::entry) fn len(&self) -> usize {
        let count = |shard: &Mutex<Shard>| {
            let shard = shard.lock();
            shard.slots.len() + shard.spent.len()
        };
        self.shards.iter().map(count).sum()
    }
}

impl Slot {
    fn look(&self, request: Hash16) -> Begin {
        if self.request != request {
            let detail = "the idempotency key came with another request before";
            return Begin::Refuse(Refusal::not_run(RefusalKind::KeyReused, detail));
        }
        match &self.state {
            State::Running(waiting) => Begin::Wait(waiting.subscribe()),
            State::Kept { outcome, .. } => Begin::Ended(outcome.clone()),
        }
    }
}

impl Shard {
    /// Drops outcomes whose time is over; the first to end are looked at first.
    fn drop_old(&mut self, now: Instant) {
        while let Some(key) = self.ended.front().copied() {
            let over = match self.slots.get(&key) {
                Some(slot) => matches!(slot.state, State::Kept { until, .. } if until <= now),
                None => true,
            };
            if !over {
                return;
            }
            self.drop_first();
        }
    }

    fn make_room(&mut self, bytes: usize) {
        while self.bytes > bytes && !self.ended.is_empty() {
            self.drop_first();
        }
    }

    /// Drops the oldest kept outcome; the key stays known.
    fn drop_first(&mut self) {
        let Some(key) = self.ended.pop_front() else {
            return;
        };
        if let Some(Slot {
            state: State::Kept { outcome, .. },
            ..
        }) = self.slots.remove(&key)
        {
            self.bytes -= size(&outcome);
            self.spent.insert(key);
        }
    }
}

/// Bytes that an outcome is counted with.
fn size(outcome: &Outcome) -> usize {
    const OVERHEAD: usize = 256;
    match outcome {
        Ok(answer) => {
            let headers = answer.headers.iter();
            let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
            answer.body.len() + headers + OVERHEAD
        }
        Err(refusal) => refusal.detail.len() + OVERHEAD,
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use bytes::Bytes;
    use http::{HeaderMap, StatusCode};

    use super::*;

    const KEEP: Duration = Duration::from_secs(10);

    fn key(n: usize) -> Hash16 {
        Hash16::key(Some(&Tenant::from("desk")), &n.to_string())
    }

    fn request(body: &str) -> Hash16 {
        Hash16::request("POST", "/orders", body.as_bytes())
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
        let table = OnceTable::default();
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
    fn begin_remembers_dropped_answer() {
        let now = Instant::now();
        let table = OnceTable::default();
        assert!(matches!(table.begin(key(1), request("a"), now), Begin::Run));
        table.end(key(1), Ok(answer(3)), now + KEEP);
        let later = table.begin(key(1), request("a"), now + KEEP);
        assert_eq!(refused(&later), (RefusalKind::AnswerDropped, Run::Ran));
    }

    #[test]
    fn begin_bounds_memory() {
        let now = Instant::now();
        let table = OnceTable::new(Bounds {
            bytes: SHARDS * 1_000,
            spent: SHARDS * 10,
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
    fn end_not_run_may_try_again() {
        let now = Instant::now();
        let table = OnceTable::default();
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
        assert_ne!(Hash16::key(Some(&desk), "1"), Hash16::key(Some(&shop), "1"));
        assert_ne!(
            Hash16::key(Some(&Tenant::from("")), "1"),
            Hash16::key(None, "1")
        );
    }
}
