//! One process of an instance on a platform: callers' requests, jobs, and duties under leases.

pub mod contact;
pub mod counters;
pub mod deployment;
pub mod directory;
pub mod edge;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod interest;
pub mod leases;
pub mod metrics;
pub mod payloads;
pub mod retry;
pub mod run;
pub mod settings;
pub mod signs;
pub mod trim;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::boot::Boot;
use crate::ledger::counters::Counters;
use crate::ledger::fold::Fold;
use crate::ledger::members::Members;
use crate::ledger::record::{Counts, Incarnation, Record, Subject};
use crate::ledger::writer::Writer;
use crate::relay::choose::{Candidate, choose};
use crate::relay::crash::Silences;
use crate::relay::load::Load;
use crate::relay::pool::Pool;
use crate::relay::warmup::Rate;
use contact::Contact;
use deployment::Deployment;
use edge::{Backend, Cloud, Dialect, Holder, Store};
use events::event;
use fleet::Fleet;
use interest::Interest;
use metrics::Metrics;
use payloads::Payloads;
use settings::InstanceSettings;

/// What the withdrawal bound is shortened by, for a request that is just being read.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);

/// Contact with each stream of the store.
#[derive(Debug, Default)]
pub struct Contacts {
    /// What operators write.
    pub operator: Contact,
    /// The registry of backend servers.
    pub servers: Contact,
    /// The ledger.
    pub ledger: Contact,
    /// The log of jobs.
    pub jobs: Contact,
    /// The partition of the log of signs that this instance follows.
    pub signs: Contact,
    /// The log of counters.
    pub counters: Contact,
}

