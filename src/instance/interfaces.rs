//! Interfaces between an instance and its platform: store, control interface and wire format.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{AsRef, Display, From};
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
    /// No answer: the call may have taken effect, or may still do so.
    #[snafu(display("no answer from the store: {detail}"))]
    Unanswered {
        /// The cause.
        detail: String,
    },
    /// The store answers again after a silence in which the call was sent; the call is to be
    /// repeated at once. It may have taken effect, or may still do so.
    #[snafu(display("the call was ended, since the store answers again"))]
    Returned,
    /// The store refused the call, which had no effect.
    #[snafu(display("the store refused the call: status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store refused the call for good, because of what it holds; a retry would fail as well.
    #[snafu(display("the store never takes this call: status {status}"))]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The requested records have expired.
    #[snafu(display("records before offset {first} have expired"))]
    Expired {
        /// Offset of the oldest record that is left.
        first: u64,
    },
    /// The writer's sequence number is not the next one.
    #[snafu(display("the store expects sequence number {expected}"))]
    Sequence {
        /// The number that the store expects.
        expected: u64,
    },
    /// The answer could not be parsed.
    #[snafu(display("malformed answer of the store: {detail}"))]
    Malformed {
        /// What is wrong with the answer.
        detail: String,
    },
}

/// Timeout of a call to the store, in addition to a long poll's wait.
///
/// After it, the call is abandoned and its connection closed.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Base pause after a failed call to the store.
pub const STORE_BACKOFF: Duration = Duration::from_millis(120);

/// One of the instances' own logs in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Log {
    /// Leases and usage windows; followed by every instance.
    Ledger,
    /// Jobs and results; followed by leaders and by instances that are asked about a job.
    Jobs,
    /// Heartbeats, by partition.
    ///
    /// An instance always follows its own partition. The store handles the appends to one
    /// partition one after the other.
    Signs(u32),
    /// Instances' request counters; followed by the instance that reports usage.
    Counters,
    /// Demands for servers that limit all instances together; followed by the instances that have
    /// such demands.
    Demands,
    /// Where callers' streams began, by partition; read when a stream is taken up.
    Streams(u32),
    /// Contents of jobs and texts of results; read on demand by offset.
    Payloads,
    /// Unfinished texts; read by an instance that becomes a service's leader.
    Drafts,
}

/// Records to append together; the sequence number makes the append idempotent.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Log to append to.
    pub log: Log,
    /// The writer: one incarnation of an instance.
    pub writer: String,
    /// Sequence number, one higher than that of the writer's previous batch.
    pub sequence: u64,
    /// Encoded records, in order.
    pub records: Vec<Bytes>,
}

/// A page of a stream of the store.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// Offset after the last item of the page.
    pub next: u64,
    /// Offset after the last item of the stream.
    pub end: u64,
    /// Items in order, with their offsets.
    pub items: Vec<(u64, T)>,
    /// Whether the page holds the current state rather than the changes since an offset.
    pub snapshot: bool,
}

/// A change that an operator or a trainer wrote to the store.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A new configuration.
    Deployment(Box<Deployment>),
    /// A trainer requested a weight version for a model.
    Weights {
        /// The model.
        model: String,
        /// The version that the model's servers must load.
        version: u64,
    },
    /// An operator started or ended the evacuation of an availability zone.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether the zone's servers get no new requests.
        on: bool,
    },
    /// A record that could not be decoded, with the reason.
    Unreadable(String),
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The server takes new requests.
    Ready,
    /// The server is shutting down and takes no new requests.
    Draining,
}

/// A backend server's entry in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The server's id.
    pub id: String,
    /// Unix time of the server's start in milliseconds; distinguishes starts under one id.
    pub born: u64,
    /// Service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Whether the server takes new requests.
    pub state: ServerState,
    /// Version of the server's software; streams may not go on at another version.
    pub software: Software,
    /// Weight version by model.
    pub weights: BTreeMap<String, u64>,
    /// When the warm-up ends.
    pub warm_at: Boot,
}

