//! Follows the lease stream; claims, renews and releases the roles of this process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::edge::{EdgeResult, Instances, Log, Stream};
use crate::lease::{DueAppends, HeldLease, Roles};
use crate::log::Backoff;
use crate::names::{Incarnation, InstanceId};
use crate::rank::is_selected;
use crate::wire::{Instance, LeaseHeld, LeaseRecord, LogPage, Role};

/// Number of instances that may claim one role.
const ELIGIBLE: usize = 5;

/// All roles.
const ROLES: [Role; 3] = [Role::Servers, Role::Usage, Role::Weights];
/// Long-poll timeout of a read at the stream's head.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Poll interval of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum random delay of a claim, so that processes do not claim at the same time.
const STAGGER_MAX: Duration = Duration::from_millis(500);
/// Timeout at shutdown for work under the leases to end, and for one append of a release.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// Holds off the release of a lease while work under the lease is in flight.
#[derive(Debug)]
pub struct LeaseGuard {
    /// The lease that the work runs under.
    pub held: HeldLease,
    _work: Arc<()>,
}

#[derive(Debug)]
struct State {
    roles: Roles,
    list: Vec<Instance>,
}

/// Claims, renews and releases the leases of this process.
#[derive(Debug)]
pub struct Leases {
    log: Arc<dyn Log>,
    instances: Arc<dyn Instances>,
    instance: InstanceId,
    state: Mutex<State>,
    /// One reference for this struct, and one for each guard of the role.
    work: BTreeMap<Role, Arc<()>>,
    /// Wakes the loop that appends due records.
    changed: Notify,
}

impl Leases {
    /// Creates the leases of a process that has not read the stream yet.
    #[must_use]
    pub fn new(
        log: Arc<dyn Log>,
        instances: Arc<dyn Instances>,
        instance: &InstanceId,
        incarnation: &Incarnation,
    ) -> Self {
        let stagger = STAGGER_MAX.mul_f64(rand::random_range(0.0..=1.0));
        Self {
            log,
            instances,
            instance: instance.clone(),
            state: Mutex::new(State {
                roles: Roles::new(&ROLES, incarnation.as_str(), stagger),
                list: Vec::new(),
            }),
            work: ROLES.into_iter().map(|role| (role, Arc::new(()))).collect(),
            changed: Notify::new(),
        }
    }

    /// The lease of `role`, if this process may use it now.
    #[must_use]
    pub fn held(&self, role: Role) -> Option<HeldLease> {
        self.state.lock().roles.held(role, Instant::now())
    }

    /// The lease of `role` with a guard that delays its release until dropped.
    #[must_use]
    pub fn begin(&self, role: Role) -> Option<LeaseGuard> {
        let work = Arc::clone(self.work.get(&role)?);
        let held = self.held(role)?;
        Some(LeaseGuard { held, _work: work })
    }

    /// Gives up `role`, and does not claim it again before `until`.
    ///
    /// For a process that cannot do the role's work, so that another process takes the role. The
    /// caller must have no work under the lease in flight.
    pub fn step_down(&self, role: Role, until: Instant) {
        self.state.lock().roles.step_down(role, until);
        spdlog::warn!("lease given up", kv: { role = role.to_string() });
        self.changed.notify_one();
    }

    /// Registers gauges of the leases with a meter.
    pub fn observe(self: &Arc<Self>, meter: &Meter) {
        let leases = Arc::clone(self);
        let held = meter
            .u64_observable_gauge("basillead_lease_held")
            .with_description("Whether this process holds the lease of a role.");
        held.with_callback(move |gauge| {
            for role in ROLES {
                let held = u64::from(leases.held(role).is_some());
                gauge.observe(held, &[KeyValue::new("role", role.to_string())]);
            }
        })
        .build();
        let leases = Arc::clone(self);
        let known = meter
            .u64_observable_gauge("basillead_lease_known")
            .with_description("Whether this process has read the lease stream to its head.");
        known
            .with_callback(move |gauge| gauge.observe(u64::from(leases.is_known()), &[]))
            .build();
    }

    /// All leases that this process may use now.
    #[must_use]
    pub fn all(&self) -> Vec<LeaseHeld> {
        let held = |role| {
            let claim = self.held(role)?.claim;
            Some(LeaseHeld { claim, role })
        };
        ROLES.into_iter().filter_map(held).collect()
    }

    /// Whether this process holds `role` or is eligible to claim the role.
    #[must_use]
    pub fn is_candidate(&self, role: Role) -> bool {
        let state = self.state.lock();
        let holds = state.roles.held(role, Instant::now()).is_some();
        holds || self.may_claim(role, &state.list)
    }

