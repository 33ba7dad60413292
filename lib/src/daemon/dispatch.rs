//! Runs a validated request: obtains a slot or a region to forward to, makes an
//! attempt, and retries where that is allowed.
//!
//! The request is awaited at three points before the first byte of the
//! response, and may be dropped at each of them. Dropped in the queue, it gives
//! up its place. Dropped while connecting, it releases its slot. Dropped after
//! sending, it closes the connection, which tells the backend server that the
//! response is no longer needed.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;

use super::forward;
use super::pools;
use super::pools::Grant;
use super::pools::Slot;
use super::quarantine;
use super::quarantine::Execution;
use super::relay::Relay;
use super::relay::RequestAccounting;
use super::relay::ResponseSource;
use super::request::Purpose;
use super::request::ValidatedRequest;
use super::request::is_forwarded_header;
use super::shared::InFlightGuard;
use super::shared::SharedState;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::pool::Arrival;
use crate::coordination::pool::Outcome;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::caller;
use crate::protocol::retry_after;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend::AttemptError;
use crate::transport::backend::PooledBody;
use crate::transport::timer;

/// Maximum number of attempts per request, regardless of the retry budget.
const MAX_ATTEMPTS: usize = 4;

/// A response whose body is relayed from a backend server or another box.
pub struct RelayedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers for the caller.
    pub headers: HeaderMap,
    /// Region that executes the request.
    pub region: RegionId,
    /// Response body.
    pub relay: Relay,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The response head has arrived.
    Responded(Box<RelayedResponse>),
    /// The request was not executed; another server may be tried.
    NotRun(Failure),
    /// The request was not executed, and the server asked for a rest period.
    /// Does not count toward the maximum number of attempts, because later requests
    /// skip this server.
    Resting(Failure),
    /// The request may have been executed.
    MayHaveRun(Failure),
}

/// Runs a request and returns its response once the response head has arrived.
pub async fn run(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
) -> Result<RelayedResponse, Failure> {
    place_and_attempt(shared, request).await.map_err(|failure| request.check_failure(failure))
}

/// Obtains a slot or another region and makes an attempt there, until one
/// responds or no retry is allowed.
async fn place_and_attempt(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
) -> Result<RelayedResponse, Failure> {
    let mut in_flight_guard = Some(shared.in_flight_guard());
    let pool = shared
        .pools
        .get(&request.pool)
        .ok_or_else(|| Failure::new(ErrorKind::NoServer, "the pool has no backend servers"))?;
    check_region(request)?;
    let mut tried_servers = Vec::new();
    let mut resting_count = 0;
    let mut other_regions = request.other_regions();
    loop {
        quarantine::admit(shared, request)
            .map_err(|failure| failure_after_attempts(request, failure))?;
        let on_queued = || shared.counters.increment(Counter::Queued);
        let arrival = placement_request(shared, request, &tried_servers, &other_regions);
        let grant =
            pool.acquire(apart_from_suspects(shared, request, &pool, arrival), on_queued).await;
        let grant = grant.map_err(|failure| failure_after_attempts(request, failure))?;
        let in_flight_guard = in_flight_guard.take().unwrap_or_else(|| shared.in_flight_guard());
        let exchange_guard = request.begin_exchange();
        let outcome = match grant {
            Grant::Region(region) => {
                other_regions.retain(|other| *other != region);
                match forward::to_region(shared, request, &region, in_flight_guard).await {
                    Ok(response) => AttemptOutcome::Responded(Box::new(response)),
                    Err(failure) if failure.kind == ErrorKind::Quarantined => {
                        return Err(failure_after_attempts(request, failure));
                    }
                    // A region that is unreachable or refuses the request must not cause
                    // a refusal if this box's own region can execute it: credits of a region stay
                    // usable for seconds after its last heartbeat.
                    Err(failure)
                        if failure.executed() == Executed::No && !request.may_have_been_sent() =>
                    {
                        log::debug!("event=region_left_out region={region} cause=\"{failure}\"");
                        continue;
                    }
                    Err(failure) if failure.executed() == Executed::No => {
                        AttemptOutcome::NotRun(failure)
                    }
                    Err(failure) => AttemptOutcome::MayHaveRun(failure),
                }
            }
            Grant::Slot(slot) => {
                // Servers may have crashed under it while it waited for the slot.
                quarantine::admit(shared, request)
                    .map_err(|failure| failure_after_attempts(request, failure))?;
                tried_servers.push(slot.server.clone());
                attempt_on_server(shared, request, slot, in_flight_guard).await
            }
        };
        drop(exchange_guard);
        let (failure, may_repeat) = match outcome {
            AttemptOutcome::Responded(response) => return Ok(*response),
            AttemptOutcome::NotRun(failure) => (failure, true),
            AttemptOutcome::Resting(failure) => {
                resting_count += 1;
                (failure, true)
            }
            AttemptOutcome::MayHaveRun(failure) => (failure, request.repeatable),
        };
        let in_time = clock::now() < request.deadline;
        let has_attempts_left =
            !tried_servers.is_empty() && tried_servers.len() - resting_count < MAX_ATTEMPTS;
        if !(may_repeat && in_time && has_attempts_left && take_retry(&pool)) {
            return Err(failure_after_attempts(request, failure));
        }
        shared.counters.increment(Counter::Retries);
    }
}

