//! HTTP client for model engines: load queries and fenced orders.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;

use super::backend::Client;
use crate::coordination::lease::Epoch;
use crate::transport::timer;

/// The longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The load that an engine reports, which lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The number of requests that the engine executes.
    pub running: u32,
    /// The number of requests in the engine's queue.
    pub queued: u32,
    /// Whether the engine is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineLoad {
    /// The number of requests on the engine; the maximum if it reports more.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// A model and its version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelVersion {
    /// The name.
    pub name: String,
    /// The version.
    pub version: String,
}

/// The models that an engine has loaded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModels {
    /// The epoch of the latest order; 0 before the first order.
    pub epoch: Epoch,
    /// The models, sorted.
    pub models: Vec<ModelVersion>,
}

/// The reason for which an order failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer epoch.
    #[error("the engine has seen a newer epoch")]
    Fenced,
    /// The engine sent no usable response.
    #[error("{0}")]
    Failed(String),
}

/// The control interface of a model engine.
pub trait Engine: Send + Sync + 'static {
    /// Queries the load; `None` if the engine does not respond.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Option<EngineLoad>> + Send;

    /// Queries the loaded models.
    fn loaded_models(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<LoadedModels, OrderError>> + Send;

    /// Sets the target state. The order does not depend on the previous state.
    fn order(
        &self,
        address: SocketAddr,
        target: &LoadedModels,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), OrderError>> + Send;
}

impl Engine for Client {
    async fn load(&self, address: SocketAddr) -> Option<EngineLoad> {
        let body = call(self, address, Method::GET, "/engine/load", Bytes::new(), PROBE_TIMEOUT);
        serde_json::from_slice(&body.await.ok()?).ok()
    }

    async fn loaded_models(&self, address: SocketAddr) -> Result<LoadedModels, OrderError> {
        let path = "/engine/models";
        let body = call(self, address, Method::GET, path, Bytes::new(), PROBE_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|error| OrderError::Failed(error.to_string()))
    }

    async fn order(
        &self,
        address: SocketAddr,
        target: &LoadedModels,
        timeout: Duration,
    ) -> Result<(), OrderError> {
        let body =
            serde_json::to_vec(target).map_err(|error| OrderError::Failed(error.to_string()))?;
        call(self, address, Method::PUT, "/engine/models", body.into(), timeout).await.map(|_| ())
    }
}

async fn call(
    client: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes, OrderError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|error| OrderError::Failed(error.to_string()))?;
    let result = timer::timeout(timeout, client.fetch(address, request)).await;
    match result {
        Err(_) => Err(OrderError::Failed("no response in time".to_owned())),
        Ok(Err(error)) => Err(OrderError::Failed(error.to_string())),
        Ok(Ok(response)) if response.status() == StatusCode::CONFLICT => Err(OrderError::Fenced),
        Ok(Ok(response)) if response.status().is_success() => Ok(response.into_body()),
        Ok(Ok(response)) => Err(OrderError::Failed(response.status().to_string())),
    }
}
