//! Runs a checked request: a slot or a region, an attempt, and a retry where
//! that is allowed.
//!
//! Between the choice and the first byte there are three awaits, and dropping
//! the request at each leaves this behind: in the queue, nothing (the place is
//! given up); while connecting, nothing (the slot is given back); after
//! sending, a closed connection, by which the backend server learns that
//! nobody waits any more.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;

use super::call::Call;
use super::call::Purpose;
use super::call::is_passed_on;
use super::forward;
use super::pools;
use super::pools::Grant;
use super::pools::Slot;
use super::relay::Account;
use super::relay::Relay;
use super::relay::Source;
use super::shared::Progress;
use super::shared::Shared;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::pool::Arrival;
use crate::coordination::pool::Outcome;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::caller;
use crate::protocol::retry_after;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend::Attempt;
use crate::transport::backend::Exchange;
use crate::transport::timer;

/// Most attempts for one request, whatever the budget says.
const MAX_ATTEMPTS: usize = 4;

/// The head of an answer whose body follows.
pub struct Started {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Region that runs it.
    pub region: RegionId,
    /// Body.
    pub relay: Relay,
}

/// What came of one attempt.
enum Tried {
    Started(Box<Started>),
    /// The request was not run; another server may be tried.
    NotRun(Failure),
    /// As that, and the server gets nothing for a while: it uses up no attempt, since the next request won't meet it.
    Rests(Failure),
    /// It may have run.
    Lost(Failure),
}

/// Runs a request.
pub async fn run(shared: &Arc<Shared>, call: &Call) -> Result<Started, Failure> {
    place_and_try(shared, call).await.map_err(|failure| call.failed(failure))
}

async fn place_and_try(shared: &Arc<Shared>, call: &Call) -> Result<Started, Failure> {
    let mut progress = Some(shared.progress());
    let pool = shared
        .pools
        .get(&call.pool)
        .ok_or_else(|| Failure::new(Kind::NoServer, "the pool has no backend servers"))?;
    check_region(call)?;
    let mut tried = Vec::new();
    let mut rests = 0;
    let mut elsewhere = call.elsewhere();
    loop {
        let queued = || shared.counters.count(Counter::Queued);
        let grant = pool.acquire(arrival(shared, call, &tried, &elsewhere), queued).await;
        let grant = grant.map_err(|failure| after_attempts(call, failure))?;
        let progress = progress.take().unwrap_or_else(|| shared.progress());
        let exchange = call.exchange();
        let attempt = match grant {
            Grant::Region(region) => {
                elsewhere.retain(|other| *other != region);
                match forward::to_region(shared, call, &region, progress).await {
                    Ok(started) => Tried::Started(Box::new(started)),
                    // A region that cannot be reached, or refuses, is no reason to refuse what can run
                    // here: its slots may be lent for seconds after the last word of it.
                    Err(failure) if failure.ran() == Ran::No && !call.maybe_sent() => {
                        log::debug!("event=region_left_out region={region} cause=\"{failure}\"");
                        continue;
                    }
                    Err(failure) if failure.ran() == Ran::No => Tried::NotRun(failure),
                    Err(failure) => Tried::Lost(failure),
                }
            }
            Grant::Slot(slot) => {
                tried.push(slot.server.clone());
                attempt(shared, call, slot, progress).await
            }
        };
        drop(exchange);
        let (failure, may_repeat) = match attempt {
            Tried::Started(started) => return Ok(*started),
            Tried::NotRun(failure) => (failure, true),
            Tried::Rests(failure) => {
                rests += 1;
                (failure, true)
            }
            Tried::Lost(failure) => (failure, call.repeatable),
        };
        let in_time = clock::now() < call.deadline;
        let here = !tried.is_empty() && tried.len() - rests < MAX_ATTEMPTS;
        if !(may_repeat && in_time && here && may_retry(&pool)) {
            return Err(after_attempts(call, failure));
        }
        shared.counters.count(Counter::Retries);
    }
}

fn may_retry(pool: &pools::Shared) -> bool {
    pool.with(|pool| pool.take_retry(clock::now()))
}

/// A request that found no further place after an attempt that may have run
/// must not be called "not run", whatever the later one came to.
fn after_attempts(call: &Call, failure: Failure) -> Failure {
    if failure.ran() != Ran::No || !call.maybe_sent() {
        return failure;
    }
    let message = format!("the first attempt failed, and then: {}", failure.message);
    Failure::new(Kind::BackendFailed, message).with_ran(Ran::Unknown)
}

fn arrival(shared: &Shared, call: &Call, tried: &[ServerId], elsewhere: &[RegionId]) -> Arrival {
    Arrival {
        id: shared.next_request(),
        priority: call.priority,
        deadline: call.deadline,
        bytes: call.incoming.body.len(),
        local_allowed: call.allowed.contains(&call.snapshot.own.region),
        remote_regions: elsewhere.to_vec(),
        prefix: call.prefix(),
        tried_servers: tried.to_vec(),
    }
}

