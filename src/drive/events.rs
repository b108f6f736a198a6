//! Reads an engine's event stream piece by piece.

/// Bytes of one event that are read: hundreds of times those of an engine's events.
///
/// A server in trouble may send bytes without end.
const EVENT_BYTES: usize = 1 << 20;

/// A whole event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Its id.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
    /// Other lines, which may hold the platform's own fields.
    pub other: Vec<String>,
}

/// Splits bytes into events; a part of an event at the end is kept back.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    /// Bytes since the last whole event.
    bytes: usize,
}

impl EventReader {
    /// Takes the next bytes and gives the events that are whole.
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
            if let Some(event) = self.take(&line) {
                events.push(event);
                self.bytes = 0;
            }
        }
        events
    }

    /// Whether more bytes have come without an event than one can have.
    #[must_use]
    pub fn is_endless(&self) -> bool {
        self.bytes > EVENT_BYTES
    }

    fn take(&mut self, line: &str) -> Option<Event> {
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

    /// Whether bytes of an unfinished event are left.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.line.is_empty() || self.has_data || self.event.id.is_some()
    }
}
