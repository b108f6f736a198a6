//! Keeps callers' API keys from reaching backend servers.
//!
//! Keys have a fixed format, so that any caller's key is recognised anywhere in a request.

use http::{HeaderMap, HeaderName, header};

use crate::http::{Refusal, RefusalKind};

use super::path::percent_decoded;

/// Prefix of every API key.
pub const KEY_PREFIX: &str = "blk_";
/// Number of hex digits after the prefix.
pub const KEY_DIGITS: usize = 48;

/// Request headers that are forwarded to plain services.
const FORWARDED_HEADERS: [HeaderName; 7] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_TYPE,
    header::CONTENT_LANGUAGE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::USER_AGENT,
];

/// Whether `bytes` contain a key, plain or percent-encoded.
pub(super) fn contains_key(bytes: &[u8]) -> bool {
    let decoded = percent_decoded(bytes);
    has_plain_key(bytes) || decoded.is_some_and(|decoded| has_plain_key(&decoded))
}

fn has_plain_key(bytes: &[u8]) -> bool {
    let prefix = KEY_PREFIX.as_bytes();
    let whole = prefix.len() + KEY_DIGITS;
    bytes.windows(whole).any(|window| {
        let (start, digits) = window.split_at(prefix.len());
        start.eq_ignore_ascii_case(prefix) && digits.iter().all(u8::is_ascii_hexdigit)
    })
}

/// Refuses a part of a request that contains a key; `place` names the part.
///
/// # Errors
/// `bytes` contain a key.
pub(super) fn refuse_key(place: &str, bytes: &[u8]) -> Result<(), Refusal> {
    if !contains_key(bytes) {
        return Ok(());
    }
    let detail = format!("the {place} contains a key; send it in Authorization alone");
    Err(Refusal::not_run(RefusalKind::Malformed, detail))
}

/// The headers to forward to a plain service, without any that contain a key.
pub(super) fn allowed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut allowed = HeaderMap::new();
    for (name, value) in headers {
        if FORWARDED_HEADERS.contains(name) && !contains_key(value.as_bytes()) {
            allowed.append(name.clone(), value.clone());
        }
    }
    allowed
}
