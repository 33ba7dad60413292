//! The client of a platform's store: one call, one answer. What a call looks
//! like is the codec's matter; when to call again is the caller's.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
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

/// Longest wait for an answer, beyond the time that a watch itself may wait.
/// A healthy store answers in milliseconds; a slow one in some hundreds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after a failed call.
pub const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The store at one address.
#[derive(Clone)]
pub struct Client<C> {
    address: SocketAddr,
    codec: C,
    http: backend::Client,
    measures: StoreMetrics,
    eras: NewestEra,
}

/// The newest era that the store, or another box, has told.
#[derive(Clone, Debug, Default)]
pub struct NewestEra(Arc<AtomicU64>);

impl NewestEra {
    /// The newest era so far; 0 if none was told.
    pub fn get(&self) -> Era {
        self.0.load(Ordering::Acquire)
    }

    /// The store, or a box, at that address has told an era.
    pub fn observe(&self, era: Era, by: SocketAddr) {
        let before = self.0.fetch_max(era, Ordering::AcqRel);
        if before < era {
            log::info!("event=store_era era={era} before={before} by={by}");
        }
    }
}

/// An answer, and the history of the store that it is about.
#[derive(Clone, Debug)]
pub struct ResponseWithEra {
    /// The answer.
    pub response: StoreResponse,
    /// The store's era, if it tells one.
    pub era: Option<Era>,
}

/// Where calls are counted and timed.
#[derive(Clone)]
pub struct StoreMetrics {
    /// Counters.
    pub counters: Arc<Counters>,
    /// How long calls took.
    pub latencies: Arc<Latencies>,
}

impl<C: StoreCodec> Client<C> {
    /// A store; calls are counted.
    pub fn new(
        address: SocketAddr,
        codec: C,
        measures: StoreMetrics,
        eras: NewestEra,
    ) -> Client<C> {
        Client { address, codec, http: backend::Client::default(), measures, eras }
    }

    /// Makes a call.
    pub async fn call(&self, operation: &Operation) -> Result<StoreResponse, PlatformError> {
        self.call_with_era(operation).await.map(|told| told.response)
    }

    /// Makes a call whose answer counts for one history of the store only.
    pub async fn call_with_era(
        &self,
        operation: &Operation,
    ) -> Result<ResponseWithEra, PlatformError> {
        let counter = match operation {
            Operation::Range { .. } | Operation::Watch { .. } => Counter::StoreReads,
            Operation::Renew(_) => Counter::StoreRenewals,
            _ => Counter::StoreWrites,
        };
        let StoreMetrics { counters, latencies } = &self.measures;
        counters.increment(counter);
        let called = clock::now();
        let result = self.send(operation).await;
        if result.is_err() {
            counters.increment(Counter::StoreFailures);
        } else if !matches!(operation, Operation::Watch { .. }) {
            latencies.record(Timing::StoreCall, clock::since(called));
        }
        result
    }

    async fn send(&self, operation: &Operation) -> Result<ResponseWithEra, PlatformError> {
        let call = self.codec.encode(operation);
        let timeout = match operation {
            Operation::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let response = fetch(&self.http, self.address, call, timeout).await?;
        let era = self.codec.era(response.headers());
        if let Some(era) = era {
            self.eras.observe(era, self.address);
        }
        let (status, body) = answered(response)?;
        Ok(ResponseWithEra { response: self.codec.decode(operation, status, &body)?, era })
    }

    /// The newest era that was told; 0 if none was.
    pub fn newest_era(&self) -> Era {
        self.eras.get()
    }
}

/// Makes one call to a platform and tells failures apart: those that certainly had no effect
/// from those that may have had one.
pub(super) async fn exchange(
    http: &backend::Client,
    address: SocketAddr,
    call: StoreRequest,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), PlatformError> {
    answered(fetch(http, address, call, timeout).await?)
}

async fn fetch(
    http: &backend::Client,
    address: SocketAddr,
    call: StoreRequest,
    timeout: Duration,
) -> Result<Response<Bytes>, PlatformError> {
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body))
        .map_err(|error| PlatformError::Malformed(error.to_string()))?;
    match timer::timeout(timeout, http.fetch(address, request)).await {
        Err(_) => Err(PlatformError::Lost("no answer in time".to_owned())),
        Ok(Err(AttemptError::NoResponse(text))) => Err(PlatformError::Lost(text)),
        Ok(Err(unsent)) => Err(PlatformError::Unreachable(unsent.to_string())),
        Ok(Ok(response)) => Ok(response),
    }
}

fn answered(response: Response<Bytes>) -> Result<(StatusCode, Bytes), PlatformError> {
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::Limited),
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Unreachable("the platform is out of service".to_owned()))
        }
        status if status.is_server_error() => Err(PlatformError::Lost(status.to_string())),
        status => Ok((status, response.into_body())),
    }
}
