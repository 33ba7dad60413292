//! The callers' port: from a request to its answer.

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

use super::call::Call;
use super::call::Incoming;
use super::call::Purpose;
use super::dispatch;
use super::once;
use super::once::Replied;
use super::relay::Relay;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::ticket::Ticket;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::TeamId;
use crate::protocol::caller;
use crate::protocol::caller::BoxRow;
use crate::protocol::caller::Boxes;
use crate::protocol::caller::Endpoint;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::team::KeyDigest;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::snapshot::Snapshot;
use crate::transport::body::Answer;
use crate::transport::timer;

/// An answer to a caller.
pub type Reply = Response<Answer<Relay>>;

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes of a refused body that are read and thrown away.
const DISCARD_LIMIT: usize = 16 << 20;
/// Longest time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the answer to "which box" holds; shorter than a leaving box's grace.
const BOXES_VALID: Duration = Duration::from_secs(2);
/// Most boxes in the answer to "which box".
const MAX_BOXES: usize = 340;
/// Weight of an idle box.
const FULL_WEIGHT: u32 = 1000;

/// Answers a request.
pub async fn handle(shared: Arc<Shared>, request: Request<RequestBody>) -> Reply {
    let arrived = clock::now();
    let id = format!("{:x}-{:x}", shared.incarnation, shared.next_request());
    let (parts, body) = request.into_parts();
    let snapshot = shared.now_in_force();
    let reply = match answer(&shared, &snapshot, &id, parts, body, arrived).await {
        Ok(reply) => reply,
        Err(failure) => failed(&shared, &failure),
    };
    finish(&shared, &snapshot, &id, reply)
}

async fn answer(
    shared: &Arc<Shared>,
    snapshot: &Arc<Snapshot>,
    id: &str,
    parts: Parts,
    body: RequestBody,
    arrived: Instant,
) -> Result<Reply, Failure> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let endpoint = Endpoint::parse(&parts.method, path)?;
    match endpoint {
        Endpoint::Health => return Ok(text("ok\n")),
        Endpoint::Ready => return ready(snapshot),
        _ => {}
    }
    shared.counters.count(Counter::Requests);
    if !snapshot.ready {
        return Err(Failure::new(Kind::NotReady, "the box has no configuration yet"));
    }
    let team = authenticate(&snapshot.configuration, &parts.headers)?;
    match endpoint {
        Endpoint::Models => return models(&snapshot.configuration, &team),
        Endpoint::Boxes => return boxes(shared, snapshot),
        _ => {}
    }
    if !snapshot.stage.accepts_requests() {
        return Err(leaving(snapshot));
    }
    limit(shared, &snapshot.configuration, &team)?;
    let incoming = Incoming {
        id: id.to_owned(),
        purpose: Purpose::Caller,
        visited: Vec::new(),
        team,
        path: path.to_owned(),
        method: parts.method,
        headers: parts.headers,
        body: read_body(body, snapshot.configuration.limits.body_bytes).await?,
        arrived,
    };
    let pool_failed = |call: &Call| record_failure(shared, call);
    let call = Call::classify(incoming, &endpoint, Arc::clone(snapshot))?;
    run(shared, call, pool_failed).await.map(reply)
}

async fn run(
    shared: &Arc<Shared>,
    mut call: Call,
    failed: impl Fn(&Call),
) -> Result<Replied, Failure> {
    match call.key.take() {
        Some(key) => once::run(shared, call, key).await,
        None => {
            let result = dispatch::run(shared, &call).await;
            if result.is_err() {
                failed(&call);
            }
            result.map(Replied::from)
        }
    }
}

/// A failed request counts against its objective.
fn record_failure(shared: &Shared, call: &Call) {
    let configuration = &call.snapshot.configuration;
    lock(&shared.burn).record(configuration, &call.pool, None, clock::now());
}

fn ready(snapshot: &Snapshot) -> Result<Reply, Failure> {
    if !snapshot.ready {
        return Err(Failure::new(Kind::NotReady, "the box has no configuration yet"));
    }
    if snapshot.own.phase == Phase::Leaving {
        return Err(leaving(snapshot));
    }
    Ok(text("ready\n"))
}

fn leaving(snapshot: &Snapshot) -> Failure {
    let other = snapshot.members.iter().filter(|member| member.phase == Phase::Serving);
    let nearest = other.min_by_key(|member| member.region != snapshot.own.region);
    let message = match nearest {
        Some(member) => format!("this box is leaving; use {}", member.callers),
        None => "this box is leaving".to_owned(),
    };
    Failure::new(Kind::Leaving, message)
}

