//! Handles requests of callers and of other boxes, from the head to the response.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;

use super::attempt::Payload;
use super::attempt::Reply;
use super::body_relay::BodyRelay;
use super::decision_log;
use super::dispatch;
use super::forwarded_versions;
use super::history::RequestHistory;
use super::job::Job;
use super::job::LOST_PATHS_HEADER;
use super::job::Origin;
use super::job::SENDS_HEADER;
use super::job::SERVER_VERSION_HEADER;
use super::quarantine;
use super::quotas;
use super::relay::Relay;
use super::shared::InFlightGuard;
use super::shared::Shared;
use super::stream_timing::StreamTiming;
use super::stream_versions;
use crate::coordination::drain::Stage;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::caller;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::activity::RequestBody;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;
use crate::transport::timer;

/// Handles a request.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    origin: Origin,
    request: Request<RequestBody>,
) -> Response<NonRelayBody> {
    let in_flight_guard = shared.track_request();
    shared.counters.increment(match origin {
        Origin::Caller => Counter::Requests,
        Origin::Peer => Counter::ForwardedIn,
    });
    let mut response = process(&shared, origin, request, in_flight_guard).await;
    if origin == Origin::Peer {
        forwarded_versions::add_version(&shared, response.headers_mut());
    }
    if shared.snapshot.load().stage != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn process<A: Adapter>(
    shared: &Arc<Shared<A>>,
    origin: Origin,
    request: Request<RequestBody>,
    in_flight_guard: InFlightGuard<A>,
) -> Response<NonRelayBody> {
    let mut history = RequestHistory::default();
    let metadata = match shared.adapter.parse_request(request.headers()) {
        Ok(metadata) => metadata,
        Err(problem) => {
            let failure = Failure::new(ErrorKind::BadRequest, problem);
            return failure_response(shared, "-", None, &history, &failure);
        }
    };
    let id = metadata.id.clone();
    let job = tokio::select! {
        biased;
        job = Job::read(shared, origin, metadata, request) => job,
        () = read_limit(shared) => {
            Err(Failure::new(ErrorKind::BodyTimeout, "the box is leaving; the body came too late"))
        }
    };
    let mut job = match job {
        Ok(job) => job,
        Err(failure) => return failure_response(shared, &id, None, &history, &failure),
    };
    if let Err(failure) = dispatch::admit(shared) {
        return failure_response(shared, &id, Some(&job), &history, &failure);
    }
    if let Err(failure) = quarantine::admit(shared, &job) {
        return failure_response(shared, &id, Some(&job), &history, &failure);
    }
    let charge = match quotas::admit(shared, &job) {
        Ok(charge) => charge,
        Err(failure) => return failure_response(shared, &id, Some(&job), &history, &failure),
    };
    match dispatch::dispatch(shared, &mut job, &mut history).await {
        Ok(reply) => reply_response(shared, job, history, reply, in_flight_guard),
        Err(failure) => {
            if history.sends == 0 && failure.executed() == Executed::No {
                quotas::refund(shared, charge);
            }
            failure_response(shared, &id, Some(&job), &history, &failure)
        }
    }
}

fn reply_response<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: Job,
    history: RequestHistory,
    mut reply: Reply<A>,
    in_flight_guard: InFlightGuard<A>,
) -> Response<NonRelayBody> {
    let body = match reply.payload {
        Payload::Whole(bytes) => {
            shared.counters.increment(Counter::Answered);
            shared.latencies.record(Timing::FullResponse, clock::since(job.arrived));
            decision_log::answered(&job, &history, reply.status.as_u16());
            ResponseBody::buffered(bytes)
        }
        Payload::Part(reader) => {
            let (shared, status) = (Arc::clone(shared), reply.status.as_u16());
            let len = reader.len;
            let relay =
                BodyRelay { shared, job, reader: *reader, status, history, in_flight_guard };
            let parts = relay.start();
            match len {
                Some(len) => ResponseBody::SizedChannel(parts, len),
                None => ResponseBody::Channel(parts),
            }
        }
        Payload::Stream(stream) => {
            stream_versions::record_begin(shared, &job, stream.version());
            if job.forward.understands_versions
                && let Some(version) = stream.version()
                && let Ok(version) = HeaderValue::try_from(format!("{version:x}"))
            {
                reply.headers.insert(SERVER_VERSION_HEADER, version);
            }
            let stream_timing = StreamTiming::begin(job.arrived, clock::now());
            shared.latencies.record(Timing::FirstEvent, stream_timing.first_event);
            let shared = Arc::clone(shared);
            let relay =
                Relay { shared, job, stream: *stream, history, in_flight_guard, stream_timing };
            ResponseBody::Channel(relay.start())
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Waits until a leaving box reads no more of a request: as long after it closed its ports as a
/// request head may take.
async fn read_limit<A>(shared: &Shared<A>) {
    let mut closing = shared.closing_since.subscribe();
    // The sender is in `shared`, so it exists.
    let since = closing.wait_for(Option::is_some).await.ok().and_then(|since| *since);
    let routing = shared.snapshot.load().routing.clone();
    let limits = routing.map(|routing| routing.limits).unwrap_or_default();
    timer::sleep_until(since.unwrap_or_else(clock::now) + limits.header_timeout).await;
}

/// Whether this box can't reach some servers of the request's service.
fn has_lost_paths<A: Adapter>(shared: &Shared<A>, job: &Job) -> bool {
    shared.with_service(&job.service, |service| service.placement.has_lost_paths()) == Some(true)
}

fn failure_response<A: Adapter>(
    shared: &Arc<Shared<A>>,
    id: &str,
    job: Option<&Job>,
    history: &RequestHistory,
    failure: &Failure,
) -> Response<NonRelayBody> {
    shared.counters.increment(Counter::Failed);
    match failure.kind {
        ErrorKind::Unauthorized => shared.counters.increment(Counter::Unauthorized),
        ErrorKind::RateLimited => shared.counters.increment(Counter::OverLimit),
        _ => {}
    }
    if failure.executed() == Executed::No {
        shared.counters.increment(Counter::Refused);
        if let Some(job) = job {
            shared.latencies.record(Timing::Refusal, clock::since(job.arrived));
        }
    }
    decision_log::failed(id, job, history, failure);
    let mut response = Response::new(ResponseBody::buffered(caller::failure_body(failure)));
    *response.status_mut() = failure.status();
    caller::add_failure_headers(failure, response.headers_mut());
    response.headers_mut().insert(SENDS_HEADER, history.arrivals().into());
    if job.is_some_and(|job| job.origin == Origin::Peer && has_lost_paths(shared, job)) {
        response.headers_mut().insert(LOST_PATHS_HEADER, HeaderValue::from_static("1"));
    }
    shared.adapter.add_failure_headers(response.headers_mut(), id, failure.retry_after());
    response
}
