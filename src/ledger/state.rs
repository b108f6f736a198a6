//! State folded from the ledger and the job log: leases, usage windows, crashes and jobs.

use std::collections::{BTreeMap, HashMap};

use super::crashes::CrashHistory;
use super::record::{Counts, Incarnation, JobEvent, Record, Renewal, Subject};
use crate::boot::Boot;
use crate::job::Jobs;

/// Maximum number of usage windows that are kept.
const WINDOWS_KEPT: usize = 64;

/// A lease as recorded in the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Offset of the claim, which is the fencing token.
    pub fence: u64,
    /// The process that holds the lease.
    pub incarnation: Incarnation,
    /// Name of the holder's instance.
    pub node: String,
    /// Offset of the last claim, renewal or release.
    pub last: u64,
    /// When this process read the last claim or renewal.
    pub last_heard: Boot,
    /// Number of the holder's last renewal; none before the first.
    pub renewal: Option<u64>,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// State that every instance folds from the same logs.
#[derive(Debug, Default)]
pub struct LedgerState {
    /// Leases by subject.
    pub leases: HashMap<Subject, Lease>,
    /// Rollout jobs.
    pub jobs: Jobs,
    /// Fixed counts by usage window, and whether the platform has accepted or finally refused their
    /// report.
    pub windows: BTreeMap<u64, (Counts, bool)>,
    /// Requests during which backend servers crashed.
    pub crashes: CrashHistory,
    /// Offset of the last ledger record that was applied.
    pub last: Option<u64>,
}

impl LedgerState {
    /// Applies a record of the job log.
    pub fn apply_job(&mut self, event: JobEvent) {
        match event {
            JobEvent::Job(job) => self.jobs.accept(*job),
            JobEvent::Listed { job, result } => self.jobs.add_result(&job, result),
            JobEvent::Failed { job, request } => self.jobs.count_failure(&job, request),
            JobEvent::End { job } => self.jobs.end(&job),
        }
    }

    /// Applies the ledger record at `offset`, which was read at `received`.
    pub fn apply(&mut self, record: Record, offset: u64, received: Boot) {
        self.last = Some(offset);
        match record {
            Record::Renewal(renewal) => self.renew(&renewal, offset, received),
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
                    last_heard: received,
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
            Record::Window { window, counts } => {
                self.windows.entry(window).or_insert((counts, false));
                while self.windows.len() > WINDOWS_KEPT {
                    self.windows.pop_first();
                }
            }
            // The task that follows the ledger applies these records to the servers.
            Record::Leaving { .. } | Record::Limit { .. } => {}
            Record::Crashed(crash) => self.crashes.record(crash),
            Record::Trial { request, wall } => self.crashes.grant_trial(&request, wall, offset),
            Record::Forgiven { request, wall } => self.crashes.clear(request, wall),
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

    fn renew(&mut self, renewal: &Renewal, offset: u64, received: Boot) {
        for (subject, fence) in &renewal.leases {
            // The claim may have expired from the log before this process started.
            let lease = self.leases.entry(subject.clone()).or_insert(Lease {
                fence: *fence,
                incarnation: renewal.incarnation.clone(),
                node: renewal.node.clone(),
                last: offset,
                last_heard: received,
                renewal: None,
                released: false,
            });
            if lease.fence == *fence && lease.incarnation == renewal.incarnation && !lease.released
            {
                lease.last = offset;
                lease.last_heard = received;
                lease.renewal = Some(renewal.number);
            }
        }
    }
}
