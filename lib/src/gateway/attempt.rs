//! A single send of a request to a backend server or to another box, and its outcome.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use super::body_relay::BodyReader;
use super::decision_log;
use super::feedback;
use super::forwarded_versions;
use super::held_body;
use super::held_body::HeldBody;
use super::job::Job;
use super::job::LOST_PATHS_HEADER;
use super::job::forwarded_headers;
use super::peer_response;
use super::shared::Reservation;
use super::shared::Shared;
use super::shared::lock;
use super::stream::Stream;
use crate::coordination::attempt::AttemptEvent;
use crate::coordination::attempt::AttemptReport;
use crate::coordination::forwards::Kind;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::ResponseMetadata;
use crate::protocol::fleet::VersionHash;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend;
use crate::transport::backend::Always;
use crate::transport::backend::AttemptError;
use crate::transport::backend::Permit;
use crate::transport::backend::PooledBody;
use crate::transport::body::BodyError;
use crate::transport::timer;

/// Safety margin subtracted from the announced idle time of a connection, for the time that
/// requests take to the server.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A response to forward to the caller.
pub struct Reply<A: Adapter> {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body.
    pub payload: Payload<A>,
}

/// The body of a response.
pub enum Payload<A: Adapter> {
    /// A complete body.
    Whole(Bytes),
    /// A body that is relayed as it arrives.
    Part(Box<BodyReader<A>>),
    /// A stream of events whose first event has been read.
    Stream(Box<Stream<A>>),
}

/// The outcome of one send.
pub enum SendOutcome<A: Adapter> {
    /// The receiver sent a response to forward.
    Answered(Reply<A>),
    /// The request was not sent, so it did not run.
    Unsent(Failure),
    /// The receiver refused the request; it did not run.
    Refused(Failure),
    /// The server is not at its address; it is known which one is there, and that one may get the
    /// request.
    Misdirected(Failure),
    /// The server refused the request and asked this box for a rest period.
    RefusedWithRest(Failure),
    /// A brittle server refused the request; each further refusal may make another server fall over.
    RefusedByBrittle(Failure),
    /// The request may have run.
    MaybeRan(Failure),
}

/// Sends the request to a backend server.
pub async fn to_server<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    mut reservation: Reservation<A>,
    last_event: Option<u64>,
    new_connection: bool,
) -> SendOutcome<A> {
    let request = job.for_server(&shared.adapter, &reservation.place.server, last_event);
    shared.counters.increment(Counter::Attempts);
    let address = reservation.place.address;
    let server = reservation.place.server.clone();
    let response =
        send(&shared.servers, job, address, request, new_connection, &mut reservation).await;
    let mut reservation = Some(reservation);
    match response {
        Ok(response) => receive(shared, job, response, reservation, last_event).await,
        Err(no_response) => {
            feedback::record_end(shared, job, &mut reservation, no_response.event);
            no_response.into_outcome(&server)
        }
    }
}

/// Sends the request to another box.
pub async fn to_peer<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    address: std::net::SocketAddr,
    last_event: Option<u64>,
    version: Option<VersionHash>,
) -> SendOutcome<A> {
    let request = job.for_peer(shared, last_event, version);
    shared.counters.increment(Counter::ForwardedOut);
    let _under_way = UnderWay::new(shared, job);
    match send(&shared.peers, job, address, request, false, &mut Always).await {
        Ok(response) => {
            forwarded_versions::note_response(shared, response.headers());
            let failure = box_failure(shared, &response);
            if failure.is_some() && response.headers().contains_key(LOST_PATHS_HEADER) {
                record_path_refusal(shared, job, address);
            }
            peer_outcome(shared, job, response, failure, last_event, version).await
        }
        Err(no_response) => no_response.into_outcome(&address.to_string()),
    }
}

/// Counts a forward as under way until it is dropped.
struct UnderWay<'a, A> {
    shared: &'a Shared<A>,
    kind: Kind,
    bytes: usize,
    sent_at: Instant,
}

impl<'a, A> UnderWay<'a, A> {
    fn new(shared: &'a Shared<A>, job: &Job) -> UnderWay<'a, A> {
        let bytes = job.body_bytes();
        lock(&shared.forwards).begin(bytes);
        let kind = Kind::of(job.continues_stream());
        UnderWay { shared, kind, bytes, sent_at: clock::now() }
    }
}

impl<A> Drop for UnderWay<'_, A> {
    fn drop(&mut self) {
        let now = clock::now();
        let time = now.saturating_duration_since(self.sent_at);
        lock(&self.shared.forwards).finish(self.kind, self.bytes, time, now);
    }
}

/// Records that a box refused a request while it had lost paths to servers of the service.
fn record_path_refusal<A: Adapter>(shared: &Shared<A>, job: &Job, address: std::net::SocketAddr) {
    let record = job.snapshot.boxes.iter().find(|other| other.peers == address);
    if let Some(record) = record {
        let box_hash = presence::box_hash(&record.name);
        let service_hash = rendezvous::weight(&job.service, "");
        lock(&shared.peer_paths).record_refusal(box_hash, service_hash, clock::now());
    }
}

