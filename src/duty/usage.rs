//! Reports usage to the platform. A window's counts are fixed in the log before they are sent,
//! so that every report of the window has the same counts.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::CALL_TIMEOUT;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::counters::write_interval;
use crate::instance::events::event;
use crate::instance::interfaces::PlatformReply;
use crate::instance::leases::HEARTBEAT_TIMEOUT;
use crate::ledger::record::{Record, Subject};
use crate::util::{millis, unix_ms};

/// Interval between checks of the usage windows.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a window's end until its last requests are counted.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Share of the report's time limit after which a window is fixed even if counters are missing.
const WAIT_SHARE: f64 = 0.7;
/// Number of past windows that are checked.
const WINDOWS_BACK: u64 = 4;

/// Whether a window that ended `since_end` ago may be fixed.
///
/// `behind` tells whether a live instance may not have written its last counters yet, and `due`
/// is the time limit of the report, from the window's end.
#[must_use]
pub fn may_fix(since_end: Duration, behind: bool, due: Duration) -> bool {
    since_end > SETTLE_TIME && (!behind || since_end > due.mul_f64(WAIT_SHARE))
}

/// Runs forever: fixes and reports windows while the usage lease is held.
pub async fn run(shared: Rc<Shared>) {
    let length = millis(shared.settings.bounds.window).max(1);
    // The usage window in which the duty began to run.
    let mut first = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = unix_ms();
        let first = *first.get_or_insert(now / length);
        if shared.usable_lease(&Subject::Usage, Boot::now()).is_none() {
            continue;
        }
        let present = now / length;
        let start = (present.saturating_sub(WINDOWS_BACK)).max(first.saturating_sub(1));
        for window in start..present {
            fix_or_report(&shared, window, now, length).await;
        }
    }
}

/// Fixes a window, or reports it once it is fixed.
async fn fix_or_report(shared: &Shared, window: u64, now: u64, length: u64) {
    let fixed = shared.ledger.borrow().windows.get(&window).cloned();
    match fixed {
        None => fix(shared, window, now, length).await,
        Some((counts, false)) => {
            let Some(platform) = &shared.platform else {
                return;
            };
            let Some(holder) = shared.usable_lease(&Subject::Usage, Boot::now()) else {
                return;
            };
            let reply = timeout(CALL_TIMEOUT, platform.report(&holder, window, &counts)).await;
            let reply = reply.unwrap_or(PlatformReply::Later);
            event!("usage_report", "window" => window, "fence" => holder.fence,
                "counts" => format!("{counts:?}"), "reply" => format!("{reply:?}"));
            if reply != PlatformReply::Later {
                drop(shared.writer.push(&Record::Reported { window }));
                if let Some(known) = shared.ledger.borrow_mut().windows.get_mut(&window) {
                    known.1 = true;
                }
            }
        }
        Some((_, true)) => {}
    }
}

/// Writes the counts of a window to the ledger, unless counters may still be missing.
async fn fix(shared: &Shared, window: u64, now: u64, length: u64) {
    let end = (window + 1) * length;
    let since_end = Duration::from_millis(now.saturating_sub(end));
    let record = {
        let write_interval = write_interval(shared.instances());
        let last_read = shared.contacts.borrow().counters.last_read;
        let Some(read_age) = last_read.map(|seen| Boot::now().since(seen)) else {
            return;
        };
        let counters = shared.counters.borrow();
        let settled = end + millis(SETTLE_TIME);
        let behind = counters.is_behind(
            window,
            settled,
            Boot::now(),
            HEARTBEAT_TIMEOUT.max(write_interval * 2),
        );
        // An instance writes its last counters within one write interval after the window settled,
        // and the log must have been read since then.
        let written_after = SETTLE_TIME + write_interval;
        let behind = behind || since_end < written_after + read_age;
        if !may_fix(since_end, behind, shared.settings.bounds.report_due) {
            return;
        }
        Record::Window {
            window,
            counts: counters.counts(window),
        }
    };
    // The window is reported only after its record has been read back from the log.
    let written = timeout(Duration::from_secs(1), shared.writer.push(&record)).await;
    event!("usage_fixed", "window" => window, "since_end_ms" => since_end.as_millis(),
        "written" => matches!(written, Ok(Ok(_))));
    let _ = timeout(CHECK_INTERVAL, shared.state_changed.notified()).await;
}
