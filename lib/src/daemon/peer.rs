//! The port for other boxes.

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

use super::call::Call;
use super::call::Incoming;
use super::call::MAX_VISITED;
use super::call::Purpose;
use super::control;
use super::dispatch;
use super::forward;
use super::once;
use super::once::Replied;
use super::relay::Relay;
use super::shared::Shared;
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

/// Longest wait for a configuration that a forwarded request was decided by.
const BEHIND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between looks at whether it has come.
const BEHIND_POLL: Duration = Duration::from_millis(10);

/// Answers other boxes.
pub struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// A service of this box.
    pub fn new(shared: Arc<Shared>) -> Service {
        Service { shared }
    }

    fn let_in<T>(&self, request: &Request<T>) -> Result<(), Status> {
        authorize(request, &self.shared.settings.peer_secret)
            .inspect_err(|_| self.shared.counters.increment(Counter::PeerRefused))
    }
}

#[tonic::async_trait]
impl Peer for Service {
    type ForwardStream = Frames;

    async fn exchange(
        &self,
        request: Request<wire::Heartbeat>,
    ) -> Result<Response<wire::Heartbeat>, Status> {
        self.let_in(&request)?;
        let raw = request.into_inner();
        let counters = &self.shared.counters;
        counters.increment(Counter::HeartbeatsReceived);
        counters.add(Counter::HeartbeatBytes, raw.encoded_len() as u64);
        let heartbeat = Heartbeat::try_from(raw);
        let heartbeat = heartbeat.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (sender, receiver) = oneshot::channel();
        let event = control::Event::Heartbeat(Box::new(heartbeat), Some(sender));
        let gone = |_| Status::unavailable("the box is stopping");
        self.shared.control.send(event).await.map_err(|_| Status::unavailable("stopping"))?;
        let answer = wire::Heartbeat::from(&receiver.await.map_err(gone)?);
        counters.add(Counter::HeartbeatBytes, answer.encoded_len() as u64);
        Ok(Response::new(answer))
    }

    async fn fetch_configuration(
        &self,
        request: Request<wire::ConfigurationQuery>,
    ) -> Result<Response<wire::ConfigurationAnswer>, Status> {
        self.let_in(&request)?;
        let version = self.shared.now_in_force().configuration.version;
        let newer = version > request.into_inner().newer_than;
        let document =
            if newer { (**self.shared.document.load()).clone() } else { Default::default() };
        Ok(Response::new(wire::ConfigurationAnswer { version, document }))
    }

    async fn forward(
        &self,
        request: Request<wire::ForwardRequest>,
    ) -> Result<Response<Frames>, Status> {
        self.let_in(&request)?;
        self.shared.counters.increment(Counter::ForwardedIn);
        let frames = match run(&self.shared, request.into_inner()).await {
            Ok(replied) => Frames::answer(replied),
            Err(failure) => Frames::failure(&failure),
        };
        Ok(Response::new(frames))
    }
}

async fn run(shared: &Arc<Shared>, raw: wire::ForwardRequest) -> Result<Replied, Failure> {
    check_target(shared, &raw)?;
    let snapshot = up_to(shared, raw.configuration_version).await?;
    let purpose = match raw.purpose() {
        wire::Purpose::Owner => Purpose::Owner,
        wire::Purpose::Region => Purpose::Region,
    };
    let (incoming, timeout) = incoming(raw, purpose)?;
    let deadline = incoming.arrived + timeout;
    let endpoint = Endpoint::parse(&incoming.method, &incoming.path)?;
    let mut call = Call::classify(incoming, &endpoint, snapshot)?;
    call.deadline = deadline;
    match call.key.take() {
        Some(key) => once::run(shared, call, key).await,
        None => dispatch::run(shared, &call).await.map(Replied::from),
    }
}

