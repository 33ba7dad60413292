//! A model engine: streamed completions, load reports and orders fenced by epoch.
//!
//! The engine derives its tokens from the request body, so a client can check
//! that a response belongs to its own request. It runs a bounded number of
//! requests concurrently and queues the others. `POST /control` sets [`Faults`].

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::http1;
use crate::http1::BufferedRequest;
use crate::http1::HttpResponse;
use crate::http1::ResponseBody;

/// Number of tokens in a completion when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Number of prompts that the prefix cache holds.
const CACHE_CAPACITY: usize = 64;

/// Concurrency and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Time between two tokens of a response.
    pub token_interval: Duration,
    /// Time to process 1,000 bytes of a prompt that is not cached.
    pub prefill_per_1000_bytes: Duration,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            slots: 8,
            token_interval: Duration::from_millis(2),
            prefill_per_1000_bytes: Duration::from_millis(5),
        }
    }
}

/// Faults that the engine injects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Reports that the engine is leaving.
    pub leaving: bool,
    /// Accepts requests and never responds.
    pub hang: bool,
    /// Number of upcoming completions that are counted as started but get no response.
    pub lose_answers: u32,
    /// Aborts streams after this number of tokens; 0 for never.
    pub cut_after: u64,
    /// Ends streams after this number of tokens without an error, but also without the final
    /// `[DONE]` event; 0 for never.
    pub end_after: u64,
    /// Factor by which prompt processing and tokens are slowed down; 0 and 1 for normal speed.
    pub slow: u32,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ModelOrder {
    epoch: u64,
    models: Vec<serde_json::Value>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    loaded: ModelOrder,
    cached_prompts: VecDeque<u64>,
    load_reports: VecDeque<(Instant, u32, u32)>,
    completions_started: u64,
    refused_stale_orders: u64,
}

