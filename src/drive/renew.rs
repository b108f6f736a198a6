//! Makes samples anew on newer weights that a later round will want.

use std::collections::HashMap;

use super::carry::{Group, end, left, outlasts};
use super::moving::Board;
use super::{Driver, route, service};
use crate::instance::deployment::Deployment;
use crate::instance::events::event;
use crate::job::{Item, Job};

/// Share of the newest sample in a model's lengths.
const SHARE: f64 = 0.05;

/// How long a model's samples are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Lengths {
    /// Tokens of the estimate for an event.
    stride: f64,
    /// Events of a sample.
    events: f64,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more precision"
)]
fn float(number: u64) -> f64 {
    number as f64
}

fn mix(before: f64, newest: f64) -> f64 {
    before + (newest - before) * SHARE
}

impl Driver {
    /// Notes how long a sample became.
    pub(super) fn note_length(&self, model: &str, item: &Item, events: usize) {
        let events = float(events as u64).max(1.0);
        let mut lengths = self.lengths.borrow_mut();
        let known = lengths.entry(model.to_owned()).or_insert(Lengths {
            stride: float(item.hint) / events,
            events,
        });
        known.events = mix(known.events, events);
        if item.hint > 0 {
            known.stride = mix(known.stride, float(item.hint) / events);
        }
    }

    /// Lets any weights that its job takes make an item again.
    pub(super) fn keep_old(&self, job: &Job, item: &str) {
        let key = (job.record.id.clone(), item.to_owned());
        self.renewed.borrow_mut().remove(&key);
        event!("item_not_renewed", "job" => key.0, "item" => key.1);
    }

    /// Events that an item still needs; none if nothing is known of its model's samples.
    pub(super) fn left(&self, job: &Job, item: &Item) -> Option<f64> {
        if job.done.contains(&item.id) {
            return Some(0.0);
        }
        let lengths = self.lengths.borrow().get(&job.record.model).copied()?;
        let expected = if item.hint > 0 && lengths.stride > 0.0 {
            float(item.hint) / lengths.stride
        } else {
            lengths.events
        };
        Some(left(expected, self.drafts.events(&item.id)))
    }

    /// Events until a round ends, from what its items still need.
    fn end(&self, job: &Job) -> Option<f64> {
        let fold = self.shared.fold.borrow();
        let mut groups: HashMap<&str, Group> = HashMap::new();
        for item in &job.record.items {
            let left = self.left(job, item)?;
            let group = groups.entry(&item.group).or_insert(Group {
                again: false,
                left: 0.0,
            });
            group.left = group.left.max(left);
            group.again |= fold.jobs.is_again(job, &item.id);
        }
        let groups: Vec<Group> = groups.into_values().collect();
        Some(end(&groups, job.record.group_target))
    }

    /// Oldest weight version that a model's next job will take: each takes newer ones than
    /// the one before.
    fn next_min(&self, model: &str) -> u64 {
        let fold = self.shared.fold.borrow();
        let jobs = fold.jobs.iter().filter(|job| job.record.model == *model);
        let newest = jobs.max_by_key(|job| job.order);
        newest.map_or(0, |job| job.record.min_version + 1)
    }

    /// Makes items anew that their round will end without, if newer weights have room.
    pub(super) fn renew(&self, deployment: &Deployment, name: &str, board: &mut Board) {
        let fold = self.shared.fold.borrow();
        let own = |job: &&Job| route(deployment, job).is_some_and(|one| service(one, job) == name);
        for job in fold.jobs.open().filter(own) {
            let min = self.next_min(&job.record.model);
            if min <= job.record.min_version {
                continue;
            }
            let Some(end) = self.end(job) else {
                continue;
            };
            for item in &job.record.items {
                let is_old = self
                    .drafts
                    .oldest(&item.id)
                    .is_some_and(|oldest| oldest < min);
                let again = fold.jobs.is_again(job, &item.id);
                let outlasts = self.left(job, item).is_some_and(|left| outlasts(left, end));
                if is_old && !again && outlasts {
                    board.renew(self, &(job.record.id.clone(), item.id.clone()), min);
                }
            }
        }
    }
}
