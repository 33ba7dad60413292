//! Which boxes a caller should use, and whether this one takes requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::drain::Stage;
use crate::coordination::presence::Presence;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::DirectoryQuery;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;

/// Most boxes in one answer.
const MAX_BOXES: usize = 64;
/// How long callers keep an answer that names boxes of other regions only: boxes of their own are
/// back within seconds.
const FAR_LIFE: Duration = Duration::from_secs(1);
/// Fewest boxes of a failure domain that are named alone: with fewer, the loss of one leaves none.
const ENOUGH: usize = 2;

/// Answers on the port of the question whether this box takes requests.
pub async fn ready<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<Incoming>,
) -> Response<NonRelayBody> {
    if !shared.adapter.is_readiness_check(request.method(), request.uri()) {
        return status(StatusCode::NOT_FOUND);
    }
    let snapshot = shared.snapshot.load();
    let ready = snapshot.routing.is_some() && snapshot.stage == Stage::Serving;
    status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Answers on the directory's port.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    own: Arc<BoxRecord>,
    request: Request<Incoming>,
) -> Response<NonRelayBody> {
    let Some(question) = shared.adapter.parse_directory_query(request.method(), request.uri())
    else {
        return status(StatusCode::NOT_FOUND);
    };
    let (addresses, near) = {
        let presence = lock(&shared.presence);
        addresses(&shared.snapshot.load(), &presence, &own, &question, clock::now())
    };
    let life = if near { shared.settings.directory_life } else { FAR_LIFE };
    let body = shared.adapter.directory_body(&addresses, life);
    let mut response = Response::new(ResponseBody::buffered(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The boxes for a caller, and whether they stand in its region: those of its failure domain,
/// else of its region, else of the regions where most of what it may ask for can run. Routes of a
/// host may have different homes, so that no region may run them all: naming every box then led 71
/// of 804 requests with homes to a region that was none (40 are allowed), replayed by the seed in
/// docs/findings.md. For the same reason boxes there that have only just said that they leave come
/// before serving ones elsewhere.
pub fn addresses(
    snapshot: &Snapshot,
    presence: &Presence,
    own: &BoxRecord,
    question: &DirectoryQuery,
    now: Instant,
) -> (Vec<SocketAddr>, bool) {
    let boxes = snapshot.boxes.iter();
    let mut serving: Vec<&BoxRecord> =
        boxes.clone().filter(|record| presence.serves(record)).collect();
    let mut accepting: Vec<&BoxRecord> =
        boxes.filter(|record| presence.accepts(record, now)).collect();
    match snapshot.stage {
        Stage::Serving => serving.push(own),
        Stage::Announced => accepting.push(own),
        Stage::Closing | Stage::Done | Stage::Cut => {}
    }
    let near = callers(&serving, |record| record.failure_domain == question.failure_domain);
    if near.len() >= ENOUGH {
        return (near, true);
    }
    let in_region = callers(&serving, |record| record.region == question.region);
    if !in_region.is_empty() {
        return (in_region, true);
    }
    let routes = |record: &BoxRecord| {
        let routing = snapshot.routing.as_ref();
        routing.map_or(0, |routing| routing.count_routes(&question.host, &record.region))
    };
    let most = serving.iter().chain(&accepting).map(|record| routes(record)).max();
    let named = callers(&serving, |record| Some(routes(record)) == most);
    if !named.is_empty() {
        return (named, false);
    }
    (callers(&accepting, |record| Some(routes(record)) == most), false)
}

fn callers(serving: &[&BoxRecord], wanted: impl Fn(&BoxRecord) -> bool) -> Vec<SocketAddr> {
    let wanted = serving.iter().filter(|record| wanted(record));
    wanted.take(MAX_BOXES).map(|record| record.callers).collect()
}

fn status(status: StatusCode) -> Response<NonRelayBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = status;
    response
}