    /// Whether the lease stream was read to its head without a gap.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.state.lock().roles.is_known()
    }

    /// Follows the stream and appends due claims and renewals; never returns.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.follow(), self.append_due(), self.follow_list());
    }

    /// Releases the held leases once no work under them is in flight.
    ///
    /// Leases whose work outlasts the timeout expire instead.
    pub async fn release(&self) {
        self.state.lock().roles.shut_down();
        let until = Instant::now() + RELEASE_WAIT;
        for role in ROLES {
            while self.is_busy(role) && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let release = self.state.lock().roles.release(role);
            if let Some(record) = release.filter(|_| !self.is_busy(role)) {
                let appended = tokio::time::timeout(RELEASE_WAIT, self.append(&record));
                let is_done = matches!(appended.await, Ok(Ok(_)));
                spdlog::info!("lease released", kv: { role = role.to_string(), is_done });
            }
        }
    }

    /// Whether a guard of the role's lease is alive.
    fn is_busy(&self, role: Role) -> bool {
        Arc::strong_count(&self.work[&role]) > 1
    }

    async fn append(&self, record: &LeaseRecord) -> EdgeResult<u64> {
        let text = serde_json::to_string(record).unwrap_or_default();
        self.log.append(Stream::Leases, text).await
    }

    /// Folds the lease stream while this process needs it; never returns.
    async fn follow(&self) {
        let mut backoff = Backoff::default();
        loop {
            if !self.needs_stream() {
                self.state.lock().roles.pause();
                tokio::time::sleep(POLL_WAIT).await;
                continue;
            }
            let from = self.state.lock().roles.next();
            match self.log.read(Stream::Leases, from, POLL_WAIT).await {
                Ok(page) => {
                    backoff.reset();
                    self.apply_page(&page, Instant::now());
                }
                Err(error) => {
                    spdlog::warn!("lease read failed", kv: { error = error.to_string() });
                    backoff.pause().await;
                }
            }
        }
    }

    /// Whether this process needs the stream because it may claim a role or holds one.
    fn needs_stream(&self) -> bool {
        let now = Instant::now();
        let state = self.state.lock();
        let mut roles = ROLES.into_iter();
        roles.any(|role| state.roles.held(role, now).is_some() || self.may_claim(role, &state.list))
    }

    fn may_claim(&self, role: Role, list: &[Instance]) -> bool {
        is_selected(&role, ELIGIBLE, self.instance.as_str(), list)
    }

    /// Folds a page that was received at `received`.
    fn apply_page(&self, page: &LogPage, received: Instant) {
        let mut state = self.state.lock();
        let before = ROLES.map(|role| state.roles.held(role, received));
        state.roles.apply_page(page, received);
        for (role, before) in ROLES.into_iter().zip(before) {
            let after = state.roles.held(role, received);
            log_change(
                role,
                before.map(|held| held.claim),
                after.map(|held| held.claim),
            );
        }
        if state.roles.next() >= page.next && !state.roles.is_known() {
            spdlog::error!("leases are unknown: records expired", kv: { first = page.first });
        }
        drop(state);
        self.changed.notify_one();
    }

    async fn append_logged(&self, record: &LeaseRecord) {
        if let Err(error) = self.append(record).await {
            spdlog::warn!("lease append failed", kv: { error = error.to_string() });
        }
    }

    /// Appends due claims and renewals; never returns.
    async fn append_due(self: &Arc<Self>) {
        loop {
            let DueAppends { records, until } = self.due(Instant::now());
            for record in records {
                // Not awaited: a slow append must not hold up the next renewal.
                let leases = Arc::clone(self);
                tokio::spawn(async move { leases.append_logged(&record).await });
            }
            let _ = tokio::time::timeout_at(until.into(), self.changed.notified()).await;
        }
    }

    fn due(&self, now: Instant) -> DueAppends {
        let mut state = self.state.lock();
        let State { roles, list } = &mut *state;
        roles.due(now, |role| self.may_claim(role, list))
    }

    async fn follow_list(&self) {
        loop {
            match self.instances.list().await {
                Ok(list) => self.state.lock().list = list,
                Err(error) => {
                    spdlog::warn!("instance list failed", kv: { error = error.to_string() });
                }
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }
}

fn log_change(role: Role, before: Option<u64>, after: Option<u64>) {
    let role = role.to_string();
    match (before, after) {
        (None, Some(claim)) => spdlog::info!("lease held", kv: { role, claim }),
        (Some(claim), None) => spdlog::warn!("lease lost", kv: { role, claim }),
        _ => {}
    }
}
