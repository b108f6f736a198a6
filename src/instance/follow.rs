//! Follows the streams of the store with long polls, and applies what they bring.

use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::backoff::ReadBackoff;
use super::events::event;
use super::interfaces::{
    Log, OperatorChange, Page, STORE_TIMEOUT, ServerChange, ServerProcess, ServerState, StoreError,
};
use super::leases::{is_standby, leads_service};
use super::outage::{self, Urgency};
use super::store_watch::read_urgency;
use super::trim::Trimmer;
use super::{heartbeats, leases};
use crate::boot::Boot;
use crate::ledger::pieces::Decoder;
use crate::ledger::record::{CounterRecord, DemandRecord, Heartbeat, JobEvent, Record, Subject};
use crate::relay::crash;

/// Time for which the store holds a long poll that has nothing new to return.
///
/// The wait bounds the age of what an instance knows to half a second, at two calls per second.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Pause between two reads of a log that this instance acts on, so that a read brings several
/// records.
const LEADER_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two reads of the ledger while this instance neither holds a lease nor is next in
/// line to claim one.
const LEDGER_PAUSE: Duration = Duration::from_millis(300);
/// Poll interval for whether a log that is read on demand is needed.
const DEMAND_POLL: Duration = Duration::from_millis(200);
/// Retention of heartbeats; a starting process reads all of them.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(6);
/// Retention of counters: longer than it takes until a usage window is final.
const COUNTERS_RETENTION: Duration = Duration::from_secs(20);
/// Retention of demands: longer than any of them is valid.
const DEMAND_RETENTION: Duration = Duration::from_secs(15);
/// Pause between two reads of demands: with the wait of a long poll, reads stay more recent than
/// those on which an instance may act.
const DEMAND_PAUSE: Duration = Duration::from_millis(150);
/// Time between two deletions of a log's old records.
const TRIM_INTERVAL: Duration = Duration::from_secs(4);
/// Pause between two reads of heartbeats or counters, which arrive continuously.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of the registry, whose entries change about once a second.
const SERVERS_PAUSE: Duration = Duration::from_millis(250);

/// Logs once per outage that contact with a stream was lost, and once that it was regained.
struct OutageLog {
    stream: &'static str,
    lost: bool,
}

impl OutageLog {
    fn new(stream: &'static str) -> Self {
        Self {
            stream,
            lost: false,
        }
    }

