//! Payloads: contents of jobs and texts of results, in a log of their own.
//!
//! Every instance reads the ledger, so data that only a job's leader or one caller needs is kept
//! out of it. Records refer to such data by offset and size in the log of payloads.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesOrdered;
use snafu::Snafu;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

use super::Shared;
use super::events::event;
use super::interfaces::{Log, Page, STORE_BACKOFF, STORE_TIMEOUT, StoreError};
use super::outage::Urgency;
use crate::boot::Boot;
use crate::job::{Content, Extent, Part};
use crate::ledger::pieces::Decoder;
use crate::ledger::record::Payload;
use crate::ledger::writer::{Ack, Outcome, Writer};

/// Size of the payload cache, in bytes: about ten rounds of a hundred samples.
pub const CACHE_BYTES: usize = 4 << 20;
/// Memory of contents in bytes from which on they continue in a new payload.
const PART_BYTES: usize = 128 << 10;
/// Memory in bytes of the payloads of a job that are written at the same time: an append of the
/// store, unless a single one is larger.
const PARTS_BYTES: usize = 2 << 20;
/// Bytes that a read requests in addition to the payloads, for their framing.
const FRAMING_BYTES: usize = 4 << 10;

/// Unit of the memory for reads, in bytes.
const READ_UNIT: usize = 4 << 10;
/// Memory that a payload takes while it is read, as a multiple of its encoded size: its pieces,
/// these put together, and what they decode into.
const READ_FACTOR: usize = 4;

/// Number of units of memory for this many bytes, at least one.
fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(READ_UNIT).max(1)).unwrap_or(u32::MAX)
}

/// A decoded payload, cheap to clone.
#[derive(Clone, Debug)]
enum Loaded {
    Text(Rc<str>),
    Contents(Rc<[Content]>),
}

impl Loaded {
    /// Memory that the payload takes, in bytes.
    fn memory(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Contents(contents) => contents.iter().map(Content::memory).sum(),
        }
    }
}

impl From<Payload> for Loaded {
    fn from(payload: Payload) -> Self {
        match payload {
            Payload::Text(text) => Self::Text(text.into()),
            Payload::Contents(contents) => Self::Contents(contents.into()),
        }
    }
}

/// Cache of recently written or read payloads, by offset.
#[derive(Debug, Default)]
struct Cache {
    payloads: HashMap<u64, Loaded>,
    /// Offsets and decoded sizes in order of insertion.
    order: VecDeque<(u64, usize)>,
    bytes: usize,
}

impl Cache {
    fn get(&self, extent: Extent) -> Option<&Loaded> {
        self.payloads.get(&extent.offset)
    }

    /// Adds a payload and evicts the oldest ones beyond the size limit, but never this one.
    fn insert(&mut self, extent: Extent, loaded: Loaded) {
        let bytes = loaded.memory();
        if self.payloads.insert(extent.offset, loaded).is_some() {
            return;
        }
        self.order.push_back((extent.offset, bytes));
        self.bytes += bytes;
        while self.bytes > CACHE_BYTES
            && self.order.len() > 1
            && let Some((offset, bytes)) = self.order.pop_front()
        {
            self.payloads.remove(&offset);
            self.bytes -= bytes;
        }
    }
}

/// Writes payloads, and caches those written or read recently.
#[derive(Debug)]
pub struct Payloads {
    /// Appends to the log of payloads.
    pub writer: Writer,
    cache: RefCell<Cache>,
    /// Offsets of payloads that are being read in the background.
    in_flight: RefCell<HashSet<u64>>,
    /// Memory for payloads that are being read, in units of [`READ_UNIT`].
    reads: Semaphore,
    read_units: u32,
}

impl Payloads {
    /// Creates an empty cache over a writer to the log of payloads.
    ///
    /// Payloads that are read at the same time take `memory` bytes, unless a single one is larger.
    #[must_use]
    pub fn new(writer: Writer, memory: usize) -> Self {
        let read_units = units(memory);
        Self {
            writer,
            cache: RefCell::default(),
            in_flight: RefCell::default(),
            reads: Semaphore::new(usize::try_from(read_units).unwrap_or(Semaphore::MAX_PERMITS)),
            read_units,
        }
    }