/// State that all tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: InstanceSettings,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The platform's interface for duties.
    pub cloud: Option<Rc<dyn Cloud>>,
    /// Translation of messages.
    pub dialect: Rc<dyn Dialect>,
    /// The configuration in force.
    pub deployment: RefCell<Option<Rc<Deployment>>>,
    /// Weight versions that trainers named, by model.
    pub named: RefCell<BTreeMap<String, u64>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// The state folded from the ledger and the log of jobs.
    pub fold: RefCell<Fold>,
    /// The instances that share this one's partition of the log of signs, and others while
    /// those are few.
    pub members: RefCell<Members>,
    /// Requests that instances counted.
    pub counters: RefCell<Counters>,
    /// Who needs the log of jobs at the moment.
    pub jobs_interest: Interest,
    /// Contact with the store.
    pub contacts: RefCell<Contacts>,
    /// Told when the fold, the fleet, the named versions or the configuration changed.
    pub changed: Notify,
    /// Told when a sign of life is due at once.
    pub sign: Notify,
    /// Told when a renewal is due at once.
    pub renew: Notify,
    /// Appends to the ledger.
    pub writer: Writer,
    /// Appends to the log of jobs.
    pub job_writer: Writer,
    /// Appends to this instance's partition of the log of signs.
    pub sign_writer: Writer,
    /// Appends to the log of counters.
    pub counter_writer: Writer,
    /// Contents of jobs and texts of results.
    pub payloads: Payloads,
    /// Appends to the log of drafts.
    pub draft_writer: Writer,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Load of backend servers as seen here.
    pub load: Load,
    /// Requests that got no answer.
    pub silences: Silences,
    /// Requests that began to run, by usage window and tenant.
    pub usage: RefCell<BTreeMap<u64, Counts>>,
    /// When the latest renewals were made, by number.
    pub renewals: RefCell<BTreeMap<u64, Boot>>,
    /// Since when the process has been leaving.
    pub leaving: Cell<Option<Boot>>,
    /// Callers' requests under way.
    pub active: Cell<usize>,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl Shared {
    /// The configuration in force, if there is one.
    #[must_use]
    pub fn deployment(&self) -> Option<Rc<Deployment>> {
        self.deployment.borrow().clone()
    }

    /// Whether no key can have been withdrawn for longer than the bound without being known.
    #[must_use]
    pub fn is_fresh(&self, now: Boot) -> bool {
        let age = self
            .settings
            .bounds
            .withdrawal
            .saturating_sub(WITHDRAWAL_MARGIN);
        self.contacts.borrow().operator.is_within(age, now)
    }

    /// Whether this instance takes callers' requests.
    #[must_use]
    pub fn is_ready(&self, now: Boot) -> bool {
        let known = self.deployment.borrow().is_some();
        let heard = self.contacts.borrow().ledger.seen.is_some();
        known && heard && self.is_fresh(now) && self.leaving.get().is_none()
    }

    /// Whether the log has this process as a lease's holder, in time or not.
    #[must_use]
    pub fn leads(&self, subject: &Subject) -> bool {
        let fold = self.fold.borrow();
        let lease = fold.leases.get(subject);
        lease.is_some_and(|lease| lease.incarnation == self.incarnation && !lease.released)
    }

    /// The lease of a subject, if it may be used at `now`.
    #[must_use]
    pub fn held(&self, subject: &Subject, now: Boot) -> Option<Holder> {
        let fold = self.fold.borrow();
        let lease = fold.leases.get(subject)?;
        // The log confirms a renewal only by showing it before any other claim.
        let renewed = *self.renewals.borrow().get(&lease.renewal?)?;
        let span = self.settings.bounds.lease;
        let held = crate::ledger::lease::is_held(lease, &self.incarnation, renewed, now, span);
        held.then(|| Holder {
            name: self.settings.name.clone(),
            fence: lease.fence,
        })
    }

    /// A server of a service for a plain request, other than those tried if there is one.
    #[must_use]
    pub fn choose(&self, service: &str, tried: &HashSet<String>) -> Option<Rc<Backend>> {
        let now = Boot::now();
        let fleet = self.fleet.borrow();
        let mut usable: Vec<&Rc<Backend>> = fleet.usable(service, now).collect();
        self.spare_cold(service, &mut usable, now);
        let candidate = |backend: &&Rc<Backend>| Candidate {
            running: self.load.running(&backend.id),
            slots: backend.slots,
            near: backend.zone == self.settings.zone,
            suspect: self.load.is_suspect(&backend.id, now),
            tried: tried.contains(&backend.id),
            link: self.pool.link(backend, now),
        };
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        choose(&candidates, rand::random()).map(|at| Rc::clone(usable[at]))
    }

    /// Requests a second that a server of a service bears while it warms up, if that is bounded.
    #[must_use]
    pub fn warmup(&self, service: &str) -> Option<Rate> {
        let deployment = self.deployment.borrow();
        let service = deployment.as_ref()?.services.get(service)?;
        let rate = service.warmup?;
        Some(Rate(self.settings.bounds.warmup.bound(rate)))
    }

    /// Leaves out servers that warm up: all of them while there are warm ones, else those that
    /// have had this instance's share.
    fn spare_cold(&self, service: &str, usable: &mut Vec<&Rc<Backend>>, now: Boot) {
        let Some(rate) = self.warmup(service) else {
            return;
        };
        if usable.iter().any(|backend| backend.warm <= now) {
            usable.retain(|backend| backend.warm <= now);
            return;
        }
        let instances = self.instances();
        usable.retain(|backend| {
            self.load
                .recent(&backend.id, |recent| rate.allows(instances, recent, now))
        });
    }

    /// Notes that a server said that it leaves, in its answer to the request of an id that was
    /// sent at Unix time `said` in milliseconds, and has other instances know.
    pub fn note_leaving(&self, backend: &Backend, request: Option<&str>, said: u64) {
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.note_leaving(&backend.id, said, Boot::now()) {
            return;
        }
        drop(fleet);
        let listed = self
            .fleet
            .borrow()
            .get(&backend.id)
            .map(|known| known.state);
        event!("server_leaving", "server" => backend.id, "born" => backend.born,
            "id" => request.unwrap_or_default(), "listed" => format!("{listed:?}"));
        self.metrics.leaving.inc();
        // It is written whether or not anybody waits for it.
        let server = backend.id.clone();
        drop(self.writer.push(&Record::Leaving { server, said }));
    }

    /// Whether a server said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, backend: &Backend) -> bool {
        self.fleet.borrow().is_leaving(backend)
    }

    /// Servers of a service that may be used.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.fleet.borrow().usable(service, Boot::now()).count()
    }

    /// Instances in all, as far as can be told from those of its own partition of signs.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.near().max(1) * signs::partitions(&self.settings)
    }

    /// Instances of this one's partition of signs.
    #[must_use]
    pub fn near(&self) -> usize {
        let own = signs::partition(&self.settings);
        let members = self.members.borrow();
        let near = members.known.values().filter(|member| member.part == own);
        near.count()
    }

    /// Instances of this one's partition of signs that are alive and ready.
    #[must_use]
    pub fn ready_near(&self) -> usize {
        let own = signs::partition(&self.settings);
        let contact = self.contacts.borrow().signs;
        let members = self.members.borrow();
        let seen = contact.seen.unwrap_or_default();
        let alive = members.alive(seen, contact.since, leases::SILENCE);
        alive
            .filter(|(_, member)| member.part == own && member.ready)
            .count()
    }

    /// Connections that this instance may open to one server of a service.
    ///
    /// Instances share what a server accepts; an engine's servers are driven by one of them.
    #[must_use]
    pub fn connections(&self, service: &str) -> usize {
        let deployment = self.deployment.borrow();
        let service = deployment
            .as_ref()
            .and_then(|known| known.services.get(service));
        let Some(service) = service else {
            return 1;
        };
        let share = service.connections / (self.instances() + 1);
        if service.engine.is_some() {
            service.connections / 2
        } else {
            share.max(2)
        }
    }

    /// Counts a request that began to run at Unix time `wall`, in milliseconds.
    pub fn count_usage(&self, tenant: &str, wall: u64) {
        let window = wall / crate::util::millis(self.settings.bounds.window).max(1);
        let mut usage = self.usage.borrow_mut();
        *usage
            .entry(window)
            .or_default()
            .entry(tenant.to_owned())
            .or_default() += 1;
    }
}
