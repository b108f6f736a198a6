//! Calls over links that wait for their answers.

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
    /// No link could be made; nothing was sent.
    #[snafu(display("no link to the peer"))]
    Unsent,
    /// The link ended after the call may have been sent.
    #[snafu(display("the link ended before the answer"))]
    Lost,
}

#[derive(Debug)]
struct Waiting {
    link: u64,
    answer: oneshot::Sender<OnceAnswer>,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, Waiting>>,
}

/// Takes a call out when its caller no longer waits.
struct Registered<'a> {
    calls: &'a Calls,
    call: u64,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.calls.waiting.lock().remove(&self.call);
    }
}

impl Calls {
    /// Sends what `message` makes of the call's number, and waits for the answer.
    pub(super) async fn call(
        &self,
        link: &Link,
        message: impl FnOnce(u64) -> PeerMessage,
    ) -> Result<OnceAnswer, CallError> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        let waiting = Waiting {
            link: link.id,
            answer,
        };
        self.waiting.lock().insert(call, waiting);
        let _registered = Registered { calls: self, call };
        if !link.send(message(call)) {
            return UnsentSnafu.fail();
        }
        answered.await.map_err(|_| CallError::Lost)
    }

    /// Takes an answer that came on a link.
    pub(super) fn answered(&self, link: &Link, call: u64, answer: OnceAnswer) {
        let mut waiting = self.waiting.lock();
        if waiting.get(&call).is_some_and(|w| w.link == link.id) {
            let found = waiting.remove(&call);
            drop(waiting);
            let _ = found.map(|found| found.answer.send(answer));
        }
    }

    /// Fails the calls of a link that ended.
    pub(super) fn link_ended(&self, link: u64) {
        self.waiting.lock().retain(|_, w| w.link != link);
    }
}
