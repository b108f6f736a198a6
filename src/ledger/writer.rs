//! Appends records to a log in batches, one batch at a time, each exactly once.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::pieces::{SizeLimits, append_size, encode_appends};
use super::record::Incarnation;
use crate::boot::Boot;
use crate::instance::events::event;
use crate::instance::interfaces::{Batch, Log, Store, StoreError};

/// Timeout after which an append is resent under the same sequence number.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1200);
/// Backoff after an append that failed with an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(150);

/// A record that the store has acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// When the record's batch was first sent.
    pub sent: Boot,
    /// Offset of the record's first piece.
    pub offset: u64,
    /// Total size of the record's pieces in bytes.
    pub bytes: usize,
}

/// Resolves to the acknowledgement of a record, or to an error if the store refused it for good.
pub type PendingAck = oneshot::Receiver<Ack>;

struct Queued {
    number: u64,
    /// Pieces that are left to append, by append.
    appends: VecDeque<Vec<Bytes>>,
    /// Total size of all pieces in bytes.
    bytes: usize,
    /// Acknowledgement of the first append, if others follow.
    first: Option<Ack>,
    done: oneshot::Sender<Ack>,
}

/// Pieces that are appended together.
#[derive(Default)]
struct InFlight {
    /// The pieces, by record.
    pieces: Vec<Vec<Bytes>>,
    /// Records that the append completes, in order.
    completed: Vec<Queued>,
    /// Number of the last record if it has further appends; it stays in the queue.
    continued: Option<u64>,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Queued>,
    /// Records queued so far.
    count: u64,
    /// When the append in flight was taken from the queue.
    in_flight_since: Option<Boot>,
}

/// Writer of one log, with a queue of records to append. Clones share the queue.
#[derive(Clone)]
pub struct Writer {
    queue: Rc<RefCell<Queue>>,
    wake: Rc<Notify>,
    log: Log,
    limits: SizeLimits,
}

impl std::fmt::Debug for Writer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Writer({} waiting)", self.queue.borrow().waiting.len())
    }
}

/// What is known of a record's append when the wait for it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The store acknowledged the record.
    Written(Ack),
    /// The record was withdrawn from the queue before it was sent whole; it does not count.
    Unsent,
    /// The store refused the record for good; it does not count.
    Rejected,
    /// The record may have been written, or may be written later.
    Unknown,
}

impl Writer {
    /// Creates a writer of a log in a store with these limits.
    #[must_use]
    pub fn new(log: Log, limits: SizeLimits) -> Self {
        Self {
            queue: Rc::default(),
            wake: Rc::default(),
            log,
            limits,
        }
    }

    /// Queues a record, which is written even if the returned receiver is dropped.
    #[must_use]
    pub fn push<T: Serialize>(&self, record: &T) -> PendingAck {
        self.enqueue(record).1
    }

    fn enqueue<T: Serialize>(&self, record: &T) -> (u64, PendingAck) {
        let (done, written) = oneshot::channel();
        let appends = encode_appends(record, rand::random(), self.limits);
        let mut queue = self.queue.borrow_mut();
        queue.count += 1;
        let number = queue.count;
        queue.waiting.push_back(Queued {
            number,
            bytes: appends.iter().flatten().map(Bytes::len).sum(),
            appends: appends.into(),
            first: None,
            done,
        });
        self.wake.notify_one();
        (number, written)
    }

    /// Queues a record and waits for its acknowledgement until `deadline`.
    ///
    /// At the deadline the record is withdrawn if it was not sent whole yet.
    pub async fn write<T: Serialize>(&self, record: &T, deadline: Boot) -> Outcome {
        let (number, mut written) = self.enqueue(record);
        let left = deadline.left(Boot::now());
        match timeout(left, &mut written).await {
            Ok(Ok(ack)) => Outcome::Written(ack),
            Ok(Err(_)) => Outcome::Rejected,
            Err(_) if self.withdraw(number) => Outcome::Unsent,
            Err(_) => Outcome::Unknown,
        }
    }

    /// Removes a record from the queue; returns whether it was there.
    fn withdraw(&self, number: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let before = queue.waiting.len();
        queue.waiting.retain(|queued| queued.number != number);
        queue.waiting.len() < before
    }

    /// How long the append in flight has been unanswered; zero without one.
    #[must_use]
    pub fn unanswered_for(&self, now: Boot) -> Duration {
        let in_flight_since = self.queue.borrow().in_flight_since;
        in_flight_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether no record is queued or in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.waiting.is_empty() && queue.in_flight_since.is_none()
    }

