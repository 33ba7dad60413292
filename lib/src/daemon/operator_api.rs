//! The HTTP API for operators, which reports the state and counters of this
//! box.

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

use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::caller;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::state::clock;
use crate::state::counters::Counter;

type OperatorResponse = Response<Full<Bytes>>;

/// State of a box, with its view of the other boxes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the box.
    pub name: String,
    /// Region of the box.
    pub region: String,
    /// Incarnation in hexadecimal.
    pub incarnation: String,
    /// Seconds since the start of the process.
    pub uptime_s: u64,
    /// Whether the box accepts requests.
    pub ready: bool,
    /// Stage of a planned stop.
    pub stage: String,
    /// Version of the configuration in force.
    pub version: u64,
    /// Number of in-flight requests.
    pub in_flight: usize,
    /// Number of idempotency keys in the ledger.
    pub keys: usize,
    /// Bytes of kept responses in the ledger.
    pub kept_bytes: usize,
    /// Other live boxes.
    pub boxes: Vec<BoxStatus>,
    /// Pools of this box's region.
    pub pools: Vec<PoolStatus>,
    /// Names of violated invariants with the number of violations; empty if
    /// there are none.
    pub breaches: Vec<(String, u64)>,
}

/// Another box, according to the membership records of this box.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BoxStatus {
    /// Name of the box.
    pub name: String,
    /// Region of the box.
    pub region: String,
    /// Address for callers.
    pub callers: String,
    /// Lifecycle phase: `starting`, `serving`, `leaving` or `dead`.
    pub phase: String,
    /// Version of the configuration in force on that box.
    pub version: u64,
}

/// State of a pool on this box.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub name: String,
    /// Number of this box's requests that the pool's servers execute.
    pub in_flight: u32,
    /// Number of requests in this box's queue.
    pub waiting: usize,
    /// Number of free slots.
    pub spare: u32,
}

/// Handles a request from an operator.
pub async fn handle(shared: Arc<SharedState>, request: Request<Incoming>) -> OperatorResponse {
    respond(&shared, &request).unwrap_or_else(|failure| {
        let mut response = Response::new(Full::from(caller::failure_body(&failure)));
        *response.status_mut() = failure.status();
        caller::add_failure_headers(&failure, response.headers_mut());
        response
    })
}

fn respond(shared: &SharedState, request: &Request<Incoming>) -> Result<OperatorResponse, Failure> {
    authorize(shared, request.headers())?;
    if request.method() != Method::GET {
        return Err(Failure::new(ErrorKind::MethodNotAllowed, "the operators' port takes GET"));
    }
    match request.uri().path() {
        "/status" => Ok(json_response(&json!(collect_status(shared)))),
        "/counters" => Ok(Response::new(Full::from(format_counters(shared)))),
        "/burn" => Ok(json_response(&json!(burn_report(shared)))),
        "/configuration" => Ok(Response::new(Full::new((**shared.document.load()).clone()))),
        path => Err(Failure::new(ErrorKind::NotFound, format!("no such path: {path}"))),
    }
}

fn authorize(shared: &SharedState, headers: &HeaderMap) -> Result<(), Failure> {
    let Some(expected) = &shared.settings.operator_key_sha256 else { return Ok(()) };
    let key = caller::bearer_token(headers)?.unwrap_or_default();
    let presented: String = Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect();
    if bool::from(presented.as_bytes().ct_eq(expected.as_bytes())) {
        return Ok(());
    }
    Err(Failure::new(ErrorKind::Unauthorized, "expected Authorization: Bearer <operators' key>"))
}

fn json_response(value: &serde_json::Value) -> OperatorResponse {
    let mut response = Response::new(Full::from(value.to_string()));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn collect_status(shared: &SharedState) -> Status {
    let snapshot = shared.current_snapshot();
    let now = clock::now();
    let (keys, kept_bytes) = shared.keyed_requests.size();
    let pools = shared.pools.snapshot();
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
        boxes: snapshot.members.iter().map(member_status).collect(),
        pools,
        breaches: invariant_breaches(),
    }
}

fn member_status(member: &Member) -> BoxStatus {
    let phase = match member.phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Dead => "dead",
    };
    BoxStatus {
        name: member.name.clone(),
        region: member.region.clone(),
        callers: member.caller_address.to_string(),
        phase: phase.to_owned(),
        version: member.configuration_version,
    }
}

fn invariant_breaches() -> Vec<(String, u64)> {
    Invariant::ALL
        .iter()
        .map(|invariant| (invariant.as_str().to_owned(), invariant::breaches(*invariant)))
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn format_counters(shared: &SharedState) -> String {
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

fn burn_report(shared: &SharedState) -> crate::state::burn::BurnReport {
    let snapshot = shared.current_snapshot();
    let burn = lock(&shared.burn);
    burn.report(&shared.settings.name, &snapshot.configuration, clock::now())
}
