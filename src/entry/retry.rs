//! The retry budget, which bounds an entry's retries to a share of its first attempts.

use parking_lot::Mutex;

/// Retries earned by each first attempt.
const RETRY_RATIO: f64 = 0.08;
/// Capacity of the bucket, in retries.
const SAVED_MAX: f64 = 16.0;

/// A token bucket filled by first attempts and emptied by retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl Budget {
    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(SAVED_MAX);
    }

    /// Takes one retry; false if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let left = self.saved >= 1.0;
        if left {
            self.saved -= 1.0;
        }
        left
    }
}

/// The retry budget that all requests of one entry share.
#[derive(Debug, Default)]
pub struct RetryBudget {
    budget: Mutex<Budget>,
}

impl RetryBudget {
    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&self) {
        self.budget.lock().earn();
    }

    /// Takes one retry; false if none is left.
    #[must_use]
    pub fn spend(&self) -> bool {
        self.budget.lock().spend()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spend_bounds_attempts_when_all_fail() {
        let mut budget = Budget::default();
        let mut attempts = 0;
        for _ in 0..1_000 {
            budget.earn();
            attempts += 1;
            while budget.spend() {
                attempts += 1;
            }
        }
        assert!(attempts <= 1_100, "{attempts}");
    }

    #[test]
    fn spend_allows_saved_retries() {
        let mut budget = Budget::default();
        let spent = std::iter::repeat_with(|| budget.spend()).take_while(|left| *left);
        assert_eq!(spent.count(), 16);
    }
}
