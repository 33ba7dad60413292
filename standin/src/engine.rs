//! A model engine: completions token by token, load reports, fenced orders.
//!
//! Its tokens are made from the prompt, so that a client can tell its own
//! answer from another's. It runs a bounded number of requests at once; others
//! wait in it. `POST /control` sets [`Faults`].

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

/// Tokens of an answer where the request names no number.
const DEFAULT_TOKENS: u64 = 16;
/// Prompts that the prefix cache holds.
const CACHED_PROMPTS: usize = 64;

/// How fast the engine is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Requests at once.
    pub slots: usize,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time to read a prompt that is not cached, per 1,000 bytes.
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

/// How the engine fails.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Says that it is leaving.
    pub leaving: bool,
    /// Answers nothing any more.
    pub hang: bool,
    /// So many next completions are begun and lose their answer.
    pub lose_answers: u32,
    /// Breaks streams off after so many tokens; 0 for never.
    pub cut_after: u64,
    /// Ends streams cleanly, but without the closing mark, after so many tokens; 0 for never.
    pub end_after: u64,
    /// Takes so many times as long; 0 for as usual.
    pub slow: u32,
    /// Age of its load reports, milliseconds.
    pub report_lag_ms: u64,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Loaded {
    epoch: u64,
    models: Vec<serde_json::Value>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    loaded: Loaded,
    cached: VecDeque<u64>,
    reports: VecDeque<(Instant, u32, u32)>,
    completions: u64,
    stale_orders: u64,
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    speed: Speed,
    slots: Arc<Semaphore>,
    running: Arc<AtomicU32>,
    queued: Arc<AtomicU32>,
    state: Arc<Mutex<State>>,
}

#[derive(Deserialize)]
struct Request {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Counts while it lives.
struct Count(Arc<AtomicU32>);

impl Count {
    fn new(counter: &Arc<AtomicU32>) -> Count {
        counter.fetch_add(1, Ordering::Relaxed);
        Count(Arc::clone(counter))
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// An idle engine.
    pub fn new(speed: Speed) -> Engine {
        Engine {
            speed,
            slots: Arc::new(Semaphore::new(speed.slots)),
            running: Arc::default(),
            queued: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Serves on a listener until dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let engine = self.clone();
        http1::serve(listener, move |call| {
            let engine = engine.clone();
            async move { engine.answer(call).await }
        })
    }

    /// Sets how it fails.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Completions that it began.
    pub fn completions_started(&self) -> u64 {
        self.lock().completions
    }

    /// Orders of an old epoch that it refused.
    pub fn refused_stale_orders(&self) -> u64 {
        self.lock().stale_orders
    }

    /// Names and versions of the models that it was ordered to load.
    pub fn loaded_models(&self) -> Vec<serde_json::Value> {
        self.lock().loaded.models.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: BufferedRequest) -> Option<HttpResponse> {
        if call.path == "/control" {
            return Some(http1::handle_control(&call, |faults| self.set_faults(faults)));
        }
        if self.lock().faults.hang {
            std::future::pending::<()>().await;
        }
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/engine/load") => Some(self.load()),
            (&Method::GET, "/engine/models") => {
                Some(http1::json(StatusCode::OK, &json!(self.lock().loaded)))
            }
            (&Method::PUT, "/engine/models") => Some(self.order(&call)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&call).await
            }
            _ => Some(http1::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn load(&self) -> HttpResponse {
        let now = Instant::now();
        let latest =
            (now, self.running.load(Ordering::Relaxed), self.queued.load(Ordering::Relaxed));
        let mut state = self.lock();
        state.reports.push_back(latest);
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        while state.reports.len() > 1 && now.duration_since(state.reports[1].0) >= lag {
            state.reports.pop_front();
        }
        let (_, running, queued) = state.reports.front().copied().unwrap_or(latest);
        let leaving = state.faults.leaving;
        let report = json!({"running": running, "queued": queued, "leaving": leaving});
        http1::json(StatusCode::OK, &report)
    }

    fn order(&self, call: &BufferedRequest) -> HttpResponse {
        let Ok(wanted) = serde_json::from_slice::<Loaded>(&call.body) else {
            return http1::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if wanted.epoch < state.loaded.epoch {
            state.stale_orders += 1;
            return http1::empty(StatusCode::CONFLICT);
        }
        state.loaded = wanted;
        http1::empty(StatusCode::OK)
    }

    async fn complete(&self, call: &BufferedRequest) -> Option<HttpResponse> {
        let Ok(request) = serde_json::from_slice::<Request>(&call.body) else {
            return Some(http1::empty(StatusCode::BAD_REQUEST));
        };
        {
            let mut state = self.lock();
            state.completions += 1;
            if state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                return None;
            }
        }
        let waiting = Count::new(&self.queued);
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        drop(waiting);
        let running = Count::new(&self.running);
        let prompt = prompt_hash(&call.body);
        pause(self.prefill(prompt, call.body.len())).await;
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !request.stream {
            for _ in 0..tokens {
                pause(self.token_time()).await;
            }
            let text: String = (0..tokens).map(|index| token_text(prompt, index)).collect();
            return Some(whole(&request.model, &text, tokens));
        }
        let (sender, receiver) = mpsc::channel(1);
        let engine = self.clone();
        tokio::spawn(async move {
            let _held = (slot, running);
            engine.stream(prompt, tokens, &request.model, &sender).await;
        });
        let mut answer = http::Response::new(ResponseBody::Chunks(receiver));
        let events = http::HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(http::header::CONTENT_TYPE, events);
        Some(answer)
    }

    async fn stream(
        &self,
        prompt: u64,
        tokens: u64,
        model: &str,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
    ) {
        for index in 0..tokens {
            pause(self.token_time()).await;
            let faults = self.lock().faults.clone();
            if faults.cut_after > 0 && index >= faults.cut_after {
                let _ = sender.send(Err(std::io::Error::other("told to break off"))).await;
                return;
            }
            if faults.end_after > 0 && index >= faults.end_after {
                return;
            }
            let chunk = json!({
                "id": format!("cmpl-{prompt:x}"),
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {"content": token_text(prompt, index)}, "finish_reason": null}],
            });
            if sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.is_err() {
                return;
            }
        }
        let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
    }

    fn token_time(&self) -> Duration {
        self.speed.token_interval * self.lock().faults.slow.max(1)
    }

    fn prefill(&self, prompt: u64, bytes: usize) -> Duration {
        let mut state = self.lock();
        let slow = state.faults.slow.max(1);
        if state.cached.contains(&prompt) {
            return Duration::ZERO;
        }
        state.cached.push_back(prompt);
        if state.cached.len() > CACHED_PROMPTS {
            state.cached.pop_front();
        }
        self.speed.prefill_per_1000_bytes.mul_f64(bytes as f64 / 1000.0) * slow
    }
}

/// Sleeps; no time at all takes none, where a timer would take a millisecond.
async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn whole(model: &str, text: &str, tokens: u64) -> HttpResponse {
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

/// Hash of a prompt; a client works out the same.
pub fn prompt_hash(body: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    body.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// The token at an index of the answer to a prompt.
pub fn token_text(prompt: u64, index: u64) -> String {
    format!("{:04x}-{index} ", (prompt >> 16) & 0xffff)
}
