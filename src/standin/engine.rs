//! A simulated model engine: continuous batching, priorities, a prefix cache, resume, cancel.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::{MappedMutexGuard, Mutex, MutexGuard};
use tokio::sync::{mpsc, oneshot};

use crate::names::sha256_hex;
use crate::wire::{EngineChunk, EngineLoad, EngineRequest};

pub use super::config::EngineConfig;
use super::counts::{EngineCounts, InjectedFailure};
use super::loading::Loaded;
use super::prefix::PrefixCache;
use super::serve::{self, Answer, ServerHandle, events, full_response, json};
use super::service::ServiceRecord;
use super::weights::WeightStore;

/// Prompts with this word crash the engine that runs them.
pub const POISON: &str = "POISON";
/// Prompts with this word get answers whose length is drawn from the request's seed.
pub const HEAVY_TAIL: &str = "HEAVYTAIL";
/// Ratio of the longest answer to the median in a heavy tail.
const TAIL_FACTOR: u64 = 20;
/// In a heavy tail, one answer in this many has the greatest length.
const TAIL_ONE_IN: u64 = 100;
/// Chunks buffered for a slow reader.
const CHUNK_BUFFER: usize = 4;

#[derive(Debug)]
struct State {
    failure: Option<InjectedFailure>,
    counts: EngineCounts,
    loaded: Loaded,
    running: u32,
    sequence: u64,
    /// Requests that wait for a slot, by priority and order of arrival.
    waiting: BTreeMap<(u32, u64), oneshot::Sender<()>>,
    cache: PrefixCache,
    /// The load report as of the last refresh.
    report: EngineLoad,
    generated: u64,
    served: u64,
}

/// A simulated engine that derives its tokens from the request's id.
///
/// Tokens of requests with a seed, which are samples, also depend on the weight version.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    store: Arc<WeightStore>,
    record: Arc<ServiceRecord>,
    state: Mutex<State>,
    crash: mpsc::UnboundedSender<()>,
}

/// A slot in use. Dropping the guard starts the next waiting request.
struct SlotGuard(Arc<Engine>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.running -= 1;
        while let Some((_, next)) = state.waiting.pop_first() {
            if next.send(()).is_ok() {
                state.running += 1;
                break;
            }
        }
    }
}

impl Engine {
    /// Creates an engine without weights. A message on `crash` asks to crash the engine.
    #[must_use]
    pub fn new(
        config: EngineConfig,
        store: Arc<WeightStore>,
        record: Arc<ServiceRecord>,
        crash: mpsc::UnboundedSender<()>,
    ) -> Arc<Self> {
        let report = EngineLoad {
            failed: None,
            loading: None,
            model: String::new(),
            queued_tokens: 0,
            running: 0,
            version: 0,
            waiting: 0,
        };
        Arc::new(Self {
            config,
            store,
            record,
            crash,
            state: Mutex::new(State {
                failure: None,
                counts: EngineCounts::default(),
                loaded: Loaded::default(),
                running: 0,
                sequence: 0,
                waiting: BTreeMap::new(),
                cache: PrefixCache::new(config.cache_blocks),
                report,
                generated: 0,
                served: 0,
            }),
        })
    }

