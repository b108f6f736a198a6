//! Decodes and checks the paths of callers' requests.

use crate::http::{Refusal, RefusalKind};

/// Decodes percent-encoded bytes (`%41`); none if the input has no `%`.
pub(super) fn percent_decoded(bytes: &[u8]) -> Option<Vec<u8>> {
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

/// Refuses a path that a backend server could resolve to one outside the matched route.
///
/// # Errors
/// The path has a dot segment, a backslash or a control character, plain or percent-encoded.
pub(super) fn check(path: &str) -> Result<(), Refusal> {
    let decoded = percent_decoded(path.as_bytes());
    let bytes = decoded.as_deref().unwrap_or(path.as_bytes());
    let segments = bytes.split(|byte| *byte == b'/');
    let is_dots = |segment: &[u8]| segment == b"." || segment == b"..";
    let is_bad = |byte: &u8| byte.is_ascii_control() || *byte == b'\\';
    if bytes.iter().any(is_bad) || segments.into_iter().any(is_dots) {
        let detail = "the path holds a dot segment, a backslash or a control character";
        return Err(Refusal::not_run(RefusalKind::Malformed, detail));
    }
    Ok(())
}
