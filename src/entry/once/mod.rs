//! Calls that must not run twice: each idempotency key is bound to one entry's run.
//!
//! The key begins with the incarnation that alone may run it. Other entries ask it over
//! the peers' link. When it cannot be asked, the outcome is unknown; nobody else runs it.

mod ask;
mod table;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::drain::Active;
use crate::http::{Refusal, RefusalKind};
use crate::manifest::RouteSpec;
use crate::names::Incarnation;

pub(super) use ask::serve_asks;
pub(super) use table::OnceTable;

use super::Entry;
use super::auth::Caller;
use super::plain::{self, PlainAnswer, PlainCall};
use table::{Begin, Hash16, Outcome};

/// Characters of an incarnation.
const INCARNATION_LEN: usize = 24;
/// Longest id of the caller's own in characters.
const ID_MAX: usize = 128;

/// An idempotency key: the run of an entry that it is bound to, and the caller's own id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct OnceKey {
    /// The only executor.
    pub owner: Incarnation,
    /// The caller's own id.
    pub id: String,
}

impl OnceKey {
    /// Takes a key apart.
    ///
    /// # Errors
    /// It does not begin as any incarnation does, so that no entry ever ran it.
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

/// Answers a call with an idempotency key.
pub(super) async fn relay(
    entry: &Arc<Entry>,
    route: &RouteSpec,
    caller: Option<Caller>,
    key: OnceKey,
    call: PlainCall,
) -> Result<PlainAnswer, Refusal> {
    if key.owner == entry.incarnation {
        let outcome = run_here(entry, route.clone(), caller, &key.id, call).await;
        return outcome.map(|answer| (*answer).clone());
    }
    ask::ask(entry, route, caller.as_ref(), &key, &call).await
}

/// Runs a key that is bound to this entry, or waits for its run, or gives its answer.
async fn run_here(
    entry: &Arc<Entry>,
    route: RouteSpec,
    caller: Option<Caller>,
    id: &str,
    call: PlainCall,
) -> Outcome {
    let tenant = caller.as_ref().map(|caller| &caller.tenant);
    let key = Hash16::key(tenant, id);
    let request = Hash16::request(call.method.as_str(), &call.target, &call.body);
    let mut waiting = match entry.once.begin(key, request, Instant::now()) {
        Begin::Ended(outcome) => return outcome,
        Begin::Refuse(refusal) => return Err(refusal),
        Begin::Wait(waiting) => waiting,
        Begin::Run => {
            let running = Running {
                entry: Arc::clone(entry),
                key,
                keep: Duration::from_millis(route.keep),
                outcome: None,
                _active: entry.drain.hold(),
            };
            // The run goes on when its caller leaves, and its record stays.
            let task = tokio::spawn(running.run(route, caller, call));
            return task.await.unwrap_or_else(|_| Err(broke_off()));
        }
    };
    let outcome = waiting.wait_for(Option::is_some).await;
    let outcome = outcome.ok().and_then(|outcome| outcome.clone());
    outcome.unwrap_or_else(|| Err(broke_off()))
}

/// The refusal of a run that ended without an outcome.
fn broke_off() -> Refusal {
    Refusal::unknown(RefusalKind::ServerFailed, "the call broke off")
}

/// A key that runs. Dropping it ends the key, with an unknown outcome if there is none.
struct Running {
    entry: Arc<Entry>,
    key: Hash16,
    keep: Duration,
    outcome: Option<Outcome>,
    _active: Active,
}

impl Running {
    async fn run(mut self, route: RouteSpec, caller: Option<Caller>, call: PlainCall) -> Outcome {
        let caller = caller.as_ref();
        let answer = plain::run(&self.entry, &route, caller, &call).await;
        let outcome = answer.map(Arc::new);
        self.outcome = Some(outcome.clone());
        outcome
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let outcome = self.outcome.take().unwrap_or_else(|| Err(broke_off()));
        let until = Instant::now() + self.keep;
        self.entry.once.end(self.key, outcome, until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_key() {
        let owner = "0123456789abcdef01234567";
        let key = OnceKey::parse(&format!("{owner}.order-7.a")).expect("a key");
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
            let refusal = OnceKey::parse(text).expect_err(text);
            assert_eq!(refusal.run, crate::wire::Run::NotRun);
        }
    }
}
