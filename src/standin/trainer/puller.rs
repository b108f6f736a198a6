//! Pulls one round for one trainer, across sessions.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::Method;

use crate::util::millis;
use crate::wire::{Pull, Pulled, Sample, SessionOpen, SessionOpened, Slot};

use super::super::engine::sample_token;
use super::report::Step;
use super::{RETRY_DELAY, Shared};

/// Time within which a round must be complete.
const ROUND_TIMEOUT: Duration = Duration::from_secs(300);
/// Long-poll timeout of a pull in milliseconds.
const PULL_WAIT_MS: u64 = 2_000;
/// Most samples of one pull.
const PULL_MAX: u32 = 64;

/// One trainer's progress in a round.
pub(super) struct Puller {
    shared: Arc<Shared>,
    round: String,
    /// Number of the control daemon to call, modulo their count.
    turn: usize,
    session: Option<String>,
    seq: u64,
    missing: u32,
    /// Samples received, by group and index of their slot.
    held: BTreeMap<(u32, u32), Sample>,
    step: Step,
}

impl Puller {
    /// Starts a round without samples; the first session is at control daemon `turn`.
    pub fn new(shared: Arc<Shared>, round: &str, turn: usize) -> Self {
        let slots = shared.args.groups * shared.args.samples;
        Self {
            round: round.to_owned(),
            turn,
            session: None,
            seq: 0,
            missing: slots,
            held: BTreeMap::new(),
            step: Step::default(),
            shared,
        }
    }

    /// Pulls until the round is complete or `ROUND_TIMEOUT` has passed.
    ///
    /// Samples that were not received in time are counted as missing and are not an error.
    pub async fn pull_all(mut self) -> io::Result<Step> {
        let start = Instant::now();
        let half = self.missing / 2;
        let mut last_error = None;
        while self.missing > 0 && start.elapsed() < ROUND_TIMEOUT {
            let done = match self.session.clone() {
                Some(session) => self.pull(&session).await,
                None => self.open().await,
            };
            if self.missing <= half && self.step.half_ms == 0 {
                self.step.half_ms = millis(start.elapsed());
            }
            if let Err(error) = done {
                self.session = None;
                self.turn += 1;
                self.step.reopened += 1;
                last_error = Some(error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if let (true, Some(error)) = (self.missing > 0, last_error) {
            eprintln!(
                "round {}: {} samples are missing, last error: {error}",
                self.round, self.missing
            );
        }
        self.step.wait_ms = millis(start.elapsed());
        self.step.missing = self.missing;
        self.step.floor_ms = self.step.longest * self.shared.args.token_ms;
        self.close().await;
        Ok(self.step)
    }

    fn url(&self, path: &str) -> String {
        let control = self.shared.control(self.turn);
        format!("{control}/v1/rounds/sessions{path}")
    }

    async fn open(&mut self) -> io::Result<()> {
        let slot = |&(group, index): &(u32, u32)| Slot { group, index };
        let open = SessionOpen {
            held: self.held.keys().map(slot).collect(),
            round: self.round.clone(),
        };
        let url = self.url("");
        let key = &self.shared.key;
        let opened: SessionOpened = self.shared.call(Method::POST, &url, key, &open).await?;
        self.session = Some(opened.session);
        self.seq = 0;
        self.missing = opened.missing;
        Ok(())
    }

    async fn pull(&mut self, session: &str) -> io::Result<()> {
        let pull = Pull {
            max: PULL_MAX,
            seq: self.seq + 1,
            version: self.shared.version.load(Ordering::Relaxed),
            wait_ms: PULL_WAIT_MS,
        };
        let url = self.url(&format!("/{session}/pull"));
        let key = &self.shared.key;
        let pulled: Pulled = self.shared.call(Method::POST, &url, key, &pull).await?;
        self.seq = pulled.seq;
        self.missing = pulled.missing;
        for sample in pulled.samples {
            self.check_sample(sample, pull.version);
        }
        Ok(())
    }

    /// Checks a sample against the text that the engines generate, and counts it.
    fn check_sample(&mut self, sample: Sample, version: u64) {
        let (text, tokens) = expected_text(&sample);
        let oldest = sample.segments.iter().map(|segment| segment.version).min();
        let age = version.saturating_sub(oldest.unwrap_or(version));
        let step = &mut self.step;
        *step.staleness.entry(age).or_default() += 1;
        step.tokens += tokens;
        step.longest = step.longest.max(tokens);
        step.too_old += u32::from(age > self.shared.args.staleness);
        step.false_segments += u32::from(text != sample.text);
        step.crossed_swap += u32::from(sample.segments.len() > 1);
        let slot = (sample.slot.group, sample.slot.index);
        let known = self.held.insert(slot, sample);
        step.doubled += u32::from(known.is_some());
    }

    async fn close(&self) {
        if let Some(session) = &self.session {
            let url = self.url(&format!("/{session}"));
            let key = &self.shared.key;
            // A session that is not closed expires when idle.
            let _ = self.shared.call::<()>(Method::DELETE, &url, key, &()).await;
        }
    }
}

/// Returns the text expected from the sample's versions, and its number of tokens.
fn expected_text(sample: &Sample) -> (String, u64) {
    let mut text = String::new();
    let mut index = 0;
    for segment in &sample.segments {
        for _ in 0..segment.tokens {
            text.push_str(&sample_token(&sample.id, segment.version, index));
            index += 1;
        }
    }
    (text, index as u64)
}
