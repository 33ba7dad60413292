//! A plain service: filings that must not be doubled.
//!
//! `POST /filings` with `{"id": "…"}` files; `GET /filings/<id>` tells how often
//! that id was filed. `POST /control` sets [`Faults`]. `ANY /echo` gives the
//! body back.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::http1;
use crate::http1::BufferedRequest;
use crate::http1::HttpResponse;

/// How the service fails.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that a filing takes, milliseconds.
    pub slow_ms: u64,
    /// So many next filings are filed and lose their answer.
    pub lose_answers: u32,
    /// Refuses filings, and says that they were not run.
    pub refuse: bool,
    /// Seconds that it wants nothing for, as it says when it refuses.
    pub rest_s: Option<f64>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    runs: BTreeMap<String, u64>,
    refused: Vec<Instant>,
}

/// A plain service; clones share their filings.
#[derive(Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

#[derive(Deserialize)]
struct Filing {
    id: String,
}

impl Service {
    /// Serves on a listener until dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let service = self.clone();
        http1::serve(listener, move |call| {
            let service = service.clone();
            async move { service.answer(call).await }
        })
    }

    /// How often each id was filed.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.lock().runs.clone()
    }

    /// When it refused.
    pub fn refusal_times(&self) -> Vec<Instant> {
        self.lock().refused.clone()
    }

    /// Sets how it fails.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: BufferedRequest) -> Option<HttpResponse> {
        if call.path == "/control" {
            return Some(http1::handle_control(&call, |faults| self.set_faults(faults)));
        }
        if call.method == Method::POST && call.path == "/filings" {
            return self.file(&call).await;
        }
        if let Some(id) = call.path.strip_prefix("/filings/") {
            let runs = self.lock().runs.get(id).copied().unwrap_or(0);
            return Some(http1::json(StatusCode::OK, &json!({"id": id, "runs": runs})));
        }
        if call.path == "/echo" {
            return Some(http::Response::new(http1::ResponseBody::Full(Some(call.body))));
        }
        Some(http1::empty(StatusCode::NOT_FOUND))
    }

    async fn file(&self, call: &BufferedRequest) -> Option<HttpResponse> {
        let Ok(filing) = serde_json::from_slice::<Filing>(&call.body) else {
            let error = json!({"error": "expected {\"id\": \"…\"}"});
            return Some(http1::json(StatusCode::BAD_REQUEST, &error));
        };
        let faults = self.lock().faults.clone();
        if faults.refuse {
            let mut answer = http1::empty(StatusCode::SERVICE_UNAVAILABLE);
            answer.headers_mut().insert("copperweir-ran", http::HeaderValue::from_static("no"));
            self.lock().refused.push(Instant::now());
            if let Some(rest) = faults.rest_s {
                let rest = http::HeaderValue::try_from(rest.to_string());
                answer.headers_mut().insert(http::header::RETRY_AFTER, rest.expect("a number"));
            }
            return Some(answer);
        }
        let runs = {
            let mut state = self.lock();
            let runs = state.runs.entry(filing.id.clone()).or_default();
            *runs += 1;
            *runs
        };
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let mut state = self.lock();
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return None;
        }
        drop(state);
        Some(http1::json(StatusCode::CREATED, &json!({"id": filing.id, "runs": runs})))
    }
}
