//! Writes where callers' streams began, and reads it when a stream is taken up.
//!
//! A stream may be taken up at any instance, and after all processes have ended, so its origin is
//! in the store. Nobody follows that log: it is read up to its end for each take-up of a stream
//! that this process doesn't know.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Shared;
use super::events::event;
use super::heartbeats;
use super::interfaces::{Log, StoreError};
use super::settings::InstanceSettings;
use super::trim::Trimmer;
use crate::boot::Boot;
use crate::ledger::origins::{Origin, Origins};
use crate::ledger::pieces::Decoder;
use crate::ledger::record::StreamRecord;
use crate::ledger::writer::Writer;

/// Time after which the origin of a running stream is written again, as the store deletes old
/// records.
const REWRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Retention of the log.
const LOG_RETENTION: Duration = Duration::from_secs(60);
/// Time between two deletions of an instance.
const TRIM_INTERVAL: Duration = Duration::from_secs(20);
/// Longest time to read the log for a take-up.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// How far a partition of the log was read.
#[derive(Debug, Default)]
struct Progress {
    next: u64,
    decoder: Decoder<StreamRecord>,
    /// When the last read that reached the end was sent.
    read: Option<Boot>,
}

/// The log of streams' origins, and what this process knows of it.
#[derive(Debug)]
pub struct StreamLog {
    /// Appends to this instance's partition.
    pub writer: Writer,
    /// Known origins.
    pub origins: RefCell<Origins>,
    parts: Vec<Mutex<Progress>>,
    trimmer: RefCell<Trimmer>,
}

/// What is known of a stream that a caller takes up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// The stream began there.
    Origin(Origin),
    /// No instance recorded the stream.
    Unknown,
    /// The log can't be read now.
    Unreadable,
}

impl StreamLog {
    /// Creates the log, of which nothing has been read yet.
    #[must_use]
    pub fn new(settings: &InstanceSettings) -> Self {
        let log = Log::Streams(heartbeats::partition(settings));
        let parts = heartbeats::partitions(settings);
        Self {
            writer: Writer::new(log, settings.size_limits),
            origins: RefCell::default(),
            parts: (0..parts).map(|_| Mutex::default()).collect(),
            trimmer: RefCell::new(Trimmer::new(log, LOG_RETENTION, TRIM_INTERVAL)),
        }
    }
}

/// Keeps the origin of a running stream in the log.
#[derive(Debug)]
pub struct RecordedStream {
    shared: Rc<Shared>,
    stream: String,
    origin: Origin,
    written: Boot,
}

impl RecordedStream {
    /// Records where a stream began.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, stream: &str, origin: Origin) -> Self {
        let recorded = Self {
            shared: Rc::clone(shared),
            stream: stream.to_owned(),
            origin,
            written: Boot::now(),
        };
        recorded.write();
        recorded
    }

    /// Records the origin again if that is due.
    pub fn refresh(&mut self) {
        let now = Boot::now();
        if now >= self.written + REWRITE_INTERVAL {
            self.written = now;
            self.write();
        }
    }

    fn write(&self) {
        let shared = Rc::clone(&self.shared);
        let log = &shared.streams;
        log.origins
            .borrow_mut()
            .note(&self.stream, &self.origin, self.written);
        let written = log.writer.push(&StreamRecord {
            stream: self.stream.clone(),
            service: self.origin.service.clone(),
            software: self.origin.software.clone(),
        });
        let shared = Rc::clone(&self.shared);
        spawn_local(async move {
            // On an error the store refused the record for good, which the writer has logged.
            let Ok(ack) = written.await else {
                return;
            };
            let due = {
                let mut trimmer = shared.streams.trimmer.borrow_mut();
                let now = Boot::now();
                trimmer.note_written(now, ack.offset);
                trimmer.due(now)
            };
            if let Some(trim) = due {
                trim.run(&shared).await;
            }
        });
    }
}

/// Finds out where a stream began, from a read of the log sent later than this call if need be.
pub async fn find(shared: &Shared, stream: &str) -> Found {
    let known = || shared.streams.origins.borrow().get(stream).cloned();
    if let Some(origin) = known() {
        return Found::Origin(origin);
    }
    let asked = Boot::now();
    let reads = (0..shared.streams.parts.len()).map(|part| catch_up(shared, part, asked));
    match timeout(READ_TIMEOUT, try_join_all(reads)).await {
        Ok(Ok(_)) => known().map_or(Found::Unknown, Found::Origin),
        Ok(Err(error)) => {
            event!("streams_read_failed", "stream" => stream, "error" => error);
            Found::Unreadable
        }
        Err(_) => {
            event!("streams_read_failed", "stream" => stream, "error" => "timed out");
            Found::Unreadable
        }
    }
}

/// Reads a partition up to its end, unless it was read by a call sent since `asked`.
async fn catch_up(shared: &Shared, part: usize, asked: Boot) -> Result<(), StoreError> {
    let mut progress = shared.streams.parts[part].lock().await;
    if progress.read.is_some_and(|read| read >= asked) {
        return Ok(());
    }
    let log = Log::Streams(u32::try_from(part).unwrap_or_default());
    loop {
        let sent = Boot::now();
        let read = shared
            .store
            .read(log, progress.next, usize::MAX, Duration::ZERO);
        match read.await {
            Ok(page) => {
                let now = Boot::now();
                let mut origins = shared.streams.origins.borrow_mut();
                for (_, record) in progress.decoder.records(page.items) {
                    let origin = Origin {
                        service: record.service,
                        software: record.software,
                    };
                    origins.note(&record.stream, &origin, now);
                }
                drop(origins);
                progress.next = page.next;
                if page.next >= page.end {
                    progress.read = Some(sent);
                    return Ok(());
                }
            }
            Err(StoreError::Expired { first }) => {
                progress.decoder = Decoder::default();
                progress.next = first;
            }
            Err(StoreError::Returned) => {}
            Err(error) => return Err(error),
        }
    }
}