    /// Serves the engine's interface.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<ServerHandle> {
        let engine = Arc::clone(self);
        let weak = Arc::downgrade(self);
        let interval = self.config.report_lag;
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                engine.refresh_report();
                drop(engine);
                tokio::time::sleep(interval).await;
            }
        });
        serve::serve(address, move |request| Arc::clone(&engine).answer(request)).await
    }

    /// Sets the weight version without a load.
    pub fn set_version(&self, model: &str, version: u64) {
        let mut state = self.state.lock();
        model.clone_into(&mut state.loaded.model);
        state.loaded.version = version;
    }

    /// Sets the injected failure, or clears it.
    pub fn set_failure(&self, failure: Option<InjectedFailure>) {
        self.state.lock().failure = failure;
    }

    /// The counters since the engine's start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.state.lock().counts
    }

    /// Tokens generated so far.
    #[must_use]
    pub fn generated(&self) -> u64 {
        self.state.lock().generated
    }

    /// Locks the state of the weights that are held and loading.
    pub(super) fn loaded(&self) -> MappedMutexGuard<'_, Loaded> {
        MutexGuard::map(self.state.lock(), |state| &mut state.loaded)
    }

    /// Whether orders with a stale fencing token are refused.
    pub(super) fn is_fenced(&self) -> bool {
        self.config.fenced
    }

    /// The store that the engine loads weights from.
    pub(super) fn store(&self) -> &WeightStore {
        &self.store
    }

    /// Asks the fleet to crash the engine.
    pub(super) fn crash(&self) {
        // Fails only if the receiving task has ended, and then nothing can crash the engine.
        let _ = self.crash.send(());
    }

    /// Copies the present state into the load report.
    pub(super) fn refresh_report(&self) {
        let mut state = self.state.lock();
        state.report = EngineLoad {
            failed: state.loaded.failed,
            loading: state.loaded.loading,
            model: state.loaded.model.clone(),
            queued_tokens: 0,
            running: state.running,
            version: state.loaded.version,
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
        };
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => Ok(json(&self.state.lock().report)),
            (&Method::POST, "/generate") => {
                let body = serve::read(body).await?;
                self.record.record_engine(&head, &body);
                match serde_json::from_slice(&body) {
                    Ok(request) => Ok(self.generate(request)),
                    Err(error) => Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
                }
            }
            (&Method::POST, "/orders") => {
                let body = serve::read(body).await?;
                match serde_json::from_slice(&body) {
                    Ok(order) => Ok(self.order(&order)),
                    Err(error) => Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
                }
            }
            _ => Ok(full_response(StatusCode::NOT_FOUND, "no such page")),
        }
    }

    fn generate(self: Arc<Self>, request: EngineRequest) -> Response<serve::Body> {
        let mut state = self.state.lock();
        state.counts.came += 1;
        if state.failure == Some(InjectedFailure::Refuse) {
            return full_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "an injected failure: the engine refuses each request",
            );
        }
        let needs_newer = request
            .version
            .is_some_and(|oldest| oldest > state.loaded.version);
        if state.loaded.model != request.model || needs_newer {
            return full_response(StatusCode::CONFLICT, "another model or version is loaded");
        }
        drop(state);
        let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
        tokio::spawn(self.run(request, sender));
        let pieces = futures_util::stream::unfold(receiver, async |mut receiver| {
            let chunk: EngineChunk = receiver.recv().await?;
            let mut event = b"data: ".to_vec();
            serde_json::to_writer(&mut event, &chunk).ok()?;
            event.extend_from_slice(b"\n\n");
            Some((Ok(Bytes::from(event)), receiver))
        });
        events(pieces)
    }

    /// Runs one request until it completes or its reader disconnects.
    async fn run(self: Arc<Self>, request: EngineRequest, sender: mpsc::Sender<EngineChunk>) {
        let slot = self.acquire_slot(request.priority);
        let _slot = tokio::select! {
            slot = slot => slot,
            () = sender.closed() => return,
        };
        if self.state.lock().failure == Some(InjectedFailure::Break) {
            return;
        }
        if request.prompt.contains(POISON) {
            self.crash();
            return;
        }
        let words = request.prompt.split_whitespace().count();
        let cached = self.cache_prompt(&request.prompt, words);
        // Tokens of a resumed answer need prefill like prompt words that are not cached.
        let missing = words.saturating_sub(cached) + request.resume.len();
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        tokio::time::sleep(self.config.prefill_time * missing).await;
        let total = answer_length(&request);
        let mut index = request.resume.len();
        while index <= total {
            let count = self.config.chunk_tokens.min(total - index);
            self.simulate_decode(count).await;
            let version = self.note_generated(count);
            let id = self.chunk_id(&request.id);
            let chunk = EngineChunk {
                cached: u32::try_from(cached).ok(),
                done: index + count >= total,
                index: u32::try_from(index).unwrap_or(u32::MAX),
                prompt_tokens: u32::try_from(words).ok(),
                tokens: (index..index + count)
                    .map(|n| request_token(&request, &id, version, n))
                    .collect(),
                version,
                id,
            };
            let done = chunk.done;
            if sender.send(chunk).await.is_err() || done {
                break;
            }
            index += count;
        }
        self.state.lock().served += 1;
    }

    /// Caches a prompt; returns how many of its words were already cached.
    fn cache_prompt(&self, prompt: &str, words: usize) -> usize {
        let mut state = self.state.lock();
        let cached = state.cache.insert(prompt);
        state.counts.words += words as u64;
        state.counts.cached += cached as u64;
        cached
    }

    /// Waits for a slot, lower priority numbers first.
    async fn acquire_slot(self: &Arc<Self>, priority: u32) -> SlotGuard {
        let waiting = {
            let mut state = self.state.lock();
            if state.running < self.config.slots {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.sequence += 1;
                let key = (priority, state.sequence);
                state.waiting.insert(key, sender);
                Some(receiver)
            }
        };
        if let Some(waiting) = waiting {
            // The sender is kept until a slot is handed over, so this does not fail.
            let _ = waiting.await;
        }
        SlotGuard(Arc::clone(self))
    }

    /// Sleeps for the time that generating `tokens` takes at the present load.
    async fn simulate_decode(&self, tokens: usize) {
        let others = self.state.lock().running.saturating_sub(1);
        let factor = 1.0 + self.config.slowdown * f64::from(others);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        tokio::time::sleep((self.config.token_time * tokens).mul_f64(factor)).await;
    }

    /// Returns the request's id, or a wrong id if a mismatched chunk is to be injected.
    fn chunk_id(&self, id: &str) -> String {
        if self.store.take_mismatch() {
            return format!("crossed-{id}");
        }
        id.to_owned()
    }

    /// Counts generated tokens; returns the weight version that generated them.
    fn note_generated(&self, tokens: usize) -> u64 {
        let mut state = self.state.lock();
        state.generated += tokens as u64;
        state.loaded.version
    }
}