fn check_target(shared: &Shared, raw: &wire::ForwardRequest) -> Result<(), Failure> {
    let name = &shared.settings.name;
    let within = raw.visited.len() <= MAX_VISITED && !raw.visited.contains(name);
    if !within {
        return Err(Failure::new(ErrorKind::TooManyHops, "the request came here before"));
    }
    if raw.target_region != shared.settings.region || raw.target_incarnation != shared.incarnation {
        let message = "the request was sent to a box that has been replaced";
        let kind = match raw.purpose() {
            wire::Purpose::Owner => ErrorKind::OwnerGone,
            wire::Purpose::Region => ErrorKind::NoServer,
        };
        return Err(Failure::new(kind, message));
    }
    Ok(())
}

/// The control state, once it has at least this version.
async fn up_to(shared: &Shared, version: Version) -> Result<Arc<Snapshot>, Failure> {
    let give_up = clock::now() + BEHIND_TIMEOUT;
    let mut asked = false;
    loop {
        let snapshot = shared.now_in_force();
        if snapshot.configuration.version >= version && snapshot.ready {
            return Ok(snapshot);
        }
        if clock::now() >= give_up {
            let message = format!("this box does not have configuration {version} yet");
            return Err(Failure::new(ErrorKind::Behind, message));
        }
        if !std::mem::replace(&mut asked, true) {
            let _ = shared.control.try_send(control::Event::Behind(version));
        }
        timer::sleep(BEHIND_POLL).await;
    }
}

fn incoming(raw: wire::ForwardRequest, purpose: Purpose) -> Result<(Incoming, Duration), Failure> {
    let method = Method::from_bytes(raw.method.as_bytes())
        .map_err(|_| Failure::new(ErrorKind::BadRequest, "a malformed method"))?;
    let timeout = Duration::from_millis(raw.timeout_ms.into());
    let mut headers = forward::headers(&raw.headers);
    headers.remove(caller::TIMEOUT_HEADER);
    let incoming = Incoming {
        id: raw.request_id,
        purpose,
        visited: raw.visited,
        team: raw.team,
        method,
        path: raw.path_and_query,
        headers,
        body: raw.body,
        arrived: clock::now(),
    };
    Ok((incoming, timeout))
}

/// The frames of an answer to another box.
pub struct Frames {
    first: Option<Frame>,
    body: Option<ResponseBody<Relay>>,
    bytes: u64,
}

impl Frames {
    fn answer(replied: Replied) -> Frames {
        let mut headers = forward::wire_headers(&replied.headers, |_| true);
        headers.push(wire::Header {
            name: caller::REGION_HEADER.to_owned(),
            value: replied.region.into_bytes().into(),
        });
        let head = wire::Head { status: replied.status.as_u16().into(), headers };
        Frames { first: Some(Frame::Head(head)), body: Some(replied.body), bytes: 0 }
    }

    fn failure(failure: &Failure) -> Frames {
        let frame = Frame::Failure(forward::failure_to(failure));
        Frames { first: Some(frame), body: None, bytes: 0 }
    }
}

fn frame(frame: Frame) -> Poll<Option<Result<wire::ForwardFrame, Status>>> {
    Poll::Ready(Some(Ok(wire::ForwardFrame { frame: Some(frame) })))
}

impl Stream for Frames {
    type Item = Result<wire::ForwardFrame, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return frame(first);
        }
        let Some(body) = self.body.as_mut() else { return Poll::Ready(None) };
        loop {
            match Pin::new(&mut *body).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.body = None;
                    return frame(Frame::End(wire::End { bytes: self.bytes }));
                }
                Poll::Ready(Some(Err(cut))) => {
                    self.body = None;
                    let failure = Failure::new(ErrorKind::BackendFailed, cut.to_string());
                    return frame(Frame::Failure(forward::failure_to(
                        &failure.with_executed(Executed::Unknown),
                    )));
                }
                Poll::Ready(Some(Ok(part))) => {
                    if let Ok(data) = part.into_data() {
                        self.bytes += data.len() as u64;
                        return frame(Frame::Data(data));
                    }
                }
            }
        }
    }
}
