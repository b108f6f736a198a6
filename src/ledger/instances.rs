//! State folded from the log of heartbeats: which instances are alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::record::{Heartbeat, Incarnation};
use crate::boot::Boot;

/// State of an instance, from its last heartbeat.
#[derive(Clone, Debug)]
pub struct KnownInstance {
    /// The running process, identified by its start.
    pub incarnation: Incarnation,
    /// Address to which callers connect.
    pub front: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Partition of the log that the instance writes to.
    pub part: u32,
    /// Whether callers may be sent to the instance.
    pub ready: bool,
    /// When this process read the last heartbeat.
    pub last_heard: Boot,
    /// CPU share of the process, in thousandths of a core.
    pub capacity: u32,
}

/// All instances that have sent a heartbeat.
#[derive(Debug, Default)]
pub struct InstanceTable {
    /// Instances by name.
    pub known: BTreeMap<String, KnownInstance>,
}

impl InstanceTable {
    /// Applies a heartbeat that was read in partition `part` at `received`.
    pub fn apply(&mut self, heartbeat: Heartbeat, part: u32, received: Boot) {
        let instance = KnownInstance {
            incarnation: heartbeat.incarnation,
            front: heartbeat.front,
            zone: heartbeat.zone,
            part,
            ready: heartbeat.ready,
            last_heard: received,
            capacity: heartbeat.capacity,
        };
        self.known.insert(heartbeat.node, instance);
    }

    /// Instances that were heard from within `limit` before `seen`, by name.
    ///
    /// `seen` is when the log was last read to its end, and `since` is when reads began to
    /// succeed. Silence counts only from `since` on, while this process was able to read.
    pub fn alive(
        &self,
        seen: Boot,
        since: Boot,
        limit: Duration,
    ) -> impl Iterator<Item = (&String, &KnownInstance)> {
        let is_alive =
            move |instance: &KnownInstance| instance.last_heard.max(since) + limit >= seen;
        self.known
            .iter()
            .filter(move |(_, instance)| is_alive(instance))
    }
}
