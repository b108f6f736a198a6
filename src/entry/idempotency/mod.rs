//! Idempotency keys: each key is bound to one incarnation of an entry, so no call runs twice.
//!
//! The key begins with the incarnation that alone may run the call. Other entries forward the
//! call to that incarnation over the peer link. If it cannot be reached, the outcome is
//! unknown, and no other entry runs the call.

mod forward;
mod table;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::drain::Active;
use crate::http::{Refusal, RefusalKind};
use crate::manifest::RouteSpec;
use crate::names::Incarnation;

pub(super) use forward::serve_forwarded;
pub(super) use table::DedupTable;

use super::Entry;
use super::auth::Caller;
use super::plain::{self, PlainAnswer, PlainCall};
use table::{Begin, Digest16, Outcome};

/// Length of an incarnation in characters.
const INCARNATION_LEN: usize = 24;
/// Longest caller-chosen id in characters.
const ID_MAX: usize = 128;

/// An idempotency key: the owning incarnation and an id chosen by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct IdempotencyKey {
    /// The incarnation that alone may run the call.
    pub owner: Incarnation,
    /// The id chosen by the caller.
    pub id: String,
}

impl IdempotencyKey {
    /// Parses a key.
    ///
    /// # Errors
    /// The key names no incarnation or has a malformed id, so no entry ever ran it.
    pub(super) fn parse(text: &str) -> Result<Self, Refusal> {
        let unbound = |detail: &str| {
            let detail = format!("{detail}; write <incarnation>.<your own id>");
            Refusal::not_run(RefusalKind::KeyUnbound, detail)
        };
        let Some((owner, id)) = text.split_once('.') else {
            return Err(unbound("the idempotency key names no incarnation"));
        };
        let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if owner.len() != INCARNATION_LEN || !owner.bytes().all(hex) {
            return Err(unbound("the idempotency key begins with no incarnation"));
        }
        let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
        if id.is_empty() || id.len() > ID_MAX || !visible {
            let detail = format!("your own id must have 1 to {ID_MAX} visible ASCII characters");
            return Err(unbound(&detail));
        }
        Ok(Self {
            owner: owner.into(),
            id: id.to_owned(),
        })
    }
}

/// Runs a call with an idempotency key here, or forwards it to the key's owner.
pub(super) async fn run_or_forward(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<Caller>,
    key: IdempotencyKey,
    call: PlainCall,
) -> Result<PlainAnswer, Refusal> {
    if key.owner == entry.incarnation {
        let outcome = run_here(entry, route.clone(), caller, &key.id, call).await;
        return outcome.map(|answer| (*answer).clone());
    }
    forward::forward(entry, route, caller.as_ref(), &key, &call).await
}

/// Runs a call whose key this entry owns, waits for its running call, or returns its outcome.
async fn run_here(
    entry: &Arc<Entry>,
    route: RouteSpec,
    caller: Option<Caller>,
    id: &str,
    call: PlainCall,
) -> Outcome {
    let tenant = caller.as_ref().map(|caller| &caller.tenant);
    let key = Digest16::key(tenant, id);
    let request = Digest16::request(call.method.as_str(), &call.target, &call.body);
    let mut waiting = match entry.dedup.begin(key, request, Instant::now()) {
        Begin::Ended(outcome) => return outcome,
        Begin::Refuse(refusal) => return Err(refusal),
        Begin::Wait(waiting) => waiting,
        Begin::Run => {
            let running = RunningCall {
                entry: Arc::clone(entry),
                key,
                keep: Duration::from_millis(route.keep),
                outcome: None,
                _active: entry.drain.hold(),
            };
            // The call continues in its own task when the caller disconnects, and its outcome is kept.
            let task = tokio::spawn(running.run(route, caller, call));
            return task.await.unwrap_or_else(|_| Err(interrupted()));
        }
    };
    let outcome = waiting.wait_for(Option::is_some).await;
    let outcome = outcome.ok().and_then(|outcome| outcome.clone());
    outcome.unwrap_or_else(|| Err(interrupted()))
}

/// Builds the refusal of a call that ended without an outcome.
fn interrupted() -> Refusal {
    Refusal::unknown(RefusalKind::ServerFailed, "the call broke off")
}

/// A running call. Dropping it ends the key, with an unknown outcome if there is none.
struct RunningCall {
    entry: Arc<Entry>,
    key: Digest16,
    keep: Duration,
    outcome: Option<Outcome>,
    _active: Active,
}

impl RunningCall {
    async fn run(mut self, route: RouteSpec, caller: Option<Caller>, call: PlainCall) -> Outcome {
        let caller = caller.as_ref();
        let answer = plain::run(&self.entry, &route, caller, &call).await;
        let outcome = answer.map(Arc::new);
        self.outcome = Some(outcome.clone());
        outcome
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let outcome = self.outcome.take().unwrap_or_else(|| Err(interrupted()));
        let until = Instant::now() + self.keep;
        self.entry.dedup.end(self.key, outcome, until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_key() {
        let owner = "0123456789abcdef01234567";
        let key = IdempotencyKey::parse(&format!("{owner}.order-7.a")).expect("a key");
        assert_eq!((key.owner.as_str(), key.id.as_str()), (owner, "order-7.a"));
        let long = format!("{owner}.{}", "x".repeat(ID_MAX + 1));
        for text in [
            "",
            "order-7",
            "abc.7",
            &format!("{owner}."),
            &format!("{owner}.a b"),
            &long,
            "0123456789ABCDEF01234567.7",
        ] {
            let refusal = IdempotencyKey::parse(text).expect_err(text);
            assert_eq!(refusal.run, crate::wire::Run::NotRun);
        }
    }
}