/// Version of a backend server's software.
#[derive(
    AsRef, Clone, Debug, Default, Deserialize, Display, Eq, From, Hash, PartialEq, Serialize,
)]
#[as_ref(str)]
pub struct Software(pub String);

/// Identifies one run of a backend server, from its start to its end.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{id}@{born}")]
pub struct ServerProcess {
    /// The server's id.
    pub id: String,
    /// Unix time of the start in milliseconds.
    pub born: u64,
}

impl Backend {
    /// Identifies this run of the server.
    #[must_use]
    pub fn process(&self) -> ServerProcess {
        ServerProcess {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// A change in the registry of backend servers.
#[derive(Clone, Debug)]
pub struct ServerChange {
    /// The server's id.
    pub id: String,
    /// The new entry; none if the entry was removed or could not be decoded.
    pub entry: Option<Backend>,
    /// Why the entry could not be decoded, if so.
    pub unreadable: Option<String>,
}

/// The platform's store: shared logs and two keyed tables.
pub trait Store: fmt::Debug {
    /// Appends a batch to a log and returns the offset of its first record.
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<u64, StoreError>>;

    /// Reads about `bytes` bytes of a log, waiting up to `wait` for the first record.
    fn read(
        &self,
        log: Log,
        from: u64,
        bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<Bytes>, StoreError>>;

    /// Deletes the records of a log before an offset.
    fn trim(&self, log: Log, before: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Reads operators' changes since `from`; without `from`, the current state.
    fn operator(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<OperatorChange>, StoreError>>;

    /// Reads registry changes since `from`; without `from`, the current state.
    fn servers(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<ServerChange>, StoreError>>;
}

/// The holder of a lease, with the fencing token that authorizes its calls.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Name of the instance.
    pub name: String,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Outcome of a call to the platform's control interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// The platform carried out the call.
    Done,
    /// Permanently refused, with the HTTP status; a retry would fail as well.
    Rejected(u16),
    /// Temporarily refused or unanswered; the call may be retried.
    Later,
}

/// The platform's control interface, which only a lease holder may call.
pub trait PlatformApi: fmt::Debug {
    /// Reports the usage of a window.
    fn report<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        window: u64,
        counts: &'a BTreeMap<String, u64>,
    ) -> LocalBoxFuture<'a, PlatformReply>;

    /// Requests a target number of backend servers of a service in an availability zone.
    fn scale<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        service: &'a str,
        zone: &'a str,
        count: usize,
    ) -> LocalBoxFuture<'a, PlatformReply>;
}

/// The operation that a caller requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Forward the request along its route.
    Forward,
    /// Return a job's results, starting at a position.
    Results {
        /// The job.
        job: String,
        /// Position of the first result to return.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// Return the body of an item whose result is not listed yet.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// End a job.
    End {
        /// The job.
        job: String,
    },
    /// No known operation; the request is rejected.
    Unknown,
}

/// A caller's request head, decoded.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request id of this attempt.
    pub id: String,
    /// Host without a port.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// API key, if the caller sent one.
    pub key: Option<String>,
    /// How long the caller waits for an answer, if stated.
    pub caller_timeout: Option<Duration>,
    /// Present if the request takes up a stream that broke off.
    pub take_up: Option<TakeUp>,
    /// The requested operation.
    pub operation: Operation,
}

/// A caller's request to go on with a stream that broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakeUp {
    /// Id of the attempt that brought the stream's first event, if stated.
    pub origin: Option<String>,
    /// Number of the last event that the caller received, if it is a number.
    pub last: Option<u64>,
}

/// Header values that an instance adds to a request for a backend server.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHeaders<'a> {
    /// Request id, which the server echoes; none for the instance's own calls.
    pub id: Option<&'a str>,
    /// Id of the backend server that must handle the request; others refuse it.
    pub server: &'a str,
    /// The tenant, if known.
    pub tenant: Option<&'a str>,
    /// Time left until the deadline, if the server must stop there.
    pub time_left: Option<Duration>,
    /// Number of the last event received, to resume the stream after it.
    pub resume: Option<u64>,
}

/// A backend server's response head, decoded.
#[derive(Clone, Debug)]
pub struct UpstreamReply {
    /// Request id that the server echoes.
    pub id: Option<String>,
    /// The server's signature.
    pub signature: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Weight version when the answer began.
    pub version: Option<u64>,
    /// Keep-alive timeout of the idle connection, if stated.
    pub keep_alive: Option<Duration>,
    /// Whether the server announces that it is shutting down.
    pub leaving: bool,
    /// The request rate to which the server limits all instances together.
    pub limit: StatedLimit,
}

/// What an answer of a backend server says of the request rate that the server takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedLimit {
    /// The answer names no limit.
    None,
    /// Requests per second that the server takes from all instances together.
    Rate(f64),
    /// The answer names a limit that is not a rate.
    Unreadable,
}

