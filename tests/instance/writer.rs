//! The writer against a store that refuses, loses answers and takes appends late.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use basillead::boot::Boot;
use basillead::instance::edge::{Batch, Log, OperatorNews, Page, ServerNews, Store, StoreError};
use basillead::ledger::record::{Decoder, Incarnation, JobEvent};
use basillead::ledger::writer::{Outcome, Writer};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::task::LocalSet;

/// What the store does with the next appends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Well,
    Refuses,
    LosesAnswer,
}

#[derive(Debug, Default)]
struct FakeStore {
    records: RefCell<Vec<Bytes>>,
    last: RefCell<HashMap<String, u64>>,
    mood: Cell<Option<Mood>>,
}

impl Store for FakeStore {
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let mood = self.mood.get().unwrap_or(Mood::Well);
            if mood == Mood::Refuses {
                return Err(StoreError::Refused { status: 503 });
            }
            let mut last = self.last.borrow_mut();
            let last = last.entry(batch.writer.clone()).or_default();
            if batch.sequence > *last {
                assert_eq!(batch.sequence, *last + 1, "a batch was left out");
                *last = batch.sequence;
                self.records
                    .borrow_mut()
                    .extend(batch.records.iter().cloned());
            }
            match mood {
                Mood::LosesAnswer => Err(StoreError::Unanswered {
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
    ) -> LocalBoxFuture<'_, Result<Page<OperatorNews>, StoreError>> {
        unimplemented!("the writer does not read")
    }

    fn servers(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<Page<ServerNews>, StoreError>> {
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

fn play<Fut: Future<Output = ()>>(test: impl FnOnce(Rc<FakeStore>, Writer) -> Fut) {
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
    play(|store, writer| async move {
        store.mood.set(Some(Mood::LosesAnswer));
        let waiting = writer.push(&end("a"));
        tokio::time::sleep(Duration::from_millis(400)).await;
        store.mood.set(None);
        assert!(waiting.await.is_ok());
        assert!(matches!(
            writer.write(&end("b"), soon(500)).await,
            Outcome::Written(_)
        ));
        assert_eq!(store.jobs(), ["a", "b"], "each once, in order");
    });
}

#[test]
fn writer_gives_up_its_own_record_only() {
    play(|store, writer| async move {
        store.mood.set(Some(Mood::Refuses));
        // Under way already; its outcome cannot be known.
        let under_way = writer.write(&end("a"), soon(100)).await;
        assert_eq!(under_way, Outcome::Unknown);
        drop(writer.push(&end("b")));
        let unsent = writer.write(&end("c"), soon(100)).await;
        assert_eq!(unsent, Outcome::Unsent);
        store.mood.set(None);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(
            store.jobs(),
            ["a", "b"],
            "what nobody waits for is written all the same"
        );
        assert!(writer.is_idle());
    });
}
