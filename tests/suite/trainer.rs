//! A trainer for tests that pulls rounds and checks every sample.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basillead::standin::engine::sample_token;
use basillead::wire::{Pull, Pulled, Sample, SessionOpen, SessionOpened, Slot};
use http::{Method, StatusCode};

use crate::workdir::{WAIT_TIMEOUT, Workdir};

/// A trainer and the samples that it holds of one round.
pub struct Trainer<'a> {
    dir: &'a Workdir,
    key: String,
    round: String,
    control: usize,
    controls: usize,
    session: Option<String>,
    seq: u64,
    pub version: u64,
    pub staleness: u64,
    pub held: BTreeMap<(u32, u32), Sample>,
    pub missing: u32,
}

impl<'a> Trainer<'a> {
    pub fn new(dir: &'a Workdir, key: &str, round: &str, controls: usize) -> Self {
        Self {
            dir,
            key: key.to_owned(),
            round: round.to_owned(),
            control: 0,
            controls,
            session: None,
            seq: 0,
            version: 1,
            staleness: 1,
            held: BTreeMap::new(),
            missing: u32::MAX,
        }
    }

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Option<(StatusCode, Vec<u8>)> {
        let url = format!(
            "{}/v1/rounds/sessions{path}",
            self.dir.control_url(self.control)
        );
        let body = serde_json::to_string(body).expect("JSON");
        let answer = self
            .dir
            .call(Method::POST, &url, Some(&self.key), &[], &body)?;
        Some((answer.status(), answer.body().to_vec()))
    }

    /// Opens a session and sends the slots that are held already.
    pub fn open(&mut self) -> Option<StatusCode> {
        let slot = |&(group, index): &(u32, u32)| Slot { group, index };
        let open = SessionOpen {
            held: self.held.keys().map(slot).collect(),
            round: self.round.clone(),
        };
        let (status, body) = self.post("", &open)?;
        if status.is_success() {
            let opened: SessionOpened = serde_json::from_slice(&body).expect("SessionOpened");
            self.session = Some(opened.session);
            self.seq = 0;
            self.missing = opened.missing;
        }
        Some(status)
    }

    /// Sends the next pull and returns the raw answer without changing the trainer's state.
    pub fn pull_raw(&self, max: u32, wait_ms: u64) -> Option<(StatusCode, Vec<u8>)> {
        let pull = Pull {
            max,
            seq: self.seq + 1,
            version: self.version,
            wait_ms,
        };
        let session = self.session.as_deref().expect("a session");
        self.post(&format!("/{session}/pull"), &pull)
    }

    /// Pulls once and checks each sample; returns the status, or none without an answer.
    pub fn pull(&mut self, max: u32) -> Option<StatusCode> {
        let (status, body) = self.pull_raw(max, 500)?;
        if !status.is_success() {
            return Some(status);
        }
        let pulled: Pulled = serde_json::from_slice(&body).expect("Pulled");
        assert_eq!(pulled.seq, self.seq + 1);
        self.seq = pulled.seq;
        self.missing = pulled.missing;
        for sample in pulled.samples {
            self.check_sample(sample);
        }
        Some(status)
    }

    fn check_sample(&mut self, sample: Sample) {
        assert_eq!(
            sample.text,
            expected_text(&sample),
            "the text does not match the segments' versions: {sample:?}"
        );
        let oldest = sample.segments.iter().map(|segment| segment.version).min();
        let oldest = oldest.expect("segments");
        assert!(
            self.version.saturating_sub(oldest) <= self.staleness,
            "sample of version {oldest} is too old for a trainer at {}",
            self.version
        );
        let slot = (sample.slot.group, sample.slot.index);
        let earlier = self.held.insert(slot, sample);
        assert!(earlier.is_none(), "slot {slot:?} was received twice");
    }

    /// Pulls until the round is complete; fails over to the next control daemon on errors.
    ///
    /// Calls `after_attempt` after each call to a control daemon.
    pub fn finish(&mut self, mut after_attempt: impl FnMut(&mut Self)) {
        let until = Instant::now() + 3 * WAIT_TIMEOUT;
        while self.missing > 0 {
            assert!(
                Instant::now() < until,
                "{} samples are missing",
                self.missing
            );
            let status = match self.session {
                Some(_) => self.pull(16),
                None => self.open(),
            };
            if !status.is_some_and(|status| status.is_success()) {
                self.session = None;
                self.control = (self.control + 1) % self.controls;
                std::thread::sleep(Duration::from_millis(50));
            }
            after_attempt(self);
        }
    }
}

/// Returns the text that engines generate with the versions of the sample's segments.
fn expected_text(sample: &Sample) -> String {
    let mut text = String::new();
    let mut index = 0;
    for segment in &sample.segments {
        for _ in 0..segment.tokens {
            text.push_str(&sample_token(&sample.id, segment.version, index));
            index += 1;
        }
    }
    text
}