    /// Takes the next append from the queue: as many records as fit, but at least one if any is
    /// queued. A record of several appends is the last one of each.
    fn take(&self) -> Option<InFlight> {
        let mut queue = self.queue.borrow_mut();
        let mut taken = InFlight::default();
        let mut size = 0;
        while let Some(next) = queue.waiting.front_mut() {
            size += next.appends.front().map_or(0, |pieces| append_size(pieces));
            if size > self.limits.append && !taken.pieces.is_empty() {
                break;
            }
            taken.pieces.extend(next.appends.pop_front());
            if !next.appends.is_empty() {
                taken.continued = Some(next.number);
                break;
            }
            taken.completed.extend(queue.waiting.pop_front());
        }
        queue.in_flight_since = (!taken.pieces.is_empty()).then(Boot::now);
        queue.in_flight_since.map(|_| taken)
    }

    /// Appends queued records in a loop that never returns.
    pub async fn run(self, store: Rc<dyn Store>, incarnation: Incarnation) {
        let mut batch = Batch {
            log: self.log,
            writer: incarnation.0,
            sequence: 1,
            records: Vec::new(),
        };
        loop {
            let Some(taken) = self.take() else {
                self.wake.notified().await;
                continue;
            };
            self.append_taken(&*store, &mut batch, taken).await;
            self.queue.borrow_mut().in_flight_since = None;
        }
    }

    async fn append_taken(&self, store: &dyn Store, batch: &mut Batch, taken: InFlight) {
        batch.records = taken.pieces.concat();
        if let Ok(ack) = append(store, batch).await {
            batch.sequence += 1;
            self.acknowledge(taken, ack);
            return;
        }
        if taken.pieces.len() == 1 {
            self.drop_rejected(taken);
            return;
        }
        // Appended one by one, so that only those are dropped that the store does not take.
        let mut completed = taken.completed.into_iter();
        for pieces in taken.pieces {
            let next = completed.next();
            let single = InFlight {
                continued: taken.continued.filter(|_| next.is_none()),
                completed: next.into_iter().collect(),
                pieces: vec![pieces],
            };
            batch.records = single.pieces.concat();
            match append(store, batch).await {
                Ok(ack) => {
                    batch.sequence += 1;
                    self.acknowledge(single, ack);
                }
                Err(Rejected) => self.drop_rejected(single),
            }
        }
    }

    /// Passes on the acknowledgement of an append's first piece.
    fn acknowledge(&self, taken: InFlight, mut ack: Ack) {
        let mut sizes = taken.pieces.iter().map(Vec::len);
        let mut next_size = || sizes.next().and_then(|size| u64::try_from(size).ok());
        for queued in taken.completed {
            let (offset, sent) = queued
                .first
                .map_or((ack.offset, ack.sent), |first| (first.offset, first.sent));
            // The receiver is gone if the caller stopped waiting.
            let _ = queued.done.send(Ack {
                sent,
                offset,
                bytes: queued.bytes,
            });
            ack.offset += next_size().unwrap_or_default();
        }
        let mut queue = self.queue.borrow_mut();
        let front = queue.waiting.front_mut();
        // The record is gone if it was withdrawn.
        if let Some(front) = front.filter(|front| Some(front.number) == taken.continued) {
            front.first.get_or_insert(ack);
        }
    }

    /// Drops a record that the store refused for good, which tells its caller so.
    fn drop_rejected(&self, taken: InFlight) {
        if let Some(number) = taken.continued {
            self.withdraw(number);
        }
        drop(taken);
    }
}

/// The store refused an append for good.
struct Rejected;

/// Appends a batch, retrying until the store acknowledges it or refuses it for good.
///
/// Returns the acknowledgement of the batch's first record, with `bytes` left at 0.
async fn append(store: &dyn Store, batch: &mut Batch) -> Result<Ack, Rejected> {
    let first = Boot::now();
    let log = format!("{:?}", batch.log);
    let bytes: usize = batch.records.iter().map(Bytes::len).sum();
    loop {
        let result = timeout(APPEND_TIMEOUT, store.append(batch)).await;
        match result {
            Ok(Ok(offset)) => {
                return Ok(Ack {
                    sent: first,
                    offset,
                    bytes: 0,
                });
            }
            Ok(Err(StoreError::Sequence { expected })) => {
                event!("append_sequence", "log" => log, "sequence" => batch.sequence,
                    "expected" => expected);
                batch.sequence = expected;
            }
            Ok(Err(StoreError::Returned)) => {
                event!("append_resent", "log" => log, "sequence" => batch.sequence,
                    "records" => batch.records.len(), "bytes" => bytes,
                    "after_ms" => Boot::now().since(first).as_millis());
            }
            Ok(Err(error @ StoreError::Rejected { .. })) => {
                event!("append_rejected", "log" => log, "sequence" => batch.sequence,
                    "records" => batch.records.len(), "bytes" => bytes, "error" => error);
                return Err(Rejected);
            }
            Ok(Err(error)) => {
                event!("append_failed", "log" => log, "sequence" => batch.sequence,
                    "records" => batch.records.len(), "bytes" => bytes, "error" => error);
                sleep(ERROR_BACKOFF).await;
            }
            Err(_) => {
                event!("append_unanswered", "log" => log, "sequence" => batch.sequence,
                    "records" => batch.records.len(), "bytes" => bytes);
            }
        }
    }
}
