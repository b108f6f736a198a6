//! The fold of the log of signs: living instances, and the requests that they counted.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::record::{Counts, Incarnation, Sign};
use crate::boot::Boot;

/// Usage windows before the newest one whose counters are remembered.
const WINDOWS_KEPT: u64 = 16;

/// An instance as its last sign of life shows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// One start of its process.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub front: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether callers may be sent there.
    pub ready: bool,
    /// When its last sign of life was read here.
    pub heard: Boot,
    /// Unix time in milliseconds at which that was written.
    pub wall: u64,
    /// Share of a core that the process gets, in thousandths.
    pub capacity: u32,
}

/// The instances that the log of signs shows.
#[derive(Debug, Default)]
pub struct Members {
    /// Instances by name.
    pub known: BTreeMap<String, Member>,
    /// Counters by window and writer.
    counters: BTreeMap<u64, HashMap<Incarnation, Counts>>,
}

impl Members {
    /// Applies a sign of life that was read at `received`.
    pub fn apply(&mut self, sign: Sign, received: Boot) {
        for (window, counts) in sign.counts {
            let counters = self.counters.entry(window).or_default();
            counters.insert(sign.incarnation.clone(), counts);
        }
        if let Some((newest, _)) = self.counters.last_key_value() {
            let oldest = newest.saturating_sub(WINDOWS_KEPT);
            self.counters = self.counters.split_off(&oldest);
        }
        let member = Member {
            incarnation: sign.incarnation,
            front: sign.front,
            zone: sign.zone,
            ready: sign.ready,
            heard: received,
            wall: sign.wall,
            capacity: sign.capacity,
        };
        self.known.insert(sign.node, member);
    }

    /// Figures of a usage window as counted so far.
    #[must_use]
    pub fn counted(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        let counters = self.counters.get(&window);
        for counts in counters.into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
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
