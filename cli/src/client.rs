//! Small calls to boxes and to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use copperweir_lib::transport::backend::Client;
use http::Request;
use http::header;
use http_body_util::Full;

use crate::error::CommandError;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A runtime for one command.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.context("cannot start the runtime")?)
}

/// Gets a path and its whole body.
pub async fn get(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
) -> Result<Bytes, CommandError> {
    let mut request = Request::get(path).header(header::HOST, address.to_string());
    if let Some(key) = key {
        request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Full::default()).context("malformed request")?;
    let answer = tokio::time::timeout(TIMEOUT, Client::default().fetch(address, request)).await;
    let unreachable = |text: String| CommandError::Unreachable(format!("{address}: {text}"));
    let response = answer
        .map_err(|_| unreachable("no answer in time".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    if !response.status().is_success() {
        let body = String::from_utf8_lossy(response.body());
        return Err(unreachable(format!("{} {body}", response.status())));
    }
    Ok(response.into_body())
}
