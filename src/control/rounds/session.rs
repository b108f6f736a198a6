//! One trainer's session for one round.

use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::manifest::RoundPolicy;
use crate::names::KeyDigest;
use crate::util::random_id;
use crate::wire::{Pull, Pulled, RoundSpec, SampleAnswer, SessionOpen, Slot};

use super::board::{Board, Counts, PullStep, Work};

/// One session: the board under its lock, and the signals around it.
#[derive(Debug)]
pub(super) struct Session {
    /// Random id, part of the pull's path.
    pub id: String,
    /// The round.
    pub spec: RoundSpec,
    /// The key that opened it, which must stay in force.
    pub key: KeyDigest,
    board: Mutex<Board>,
    used: Mutex<Instant>,
    closed: watch::Sender<bool>,
    /// Signals that a sample became ready.
    ready: watch::Sender<u64>,
    /// Signals that there may be work to start.
    wanted: Notify,
}

impl Session {
    /// A session that has started nothing.
    pub fn new(spec: RoundSpec, open: &SessionOpen, key: KeyDigest, now: Instant) -> Self {
        Self {
            id: random_id(),
            board: Mutex::new(Board::new(&spec, &open.held)),
            spec,
            key,
            used: Mutex::new(now),
            closed: watch::Sender::new(false),
            ready: watch::Sender::new(0),
            wanted: Notify::new(),
        }
    }

    /// Slots that the trainer is not known to hold.
    pub fn missing(&self) -> u32 {
        self.board.lock().missing()
    }

    /// The slot of a place.
    pub fn slot(&self, place: usize) -> Slot {
        self.board.lock().slot(place)
    }

    /// How many samples are where.
    pub fn counts(&self) -> Counts {
        self.board.lock().counts()
    }

    /// Samples that were dropped because they were too old.
    pub fn dropped(&self) -> u64 {
        self.board.lock().dropped
    }

    /// Bytes of whole samples that are kept for the trainer.
    pub fn bytes(&self) -> usize {
        self.board.lock().bytes()
    }

    /// When the trainer last called.
    pub fn used(&self) -> Instant {
        *self.used.lock()
    }

    /// Ends the session: its work is cancelled and its pulls are refused.
    pub fn close(&self) {
        self.closed.send_replace(true);
        self.ready.send_modify(|count| *count += 1);
        self.wanted.notify_one();
    }

    /// Whether the session was ended.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the session is ended.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        // The sender lives as long as the session, so this does not fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Takes the next sample to generate.
    pub fn start(&self, policy: RoundPolicy) -> Option<Work> {
        self.board.lock().start(policy)
    }

    /// Takes over an answer for a sample that was started.
    pub fn finish(&self, work: &Work, id: String, answer: SampleAnswer) {
        self.board.lock().finish(work, id, answer);
        self.ready.send_modify(|count| *count += 1);
    }

    /// Puts a sample back that could not be generated.
    pub fn fail(&self, work: Work) {
        self.board.lock().fail(work);
    }

    /// Waits until there may be work to start.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Answers a pull, waiting for samples until `deadline`.
    pub async fn pull(&self, pull: &Pull, deadline: Instant) -> Result<Pulled, u64> {
        let mut ready = self.ready.subscribe();
        loop {
            ready.mark_unchanged();
            let patient = Instant::now() < deadline && !self.is_closed();
            *self.used.lock() = Instant::now();
            let step = self.board.lock().pull(pull, patient);
            self.wanted.notify_one();
            match step {
                PullStep::Answer(pulled) => return Ok(pulled),
                PullStep::OutOfOrder { last } => return Err(last),
                PullStep::Wait => {
                    let _ = tokio::time::timeout_at(deadline.into(), ready.changed()).await;
                }
            }
        }
    }
}
