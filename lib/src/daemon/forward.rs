//! Forwards requests to other boxes: to the owner of an idempotency key, or to
//! another region that may execute the request.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use rand::seq::IteratorRandom;
use tonic::Streaming;

use super::dispatch::RelayedResponse;
use super::dispatch::request_accounting;
use super::relay::Relay;
use super::relay::ResponseSource;
use super::request::MAX_VISITED_BOXES;
use super::request::Purpose;
use super::request::ValidatedRequest;
use super::shared::InFlightGuard;
use super::shared::SharedState;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::Incarnation;
use crate::protocol::RegionId;
use crate::protocol::caller;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::peer::wire;
use crate::protocol::peer::wire::forward_frame::Frame;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::peer::CallError;
use crate::transport::timer;

/// Number of boxes of a region to try before the region is considered
/// unreachable.
const MAX_BOXES_TRIED: usize = 2;

/// Forwards a request to a box of another region, which executes it.
pub async fn to_region(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    region: &RegionId,
    in_flight_guard: InFlightGuard,
) -> Result<RelayedResponse, Failure> {
    let serving = request
        .snapshot
        .members
        .iter()
        .filter(|member| member.region == *region && member.phase == Phase::Serving);
    let boxes = serving.choose_multiple(&mut rand::rng(), MAX_BOXES_TRIED);
    let mut in_flight_guard = Some(in_flight_guard);
    let mut failure =
        Failure::new(ErrorKind::NoServer, format!("no box of {region} can be reached"));
    for member in boxes {
        let in_flight_guard = in_flight_guard.take().unwrap_or_else(|| shared.in_flight_guard());
        match send_to_box(shared, request, member, Purpose::Region, in_flight_guard).await {
            Ok(response) => return Ok(response),
            Err(SendError::NotSent(message)) => {
                failure = Failure::new(ErrorKind::NoServer, message)
            }
            Err(SendError::Failed(failure_from_box)) => return Err(failure_from_box),
        }
    }
    Err(failure)
}

/// Forwards a request to the owner of its key, which executes the request or
/// replays its response.
pub async fn to_owner(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    owner: &str,
    incarnation: Incarnation,
) -> Result<RelayedResponse, Failure> {
    let owner_gone = || {
        let message =
            format!("box {owner}, which owned the key, is gone; the request may have run");
        Failure::new(ErrorKind::OwnerGone, message)
    };
    let member = request
        .snapshot
        .members
        .iter()
        .find(|member| member.name == owner && member.incarnation == incarnation);
    let member = member.ok_or_else(owner_gone)?;
    match send_to_box(shared, request, member, Purpose::Owner, shared.in_flight_guard()).await {
        Ok(response) => Ok(response),
        Err(SendError::NotSent(_)) => Err(owner_gone()),
        Err(SendError::Failed(failure)) => Err(failure),
    }
}

/// Why a request got no response from another box.
enum SendError {
    /// Nothing was sent.
    NotSent(String),
    /// The box reported a failure, or the request may have been
    /// executed.
    Failed(Failure),
}

/// Sends a request to a box and waits for the first frame of the response.
async fn send_to_box(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    member: &Member,
    purpose: Purpose,
    in_flight_guard: InFlightGuard,
) -> Result<RelayedResponse, SendError> {
    if request.incoming.visited.len() >= MAX_VISITED_BOXES {
        let message = "the request was passed on as often as allowed";
        return Err(SendError::Failed(Failure::new(ErrorKind::TooManyHops, message)));
    }
    let is_loop = request.incoming.visited.contains(&member.name);
    invariant::check(Invariant::Hops, !is_loop, || format!("request={}", request.incoming.id));
    let sent_at = clock::now();
    request.record_send(sent_at).map_err(SendError::Failed)?;
    let forward_request = build_forward_request(shared, request, member, purpose, sent_at);
    shared.counters.increment(Counter::ForwardedOut);
    let exchange = async {
        let mut frames = shared.peers.forward(member.peer_address, forward_request).await?;
        let first_frame =
            frames.message().await.map_err(|status| CallError::NoResponse(Box::new(status)))?;
        Ok((frames, first_frame))
    };
    let result = match timer::timeout_at(request.deadline, exchange).await {
        Ok(result) => result,
        Err(_) => {
            let message = format!("box {} did not answer before the deadline", member.name);
            let failure =
                Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown);
            return Err(SendError::Failed(failure));
        }
    };
    match result {
        Ok((frames, first_frame)) => {
            let accounting = request_accounting(shared, request, None, in_flight_guard, sent_at);
            read_first_frame(frames, first_frame, request, accounting, &member.region)
        }
        Err(CallError::NotSent(message)) => {
            request.undo_send();
            Err(SendError::NotSent(message))
        }
        Err(error @ CallError::NoResponse(_)) => {
            let failure = Failure::new(ErrorKind::BackendFailed, error.to_string());
            Err(SendError::Failed(failure.with_executed(Executed::Unknown)))
        }
    }
}

