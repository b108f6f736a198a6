//! Metrics of the links between daemons.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, UpDownCounter};

/// Metric instruments of one daemon's links.
#[derive(Debug)]
pub struct PeerMetrics {
    bytes: Counter<u64>,
    links: UpDownCounter<i64>,
    ended: Counter<u64>,
}

/// Direction of a message, seen from this daemon.
#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    Sent,
    Received,
}

impl PeerMetrics {
    /// Creates the instruments with `meter`.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let bytes = meter
            .u64_counter("basillead_peer_bytes")
            .with_description("Bytes of messages on peers' links by direction.");
        let links = meter
            .i64_up_down_counter("basillead_peer_links")
            .with_description("Open links to peers, made by either side.");
        let ended = meter
            .u64_counter("basillead_peer_links_ended")
            .with_description("Links to peers that ended.");
        Self {
            bytes: bytes.build(),
            links: links.build(),
            ended: ended.build(),
        }
    }

    /// Counts the bytes of a message.
    pub(super) fn count_bytes(&self, direction: Direction, count: usize) {
        let direction = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        self.bytes
            .add(count as u64, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a link that opened.
    pub(super) fn link_opened(&self) {
        self.links.add(1, &[]);
    }

    /// Counts a link that ended.
    pub(super) fn link_ended(&self) {
        self.links.add(-1, &[]);
        self.ended.add(1, &[]);
    }
}