    fn failed(&mut self, error: &StoreError) {
        // The read was in flight when the store returned; its own stream had not failed.
        if matches!(error, StoreError::Returned) {
            return;
        }
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

fn unanswered() -> StoreError {
    StoreError::Unanswered {
        detail: "timed out".to_owned(),
    }
}

/// Waits for a read that the store may hold for `wait`, and turns a missing answer into an error.
async fn read<T>(
    wait: Duration,
    call: impl Future<Output = Result<Page<T>, StoreError>>,
) -> Result<Page<T>, StoreError> {
    timeout(wait + STORE_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(unanswered()))
}

/// Follows the changes that operators and trainers write.
pub async fn operator(shared: Rc<Shared>) {
    let mut outage = OutageLog::new("operator");
    let mut next = None;
    let mut backoff = ReadBackoff::default();
    loop {
        let sent = Boot::now();
        let probes = next.is_some() && shared.outage.state().is_silent();
        let result = if probes {
            probe(&shared, next).await
        } else {
            read(POLL_WAIT, shared.store.operator(next, POLL_WAIT)).await
        };
        match result {
            Ok(page) => {
                outage.answered();
                backoff.answered();
                if page.snapshot {
                    retain_evacuated(&shared, &page);
                }
                for (_, change) in page.items {
                    apply_operator(&shared, change);
                }
                next = Some(page.next);
                if page.next >= page.end {
                    shared
                        .contacts
                        .borrow_mut()
                        .operator
                        .record_read(sent, Boot::now());
                }
            }
            Err(error) => {
                outage.failed(&error);
                if matches!(error, StoreError::Expired { .. }) {
                    next = None;
                }
                let pause = match backoff.failed(&error, rand::random()) {
                    Duration::ZERO => Duration::ZERO,
                    _ if probes => outage::probe_pause(sent, Boot::now()),
                    pause => pause,
                };
                shared.outage.pause(pause, Urgency::Job).await;
            }
        }
    }
}

/// Reads operators' changes to learn whether the silent store answers again.
///
/// These reads are small, and the first to be needed: they confirm the keys.
async fn probe(shared: &Shared, next: Option<u64>) -> Result<Page<OperatorChange>, StoreError> {
    shared.outage.count_probe();
    let call = shared.store.operator(next, Duration::ZERO);
    timeout(outage::PROBE_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(unanswered()))
}

/// Ends evacuations that are not in a snapshot.
fn retain_evacuated(shared: &Shared, page: &Page<OperatorChange>) {
    let is_evacuated = |zone: &str| {
        page.items.iter().any(|(_, change)| {
            matches!(change, OperatorChange::Evacuation { zone: known, on: true } if known == zone)
        })
    };
    shared.fleet.borrow_mut().retain_evacuated(is_evacuated);
}

fn apply_operator(shared: &Shared, change: OperatorChange) {
    match change {
        OperatorChange::Evacuation { zone, on } => {
            if shared.fleet.borrow_mut().set_evacuated(&zone, on) {
                event!("evacuation", "zone" => zone, "on" => on);
                shared.state_changed.notify_waiters();
            }
        }
        OperatorChange::Deployment(deployment) => {
            let known = shared.deployment().map_or(0, |known| known.version);
            if shared.deployment().is_none() || deployment.version > known {
                event!("configuration", "version" => deployment.version, "before" => known,
                    "routes" => deployment.routes.len());
                *shared.deployment.borrow_mut() = Some(Rc::new(*deployment));
                shared.state_changed.notify_waiters();
            }
        }
        OperatorChange::Weights { model, version } => {
            let mut requested = shared.requested_versions.borrow_mut();
            let known = requested.entry(model.clone()).or_default();
            if version > *known {
                event!("weights_named", "model" => model, "version" => version);
                *known = version;
                drop(requested);
                shared.state_changed.notify_waiters();
            }
        }
        OperatorChange::Unreadable(reason) => event!("operator_unreadable", "reason" => reason),
    }
}

/// Follows the registry of backend servers.
pub async fn servers(shared: Rc<Shared>) {
    let mut outage = OutageLog::new("servers");
    let mut next = None;
    let mut backoff = ReadBackoff::default();
    loop {
        let sent = Boot::now();
        match read(POLL_WAIT, shared.store.servers(next, POLL_WAIT)).await {
            Ok(page) => {
                outage.answered();
                backoff.answered();
                next = Some(page.next);
                let now = Boot::now();
                if page.next >= page.end {
                    shared.contacts.borrow_mut().servers.record_read(sent, now);
                }
                apply_servers(&shared, page, now);
                shared.servers_next.set(next);
                sleep(SERVERS_PAUSE).await;
            }
            Err(error) => {
                outage.failed(&error);
                if matches!(error, StoreError::Expired { .. }) {
                    next = None;
                }
                let pause = backoff.failed(&error, rand::random());
                shared.outage.pause(pause, Urgency::Job).await;
            }
        }
    }
}

/// Counts entries that could not be decoded, and logs the first one of a page.
fn note_unreadable(shared: &Shared, page: &Page<ServerChange>) {
    let changes = page.items.iter().map(|(_, change)| change);
    let mut unreadable = changes.filter_map(|change| Some((change, change.unreadable.as_ref()?)));
    let Some((first, reason)) = unreadable.next() else {
        return;
    };
    let more = unreadable.count();
    event!("server_unreadable", "server" => first.id, "reason" => reason, "more" => more);
    let count = u64::try_from(more).unwrap_or(u64::MAX).saturating_add(1);
    shared.metrics.unreadable.inc_by(count);
}

/// Applies changes of the registry, and records the crashes of servers that ended.
fn apply_servers(shared: &Shared, page: Page<ServerChange>, now: Boot) {
    note_unreadable(shared, &page);
    let contact = shared.contacts.borrow().servers;
    let mut fleet = shared.fleet.borrow_mut();
    if page.snapshot {
        let ids: Vec<String> = page
            .items
            .iter()
            .map(|(_, change)| change.id.clone())
            .collect();
        fleet.retain_listed(&ids, &contact, now);
    }
    for (_, change) in page.items {
        let before = fleet.get(&change.id).map(|known| (known.state, known.born));
        let after = change.entry.as_ref().map(|entry| (entry.state, entry.born));
        if before != after {
            let text = |state| format!("{state:?}");
            event!("server", "server" => change.id, "before" => text(before),
                "after" => text(after));
        }
        if let Some(entry) = change.entry.as_ref()
            && entry.state == ServerState::Draining
        {
            shared.unanswered.forget(&entry.process());
        }
        fleet.apply(change, &contact, now);
    }
    fleet.prune(now);
    let has_ended = |process: &ServerProcess| {
        fleet
            .get(&process.id)
            .is_none_or(|known| known.born != process.born)
    };
    let has_responded = |process: &ServerProcess, sent| shared.load.has_responded(process, sent);
    for (request, process) in shared
        .unanswered
        .take_crashed(now, has_ended, has_responded)
    {
        crash::record_crash(shared, &request, &process);
    }
    shared
        .pool
        .retain(|id, born| fleet.get(id).is_some_and(|known| known.born == born));
    shared.load.retain(|id| fleet.get(id).is_some());
    shared.limits.borrow_mut().retain(|process| {
        fleet
            .get(&process.id)
            .is_some_and(|known| known.born == process.born)
    });
    drop(fleet);
    shared.state_changed.notify_waiters();
}

/// Summary of a page of a log that was read and applied.
struct AppliedPage {
    /// When the read was sent.
    sent: Boot,
    /// When the answer arrived.
    received: Boot,
    /// Number of pieces; a decoded record consists of one or more, each stored as one record.
    pieces: usize,
    /// Total size of the pieces in bytes.
    bytes: usize,
    /// Offset after the page's last piece.
    next: u64,
    /// Whether the page reached the log's end.
    is_last: bool,
}

/// Follows a log; never returns.
///
/// `until_needed` is awaited before each read. `apply` is called with each record, its offset and
/// its time of arrival. `after_page` is called after each page and returns the pause before the
/// next read.
async fn follow<T: DeserializeOwned>(
    shared: &Shared,
    log: Log,
    stream: &'static str,
    until_needed: impl AsyncFn(),
    mut apply: impl FnMut(T, u64, Boot),
    mut after_page: impl FnMut(&AppliedPage) -> Duration,
) {
    let mut outage = OutageLog::new(stream);
    let mut decoder = Decoder::default();
    let mut next = 0;
    let mut backoff = ReadBackoff::default();
    loop {
        until_needed().await;
        let sent = Boot::now();
        let call = shared.store.read(log, next, backoff.bytes(), POLL_WAIT);
        match read(POLL_WAIT, call).await {
            Ok(page) => {
                outage.answered();
                backoff.answered();
                let received = Boot::now();
                let pieces = page.items.len();
                let bytes = page.items.iter().map(|(_, piece)| piece.len()).sum();
                for (offset, record) in decoder.records(page.items) {
                    apply(record, offset, received);
                }
                next = page.next;
                let pause = after_page(&AppliedPage {
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
                outage.failed(&error);
                let pause = backoff.failed(&error, rand::random());
                shared.outage.pause(pause, read_urgency(log)).await;
            }
        }
    }
}

/// Number and size of the pages read while catching up with a log.
#[derive(Default)]
struct CatchUp {
    pages: usize,
    pieces: usize,
    bytes: usize,
}

impl CatchUp {
    fn add(&mut self, page: &AppliedPage) {
        self.pages += 1;
        self.pieces += page.pieces;
        self.bytes += page.bytes;
    }
}

/// Follows the ledger, which holds leases, usage windows, crashes and announced shutdowns of
/// backend servers.
pub async fn ledger(shared: Rc<Shared>) {
    let started = Boot::now();
    let mut catch_up = Some(CatchUp::default());
    let apply = |record: Record, offset, received| {
        if let Record::Leaving { server, said } = &record
            && shared
                .fleet
                .borrow_mut()
                .note_leaving(server, *said, received)
        {
            event!("server_leaving", "server" => server, "said" => said, "offset" => offset);
        }
        if let Record::Limit {
            server,
            service,
            rate,
        } = &record
        {
            apply_limit(&shared, server, service, *rate, received);
        }
        shared.ledger.borrow_mut().apply(record, offset, received);
    };
    let after_page = |page: &AppliedPage| {
        if let Some(catch_up) = &mut catch_up {
            catch_up.add(page);
        }
        if page.is_last {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.ledger.record_read(page.sent, page.received);
            if let Some(catch_up) = catch_up.take() {
                let took = page.received.since(started).as_millis();
                event!("ledger_read", "pages" => catch_up.pages, "records" => catch_up.pieces,
                    "bytes" => catch_up.bytes, "took_ms" => took);
            }
        }
        shared.state_changed.notify_waiters();
        // Until it has caught up, a starting process reads without a pause.
        match page.is_last && page.pieces > 0 {
            true if leases::needs_prompt_changes(&shared) => LEADER_PAUSE,
            true => LEDGER_PAUSE,
            false => Duration::ZERO,
        }
    };
    follow(
        &shared,
        Log::Ledger,
        "ledger",
        async || {},
        apply,
        after_page,
    )
    .await;
}

fn apply_limit(
    shared: &Shared,
    process: &ServerProcess,
    service: &str,
    rate: Option<f64>,
    received: Boot,
) {
    let mut limits = shared.limits.borrow_mut();
    let change = limits.apply(process.clone(), service, rate, received);
    drop(limits);
    if let Some(change) = change {
        shared.log_limit(process, "ledger", change);
    }
}

/// Follows the log of demands while this instance has a demand itself, and deletes old ones.
pub async fn demands(shared: Rc<Shared>) {
    let interest = &shared.demands_interest;
    let until_needed = async || {
        while !interest.is_needed() {
            interest.wait_needed().await;
        }
    };
    let mut trimmer = Trimmer::new(Log::Demands, DEMAND_RETENTION, TRIM_INTERVAL);
    let apply = |demand: DemandRecord, _, received| {
        shared.limits.borrow_mut().apply_demand(demand, received);
    };
    let after_page = |page: &AppliedPage| {
        if !page.is_last {
            return Duration::ZERO;
        }
        let mut limits = shared.limits.borrow_mut();
        limits.note_view(page.sent, page.received);
        trim(&shared, &mut trimmer, page, limits.is_trimmer());
        if page.pieces > 0 {
            DEMAND_PAUSE
        } else {
            Duration::ZERO
        }
    };
    let log = Log::Demands;
    follow(&shared, log, "demands", until_needed, apply, after_page).await;
}

/// Follows the log of jobs while this instance needs it.
///
/// That is while it leads a service, is next in line to lead one, or is asked about a job.
pub async fn jobs(shared: Rc<Shared>) {
    let interest = &shared.jobs_interest;
    let until_needed = async || {
        while !interest.is_needed() && !leads_service(&shared) && !is_standby(&shared) {
            interest.set_current(false);
            // The condition is checked again whether or not the wait timed out.
            let _ = timeout(DEMAND_POLL, interest.wait_needed()).await;
        }
    };
    let apply = |event: JobEvent, _, _| shared.ledger.borrow_mut().apply_job(event);
    let mut catch_up: Option<CatchUp> = None;
    let after_page = |page: &AppliedPage| {
        if page.is_last {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.jobs.record_read(page.sent, page.received);
            interest.set_current(true);
            if let Some(mut catch_up) = catch_up.take() {
                catch_up.add(page);
                event!("jobs_read", "pages" => catch_up.pages, "records" => catch_up.pieces,
                    "bytes" => catch_up.bytes);
            }
        } else {
            catch_up.get_or_insert_default().add(page);
        }
        shared.state_changed.notify_waiters();
        if page.is_last && page.pieces > 0 {
            LEADER_PAUSE
        } else {
            Duration::ZERO
        }
    };
    follow(&shared, Log::Jobs, "jobs", until_needed, apply, after_page).await;
}

/// Follows the heartbeats in this instance's partition, and deletes old ones.
pub async fn heartbeats(shared: Rc<Shared>) {
    let own = heartbeats::partition(&shared.settings);
    let log = Log::Signs(own);
    let mut trimmer = Trimmer::new(log, HEARTBEAT_RETENTION, TRIM_INTERVAL);
    let after_page = |page: &AppliedPage| {
        if !page.is_last {
            return Duration::ZERO;
        }
        let contact = {
            let mut contacts = shared.contacts.borrow_mut();
            contacts.heartbeats.record_read(page.sent, page.received);
            contacts.heartbeats
        };
        let instance_table = shared.instance_table.borrow();
        let mut alive = instance_table
            .alive(page.sent, contact.unbroken_since, leases::HEARTBEAT_TIMEOUT)
            .filter(|(_, instance)| instance.part == own);
        // Of the partition's live instances, the first by name deletes old heartbeats.
        let is_trimmer = alive
            .next()
            .is_some_and(|(name, _)| *name == shared.settings.name);
        trim(&shared, &mut trimmer, page, is_trimmer);
        BATCH_PAUSE
    };
    let apply = |heartbeat: Heartbeat, _, received| {
        shared
            .instance_table
            .borrow_mut()
            .apply(heartbeat, own, received);
    };
    follow(&shared, log, "signs", async || {}, apply, after_page).await;
}

/// Follows the heartbeats in another partition while this instance's own has few ready instances.
pub async fn other_heartbeats(shared: Rc<Shared>, part: u32) {
    let until_needed = async || {
        while !heartbeats::follows_others(shared.ready_in_partition()) {
            sleep(DEMAND_POLL).await;
        }
    };
    let apply = |heartbeat: Heartbeat, _, received| {
        shared
            .instance_table
            .borrow_mut()
            .apply(heartbeat, part, received);
    };
    let after_page = |page: &AppliedPage| {
        if page.is_last {
            BATCH_PAUSE
        } else {
            Duration::ZERO
        }
    };
    let log = Log::Signs(part);
    follow(&shared, log, "other signs", until_needed, apply, after_page).await;
}

/// Follows the log of counters while this instance holds the lease for usage reports.
pub async fn counters(shared: Rc<Shared>) {
    let until_needed = async || {
        while !shared.holds_lease(&Subject::Usage) {
            sleep(DEMAND_POLL).await;
        }
    };
    let mut trimmer = Trimmer::new(Log::Counters, COUNTERS_RETENTION, TRIM_INTERVAL);
    let apply = |counted: CounterRecord, _, received| {
        shared.counters.borrow_mut().apply(counted, received);
    };
    let after_page = |page: &AppliedPage| {
        if !page.is_last {
            return Duration::ZERO;
        }
        let mut contacts = shared.contacts.borrow_mut();
        contacts.counters.record_read(page.sent, page.received);
        trim(&shared, &mut trimmer, page, true);
        BATCH_PAUSE
    };
    follow(
        &shared,
        Log::Counters,
        "counters",
        until_needed,
        apply,
        after_page,
    )
    .await;
}

/// Records how far a log was read, and deletes old records if `is_trimmer` is set.
fn trim(shared: &Rc<Shared>, trimmer: &mut Trimmer, page: &AppliedPage, is_trimmer: bool) {
    trimmer.note_written(page.received, page.next);
    if let Some(trim) = trimmer.due(page.received).filter(|_| is_trimmer) {
        let shared = Rc::clone(shared);
        spawn_local(async move { trim.run(&shared).await });
    }
}
