//! Settings of an instance on a platform, with the bounds that the platform states.

use std::net::SocketAddr;
use std::time::Duration;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// All availability zones, in order.
    pub zones: Vec<String>,
    /// Partitions of a log of the store.
    pub partitions: u32,
    /// Address for callers' requests.
    pub front: Option<SocketAddr>,
    /// Address of the readiness check.
    pub ready: Option<SocketAddr>,
    /// Address for callers who ask where to connect.
    pub directory: Option<SocketAddr>,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Bounds of the platform.
    pub bounds: Bounds,
    /// Duties of one instance at a time.
    pub duties: Duties,
    /// Share of a core that the process gets, in thousandths.
    pub capacity: u32,
    /// Bytes of one record of the store.
    pub record_bytes: usize,
    /// Bytes of one call to the store.
    pub call_bytes: usize,
}

/// Bounds that the platform states; most are lengths of time.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A withdrawn key may be honoured for this long.
    pub withdrawal: Duration,
    /// A configuration is in force everywhere after this long.
    pub apply: Duration,
    /// A process ends within this long after SIGTERM.
    pub grace: Duration,
    /// A lease holder must have been unheard for this long before another takes over.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// A usage report is due this long after its window's end.
    pub report_due: Duration,
    /// An address answer holds for at most this long.
    pub address_ttl: Duration,
    /// Batch jobs stay readable this long after their submission.
    pub job_kept: Duration,
    /// How far the rate that a server bears while it warms up may be exceeded.
    pub warmup: Overshoot,
}

/// How far a rate may be exceeded.
#[derive(Clone, Copy, Debug)]
pub struct Overshoot {
    /// Factor on the rate.
    pub factor: f64,
    /// Requests a second beyond that.
    pub slack: f64,
}

impl Overshoot {
    /// The highest rate that is still borne where `rate` is stated.
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
    /// Orders for backend servers.
    pub scale: bool,
}
