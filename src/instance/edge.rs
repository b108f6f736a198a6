//! Traits for what an instance meets on a platform, and the types that cross them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Request, request, response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::deployment::Deployment;
use crate::boot::Boot;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No answer: the call may have taken effect, or may yet.
    #[snafu(display("no answer from the store: {detail}"))]
    Unanswered {
        /// The cause.
        detail: String,
    },
    /// The store refused the call, and nothing was done.
    #[snafu(display("the store refused the call: status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The records asked for have expired.
    #[snafu(display("records before offset {first} have expired"))]
    Expired {
        /// The first record that is left.
        first: u64,
    },
    /// The writer's sequence number is not the next one.
    #[snafu(display("the store expects sequence number {expected}"))]
    Sequence {
        /// The number that the store expects.
        expected: u64,
    },
    /// An answer that does not parse.
    #[snafu(display("malformed answer of the store: {detail}"))]
    Malformed {
        /// What was wrong.
        detail: String,
    },
}

/// Time within which the store answers, beyond the hold of a long poll, before the call is given
/// up and its connection closed.
pub const STORE_ANSWER: Duration = Duration::from_millis(900);
/// Pause after a call of the store that failed.
pub const STORE_PAUSE: Duration = Duration::from_millis(120);

/// A log of the instances' own in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Log {
    /// What every instance follows: leases and usage windows.
    Ledger,
    /// Jobs and results, followed by leaders and read by whoever is asked about a job.
    Jobs,
    /// Signs of life by partition, of which an instance follows its own. The store takes a
    /// partition's appends one after the other.
    Signs(u32),
    /// Requests that instances counted, followed by the one that reports usage.
    Counters,
    /// Contents of jobs and texts of results, read by whoever needs them.
    Payloads,
    /// Unfinished texts, read by an instance that becomes a service's leader.
    Drafts,
}

/// Records to append together, repeatable by the writer's sequence number.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Where they go.
    pub log: Log,
    /// The writer: one incarnation of an instance.
    pub writer: String,
    /// Number of this batch, one higher than that of the batch before.
    pub sequence: u64,
    /// The records.
    pub records: Vec<Bytes>,
}

/// A page of a stream of the store.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// Offset after the last item of the page.
    pub next: u64,
    /// Offset after the last item of the stream.
    pub end: u64,
    /// The items in order, with their offsets.
    pub items: Vec<(u64, T)>,
    /// Whether this is the present state instead of the changes since an offset.
    pub snapshot: bool,
}

/// What an operator or a trainer wrote.
#[derive(Clone, Debug)]
pub enum OperatorNews {
    /// A configuration.
    Deployment(Box<Deployment>),
    /// A trainer named a weight version.
    Weights {
        /// The model.
        model: String,
        /// The version that its servers are to have.
        version: u64,
    },
    /// The servers of an availability zone get nothing more, or do again.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether they get nothing more.
        on: bool,
    },
    /// Something that cannot be read, with the reason.
    Unreadable(String),
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its id.
    pub id: String,
    /// Unix time of its start in milliseconds: tells two starts under one id apart.
    pub born: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Weight version by model.
    pub weights: BTreeMap<String, u64>,
    /// Until when it warms up.
    pub warm: Boot,
}

/// One start of a backend server.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{id}@{born}")]
pub struct Life {
    /// The server's id.
    pub id: String,
    /// Unix time of the start in milliseconds.
    pub born: u64,
}

