//! One send of a request, to a backend server or to a box of another region,
//! and what came of it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use super::job::Job;
use super::job::SENDS;
use super::job::passed_on;
use super::learning;
use super::record;
use super::shared::Held;
use super::shared::Shared;
use super::stream::Stream;
use crate::coordination::attempt::AttemptEvent;
use crate::coordination::attempt::AttemptReport;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Verdict;
use crate::protocol::caller;
use crate::protocol::retry_after;
use crate::state::counters::Counter;
use crate::transport::backend;
use crate::transport::backend::Attempt;
use crate::transport::backend::Exchange;
use crate::transport::timer;

/// Largest answer that is read whole before it is passed on, bytes.
const WHOLE_LIMIT: usize = 8 << 20;
/// What a connection's announced idle time is cut by, for the way there.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// An answer to pass on.
pub struct Reply<A: Adapter> {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub payload: Payload<A>,
}

/// The body of an answer to pass on.
pub enum Payload<A: Adapter> {
    /// Read whole.
    Whole(Bytes),
    /// A stream of events that has begun.
    Stream(Box<Stream<A>>),
}

/// What came of one send.
pub enum Tried<A: Adapter> {
    /// An answer.
    Answered(Reply<A>),
    /// It did not run, and was not even sent.
    Unsent(Failure),
    /// The other side refused it; it did not run.
    Refused(Failure),
    /// As that, and the server wants nothing from this box for a while.
    Rests(Failure),
    /// It may have run.
    Lost(Failure),
}

/// Sends to a backend server.
pub async fn to_server<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    held: Held<A>,
    last_event: Option<u64>,
) -> Tried<A> {
    let request = job.for_server(&shared.adapter, &held.place.server, last_event);
    shared.counters.count(Counter::Attempts);
    // A request that may run only once takes a new connection: nothing that an
    // earlier answer left behind can be taken for its own.
    let fresh = !job.route.repeatable();
    let address = held.place.address;
    let server = held.place.server.clone();
    // What the server has said since it was chosen counts: a connection may take as long as the choice is old.
    let admits = || held.is_still_admitted();
    let response = send(&shared.servers, job, address, request, fresh, admits).await;
    let mut held = Some(held);
    match response {
        Ok(response) => receive(shared, job, response, held).await,
        Err(sent) => {
            learning::end(shared, job, &mut held, sent.event);
            sent.into_tried(&server)
        }
    }
}

/// Sends to a box of another region.
pub async fn to_peer<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    address: std::net::SocketAddr,
    last_event: Option<u64>,
) -> Tried<A> {
    let request = job.for_peer(&shared.adapter, last_event);
    shared.counters.count(Counter::ForwardedOut);
    match send(&shared.peers, job, address, request, false, || true).await {
        Ok(response) => match refusal(&response) {
            Some(failure) if failure.ran() == Ran::No && !was_sent(&response) => {
                Tried::Unsent(failure)
            }
            Some(failure) if failure.ran() == Ran::No => Tried::Refused(failure),
            Some(failure) => Tried::Lost(failure),
            None => receive(shared, job, response, None).await,
        },
        Err(sent) => sent.into_tried(&address.to_string()),
    }
}

/// A send without an answer.
struct Unanswered {
    event: AttemptEvent,
    message: String,
}

impl Unanswered {
    fn into_tried<A: Adapter>(self, target: &str) -> Tried<A> {
        let message = format!("{target}: {}", self.message);
        match self.event {
            AttemptEvent::Unreachable | AttemptEvent::NotSent => {
                Tried::Unsent(Failure::new(Kind::NoServer, message))
            }
            AttemptEvent::TimedOut => {
                Tried::Lost(Failure::new(Kind::BackendTimeout, message).with_ran(Ran::Unknown))
            }
            _ => Tried::Lost(Failure::new(Kind::BackendFailed, message).with_ran(Ran::Unknown)),
        }
    }
}

async fn send(
    client: &backend::Client,
    job: &Job,
    address: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
    fresh: bool,
    admits: impl Fn() -> bool,
) -> Result<Response<Exchange>, Unanswered> {
    let exchange = client.exchange_if(address, request, fresh, admits);
    match timer::timeout_at(job.deadline, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(Attempt::Unsent(message))) => {
            Err(Unanswered { event: AttemptEvent::Unreachable, message })
        }
        Ok(Err(Attempt::Withheld)) => {
            let message = "the server takes nothing by now".to_owned();
            Err(Unanswered { event: AttemptEvent::NotSent, message })
        }
        Ok(Err(Attempt::Lost(message))) => {
            Err(Unanswered { event: AttemptEvent::Interrupted, message })
        }
        Err(_) => {
            let message = "no answer before the deadline".to_owned();
            Err(Unanswered { event: AttemptEvent::TimedOut, message })
        }
    }
}

/// Whether the box that answered had sent the request to a server.
fn was_sent(response: &Response<Exchange>) -> bool {
    response.headers().get(SENDS).is_none_or(|sends| sends != "0")
}

