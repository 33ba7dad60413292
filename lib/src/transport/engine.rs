//! Model engines over HTTP: their load, and fenced orders.

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

/// Longest wait for a probe's answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Load that an engine reports; lags.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A model and its version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelVersion {
    /// Name.
    pub name: String,
    /// Version.
    pub version: String,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModels {
    /// Epoch of the latest order; 0 before the first.
    pub epoch: Epoch,
    /// Models, sorted.
    pub models: Vec<ModelVersion>,
}

/// A failed order.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer epoch.
    #[error("the engine has seen a newer epoch")]
    Fenced,
    /// No usable answer.
    #[error("{0}")]
    Failed(String),
}

/// What is said to a model engine besides requests.
pub trait Engine: Send + Sync + 'static {
    /// Asks for its load; `None` where it does not answer.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Option<EngineLoad>> + Send;

    /// Asks what it has loaded.
    fn loaded(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<LoadedModels, OrderError>> + Send;

    /// Orders the state wanted; it says nothing of the state before.
    fn order(
        &self,
        address: SocketAddr,
        wanted: &LoadedModels,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), OrderError>> + Send;
}

impl Engine for Client {
    async fn load(&self, address: SocketAddr) -> Option<EngineLoad> {
        let body = call(self, address, Method::GET, "/engine/load", Bytes::new(), PROBE_TIMEOUT);
        serde_json::from_slice(&body.await.ok()?).ok()
    }

    async fn loaded(&self, address: SocketAddr) -> Result<LoadedModels, OrderError> {
        let path = "/engine/models";
        let body = call(self, address, Method::GET, path, Bytes::new(), PROBE_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|error| OrderError::Failed(error.to_string()))
    }

    async fn order(
        &self,
        address: SocketAddr,
        wanted: &LoadedModels,
        timeout: Duration,
    ) -> Result<(), OrderError> {
        let body =
            serde_json::to_vec(wanted).map_err(|error| OrderError::Failed(error.to_string()))?;
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
    let answer = timer::timeout(timeout, client.fetch(address, request)).await;
    match answer {
        Err(_) => Err(OrderError::Failed("no answer in time".to_owned())),
        Ok(Err(attempt)) => Err(OrderError::Failed(attempt.to_string())),
        Ok(Ok(response)) if response.status() == StatusCode::CONFLICT => Err(OrderError::Fenced),
        Ok(Ok(response)) if response.status().is_success() => Ok(response.into_body()),
        Ok(Ok(response)) => Err(OrderError::Failed(response.status().to_string())),
    }
}