impl Backend {
    /// This start of the server.
    #[must_use]
    pub fn life(&self) -> Life {
        Life {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// A change of the servers' registry.
#[derive(Clone, Debug)]
pub struct ServerNews {
    /// The server's id.
    pub id: String,
    /// Its entry; none if it was removed or cannot be read.
    pub entry: Option<Backend>,
}

/// The platform's store: a shared log and two keyed tables.
pub trait Store: fmt::Debug {
    /// Appends a batch to a log and returns the offset of its first record.
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<u64, StoreError>>;

    /// Reads about `bytes` of a log, waiting up to `wait` for the first record.
    fn read(
        &self,
        log: Log,
        from: u64,
        bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<Bytes>, StoreError>>;

    /// Deletes the records of a log before an offset.
    fn trim(&self, log: Log, before: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Reads what operators wrote; without `from`, the present state.
    fn operator(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<OperatorNews>, StoreError>>;

    /// Reads the registry of backend servers; without `from`, the present state.
    fn servers(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<ServerNews>, StoreError>>;
}

/// Who makes a call under a lease.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Name of the instance.
    pub name: String,
    /// Fencing number of its lease.
    pub fence: u64,
}

/// Outcome of a call to the platform's interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloudReply {
    /// Done.
    Done,
    /// Refused for good.
    Rejected(u16),
    /// Refused for now, or no answer.
    Later,
}

/// The platform's interface for duties of one instance at a time.
pub trait Cloud: fmt::Debug {
    /// Reports the usage of a window.
    fn report<'a>(
        &'a self,
        holder: &'a Holder,
        window: u64,
        counts: &'a BTreeMap<String, u64>,
    ) -> LocalBoxFuture<'a, CloudReply>;

    /// Orders a number of backend servers for a service in an availability zone.
    fn scale<'a>(
        &'a self,
        holder: &'a Holder,
        service: &'a str,
        zone: &'a str,
        count: usize,
    ) -> LocalBoxFuture<'a, CloudReply>;
}

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// A request of a route.
    Forward,
    /// Results of a job from a position on.
    Results {
        /// The job.
        job: String,
        /// The first position.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// The body of an item that is not listed yet.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// The end of a job.
    End {
        /// The job.
        job: String,
    },
    /// Neither; nothing answers to it.
    Unknown,
}

/// A caller's request head, decoded.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Id of this attempt.
    pub id: String,
    /// Host without a port.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// The key, if one was sent.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// What it asks for.
    pub intent: Intent,
}

/// What the instance adds to a request for a backend server.
#[derive(Clone, Debug, Default)]
pub struct Dispatch<'a> {
    /// Id of the request, which the server repeats; none for calls of the instance's own.
    pub id: Option<&'a str>,
    /// The backend server that must take it.
    pub server: &'a str,
    /// The tenant, if one is known.
    pub tenant: Option<&'a str>,
    /// Time left, if the server is to stop at it.
    pub left: Option<Duration>,
    /// The last event that arrived, to go on after it.
    pub resume: Option<u64>,
}

/// A backend server's answer, decoded from its head.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The request's id, as the server repeats it.
    pub id: Option<String>,
    /// The server's signature.
    pub stamp: Option<String>,
    /// Whether the server states that the request has not run.
    pub not_run: bool,
    /// Weight version at its start.
    pub version: Option<u64>,
    /// Time for which the server keeps the idle connection.
    pub keep: Option<Duration>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
}

/// A job as a trainer submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The model that is trained.
    pub model: String,
    /// Oldest weight version of any token.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub group_target: usize,
    /// The samples to make.
    pub items: Vec<crate::job::Item>,
    /// Their requests, in the same order.
    pub contents: Vec<crate::job::Content>,
}

/// An engine's own account of itself.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Weight version by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
}

/// What happens to running requests when weights are loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadMode {
    /// They finish first.
    Await,
    /// They go on under the new version.
    Retain,
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct LoadOrder<'a> {
    /// The model.
    pub model: &'a str,
    /// The version to load.
    pub version: u64,
    /// What happens to running requests.
    pub mode: LoadMode,
    /// Orders that the server must have accepted so far.
    pub expected: Option<u64>,
    /// Who orders.
    pub holder: &'a Holder,
    /// The server that must take it.
    pub server: &'a str,
}

/// A result and its text.
#[derive(Clone, Debug)]
pub struct Shown {
    /// The result.
    pub listed: Rc<crate::job::Listed>,
    /// Its text.
    pub text: Rc<str>,
}

/// Translates between HTTP messages and the types above; it decides nothing.
pub trait Dialect: fmt::Debug {
    /// Decodes the head of a caller's request.
    fn intake(&self, head: &request::Parts) -> Intake;

    /// Sets the headers of a request for a backend server.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of a backend server's answer.
    fn reply(&self, head: &response::Parts) -> Reply;

    /// Decodes a submitted job.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn submission(&self, body: &[u8]) -> Result<Submission, String>;

    /// Encodes a page of results with their texts.
    fn results(&self, total: usize, from: usize, results: &[Shown]) -> Bytes;

    /// Encodes an address answer.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// The weight version that a line of an event stream announces.
    fn version_line(&self, line: &str) -> Option<u64>;

    /// The call for an engine's report.
    fn report(&self) -> Request<Bytes>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// The call that orders an engine to load weights.
    fn load(&self, order: &LoadOrder<'_>) -> Request<Bytes>;
}