/// Returns the tokens of the whole answer to a request.
///
/// In a heavy tail the longest answers are as long as the request allows.
fn answer_length(request: &EngineRequest) -> usize {
    let most = u64::from(request.max_tokens);
    let Some(seed) = request.seed.filter(|_| request.prompt.contains(HEAVY_TAIL)) else {
        return request.max_tokens as usize;
    };
    let median = (most / TAIL_FACTOR).max(1);
    let length = if seed.is_multiple_of(TAIL_ONE_IN) {
        most
    } else {
        median / 2 + (seed / TAIL_ONE_IN) % (median + 1)
    };
    usize::try_from(length).unwrap_or(usize::MAX)
}

fn request_token(request: &EngineRequest, id: &str, version: u64, index: usize) -> String {
    match request.seed {
        Some(_) => sample_token(id, version, index),
        None => token(id, index),
    }
}

/// Returns the token at `index` of the sample `id`.
///
/// The token depends on the weight version, so that a check of the text shows which version
/// generated it.
#[must_use]
pub fn sample_token(id: &str, version: u64, index: usize) -> String {
    token(&format!("{id}@{version}"), index)
}

/// Returns the token at `index` of the answer to `id`, the same on every engine.
#[must_use]
pub fn token(id: &str, index: usize) -> String {
    let digest = sha256_hex(format!("{id}/{index}").as_bytes());
    format!(" {}", &digest[..4])
}

/// Returns the text of the whole answer of `tokens` tokens to the request `id`.
#[must_use]
pub fn answer_text(id: &str, tokens: usize) -> String {
    (0..tokens).map(|index| token(id, index)).collect()
}
