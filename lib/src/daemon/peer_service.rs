//! The gRPC service for other boxes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Method;
use http_body::Body;
use prost::Message;
use tokio::sync::oneshot;
use tokio_stream::Stream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use super::control;
use super::dispatch;
use super::forward;
use super::idempotency;
use super::idempotency::GatewayResponse;
use super::relay::Relay;
use super::request::IncomingRequest;
use super::request::MAX_VISITED_BOXES;
use super::request::Purpose;
use super::request::ValidatedRequest;
use super::shared::SharedState;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::Version;
use crate::protocol::caller;
use crate::protocol::caller::Endpoint;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::wire;
use crate::protocol::peer::wire::forward_frame::Frame;
use crate::protocol::peer::wire::peer_server::Peer;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::snapshot::Snapshot;
use crate::transport::body::ResponseBody;
use crate::transport::peer::authorize;
use crate::transport::timer;

/// Maximum time to wait for the configuration version that a forwarded request
/// is based on.
const CONFIGURATION_WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between checks for that version.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles calls from other boxes.
pub struct PeerService {
    shared: Arc<SharedState>,
}

impl PeerService {
    /// Creates the service of this box.
    pub fn new(shared: Arc<SharedState>) -> PeerService {
        PeerService { shared }
    }

    fn authorize_peer<T>(&self, request: &Request<T>) -> Result<(), Status> {
        authorize(request, &self.shared.settings.peer_secret)
            .inspect_err(|_| self.shared.counters.increment(Counter::PeerRefused))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = ResponseFrames;

    async fn exchange(
        &self,
        request: Request<wire::Heartbeat>,
    ) -> Result<Response<wire::Heartbeat>, Status> {
        self.authorize_peer(&request)?;
        let request_message = request.into_inner();
        let counters = &self.shared.counters;
        counters.increment(Counter::HeartbeatsReceived);
        counters.add(Counter::HeartbeatBytes, request_message.encoded_len() as u64);
        let heartbeat = Heartbeat::try_from(request_message);
        let heartbeat = heartbeat.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (sender, receiver) = oneshot::channel();
        let event = control::Event::Heartbeat(Box::new(heartbeat), Some(sender));
        let stopping = |_| Status::unavailable("the box is stopping");
        self.shared.control.send(event).await.map_err(|_| Status::unavailable("stopping"))?;
        let response = wire::Heartbeat::from(&receiver.await.map_err(stopping)?);
        counters.add(Counter::HeartbeatBytes, response.encoded_len() as u64);
        Ok(Response::new(response))
    }

    async fn fetch_configuration(
        &self,
        request: Request<wire::ConfigurationQuery>,
    ) -> Result<Response<wire::ConfigurationAnswer>, Status> {
        self.authorize_peer(&request)?;
        let version = self.shared.current_snapshot().configuration.version;
        let newer = version > request.into_inner().newer_than;
        let document =
            if newer { (**self.shared.document.load()).clone() } else { Default::default() };
        Ok(Response::new(wire::ConfigurationAnswer { version, document }))
    }

    async fn forward(
        &self,
        request: Request<wire::ForwardRequest>,
    ) -> Result<Response<ResponseFrames>, Status> {
        self.authorize_peer(&request)?;
        self.shared.counters.increment(Counter::ForwardedIn);
        let frames = match run_forwarded_request(&self.shared, request.into_inner()).await {
            Ok(response) => ResponseFrames::from_response(response),
            Err(failure) => ResponseFrames::from_failure(&failure),
        };
        Ok(Response::new(frames))
    }
}

async fn run_forwarded_request(
    shared: &Arc<SharedState>,
    forwarded: wire::ForwardRequest,
) -> Result<GatewayResponse, Failure> {
    check_target(shared, &forwarded)?;
    let snapshot = wait_for_version(shared, forwarded.configuration_version).await?;
    let purpose = match forwarded.purpose() {
        wire::Purpose::Owner => Purpose::Owner,
        wire::Purpose::Region => Purpose::Region,
    };
    let (incoming, timeout) = decode_request(forwarded, purpose)?;
    let deadline = incoming.arrived_at + timeout;
    let endpoint = Endpoint::parse(&incoming.method, &incoming.path)?;
    let mut request = ValidatedRequest::validate(incoming, &endpoint, snapshot)?;
    request.deadline = deadline;
    match request.key.take() {
        Some(key) => idempotency::run(shared, request, key).await,
        None => dispatch::run(shared, &request).await.map(GatewayResponse::from),
    }
}

/// Rejects a forwarded request that has passed through this box before or too
/// many boxes, or that was sent to another region or incarnation.
fn check_target(shared: &SharedState, forwarded: &wire::ForwardRequest) -> Result<(), Failure> {
    let name = &shared.settings.name;
    let within_hop_limit =
        forwarded.visited.len() <= MAX_VISITED_BOXES && !forwarded.visited.contains(name);
    if !within_hop_limit {
        return Err(Failure::new(ErrorKind::TooManyHops, "the request came here before"));
    }
    if forwarded.target_region != shared.settings.region
        || forwarded.target_incarnation != shared.incarnation
    {
        let message = "the request was sent to a box that has been replaced";
        let kind = match forwarded.purpose() {
            wire::Purpose::Owner => ErrorKind::OwnerGone,
            wire::Purpose::Region => ErrorKind::NoServer,
        };
        return Err(Failure::new(kind, message));
    }
    Ok(())
}

/// Waits for a snapshot whose configuration has at least this version.
async fn wait_for_version(
    shared: &SharedState,
    version: Version,
) -> Result<Arc<Snapshot>, Failure> {
    let deadline = clock::now() + CONFIGURATION_WAIT_TIMEOUT;
    let mut requested = false;
    loop {
        let snapshot = shared.current_snapshot();
        if snapshot.configuration.version >= version && snapshot.ready {
            return Ok(snapshot);
        }
        if clock::now() >= deadline {
            let message = format!("this box does not have configuration {version} yet");
            return Err(Failure::new(ErrorKind::Behind, message));
        }
        if !std::mem::replace(&mut requested, true) {
            let _ = shared.control.try_send(control::Event::NewerVersionRequired(version));
        }
        timer::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}

fn decode_request(
    forwarded: wire::ForwardRequest,
    purpose: Purpose,
) -> Result<(IncomingRequest, Duration), Failure> {
    let method = Method::from_bytes(forwarded.method.as_bytes())
        .map_err(|_| Failure::new(ErrorKind::BadRequest, "a malformed method"))?;
    let timeout = Duration::from_millis(forwarded.timeout_ms.into());
    let mut headers = forward::decode_headers(&forwarded.headers);
    headers.remove(caller::TIMEOUT_HEADER);
    let incoming = IncomingRequest {
        id: forwarded.request_id,
        purpose,
        visited: forwarded.visited,
        team: forwarded.team,
        method,
        path: forwarded.path_and_query,
        headers,
        body: forwarded.body,
        arrived_at: clock::now(),
    };
    Ok((incoming, timeout))
}

/// Frames of a response to another box.
pub struct ResponseFrames {
    /// Head or failure, sent before the body.
    first: Option<Frame>,
    body: Option<ResponseBody<Relay>>,
    bytes_sent: u64,
}

impl ResponseFrames {
    fn from_response(response: GatewayResponse) -> ResponseFrames {
        let mut headers = forward::encode_headers(&response.headers, |_| true);
        headers.push(wire::Header {
            name: caller::REGION_HEADER.to_owned(),
            value: response.region.into_bytes().into(),
        });
        let head = wire::Head { status: response.status.as_u16().into(), headers };
        ResponseFrames { first: Some(Frame::Head(head)), body: Some(response.body), bytes_sent: 0 }
    }

    fn from_failure(failure: &Failure) -> ResponseFrames {
        let frame = Frame::Failure(forward::encode_failure(failure));
        ResponseFrames { first: Some(frame), body: None, bytes_sent: 0 }
    }
}

fn frame_item(frame: Frame) -> Poll<Option<Result<wire::ForwardFrame, Status>>> {
    Poll::Ready(Some(Ok(wire::ForwardFrame { frame: Some(frame) })))
}

impl Stream for ResponseFrames {
    type Item = Result<wire::ForwardFrame, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return frame_item(first);
        }
        let Some(body) = self.body.as_mut() else { return Poll::Ready(None) };
        loop {
            match Pin::new(&mut *body).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.body = None;
                    return frame_item(Frame::End(wire::End { bytes: self.bytes_sent }));
                }
                Poll::Ready(Some(Err(error))) => {
                    self.body = None;
                    let failure = Failure::new(ErrorKind::BackendFailed, error.to_string());
                    return frame_item(Frame::Failure(forward::encode_failure(
                        &failure.with_executed(Executed::Unknown),
                    )));
                }
                Poll::Ready(Some(Ok(part))) => {
                    if let Ok(data) = part.into_data() {
                        self.bytes_sent += data.len() as u64;
                        return frame_item(Frame::Data(data));
                    }
                }
            }
        }
    }
}
