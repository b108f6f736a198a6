//! Follows the streams of the store by long polls.

use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::edge::{
    Life, Log, OperatorNews, Page, STORE_ANSWER, ServerNews, ServerState, StoreError,
};
use super::events::event;
use super::leases::{is_standby, leads_service};
use super::retry::Retry;
use super::trim::Trimmer;
use super::{leases, signs};
use crate::boot::Boot;
use crate::ledger::record::{Counted, Decoder, JobEvent, Record, Sign, Subject};
use crate::relay::crash;

/// Time for which the store holds a read until there is something new.
///
/// Half a second bounds the age of what an instance knows, at two calls a second.
const HOLD: Duration = Duration::from_millis(500);
/// Pause between two reads of a log that this instance acts on, so that records gather.
const LEADER_PACE: Duration = Duration::from_millis(40);
/// Pause between two reads of the ledger where this instance neither holds nor awaits a lease.
const LEDGER_PACE: Duration = Duration::from_millis(300);
/// Time between two looks at whether a log that is read on demand is to be followed.
const DEMAND_LOOK: Duration = Duration::from_millis(200);
/// Time for which signs of life are kept: what a process that starts reads of them.
const SIGNS_KEPT: Duration = Duration::from_secs(6);
/// Time for which counters are kept: longer than a usage window takes to be fixed.
const COUNTERS_KEPT: Duration = Duration::from_secs(20);
/// Time between two deletions of old records of a log.
const TRIM_PACE: Duration = Duration::from_secs(4);
/// Pause between two reads of the signs of life, which come all the time.
const SIGNS_PACE: Duration = Duration::from_millis(400);
/// Pause between two reads of the registry, whose entries change about every second.
const SERVERS_PACE: Duration = Duration::from_millis(250);

/// Says once that a stream was lost or regained.
struct Watch {
    stream: &'static str,
    lost: bool,
}

impl Watch {
    fn new(stream: &'static str) -> Self {
        Self {
            stream,
            lost: false,
        }
    }

    fn failed(&mut self, error: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.lost, true) {
            event!("store_lost", "stream" => self.stream, "error" => error);
        }
    }

    fn answered(&mut self) {
        if std::mem::take(&mut self.lost) {
            event!("store_regained", "stream" => self.stream);
        }
    }
}

/// Waits for a read; a read without an answer is an error like any other.
async fn read<T>(
    call: impl Future<Output = Result<Page<T>, StoreError>>,
) -> Result<Page<T>, StoreError> {
    let unanswered = || StoreError::Unanswered {
        detail: "time is up".to_owned(),
    };
    timeout(HOLD + STORE_ANSWER, call)
        .await
        .unwrap_or_else(|_| Err(unanswered()))
}

/// Follows what operators and trainers write.
pub async fn operator(shared: Rc<Shared>) {
    let mut watch = Watch::new("operator");
    let mut next = None;
    let mut retry = Retry::default();
    loop {
        let sent = Boot::now();
        match read(shared.store.operator(next, HOLD)).await {
            Ok(page) => {
                watch.answered();
                retry.answered();
                if page.snapshot {
                    keep_evacuated(&shared, &page);
                }
                for (_, news) in page.items {
                    take_operator(&shared, news);
                }
                next = Some(page.next);
                if page.next >= page.end {
                    shared
                        .contacts
                        .borrow_mut()
                        .operator
                        .note(sent, Boot::now());
                }
            }
            Err(error) => {
                watch.failed(&error);
                if matches!(error, StoreError::Expired { .. }) {
                    next = None;
                }
                sleep(retry.failed(&error, rand::random())).await;
            }
        }
    }
}

/// Forgets evacuations that a snapshot does not show any more.
fn keep_evacuated(shared: &Shared, page: &Page<OperatorNews>) {
    let stands = |zone: &str| {
        page.items.iter().any(|(_, news)| {
            matches!(news, OperatorNews::Evacuation { zone: known, on: true } if known == zone)
        })
    };
    shared.fleet.borrow_mut().keep_evacuated(stands);
}

fn take_operator(shared: &Shared, news: OperatorNews) {
    match news {
        OperatorNews::Evacuation { zone, on } => {
            if shared.fleet.borrow_mut().evacuate(&zone, on) {
                event!("evacuation", "zone" => zone, "on" => on);
                shared.changed.notify_waiters();
            }
        }
        OperatorNews::Deployment(deployment) => {
            let known = shared.deployment().map_or(0, |known| known.version);
            if shared.deployment().is_none() || deployment.version > known {
                event!("configuration", "version" => deployment.version, "before" => known,
                    "routes" => deployment.routes.len());
                *shared.deployment.borrow_mut() = Some(Rc::new(*deployment));
                shared.changed.notify_waiters();
            }
        }
        OperatorNews::Weights { model, version } => {
            let mut named = shared.named.borrow_mut();
            let known = named.entry(model.clone()).or_default();
            if version > *known {
                event!("weights_named", "model" => model, "version" => version);
                *known = version;
                drop(named);
                shared.changed.notify_waiters();
            }
        }
        OperatorNews::Unreadable(reason) => event!("operator_unreadable", "reason" => reason),
    }
}

