//! Structured log lines on standard output: bounded in volume, never blocking.

use std::cell::RefCell;
use std::fmt::Write as _;

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use crate::boot::Boot;

/// Lines a second that a process writes at most; more are counted, and the count is written.
const LINES_PER_S: f64 = 120.0;
/// Lines that may be written at once after a quiet time.
const BURST: f64 = 400.0;

struct Gate {
    credit: f64,
    filled: Boot,
    dropped: u64,
}

thread_local! {
    static GATE: RefCell<Gate> = const {
        RefCell::new(Gate { credit: BURST, filled: Boot::START, dropped: 0 })
    };
}

/// Makes standard output drop lines when its reader is slow.
pub fn init() {
    let out = rustix::stdio::stdout();
    let flags = fcntl_getfl(out).unwrap_or(OFlags::empty());
    if let Err(error) = fcntl_setfl(out, flags | OFlags::NONBLOCK) {
        event!("log_blocking", "error" => error);
    }
}

fn admit(now: Boot) -> Option<u64> {
    GATE.with_borrow_mut(|gate| {
        let gained = now.since(gate.filled).as_secs_f64() * LINES_PER_S;
        gate.filled = now;
        gate.credit = (gate.credit + gained).min(BURST);
        if gate.credit < 1.0 {
            gate.dropped += 1;
            return None;
        }
        gate.credit -= 1.0;
        Some(std::mem::take(&mut gate.dropped))
    })
}

/// Writes one line with named fields.
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
        GATE.with_borrow_mut(|gate| gate.dropped += 1 + dropped);
    }
}

macro_rules! event {
    ($name:expr $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::instance::events::write($name, &[$(($key, &$value as &dyn std::fmt::Display)),*])
    };
}
pub(crate) use event;
