//! The boot-time clock, which keeps running while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// An instant of the boot-time clock (`CLOCK_BOOTTIME`).
///
/// `std::time::Instant` stops while the machine is suspended, so expiry must not be
/// measured with it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Boot(Duration);

impl Boot {
    /// The start of the clock.
    pub const START: Self = Self(Duration::ZERO);

    /// The current instant.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(secs, nanos))
    }

    /// The instant `since_start` after the clock's start, for replays.
    #[must_use]
    pub fn at(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time remaining from `now` until `self`; zero if `self` has passed.
    #[must_use]
    pub fn left(self, now: Self) -> Duration {
        self.0.saturating_sub(now.0)
    }
}

impl std::ops::Add<Duration> for Boot {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl std::ops::Sub<Duration> for Boot {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