/// The failure in the response of another box. A response with a seal is that of a server, whatever
/// its other headers are: boxes of older builds pass those on.
fn box_failure<A: Adapter>(shared: &Shared<A>, response: &Response<PooledBody>) -> Option<Failure> {
    let metadata = shared.adapter.parse_response(response.status(), response.headers());
    peer_response::failure(response).filter(|_| !metadata.has_seal)
}

async fn peer_outcome<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    response: Response<PooledBody>,
    failure: Option<Failure>,
    last_event: Option<u64>,
    version: Option<VersionHash>,
) -> SendOutcome<A> {
    match failure {
        Some(failure)
            if failure.executed() == Executed::No && !peer_response::was_sent(&response) =>
        {
            SendOutcome::Unsent(failure)
        }
        Some(failure) if failure.executed() == Executed::No => SendOutcome::Refused(failure),
        Some(failure) => SendOutcome::MaybeRan(failure),
        None if version.is_some() && peer_response::version(response.headers()) != version => {
            let message = "the box continued the stream at another version";
            SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown),
            )
        }
        None => receive(shared, job, response, None, last_event).await,
    }
}

/// A send that got no response.
struct NoResponse {
    event: AttemptEvent,
    message: String,
}

impl NoResponse {
    fn into_outcome<A: Adapter>(self, target: &str) -> SendOutcome<A> {
        let message = format!("{target}: {}", self.message);
        match self.event {
            AttemptEvent::Unreachable | AttemptEvent::NotSent => {
                SendOutcome::Unsent(Failure::new(ErrorKind::NoServer, message))
            }
            AttemptEvent::TimedOut => SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown),
            ),
            _ => SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown),
            ),
        }
    }
}

async fn send(
    client: &backend::Client,
    job: &Job,
    address: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
    new_connection: bool,
    permit: &mut impl Permit,
) -> Result<Response<PooledBody>, NoResponse> {
    let exchange = client.send_if(address, request, new_connection, permit);
    match timer::timeout_at(job.deadline, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(AttemptError::NotSent(message))) => {
            Err(NoResponse { event: AttemptEvent::Unreachable, message })
        }
        Ok(Err(AttemptError::Withheld)) => {
            let message = "the server takes nothing by now".to_owned();
            Err(NoResponse { event: AttemptEvent::NotSent, message })
        }
        Ok(Err(AttemptError::PathLost(message))) => {
            Err(NoResponse { event: AttemptEvent::PathLost, message })
        }
        Ok(Err(AttemptError::NoResponse(message))) => {
            Err(NoResponse { event: AttemptEvent::Interrupted, message })
        }
        Ok(Err(AttemptError::Invalid(message))) => {
            Err(NoResponse { event: AttemptEvent::Invalid, message })
        }
        Err(_) => {
            let message = "no answer before the deadline".to_owned();
            Err(NoResponse { event: AttemptEvent::TimedOut, message })
        }
    }
}

