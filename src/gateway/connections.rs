//! The open connections of all listeners: their number, the bytes of incomplete requests, and
//! which are closed when a limit is reached.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::evict::{Phase, Shortage, View, choose};
use crate::boot::Boot;
use crate::instance::deployment::Limits;

/// Share of the memory that connections may take beside their requests.
const MEMORY_SHARE: usize = 8;
/// Memory in bytes that a connection takes: its task, and a read and a write buffer of 8 KB each,
/// which are touched in part.
const CONNECTION_BYTES: usize = 12 << 10;
/// Share of the memory that request heads may take while they arrive.
const HEADS_MEMORY_SHARE: usize = 16;
/// Share of the descriptors that connections may take; the others are for servers and the store.
const FDS_SHARE: usize = 2;

/// Limits on connections, derived from what the process may use.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Number of open connections.
    pub open: usize,
    /// Bytes of incomplete request heads.
    pub heads: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the memory in bytes and the number of descriptors.
    #[must_use]
    pub fn new(memory: usize, max_fds: Option<usize>) -> Self {
        let by_memory = memory / MEMORY_SHARE / CONNECTION_BYTES;
        let by_fds = max_fds.map_or(usize::MAX, |fds| fds / FDS_SHARE);
        Self {
            open: by_memory.min(by_fds).max(1),
            heads: memory / HEADS_MEMORY_SHARE,
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A limit was reached.
    Shortage(Shortage),
    /// A request head took too long.
    SlowHead,
    /// A request body paused for too long.
    PausedBody,
}

impl Cause {
    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Shortage(Shortage::Connections) => "connections",
            Self::Shortage(Shortage::Heads) => "heads",
            Self::Shortage(Shortage::SmallBodies) => "small_bodies",
            Self::Shortage(Shortage::LargeBodies) => "large_bodies",
            Self::SlowHead => "slow_head",
            Self::PausedBody => "paused_body",
        }
    }
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// At once.
    Now,
    /// After the response to a request that crossed the decision.
    AfterResponse,
}

/// A decision to close a connection.
#[derive(Clone, Copy, Debug)]
struct Eviction {
    cause: Cause,
    /// The connection's step at the decision.
    step: u64,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    proven: bool,
    /// The start of the connection, or the last completion.
    settled: Boot,
    /// When the first byte of the present request arrived.
    begun: Boot,
    progress: Boot,
    /// Since when the caller has taken no byte of a response.
    blocked: Option<Boot>,
    head: usize,
    body: usize,
    evicted: Option<Eviction>,
    /// Number of changes of the phase.
    step: u64,
    wake: Rc<Notify>,
}

impl Entry {
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.step += 1;
    }

    fn view(&self) -> View {
        let (phase, since) = match (self.blocked, self.phase) {
            (Some(blocked), _) => (Phase::Blocked, blocked),
            (None, Phase::Head | Phase::Body) if self.proven => (self.phase, self.begun),
            (None, phase) => (phase, self.settled),
        };
        View {
            phase,
            proven: self.proven,
            since,
            progress: self.progress,
            body: self.body,
        }
    }
}

/// The open connections of a process.
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    entries: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
    /// Bytes of incomplete heads.
    heads: Cell<usize>,
    idle_timeout: Cell<Duration>,
    closed: RefCell<BTreeMap<&'static str, u64>>,
}

impl Connections {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            entries: RefCell::default(),
            next: Cell::default(),
            heads: Cell::default(),
            idle_timeout: Cell::new(Limits::default().idle_timeout),
            closed: RefCell::default(),
        })
    }

    /// Number of connections that are not about to be closed.
    #[must_use]
    pub fn open(&self) -> usize {
        let entries = self.entries.borrow();
        let open = entries.values().filter(|entry| entry.evicted.is_none());
        open.count()
    }

    /// Number of connections above the limit, which are about to be closed.
    #[must_use]
    pub fn surplus(&self) -> usize {
        self.entries.borrow().len().saturating_sub(self.limits.open)
    }

    /// Bytes of incomplete heads.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        self.heads.get()
    }

    /// Time since which the oldest incomplete request, or silent new connection, has waited.
    #[must_use]
    pub fn longest_wait(&self, now: Boot) -> Duration {
        let entries = self.entries.borrow();
        let views = entries.values().map(Entry::view);
        let waiting = views.filter(|view| match view.phase {
            Phase::Idle => !view.proven,
            Phase::Answering => false,
            Phase::Head | Phase::Body | Phase::Blocked => true,
        });
        waiting
            .map(|view| now.since(view.since))
            .max()
            .unwrap_or_default()
    }

    /// Connections that were closed since the last call, by cause.
    #[must_use]
    pub fn take_closed(&self) -> BTreeMap<&'static str, u64> {
        self.closed.take()
    }

    /// Adds a connection, for which another one may be closed; none if every other connection is
    /// being answered.
    #[must_use]
    pub fn enter(self: &Rc<Self>) -> Option<Rc<Slot>> {
        let now = Boot::now();
        while self.open() >= self.limits.open {
            if !self.evict(Shortage::Connections, None) {
                self.count("refused");
                return None;
            }
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let wake = Rc::new(Notify::new());
        let entry = Entry {
            phase: Phase::Idle,
            proven: false,
            settled: now,
            begun: now,
            progress: now,
            blocked: None,
            head: 0,
            body: 0,
            evicted: None,
            step: 0,
            wake: Rc::clone(&wake),
        };
        self.entries.borrow_mut().insert(id, entry);
        Some(Rc::new(Slot {
            connections: Rc::clone(self),
            id,
            wake,
        }))
    }

    /// Closes the connection that [`choose`] names among all but `keep`; returns whether there is
    /// one.
    fn evict(&self, shortage: Shortage, keep: Option<u64>) -> bool {
        let mut entries = self.entries.borrow_mut();
        let open = entries
            .iter()
            .filter(|(id, entry)| entry.evicted.is_none() && Some(**id) != keep);
        let open = open.map(|(id, entry)| (*id, entry.view()));
        let chosen = choose(open, shortage, self.idle_timeout.get(), Boot::now());
        let Some(entry) = chosen.and_then(|id| entries.get_mut(&id)) else {
            return false;
        };
        self.mark(entry, Cause::Shortage(shortage));
        true
    }

    /// Closes connections whose request head takes too long or whose body pauses for too long.
    ///
    /// A body may pause for as long as a connection may be idle.
    pub fn sweep(&self, limits: Limits, now: Boot) {
        self.idle_timeout.set(limits.idle_timeout);
        let mut entries = self.entries.borrow_mut();
        let open = entries.values_mut().filter(|entry| entry.evicted.is_none());
        for entry in open {
            let cause = match entry.phase {
                Phase::Head if now.since(entry.begun) > limits.header_timeout => Cause::SlowHead,
                Phase::Body if now.since(entry.progress) > limits.idle_timeout => Cause::PausedBody,
                _ => continue,
            };
            self.mark(entry, cause);
        }
    }

    fn mark(&self, entry: &mut Entry, cause: Cause) {
        entry.evicted = Some(Eviction {
            cause,
            step: entry.step,
        });
        // Its memory is released when its task runs.
        self.heads
            .set(self.heads.get() - std::mem::take(&mut entry.head));
        entry.wake.notify_one();
    }

    fn count(&self, what: &'static str) {
        *self.closed.borrow_mut().entry(what).or_default() += 1;
    }
}

