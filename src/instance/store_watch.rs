//! Watches the outcomes of all calls to the store, and ends those in flight when it returns.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::events::event;
use super::interfaces::{Batch, Log, OperatorChange, Page, ServerChange, Store, StoreError};
use super::metrics::Metrics;
use super::outage::{StoreState, Urgency};
use crate::boot::Boot;

/// The state of the store, and a signal for its return.
#[derive(Debug)]
pub struct Outage {
    state: Cell<StoreState>,
    returned: Notify,
    metrics: Metrics,
}

impl Outage {
    /// Creates the state of a store that has not answered yet.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            state: Cell::default(),
            returned: Notify::new(),
            metrics,
        }
    }

    /// What is known of the store.
    #[must_use]
    pub fn state(&self) -> StoreState {
        self.state.get()
    }

    fn note_answer(&self) {
        let (mut state, now) = (self.state.get(), Boot::now());
        let ended = state.note_answer(now);
        self.state.set(state);
        if let Some(since) = ended {
            event!("store_returned", "silent_ms" => now.since(since).as_millis());
            self.metrics.count_outage("return");
            self.returned.notify_waiters();
        }
    }

    fn note_unanswered(&self) {
        let (mut state, now) = (self.state.get(), Boot::now());
        let began = state.note_unanswered(now);
        self.state.set(state);
        if let Some(since) = began {
            event!("store_silent", "silent_ms" => now.since(since).as_millis());
            self.metrics.count_outage("silence");
        }
    }

    /// Counts a read that probes the silent store.
    pub fn count_probe(&self) {
        self.metrics.count_outage("probe");
    }

    /// Pauses for `span`, or until calls of this urgency are repeated after the store's return.
    pub async fn pause(&self, span: Duration, urgency: Urgency) {
        tokio::select! {
            () = sleep(span) => {}
            () = self.until_repeat(urgency) => {}
        }
    }

    async fn until_repeat(&self, urgency: Urgency) {
        self.returned.notified().await;
        sleep(urgency.delay(rand::random())).await;
    }
}

/// Notes a call as unanswered if it is dropped before its answer.
struct OpenCall<'a> {
    outage: &'a Outage,
    is_answered: bool,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            self.outage.note_answer();
        } else {
            self.outage.note_unanswered();
        }
    }
}

/// Whether the store sent a response.
fn is_answer<T>(result: &Result<T, StoreError>) -> bool {
    match result {
        // 0 stands for no status: there was no connection.
        Err(
            StoreError::Unanswered { .. }
            | StoreError::Refused { status: 0 }
            | StoreError::Returned,
        ) => false,
        Ok(_) | Err(_) => true,
    }
}

/// How soon calls on a log are repeated.
#[must_use]
pub fn urgency(log: Log) -> Urgency {
    match log {
        Log::Ledger => Urgency::Lease,
        Log::Jobs | Log::Payloads => Urgency::Job,
        Log::Signs(_) | Log::Counters | Log::Demands | Log::Streams(_) | Log::Drafts => {
            Urgency::Background
        }
    }
}

/// How soon reads of a log are repeated.
///
/// Every process reads the ledger, so its reads are spread. Drafts are read by a new leader only,
/// which cannot start a job's items before.
#[must_use]
pub fn read_urgency(log: Log) -> Urgency {
    match log {
        Log::Ledger | Log::Drafts => Urgency::Job,
        other => urgency(other),
    }
}

/// A store whose calls end with [`StoreError::Returned`] when the store answers again after a
/// silence: calls that were sent during it may never be answered.
#[derive(Debug)]
pub struct WatchedStore {
    inner: Rc<dyn Store>,
    outage: Rc<Outage>,
}

impl WatchedStore {
    /// Watches the calls to a store.
    #[must_use]
    pub fn new(inner: Rc<dyn Store>, outage: Rc<Outage>) -> Self {
        Self { inner, outage }
    }

    async fn watch<T>(
        &self,
        urgency: Urgency,
        call: LocalBoxFuture<'_, Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let mut open = OpenCall {
            outage: &self.outage,
            is_answered: false,
        };
        let result = tokio::select! {
            biased;
            result = call => result,
            () = self.outage.until_repeat(urgency) => {
                self.outage.metrics.count_outage("repeat");
                Err(StoreError::Returned)
            }
        };
        open.is_answered = is_answer(&result);
        result
    }
}

impl Store for WatchedStore {
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(self.watch(urgency(batch.log), self.inner.append(batch)))
    }

    fn read(
        &self,
        log: Log,
        from: u64,
        bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<Bytes>, StoreError>> {
        let call = self.inner.read(log, from, bytes, wait);
        Box::pin(self.watch(read_urgency(log), call))
    }

    /// A deletion that was interrupted is not repeated here: the next one includes it.
    fn trim(&self, log: Log, before: u64) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.watch(Urgency::Background, self.inner.trim(log, before)))
    }

    fn operator(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<OperatorChange>, StoreError>> {
        Box::pin(self.watch(Urgency::Job, self.inner.operator(from, wait)))
    }

    fn servers(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<ServerChange>, StoreError>> {
        Box::pin(self.watch(Urgency::Job, self.inner.servers(from, wait)))
    }
}
