//! Checks that a request's key is valid, and stays valid while the request runs.
//!
//! A key counts as valid only while this entry's configuration is known to be up to date.

use std::time::Instant;

use http::HeaderMap;

use crate::http::{Refusal, RefusalKind};
use crate::log::ConfigState;
use crate::names::KeyDigest;
use crate::wire::Run;

use super::Entry;
use super::auth::{self, Caller};

/// Checks that this entry's configuration is up to date.
///
/// # Errors
/// The configuration may be out of date, so that its keys may have been withdrawn.
pub(super) fn check_fresh(entry: &Entry) -> Result<(), Refusal> {
    if entry.peers.is_fresh(Instant::now()) {
        return Ok(());
    }
    let detail = "this entry cannot show that its configuration is up to date";
    Err(Refusal::not_run(RefusalKind::NotFresh, detail).retry_after(1))
}

/// Checks that a key is valid, by the configuration and the withdrawals that peers announced.
///
/// # Errors
/// The key was withdrawn, or the configuration may be out of date.
pub(super) fn check_key(entry: &Entry, key: &KeyDigest) -> Result<(), Refusal> {
    check_fresh(entry)?;
    match entry.peers.tenant(key) {
        Some(_) => Ok(()),
        None => Err(auth::invalid()),
    }
}

/// Authenticates the caller of a request, and checks that its key is valid now.
///
/// # Errors
/// The key is missing, sent more than once, unknown or withdrawn, or the configuration may be
/// out of date.
pub(super) fn caller(
    entry: &Entry,
    state: &ConfigState,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    check_fresh(entry)?;
    let caller = auth::caller(state, headers)?;
    check_key(entry, &caller.digest)?;
    Ok(caller)
}

/// Runs `work` while a key is valid; a refusal states `run` as whether the request ran.
///
/// # Errors
/// The key was withdrawn, or the configuration is no longer fresh. The work is dropped.
pub(super) async fn run_while_valid<T>(
    entry: &Entry,
    key: &KeyDigest,
    run: Run,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let mut work = std::pin::pin!(work);
    let mut changed = entry.peers.watch();
    let with_run = |mut refusal: Refusal| {
        refusal.run = run;
        refusal
    };
    loop {
        check_key(entry, key).map_err(with_run)?;
        tokio::select! {
            done = &mut work => {
                check_key(entry, key).map_err(with_run)?;
                return Ok(done);
            }
            _ = changed.changed() => {}
        }
    }
}
