//! Which engines load new weights now.

use std::time::{Duration, Instant};

/// Failed loads after which an engine is left out for a while.
pub const FAILURES_MAX: u32 = 3;
/// Pause after the first failed load; it doubles with each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(500);
/// Time for which an engine is left out.
const LEFT_OUT: Duration = Duration::from_secs(60);

/// What the decision weighs of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Whether it holds the version that the manifest names.
    pub current: bool,
    /// Whether it holds any usable weights.
    pub serving: bool,
    /// Whether a load is under way.
    pub loading: bool,
    /// Failed loads one after another.
    pub failures: u32,
    /// When it may be ordered again.
    pub retry: Option<Instant>,
}

/// What bounds a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Further loads that the weight store can serve now.
    pub turns: usize,
    /// Share of the pool's engines that must go on serving, in percent.
    pub keep: u64,
}

/// The engines to order now, as indices.
///
/// Engines without usable weights go first: they serve nothing, so their loads cost no
/// capacity. Those that failed before go last. One engine may always load, or a pool of one
/// would never get new weights.
#[must_use]
pub fn wave(engines: &[EngineView], bounds: Bounds, now: Instant) -> Vec<usize> {
    let mut turns = bounds.turns;
    let busy = engines
        .iter()
        .filter(|engine| engine.loading && engine.serving);
    let mut spare = spare(engines.len(), bounds.keep).saturating_sub(busy.count());
    let mut due: Vec<usize> = (0..engines.len())
        .filter(|&index| is_due(&engines[index], now))
        .collect();
    due.sort_by_key(|&index| (engines[index].serving, engines[index].failures));
    let mut chosen = Vec::new();
    for index in due {
        let cost = usize::from(engines[index].serving);
        if turns == 0 || spare < cost {
            break;
        }
        turns -= 1;
        spare -= cost;
        chosen.push(index);
    }
    chosen
}

/// Serving engines that may load at the same time.
fn spare(engines: usize, keep: u64) -> usize {
    let keep = usize::try_from(keep.min(100)).unwrap_or(100);
    let kept = (engines * keep).div_ceil(100);
    (engines - kept).max(1)
}

fn is_due(engine: &EngineView, now: Instant) -> bool {
    let rested = engine.retry.is_none_or(|retry| retry <= now);
    !engine.current && !engine.loading && rested
}

/// When an engine may be ordered again after its `failures`th failed load.
#[must_use]
pub fn retry_at(failures: u32, now: Instant) -> Instant {
    if failures >= FAILURES_MAX {
        return now + LEFT_OUT;
    }
    now + PAUSE_FIRST * 2_u32.pow(failures.saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: EngineView = EngineView {
        current: false,
        serving: true,
        loading: false,
        failures: 0,
        retry: None,
    };
    const LOADING: EngineView = EngineView {
        loading: true,
        ..OLD
    };
    const BOUNDS: Bounds = Bounds { turns: 4, keep: 50 };

    #[test]
    fn wave_keeps_capacity() {
        let now = Instant::now();
        assert_eq!(wave(&[OLD; 4], BOUNDS, now), [0, 1]);
        assert_eq!(wave(&[LOADING, OLD, OLD, OLD], BOUNDS, now), [1]);
        assert!(wave(&[LOADING, LOADING, OLD, OLD], BOUNDS, now).is_empty());
    }

    #[test]
    fn wave_keeps_store_rate() {
        let now = Instant::now();
        assert_eq!(wave(&[OLD; 20], BOUNDS, now).len(), 4);
        let bounds = Bounds { turns: 0, keep: 50 };
        assert!(wave(&[OLD; 20], bounds, now).is_empty());
    }

    #[test]
    fn wave_loads_pool_of_one() {
        let bounds = Bounds {
            turns: 4,
            keep: 100,
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
        let out = EngineView {
            failures: FAILURES_MAX,
            retry: Some(retry_at(FAILURES_MAX, now)),
            ..OLD
        };
        assert_eq!(wave(&[out, OLD, OLD], BOUNDS, now), [1]);
        assert_eq!(wave(&[out], BOUNDS, now + LEFT_OUT), [0]);
    }

    #[test]
    fn retry_pauses_grow() {
        let now = Instant::now();
        assert!(retry_at(1, now) < retry_at(2, now));
        assert!(retry_at(2, now) < retry_at(3, now));
    }
}
