//! A clock that goes on while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// An instant of the boot-time clock.
///
/// `std::time::Instant` stands still while a machine is suspended, so nothing that was true
/// for a limited time may be judged by it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Boot(Duration);

impl Boot {
    /// The start of the clock.
    pub const START: Self = Self(Duration::ZERO);

    /// The present instant.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(secs, nanos))
    }

    /// An instant at a distance from the clock's start, for replays.
    #[must_use]
    pub fn at(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Time since an earlier instant; zero if it is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time left until `self`, counted from `now`; zero if it has passed.
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
