//! Records of the instances' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

use crate::instance::interfaces::{ServerProcess, Software};
use crate::job::{Content, ItemResult, JobRecord};
use crate::names::Fingerprint;

/// Identifies one start of an instance's process.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
pub struct Incarnation(pub String);

/// The duty that a lease covers.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// Usage reports.
    #[display("usage")]
    Usage,
    /// Leading a service: its jobs, weights and backend servers.
    #[display("service/{_0}")]
    Service(String),
}

/// Requests by tenant.
pub type Counts = BTreeMap<String, u64>;

/// Renews all leases that the writing process holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal {
    /// Name of the instance.
    pub node: String,
    /// The writer.
    pub incarnation: Incarnation,
    /// Number of this renewal since the start of the process.
    pub number: u64,
    /// Leases held, with their fencing tokens.
    pub leases: BTreeMap<Subject, u64>,
}

/// A heartbeat of an instance; a record of the log of heartbeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub node: String,
    /// The writer.
    pub incarnation: Incarnation,
    /// Address to which callers connect.
    pub front: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether callers may be sent to the instance.
    pub ready: bool,
    /// CPU share of the process, in thousandths of a core.
    pub capacity: u32,
}

/// Requests that a process counted; a record of the counter log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CounterRecord {
    /// The writer.
    pub incarnation: Incarnation,
    /// Unix time in milliseconds at which the record was written.
    pub wall: u64,
    /// Requests that began to run since the start of the process, by usage window and tenant.
    pub counts: BTreeMap<u64, Counts>,
}

/// What an instance asks of services whose servers limit all instances together; a record of the
/// demand log, which replaces the process's record before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandRecord {
    /// The writer.
    pub incarnation: Incarnation,
    /// Number of the record since the start of the process.
    pub number: u64,
    /// Time for which the others count the record after they read it, in milliseconds.
    pub valid_ms: u64,
    /// Demand by service, in requests over the same period at all instances.
    pub demands: BTreeMap<String, u32>,
}

/// Part of an item's text; a record of the draft log.
///
/// The next leader continues the text from its parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DraftPart {
    /// Fencing token of the lease under which the events were received.
    pub fence: u64,
    /// Id of the item.
    pub item: String,
    /// Number of events saved earlier under this lease; 0 starts the text anew.
    pub from: usize,
    /// Data of the events after those.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: u64,
    /// Weight versions that generated the text so far.
    pub versions: Vec<u64>,
    /// Version of the software that generated the text, if known.
    #[serde(default)]
    pub software: Option<Software>,
}

/// Where a caller's stream began; a record of the log of streams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Id of the caller's attempt that began the stream.
    pub stream: String,
    /// The service.
    pub service: String,
    /// Version of the software of the server that began the stream.
    pub software: Software,
}

/// A record of the payload log, for data too large for every instance to read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// The text of a result.
    Text(String),
    /// The contents of a job's items.
    Contents(Vec<Content>),
}

/// Backend servers that crashed while running a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The server processes that crashed.
    #[serde(rename = "lives")]
    pub processes: BTreeSet<ServerProcess>,
    /// Unix time in milliseconds of the last crash.
    pub last: u64,
    /// Unix time in milliseconds at which the record was written.
    #[serde(rename = "made")]
    pub written: u64,
}

/// A record of the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Renews leases.
    Renewal(Renewal),
    /// Claims a lease; void if the lease has changed since `succeeds`.
    Claim {
        /// The duty that the lease covers.
        subject: Subject,
        /// The claiming process.
        incarnation: Incarnation,
        /// Name of the claimant's instance.
        node: String,
        /// Offset of the last record that changed the lease, as known to the claimant; none if the
        /// lease was never held.
        succeeds: Option<u64>,
    },
    /// Releases a lease.
    Release {
        /// The duty that the lease covers.
        subject: Subject,
        /// Fencing token of the lease.
        fence: u64,
    },
    /// Fixes the counts of a usage window; the first such record is final.
    Window {
        /// Number of the window.
        window: u64,
        /// Requests by tenant.
        counts: Counts,
    },
    /// The platform accepted or finally refused the report of a usage window.
    Reported {
        /// Number of the window.
        window: u64,
    },
    /// A backend server answered that it is shutting down.
    Leaving {
        /// Id of the server.
        server: String,
        /// Unix time in milliseconds at which the request was sent that got this answer.
        said: u64,
    },
    /// A backend server named a limit on its requests, or answered that it has none any more.
    Limit {
        /// The server process.
        server: ServerProcess,
        /// The service that the server belongs to.
        service: String,
        /// Requests per second that the server takes from all instances together.
        rate: Option<f64>,
    },
    /// Backend servers crashed while running a request.
    Crashed(Crash),
    /// Asks for a trial run of a refused request; the first record once it is due wins.
    Trial {
        /// The request.
        request: Fingerprint,
        /// Unix time in milliseconds at which the trial was asked for.
        wall: u64,
    },
    /// A request during which servers crashed ran to its end, which clears its crashes.
    Forgiven {
        /// The request.
        request: Fingerprint,
        /// Unix time in milliseconds at which the run ended.
        wall: u64,
    },
}

/// A record of the job log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobEvent {
    /// Accepts a job.
    Job(Box<JobRecord>),
    /// Lists the result of an item.
    Listed {
        /// The job.
        job: String,
        /// The result.
        result: ItemResult,
    },
    /// A server answered an item, or the call to its scorer, with status 500.
    Failed {
        /// The job.
        job: String,
        /// Id of the request to the server or to the scorer.
        request: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}
