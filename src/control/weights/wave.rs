//! Choice of the engines that load new weights now.

use std::time::{Duration, Instant};

/// Consecutive failed loads after which an engine is left out for a while.
pub const FAILURES_MAX: u32 = 3;
/// Backoff after the first failed load; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Time for which an engine is left out after `FAILURES_MAX` failed loads.
const EXCLUSION: Duration = Duration::from_secs(60);

/// State of an engine that decides whether it may load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Whether the engine needs no load, usually because it holds the manifest's version.
    pub current: bool,
    /// Whether the engine holds any usable weights.
    pub serving: bool,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// Consecutive failed loads.
    pub failures: u32,
    /// Time before which no load may be ordered.
    pub not_before: Option<Instant>,
}

/// Limits of a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Additional loads that the weight store can serve now.
    pub loads: usize,
    /// Share of the pool's engines that must continue to serve, in percent.
    pub keep_percent: u64,
}

/// Chooses the engines that load now, as indices into `engines`.
///
/// Engines without usable weights go first: they serve nothing, so their loads cost no
/// capacity. Within both groups, engines with fewer failed loads go first. One serving engine
/// may always load; otherwise a pool of one engine would never get new weights.
#[must_use]
pub fn wave(engines: &[EngineView], bounds: Bounds, now: Instant) -> Vec<usize> {
    let mut loads = bounds.loads;
    let unavailable = engines
        .iter()
        .filter(|engine| engine.loading && engine.serving);
    let mut budget =
        max_unavailable(engines.len(), bounds.keep_percent).saturating_sub(unavailable.count());
    let mut due: Vec<usize> = (0..engines.len())
        .filter(|&index| may_load(&engines[index], now))
        .collect();
    due.sort_by_key(|&index| (engines[index].serving, engines[index].failures));
    let mut chosen = Vec::new();
    for index in due {
        let cost = usize::from(engines[index].serving);
        if loads == 0 || budget < cost {
            break;
        }
        loads -= 1;
        budget -= cost;
        chosen.push(index);
    }
    chosen
}

/// Number of serving engines that may load at the same time.
fn max_unavailable(engines: usize, keep_percent: u64) -> usize {
    let keep_percent = usize::try_from(keep_percent.min(100)).unwrap_or(100);
    let kept = (engines * keep_percent).div_ceil(100);
    (engines - kept).max(1)
}

fn may_load(engine: &EngineView, now: Instant) -> bool {
    let backoff_over = engine.not_before.is_none_or(|time| time <= now);
    !engine.current && !engine.loading && backoff_over
}

/// Time of the next attempt after `failures` consecutive failed loads.
#[must_use]
pub fn retry_at(failures: u32, now: Instant) -> Instant {
    if failures >= FAILURES_MAX {
        return now + EXCLUSION;
    }
    now + BACKOFF_MIN * 2_u32.pow(failures.saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: EngineView = EngineView {
        current: false,
        serving: true,
        loading: false,
        failures: 0,
        not_before: None,
    };
    const LOADING: EngineView = EngineView {
        loading: true,
        ..OLD
    };
    const BOUNDS: Bounds = Bounds {
        loads: 4,
        keep_percent: 50,
    };

    #[test]
    fn wave_keeps_capacity() {
        let now = Instant::now();
        assert_eq!(wave(&[OLD; 4], BOUNDS, now), [0, 1]);
        assert_eq!(wave(&[LOADING, OLD, OLD, OLD], BOUNDS, now), [1]);
        assert!(wave(&[LOADING, LOADING, OLD, OLD], BOUNDS, now).is_empty());
    }

    #[test]
    fn wave_keeps_load_limit() {
        let now = Instant::now();
        assert_eq!(wave(&[OLD; 20], BOUNDS, now).len(), 4);
        let bounds = Bounds {
            loads: 0,
            keep_percent: 50,
        };
        assert!(wave(&[OLD; 20], bounds, now).is_empty());
    }

    #[test]
    fn wave_loads_pool_of_one() {
        let bounds = Bounds {
            loads: 4,
            keep_percent: 100,
        };
        assert_eq!(wave(&[OLD], bounds, Instant::now()), [0]);
    }

    #[test]
    fn wave_prefers_engines_without_weights() {
        let empty = EngineView {
            serving: false,
            ..OLD
        };
        let engines = [OLD, OLD, empty, empty];
        assert_eq!(wave(&engines, BOUNDS, Instant::now()), [2, 3, 0, 1]);
    }

    #[test]
    fn wave_leaves_out_failing() {
        let now = Instant::now();
        let failing = EngineView {
            failures: FAILURES_MAX,
            not_before: Some(retry_at(FAILURES_MAX, now)),
            ..OLD
        };
        assert_eq!(wave(&[failing, OLD, OLD], BOUNDS, now), [1]);
        assert_eq!(wave(&[failing], BOUNDS, now + EXCLUSION), [0]);
    }

    #[test]
    fn retry_backoff_grows() {
        let now = Instant::now();
        assert!(retry_at(1, now) < retry_at(2, now));
        assert!(retry_at(2, now) < retry_at(3, now));
    }
}
