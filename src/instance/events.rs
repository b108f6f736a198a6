//! Structured log lines on standard output, rate-limited and never blocking.

use std::cell::RefCell;
use std::fmt::Write as _;

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use crate::boot::Boot;

/// Maximum log lines per second; lines beyond that are dropped, and their count is logged.
const LINES_PER_S: f64 = 120.0;
/// Lines that may be written at once after an idle period.
const BURST: f64 = 400.0;

/// Token bucket that limits the rate of log lines.
struct RateLimiter {
    credit: f64,
    refilled: Boot,
    dropped: u64,
}

thread_local! {
    static LIMITER: RefCell<RateLimiter> = const {
        RefCell::new(RateLimiter { credit: BURST, refilled: Boot::START, dropped: 0 })
    };
}

/// Makes standard output non-blocking, so that a slow reader loses lines instead of
/// stalling the process.
pub fn init() {
    let out = rustix::stdio::stdout();
    let flags = fcntl_getfl(out).unwrap_or(OFlags::empty());
    if let Err(error) = fcntl_setfl(out, flags | OFlags::NONBLOCK) {
        event!("log_blocking", "error" => error);
    }
}

/// Admits a line if the rate allows, and returns the number of lines dropped before it.
fn admit(now: Boot) -> Option<u64> {
    LIMITER.with_borrow_mut(|limiter| {
        let gained = now.since(limiter.refilled).as_secs_f64() * LINES_PER_S;
        limiter.refilled = now;
        limiter.credit = (limiter.credit + gained).min(BURST);
        if limiter.credit < 1.0 {
            limiter.dropped += 1;
            return None;
        }
        limiter.credit -= 1.0;
        Some(std::mem::take(&mut limiter.dropped))
    })
}

/// Writes one log line: a JSON object with the event's name and fields.
pub fn write(name: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
    let Some(dropped) = admit(Boot::now()) else {
        return;
    };
    let mut line = format!("{{\"t\":{},\"event\":\"{name}\"", crate::util::unix_ms());
    for (key, value) in fields {
        let text = serde_json::Value::String(value.to_string());
        let _ = write!(line, ",\"{key}\":{text}");
    }
    if dropped > 0 {
        let _ = write!(line, ",\"dropped\":{dropped}");
    }
    line.push_str("}\n");
    let written = rustix::io::write(rustix::stdio::stdout(), line.as_bytes());
    if written.is_err() {
        LIMITER.with_borrow_mut(|limiter| limiter.dropped += 1 + dropped);
    }
}

macro_rules! event {
    ($name:expr $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::instance::events::write($name, &[$(($key, &$value as &dyn std::fmt::Display)),*])
    };
}
pub(crate) use event;
