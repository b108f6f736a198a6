//! When a lease may be claimed and used; pure, with instants passed in.

use std::time::Duration;

use super::fold::Lease;
use super::record::Incarnation;
use crate::boot::Boot;

/// Share of the stated lease time after which a holder stops using an unrenewed lease.
const HOLD_SHARE: f64 = 0.6;
/// What a successor waits beyond the holder's deadline, for clocks that drift and writes under way.
const MARGIN: Duration = Duration::from_millis(400);

/// Time after which a lease that nobody ever held is claimed: all instances that start
/// together have shown themselves by then.
const FIRST: Duration = Duration::from_millis(1500);

/// Time from the sending of a renewal to the holder's deadline.
#[must_use]
pub fn hold(lease: Duration) -> Duration {
    lease.mul_f64(HOLD_SHARE)
}

/// Whether the holder may still act, its last confirmed renewal having been sent at `renewed`.
#[must_use]
pub fn is_held(lease: &Lease, me: &Incarnation, renewed: Boot, now: Boot, span: Duration) -> bool {
    let own = lease.incarnation == *me && !lease.released;
    own && now < renewed + hold(span)
}

/// Whether a lease may be claimed.
///
/// `node` is the claimant's instance, `seen` when the read was sent that last showed the
/// log's end, `since` when reads began to succeed, and `stagger` keeps claimants apart.
///
/// An instance runs one process, so whatever its instance held before its start is free.
#[must_use]
pub fn may_claim(
    lease: Option<&Lease>,
    node: &str,
    seen: Boot,
    since: Boot,
    stagger: Duration,
    span: Duration,
) -> bool {
    match lease {
        None => since + FIRST + stagger <= seen,
        Some(lease) if lease.released || lease.node == node => true,
        Some(lease) => lease.heard.max(since) + hold(span) + MARGIN + stagger < seen,
    }
}
