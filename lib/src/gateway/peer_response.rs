//! Interprets the response of another box to a forwarded request.

use http::HeaderMap;
use http::Response;
use http::StatusCode;

use super::job::SENDS_HEADER;
use super::job::SERVER_VERSION_HEADER;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::caller;
use crate::protocol::fleet::VersionHash;
use crate::protocol::retry_after;
use crate::transport::backend::PooledBody;

/// Whether the box that responded had sent the request to a server.
pub fn was_sent(response: &Response<PooledBody>) -> bool {
    response.headers().get(SENDS_HEADER).is_none_or(|sends| sends != "0")
}

/// The version of the server whose response another box forwards.
pub fn version(headers: &HeaderMap) -> Option<VersionHash> {
    let text = headers.get(SERVER_VERSION_HEADER)?.to_str().ok()?;
    VersionHash::from_str_radix(text, 16).ok()
}

/// The failure in the response of another box; `None` if that box forwards a server's response.
pub fn failure(response: &Response<PooledBody>) -> Option<Failure> {
    let ran = response
        .headers()
        .get(caller::RAN_HEADER)?
        .to_str()
        .map_or(Executed::Unknown, Executed::parse);
    let message = format!("the box answered {}", response.status());
    let kind = match (ran, response.status()) {
        (Executed::No, StatusCode::UNAUTHORIZED) => ErrorKind::Unauthorized,
        (Executed::No, _) => ErrorKind::QueueFull,
        (_, StatusCode::GATEWAY_TIMEOUT) => ErrorKind::BackendTimeout,
        _ => ErrorKind::BackendFailed,
    };
    let failure = Failure::new(kind, message).with_executed(ran);
    Some(match retry_after::from_headers(response.headers()) {
        Some(delay) => failure.with_retry_after(delay),
        None => failure,
    })
}
