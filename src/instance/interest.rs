//! Tracks who currently needs a log that is followed only on demand.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    users: Cell<usize>,
    current: Cell<bool>,
    wake: Notify,
}

/// Counts the current users of a log that is followed on demand; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Interest(Rc<State>);

/// Guard that keeps the log followed until dropped.
#[derive(Debug)]
pub struct InterestGuard(Rc<State>);

impl Drop for InterestGuard {
    fn drop(&mut self) {
        self.0.users.set(self.0.users.get().saturating_sub(1));
    }
}

impl Interest {
    /// Registers a user: the log is followed until the guard is dropped.
    #[must_use]
    pub fn acquire(&self) -> InterestGuard {
        self.0.users.set(self.0.users.get() + 1);
        self.0.wake.notify_one();
        InterestGuard(Rc::clone(&self.0))
    }

    /// Whether the log has any user.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.0.users.get() > 0
    }

    /// Whether the log has been read to its end since following began.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.0.current.get()
    }

    /// Sets whether the log has been read to its end.
    pub fn set_current(&self, current: bool) {
        self.0.current.set(current);
    }

    /// Waits until a user registers.
    pub async fn wait_needed(&self) {
        self.0.wake.notified().await;
    }
}
