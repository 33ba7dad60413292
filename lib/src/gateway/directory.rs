//! Which boxes a caller should use, and whether this one takes requests.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::shared::Shared;
use super::shared::Snapshot;
use crate::coordination::drain::Stage;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Question;
use crate::protocol::fleet::BoxRecord;
use crate::transport::body::Answer;
use crate::transport::body::Passed;

/// Most boxes in one answer.
const MAX_BOXES: usize = 64;
/// Fewest boxes of a failure domain that are named alone: with fewer, the loss of one leaves none.
const ENOUGH: usize = 2;

/// Answers on the port of the question whether this box takes requests.
pub async fn ready<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<Incoming>,
) -> Response<Passed> {
    if !shared.adapter.asks_ready(request.method(), request.uri()) {
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
) -> Response<Passed> {
    let Some(question) = shared.adapter.question(request.method(), request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let addresses = addresses(&shared.snapshot.load(), &own, &question);
    let body = shared.adapter.directory(&addresses, shared.settings.directory_life);
    let mut response = Response::new(Answer::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The boxes for a caller: of its failure domain, else of its region, else any.
pub fn addresses(snapshot: &Snapshot, own: &BoxRecord, question: &Question) -> Vec<SocketAddr> {
    let mut serving: Vec<&BoxRecord> =
        snapshot.boxes.iter().filter(|record| !record.leaving).collect();
    if snapshot.stage == Stage::Serving {
        serving.push(own);
    }
    let near = |record: &&&BoxRecord| record.failure_domain == question.failure_domain;
    let in_region = |record: &&&BoxRecord| record.region == question.region;
    let near: Vec<_> = serving.iter().filter(near).collect();
    let in_region: Vec<_> = serving.iter().filter(in_region).collect();
    let chosen = if near.len() >= ENOUGH {
        near
    } else if !in_region.is_empty() {
        in_region
    } else {
        serving.iter().collect()
    };
    chosen.into_iter().take(MAX_BOXES).map(|record| record.callers).collect()
}

fn status(status: StatusCode) -> Response<Passed> {
    let mut response = Response::new(Answer::whole(""));
    *response.status_mut() = status;
    response
}
