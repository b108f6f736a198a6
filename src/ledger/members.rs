//! State folded from the log of signs of life: which instances are alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::record::{Incarnation, Sign};
use crate::boot::Boot;

/// State of an instance, from its last sign of life.
#[derive(Clone, Debug)]
pub struct Member {
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
    /// When this process read the last sign of life.
    pub heard: Boot,
    /// CPU share of the process, in thousandths of a core.
    pub capacity: u32,
}

/// All instances that have sent a sign of life.
#[derive(Debug, Default)]
pub struct Members {
    /// Instances by name.
    pub known: BTreeMap<String, Member>,
}

impl Members {
    /// Applies a sign of life that was read in partition `part` at `received`.
    pub fn apply(&mut self, sign: Sign, part: u32, received: Boot) {
        let member = Member {
            incarnation: sign.incarnation,
            front: sign.front,
            zone: sign.zone,
            part,
            ready: sign.ready,
            heard: received,
            capacity: sign.capacity,
        };
        self.known.insert(sign.node, member);
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
    ) -> impl Iterator<Item = (&String, &Member)> {
        let is_alive = move |member: &Member| member.heard.max(since) + limit >= seen;
        self.known
            .iter()
            .filter(move |(_, member)| is_alive(member))
    }
}
