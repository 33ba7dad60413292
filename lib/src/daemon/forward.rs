//! Sends a request to another box: to the owner of its key, or to a region
//! that may run it.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use rand::seq::IteratorRandom;
use tonic::Streaming;

use super::call::Call;
use super::call::MAX_VISITED;
use super::call::Purpose;
use super::dispatch::Started;
use super::dispatch::account;
use super::relay::Relay;
use super::relay::Source;
use super::shared::Progress;
use super::shared::Shared;
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

/// Boxes of a region that are tried before it counts as cut off.
const BOXES_TRIED: usize = 2;

/// Has a box of another region run the request.
pub async fn to_region(
    shared: &Arc<Shared>,
    call: &Call,
    region: &RegionId,
    progress: Progress,
) -> Result<Started, Failure> {
    let serving = call
        .snapshot
        .members
        .iter()
        .filter(|member| member.region == *region && member.phase == Phase::Serving);
    let boxes = serving.choose_multiple(&mut rand::rng(), BOXES_TRIED);
    let mut progress = Some(progress);
    let mut failure =
        Failure::new(ErrorKind::NoServer, format!("no box of {region} can be reached"));
    for member in boxes {
        let progress = progress.take().unwrap_or_else(|| shared.progress());
        match send(shared, call, member, Purpose::Region, progress).await {
            Ok(started) => return Ok(started),
            Err(Sent::Nothing(text)) => failure = Failure::new(ErrorKind::NoServer, text),
            Err(Sent::Refused(refusal)) => return Err(refusal),
        }
    }
    Err(failure)
}

/// Has the owner of a key run the request, or replay its answer.
pub async fn to_owner(
    shared: &Arc<Shared>,
    call: &Call,
    owner: &str,
    incarnation: Incarnation,
) -> Result<Started, Failure> {
    let gone = || {
        let message =
            format!("box {owner}, which owned the key, is gone; the request may have run");
        Failure::new(ErrorKind::OwnerGone, message)
    };
    let member = call
        .snapshot
        .members
        .iter()
        .find(|member| member.name == owner && member.incarnation == incarnation);
    let member = member.ok_or_else(gone)?;
    match send(shared, call, member, Purpose::Owner, shared.progress()).await {
        Ok(started) => Ok(started),
        Err(Sent::Nothing(_)) => Err(gone()),
        Err(Sent::Refused(failure)) => Err(failure),
    }
}

enum Sent {
    Nothing(String),
    Refused(Failure),
}

async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    member: &Member,
    purpose: Purpose,
    progress: Progress,
) -> Result<Started, Sent> {
    if call.incoming.visited.len() >= MAX_VISITED {
        let message = "the request was passed on as often as allowed";
        return Err(Sent::Refused(Failure::new(ErrorKind::TooManyHops, message)));
    }
    let back = call.incoming.visited.contains(&member.name);
    invariant::check(Invariant::Hops, !back, || format!("request={}", call.incoming.id));
    let sent = clock::now();
    call.about_to_send(sent).map_err(Sent::Refused)?;
    let request = message(shared, call, member, purpose, sent);
    shared.counters.increment(Counter::ForwardedOut);
    let exchange = async {
        let mut frames = shared.peers.forward(member.peer_address, request).await?;
        let first =
            frames.message().await.map_err(|status| CallError::NoResponse(Box::new(status)))?;
        Ok((frames, first))
    };
    let answer = match timer::timeout_at(call.deadline, exchange).await {
        Ok(answer) => answer,
        Err(_) => {
            let message = format!("box {} did not answer before the deadline", member.name);
            let failure =
                Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown);
            return Err(Sent::Refused(failure));
        }
    };
    match answer {
        Ok((frames, first)) => {
            let account = account(shared, call, None, progress, sent);
            read_head(frames, first, call, account, &member.region)
        }
        Err(CallError::NotSent(text)) => {
            call.not_sent();
            Err(Sent::Nothing(text))
        }
        Err(error @ CallError::NoResponse(_)) => {
            let failure = Failure::new(ErrorKind::BackendFailed, error.to_string());
            Err(Sent::Refused(failure.with_executed(Executed::Unknown)))
        }
    }
}

