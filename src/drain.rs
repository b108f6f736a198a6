//! Graceful shutdown: counts work in flight and waits for it before a daemon exits.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Time without work in flight before a daemon exits, so that the last bytes of its responses
/// are written.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Interval at which the count of work in flight is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts a daemon's work in flight and holds its shutdown state.
#[derive(Debug)]
pub struct Drain {
    active: AtomicUsize,
    closed: AtomicBool,
    leaving: watch::Sender<bool>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            active: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            leaving: watch::Sender::new(false),
        }
    }
}

/// A guard for one unit of work in flight; dropping it decrements the count.
#[derive(Debug)]
pub struct Active(Arc<Drain>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain {
    /// Counts new work; returns `None` once [`Drain::close`] was called.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<Active> {
        let active = self.hold();
        (!self.closed.load(Ordering::SeqCst)).then_some(active)
    }

    /// Counts part of work already in flight, also after [`Drain::close`].
    #[must_use]
    pub fn hold(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::SeqCst);
        Active(Arc::clone(self))
    }

    /// The number of units of work in flight.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Watches whether the daemon is leaving.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Whether the daemon is leaving; it accepts new work until [`Drain::close`].
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Marks the daemon as leaving and notifies watchers.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Stops accepting new work.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Waits for a quiet period or `deadline`; returns the work still in flight.
    pub async fn finish(&self, deadline: Instant) -> usize {
        let mut quiet_until = Instant::now() + QUIET_PERIOD;
        loop {
            let now = Instant::now();
            let active = self.active();
            if active > 0 {
                quiet_until = now + QUIET_PERIOD;
            }
            if now >= quiet_until || now >= deadline {
                return active;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn finish_waits_for_active() {
        let drain = Arc::new(Drain::default());
        let active = drain.enter().expect("open");
        drain.leave();
        assert!(drain.enter().is_some(), "a leaving daemon accepts work");
        drain.close();
        assert!(drain.enter().is_none());
        let short = Instant::now() + Duration::from_millis(30);
        assert_eq!(drain.finish(short).await, 1);
        drop(active);
        let long = Instant::now() + Duration::from_secs(30);
        assert_eq!(drain.finish(long).await, 0);
    }
}
