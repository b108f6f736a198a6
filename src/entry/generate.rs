//! One generation: an engine's answer, resumed on another server when it breaks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::RetryPolicy;
use crate::names::{Fingerprint, Model, Pool, ServerId, Tenant};
use crate::wire::{EngineChunk, EngineRequest, Run, Segment};

use super::Entry;
use super::eject::Failure;
use super::engine::{EngineError, EngineStream};
use super::metrics::Attempt;
use super::place::{Placed, Placer};
use super::poison::Crash;
use super::prefix::block_hashes;
use super::servers::KnownServer;
use super::share;
use super::suspect::{self, TrialGuard};

/// Servers that one request may be tried on.
const ATTEMPTS_MAX: u32 = 4;
/// Seconds after which to ask again when no retry is left.
const RETRY_S: u64 = 1;

/// Engine priorities from this one on are those of rollout work.
pub(super) const PRIORITY_ROLLOUT_FIRST: u32 = 9;

/// What is to be generated.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Request id, which the engine echoes.
    pub id: String,
    /// Whose request it is.
    pub tenant: Tenant,
    /// The model.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate, those held already included.
    pub max_tokens: u32,
    /// Engine priority; lower runs first.
    pub priority: u32,
    /// Seed of the sample, if one is wanted.
    pub seed: Option<u64>,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// Weight version that is needed, if any.
    pub version: Option<u64>,
    /// Tokens that are held already.
    pub resume: Vec<String>,
    /// Servers not to use.
    pub avoid: Vec<ServerId>,
}

/// A generation under way. Dropping it cancels the engine's work.
#[derive(Debug)]
pub(super) struct Generation {
    entry: Arc<Entry>,
    job: Job,
    pool: Pool,
    idle: Duration,
    tokens: Vec<String>,
    segments: Vec<Segment>,
    prompt_tokens: u32,
    attempts: u32,
    sent: bool,
    stream: Option<EngineStream>,
    server: Option<ServerId>,
    /// Tokens that were held at the start.
    held: usize,
    fingerprint: Fingerprint,
    blocks: Vec<u64>,
    trial: Option<TrialGuard>,
}

impl Generation {
    /// Prepares a generation; nothing is sent yet.
    ///
    /// # Errors
    /// The model is not in the manifest.
    pub(super) fn new(entry: Arc<Entry>, mut job: Job) -> Result<Self, Refusal> {
        let state = entry.config.state();
        let Some(model) = state.manifest.models.get(&job.model) else {
            let detail = format!("no model is named {}", job.model);
            return Err(Refusal::not_run(RefusalKind::NotFound, detail));
        };
        let tokens = std::mem::take(&mut job.resume);
        let held = tokens.len();
        Ok(Self {
            pool: model.pool.clone(),
            idle: Duration::from_millis(state.manifest.limits.idle),
            tokens,
            segments: Vec::new(),
            prompt_tokens: 0,
            attempts: 0,
            sent: false,
            stream: None,
            server: None,
            held,
            fingerprint: fingerprint(&job),
            blocks: block_hashes(&job.prompt),
            trial: None,
            entry,
            job,
        })
    }

    /// The pool whose servers make the answer.
    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// All tokens so far, those held at the start included.
    pub(super) fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The weight versions of the tokens made here.
    pub(super) fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Tokens of the prompt, as the engine counts them.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// The server that made the last tokens.
    pub(super) fn server(&self) -> Option<&ServerId> {
        self.server.as_ref()
    }

    /// The next chunk; the one with `done` is the last.
    ///
    /// # Errors
    /// No server could go on, or the deadline passed.
    pub(super) async fn next(&mut self) -> Result<EngineChunk, Refusal> {
        loop {
            if Instant::now() >= self.job.deadline {
                return Err(self.refusal(RefusalKind::Deadline, "the deadline passed"));
            }
            let Some(mut stream) = self.stream.take() else {
                self.open().await?;
                continue;
            };
            match stream.next(self.idle, self.job.deadline).await {
                Ok(chunk) => {
                    self.take(&chunk);
                    if chunk.done {
                        self.succeeded(&stream.inflight.server);
                    } else if !self.is_to_move(&stream.inflight.server) {
                        self.stream = Some(stream);
                    }
                    return Ok(chunk);
                }
                Err(error) => {
                    let server = Arc::clone(&stream.inflight.server);
                    drop(stream);
                    self.failed(&server, &error).await;
                }
            }
        }
    }

    /// Whether to go on elsewhere because the server is leaving.
    ///
    /// Only rollout work moves: it loses nothing where no other server is ready.
    fn is_to_move(&self, server: &KnownServer) -> bool {
        let is_rollout = self.job.priority >= PRIORITY_ROLLOUT_FIRST;
        is_rollout && server.is_leaving() && !self.entry.servers.running(&self.pool).is_empty()
    }

