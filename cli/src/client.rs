//! HTTP client and runtime for commands that query a box or the platform.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use copperweir_lib::transport::backend::Client;
use http::Request;
use http::header;
use http_body_util::Full;

use crate::error::CommandError;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates the runtime of a command.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.context("cannot start the Tokio runtime")?)
}

/// Sends a GET request and returns the complete body of a successful response. Any other outcome
/// is [`CommandError::Unreachable`].
pub async fn get(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
) -> Result<Bytes, CommandError> {
    let mut request = Request::get(path).header(header::HOST, address.to_string());
    if let Some(key) = key {
        request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Full::default()).context("invalid request")?;
    let result =
        tokio::time::timeout(REQUEST_TIMEOUT, Client::default().fetch(address, request)).await;
    let unreachable = |text: String| CommandError::Unreachable(format!("{address}: {text}"));
    let response = result
        .map_err(|_| unreachable("no response within the time limit".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    if !response.status().is_success() {
        let body = String::from_utf8_lossy(response.body());
        return Err(unreachable(format!("{} {body}", response.status())));
    }
    Ok(response.into_body())
}
