//! Authentication of callers by their API key.

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::http::{Refusal, RefusalKind};
use crate::log::ConfigState;
use crate::names::{KeyDigest, Tenant};

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// The tenant that the key was granted to.
    pub tenant: Tenant,
    /// The key's digest, to detect its withdrawal while the request runs.
    pub digest: KeyDigest,
}

/// Authenticates the caller of a request by its key.
///
/// # Errors
/// The key is missing, sent more than once, unknown or withdrawn.
pub(super) fn caller(state: &ConfigState, headers: &HeaderMap) -> Result<Caller, Refusal> {
    let digest = KeyDigest::of(bearer(headers)?);
    match state.tenant(&digest) {
        Some(tenant) => Ok(Caller {
            tenant: tenant.clone(),
            digest,
        }),
        None => Err(invalid()),
    }
}

/// Builds the refusal of a key that is unknown or withdrawn.
pub(super) fn invalid() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyInvalid,
        "the key is unknown or was withdrawn",
    )
}

/// Returns the bearer token of the request's only Authorization header.
pub(crate) fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    let missing = |detail: &str| Refusal::not_run(RefusalKind::KeyMissing, detail);
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Err(missing("send your key as `Authorization: Bearer <key>`"));
    };
    if values.next().is_some() {
        return Err(missing("more than one Authorization header"));
    }
    let text = value.to_str().unwrap_or_default();
    let token = match text.split_once(' ') {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => token.trim(),
        _ => "",
    };
    if token.is_empty() {
        return Err(missing("the Authorization header is not `Bearer <key>`"));
    }
    Ok(token)
}