/// Reads a response as far as needed to decide the outcome.
async fn receive<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    response: Response<PooledBody>,
    mut reservation: Option<Reservation<A>>,
    last_event: Option<u64>,
) -> SendOutcome<A> {
    let (head, mut exchange) = response.into_parts();
    let metadata = shared.adapter.parse_response(head.status, &head.headers);
    let maybe_ran = |reservation: &mut Option<Reservation<A>>, event, kind, message: &str| {
        feedback::record_end(shared, job, reservation, event);
        SendOutcome::MaybeRan(Failure::new(kind, message).with_executed(Executed::Unknown))
    };
    if metadata.id.as_deref() != Some(job.metadata.id.as_str()) {
        exchange.record_surplus();
        let message = "the answer is that of another request";
        return maybe_ran(
            &mut reservation,
            AttemptEvent::Invalid,
            ErrorKind::BackendFailed,
            message,
        );
    }
    let event = head_event(&metadata);
    if let Some(reservation) =
        reservation.as_ref().filter(|_| metadata.server_status.has_any_value())
    {
        decision_log::status_received(
            job,
            &reservation.place.server,
            &metadata.server_status,
            head.status,
        );
    }
    feedback::record_event(
        shared,
        job,
        &mut reservation,
        &AttemptReport::head(event, metadata.server_status),
    );
    match event {
        AttemptEvent::Replaced => {
            let message = "another instance has the address";
            let failure = Failure::new(ErrorKind::NoServer, message);
            return match &reservation {
                Some(reservation) if reservation.find_holder(job.deadline).await => {
                    SendOutcome::Misdirected(failure)
                }
                _ => SendOutcome::Refused(failure),
            };
        }
        AttemptEvent::Refused => {
            exchange.release_for(idle_time(metadata.keep_alive));
            let failure = Failure::new(ErrorKind::QueueFull, "the backend server refused");
            let rests = metadata.server_status.rest.is_some_and(|rest| !rest.is_zero());
            return if rests {
                SendOutcome::RefusedWithRest(failure)
            } else if metadata.server_status.brittle.is_some() {
                SendOutcome::RefusedByBrittle(failure)
            } else {
                SendOutcome::Refused(failure)
            };
        }
        AttemptEvent::Invalid => {
            let message = "the answer has no mark of its server";
            return SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown),
            );
        }
        _ => {}
    }
    let idle = idle_time(metadata.keep_alive);
    let headers = forwarded_headers(&head.headers);
    let has_body = head.status != StatusCode::NO_CONTENT;
    if head.status.is_success() && has_body && is_event_stream(&head.headers) {
        let version = match &reservation {
            Some(reservation) => Some(reservation.place.version),
            None => peer_response::version(&head.headers),
        };
        let stream =
            Stream::new(exchange, shared.response_memory.clone(), reservation, idle, version);
        // Only a stream that continues after an event may have no more of them. Without framing, a
        // server that stopped before the first event looks like the end of an empty stream.
        let may_be_empty = last_event.is_some_and(|id| id > 0) && is_framed(&head.headers);
        return await_first_event(shared, job, head.status, headers, stream, may_be_empty).await;
    }
    let body = held_body::read(&mut exchange, &shared.response_memory);
    match timer::timeout_at(job.deadline, body).await {
        Ok(Ok(HeldBody::Whole(body))) => {
            exchange.release_for(idle);
            reservation.iter_mut().for_each(Reservation::first_byte);
            feedback::record_end(shared, job, &mut reservation, body_event(head.status));
            let payload = Payload::Whole(body);
            SendOutcome::Answered(Reply { status: head.status, headers, payload })
        }
        Ok(Ok(HeldBody::Part { read, len })) => {
            reservation.iter_mut().for_each(Reservation::first_byte);
            let event = body_event(head.status);
            if event == AttemptEvent::Failed {
                // The body is dropped if another server succeeds.
                reservation.iter_mut().for_each(|place| place.set_outcome(event.outcome()));
            }
            let reader = BodyReader { exchange, reservation, read, len, idle_time: idle, event };
            let payload = Payload::Part(Box::new(reader));
            SendOutcome::Answered(Reply { status: head.status, headers, payload })
        }
        Ok(Err(cut)) => {
            maybe_ran(&mut reservation, cut_event(&cut), ErrorKind::BackendFailed, &cut.to_string())
        }
        Err(_) => {
            let message = "the answer did not end in time";
            maybe_ran(&mut reservation, AttemptEvent::Invalid, ErrorKind::BackendTimeout, message)
        }
    }
}

/// Classifies the end of a response that isn't complete.
pub fn cut_event(cut: &BodyError) -> AttemptEvent {
    match cut {
        BodyError::TooLong(_)
        | BodyError::Malformed(_)
        | BodyError::OutOfSequence(_)
        | BodyError::IdleTimeout => AttemptEvent::Invalid,
        _ => AttemptEvent::Interrupted,
    }
}

/// Classifies a response by its head.
fn head_event(metadata: &ResponseMetadata) -> AttemptEvent {
    if metadata.instance_mismatch {
        AttemptEvent::Replaced
    } else if metadata.not_run {
        AttemptEvent::Refused
    } else if metadata.has_seal {
        AttemptEvent::HeadReceived
    } else {
        AttemptEvent::Invalid
    }
}

/// Classifies a complete response by its status.
fn body_event(status: StatusCode) -> AttemptEvent {
    if status.is_success() {
        AttemptEvent::Answered
    } else if status.is_server_error() {
        // A server error doesn't show that the request is harmless.
        AttemptEvent::Failed
    } else {
        AttemptEvent::Rejected
    }
}

/// Waits for the first event, so that a server that fails before it can still be replaced.
async fn await_first_event<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    status: StatusCode,
    headers: HeaderMap,
    mut stream: Stream<A>,
    may_be_empty: bool,
) -> SendOutcome<A> {
    match timer::timeout_at(job.deadline, stream.read_first_event(may_be_empty)).await {
        Ok(Ok(())) => {
            let payload = Payload::Stream(Box::new(stream));
            SendOutcome::Answered(Reply { status, headers, payload })
        }
        Ok(Err(cut)) => {
            feedback::record_end(shared, job, stream.reservation(), cut_event(&cut));
            SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendFailed, cut.to_string())
                    .with_executed(Executed::Unknown),
            )
        }
        Err(_) => {
            feedback::record_end(shared, job, stream.reservation(), AttemptEvent::TimedOut);
            let message = "no event before the deadline";
            SendOutcome::MaybeRan(
                Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown),
            )
        }
    }
}

fn idle_time(keep_alive: Option<Duration>) -> Duration {
    keep_alive.map_or(Duration::MAX, |announced| announced.saturating_sub(KEEP_ALIVE_MARGIN))
}

/// Whether the end of the body is told by the response, not by its connection.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}
