//! The operators' port: what this box knows and counts.

use std::fmt::Write;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::shared::Shared;
use super::shared::lock;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::caller;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::state::clock;
use crate::state::counters::Counter;

type Reply = Response<Full<Bytes>>;

/// What a box says of itself and of what it knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Box.
    pub name: String,
    /// Region.
    pub region: String,
    /// Incarnation, in hex.
    pub incarnation: String,
    /// Seconds since the start.
    pub uptime_s: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Stage of a planned stop.
    pub stage: String,
    /// Configuration in force.
    pub version: u64,
    /// Requests in progress.
    pub in_flight: usize,
    /// Keys remembered.
    pub keys: usize,
    /// Bytes of answers kept for them.
    pub kept_bytes: usize,
    /// Other live boxes.
    pub boxes: Vec<BoxStatus>,
    /// Pools of this region.
    pub pools: Vec<PoolStatus>,
    /// Broken invariants by name; empty where none is.
    pub breaches: Vec<(String, u64)>,
}

/// Another box, as this one sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BoxStatus {
    /// Box.
    pub name: String,
    /// Region.
    pub region: String,
    /// Where callers reach it.
    pub callers: String,
    /// Phase.
    pub phase: String,
    /// Configuration in force there.
    pub version: u64,
}

/// A pool on this box.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolStatus {
    /// Pool.
    pub name: String,
    /// Requests of this box on its servers.
    pub in_flight: u32,
    /// Requests waiting on this box.
    pub waiting: usize,
    /// Slots that are free.
    pub spare: u32,
}

/// Answers an operator.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    answer(&shared, &request).unwrap_or_else(|failure| {
        let mut reply = Response::new(Full::from(caller::failure_body(&failure)));
        *reply.status_mut() = failure.status();
        caller::failure_headers(&failure, reply.headers_mut());
        reply
    })
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Result<Reply, Failure> {
    authorize(shared, request.headers())?;
    if request.method() != Method::GET {
        return Err(Failure::new(Kind::MethodNotAllowed, "the operators' port takes GET"));
    }
    match request.uri().path() {
        "/status" => Ok(json_reply(&json!(status(shared)))),
        "/counters" => Ok(Response::new(Full::from(counters(shared)))),
        "/burn" => Ok(json_reply(&json!(burn(shared)))),
        "/configuration" => Ok(Response::new(Full::new((**shared.document.load()).clone()))),
        path => Err(Failure::new(Kind::NotFound, format!("no such path: {path}"))),
    }
}

fn authorize(shared: &Shared, headers: &HeaderMap) -> Result<(), Failure> {
    let Some(expected) = &shared.settings.operator_key_sha256 else { return Ok(()) };
    let key = caller::bearer(headers)?.unwrap_or_default();
    let shown: String = Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect();
    if bool::from(shown.as_bytes().ct_eq(expected.as_bytes())) {
        return Ok(());
    }
    Err(Failure::new(Kind::Unauthorized, "expected Authorization: Bearer <operators' key>"))
}

fn json_reply(value: &serde_json::Value) -> Reply {
    let mut reply = Response::new(Full::from(value.to_string()));
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

fn status(shared: &Shared) -> Status {
    let snapshot = shared.now_in_force();
    let now = clock::now();
    let (keys, kept_bytes) = shared.once.size();
    let pools = shared.pools.all();
    let mut pools: Vec<PoolStatus> = pools
        .iter()
        .map(|(name, pool)| {
            pool.with(|pool| PoolStatus {
                name: name.clone(),
                in_flight: pool.in_flight(),
                waiting: pool.waiting(),
                spare: pool.free_slots(now),
            })
        })
        .collect();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    Status {
        name: shared.settings.name.clone(),
        region: shared.settings.region.clone(),
        incarnation: format!("{:x}", shared.incarnation),
        uptime_s: shared.uptime(now).as_secs(),
        ready: snapshot.ready,
        stage: format!("{:?}", snapshot.stage).to_lowercase(),
        version: snapshot.configuration.version,
        in_flight: shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        keys,
        kept_bytes,
        boxes: snapshot.members.iter().map(box_status).collect(),
        pools,
        breaches: breaches(),
    }
}

fn box_status(member: &Member) -> BoxStatus {
    let phase = match member.phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Dead => "dead",
    };
    BoxStatus {
        name: member.name.clone(),
        region: member.region.clone(),
        callers: member.callers.to_string(),
        phase: phase.to_owned(),
        version: member.version,
    }
}

fn breaches() -> Vec<(String, u64)> {
    Invariant::ALL
        .iter()
        .map(|invariant| (invariant.as_str().to_owned(), invariant::breaches(*invariant)))
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn counters(shared: &Shared) -> String {
    let mut text = String::new();
    for counter in Counter::ALL {
        let value = match counter {
            Counter::Breaches => Invariant::ALL.iter().copied().map(invariant::breaches).sum(),
            _ => shared.counters.get(*counter),
        };
        let _ = writeln!(text, "{} {value}", counter.as_str());
    }
    text
}

fn burn(shared: &Shared) -> crate::state::burn::Report {
    let snapshot = shared.now_in_force();
    let burn = lock(&shared.burn);
    burn.report(&shared.settings.name, &snapshot.configuration, clock::now())
}