fn build_forward_request(
    shared: &SharedState,
    request: &ValidatedRequest,
    member: &Member,
    purpose: Purpose,
    now: Instant,
) -> wire::ForwardRequest {
    let incoming = &request.incoming;
    let mut visited = incoming.visited.clone();
    visited.push(shared.settings.name.clone());
    let is_forwarded = |name: &HeaderName| {
        let keeps_key = purpose == Purpose::Owner;
        *name != header::AUTHORIZATION
            && *name != caller::TIMEOUT_HEADER
            && *name != caller::NOT_REPEATABLE_HEADER
            && (keeps_key || *name != caller::IDEMPOTENCY_KEY_HEADER)
    };
    let mut headers = encode_headers(&incoming.headers, is_forwarded);
    if !request.repeatable {
        let value = bytes::Bytes::from_static(b"true");
        headers.push(wire::Header { name: caller::NOT_REPEATABLE_HEADER.to_owned(), value });
    }
    let remaining = request.deadline.saturating_duration_since(now);
    wire::ForwardRequest {
        request_id: incoming.id.clone(),
        configuration_version: request.snapshot.configuration.version,
        purpose: match purpose {
            Purpose::Owner => wire::Purpose::Owner.into(),
            Purpose::Region | Purpose::Caller => wire::Purpose::Region.into(),
        },
        visited,
        team: incoming.team.clone(),
        method: incoming.method.to_string(),
        path_and_query: incoming.path.clone(),
        headers,
        body: incoming.body.clone(),
        timeout_ms: remaining.as_millis().try_into().unwrap_or(u32::MAX),
        target_region: member.region.clone(),
        target_incarnation: member.incarnation,
    }
}

/// Creates the response from its first frame, which is a head or a failure.
fn read_first_frame(
    frames: Streaming<wire::ForwardFrame>,
    first_frame: Option<wire::ForwardFrame>,
    request: &ValidatedRequest,
    accounting: super::relay::RequestAccounting,
    region: &RegionId,
) -> Result<RelayedResponse, SendError> {
    let may_have_run_error = |text: &str| {
        SendError::Failed(
            Failure::new(ErrorKind::BackendFailed, text).with_executed(Executed::Unknown),
        )
    };
    match first_frame.and_then(|frame| frame.frame) {
        Some(Frame::Head(head)) => {
            let status =
                u16::try_from(head.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
            let Some(status) = status else { return Err(may_have_run_error("a malformed head")) };
            let mut headers = decode_headers(&head.headers);
            let is_event_stream = request.stream
                && headers
                    .get(header::CONTENT_TYPE)
                    .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
            if is_event_stream {
                // Boxes of older builds pass the length on.
                headers.remove(header::CONTENT_LENGTH);
            }
            let executing_region = headers.remove(caller::REGION_HEADER);
            let executing_region =
                executing_region.and_then(|value| value.to_str().map(str::to_owned).ok());
            let source = ResponseSource::Peer { frames: Box::new(frames), ended: false };
            Ok(RelayedResponse {
                status,
                headers,
                region: executing_region.unwrap_or_else(|| region.clone()),
                relay: Relay::new(source, accounting, is_event_stream),
            })
        }
        Some(Frame::Failure(failure)) => {
            let failure = decode_failure(&failure);
            if failure.executed() == Executed::No {
                request.undo_send();
            }
            Err(SendError::Failed(failure))
        }
        _ => Err(may_have_run_error("the other box ended without an answer")),
    }
}

/// Encodes HTTP headers for another box.
pub(super) fn encode_headers(
    headers: &HeaderMap,
    is_forwarded: impl Fn(&HeaderName) -> bool,
) -> Vec<wire::Header> {
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| wire::Header {
        name: name.as_str().to_owned(),
        value: bytes::Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

/// Decodes HTTP headers from another box, skipping malformed ones.
pub(super) fn decode_headers(raw: &[wire::Header]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(raw.len());
    for header in raw {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

fn decode_failure(raw: &wire::Failure) -> Failure {
    let kind = ErrorKind::parse(&raw.kind).unwrap_or(ErrorKind::BackendFailed);
    let failure = Failure::new(kind, raw.message.clone()).with_executed(Executed::parse(&raw.ran));
    match raw.retry_after_ms {
        0 => failure,
        millis => failure.with_retry_after(std::time::Duration::from_millis(millis.into())),
    }
}

/// Encodes a failure for another box.
pub(super) fn encode_failure(failure: &Failure) -> wire::Failure {
    wire::Failure {
        kind: failure.kind.spec().code.to_owned(),
        message: failure.message.clone(),
        ran: failure.executed().as_str().to_owned(),
        retry_after_ms: failure
            .retry_after()
            .map_or(0, |after| after.as_millis().try_into().unwrap_or(u32::MAX)),
    }
}