    /// Waits until there is memory to read payloads of this encoded size.
    async fn admit_read(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        let needed = units(bytes.saturating_mul(READ_FACTOR)).min(self.read_units);
        // The semaphore is never closed.
        self.reads.acquire_many(needed).await.ok()
    }

    /// Writes a text, without a timeout; returns none if the store refuses it for good.
    pub async fn write_text(&self, text: String) -> Option<Extent> {
        let payload = Payload::Text(text);
        let ack = self.writer.push(&payload).await.ok()?;
        Some(self.insert(ack, payload))
    }

    /// Writes the contents of a job's items in parts, a few at a time.
    ///
    /// `contents` decodes each content when it is about to be written.
    ///
    /// # Errors
    /// The first content that could not be decoded, or the outcome of the first part that was not
    /// written by `deadline`.
    pub async fn write_contents(
        &self,
        contents: impl Iterator<Item = Result<Content, String>>,
        deadline: Boot,
    ) -> Result<Vec<Part>, WriteContentsError> {
        let mut parts = Vec::new();
        let mut writes = FuturesOrdered::new();
        let mut in_flight = 0;
        let mut contents = Parts::new(contents);
        loop {
            while in_flight < PARTS_BYTES
                && let Some((first, part)) = contents.next().transpose()?
            {
                let bytes: usize = part.iter().map(Content::memory).sum();
                in_flight += bytes;
                let write = self.write_part(first, part, deadline);
                writes.push_back(async move { (bytes, write.await) });
            }
            match writes.next().await {
                Some((bytes, written)) => {
                    in_flight -= bytes;
                    parts.push(written?);
                }
                None => return Ok(parts),
            }
        }
    }

    async fn write_part(
        &self,
        first: usize,
        contents: Vec<Content>,
        deadline: Boot,
    ) -> Result<Part, WriteContentsError> {
        let payload = Payload::Contents(contents);
        match self.writer.write(&payload, deadline).await {
            Outcome::Written(ack) => Ok(Part {
                first,
                extent: self.insert(ack, payload),
            }),
            outcome @ (Outcome::Unsent | Outcome::Rejected | Outcome::Unknown) => {
                NotWrittenSnafu { outcome }.fail()
            }
        }
    }

    fn insert(&self, ack: Ack, payload: Payload) -> Extent {
        let extent = Extent {
            offset: ack.offset,
            bytes: ack.bytes,
        };
        let loaded = Loaded::from(payload);
        // A larger one would stay in memory until the next payload, though no reader may need it.
        if loaded.memory() <= CACHE_BYTES {
            self.cache.borrow_mut().insert(extent, loaded);
        }
        extent
    }

    /// The contents at an extent, if cached.
    #[must_use]
    pub fn contents(&self, extent: Extent) -> Option<Rc<[Content]>> {
        match self.cache.borrow().get(extent)? {
            Loaded::Contents(contents) => Some(Rc::clone(contents)),
            Loaded::Text(_) => None,
        }
    }

    /// The text at an extent, if cached.
    #[must_use]
    pub fn text(&self, extent: Extent) -> Option<Rc<str>> {
        match self.cache.borrow().get(extent)? {
            Loaded::Text(text) => Some(Rc::clone(text)),
            Loaded::Contents(_) => None,
        }
    }
}

/// Why the contents of a job were not written.
#[derive(Debug, Snafu)]
pub enum WriteContentsError {
    /// A content could not be decoded.
    #[snafu(display("{detail}"))]
    Malformed {
        /// What is wrong with the content.
        detail: String,
    },
    /// A part was not written.
    #[snafu(display("{outcome:?}"))]
    NotWritten {
        /// What is known of its append.
        outcome: Outcome,
    },
}