/// A model engine; clones share their state.
#[derive(Clone)]
pub struct Engine {
    speed: Speed,
    slots: Arc<Semaphore>,
    running: Arc<AtomicU32>,
    queued: Arc<AtomicU32>,
    state: Arc<Mutex<State>>,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Adds one to a counter until dropped.
struct CountGuard(Arc<AtomicU32>);

impl CountGuard {
    fn new(counter: &Arc<AtomicU32>) -> CountGuard {
        counter.fetch_add(1, Ordering::Relaxed);
        CountGuard(Arc::clone(counter))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(speed: Speed) -> Engine {
        Engine {
            speed,
            slots: Arc::new(Semaphore::new(speed.slots)),
            running: Arc::default(),
            queued: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Serves requests on a listener until the future is dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let engine = self.clone();
        http1::serve(listener, move |request| {
            let engine = engine.clone();
            async move { engine.handle(request).await }
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the number of completions started, including those whose response was lost.
    pub fn completions_started(&self) -> u64 {
        self.lock().completions_started
    }

    /// Returns the number of orders refused because their epoch was older than the current one.
    pub fn refused_stale_orders(&self) -> u64 {
        self.lock().refused_stale_orders
    }

    /// Returns the names and versions of the models that the last accepted order listed.
    pub fn loaded_models(&self) -> Vec<serde_json::Value> {
        self.lock().loaded.models.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Option<HttpResponse> {
        if request.path == "/control" {
            return Some(http1::handle_control(&request, |faults| self.set_faults(faults)));
        }
        if self.lock().faults.hang {
            std::future::pending::<()>().await;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/engine/load") => Some(self.load_report()),
            (&Method::GET, "/engine/models") => {
                Some(http1::json(StatusCode::OK, &json!(self.lock().loaded)))
            }
            (&Method::PUT, "/engine/models") => Some(self.apply_order(&request)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&request).await
            }
            _ => Some(http1::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn load_report(&self) -> HttpResponse {
        let now = Instant::now();
        let current =
            (now, self.running.load(Ordering::Relaxed), self.queued.load(Ordering::Relaxed));
        let mut state = self.lock();
        state.load_reports.push_back(current);
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        while state.load_reports.len() > 1 && now.duration_since(state.load_reports[1].0) >= lag {
            state.load_reports.pop_front();
        }
        let (_, running, queued) = state.load_reports.front().copied().unwrap_or(current);
        let leaving = state.faults.leaving;
        let report = json!({"running": running, "queued": queued, "leaving": leaving});
        http1::json(StatusCode::OK, &report)
    }

    fn apply_order(&self, request: &BufferedRequest) -> HttpResponse {
        let Ok(order) = serde_json::from_slice::<ModelOrder>(&request.body) else {
            return http1::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if order.epoch < state.loaded.epoch {
            state.refused_stale_orders += 1;
            return http1::empty(StatusCode::CONFLICT);
        }
        state.loaded = order;
        http1::empty(StatusCode::OK)
    }

    async fn complete(&self, request: &BufferedRequest) -> Option<HttpResponse> {
        let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&request.body) else {
            return Some(http1::empty(StatusCode::BAD_REQUEST));
        };
        {
            let mut state = self.lock();
            state.completions_started += 1;
            if state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                return None;
            }
        }
        let queued = CountGuard::new(&self.queued);
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        drop(queued);
        let running = CountGuard::new(&self.running);
        let hash = prompt_hash(&request.body);
        sleep(self.prefill_time(hash, request.body.len())).await;
        let tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !completion.stream {
            for _ in 0..tokens {
                sleep(self.token_interval()).await;
            }
            let text: String = (0..tokens).map(|index| token_text(hash, index)).collect();
            return Some(full_completion(&completion.model, &text, tokens));
        }
        let (sender, receiver) = mpsc::channel(1);
        let engine = self.clone();
        tokio::spawn(async move {
            let _guards = (slot, running);
            engine.stream_tokens(hash, tokens, &completion.model, &sender).await;
        });
        let mut response = http::Response::new(ResponseBody::Chunks(receiver));
        let event_stream = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, event_stream);
        Some(response)
    }

    async fn stream_tokens(
        &self,
        hash: u64,
        tokens: u64,
        model: &str,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
    ) {
        for index in 0..tokens {
            sleep(self.token_interval()).await;
            let faults = self.lock().faults.clone();
            if faults.cut_after > 0 && index >= faults.cut_after {
                let _ =
                    sender.send(Err(std::io::Error::other("aborted by an injected fault"))).await;
                return;
            }
            if faults.end_after > 0 && index >= faults.end_after {
                return;
            }
            let chunk = json!({
                "id": format!("cmpl-{hash:x}"),
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {"content": token_text(hash, index)}, "finish_reason": null}],
            });
            if sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.is_err() {
                return;
            }
        }
        let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
    }

    fn token_interval(&self) -> Duration {
        self.speed.token_interval * self.lock().faults.slow.max(1)
    }

    fn prefill_time(&self, hash: u64, bytes: usize) -> Duration {
        let mut state = self.lock();
        let slow = state.faults.slow.max(1);
        if state.cached_prompts.contains(&hash) {
            return Duration::ZERO;
        }
        state.cached_prompts.push_back(hash);
        if state.cached_prompts.len() > CACHE_CAPACITY {
            state.cached_prompts.pop_front();
        }
        self.speed.prefill_per_1000_bytes.mul_f64(bytes as f64 / 1000.0) * slow
    }
}

/// Sleeps for `duration`. Zero returns at once: a timer would take a millisecond.
async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

fn full_completion(model: &str, text: &str, tokens: u64) -> HttpResponse {
    let body = json!({
        "id": "cmpl",
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": tokens},
    });
    http1::json(StatusCode::OK, &body)
}

/// Returns the FNV-1a hash of a request body, from which the tokens of the response derive. Clients
/// compute the same hash to check a response.
pub fn prompt_hash(body: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    body.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Returns the text of the token at `index` in the response to a prompt with this hash.
pub fn token_text(hash: u64, index: u64) -> String {
    format!("{:04x}-{index} ", (hash >> 16) & 0xffff)
}
