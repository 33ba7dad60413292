//! A plain service with an operation that must not be repeated: filings.
//!
//! `POST /filings` with `{"id": "…"}` executes a filing; `GET /filings/<id>`
//! returns how many times the filing with that id was executed. `POST /control`
//! sets [`Faults`]. `/echo` returns the request body, for any method.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
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
use tokio::sync::Notify;

use crate::http1;
use crate::http1::BufferedRequest;
use crate::http1::HttpResponse;

/// Delay between the start of a filing that crashes the service and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Faults that the service injects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that a filing takes, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming filings that are executed but get no response.
    pub lose_answers: u32,
    /// Refuses filings with a header that states that they were not executed.
    pub refuse: bool,
    /// Value of `Retry-After` in refusals, in seconds.
    pub rest_s: Option<f64>,
    /// Id of a filing that crashes the service; see [`Service::serve_with_restarts`].
    pub crash_on: Option<String>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    run_counts: BTreeMap<String, u64>,
    refusal_times: Vec<Instant>,
    crash_times: Vec<Instant>,
}

/// A plain service; clones share their state.
#[derive(Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
}

#[derive(Deserialize)]
struct Filing {
    id: String,
}

impl Service {
    /// Serves requests on a listener until the future is dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let service = self.clone();
        http1::serve(listener, move |request| {
            let service = service.clone();
            async move { service.handle(request).await }
        })
    }

    /// As [`Service::serve`], on an address. When the service crashes, its connections break off
    /// and its port refuses new ones for `downtime`.
    pub async fn serve_with_restarts(&self, address: SocketAddr, downtime: Duration) {
        loop {
            let Ok((listener, _)) = http1::bind(address) else { return };
            tokio::select! {
                () = self.serve(listener) => return,
                () = self.crash.notified() => self.lock().crash_times.push(Instant::now()),
            }
            tokio::time::sleep(downtime).await;
        }
    }

    /// Times at which the service crashed.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().crash_times.clone()
    }

    /// Number of executions of each filing, by id.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.lock().run_counts.clone()
    }

    /// Times at which filings were refused.
    pub fn refusal_times(&self) -> Vec<Instant> {
        self.lock().refusal_times.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Option<HttpResponse> {
        if request.path == "/control" {
            return Some(http1::handle_control(&request, |faults| self.set_faults(faults)));
        }
        if request.method == Method::POST && request.path == "/filings" {
            return self.execute_filing(&request).await;
        }
        if let Some(id) = request.path.strip_prefix("/filings/") {
            let runs = self.lock().run_counts.get(id).copied().unwrap_or(0);
            return Some(http1::json(StatusCode::OK, &json!({"id": id, "runs": runs})));
        }
        if request.path == "/echo" {
            return Some(http::Response::new(http1::ResponseBody::Full(Some(request.body))));
        }
        Some(http1::empty(StatusCode::NOT_FOUND))
    }

    async fn execute_filing(&self, request: &BufferedRequest) -> Option<HttpResponse> {
        let Ok(filing) = serde_json::from_slice::<Filing>(&request.body) else {
            let error = json!({"error": "expected {\"id\": \"…\"}"});
            return Some(http1::json(StatusCode::BAD_REQUEST, &error));
        };
        let faults = self.lock().faults.clone();
        if faults.refuse {
            let mut response = http1::empty(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert("copperweir-ran", http::HeaderValue::from_static("no"));
            self.lock().refusal_times.push(Instant::now());
            if let Some(seconds) = faults.rest_s {
                let retry_after = http::HeaderValue::try_from(seconds.to_string());
                response
                    .headers_mut()
                    .insert(http::header::RETRY_AFTER, retry_after.expect("a number"));
            }
            return Some(response);
        }
        let runs = {
            let mut state = self.lock();
            let runs = state.run_counts.entry(filing.id.clone()).or_default();
            *runs += 1;
            *runs
        };
        if faults.crash_on.is_some_and(|id| id == filing.id) {
            tokio::time::sleep(CRASH_DELAY).await;
            self.crash.notify_one();
            // The crash aborts this task as well.
            return std::future::pending().await;
        }
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