/// The team of a request. Keys are compared by their hashes, which the
/// configuration holds; the time of a look-up says nothing of a key.
fn authenticate(configuration: &Configuration, headers: &HeaderMap) -> Result<TeamId, Failure> {
    let unauthorized = |text: &str| Failure::new(Kind::Unauthorized, text);
    match caller::bearer(headers)? {
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

fn limit(shared: &Shared, configuration: &Configuration, team: &TeamId) -> Result<(), Failure> {
    let Some(rate) = configuration.teams.get(team).map(|team| team.requests_per_second) else {
        return Err(Failure::new(Kind::Unauthorized, "the team is not declared"));
    };
    lock(&shared.limiter).admit(team, rate, clock::now()).map_err(|after| {
        let message = format!("the team is over {rate} requests a second");
        Failure::new(Kind::RateLimited, message).with_retry_after(after)
    })
}

async fn read_body(body: RequestBody, limit: usize) -> Result<Bytes, Failure> {
    let too_large = || Failure::new(Kind::BodyTooLarge, format!("the body is over {limit} bytes"));
    let announced = http_body::Body::size_hint(&body).lower();
    if announced > limit as u64 {
        tokio::spawn(discard(body));
        return Err(too_large());
    }
    let mut body = body;
    let whole = Limited::new(&mut body, limit).collect();
    match timer::timeout(BODY_TIMEOUT, whole).await {
        Err(_) => Err(Failure::new(Kind::BodyTimeout, "the body did not arrive in time")),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            tokio::spawn(discard(body));
            Err(too_large())
        }
        Ok(Err(error)) => Err(Failure::new(Kind::BadRequest, format!("the body: {error}"))),
    }
}

/// Reads on for a moment: a connection that is closed on unread bytes may lose
/// the answer that is on its way.
async fn discard(mut body: RequestBody) {
    let mut left = DISCARD_LIMIT;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    let _ = timer::timeout(DISCARD_TIMEOUT, reading).await;
}

fn models(configuration: &Configuration, team: &str) -> Result<Reply, Failure> {
    let models = configuration.teams.get(team).map(|team| &team.models);
    let may_use =
        |name: &String| models.is_some_and(|models| models.contains("*") || models.contains(name));
    let data: Vec<_> = configuration
        .models
        .keys()
        .filter(|name| may_use(name))
        .map(|name| json!({"id": name, "object": "model", "owned_by": "copperweir"}))
        .collect();
    Ok(json_reply(&json!({"object": "list", "data": data})))
}

fn boxes(shared: &Shared, snapshot: &Snapshot) -> Result<Reply, Failure> {
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
    let rows = members.into_iter().take(MAX_BOXES).map(|member| BoxRow {
        name: member.name.clone(),
        region: member.region.clone(),
        failure_domain: member.failure_domain.clone(),
        address: member.callers.to_string(),
        weight: (FULL_WEIGHT / (1 + member.in_flight)).max(1),
    });
    let now = clock::now();
    let ticket = Ticket {
        owner: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        issued: Duration::from_millis(shared.uptime(now).as_millis() as u64),
        nonce: rand::rng().random(),
    };
    let boxes = Boxes {
        boxes: rows.collect(),
        valid_ms: BOXES_VALID.as_millis() as u64,
        ticket: ticket.to_string(),
        ticket_box: shared.settings.name.clone(),
    };
    Ok(json_reply(&json!(boxes)))
}

fn text(text: &'static str) -> Reply {
    Response::new(Answer::whole(text))
}

fn json_reply(value: &serde_json::Value) -> Reply {
    let mut reply = Response::new(Answer::whole(value.to_string()));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

fn reply(replied: Replied) -> Reply {
    let mut reply = Response::new(replied.body);
    *reply.status_mut() = replied.status;
    *reply.headers_mut() = replied.headers;
    if let Ok(region) = replied.region.parse() {
        reply.headers_mut().insert(caller::REGION, region);
    }
    reply
}

fn failed(shared: &Shared, failure: &Failure) -> Reply {
    shared.counters.count(Counter::Failed);
    if failure.ran() == Ran::No {
        shared.counters.count(Counter::Refused);
    }
    let mut reply = Response::new(Answer::whole(caller::failure_body(failure)));
    *reply.status_mut() = failure.status();
    caller::failure_headers(failure, reply.headers_mut());
    if failure.kind == Kind::BodyTooLarge || failure.kind == Kind::BodyTimeout {
        // The rest of the body is not read.
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

fn finish(shared: &Shared, snapshot: &Snapshot, id: &str, mut reply: Reply) -> Reply {
    let status = reply.status();
    let headers = reply.headers_mut();
    if let Ok(id) = id.parse() {
        headers.insert(caller::REQUEST_ID, id);
    }
    if let Ok(name) = shared.settings.name.parse() {
        headers.insert(caller::BOX, name);
    }
    headers.insert(caller::CONFIG_VERSION, snapshot.configuration.version.into());
    if status == StatusCode::NO_CONTENT {
        headers.remove(header::CONTENT_LENGTH);
    }
    reply
}