/// Takes one retry from the pool's retry budget. Returns whether one was left.
fn take_retry(pool: &pools::SharedPool) -> bool {
    pool.with(|pool| pool.take_retry(clock::now()))
}

/// Corrects the failure of a request after earlier attempts. If the request may
/// have been executed in one of them, it must not be reported as not executed,
/// whatever happened later.
fn failure_after_attempts(request: &ValidatedRequest, failure: Failure) -> Failure {
    if failure.executed() != Executed::No || !request.may_have_been_sent() {
        return failure;
    }
    let message = format!("the first attempt failed, and then: {}", failure.message);
    Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown)
}

fn placement_request(
    shared: &SharedState,
    request: &ValidatedRequest,
    tried_servers: &[ServerId],
    other_regions: &[RegionId],
) -> Arrival {
    Arrival {
        id: shared.next_request_number(),
        priority: request.priority,
        deadline: request.deadline,
        bytes: request.incoming.body.len(),
        local_allowed: request.allowed_regions.contains(&request.snapshot.own.region),
        remote_regions: other_regions.to_vec(),
        prefix: request.prompt_prefix_hash(),
        tried_servers: tried_servers.to_vec(),
    }
}

/// Excludes servers that execute another request which may crash them, if the request may crash
/// servers too. The next crash tells the two apart. Sharing a server is better than none.
fn apart_from_suspects(
    shared: &SharedState,
    request: &ValidatedRequest,
    pool: &pools::SharedPool,
    mut arrival: Arrival,
) -> Arrival {
    let now = clock::now();
    let occupied = shared.quarantine.occupied_servers(request.identity, now);
    if occupied.is_empty() {
        return arrival;
    }
    let tried_count = arrival.tried_servers.len();
    arrival.tried_servers.extend(occupied);
    if !pool.with(|pool| pool.may_get_server(&arrival, now)) {
        arrival.tried_servers.truncate(tried_count);
    }
    arrival
}

/// Fails if the request was forwarded to this region but may not be executed
/// here, or if no region may execute it.
fn check_region(request: &ValidatedRequest) -> Result<(), Failure> {
    let own = &request.snapshot.own.region;
    if request.allowed_regions.contains(own) {
        return Ok(());
    }
    if request.incoming.purpose == Purpose::Region || request.allowed_regions.is_empty() {
        let message = format!("the request may not run in {own}");
        return Err(Failure::new(ErrorKind::OutsideRegion, message));
    }
    Ok(())
}

/// Makes one attempt on the server that the slot belongs to.
async fn attempt_on_server(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    mut slot: Slot,
    in_flight_guard: InFlightGuard,
) -> AttemptOutcome {
    let own = &shared.settings.region;
    let is_allowed = request.allowed_regions.contains(own);
    invariant::check(Invariant::Residency, is_allowed, || {
        format!("request={}", request.incoming.id)
    });
    if !is_allowed {
        let message = format!("the request may not run in {own}");
        return AttemptOutcome::NotRun(Failure::new(ErrorKind::OutsideRegion, message));
    }
    let backend_request = match build_backend_request(request, &slot) {
        Ok(backend_request) => backend_request,
        Err(failure) => return AttemptOutcome::NotRun(failure),
    };
    // On a reused connection, remains of an earlier response could be taken for that of this
    // request. One that is sent again should not fail for the same reason twice.
    let new_connection = !request.repeatable || request.may_have_been_sent();
    let sent_at = clock::now();
    if let Err(failure) = request.record_send(sent_at) {
        return AttemptOutcome::NotRun(failure);
    }
    shared.counters.increment(Counter::Attempts);
    let execution = Execution::begin(shared, request, &slot, sent_at);
    let exchange = shared.backend.send(slot.address, backend_request, new_connection);
    let response = match timer::timeout_at(request.deadline, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            slot.set_outcome(Outcome::Failed);
            if let AttemptError::NoResponse(_) = error {
                execution.interrupted();
            }
            return classify_attempt_error(request, &slot, error);
        }
        Err(_) => {
            slot.set_outcome(Outcome::Failed);
            let message = format!("{} did not answer before the deadline", slot.server);
            return AttemptOutcome::MayHaveRun(
                Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown),
            );
        }
    };
    if names_other_request(&response, &request.incoming.id) {
        response.body().record_surplus();
        slot.set_outcome(Outcome::Failed);
        let message = format!("{} sent the answer to another request", slot.server);
        let failure = Failure::new(ErrorKind::BackendFailed, message);
        return AttemptOutcome::MayHaveRun(failure.with_executed(Executed::Unknown));
    }
    if server_reports_not_run(&response) {
        request.undo_send();
        let message = format!("{} refused the request", slot.server);
        let failure = Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::No);
        let rest_duration = retry_after::from_headers(response.headers());
        let Some(rest_duration) = rest_duration.filter(|rest_duration| !rest_duration.is_zero())
        else {
            slot.set_outcome(Outcome::Failed);
            return AttemptOutcome::NotRun(failure);
        };
        slot.set_outcome(Outcome::Rests(rest_duration));
        return AttemptOutcome::Resting(failure);
    }
    AttemptOutcome::Responded(Box::new(relay_response(
        shared,
        request,
        slot,
        execution,
        in_flight_guard,
        sent_at,
        response,
    )))
}