/// A connection's place in the table, which is given up on drop.
#[derive(Debug)]
pub struct Slot {
    connections: Rc<Connections>,
    id: u64,
    wake: Rc<Notify>,
}

impl Slot {
    fn with<T>(&self, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        let mut entries = self.connections.entries.borrow_mut();
        entries.get_mut(&self.id).map(change)
    }

    /// Bytes have arrived.
    pub fn received(&self, bytes: usize) {
        let now = Boot::now();
        let heads = &self.connections.heads;
        self.with(|entry| {
            entry.progress = now;
            if entry.phase == Phase::Idle {
                entry.enter(Phase::Head);
                entry.begun = now;
            }
            match entry.phase {
                Phase::Head if entry.evicted.is_none() => {
                    entry.head += bytes;
                    heads.set(heads.get() + bytes);
                }
                Phase::Body => entry.body += bytes,
                _ => {}
            }
        });
        while heads.get() > self.connections.limits.heads {
            if !self.connections.evict(Shortage::Heads, None) {
                break;
            }
        }
    }

    /// The head of a request is complete.
    pub fn head_done(&self) {
        let heads = &self.connections.heads;
        self.with(|entry| {
            heads.set(heads.get() - std::mem::take(&mut entry.head));
            entry.enter(Phase::Body);
            entry.body = 0;
            entry.progress = Boot::now();
        });
    }

    /// The body of a request is complete, or no more of it is read.
    pub fn body_done(&self) {
        self.with(|entry| entry.enter(Phase::Answering));
    }

    /// The response is complete.
    pub fn answered(&self) {
        self.with(|entry| {
            entry.enter(Phase::Idle);
            entry.proven = true;
            entry.settled = Boot::now();
        });
    }

    /// The caller takes no more bytes of a response, or takes some again.
    pub fn set_blocked(&self, blocked: bool) {
        self.with(|entry| {
            entry.blocked = blocked.then(|| entry.blocked.unwrap_or_else(Boot::now));
        });
    }

    /// Whether a request head is incomplete.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        self.with(|entry| entry.phase == Phase::Head)
            .unwrap_or_default()
    }

    /// Closes another connection so that a body of this one can grow; returns whether there is one.
    #[must_use]
    pub fn make_room(&self, shortage: Shortage) -> bool {
        self.connections.evict(shortage, Some(self.id))
    }

    /// Waits until the connection is to be closed, and returns how.
    pub async fn until_evicted(&self) -> Close {
        loop {
            self.wake.notified().await;
            let Some((eviction, close)) = self.with(confirm).flatten() else {
                continue;
            };
            self.connections.count(eviction.cause.name());
            return close;
        }
    }
}

/// Returns a pending eviction and how to close; none if a further request head has begun to arrive.
fn confirm(entry: &mut Entry) -> Option<(Eviction, Close)> {
    let eviction = entry.evicted?;
    if eviction.step == entry.step {
        return Some((eviction, Close::Now));
    }
    // It may be evicted again, such as when the caller does not read the response.
    entry.evicted = None;
    (entry.phase != Phase::Head).then_some((eviction, Close::AfterResponse))
}

impl Drop for Slot {
    fn drop(&mut self) {
        let entry = self.connections.entries.borrow_mut().remove(&self.id);
        let heads = &self.connections.heads;
        heads.set(heads.get() - entry.map_or(0, |entry| entry.head));
    }
}
