//! The HTTP API for callers: handles a request from its arrival to its
//! response.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming as RequestBody;
use rand::Rng;
use serde_json::json;

use super::dispatch;
use super::idempotency;
use super::idempotency::GatewayResponse;
use super::relay::Relay;
use super::request::IncomingRequest;
use super::request::Purpose;
use super::request::ValidatedRequest;
use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::ticket::Ticket;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::TeamId;
use crate::protocol::caller;
use crate::protocol::caller::BoxEntry;
use crate::protocol::caller::BoxesResponse;
use crate::protocol::caller::Endpoint;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::team::KeyDigest;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::snapshot::Snapshot;
use crate::transport::body::ResponseBody;
use crate::transport::timer;

/// A response to a caller.
pub type CallerResponse = Response<ResponseBody<Relay>>;

/// Maximum time to read a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Maximum time to read and discard a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// How long callers may use the box list; shorter than the grace period of a
/// leaving box.
const BOX_LIST_VALIDITY: Duration = Duration::from_secs(2);
/// Maximum number of boxes in the box list.
const MAX_LISTED_BOXES: usize = 340;
/// Weight of an idle box in the box list.
const IDLE_BOX_WEIGHT: u32 = 1000;

/// Handles a request from a caller.
pub async fn handle(shared: Arc<SharedState>, request: Request<RequestBody>) -> CallerResponse {
    let arrived_at = clock::now();
    let id = format!("{:x}-{:x}", shared.incarnation, shared.next_request_number());
    let (parts, body) = request.into_parts();
    let snapshot = shared.current_snapshot();
    let response = match respond(&shared, &snapshot, &id, parts, body, arrived_at).await {
        Ok(response) => response,
        Err(failure) => failure_response(&shared, &failure),
    };
    add_gateway_headers(&shared, &snapshot, &id, response)
}

async fn respond(
    shared: &Arc<SharedState>,
    snapshot: &Arc<Snapshot>,
    id: &str,
    parts: Parts,
    body: RequestBody,
    arrived_at: Instant,
) -> Result<CallerResponse, Failure> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let endpoint = Endpoint::parse(&parts.method, path)?;
    match endpoint {
        Endpoint::Health => return Ok(text_response("ok\n")),
        Endpoint::Ready => return readiness_response(snapshot),
        _ => {}
    }
    shared.counters.increment(Counter::Requests);
    if !snapshot.ready {
        return Err(Failure::new(ErrorKind::NotReady, "the box has no configuration yet"));
    }
    let team = authenticate(&snapshot.configuration, &parts.headers)?;
    match endpoint {
        Endpoint::Models => return models_response(&snapshot.configuration, &team),
        Endpoint::Boxes => return box_list_response(shared, snapshot),
        _ => {}
    }
    if !snapshot.stage.accepts_requests() {
        return Err(leaving_failure(snapshot));
    }
    check_rate_limit(shared, &snapshot.configuration, &team)?;
    let incoming = IncomingRequest {
        id: id.to_owned(),
        purpose: Purpose::Caller,
        visited: Vec::new(),
        team,
        path: path.to_owned(),
        method: parts.method,
        headers: parts.headers,
        body: read_body(body, snapshot.configuration.limits.max_body_bytes).await?,
        arrived_at,
    };
    let on_failure = |request: &ValidatedRequest| record_failure(shared, request);
    let request = ValidatedRequest::validate(incoming, &endpoint, Arc::clone(snapshot))?;
    run_request(shared, request, on_failure).await.map(caller_response)
}

async fn run_request(
    shared: &Arc<SharedState>,
    mut request: ValidatedRequest,
    on_failure: impl Fn(&ValidatedRequest),
) -> Result<GatewayResponse, Failure> {
    match request.key.take() {
        Some(key) => idempotency::run(shared, request, key).await,
        None => {
            let result = dispatch::run(shared, &request).await;
            if result.is_err() {
                on_failure(&request);
            }
            result.map(GatewayResponse::from)
        }
    }
}

/// Records a failed request against the objectives of its pool.
fn record_failure(shared: &SharedState, request: &ValidatedRequest) {
    let configuration = &request.snapshot.configuration;
    lock(&shared.burn).record(configuration, &request.pool, None, clock::now());
}

fn readiness_response(snapshot: &Snapshot) -> Result<CallerResponse, Failure> {
    if !snapshot.ready {
        return Err(Failure::new(ErrorKind::NotReady, "the box has no configuration yet"));
    }
    if snapshot.own.phase == Phase::Leaving {
        return Err(leaving_failure(snapshot));
    }
    Ok(text_response("ready\n"))
}

fn leaving_failure(snapshot: &Snapshot) -> Failure {
    let serving = snapshot.members.iter().filter(|member| member.phase == Phase::Serving);
    let nearest = serving.min_by_key(|member| member.region != snapshot.own.region);
    let message = match nearest {
        Some(member) => format!("this box is leaving; use {}", member.caller_address),
        None => "this box is leaving".to_owned(),
    };
    Failure::new(ErrorKind::Leaving, message)
}

/// Determines the team of a request. The configuration holds hashes of the
/// keys, and the lookup compares hashes, so its timing reveals nothing about a
/// key.
fn authenticate(configuration: &Configuration, headers: &HeaderMap) -> Result<TeamId, Failure> {
    let unauthorized = |text: &str| Failure::new(ErrorKind::Unauthorized, text);
    match caller::bearer_token(headers)? {
        Some(key) => {
            let digest = KeyDigest::of(key).to_string();
            let team = configuration.keys.get(&digest).or(configuration.anonymous.as_ref());
            team.cloned().ok_or_else(|| unauthorized("the key is not known"))
        }
        None => {
            let team = configuration.anonymous.clone();
            team.ok_or_else(|| unauthorized("expected Authorization: Bearer <key>"))
        }
    }
}

