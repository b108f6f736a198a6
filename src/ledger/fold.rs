//! The fold of the instances' log: members, leases, jobs and usage windows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::record::{Beat, Counts, Incarnation, Record, Subject};
use crate::boot::Boot;
use crate::job::Jobs;

/// Usage windows that are remembered.
const WINDOWS_KEPT: usize = 64;

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

/// A lease as the log has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Offset of the claim, which is the fencing number.
    pub fence: u64,
    /// Who holds it.
    pub incarnation: Incarnation,
    /// Name of its instance.
    pub node: String,
    /// Offset of the last claim or renewal.
    pub last: u64,
    /// When that was read here.
    pub heard: Boot,
    /// Number of the holder's sign of life that renewed it last.
    pub renewal: Option<u64>,
    /// Whether it was given up.
    pub released: bool,
}

/// The state that every instance folds from the log alike.
#[derive(Debug, Default)]
pub struct Fold {
    /// Instances by name.
    pub members: BTreeMap<String, Member>,
    /// Leases by subject.
    pub leases: HashMap<Subject, Lease>,
    /// Rollout jobs.
    pub jobs: Jobs,
    /// Figures of usage windows that are fixed, and whether the platform has them.
    pub windows: BTreeMap<u64, (Counts, bool)>,
    /// Counters by window and writer.
    counters: BTreeMap<u64, HashMap<Incarnation, Counts>>,
}

impl Fold {
    /// Applies the record at `offset`, read at `received`.
    pub fn apply(&mut self, record: Record, offset: u64, received: Boot) {
        match record {
            Record::Beat(beat) => self.beat(beat, offset, received),
            Record::Claim {
                subject,
                incarnation,
                node,
                succeeds,
            } => {
                let lease = Lease {
                    fence: offset,
                    incarnation,
                    node,
                    last: offset,
                    heard: received,
                    renewal: None,
                    released: false,
                };
                self.claim(subject, lease, succeeds);
            }
            Record::Release { subject, fence } => {
                let lease = self.leases.get_mut(&subject);
                if let Some(lease) = lease.filter(|lease| lease.fence == fence) {
                    lease.released = true;
                    lease.last = offset;
                }
            }
            Record::Job(job) => self.jobs.accept(*job),
            Record::Listed { job, result } => self.jobs.list(&job, result),
            Record::End { job } => self.jobs.end(&job),
            Record::Window { window, counts } => {
                self.windows.entry(window).or_insert((counts, false));
                self.counters = self.counters.split_off(&(window + 1));
                while self.windows.len() > WINDOWS_KEPT {
                    self.windows.pop_first();
                }
            }
            Record::Reported { window } => {
                if let Some((_, reported)) = self.windows.get_mut(&window) {
                    *reported = true;
                }
            }
        }
    }

    fn claim(&mut self, subject: Subject, lease: Lease, succeeds: Option<u64>) {
        if self.leases.get(&subject).map(|known| known.last) == succeeds {
            self.leases.insert(subject, lease);
        }
    }

    fn beat(&mut self, beat: Beat, offset: u64, received: Boot) {
        for (subject, fence) in &beat.leases {
            // The claim may have expired from the log before this process started.
            let lease = self.leases.entry(subject.clone()).or_insert(Lease {
                fence: *fence,
                incarnation: beat.incarnation.clone(),
                node: beat.node.clone(),
                last: offset,
                heard: received,
                renewal: None,
                released: false,
            });
            if lease.fence == *fence && lease.incarnation == beat.incarnation && !lease.released {
                lease.last = offset;
                lease.heard = received;
                lease.renewal = Some(beat.number);
            }
        }
        for (window, counts) in beat.counts {
            if self.windows.contains_key(&window) {
                continue;
            }
            let counters = self.counters.entry(window).or_default();
            counters.insert(beat.incarnation.clone(), counts);
        }
        let member = Member {
            incarnation: beat.incarnation,
            front: beat.front,
            zone: beat.zone,
            ready: beat.ready,
            heard: received,
            wall: beat.wall,
            capacity: beat.capacity,
        };
        self.members.insert(beat.node, member);
    }

    /// Figures of a window as counted so far.
    #[must_use]
    pub fn counted(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        for counts in self
            .counters
            .get(&window)
            .into_iter()
            .flat_map(HashMap::values)
        {
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
        limit: std::time::Duration,
    ) -> impl Iterator<Item = (&String, &Member)> {
        let live = move |member: &Member| member.heard.max(since) + limit >= seen;
        self.members.iter().filter(move |(_, member)| live(member))
    }
}
