//! Records of the instances' logs, and their framing.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::net::SocketAddr;

use bytes::{BufMut as _, Bytes, BytesMut};
use derive_more::{AsRef, Display, From};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::instance::edge::Life;
use crate::instance::events::event;
use crate::job::{Content, JobRecord, Listed};
use crate::names::Fingerprint;

/// One start of an instance's process.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
pub struct Incarnation(pub String);

/// What a lease is about.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// Usage reports.
    #[display("usage")]
    Usage,
    /// Jobs, weights and backend servers of a service.
    #[display("service/{_0}")]
    Service(String),
}

/// Requests by tenant.
pub type Counts = BTreeMap<String, u64>;

/// Renews the leases that its writer holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal {
    /// Name of the instance.
    pub node: String,
    /// The writer.
    pub incarnation: Incarnation,
    /// Number of this renewal since the start of the process.
    pub number: u64,
    /// Leases held, with their fencing numbers.
    pub leases: BTreeMap<Subject, u64>,
}

/// A sign of life; a record of the log of signs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sign {
    /// Name of the instance.
    pub node: String,
    /// The writer.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub front: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether callers may be sent there.
    pub ready: bool,
    /// Share of a core that the process gets, in thousandths.
    pub capacity: u32,
}

/// Requests that an instance counted; a record of the log of counters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Counted {
    /// The writer.
    pub incarnation: Incarnation,
    /// Unix time in milliseconds at which it was written.
    pub wall: u64,
    /// Requests that began to run, by usage window, since the start of the process.
    pub counts: BTreeMap<u64, Counts>,
}

/// Events of an item's text, for whoever makes it next; a record of the log of drafts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Draft {
    /// Fencing number of the lease under which they were made.
    pub fence: u64,
    /// The item.
    pub item: String,
    /// Events that were saved before under this lease; 0 starts the text anew.
    pub from: usize,
    /// Data of the events since then.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last: u64,
    /// Weight versions that made the text so far.
    pub versions: Vec<u64>,
}

/// A record of the log of payloads: what is too large for every instance to read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// The text of a result.
    Text(String),
    /// The contents of a job's items.
    Contents(Vec<Content>),
}

/// Backend servers that crashed while they ran a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The servers.
    pub lives: BTreeSet<Life>,
    /// Unix time in milliseconds of the last crash.
    pub last: u64,
    /// Unix time in milliseconds at which the record was made.
    pub made: u64,
}

/// A record of the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Renews leases.
    Renewal(Renewal),
    /// Claims a lease; it counts only if nobody renewed the lease in between.
    Claim {
        /// What the lease is about.
        subject: Subject,
        /// The claimant.
        incarnation: Incarnation,
        /// Name of its instance.
        node: String,
        /// Offset of the last claim or renewal that the claimant knows of.
        succeeds: Option<u64>,
    },
    /// Gives a lease up.
    Release {
        /// What the lease is about.
        subject: Subject,
        /// Its fencing number.
        fence: u64,
    },
    /// Fixes the figures of a usage window.
    Window {
        /// Number of the window.
        window: u64,
        /// Its figures.
        counts: Counts,
    },
    /// A window's figures were taken by the platform.
    Reported {
        /// Number of the window.
        window: u64,
    },
    /// A backend server said that it leaves.
    Leaving {
        /// Its id.
        server: String,
        /// Unix time in milliseconds at which the request was sent that it answered so.
        said: u64,
    },
    /// Backend servers crashed while they ran a request.
    Crashed(Crash),
    /// Asks for a run of a request that is refused; the first one that is due counts.
    Trial {
        /// The request.
        request: Fingerprint,
        /// Unix time in milliseconds.
        wall: u64,
    },
    /// A request under which servers crashed ran to its end.
    Forgiven {
        /// The request.
        request: Fingerprint,
        /// Unix time in milliseconds.
        wall: u64,
    },
}

/// A record of the log of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobEvent {
    /// Accepts a job.
    Job(Box<JobRecord>),
    /// Lists the result of an item.
    Listed {
        /// The job.
        job: String,
        /// The result.
        result: Listed,
    },
    /// A server answered with status 500 to an item, or to its scorer's call.
    Failed {
        /// The job.
        job: String,
        /// Id of the request: the item's, or the scorer's.
        request: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}

/// Marks a record that stands in one piece, or the last piece of one.
const LAST: u8 = 0;
/// Marks a piece that is continued by the next record.
const CONTINUED: u8 = 1;

/// Encodes a record in pieces of at most `limit` bytes, to be appended together.
///
/// # Panics
/// Never: a record has no type that CBOR cannot hold.
#[must_use]
pub fn encode<T: Serialize>(record: &T, limit: usize) -> Vec<Bytes> {
    let mut body = Vec::new();
    ciborium::into_writer(record, &mut body).expect("records encode into memory");
    let size = limit.max(2) - 1;
    let count = body.chunks(size).count();
    let piece = |(at, chunk): (usize, &[u8])| {
        let mut piece = BytesMut::with_capacity(chunk.len() + 1);
        piece.put_u8(if at + 1 == count { LAST } else { CONTINUED });
        piece.put_slice(chunk);
        piece.freeze()
    };
    body.chunks(size).enumerate().map(piece).collect()
}

/// Puts pieces together and decodes the records of one log.
#[derive(Clone, Debug)]
pub struct Decoder<T> {
    pending: Vec<u8>,
    /// Offset of the first pending piece.
    first: Option<u64>,
    record: PhantomData<T>,
}

impl<T> Default for Decoder<T> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            first: None,
            record: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Decoder<T> {
    /// Takes the pieces of a page; gives each whole record with the offset of its first piece.
    ///
    /// What does not decode is logged and passed over.
    pub fn records(&mut self, pieces: Vec<(u64, Bytes)>) -> impl Iterator<Item = (u64, T)> {
        pieces.into_iter().filter_map(|(offset, piece)| {
            let first = *self.first.get_or_insert(offset);
            let pushed = self.push(&piece);
            if !matches!(pushed, Ok(None)) {
                self.first = None;
            }
            match pushed {
                Ok(record) => record.map(|record| (first, record)),
                Err(error) => {
                    event!("record", "offset" => offset, "error" => error);
                    None
                }
            }
        })
    }

    /// Takes the next piece; gives a record when it is whole.
    ///
    /// # Errors
    /// The piece or the record does not decode; it is passed over.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<T>, String> {
        let Some((mark, chunk)) = piece.split_first() else {
            return Err("an empty record".to_owned());
        };
        self.pending.extend_from_slice(chunk);
        if *mark == CONTINUED {
            return Ok(None);
        }
        let body = std::mem::take(&mut self.pending);
        let record = ciborium::from_reader(body.as_slice());
        record.map(Some).map_err(|error| error.to_string())
    }
}
