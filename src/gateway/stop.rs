//! Decides which requests an instance still accepts while it shuts down.
//!
//! Callers keep using open connections and addresses that they learned earlier until the process
//! is gone. A request that cannot be answered by then is rejected at once as not run, so that the
//! caller sends it to another instance; cut off midway, it might have run without an answer.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::boot::Boot;
use crate::instance::deployment::Route;

/// Part of the grace period before the process exits in which the last answers are sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Number of recent requests of a route from which its durations are estimated.
const SAMPLE_MAX: usize = 64;
/// Minimum number of recent requests for an estimate.
const SAMPLE_MIN: usize = 16;
/// Factor between the longest recent duration and the time that a request gets.
const DURATION_FACTOR: u32 = 2;

/// When a process that shuts down stops answering, and when it exits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// When requests that are still in flight get their final answer.
    pub answer_by: Boot,
    /// When the process exits, whatever is in flight.
    pub exit_by: Boot,
}

impl StopSchedule {
    /// Returns the schedule of a process that exits by `exit_by`.
    #[must_use]
    pub fn new(exit_by: Boot) -> Self {
        Self {
            answer_by: exit_by - ANSWER_MARGIN,
            exit_by,
        }
    }

    /// Whether a request that arrived at `now` is accepted.
    ///
    /// It is accepted if it ends by `deadline` in time, or if the route's requests took at most
    /// half of the time left lately. `longest` is the duration of the longest of them, if enough
    /// are known and the request may be repeated: any request may turn slower than those before.
    #[must_use]
    pub fn accepts(self, deadline: Boot, longest: Option<Duration>, now: Boot) -> bool {
        let fits = |longest| now + longest * DURATION_FACTOR <= self.answer_by;
        deadline <= self.answer_by || longest.is_some_and(fits)
    }
}

/// Durations of a route's requests.
#[derive(Debug, Default)]
struct RouteTimes {
    recent: VecDeque<Duration>,
    /// Arrival times of the requests in flight, with a number that tells equal times apart.
    running: BTreeSet<(Boot, u64)>,
}

/// Durations of recent requests and requests in flight, by route; clones share state.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    routes: Rc<RefCell<HashMap<String, RouteTimes>>>,
    next: Rc<Cell<u64>>,
}

/// Measures a request until the guard is dropped.
#[derive(Debug)]
pub struct Timer {
    durations: Durations,
    route: Rc<Route>,
    request: (Boot, u64),
}

impl Drop for Timer {
    fn drop(&mut self) {
        let took = Boot::now().since(self.request.0);
        let mut routes = self.durations.routes.borrow_mut();
        let Some(times) = routes.get_mut(&self.route.name) else {
            return;
        };
        times.running.remove(&self.request);
        times.record(took);
    }
}

impl RouteTimes {
    fn record(&mut self, took: Duration) {
        if self.recent.len() == SAMPLE_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(took);
    }

    /// The longest duration; requests in flight count with their time so far.
    fn longest(&self, now: Boot) -> Option<Duration> {
        if self.recent.len() + self.running.len() < SAMPLE_MIN {
            return None;
        }
        let oldest = self.running.first().map(|(arrived, _)| now.since(*arrived));
        self.recent.iter().copied().chain(oldest).max()
    }
}

impl Durations {
    /// Starts measuring a request of a route.
    #[must_use]
    pub fn start(&self, route: &Rc<Route>, arrived: Boot) -> Timer {
        let number = self.next.get();
        self.next.set(number + 1);
        let request = (arrived, number);
        let mut routes = self.routes.borrow_mut();
        if !routes.contains_key(&route.name) {
            routes.insert(route.name.clone(), RouteTimes::default());
        }
        if let Some(times) = routes.get_mut(&route.name) {
            times.running.insert(request);
        }
        Timer {
            durations: self.clone(),
            route: Rc::clone(route),
            request,
        }
    }

    /// The longest duration of a route's recent requests, if enough are known.
    #[must_use]
    pub fn longest(&self, route: &str, now: Boot) -> Option<Duration> {
        self.routes.borrow().get(route)?.longest(now)
    }

    /// Forgets routes that do not exist any more.
    pub fn retain(&self, exists: impl Fn(&str) -> bool) {
        let mut routes = self.routes.borrow_mut();
        routes.retain(|route, times| !times.running.is_empty() || exists(route));
    }
}
