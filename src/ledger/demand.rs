//! State folded from the demand log: how instances share the servers that limit them together.
//!
//! Each instance that needs such servers writes its demand and renews it. All fold the same log,
//! and each takes its part of a limit by the demands that it has read. The parts never add up to
//! more than the limit:
//!
//! - An instance acts only on a recent read of the log, so all that act know every demand that was
//!   written longer than [`VIEW_MAX_AGE`] ago.
//! - A new or higher demand takes effect at the others as soon as they read it, and at its own
//!   instance only [`VIEW_MAX_AGE`] after it was read back. A lower one takes effect at its own
//!   instance before it is written.
//! - A demand lapses at its own instance, which counts from the write, before it does at the
//!   others, which count from the read.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::record::{DemandRecord, Incarnation};
use crate::boot::Boot;
use crate::instance::interfaces::ServerProcess;
use crate::rank::rank;

/// Longest age of a read of the log on which an instance may act.
pub const VIEW_MAX_AGE: Duration = Duration::from_secs(1);
/// Share of a record's validity after which its own instance stops acting on it.
const OWN_VALIDITY: f64 = 0.8;
/// Period over which the requests to a server are counted.
const JUDGED: Duration = Duration::from_secs(4);
/// Factor on what a limit allows in that period, up to which it counts as kept.
const TOLERANCE: f64 = 1.5;
/// Requests in that period beyond the multiplied limit.
const SLACK: f64 = 5.0;
/// Instances that share a limit, for each request per second that it allows.
const SHARERS_PER_RATE: f64 = 1.5;
/// Instances that share a limit, however low it is.
const SHARERS_MIN: usize = 3;

/// Another instance's demand.
#[derive(Clone, Debug)]
struct Known {
    demands: BTreeMap<String, u32>,
    expires: Boot,
}

/// A record that this instance wrote.
#[derive(Clone, Debug)]
struct Own {
    number: u64,
    demands: BTreeMap<String, u32>,
    /// When the others may stop counting the record, at the earliest.
    expires: Boot,
    /// When this instance stops acting on the record.
    usable_until: Boot,
    /// When the record was read back from the log.
    read: Option<Boot>,
}

/// The demands of all instances, as read from the log.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    others: HashMap<Incarnation, Known>,
    /// Own records, from the latest one that is in effect on.
    own: VecDeque<Own>,
    /// When the last read that reached the log's end was sent.
    view: Option<Boot>,
}

impl Demands {
    /// Takes in a record that this instance is about to write, at `now`.
    pub fn note_own(&mut self, record: &DemandRecord, now: Boot) {
        let valid = Duration::from_millis(record.valid_ms);
        self.own.push_back(Own {
            number: record.number,
            demands: record.demands.clone(),
            expires: now + valid,
            usable_until: now + valid.mul_f64(OWN_VALIDITY),
            read: None,
        });
    }

    /// Applies a record that was read at `received` by the instance's process `own`.
    pub fn apply(&mut self, record: DemandRecord, own: &Incarnation, received: Boot) {
        if record.incarnation == *own {
            self.apply_own(record.number, received);
            return;
        }
        let expires = received + Duration::from_millis(record.valid_ms);
        let known = Known {
            demands: record.demands,
            expires,
        };
        self.others.insert(record.incarnation, known);
    }

    fn apply_own(&mut self, number: u64, received: Boot) {
        let before = self.own.iter().rev().find(|own| own.read.is_some());
        // The others may have dropped the record before, and not read this one yet.
        let has_lapsed = before.is_none_or(|before| received + VIEW_MAX_AGE > before.expires);
        if has_lapsed {
            self.own.retain(|own| own.number >= number);
        }
        if let Some(own) = self.own.iter_mut().find(|own| own.number == number) {
            own.read = Some(received);
        }
    }

    /// Records a read that reached the log's end, and drops what has no effect any more.
    pub fn note_view(&mut self, sent: Boot, now: Boot) {
        self.view = Some(sent);
        self.others.retain(|_, known| now < known.expires);
        let is_effective = |own: &Own| own.read.is_some_and(|read| read + VIEW_MAX_AGE <= now);
        if let Some(latest) = self.own.iter().rposition(is_effective) {
            self.own.drain(..latest);
        }
    }

