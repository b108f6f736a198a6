//! Restarts samples on newer weights when only a later round will use them.

use std::collections::HashMap;

use super::move_plan::MovePlan;
use super::stragglers::{Group, outlasts, remaining, round_end};
use super::{Scheduler, route, service_of};
use crate::instance::deployment::Deployment;
use crate::instance::events::event;
use crate::job::{Item, Job};

/// Weight of the newest sample in the moving averages of a model's length estimate.
const SMOOTHING: f64 = 0.05;

/// Estimate of the length of a model's samples, as moving averages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LengthEstimate {
    /// Tokens in an item's hint per event generated.
    event_tokens: f64,
    /// Events per sample.
    events: f64,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more precision"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}

fn smooth(before: f64, newest: f64) -> f64 {
    before + (newest - before) * SMOOTHING
}

impl Scheduler {
    /// Updates a model's length estimate with a complete sample.
    pub(super) fn record_length(&self, model: &str, item: &Item, events: usize) {
        let events = to_f64(events as u64).max(1.0);
        let mut lengths = self.lengths.borrow_mut();
        let known = lengths.entry(model.to_owned()).or_insert(LengthEstimate {
            event_tokens: to_f64(item.hint) / events,
            events,
        });
        known.events = smooth(known.events, events);
        if item.hint > 0 {
            known.event_tokens = smooth(known.event_tokens, to_f64(item.hint) / events);
        }
    }

    /// Cancels the restart of an item: any weights that its job accepts may generate it again.
    pub(super) fn cancel_renewal(&self, job: &Job, item: &str) {
        let key = (job.record.id.clone(), item.to_owned());
        self.renewed.borrow_mut().remove(&key);
        event!("item_not_renewed", "job" => key.0, "item" => key.1);
    }

    /// Estimates the events that an item still needs; none if its model has no estimate yet.
    pub(super) fn remaining(&self, job: &Job, item: &Item) -> Option<f64> {
        if job.done.contains(&item.id) {
            return Some(0.0);
        }
        let lengths = self.lengths.borrow().get(&job.record.model).copied()?;
        let expected = if item.hint > 0 && lengths.event_tokens > 0.0 {
            to_f64(item.hint) / lengths.event_tokens
        } else {
            lengths.events
        };
        Some(remaining(expected, self.drafts.event_count(&item.id)))
    }

    /// Estimates the events until a round ends, from what its items still need.
    fn round_end(&self, job: &Job) -> Option<f64> {
        let ledger = self.shared.ledger.borrow();
        let mut groups: HashMap<&str, Group> = HashMap::new();
        for item in &job.record.items {
            let remaining = self.remaining(job, item)?;
            let group = groups.entry(&item.group).or_insert(Group {
                resubmitted: false,
                remaining: 0.0,
            });
            group.remaining = group.remaining.max(remaining);
            group.resubmitted |= ledger.jobs.is_resubmitted(job, &item.id);
        }
        let groups: Vec<Group> = groups.into_values().collect();
        Some(round_end(&groups, job.record.group_target))
    }

    /// Oldest weight version that a model's next job will accept: each job requires a newer
    /// one than the job before.
    fn next_min_version(&self, model: &str) -> u64 {
        let ledger = self.shared.ledger.borrow();
        let jobs = ledger.jobs.iter().filter(|job| job.record.model == *model);
        let newest = jobs.max_by_key(|job| job.order);
        newest.map_or(0, |job| job.record.min_version + 1)
    }

    /// Restarts items that will outlast their round, if servers with newer weights have slots.
    pub(super) fn renew(&self, deployment: &Deployment, service: &str, plan: &mut MovePlan) {
        let ledger = self.shared.ledger.borrow();
        let is_own = |job: &&Job| {
            route(deployment, job).is_some_and(|route| service_of(route, job) == service)
        };
        for job in ledger.jobs.open().filter(is_own) {
            let min = self.next_min_version(&job.record.model);
            if min <= job.record.min_version {
                continue;
            }
            let Some(round_end) = self.round_end(job) else {
                continue;
            };
            for item in &job.record.items {
                let is_old = self
                    .drafts
                    .oldest_version(&item.id)
                    .is_some_and(|oldest| oldest < min);
                let resubmitted = ledger.jobs.is_resubmitted(job, &item.id);
                let outlasts = self
                    .remaining(job, item)
                    .is_some_and(|remaining| outlasts(remaining, round_end));
                if is_old && !resubmitted && outlasts {
                    plan.renew(self, &(job.record.id.clone(), item.id.clone()), min);
                }
            }
        }
    }
}