/// Follows the registry of backend servers.
pub async fn servers(shared: Rc<Shared>) {
    let mut watch = Watch::new("servers");
    let mut next = None;
    let mut retry = Retry::default();
    loop {
        let sent = Boot::now();
        match read(shared.store.servers(next, HOLD)).await {
            Ok(page) => {
                watch.answered();
                retry.answered();
                next = Some(page.next);
                let now = Boot::now();
                if page.next >= page.end {
                    shared.contacts.borrow_mut().servers.note(sent, now);
                }
                take_servers(&shared, page, now);
                sleep(SERVERS_PACE).await;
            }
            Err(error) => {
                watch.failed(&error);
                if matches!(error, StoreError::Expired { .. }) {
                    next = None;
                }
                sleep(retry.failed(&error, rand::random())).await;
            }
        }
    }
}

fn take_servers(shared: &Shared, page: Page<ServerNews>, now: Boot) {
    let contact = shared.contacts.borrow().servers;
    let mut fleet = shared.fleet.borrow_mut();
    if page.snapshot {
        let ids: Vec<String> = page.items.iter().map(|(_, news)| news.id.clone()).collect();
        fleet.keep(&ids, &contact, now);
    }
    for (_, news) in page.items {
        let before = fleet.get(&news.id).map(|known| (known.state, known.born));
        let after = news.entry.as_ref().map(|entry| (entry.state, entry.born));
        if before != after {
            let text = |state| format!("{state:?}");
            event!("server", "server" => news.id, "before" => text(before), "after" => text(after));
        }
        if let Some(entry) = news.entry.as_ref()
            && entry.state == ServerState::Draining
        {
            shared.silences.forget(&entry.life());
        }
        fleet.apply(news, &contact, now);
    }
    fleet.prune(now);
    let is_over = |life: &Life| {
        fleet
            .get(&life.id)
            .is_none_or(|known| known.born != life.born)
    };
    let is_heard = |life: &Life, sent| shared.load.is_heard(life, sent);
    for (request, life) in shared.silences.ended(now, is_over, is_heard) {
        crash::crashed(shared, &request, &life);
    }
    shared
        .pool
        .retain(|id, born| fleet.get(id).is_some_and(|known| known.born == born));
    shared.load.retain(|id| fleet.get(id).is_some());
    drop(fleet);
    shared.changed.notify_waiters();
}

/// A page of a log that was read and applied.
struct Applied {
    /// When the read was sent, and when its answer came.
    sent: Boot,
    received: Boot,
    /// Records before they are put together, and their bytes.
    pieces: usize,
    bytes: usize,
    /// Offset of the next record.
    next: u64,
    /// Whether the log had no more.
    is_last: bool,
}