fn message(
    shared: &Shared,
    call: &Call,
    member: &Member,
    purpose: Purpose,
    now: Instant,
) -> wire::ForwardRequest {
    let incoming = &call.incoming;
    let mut visited = incoming.visited.clone();
    visited.push(shared.settings.name.clone());
    let keeps = |name: &HeaderName| {
        let keyed = purpose == Purpose::Owner;
        *name != header::AUTHORIZATION
            && *name != caller::TIMEOUT_HEADER
            && *name != caller::NOT_REPEATABLE_HEADER
            && (keyed || *name != caller::IDEMPOTENCY_KEY_HEADER)
    };
    let mut headers = wire_headers(&incoming.headers, keeps);
    if !call.repeatable {
        let value = bytes::Bytes::from_static(b"true");
        headers.push(wire::Header { name: caller::NOT_REPEATABLE_HEADER.to_owned(), value });
    }
    let left = call.deadline.saturating_duration_since(now);
    wire::ForwardRequest {
        request_id: incoming.id.clone(),
        configuration_version: call.snapshot.configuration.version,
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
        timeout_ms: left.as_millis().try_into().unwrap_or(u32::MAX),
        target_region: member.region.clone(),
        target_incarnation: member.incarnation,
    }
}

fn read_head(
    frames: Streaming<wire::ForwardFrame>,
    first: Option<wire::ForwardFrame>,
    call: &Call,
    account: super::relay::Account,
    region: &RegionId,
) -> Result<Started, Sent> {
    let unknown = |text: &str| {
        Sent::Refused(Failure::new(ErrorKind::BackendFailed, text).with_executed(Executed::Unknown))
    };
    match first.and_then(|frame| frame.frame) {
        Some(Frame::Head(head)) => {
            let status =
                u16::try_from(head.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
            let Some(status) = status else { return Err(unknown("a malformed head")) };
            let mut headers = headers(&head.headers);
            let events = call.stream
                && headers
                    .get(header::CONTENT_TYPE)
                    .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
            let ran_in = headers.remove(caller::REGION_HEADER);
            let ran_in = ran_in.and_then(|value| value.to_str().map(str::to_owned).ok());
            let source = Source::Peer { frames: Box::new(frames), ended: false };
            Ok(Started {
                status,
                headers,
                region: ran_in.unwrap_or_else(|| region.clone()),
                relay: Relay::new(source, account, events),
            })
        }
        Some(Frame::Failure(failure)) => {
            let failure = failure_from(&failure);
            if failure.executed() == Executed::No {
                call.not_sent();
            }
            Err(Sent::Refused(failure))
        }
        _ => Err(unknown("the other box ended without an answer")),
    }
}

/// Headers as other boxes read them.
pub(super) fn wire_headers(
    headers: &HeaderMap,
    keeps: impl Fn(&HeaderName) -> bool,
) -> Vec<wire::Header> {
    let kept = headers.iter().filter(|(name, _)| keeps(name));
    kept.map(|(name, value)| wire::Header {
        name: name.as_str().to_owned(),
        value: bytes::Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

/// Headers from another box; malformed ones are left out.
pub(super) fn headers(raw: &[wire::Header]) -> HeaderMap {
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

fn failure_from(raw: &wire::Failure) -> Failure {
    let kind = ErrorKind::parse(&raw.kind).unwrap_or(ErrorKind::BackendFailed);
    let failure = Failure::new(kind, raw.message.clone()).with_executed(Executed::parse(&raw.ran));
    match raw.retry_after_ms {
        0 => failure,
        millis => failure.with_retry_after(std::time::Duration::from_millis(millis.into())),
    }
}

/// A failure as other boxes read it.
pub(super) fn failure_to(failure: &Failure) -> wire::Failure {
    wire::Failure {
        kind: failure.kind.spec().code.to_owned(),
        message: failure.message.clone(),
        ran: failure.executed().as_str().to_owned(),
        retry_after_ms: failure
            .retry_after()
            .map_or(0, |after| after.as_millis().try_into().unwrap_or(u32::MAX)),
    }
}