/// Size of a submitted job: upper bounds on the memory that it takes once it is decoded, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SubmissionSize {
    /// Number of items.
    pub items: usize,
    /// The job without its items' contents, at each instance that follows the log of jobs.
    pub index: usize,
    /// The largest content of an item.
    pub content: usize,
    /// The most headers of an item, as a number.
    pub headers: usize,
}

/// A job as a trainer submitted it, without its items' contents.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The model in training.
    pub model: String,
    /// Oldest weight version that may generate a token.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub group_target: usize,
    /// The samples to generate.
    pub items: Vec<crate::job::Item>,
    /// Where each item stands in the body.
    pub spans: Vec<Range<usize>>,
}

/// The status that an inference engine reports.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Loaded weight version by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of load orders accepted since the engine's start.
    pub orders: u64,
}

/// How running requests are treated when weights are loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadMode {
    /// Running requests finish before the load.
    Await,
    /// Running requests continue with the new version.
    Retain,
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct LoadRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The version to load.
    pub version: u64,
    /// How running requests are treated.
    pub mode: LoadMode,
    /// Number of orders that the server must have accepted so far, else it refuses this one.
    pub expected: Option<u64>,
    /// Holder of the service's lease, who gives the order.
    pub holder: &'a LeaseHolder,
    /// Id of the server that must take the order.
    pub server: &'a str,
}

/// The result of an item with its text, as shown to a caller.
#[derive(Clone, Debug)]
pub struct ResultText {
    /// The result of the item.
    pub result: Rc<crate::job::ItemResult>,
    /// The result's text.
    pub text: Rc<str>,
}

/// Converts between HTTP messages and the types of this module, without any policy.
pub trait Codec: fmt::Debug {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, head: &request::Parts) -> CallerRequest;

    /// Sets the headers of a request for a backend server.
    fn set_headers(&self, headers: &mut HeaderMap, values: &UpstreamHeaders<'_>);

    /// Decodes the head of a backend server's response.
    fn decode_reply(&self, head: &response::Parts) -> UpstreamReply;

    /// Measures a submitted job, without memory for what it holds.
    ///
    /// # Errors
    /// What is wrong with the body, as far as that shows without decoding it.
    fn measure_submission(&self, body: &[u8]) -> Result<SubmissionSize, String>;

    /// Decodes a submitted job without its items' contents.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn decode_submission(&self, body: &[u8]) -> Result<Submission, String>;

    /// Decodes the content of an item from its part of a submission's body.
    ///
    /// # Errors
    /// What is wrong with the item.
    fn decode_content(&self, item: &[u8]) -> Result<crate::job::Content, String>;

    /// Encodes a page of results, starting at position `from` of `total`.
    fn encode_results(&self, total: usize, from: usize, results: &[ResultText]) -> Bytes;

    /// Encodes the addresses for a caller, valid for `ttl`.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Weight version that a line of an event stream announces, if any.
    fn announced_version(&self, line: &str) -> Option<u64>;

    /// Builds the request for an engine's report.
    fn report_request(&self) -> Request<Bytes>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Builds the request that orders an engine to load weights.
    fn load_request(&self, order: &LoadRequest<'_>) -> Request<Bytes>;
}
