//! The fold of the log of signs: the living instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::record::{Incarnation, Sign};
use crate::boot::Boot;

/// An instance as its last sign of life shows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// One start of its process.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub front: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Partition of the log of signs that it writes to.
    pub part: u32,
    /// Whether callers may be sent there.
    pub ready: bool,
    /// When its last sign of life was read here.
    pub heard: Boot,
    /// Share of a core that the process gets, in thousandths.
    pub capacity: u32,
}

/// The instances that the log of signs shows.
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

    /// Instances that were heard within `limit` before `seen`, by name.
    ///
    /// `seen` is when the log was last read to its end, and `since` when reads began to
    /// succeed: silence counts only while this process could have heard.
    pub fn alive(
        &self,
        seen: Boot,
        since: Boot,
        limit: Duration,
    ) -> impl Iterator<Item = (&String, &Member)> {
        let live = move |member: &Member| member.heard.max(since) + limit >= seen;
        self.known.iter().filter(move |(_, member)| live(member))
    }
}
