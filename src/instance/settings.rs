//! Settings of an instance, including the bounds that the platform states.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ledger::pieces::SizeLimits;

/// Settings of an instance, read at its start.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of this instance.
    pub name: String,
    /// Availability zone of this instance.
    pub zone: String,
    /// All availability zones, in order.
    pub zones: Vec<String>,
    /// Number of partitions of a log in the store.
    pub partitions: u32,
    /// Listening address for callers' requests.
    pub front: Option<SocketAddr>,
    /// Listening address of the readiness check.
    pub ready: Option<SocketAddr>,
    /// Listening address for callers that ask for instance addresses.
    pub directory: Option<SocketAddr>,
    /// Listening address of the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Bounds that the platform states.
    pub bounds: PlatformBounds,
    /// Duties that the platform wants done, each by one instance at a time.
    pub duties: Duties,
    /// Share of a core that the process gets, in thousandths.
    pub capacity: u32,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// File descriptors that the process may have open, if limited.
    pub max_fds: Option<usize>,
    /// Maximum sizes in the store.
    pub size_limits: SizeLimits,
}

/// Bounds that the platform states; most are durations.
#[derive(Clone, Copy, Debug)]
pub struct PlatformBounds {
    /// Longest time for which a withdrawn key may still be accepted.
    pub withdrawal: Duration,
    /// Time within which a configuration takes effect on every instance.
    pub apply: Duration,
    /// Grace period: time within which a process must exit after SIGTERM.
    pub grace: Duration,
    /// Time without a renewal after which another instance may claim a lease.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after a usage window's end within which its report is due.
    pub report_due: Duration,
    /// Upper limit on the validity of an address answer.
    pub address_ttl: Duration,
    /// Time after its submission for which a batch job must stay readable.
    pub job_kept: Duration,
    /// How far a server's warm-up rate may be exceeded.
    pub warmup: Overshoot,
}

/// Tolerance for exceeding a rate.
#[derive(Clone, Copy, Debug)]
pub struct Overshoot {
    /// Factor applied to the rate.
    pub factor: f64,
    /// Requests per second added after the factor.
    pub slack: f64,
}

impl Overshoot {
    /// The highest tolerated rate for a stated `rate`.
    #[must_use]
    pub fn bound(&self, rate: f64) -> f64 {
        rate * self.factor + self.slack
    }
}

/// Which duties the platform wants done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Duties {
    /// Usage reports.
    pub usage: bool,
    /// Scaling of backend servers.
    pub scale: bool,
}