fn check_rate_limit(
    shared: &SharedState,
    configuration: &Configuration,
    team: &TeamId,
) -> Result<(), Failure> {
    let Some(rate) = configuration.teams.get(team).map(|team| team.requests_per_second) else {
        return Err(Failure::new(ErrorKind::Unauthorized, "the team is not declared"));
    };
    lock(&shared.limiter).admit(team, rate, clock::now()).map_err(|after| {
        let message = format!("the team is over {rate} requests a second");
        Failure::new(ErrorKind::RateLimited, message).with_retry_after(after)
    })
}

async fn read_body(body: RequestBody, max_bytes: usize) -> Result<Bytes, Failure> {
    let too_large =
        || Failure::new(ErrorKind::BodyTooLarge, format!("the body is over {max_bytes} bytes"));
    let announced_bytes = http_body::Body::size_hint(&body).lower();
    if announced_bytes > max_bytes as u64 {
        tokio::spawn(discard_body(body));
        return Err(too_large());
    }
    let mut body = body;
    let collected = Limited::new(&mut body, max_bytes).collect();
    match timer::timeout(BODY_READ_TIMEOUT, collected).await {
        Err(_) => Err(Failure::new(ErrorKind::BodyTimeout, "the body did not arrive in time")),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            tokio::spawn(discard_body(body));
            Err(too_large())
        }
        Ok(Err(error)) => Err(Failure::new(ErrorKind::BadRequest, format!("the body: {error}"))),
    }
}

/// Reads and discards the rest of a rejected body for a limited time. Closing a
/// connection that has unread bytes could drop the response in transit.
async fn discard_body(mut body: RequestBody) {
    let mut remaining_bytes = MAX_DISCARDED_BYTES;
    let read_rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match remaining_bytes.checked_sub(length) {
                Some(remaining) => remaining_bytes = remaining,
                None => return,
            }
        }
    };
    let _ = timer::timeout(DISCARD_TIMEOUT, read_rest).await;
}

fn models_response(configuration: &Configuration, team: &str) -> Result<CallerResponse, Failure> {
    let models = configuration.teams.get(team).map(|team| &team.models);
    let may_use =
        |name: &String| models.is_some_and(|models| models.contains("*") || models.contains(name));
    let data: Vec<_> = configuration
        .models
        .keys()
        .filter(|name| may_use(name))
        .map(|name| json!({"id": name, "object": "model", "owned_by": "copperweir"}))
        .collect();
    Ok(json_response(&json!({"object": "list", "data": data})))
}

fn box_list_response(shared: &SharedState, snapshot: &Snapshot) -> Result<CallerResponse, Failure> {
    let own_region = &snapshot.own.region;
    let mut members: Vec<&Member> = snapshot
        .members
        .iter()
        .chain(std::iter::once(&snapshot.own))
        .filter(|member| member.phase == Phase::Serving)
        .collect();
    members.sort_by_key(|member| {
        (member.region != *own_region, member.region.clone(), member.in_flight)
    });
    let rows = members.into_iter().take(MAX_LISTED_BOXES).map(|member| BoxEntry {
        name: member.name.clone(),
        region: member.region.clone(),
        failure_domain: member.failure_domain.clone(),
        address: member.caller_address.to_string(),
        weight: (IDLE_BOX_WEIGHT / (1 + member.in_flight)).max(1),
    });
    let now = clock::now();
    let ticket = Ticket {
        owner: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        issued: Duration::from_millis(shared.uptime(now).as_millis() as u64),
        nonce: rand::rng().random(),
    };
    let boxes = BoxesResponse {
        boxes: rows.collect(),
        valid_ms: BOX_LIST_VALIDITY.as_millis() as u64,
        ticket: ticket.to_string(),
        ticket_box: shared.settings.name.clone(),
    };
    Ok(json_response(&json!(boxes)))
}

fn text_response(text: &'static str) -> CallerResponse {
    Response::new(ResponseBody::buffered(text))
}

fn json_response(value: &serde_json::Value) -> CallerResponse {
    let mut response = Response::new(ResponseBody::buffered(value.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn caller_response(gateway_response: GatewayResponse) -> CallerResponse {
    let mut response = Response::new(gateway_response.body);
    *response.status_mut() = gateway_response.status;
    *response.headers_mut() = gateway_response.headers;
    if let Ok(region) = gateway_response.region.parse() {
        response.headers_mut().insert(caller::REGION_HEADER, region);
    }
    response
}

fn failure_response(shared: &SharedState, failure: &Failure) -> CallerResponse {
    shared.counters.increment(Counter::Failed);
    if failure.executed() == Executed::No {
        shared.counters.increment(Counter::Refused);
    }
    let mut response = Response::new(ResponseBody::buffered(caller::failure_body(failure)));
    *response.status_mut() = failure.status();
    caller::add_failure_headers(failure, response.headers_mut());
    if failure.kind == ErrorKind::BodyTooLarge || failure.kind == ErrorKind::BodyTimeout {
        // The rest of the body is not read, so the connection cannot be reused.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn add_gateway_headers(
    shared: &SharedState,
    snapshot: &Snapshot,
    id: &str,
    mut response: CallerResponse,
) -> CallerResponse {
    let status = response.status();
    let headers = response.headers_mut();
    if let Ok(id) = id.parse() {
        headers.insert(caller::REQUEST_ID_HEADER, id);
    }
    if let Ok(name) = shared.settings.name.parse() {
        headers.insert(caller::BOX_HEADER, name);
    }
    headers.insert(caller::CONFIG_VERSION_HEADER, snapshot.configuration.version.into());
    if status == StatusCode::NO_CONTENT {
        headers.remove(header::CONTENT_LENGTH);
    }
    response
}
