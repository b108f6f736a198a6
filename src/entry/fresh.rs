//! What a request rests on while it runs: a key in force, in a configuration that is fresh.

use std::time::Instant;

use http::HeaderMap;

use crate::http::{Refusal, RefusalKind};
use crate::log::ConfigState;
use crate::names::KeyDigest;
use crate::wire::Run;

use super::Entry;
use super::auth::{self, Caller};

/// Checks that the configuration is up to date.
///
/// # Errors
/// It may be out of date, so that keys in it may have been withdrawn.
pub(super) fn check(entry: &Entry) -> Result<(), Refusal> {
    if entry.peers.is_fresh(Instant::now()) {
        return Ok(());
    }
    let detail = "this entry cannot show that its configuration is up to date";
    Err(Refusal::not_run(RefusalKind::NotFresh, detail).retry_after(1))
}

/// Checks that a key is in force.
///
/// # Errors
/// It was withdrawn, or nobody can tell.
pub(super) fn check_key(entry: &Entry, key: &KeyDigest) -> Result<(), Refusal> {
    check(entry)?;
    match entry.peers.tenant(key) {
        Some(_) => Ok(()),
        None => Err(auth::invalid()),
    }
}

/// Finds the caller of a request by its key.
///
/// # Errors
/// A missing, doubled, unknown or withdrawn key, or a configuration that is not fresh.
pub(super) fn caller(
    entry: &Entry,
    state: &ConfigState,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    check(entry)?;
    let caller = auth::caller(state, headers)?;
    check_key(entry, &caller.digest)?;
    Ok(caller)
}

/// Does `work` as long as a key is in force; what is refused states `run`.
///
/// # Errors
/// The key was withdrawn, or the configuration is no longer fresh. The work is dropped.
pub(super) async fn while_valid<T>(
    entry: &Entry,
    key: &KeyDigest,
    run: Run,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let mut work = std::pin::pin!(work);
    let mut changed = entry.peers.watch();
    let ended = |mut refusal: Refusal| {
        refusal.run = run;
        refusal
    };
    loop {
        check_key(entry, key).map_err(ended)?;
        tokio::select! {
            done = &mut work => {
                check_key(entry, key).map_err(ended)?;
                return Ok(done);
            }
            _ = changed.changed() => {}
        }
    }
}
