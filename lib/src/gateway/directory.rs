//! The directory, which tells callers which boxes to use, and the readiness check of this box.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::drain::Stage;
use crate::coordination::presence;
use crate::coordination::presence::Presence;
use crate::coordination::reachability::PeerReachability;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::DirectoryQuery;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;
use crate::transport::activity::RequestBody;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;

/// Maximum number of boxes in one response.
const MAX_BOXES: usize = 64;
/// How long callers cache a response that contains only boxes of other regions. The boxes of their
/// own region are back within seconds.
const REMOTE_TTL: Duration = Duration::from_secs(1);
/// Minimum number of boxes for a response from a single failure domain. With fewer, the loss of one
/// box would leave none.
const MIN_DOMAIN_BOXES: usize = 2;

/// Handles a request on the readiness port.
pub async fn handle_readiness<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<RequestBody>,
) -> Response<NonRelayBody> {
    if !shared.adapter.is_readiness_check(request.method(), request.uri()) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let snapshot = shared.snapshot.load();
    let is_ready = snapshot.has_started && snapshot.stage == Stage::Serving;
    empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Handles a request on the directory's port.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    own_record: Arc<BoxRecord>,
    request: Request<RequestBody>,
) -> Response<NonRelayBody> {
    let Some(query) = shared.adapter.parse_directory_query(request.method(), request.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let (addresses, is_near) = {
        let is_isolated = shared.is_isolated();
        let (presence, peer_paths) = (lock(&shared.presence), lock(&shared.peer_paths));
        let own = OwnBox { record: &own_record, is_isolated };
        let now = clock::now();
        addresses(&shared.snapshot.load(), &presence, &peer_paths, own, &query, now)
    };
    let ttl = if is_near { shared.settings.directory_ttl } else { REMOTE_TTL };
    let body = shared.adapter.directory_body(&addresses, ttl);
    let mut response = Response::new(ResponseBody::buffered(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// This box, as a candidate for a response.
#[derive(Clone, Copy, Debug)]
pub struct OwnBox<'a> {
    /// Its record.
    pub record: &'a BoxRecord,
    /// Whether it reaches no server of any service.
    pub is_isolated: bool,
}

/// The boxes for a caller, and whether they are in its region. They are chosen from the caller's
/// failure domain, else from its region, else from the regions that may run most routes of the
/// host.
///
/// The routes of a host may have different homes, so that no region may run all of them. Naming
/// every box in that case led 71 of 804 requests with homes to a region that was not one of their
/// homes, where 40 are allowed (the seed in docs/findings.md replays it). For the same reason,
/// boxes of those regions that have only just announced that they leave are preferred to serving
/// boxes of others.
///
/// A box that reaches no server still serves through its neighbors, so it is named only if there
/// is no other box in the caller's region.
pub fn addresses(
    snapshot: &Snapshot,
    presence: &Presence,
    peer_paths: &PeerReachability,
    own: OwnBox<'_>,
    query: &DirectoryQuery,
    now: Instant,
) -> (Vec<SocketAddr>, bool) {
    let boxes = snapshot.boxes.iter();
    let mut serving: Vec<&BoxRecord> =
        boxes.clone().filter(|record| presence.serves(record)).collect();
    let mut accepting: Vec<&BoxRecord> =
        boxes.filter(|record| presence.may_be_named(record, now)).collect();
    match snapshot.stage {
        Stage::Serving if snapshot.has_started => serving.push(own.record),
        Stage::Announced => accepting.push(own.record),
        Stage::Serving | Stage::Closing | Stage::Done | Stage::Cut => {}
    }
    let reaches_servers = |record: &BoxRecord| {
        if record.name == own.record.name {
            !own.is_isolated
        } else {
            !peer_paths.is_isolated(presence::box_hash(&record.name), now)
        }
    };
    let in_domain = caller_addresses(&serving, |record| {
        record.failure_domain == query.failure_domain && reaches_servers(record)
    });
    if in_domain.len() >= MIN_DOMAIN_BOXES {
        return (in_domain, true);
    }
    let is_in_region = |record: &BoxRecord| record.region == query.region;
    let in_region =
        caller_addresses(&serving, |record| is_in_region(record) && reaches_servers(record));
    if !in_region.is_empty() {
        return (in_region, true);
    }
    let in_region = caller_addresses(&serving, is_in_region);
    if !in_region.is_empty() {
        return (in_region, true);
    }
    let runnable_routes = |record: &BoxRecord| {
        let routing = snapshot.routing.as_ref();
        routing.map_or(0, |routing| routing.count_routes(&query.host, &record.region))
    };
    let most = serving.iter().chain(&accepting).map(|record| runnable_routes(record)).max();
    let best_served = caller_addresses(&serving, |record| Some(runnable_routes(record)) == most);
    if !best_served.is_empty() {
        return (best_served, false);
    }
    (caller_addresses(&accepting, |record| Some(runnable_routes(record)) == most), false)
}

fn caller_addresses(
    serving: &[&BoxRecord],
    matching: impl Fn(&BoxRecord) -> bool,
) -> Vec<SocketAddr> {
    let matching = serving.iter().filter(|record| matching(record));
    matching.take(MAX_BOXES).map(|record| record.callers).collect()
}

fn empty_response(status: StatusCode) -> Response<NonRelayBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = status;
    response
}
