//! Writes this instance's demand for servers that limit all instances together.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::events::event;
use crate::boot::Boot;

/// Shortest time between two looks at the demand, unless a service is new to it.
const POLL_MIN: Duration = Duration::from_millis(100);

/// Writes the demand and keeps it valid while there is any; never returns.
///
/// The log is followed for as long, so that this instance knows its part of the limits.
pub async fn run(shared: Rc<Shared>) {
    let mut following = None;
    loop {
        let now = Boot::now();
        let (due, next) = {
            let mut limits = shared.limits.borrow_mut();
            // Records must not pile up while the store is away.
            let is_idle = shared.demand_writer.is_idle();
            let due = is_idle.then(|| limits.due(now)).flatten();
            (due, limits.next_due())
        };
        if let Some(record) = due {
            let demands = format!("{:?}", record.demands);
            event!("demand", "number" => record.number, "demands" => demands);
            following.get_or_insert_with(|| shared.demands_interest.acquire());
            // The record is read back from the log, which confirms it.
            drop(shared.demand_writer.push(&record));
        }
        let Some(next) = next else {
            following = None;
            shared.demand_due.notified().await;
            continue;
        };
        // The demand is looked at again at `next`, or earlier if a service is new to it.
        let left = next.left(now).max(POLL_MIN);
        let _ = timeout(left, shared.demand_due.notified()).await;
    }
}
