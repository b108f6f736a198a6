//! Whether a log that is read on demand is being followed, and for whom.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    askers: Cell<usize>,
    current: Cell<bool>,
    wake: Notify,
}

/// Those who need a log at the moment. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Interest(Rc<State>);

/// An interest in the log. Dropping it ends it.
#[derive(Debug)]
pub struct Asking(Rc<State>);

impl Drop for Asking {
    fn drop(&mut self) {
        self.0.askers.set(self.0.askers.get().saturating_sub(1));
    }
}

impl Interest {
    /// Has the log followed until the guard is dropped.
    #[must_use]
    pub fn ask(&self) -> Asking {
        self.0.askers.set(self.0.askers.get() + 1);
        self.0.wake.notify_one();
        Asking(Rc::clone(&self.0))
    }

    /// Whether anybody asks.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        self.0.askers.get() > 0
    }

    /// Whether the log's end has been read since it began to be followed.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.0.current.get()
    }

    /// Notes whether what was read of the log reaches its end.
    pub fn set_current(&self, current: bool) {
        self.0.current.set(current);
    }

    /// Waits until somebody asks.
    pub async fn asked(&self) {
        self.0.wake.notified().await;
    }
}