/// The failure that another box answered with, unless it passes a server's answer on.
fn refusal(response: &Response<Exchange>) -> Option<Failure> {
    let ran = response.headers().get(caller::RAN)?.to_str().map_or(Ran::Unknown, Ran::parse);
    let message = format!("the box answered {}", response.status());
    let kind = match (ran, response.status()) {
        (Ran::No, StatusCode::UNAUTHORIZED) => Kind::Unauthorized,
        (Ran::No, _) => Kind::QueueFull,
        (_, StatusCode::GATEWAY_TIMEOUT) => Kind::BackendTimeout,
        _ => Kind::BackendFailed,
    };
    let failure = Failure::new(kind, message).with_ran(ran);
    Some(match retry_after::read(response.headers()) {
        Some(come_back) => failure.with_retry_after(come_back),
        None => failure,
    })
}

/// Reads an answer as far as it is needed to decide what becomes of it.
async fn receive<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    response: Response<Exchange>,
    mut held: Option<Held<A>>,
) -> Tried<A> {
    let (head, mut exchange) = response.into_parts();
    let verdict = shared.adapter.verdict(head.status, &head.headers);
    let lost = |held: &mut Option<Held<A>>, event, kind, message: &str| {
        learning::end(shared, job, held, event);
        Tried::Lost(Failure::new(kind, message).with_ran(Ran::Unknown))
    };
    if verdict.id.as_deref() != Some(job.ask.id.as_str()) {
        let message = "the answer is that of another request";
        return lost(&mut held, AttemptEvent::Invalid, Kind::BackendFailed, message);
    }
    let event = event(&verdict);
    if let Some(held) = held.as_ref().filter(|_| verdict.words.says_something()) {
        record::server_said(job, &held.place.server, &verdict.words, head.status);
    }
    learning::report(shared, job, &mut held, &AttemptReport::head(event, verdict.words));
    match event {
        AttemptEvent::Replaced => {
            let message = "another instance has the address";
            return Tried::Refused(Failure::new(Kind::NoServer, message));
        }
        AttemptEvent::Refused => {
            exchange.finished_for(idle_time(verdict.keep_alive));
            let failure = Failure::new(Kind::QueueFull, "the backend server refused");
            let rests = verdict.words.rest.is_some_and(|rest| !rest.is_zero());
            return if rests { Tried::Rests(failure) } else { Tried::Refused(failure) };
        }
        AttemptEvent::Invalid => {
            let message = "the answer has no mark of its server";
            return Tried::Lost(Failure::new(Kind::BackendFailed, message).with_ran(Ran::Unknown));
        }
        _ => {}
    }
    let idle = idle_time(verdict.keep_alive);
    let headers = passed_on(&head.headers);
    if head.status.is_success() && is_event_stream(&head.headers) {
        let stream = Stream::new(exchange, held, idle);
        return begin(shared, job, head.status, headers, stream).await;
    }
    let body = Limited::new(exchange.body(), WHOLE_LIMIT).collect();
    match timer::timeout_at(job.deadline, body).await {
        Ok(Ok(body)) => {
            exchange.finished_for(idle);
            held.iter_mut().for_each(Held::first_byte);
            learning::end(shared, job, &mut held, whole(head.status));
            let payload = Payload::Whole(body.to_bytes());
            Tried::Answered(Reply { status: head.status, headers, payload })
        }
        Ok(Err(error)) => {
            lost(&mut held, AttemptEvent::Interrupted, Kind::BackendFailed, &error.to_string())
        }
        Err(_) => {
            let message = "the answer did not end in time";
            lost(&mut held, AttemptEvent::Invalid, Kind::BackendTimeout, message)
        }
    }
}

/// What the head of an answer says became of the send so far.
fn event(verdict: &Verdict) -> AttemptEvent {
    if verdict.other_instance {
        AttemptEvent::Replaced
    } else if verdict.not_run {
        AttemptEvent::Refused
    } else if verdict.sealed {
        AttemptEvent::HeadReceived
    } else {
        AttemptEvent::Invalid
    }
}

/// What a whole answer says.
fn whole(status: StatusCode) -> AttemptEvent {
    if status.is_success() {
        AttemptEvent::Answered
    } else if status.is_server_error() {
        // A server's own failure does not show that the request is sound.
        AttemptEvent::Failed
    } else {
        AttemptEvent::Rejected
    }
}

/// Waits for the first event, so that a server that fails before it can still be replaced.
async fn begin<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    status: StatusCode,
    headers: HeaderMap,
    mut stream: Stream<A>,
) -> Tried<A> {
    match timer::timeout_at(job.deadline, stream.begin()).await {
        Ok(Ok(())) => {
            let payload = Payload::Stream(Box::new(stream));
            Tried::Answered(Reply { status, headers, payload })
        }
        Ok(Err(cut)) => {
            learning::end(shared, job, stream.held(), AttemptEvent::Interrupted);
            Tried::Lost(Failure::new(Kind::BackendFailed, cut.to_string()).with_ran(Ran::Unknown))
        }
        Err(_) => {
            learning::end(shared, job, stream.held(), AttemptEvent::TimedOut);
            let message = "no event before the deadline";
            Tried::Lost(Failure::new(Kind::BackendTimeout, message).with_ran(Ran::Unknown))
        }
    }
}

fn idle_time(keep_alive: Option<Duration>) -> Duration {
    keep_alive.map_or(Duration::MAX, |announced| announced.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}
