//! A trainer's session for one round.

use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::manifest::RoundPolicy;
use crate::names::KeyDigest;
use crate::util::random_id;
use crate::wire::{Pull, Pulled, RoundSpec, SampleAnswer, SessionOpen, Slot};

use super::slots::{Counts, PullOutcome, SampleTask, SlotTable};

/// A session: the slot table under a lock, and the signals for waiting tasks.
#[derive(Debug)]
pub(super) struct Session {
    /// Random id, part of the path of pulls.
    pub id: String,
    /// Specification of the round.
    pub spec: RoundSpec,
    /// The key that opened the session; the session ends when the key becomes invalid.
    pub key: KeyDigest,
    slots: Mutex<SlotTable>,
    last_call: Mutex<Instant>,
    closed: watch::Sender<bool>,
    /// Changes when the answer for a sample was stored or the session is closed.
    ready: watch::Sender<u64>,
    /// Signals that a sample may have to be started, or that the session is closed.
    work_signal: Notify,
}

impl Session {
    /// Creates a session; the slots that `open` states as held count as delivered.
    pub fn new(spec: RoundSpec, open: &SessionOpen, key: KeyDigest, now: Instant) -> Self {
        Self {
            id: random_id(),
            slots: Mutex::new(SlotTable::new(&spec, &open.held)),
            spec,
            key,
            last_call: Mutex::new(now),
            closed: watch::Sender::new(false),
            ready: watch::Sender::new(0),
            work_signal: Notify::new(),
        }
    }

    /// Number of slots that the trainer is not known to hold.
    pub fn missing(&self) -> u32 {
        self.slots.lock().missing()
    }

    /// The slot at a position in the round.
    pub fn slot(&self, position: usize) -> Slot {
        self.slots.lock().slot(position)
    }

    /// Number of samples in each stage.
    pub fn counts(&self) -> Counts {
        self.slots.lock().counts()
    }

    /// Number of samples that were dropped as stale.
    pub fn dropped(&self) -> u64 {
        self.slots.lock().dropped
    }

    /// Bytes of whole samples that the trainer has not acknowledged.
    pub fn buffered_bytes(&self) -> usize {
        self.slots.lock().buffered_bytes()
    }

    /// Time of the trainer's last call.
    pub fn last_call(&self) -> Instant {
        *self.last_call.lock()
    }

    /// Closes the session: generation is cancelled and waiting pulls return.
    pub fn close(&self) {
        self.closed.send_replace(true);
        self.ready.send_modify(|count| *count += 1);
        self.work_signal.notify_one();
    }

    /// Whether the session is closed.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the session is closed.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        // The sender lives as long as the session, so this does not fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Takes the next sample to generate.
    pub fn start(&self, policy: RoundPolicy) -> Option<SampleTask> {
        self.slots.lock().start(policy)
    }

    /// Stores the answer for a started sample and wakes waiting pulls.
    pub fn finish(&self, task: &SampleTask, id: String, answer: SampleAnswer) {
        self.slots.lock().finish(task, id, answer);
        self.ready.send_modify(|count| *count += 1);
    }

    /// Puts a sample back that could not be generated, with the output of its earlier parts.
    pub fn fail(&self, task: SampleTask) {
        self.slots.lock().fail(task);
    }

    /// Waits until a sample may have to be started.
    pub async fn work_available(&self) {
        self.work_signal.notified().await;
    }

    /// Answers a pull, waiting for samples until `deadline`.
    ///
    /// Fails with the number of the last answered pull if `pull` is out of order.
    pub async fn pull(&self, pull: &Pull, deadline: Instant) -> Result<Pulled, u64> {
        let mut ready = self.ready.subscribe();
        loop {
            ready.mark_unchanged();
            let may_wait = Instant::now() < deadline && !self.is_closed();
            *self.last_call.lock() = Instant::now();
            let outcome = self.slots.lock().pull(pull, may_wait);
            self.work_signal.notify_one();
            match outcome {
                PullOutcome::Answer(pulled) => return Ok(pulled),
                PullOutcome::OutOfOrder { last } => return Err(last),
                PullOutcome::Wait => {
                    let _ = tokio::time::timeout_at(deadline.into(), ready.changed()).await;
                }
            }
        }
    }
}
