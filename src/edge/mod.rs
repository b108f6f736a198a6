//! Traits for the platform's interfaces, and their HTTP clients.

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
    /// Manifests, keys, rounds and marked servers.
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

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EdgeError {
    /// No response. The call may have taken effect, unless [`ClientError::is_unsent`].
    ///
    /// [`ClientError::is_unsent`]: crate::http::ClientError::is_unsent
    #[snafu(display("{url}: {source}"))]
    Call {
        /// The URL called.
        url: String,
        /// The cause.
        source: crate::http::ClientError,
    },
    /// No response to a call under a lease; see [`FencedClient::send`] for what was sent.
    #[snafu(display("{url}: {source}"))]
    Fenced {
        /// The URL called.
        url: String,
        /// The cause.
        source: FencedError,
    },
    /// A response whose status is not a success.
    #[snafu(display("{url}: status {status}: {detail}"))]
    Refused {
        /// The URL called.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The response body.
        detail: String,
    },
    /// A body that cannot be serialised or parsed.
    #[snafu(display("{url}: {source}"))]
    Malformed {
        /// The URL called.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The result of a call to the platform.
pub type EdgeResult<T> = Result<T, EdgeError>;

/// The log service: append-only streams of records with offsets.
pub trait Log: fmt::Debug + Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// After an error, the record may still have been appended, or be appended later.
    fn append(&self, stream: Stream, record: String) -> BoxFuture<'_, EdgeResult<u64>>;

    /// Reads records from offset `from` on, waiting up to `wait` for the first one.
    fn read(&self, stream: Stream, from: u64, wait: Duration)
    -> BoxFuture<'_, EdgeResult<LogPage>>;
}

/// The platform's list of instances.
pub trait Instances: fmt::Debug + Send + Sync {
    /// Lists live and leaving instances; the list may be out of date.
    fn list(&self) -> BoxFuture<'_, EdgeResult<Vec<Instance>>>;
}

/// The platform's interface for backend servers.
pub trait Servers: fmt::Debug + Send + Sync {
    /// Lists backend servers and the orders that took effect.
    fn list(&self) -> BoxFuture<'_, EdgeResult<ServerList>>;

    /// Orders a backend server to start or stop, under the lease of the servers' role.
    fn order(&self, order: Order, held: HeldLease) -> BoxFuture<'_, EdgeResult<OrderResult>>;
}

/// The platform's interface for usage reports.
pub trait UsageSink: fmt::Debug + Send + Sync {
    /// Reports a closed window, under the lease of the usage role.
    fn report(&self, report: UsageReport, held: HeldLease) -> BoxFuture<'_, EdgeResult<()>>;
}