/// Splits contents into payloads of bounded size, each with the position of its first content.
struct Parts<I> {
    contents: I,
    next: usize,
}

impl<I> Parts<I> {
    fn new(contents: I) -> Self {
        Self { contents, next: 0 }
    }
}

impl<I: Iterator<Item = Result<Content, String>>> Iterator for Parts<I> {
    type Item = Result<(usize, Vec<Content>), WriteContentsError>;

    fn next(&mut self) -> Option<Self::Item> {
        let first = self.next;
        let mut part = Vec::new();
        let mut bytes = 0;
        while bytes < PART_BYTES
            && let Some(content) = self.contents.next()
        {
            let content = match content {
                Ok(content) => content,
                Err(detail) => return Some(MalformedSnafu { detail }.fail()),
            };
            bytes += content.memory();
            part.push(content);
        }
        self.next += part.len();
        (!part.is_empty()).then_some(Ok((first, part)))
    }
}

/// Reads the payloads that are not cached; returns whether all were found.
///
/// Payloads that were written at about the same time arrive with one read.
pub async fn fetch(shared: &Shared, extents: &[Extent]) -> bool {
    let payloads = &shared.payloads;
    let missing = || -> Vec<Extent> {
        let cache = payloads.cache.borrow();
        let mut missing: Vec<Extent> = extents.to_vec();
        missing.retain(|extent| cache.get(*extent).is_none());
        missing.sort_by_key(|extent| extent.offset);
        missing
    };
    loop {
        let wanted = missing();
        let Some(first) = wanted.first() else {
            return true;
        };
        let bytes = wanted.iter().map(|extent| extent.bytes).sum::<usize>() + FRAMING_BYTES;
        let _admitted = payloads.admit_read(bytes).await;
        let Some(read) = read(shared, first.offset, bytes).await else {
            return false;
        };
        let mut cache = payloads.cache.borrow_mut();
        for extent in &wanted {
            if let Some(payload) = read.get(&extent.offset) {
                cache.insert(*extent, payload.clone());
            }
        }
        if cache.get(*first).is_none() {
            event!("payload_missing", "offset" => first.offset, "bytes" => first.bytes);
            return false;
        }
    }
}

/// Reads a payload in the background, unless a read is in flight, then notifies `state_changed`.
pub fn fetch_background(shared: &Rc<Shared>, extent: Extent) {
    if !shared.payloads.in_flight.borrow_mut().insert(extent.offset) {
        return;
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        if !fetch(&shared, &[extent]).await {
            shared.outage.pause(STORE_BACKOFF, Urgency::Job).await;
        }
        shared
            .payloads
            .in_flight
            .borrow_mut()
            .remove(&extent.offset);
        shared.state_changed.notify_waiters();
    });
}

/// Reads from an offset on until the payload that begins there is complete.
async fn read(shared: &Shared, from: u64, bytes: usize) -> Option<BTreeMap<u64, Loaded>> {
    let mut decoder = Decoder::<Payload>::default();
    let mut found = BTreeMap::new();
    let mut next = from;
    loop {
        let page = page(shared, next, bytes).await?;
        let is_last = page.items.is_empty() || page.next >= page.end;
        let records = decoder.records(page.items);
        found.extend(records.map(|(offset, payload)| (offset, Loaded::from(payload))));
        next = page.next;
        if is_last || found.contains_key(&from) {
            return Some(found);
        }
    }
}

async fn page(shared: &Shared, from: u64, bytes: usize) -> Option<Page<Bytes>> {
    loop {
        let call = shared
            .store
            .read(Log::Payloads, from, bytes, Duration::ZERO);
        match timeout(STORE_TIMEOUT, call).await {
            Ok(Ok(page)) => return Some(page),
            Ok(Err(StoreError::Returned)) => {}
            Ok(Err(error)) => {
                event!("payload_failed", "offset" => from, "error" => error);
                return None;
            }
            Err(_) => {
                event!("payload_unanswered", "offset" => from);
                return None;
            }
        }
    }
}
