//! Rules for when a lease may be claimed and used. Pure: instants are passed in.

use std::time::Duration;

use super::record::Incarnation;
use super::state::Lease;
use crate::boot::Boot;

/// Share of the lease duration after which a holder stops using an unrenewed lease.
const HOLD_SHARE: f64 = 0.6;
/// Extra wait of a successor after the holder's deadline, for clock drift and writes in flight.
const CLAIM_MARGIN: Duration = Duration::from_millis(400);

/// Time after which a lease that was never held is claimed. All instances that start together
/// have sent a first heartbeat by then.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(1500);

/// Time from sending a renewal to the holder's deadline.
#[must_use]
pub fn hold_time(lease_time: Duration) -> Duration {
    lease_time.mul_f64(HOLD_SHARE)
}

/// Whether process `me` holds the lease and may still act on it.
///
/// `renewed` is when the last confirmed renewal was sent, and `lease_time` the lease duration.
#[must_use]
pub fn is_held(
    lease: &Lease,
    me: &Incarnation,
    renewed: Boot,
    now: Boot,
    lease_time: Duration,
) -> bool {
    let own = lease.incarnation == *me && !lease.released;
    own && now < renewed + hold_time(lease_time)
}

/// Whether a lease may be claimed.
///
/// `node` is the claimant's instance, `seen` is when the last read that reached the log's end
/// was sent, and `since` is when reads began to succeed. `stagger` is the claimant's own delay,
/// which spreads out competing claims, and `lease_time` is the lease duration.
///
/// An instance runs one process at a time, so a restarted process may claim at once what its
/// predecessor on the same instance held.
#[must_use]
pub fn may_claim(
    lease: Option<&Lease>,
    node: &str,
    seen: Boot,
    since: Boot,
    stagger: Duration,
    lease_time: Duration,
) -> bool {
    match lease {
        None => since + FIRST_CLAIM_DELAY + stagger <= seen,
        Some(lease) if lease.released || lease.node == node => true,
        Some(lease) => {
            lease.last_heard.max(since) + hold_time(lease_time) + CLAIM_MARGIN + stagger < seen
        }
    }
}
