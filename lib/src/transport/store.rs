//! Client of the platform's store. Each call is one request and one response. The codec determines
//! the form of a call; the caller decides when to retry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use super::backend;
use super::backend::AttemptError;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreCodec;
use crate::protocol::adapter::StoreRequest;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::platform::Era;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::counters::Counters;
use crate::state::latency::Latencies;
use crate::state::latency::Timing;
use crate::transport::timer;

/// The longest wait for a response, in addition to the time that a watch itself may wait. A healthy
/// store responds within milliseconds, a slow one within some hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The delay after a failed call.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A client of the store at one address.
#[derive(Clone)]
pub struct Client<C> {
    address: SocketAddr,
    codec: C,
    http: backend::Client,
    metrics: StoreMetrics,
    newest_era: NewestEra,
}

/// The newest era that the store or another box has reported.
#[derive(Clone, Debug, Default)]
pub struct NewestEra(Arc<Mutex<ObservedEra>>);

/// An era, and when it was first reported.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedEra {
    era: Era,
    observed_at: Option<Instant>,
}

impl NewestEra {
    /// Returns the newest era so far; 0 if none was reported.
    pub fn get(&self) -> Era {
        self.lock().era
    }

    /// Records an era reported by the box at this address.
    pub fn observe(&self, era: Era, by: SocketAddr) {
        let mut observed = self.lock();
        if observed.era < era {
            log::info!("event=store_era era={era} before={} by={by}", observed.era);
            *observed = ObservedEra { era, observed_at: Some(clock::now()) };
        }
    }

    /// Records the era in a response of the store at this address to a call that was sent at
    /// `asked_at`. A newer era that was reported before then does not exist: the store would have
    /// been in it by then.
    fn observe_response(&self, era: Era, asked_at: Instant, by: SocketAddr) {
        self.observe(era, by);
        let mut observed = self.lock();
        if observed.era > era && observed.observed_at.is_some_and(|at| at < asked_at) {
            log::warn!("event=store_era_denied era={era} before={} by={by}", observed.era);
            *observed = ObservedEra { era, observed_at: Some(asked_at) };
        }
    }

    fn lock(&self) -> MutexGuard<'_, ObservedEra> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A response of the store, and the era that it belongs to.
#[derive(Clone, Debug)]
pub struct ResponseWithEra {
    /// The response.
    pub response: StoreResponse,
    /// The era of the store, if reported.
    pub era: Option<Era>,
    /// When the call was sent. The response shows what the store contained then. When the store gave
    /// it is not known: a box may have been suspended before it read the response.
    pub asked_at: Instant,
}

/// The metrics in which calls are recorded.
#[derive(Clone)]
pub struct StoreMetrics {
    /// The counters.
    pub counters: Arc<Counters>,
    /// The latency histograms.
    pub latencies: Arc<Latencies>,
}

impl<C: StoreCodec> Client<C> {
    /// Creates a client. Calls are counted and timed.
    pub fn new(
        address: SocketAddr,
        codec: C,
        metrics: StoreMetrics,
        newest_era: NewestEra,
    ) -> Client<C> {
        Client { address, codec, http: backend::Client::default(), metrics, newest_era }
    }

    /// Executes an operation.
    pub async fn call(&self, operation: &Operation) -> Result<StoreResponse, PlatformError> {
        self.call_with_era(operation).await.map(|result| result.response)
    }

    /// Executes an operation whose response is valid only within one era of the store.
    pub async fn call_with_era(
        &self,
        operation: &Operation,
    ) -> Result<ResponseWithEra, PlatformError> {
        let counter = match operation {
            Operation::Range { .. } | Operation::Watch { .. } => Counter::StoreReads,
            Operation::Renew(_) => Counter::StoreRenewals,
            _ => Counter::StoreWrites,
        };
        let StoreMetrics { counters, latencies } = &self.metrics;
        counters.increment(counter);
        let started_at = clock::now();
        let result = self.send(operation, started_at).await;
        if result.is_err() {
            counters.increment(Counter::StoreFailures);
        } else if !matches!(operation, Operation::Watch { .. }) {
            latencies.record(Timing::StoreCall, clock::since(started_at));
        }
        result
    }

    async fn send(
        &self,
        operation: &Operation,
        asked_at: Instant,
    ) -> Result<ResponseWithEra, PlatformError> {
        let call = self.codec.encode(operation);
        let timeout = match operation {
            Operation::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let response = fetch_response(&self.http, self.address, call, timeout).await?;
        let era = self.codec.era(response.headers());
        if let Some(era) = era {
            self.newest_era.observe_response(era, asked_at, self.address);
        }
        let (status, body) = check_status(response)?;
        let response = self.codec.decode(operation, status, &body)?;
        Ok(ResponseWithEra { response, era, asked_at })
    }

    /// Returns the newest era that was reported; 0 if none was.
    pub fn newest_era(&self) -> Era {
        self.newest_era.get()
    }
}

/// Sends one request to a platform. The error distinguishes calls that certainly had no effect from
/// calls that may have had one.
pub(super) async fn call_http(
    http: &backend::Client,
    address: SocketAddr,
    call: StoreRequest,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), PlatformError> {
    check_status(fetch_response(http, address, call, timeout).await?)
}

async fn fetch_response(
    http: &backend::Client,
    address: SocketAddr,
    call: StoreRequest,
    timeout: Duration,
) -> Result<Response<Bytes>, PlatformError> {
    let is_read = call.method == Method::GET;
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body))
        .map_err(|error| PlatformError::Malformed(error.to_string()))?;
    match timer::timeout(timeout, http.fetch(address, request)).await {
        Err(_) => Err(PlatformError::NoResponse("no answer in time".to_owned())),
        Ok(Err(AttemptError::Invalid(text))) if is_read => Err(PlatformError::Malformed(text)),
        Ok(Err(
            AttemptError::NoResponse(text)
            | AttemptError::PathLost(text)
            | AttemptError::Invalid(text),
        )) => Err(PlatformError::NoResponse(text)),
        Ok(Err(unsent)) => Err(PlatformError::Unreachable(unsent.to_string())),
        Ok(Ok(response)) => Ok(response),
    }
}

fn check_status(response: Response<Bytes>) -> Result<(StatusCode, Bytes), PlatformError> {
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Unreachable("the platform is out of service".to_owned()))
        }
        status if status.is_server_error() => Err(PlatformError::NoResponse(status.to_string())),
        status => Ok((status, response.into_body())),
    }
}
