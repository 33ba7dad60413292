//! Handles requests of callers and of other boxes, from the head to the answer.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;

use super::attempt::Payload;
use super::attempt::Reply;
use super::decision_log;
use super::dispatch;
use super::history::RequestHistory;
use super::job::Job;
use super::job::Origin;
use super::job::SENDS_HEADER;
use super::quarantine;
use super::quotas;
use super::relay::Relay;
use super::shared::InFlightGuard;
use super::shared::Shared;
use super::stream_timing::StreamTiming;
use crate::coordination::drain::Stage;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::adapter::Adapter;
use crate::protocol::caller;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::body::Answer;
use crate::transport::body::Passed;

/// Answers a request.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Passed> {
    let in_flight_guard = shared.track_request();
    shared.counters.count(match origin {
        Origin::Caller => Counter::Requests,
        Origin::Peer => Counter::ForwardedIn,
    });
    let mut response = process(&shared, origin, request, in_flight_guard).await;
    if shared.snapshot.load().stage != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn process<A: Adapter>(
    shared: &Arc<Shared<A>>,
    origin: Origin,
    request: Request<Incoming>,
    in_flight_guard: InFlightGuard<A>,
) -> Response<Passed> {
    let mut history = RequestHistory::default();
    let ask = match shared.adapter.ask(request.headers()) {
        Ok(ask) => ask,
        Err(problem) => {
            let failure = Failure::new(Kind::BadRequest, problem);
            return failure_response(shared, "-", None, &history, &failure);
        }
    };
    let id = ask.id.clone();
    let job = match Job::read(shared, origin, ask, request).await {
        Ok(job) => job,
        Err(failure) => return failure_response(shared, &id, None, &history, &failure),
    };
    if let Err(failure) = quarantine::admit(shared, &job) {
        return failure_response(shared, &id, Some(&job), &history, &failure);
    }
    let charge = match quotas::admit(shared, &job) {
        Ok(charge) => charge,
        Err(failure) => return failure_response(shared, &id, Some(&job), &history, &failure),
    };
    match dispatch::dispatch(shared, &job, &mut history).await {
        Ok(reply) => reply_response(shared, job, history, reply, in_flight_guard),
        Err(failure) => {
            if history.sends == 0 && failure.ran() == Ran::No {
                quotas::give_back(shared, charge);
            }
            failure_response(shared, &id, Some(&job), &history, &failure)
        }
    }
}

fn reply_response<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: Job,
    history: RequestHistory,
    reply: Reply<A>,
    in_flight_guard: InFlightGuard<A>,
) -> Response<Passed> {
    let body = match reply.payload {
        Payload::Whole(bytes) => {
            shared.counters.count(Counter::Answered);
            shared.latencies.record(Timing::WholeAnswer, clock::since(job.arrived));
            decision_log::answered(&job, &history, reply.status.as_u16());
            Answer::whole(bytes)
        }
        Payload::Stream(stream) => {
            let stream_timing = StreamTiming::begin(job.arrived, clock::now());
            shared.latencies.record(Timing::FirstEvent, stream_timing.first_event);
            let shared = Arc::clone(shared);
            let relay =
                Relay { shared, job, stream: *stream, history, in_flight_guard, stream_timing };
            Answer::Channel(relay.start())
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

fn failure_response<A: Adapter>(
    shared: &Arc<Shared<A>>,
    id: &str,
    job: Option<&Job>,
    history: &RequestHistory,
    failure: &Failure,
) -> Response<Passed> {
    shared.counters.count(Counter::Failed);
    match failure.kind {
        Kind::Unauthorized => shared.counters.count(Counter::Unauthorized),
        Kind::RateLimited => shared.counters.count(Counter::OverLimit),
        _ => {}
    }
    if failure.ran() == Ran::No {
        shared.counters.count(Counter::Refused);
        if let Some(job) = job {
            shared.latencies.record(Timing::Refusal, clock::since(job.arrived));
        }
    }
    decision_log::failed(id, job, history, failure);
    let mut response = Response::new(Answer::whole(caller::failure_body(failure)));
    *response.status_mut() = failure.status();
    caller::failure_headers(failure, response.headers_mut());
    response.headers_mut().insert(SENDS_HEADER, history.arrivals().into());
    shared.adapter.mark(response.headers_mut(), id, failure.retry_after());
    response
}