fn classify_attempt_error(
    request: &ValidatedRequest,
    slot: &Slot,
    error: AttemptError,
) -> AttemptOutcome {
    let message = format!("{}: {error}", slot.server);
    let failure = Failure::new(ErrorKind::BackendFailed, message);
    match error {
        AttemptError::NotSent(_) | AttemptError::Withheld => {
            request.undo_send();
            AttemptOutcome::NotRun(failure.with_executed(Executed::No))
        }
        AttemptError::NoResponse(_) | AttemptError::PathLost(_) | AttemptError::Invalid(_) => {
            AttemptOutcome::MayHaveRun(failure.with_executed(Executed::Unknown))
        }
    }
}

/// Whether the response states that it belongs to another request. A server that responds twice to
/// one request may do so while the next one is under way on the same connection.
fn names_other_request(response: &Response<PooledBody>, id: &str) -> bool {
    let named = response.headers().get(caller::RESPONSE_TO_HEADER);
    named.is_some_and(|named| named.as_bytes() != id.as_bytes())
}

/// Whether the backend server states that it did not execute the request.
fn server_reports_not_run(response: &Response<PooledBody>) -> bool {
    let status = response.status();
    let is_refusal =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    is_refusal
        && response
            .headers()
            .get(caller::RAN_HEADER)
            .is_some_and(|value| value == Executed::No.as_str())
}

fn build_backend_request(
    request: &ValidatedRequest,
    slot: &Slot,
) -> Result<Request<Full<bytes::Bytes>>, Failure> {
    let malformed_path = |_| Failure::new(ErrorKind::BadRequest, "the path cannot be passed on");
    let uri: Uri = request.backend_path.parse().map_err(malformed_path)?;
    let mut backend_request = Request::new(Full::new(request.incoming.body.clone()));
    *backend_request.method_mut() = request.incoming.method.clone();
    *backend_request.uri_mut() = uri;
    let headers = backend_request.headers_mut();
    for (name, value) in &request.incoming.headers {
        if is_forwarded_header(name) {
            headers.append(name, value.clone());
        }
    }
    let host = slot.address.to_string();
    if let Ok(host) = host.parse() {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = request.incoming.id.parse() {
        headers.insert(caller::REQUEST_ID_HEADER, id);
    }
    if let Ok(priority) = request.priority.as_str().parse() {
        headers.insert(caller::PRIORITY_HEADER, priority);
    }
    Ok(backend_request)
}

fn relay_response(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    slot: Slot,
    execution: Execution,
    in_flight_guard: InFlightGuard,
    sent_at: Instant,
    response: Response<PooledBody>,
) -> RelayedResponse {
    let (parts, exchange) = response.into_parts();
    let is_event_stream = request.stream && has_event_stream_type(&parts.headers);
    // A server error does not show that the request can succeed.
    let execution = Some(execution).filter(|_| !parts.status.is_server_error());
    let accounting = RequestAccounting {
        execution,
        ..request_accounting(shared, request, Some(slot), in_flight_guard, sent_at)
    };
    let mut headers = forwarded_headers(&parts.headers);
    if is_event_stream {
        // With the error event, a broken stream may have as many bytes as a whole one.
        headers.remove(header::CONTENT_LENGTH);
    }
    RelayedResponse {
        status: parts.status,
        headers,
        region: shared.settings.region.clone(),
        relay: Relay::new(ResponseSource::Backend(Box::new(exchange)), accounting, is_event_stream),
    }
}

/// Creates the accounting of a request that was sent.
pub(super) fn request_accounting(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    slot: Option<Slot>,
    in_flight_guard: InFlightGuard,
    sent_at: Instant,
) -> RequestAccounting {
    RequestAccounting {
        shared: Arc::clone(shared),
        snapshot: Arc::clone(&request.snapshot),
        pool: request.pool.clone(),
        arrived_at: request.incoming.arrived_at,
        sent_at,
        from_caller: request.incoming.purpose == Purpose::Caller,
        slot,
        execution: None,
        in_flight_guard,
    }
}

fn has_event_stream_type(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_forwarded_header(name) || *name == header::CONTENT_LENGTH {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