    /// Opens a stream on some server.
    async fn open(&mut self) -> Result<(), Refusal> {
        self.begin_attempt()?;
        let placed = self.place().await?;
        let server = Arc::clone(&placed.inflight.server);
        self.trial = placed.trial;
        let request = self.request();
        let deadline = self.job.deadline.min(Instant::now() + self.idle);
        let opened =
            EngineStream::open(&self.entry.client, placed.inflight, &request, deadline).await;
        match opened {
            Ok(stream) => {
                self.sent = true;
                self.server = Some(server.id.clone());
                self.stream = Some(stream);
            }
            Err(error) => self.failed(&server, &error).await,
        }
        Ok(())
    }

    /// Counts an attempt, which beyond the first one takes from the entry's budget.
    fn begin_attempt(&mut self) -> Result<(), Refusal> {
        if self.attempts == ATTEMPTS_MAX {
            let detail = format!("gave up after {ATTEMPTS_MAX} backend servers");
            return Err(self.refusal(RefusalKind::ServerFailed, &detail));
        }
        let kind = match (self.attempts, self.tokens.len() > self.held) {
            (0, _) => Attempt::First,
            (_, true) => Attempt::Resume,
            (_, false) => Attempt::Retry,
        };
        let policy = self.entry.config.state().manifest.policy.retries;
        match kind {
            Attempt::First => self.entry.retries.earn(),
            Attempt::Retry if policy == RetryPolicy::Budget && !self.entry.retries.spend() => {
                let detail = "backend servers fail, and no more retries are made now";
                let refusal = self.refusal(RefusalKind::ServerFailed, detail);
                return Err(refusal.retry_after(RETRY_S));
            }
            Attempt::Retry | Attempt::Resume => {}
        }
        self.entry.counts.attempt(kind);
        self.attempts += 1;
        Ok(())
    }

    async fn place(&self) -> Result<Placed, Refusal> {
        let placer = Placer {
            entry: &self.entry,
            job: &self.job,
            pool: &self.pool,
            fingerprint: &self.fingerprint,
            blocks: &self.blocks,
        };
        placer.place().await.map_err(|mut refusal| {
            refusal.run = if self.sent { Run::Unknown } else { Run::NotRun };
            refusal
        })
    }

    fn request(&self) -> EngineRequest {
        EngineRequest {
            id: self.job.id.clone(),
            model: self.job.model.to_string(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            resume: self.tokens.clone(),
            version: self.job.version,
            seed: self.job.seed,
        }
    }

    fn take(&mut self, chunk: &EngineChunk) {
        self.tokens.extend(chunk.tokens.iter().cloned());
        if let Some(prompt_tokens) = chunk.prompt_tokens {
            self.prompt_tokens = prompt_tokens;
        }
        let count = u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        add_segment(&mut self.segments, chunk.version, count);
    }

    /// Notes a failure; a crash of the server makes the request a suspect.
    async fn failed(&mut self, server: &KnownServer, error: &EngineError) {
        self.sent |= !error.is_not_run();
        spdlog::warn!("engine failed", kv: {
            request = self.job.id.as_str(),
            tenant = self.job.tenant.as_str(),
            server = server.id.as_str(),
            attempt = self.attempts,
            error = error.to_string(),
        });
        self.job.avoid.push(server.id.clone());
        let may_be_crash = !error.is_not_run() && !self.entry.servers.is_leaving(&server.id);
        if may_be_crash && suspect::is_down(&server.address).await {
            self.crashed(server);
        } else if let Some(failure) = error.failure() {
            server.fail(failure, Instant::now());
        }
        self.trial = None;
    }

    fn crashed(&self, server: &KnownServer) {
        let now = Instant::now();
        server.fail(Failure::Unreachable, now);
        let alone = self.trial.as_ref().is_some_and(|one| one.trial.alone);
        let crash = Crash {
            fingerprint: self.fingerprint.clone(),
            server: server.id.clone(),
            at: now,
            alone,
        };
        self.entry.suspects.note(crash, now);
        self.entry.counts.crash(alone);
        share::tell(&self.entry, now);
        spdlog::warn!("backend server crashed", kv: {
            request = self.job.id.as_str(),
            tenant = self.job.tenant.as_str(),
            fingerprint = self.fingerprint.to_string(),
            server = server.id.as_str(),
            alone,
        });
    }

    /// Notes a whole answer, which clears the request of suspicion.
    fn succeeded(&mut self, server: &KnownServer) {
        let now = Instant::now();
        server.succeed(now);
        if self.trial.take().is_some() {
            self.entry.suspects.absolve(&self.fingerprint, now);
        }
    }

    fn refusal(&self, kind: RefusalKind, detail: &str) -> Refusal {
        if self.sent {
            Refusal::unknown(kind, detail)
        } else {
            Refusal::not_run(kind, detail)
        }
    }
}

fn fingerprint(job: &Job) -> Fingerprint {
    let seed = job.seed.map_or(String::new(), |seed| seed.to_string());
    Fingerprint::of(&[job.tenant.as_str(), job.model.as_str(), &job.prompt, &seed])
}

/// Adds tokens of a version to the segments.
pub(super) fn add_segment(segments: &mut Vec<Segment>, version: u64, tokens: u32) {
    if tokens == 0 {
        return;
    }
    match segments.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => segments.push(Segment { version, tokens }),
    }
}
