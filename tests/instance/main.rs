//! Tests of an instance's decisions, without sockets.

mod admit;
mod carried;
mod crashes;
mod drafts;
mod event_boundary;
mod evict;
mod fleet;
mod job_memory;
mod leases;
mod ledger_state;
mod limit;
mod load;
mod look_ahead;
mod origins;
mod outage;
mod rounds;
mod sample;
mod stop;
mod stragglers;
mod submission;
mod traffic;
mod writer;
mod zone;

use std::time::Duration;

use basillead::boot::Boot;

/// The instant `ms` milliseconds after the clock's start.
fn at(ms: u64) -> Boot {
    Boot::at(Duration::from_millis(ms))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
