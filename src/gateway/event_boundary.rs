//! Tells an event stream that ended between two events from one that ended within an event.

use http::{HeaderMap, header};

/// Tracks whether the bytes of an event stream so far end with a complete event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventBoundary {
    started: bool,
    /// Line feeds at the end; two end an event.
    line_feeds: usize,
}

impl EventBoundary {
    /// Returns a tracker if only the end of its connection ends the response with these headers.
    ///
    /// Any other response says itself whether it is complete.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let content_type = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
        let is_events = content_type.starts_with("text/event-stream");
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        (is_events && !is_framed).then(Self::default)
    }

    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.started = true;
            match byte {
                b'\n' => self.line_feeds += 1,
                b'\r' => {}
                _ => self.line_feeds = 0,
            }
        }
    }

    /// Whether no event is incomplete.
    #[must_use]
    pub fn is_complete(self) -> bool {
        !self.started || self.line_feeds >= 2
    }
}
