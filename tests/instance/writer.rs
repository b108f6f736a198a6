//! Tests of the log writer against a store that refuses appends or loses answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use basillead::boot::Boot;
use basillead::instance::interfaces::{
    Batch, Log, OperatorChange, Page, ServerChange, Store, StoreError,
};
use basillead::ledger::record::{Decoder, Incarnation, JobEvent};
use basillead::ledger::writer::{Outcome, Writer};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::task::LocalSet;

/// How the store fails the next appends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Refuses,
    LosesAnswer,
}

#[derive(Debug, Default)]
struct FakeStore {
    records: RefCell<Vec<Bytes>>,
    /// Last sequence number of each writer.
    last: RefCell<HashMap<String, u64>>,
    fault: Cell<Option<Fault>>,
}

impl Store for FakeStore {
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let fault = self.fault.get().unwrap_or(Fault::None);
            if fault == Fault::Refuses {
                return Err(StoreError::Refused { status: 503 });
            }
            let mut last = self.last.borrow_mut();
            let last = last.entry(batch.writer.clone()).or_default();
            if batch.sequence > *last {
                assert_eq!(batch.sequence, *last + 1, "a sequence number was skipped");
                *last = batch.sequence;
                self.records
                    .borrow_mut()
                    .extend(batch.records.iter().cloned());
            }
            match fault {
                Fault::LosesAnswer => Err(StoreError::Unanswered {
                    detail: "lost".to_owned(),
                }),
                _ => Ok(0),
            }
        })
    }

    fn read(
        &self,
        _: Log,
        _: u64,
        _: usize,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<Bytes>, StoreError>> {
        unimplemented!("the writer does not read")
    }

    fn trim(&self, _: Log, _: u64) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        unimplemented!("the writer deletes nothing")
    }

    fn operator(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<OperatorChange>, StoreError>> {
        unimplemented!("the writer does not read")
    }

    fn servers(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<ServerChange>, StoreError>> {
        unimplemented!("the writer does not read")
    }
}

impl FakeStore {
    fn jobs(&self) -> Vec<String> {
        let mut decoder = Decoder::default();
        let records = self.records.borrow();
        let whole = records
            .iter()
            .filter_map(|piece| decoder.push(piece).expect("a record"));
        let ended = whole.filter_map(|record| match record {
            JobEvent::End { job } => Some(job),
            _ => None,
        });
        ended.collect()
    }
}

fn end(job: &str) -> JobEvent {
    JobEvent::End {
        job: job.to_owned(),
    }
}

fn soon(ms: u64) -> Boot {
    Boot::now() + Duration::from_millis(ms)
}

/// Runs a test with a writer that appends to a fake store.
fn with_writer<Fut: Future<Output = ()>>(test: impl FnOnce(Rc<FakeStore>, Writer) -> Fut) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let store = Rc::new(FakeStore::default());
        let writer = Writer::new(Log::Jobs, 1000);
        let shared: Rc<dyn Store> = Rc::clone(&store) as Rc<dyn Store>;
        let incarnation = Incarnation("w".to_owned());
        tokio::task::spawn_local(writer.clone().run(shared, incarnation, 4000));
        test(store, writer).await;
    });
}

#[test]
fn writer_lost_answers() {
    with_writer(|store, writer| async move {
        store.fault.set(Some(Fault::LosesAnswer));
        let waiting = writer.push(&end("a"));
        tokio::time::sleep(Duration::from_millis(400)).await;
        store.fault.set(None);
        assert!(waiting.await.is_ok());
        assert!(matches!(
            writer.write(&end("b"), soon(500)).await,
            Outcome::Written(_)
        ));
        assert_eq!(
            store.jobs(),
            ["a", "b"],
            "each record is written once, in order"
        );
    });
}

#[test]
fn writer_gives_up_its_own_record_only() {
    with_writer(|store, writer| async move {
        store.fault.set(Some(Fault::Refuses));
        // The append of this record is already in flight, so its outcome is unknown.
        let in_flight = writer.write(&end("a"), soon(100)).await;
        assert_eq!(in_flight, Outcome::Unknown);
        drop(writer.push(&end("b")));
        let unsent = writer.write(&end("c"), soon(100)).await;
        assert_eq!(unsent, Outcome::Unsent);
        store.fault.set(None);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(
            store.jobs(),
            ["a", "b"],
            "a record is written even if no caller waits for it"
        );
        assert!(writer.is_idle());
    });
}
