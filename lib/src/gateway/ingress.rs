//! Requests of callers and of other boxes, from the head to the answer.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;

use super::attempt::Payload;
use super::attempt::Reply;
use super::course::Course;
use super::job::Job;
use super::job::Origin;
use super::job::SENDS;
use super::pace::Pace;
use super::quarantine;
use super::quotas;
use super::record;
use super::relay::Relay;
use super::run;
use super::shared::Progress;
use super::shared::Shared;
use crate::coordination::drain::Stage;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::caller;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::latency::Timing;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;

/// Answers a request.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<NonRelayBody> {
    let progress = shared.progress();
    shared.counters.increment(match origin {
        Origin::Caller => Counter::Requests,
        Origin::Peer => Counter::ForwardedIn,
    });
    let mut response = answer(&shared, origin, request, progress).await;
    if shared.snapshot.load().stage != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer<A: Adapter>(
    shared: &Arc<Shared<A>>,
    origin: Origin,
    request: Request<Incoming>,
    progress: Progress<A>,
) -> Response<NonRelayBody> {
    let mut course = Course::default();
    let ask = match shared.adapter.parse_request(request.headers()) {
        Ok(ask) => ask,
        Err(problem) => {
            let failure = Failure::new(ErrorKind::BadRequest, problem);
            return failed(shared, "-", None, &course, &failure);
        }
    };
    let id = ask.id.clone();
    let job = match Job::read(shared, origin, ask, request).await {
        Ok(job) => job,
        Err(failure) => return failed(shared, &id, None, &course, &failure),
    };
    if let Err(failure) = quarantine::admit(shared, &job) {
        return failed(shared, &id, Some(&job), &course, &failure);
    }
    let charge = match quotas::admit(shared, &job) {
        Ok(charge) => charge,
        Err(failure) => return failed(shared, &id, Some(&job), &course, &failure),
    };
    match run::run(shared, &job, &mut course).await {
        Ok(reply) => pass_on(shared, job, course, reply, progress),
        Err(failure) => {
            if course.sends == 0 && failure.executed() == Executed::No {
                quotas::give_back(shared, charge);
            }
            failed(shared, &id, Some(&job), &course, &failure)
        }
    }
}

fn pass_on<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: Job,
    course: Course,
    reply: Reply<A>,
    progress: Progress<A>,
) -> Response<NonRelayBody> {
    let body = match reply.payload {
        Payload::Whole(bytes) => {
            shared.counters.increment(Counter::Answered);
            shared.latencies.record(Timing::WholeAnswer, clock::since(job.arrived));
            record::answered(&job, &course, reply.status.as_u16());
            ResponseBody::buffered(bytes)
        }
        Payload::Stream(stream) => {
            let pace = Pace::begin(job.arrived, clock::now());
            shared.latencies.record(Timing::FirstEvent, pace.first);
            let shared = Arc::clone(shared);
            let relay = Relay { shared, job, stream: *stream, course, progress, pace };
            ResponseBody::Channel(relay.start())
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

fn failed<A: Adapter>(
    shared: &Arc<Shared<A>>,
    id: &str,
    job: Option<&Job>,
    course: &Course,
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
    record::failed(id, job, course, failure);
    let mut response = Response::new(ResponseBody::buffered(caller::failure_body(failure)));
    *response.status_mut() = failure.status();
    caller::add_failure_headers(failure, response.headers_mut());
    response.headers_mut().insert(SENDS, course.arrivals().into());
    shared.adapter.add_failure_headers(response.headers_mut(), id, failure.retry_after());
    response
}
