//! Traits for the outside systems, and their HTTP clients.

mod fenced;
mod http_platform;

use std::fmt;
use std::time::Duration;

use futures_util::future::BoxFuture;
use snafu::Snafu;

use crate::lease::HeldLease;
use crate::wire::{Instance, LogPage, Order, OrderResult, ServerList, UsageReport};

pub use fenced::{FencedClient, FencedError, FencedStream};
pub use http_platform::{HttpInstances, HttpLog, HttpServers, HttpUsage};

/// A stream of the log service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stream {
    /// Manifests, keys and rounds.
    Config,
    /// Lease claims and renewals.
    Leases,
    /// Order intents and outcomes.
    Orders,
    /// Usage counters and closed windows.
    Usage,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Leases => "leases",
            Self::Orders => "orders",
            Self::Usage => "usage",
        })
    }
}

/// Why a call to an outside system failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EdgeError {
    /// No answer: the call may or may not have taken effect.
    #[snafu(display("{url}: {source}"))]
    Call {
        /// What was called.
        url: String,
        /// The cause.
        source: crate::http::ClientError,
    },
    /// A call under a lease got no answer.
    #[snafu(display("{url}: {source}"))]
    Fenced {
        /// What was called.
        url: String,
        /// The cause.
        source: FencedError,
    },
    /// An answer that refuses the call.
    #[snafu(display("{url}: status {status}: {detail}"))]
    Refused {
        /// What was called.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        detail: String,
    },
    /// An answer that does not parse.
    #[snafu(display("{url}: {source}"))]
    Malformed {
        /// What was called.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Result of a call to an outside system.
pub type EdgeResult<T> = Result<T, EdgeError>;

/// The log service: append-only streams of records with offsets.
pub trait Log: fmt::Debug + Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// An error does not mean that the append took no effect.
    fn append(&self, stream: Stream, record: String) -> BoxFuture<'_, EdgeResult<u64>>;

    /// Reads records from an offset on, waiting up to `wait` for the first one.
    fn read(&self, stream: Stream, from: u64, wait: Duration)
    -> BoxFuture<'_, EdgeResult<LogPage>>;
}

/// The instance list.
pub trait Instances: fmt::Debug + Send + Sync {
    /// Lists live and leaving instances; the list may lag.
    fn list(&self) -> BoxFuture<'_, EdgeResult<Vec<Instance>>>;
}

/// The backend server interface.
pub trait Servers: fmt::Debug + Send + Sync {
    /// Lists backend servers and the orders that took effect.
    fn list(&self) -> BoxFuture<'_, EdgeResult<ServerList>>;

    /// Orders a backend server to start or stop, under the lease of the servers' role.
    fn order(&self, order: Order, held: HeldLease) -> BoxFuture<'_, EdgeResult<OrderResult>>;
}

/// The usage interface.
pub trait UsageSink: fmt::Debug + Send + Sync {
    /// Reports a closed window, under the lease of the usage role.
    fn report(&self, report: UsageReport, held: HeldLease) -> BoxFuture<'_, EdgeResult<()>>;
}
