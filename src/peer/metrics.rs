//! Instruments of the peers' link.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, UpDownCounter};

/// Counters of one daemon's links.
#[derive(Debug)]
pub struct PeerMetrics {
    bytes: Counter<u64>,
    links: UpDownCounter<i64>,
    ended: Counter<u64>,
}

/// The direction of bytes on links.
#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    Sent,
    Received,
}

impl PeerMetrics {
    /// Instruments made by `meter`.
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

    pub(super) fn bytes(&self, direction: Direction, count: usize) {
        let direction = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        self.bytes
            .add(count as u64, &[KeyValue::new("direction", direction)]);
    }

    pub(super) fn opened(&self) {
        self.links.add(1, &[]);
    }

    pub(super) fn ended(&self) {
        self.links.add(-1, &[]);
        self.ended.add(1, &[]);
    }
}
