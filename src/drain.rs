//! Graceful shutdown of a daemon: what runs is counted, and finished before it ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Time for which nothing may run before a daemon ends; last bytes are written in it.
const QUIET: Duration = Duration::from_millis(300);
/// Time between two looks at what runs.
const POLL: Duration = Duration::from_millis(20);

/// Counts what runs in a daemon, and says whether it is leaving.
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

/// Something that runs. Dropping it ends its count.
#[derive(Debug)]
pub struct Active(Arc<Drain>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain {
    /// Counts something that begins; none once the daemon takes nothing new.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<Active> {
        let active = self.hold();
        (!self.closed.load(Ordering::SeqCst)).then_some(active)
    }

    /// Counts a part of something that runs already.
    #[must_use]
    pub fn hold(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::SeqCst);
        Active(Arc::clone(self))
    }

    /// What runs now.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Watches whether the daemon is leaving.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Whether the daemon is leaving; it may still take new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// States that the daemon is leaving.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Takes nothing new from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Waits until nothing runs, or until `deadline`; returns what still runs.
    pub async fn finish(&self, deadline: Instant) -> usize {
        let mut quiet = Instant::now() + QUIET;
        loop {
            let now = Instant::now();
            let active = self.active();
            if active > 0 {
                quiet = now + QUIET;
            }
            if now >= quiet || now >= deadline {
                return active;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn drain_waits_for_what_runs() {
        let drain = Arc::new(Drain::default());
        let active = drain.enter().expect("open");
        drain.leave();
        assert!(drain.enter().is_some(), "a leaving daemon takes work");
        drain.close();
        assert!(drain.enter().is_none());
        let short = Instant::now() + Duration::from_millis(30);
        assert_eq!(drain.finish(short).await, 1);
        drop(active);
        let long = Instant::now() + Duration::from_secs(30);
        assert_eq!(drain.finish(long).await, 0);
    }
}
