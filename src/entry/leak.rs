//! Keeps callers' keys from backend servers.
//!
//! Keys have a fixed shape, so that any caller's key is recognised wherever it stands.

use http::{HeaderMap, HeaderName, header};

use crate::http::{Refusal, RefusalKind};

/// How every key starts.
pub const KEY_PREFIX: &str = "blk_";
/// Hex digits after the prefix.
pub const KEY_DIGITS: usize = 48;

/// Headers that pass to plain services.
const ALLOWED: [HeaderName; 7] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_TYPE,
    header::CONTENT_LANGUAGE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::USER_AGENT,
];

/// Whether `bytes` contain a key, as it is or percent-encoded.
pub(super) fn contains_key(bytes: &[u8]) -> bool {
    let decoded = percent_decoded(bytes);
    has_key(bytes) || decoded.is_some_and(|decoded| has_key(&decoded))
}

fn has_key(bytes: &[u8]) -> bool {
    let prefix = KEY_PREFIX.as_bytes();
    let whole = prefix.len() + KEY_DIGITS;
    bytes.windows(whole).any(|window| {
        let (start, digits) = window.split_at(prefix.len());
        start.eq_ignore_ascii_case(prefix) && digits.iter().all(u8::is_ascii_hexdigit)
    })
}

/// The bytes with `%41` and the like decoded; none when there is nothing to decode.
fn percent_decoded(bytes: &[u8]) -> Option<Vec<u8>> {
    if !bytes.contains(&b'%') {
        return None;
    }
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((&byte, tail)) = rest.split_first() {
        let hex = tail.get(..2).filter(|_| byte == b'%').and_then(hex_byte);
        decoded.push(hex.unwrap_or(byte));
        rest = if hex.is_some() { &tail[2..] } else { tail };
    }
    Some(decoded)
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(text, 16).ok()
}

/// Refuses a text or body that contains a key.
///
/// # Errors
/// `place` contains a key.
pub(super) fn refuse_key(place: &str, bytes: &[u8]) -> Result<(), Refusal> {
    if !contains_key(bytes) {
        return Ok(());
    }
    let detail = format!("the {place} contains a key; send it in Authorization alone");
    Err(Refusal::not_run(RefusalKind::Malformed, detail))
}

/// The headers that may pass to a plain service.
pub(super) fn allowed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        if ALLOWED.contains(name) && !contains_key(value.as_bytes()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}
