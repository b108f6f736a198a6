//! Request-response calls over links: matches each answer to the call that waits for it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::oneshot;

use super::link::Link;
use crate::wire::{OnceAnswer, PeerMessage};

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// No link could be opened, or its queue was full; nothing was sent.
    #[snafu(display("no link to the peer, or its queue is full"))]
    Unsent,
    /// The link ended after the call may have been sent.
    #[snafu(display("the link ended before the answer"))]
    Lost,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct PendingCall {
    link: u64,
    answer: oneshot::Sender<OnceAnswer>,
}

/// The calls of one daemon that wait for their answers, by call number.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: AtomicU64,
    pending: Mutex<HashMap<u64, PendingCall>>,
}

/// Removes a pending call when dropped, also if the caller's future is cancelled.
struct PendingGuard<'a> {
    calls: &'a Calls,
    call: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.calls.pending.lock().remove(&self.call);
    }
}

impl Calls {
    /// Sends the message built for the call's number, and waits for the answer.
    pub(super) async fn call(
        &self,
        link: &Link,
        message: impl FnOnce(u64) -> PeerMessage,
    ) -> Result<OnceAnswer, CallError> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = oneshot::channel();
        let pending = PendingCall {
            link: link.id,
            answer,
        };
        self.pending.lock().insert(call, pending);
        let _guard = PendingGuard { calls: self, call };
        if !link.send(message(call)) {
            return UnsentSnafu.fail();
        }
        receiver.await.map_err(|_| CallError::Lost)
    }

    /// Passes an answer to its caller, if the call was sent on the same link.
    pub(super) fn complete(&self, link: &Link, call: u64, answer: OnceAnswer) {
        let mut pending = self.pending.lock();
        if pending
            .get(&call)
            .is_some_and(|known| known.link == link.id)
        {
            let found = pending.remove(&call);
            drop(pending);
            let _ = found.map(|found| found.answer.send(answer));
        }
    }

    /// Fails the pending calls of a link with [`CallError::Lost`], after the link ended.
    pub(super) fn link_ended(&self, link: u64) {
        self.pending.lock().retain(|_, call| call.link != link);
    }
}