/// A request that came here to be run must be allowed here.
fn check_region(call: &Call) -> Result<(), Failure> {
    let own = &call.snapshot.own.region;
    if call.allowed.contains(own) {
        return Ok(());
    }
    if call.incoming.purpose == Purpose::Region || call.allowed.is_empty() {
        let message = format!("the request may not run in {own}");
        return Err(Failure::new(Kind::OutsideRegion, message));
    }
    Ok(())
}

async fn attempt(shared: &Arc<Shared>, call: &Call, mut slot: Slot, progress: Progress) -> Tried {
    let own = &shared.settings.region;
    let allowed = call.allowed.contains(own);
    invariant::check(Invariant::Residency, allowed, || format!("request={}", call.incoming.id));
    if !allowed {
        let message = format!("the request may not run in {own}");
        return Tried::NotRun(Failure::new(Kind::OutsideRegion, message));
    }
    let request = match request(call, &slot) {
        Ok(request) => request,
        Err(failure) => return Tried::NotRun(failure),
    };
    let sent = clock::now();
    if let Err(failure) = call.about_to_send(sent) {
        return Tried::NotRun(failure);
    }
    shared.counters.count(Counter::Attempts);
    let exchange = shared.backend.exchange(slot.address, request, !call.repeatable);
    let response = match timer::timeout_at(call.deadline, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(attempt)) => {
            slot.set_outcome(Outcome::Failed);
            return failed(call, &slot, attempt);
        }
        Err(_) => {
            slot.set_outcome(Outcome::Failed);
            let message = format!("{} did not answer before the deadline", slot.server);
            return Tried::Lost(Failure::new(Kind::BackendTimeout, message).with_ran(Ran::Unknown));
        }
    };
    if says_not_run(&response) {
        call.not_sent();
        let message = format!("{} refused the request", slot.server);
        let failure = Failure::new(Kind::BackendFailed, message).with_ran(Ran::No);
        let rest = retry_after::read(response.headers());
        let Some(rest) = rest.filter(|rest| !rest.is_zero()) else {
            slot.set_outcome(Outcome::Failed);
            return Tried::NotRun(failure);
        };
        slot.set_outcome(Outcome::Rests(rest));
        return Tried::Rests(failure);
    }
    Tried::Started(Box::new(started(shared, call, slot, progress, sent, response)))
}

fn failed(call: &Call, slot: &Slot, attempt: Attempt) -> Tried {
    let message = format!("{}: {attempt}", slot.server);
    let failure = Failure::new(Kind::BackendFailed, message);
    match attempt {
        Attempt::Unsent(_) | Attempt::Withheld => {
            call.not_sent();
            Tried::NotRun(failure.with_ran(Ran::No))
        }
        Attempt::Lost(_) => Tried::Lost(failure.with_ran(Ran::Unknown)),
    }
}

/// The backend server itself says that it did not run the request.
fn says_not_run(response: &Response<Exchange>) -> bool {
    let status = response.status();
    let refused =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    refused && response.headers().get(caller::RAN).is_some_and(|ran| ran == Ran::No.as_str())
}

fn request(call: &Call, slot: &Slot) -> Result<Request<Full<bytes::Bytes>>, Failure> {
    let malformed = |_| Failure::new(Kind::BadRequest, "the path cannot be passed on");
    let uri: Uri = call.backend_path.parse().map_err(malformed)?;
    let mut request = Request::new(Full::new(call.incoming.body.clone()));
    *request.method_mut() = call.incoming.method.clone();
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    for (name, value) in &call.incoming.headers {
        if is_passed_on(name) {
            headers.append(name, value.clone());
        }
    }
    let host = slot.address.to_string();
    if let Ok(host) = host.parse() {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = call.incoming.id.parse() {
        headers.insert(caller::REQUEST_ID, id);
    }
    if let Ok(priority) = call.priority.as_str().parse() {
        headers.insert(caller::PRIORITY, priority);
    }
    Ok(request)
}

fn started(
    shared: &Arc<Shared>,
    call: &Call,
    slot: Slot,
    progress: Progress,
    sent: Instant,
    response: Response<Exchange>,
) -> Started {
    let (head, exchange) = response.into_parts();
    let events = call.stream && is_event_stream(&head.headers);
    let account = account(shared, call, Some(slot), progress, sent);
    Started {
        status: head.status,
        headers: passed_on(&head.headers),
        region: shared.settings.region.clone(),
        relay: Relay::new(Source::Backend(Box::new(exchange)), account, events),
    }
}

/// The accounts of a request that was sent.
pub(super) fn account(
    shared: &Arc<Shared>,
    call: &Call,
    slot: Option<Slot>,
    progress: Progress,
    sent: Instant,
) -> Account {
    Account {
        shared: Arc::clone(shared),
        snapshot: Arc::clone(&call.snapshot),
        pool: call.pool.clone(),
        arrived: call.incoming.arrived,
        sent,
        from_caller: call.incoming.purpose == Purpose::Caller,
        slot,
        progress,
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_passed_on(name) || *name == header::CONTENT_LENGTH {
            kept.append(name, value.clone());
        }
    }
    kept
}
