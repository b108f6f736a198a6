//! Incremental parser for an engine's event stream (server-sent events).

/// Upper bound on the bytes read for one event, hundreds of times the usual size.
///
/// A faulty server may send bytes without ever completing an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Value of the `id` field; none if the field is absent or not a number.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
    /// All other lines, which may hold the platform's own fields.
    pub other: Vec<String>,
}

/// Splits bytes into events; buffers an incomplete event at the end.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    /// Bytes read since the last complete event.
    bytes: usize,
}

impl EventReader {
    /// Takes the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        self.bytes += bytes.len();
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = String::from_utf8_lossy(&self.line)
                .trim_end_matches('\r')
                .to_owned();
            self.line.clear();
            if let Some(event) = self.parse_line(&line) {
                events.push(event);
                self.bytes = 0;
            }
        }
        events
    }

    /// Whether the event being read exceeds the size limit.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.bytes > MAX_EVENT_BYTES
    }

    fn parse_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = value.parse().ok(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => self.event.other.push(line.to_owned()),
        }
        None
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.line.is_empty() || self.has_data || self.event.id.is_some()
    }
}