    /// Number of instances with a demand, this one included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.others.len() + 1
    }

    /// Whether no other instance has a demand.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// Whether `own` is the first by name of the processes with a demand.
    #[must_use]
    pub fn is_first(&self, own: &Incarnation) -> bool {
        self.others.keys().all(|other| own.0 < other.0)
    }

    /// The demand of this instance on which it may act at `now`.
    fn own_demand(&self, service: &str, now: Boot) -> u32 {
        let newest_read = self.own.iter().rev().find(|own| own.read.is_some());
        if newest_read.is_none_or(|own| now >= own.usable_until) {
            return 0;
        }
        let is_effective = |own: &Own| own.read.is_some_and(|read| read + VIEW_MAX_AGE <= now);
        let Some(latest) = self.own.iter().rposition(is_effective) else {
            return 0;
        };
        let since = self.own.range(latest..);
        let demands = since.map(|own| own.demands.get(service).copied().unwrap_or_default());
        demands.min().unwrap_or_default()
    }

    /// This instance's part of the requests per second that a server takes; none if the last read
    /// of the log is too old to tell.
    ///
    /// Only some instances share a limit. Which ones do differs from server to server, and favours
    /// high demands.
    #[must_use]
    pub fn part(
        &self,
        own: &Incarnation,
        process: &ServerProcess,
        service: &str,
        rate: f64,
        now: Boot,
    ) -> Option<Part> {
        self.view.filter(|sent| now < *sent + VIEW_MAX_AGE)?;
        let usable = self.own_demand(service, now);
        let read_back = self.own.iter().rev().find(|own| own.read.is_some());
        let written = read_back.and_then(|own| own.demands.get(service)).copied();
        // The others count what was written, also while this instance acts on less.
        let written = written.unwrap_or_default().max(usable);
        let live = self.others.iter().filter(|(_, known)| now < known.expires);
        let others = live.filter_map(|(other, known)| Some((other, *known.demands.get(service)?)));
        let mut ranked: Vec<(f64, &Incarnation, u32)> = others
            .chain(std::iter::once((own, written)))
            .filter(|(_, demand)| *demand > 0)
            .map(|(sharer, demand)| (precedence(process, sharer, demand), sharer, demand))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.truncate(sharers_max(rate));
        if usable == 0 || !ranked.iter().any(|(_, sharer, _)| *sharer == own) {
            return Some(Part::default());
        }
        let total: f64 = ranked.iter().map(|(_, _, demand)| f64::from(*demand)).sum();
        let fraction = f64::from(usable) / total;
        Some(Part {
            rate: rate * fraction,
            burst: 1.0 + burst_total(rate, ranked.len()) * fraction,
        })
    }
}

/// An instance's part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
}

/// Requests beyond one each that `sharers` instances may send at once to a server that takes `rate`
/// requests per second.
///
/// In the period over which a limit is judged, the sharers together send at most what the rate
/// allows, one each, and these: one less than is tolerated.
fn burst_total(rate: f64, sharers: usize) -> f64 {
    let sharers = f64::from(u32::try_from(sharers).unwrap_or(u32::MAX));
    let tolerated = rate * JUDGED.as_secs_f64() * (TOLERANCE - 1.0) + SLACK;
    (tolerated - 1.0 - sharers).max(0.0)
}

/// Largest number of instances that share a limit of `rate` requests per second.
///
/// Each sharer may send one request more than its part in any period, so together they send at most
/// this number more.
fn sharers_max(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate is a small positive number"
    )]
    let whole = (rate * SHARERS_PER_RATE) as usize;
    whole + SHARERS_MIN
}

/// Precedence of an instance for a server, by weighted rendezvous hashing; the highest share.
fn precedence(process: &ServerProcess, sharer: &Incarnation, demand: u32) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a draw needs no more precision")]
    let draw = (rank(&process, &sharer.0) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -f64::from(demand) / draw.ln().min(-f64::MIN_POSITIVE)
}