/// Follows a log for ever: before each read `wanted` is waited for, `apply` takes a record,
/// and `done` is told of each page and gives the pause after it.
async fn follow<T: DeserializeOwned>(
    shared: &Shared,
    log: Log,
    stream: &'static str,
    wanted: impl AsyncFn(),
    mut apply: impl FnMut(T, u64, Boot),
    mut done: impl FnMut(&Applied) -> Duration,
) {
    let mut watch = Watch::new(stream);
    let mut decoder = Decoder::default();
    let mut next = 0;
    let mut retry = Retry::default();
    loop {
        wanted().await;
        let sent = Boot::now();
        match read(shared.store.read(log, next, retry.bytes(), HOLD)).await {
            Ok(page) => {
                watch.answered();
                retry.answered();
                let received = Boot::now();
                let pieces = page.items.len();
                let bytes = page.items.iter().map(|(_, piece)| piece.len()).sum();
                for (offset, record) in decoder.records(page.items) {
                    apply(record, offset, received);
                }
                next = page.next;
                let pause = done(&Applied {
                    sent,
                    received,
                    pieces,
                    bytes,
                    next,
                    is_last: page.next >= page.end,
                });
                if !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            Err(StoreError::Expired { first }) => {
                event!("records_expired", "stream" => stream, "from" => next, "first" => first);
                decoder = Decoder::default();
                next = first;
            }
            Err(error) => {
                watch.failed(&error);
                sleep(retry.failed(&error, rand::random())).await;
            }
        }
    }
}

/// What a process that starts has read of a log.
#[derive(Default)]
struct Start {
    pages: usize,
    records: usize,
    bytes: usize,
}

impl Start {
    fn add(&mut self, page: &Applied) {
        self.pages += 1;
        self.records += page.pieces;
        self.bytes += page.bytes;
    }
}

/// Follows the ledger.
pub async fn ledger(shared: Rc<Shared>) {
    let started = Boot::now();
    let mut start = Some(Start::default());
    let apply = |record: Record, offset, received| {
        if let Record::Leaving { server, said } = &record
            && shared
                .fleet
                .borrow_mut()
                .note_leaving(server, *said, received)
        {
            event!("server_leaving", "server" => server, "said" => said, "offset" => offset);
        }
        shared.fold.borrow_mut().apply(record, offset, received);
    };
    let done = |page: &Applied| {
        if let Some(start) = &mut start {
            start.add(page);
        }
        if page.is_last {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.ledger.note(page.sent, page.received);
            if let Some(start) = start.take() {
                let took = page.received.since(started).as_millis();
                event!("ledger_read", "pages" => start.pages, "records" => start.records,
                    "bytes" => start.bytes, "took_ms" => took);
            }
        }
        shared.changed.notify_waiters();
        // A process that starts reads on until it has caught up.
        match page.is_last && page.pieces > 0 {
            true if leases::watches(&shared) => LEADER_PACE,
            true => LEDGER_PACE,
            false => Duration::ZERO,
        }
    };
    follow(&shared, Log::Ledger, "ledger", async || {}, apply, done).await;
}

/// Follows the log of jobs while this instance leads a service, would be the next to lead
/// one, or is asked about a job.
pub async fn jobs(shared: Rc<Shared>) {
    let interest = &shared.jobs_interest;
    let wanted = async || {
        while !interest.is_asked() && !leads_service(&shared) && !is_standby(&shared) {
            interest.set_current(false);
            // It is looked at again either way.
            let _ = timeout(DEMAND_LOOK, interest.asked()).await;
        }
    };
    let apply = |event: JobEvent, _, _| shared.fold.borrow_mut().apply_job(event);
    let mut behind: Option<Start> = None;
    let done = |page: &Applied| {
        if page.is_last {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.jobs.note(page.sent, page.received);
            interest.set_current(true);
            if let Some(mut start) = behind.take() {
                start.add(page);
                event!("jobs_read", "pages" => start.pages, "records" => start.records,
                    "bytes" => start.bytes);
            }
        } else {
            behind.get_or_insert_default().add(page);
        }
        shared.changed.notify_waiters();
        if page.is_last && page.pieces > 0 {
            LEADER_PACE
        } else {
            Duration::ZERO
        }
    };
    follow(&shared, Log::Jobs, "jobs", wanted, apply, done).await;
}

/// Follows the signs of life of the instances in this one's partition.
pub async fn signs(shared: Rc<Shared>) {
    let own = signs::partition(&shared.settings);
    let log = Log::Signs(own);
    let mut trimmer = Trimmer::new(log, SIGNS_KEPT, TRIM_PACE);
    let done = |page: &Applied| {
        if !page.is_last {
            return Duration::ZERO;
        }
        let contact = {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.signs.note(page.sent, page.received);
            contacts.signs
        };
        let members = shared.members.borrow();
        let mut alive = members
            .alive(page.sent, contact.since, leases::SILENCE)
            .filter(|(_, member)| member.part == own);
        let is_first = alive
            .next()
            .is_some_and(|(name, _)| *name == shared.settings.name);
        trim(&shared, &mut trimmer, page, is_first);
        SIGNS_PACE
    };
    let apply = |sign: Sign, _, received| shared.members.borrow_mut().apply(sign, own, received);
    follow(&shared, log, "signs", async || {}, apply, done).await;
}

/// Follows the signs of life in another partition while few instances of the own one are ready.
pub async fn other_signs(shared: Rc<Shared>, part: u32) {
    let wanted = async || {
        while !signs::follows_others(shared.ready_near()) {
            sleep(DEMAND_LOOK).await;
        }
    };
    let apply = |sign: Sign, _, received| shared.members.borrow_mut().apply(sign, part, received);
    let done = |page: &Applied| {
        if page.is_last {
            SIGNS_PACE
        } else {
            Duration::ZERO
        }
    };
    let log = Log::Signs(part);
    follow(&shared, log, "other signs", wanted, apply, done).await;
}

/// Follows the log of counters while this instance reports usage.
pub async fn counters(shared: Rc<Shared>) {
    let wanted = async || {
        while !shared.leads(&Subject::Usage) {
            sleep(DEMAND_LOOK).await;
        }
    };
    let mut trimmer = Trimmer::new(Log::Counters, COUNTERS_KEPT, TRIM_PACE);
    let apply = |counted: Counted, _, received| {
        shared.counters.borrow_mut().apply(counted, received);
    };
    let done = |page: &Applied| {
        if !page.is_last {
            return Duration::ZERO;
        }
        let mut contacts = shared.contacts.borrow_mut();
        contacts.counters.note(page.sent, page.received);
        trim(&shared, &mut trimmer, page, true);
        SIGNS_PACE
    };
    follow(&shared, Log::Counters, "counters", wanted, apply, done).await;
}

/// Notes how far a log was read, and deletes what is old if that is up to this instance.
fn trim(shared: &Rc<Shared>, trimmer: &mut Trimmer, page: &Applied, is_own: bool) {
    trimmer.note(page.received, page.next);
    if let Some(trim) = trimmer.due(page.received).filter(|_| is_own) {
        let shared = Rc::clone(shared);
        spawn_local(async move { trim.run(&shared).await });
    }
}
