//! Serves one connection of a caller or of another box.
//!
//! The HTTP library takes its limits when it begins to serve a connection. So a change of the limits
//! makes it begin anew, with what it has read, once no request is in progress. Where it isn't known
//! whether the last request was read completely, the connection is closed instead.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::net::IpAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;

use super::ClientIp;
use super::limits;
use crate::state::clock;
use crate::transport::activity::Activity;
use crate::transport::activity::Phase;
use crate::transport::activity::RequestBody;
use crate::transport::activity::Rest;
use crate::transport::activity::TrackedStream;
use crate::transport::listen::Shutdown;
use crate::transport::liveness;
use crate::transport::timer;
use crate::transport::truncation::ResettableStream;
use crate::transport::truncation::Truncation;

/// The smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// The response to a caller whose request head is incomplete when its time is over.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

type Io = TokioIo<ResettableStream<TrackedStream>>;

/// Why a connection is no longer served as before.
enum Change {
    /// It has ended, or can be closed.
    Ended,
    /// No request is in progress, and the limits have changed.
    Limits,
    /// The process shuts down.
    Shutdown,
}

/// Serves a connection to its end.
pub async fn serve<H, F, B>(
    stream: liveness::Stream,
    client: IpAddr,
    mut limits: limits::Watch,
    handler: H,
    mut shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<RequestBody>) -> F + Send + Unpin + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let (activity, truncation) = (Activity::new(stream), Truncation::default());
    let mut io = TokioIo::new(ResettableStream::new(activity.stream(), truncation.clone()));
    let (tracker, stopping) = (activity.clone(), shutdown.clone());
    let mut service = service_fn(move |request: Request<Incoming>| {
        let mut request = tracker.begin_request(request);
        request.extensions_mut().insert(ClientIp(client));
        let version = request.version();
        let (response, tracker, stopping) = (handler(request), tracker.clone(), stopping.clone());
        let truncation = truncation.clone();
        async move {
            let mut response = response.await;
            if *stopping.borrow() != Shutdown::No {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(
                response.map(|body| tracker.track_body(truncation.watch(body, version))),
            )
        }
    });
    loop {
        let current = limits.current();
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(current.idle_timeout)
            .max_buf_size(current.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let change = tokio::select! {
            // The connection ends with an error whenever a caller disconnects; the handler accounts
            // for this.
            _ = &mut connection => Some(Change::Ended),
            _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => Some(Change::Shutdown),
            () = limits.changed_from(current) => None,
        };
        let change = match change {
            Some(change) => change,
            None => tokio::select! {
                change = at_rest(&mut connection, &activity) => change,
                _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => Change::Shutdown,
            },
        };
        activity.hold_next_request(false);
        match change {
            Change::Ended => return,
            Change::Shutdown => return stop(connection, &activity, limits.current()).await,
            Change::Limits => {
                let parts = connection.into_parts();
                activity.unread(parts.read_buf);
                (io, service) = (parts.io, parts.service);
            }
        }
    }
}

/// Serves the request in progress, and waits until none is.
async fn at_rest<S, B>(connection: &mut http1::Connection<Io, S>, activity: &Activity) -> Change
where
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    activity.hold_next_request(true);
    poll_fn(|context| {
        if activity.rest() == Some(Rest::BetweenRequests) {
            return Poll::Ready(Change::Limits);
        }
        if Pin::new(&mut *connection).poll(context).is_ready() {
            return Poll::Ready(Change::Ended);
        }
        match activity.rest() {
            Some(Rest::BetweenRequests) => Poll::Ready(Change::Limits),
            Some(Rest::Unknown) if !activity.has_unread() => Poll::Ready(Change::Ended),
            Some(Rest::Unknown) | None => Poll::Pending,
        }
    })
    .await
}

/// Serves a connection during a shutdown, until no request can be lost by its close.
async fn stop<S, B>(
    mut connection: http1::Connection<Io, S>,
    activity: &Activity,
    limits: limits::Connection,
) where
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let last_close_at = clock::now() + limits.header_timeout;
    loop {
        let phase = activity.phase();
        let close_at = phase.closes_at(limits.header_timeout).map(|at| at.min(last_close_at));
        let expiry = async {
            match close_at {
                Some(at) => timer::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let (mut expiry, mut has_expired) = (pin!(expiry), false);
        // Data that has arrived wakes the connection, which then reads it.
        let step = poll_fn(|context| {
            if Pin::new(&mut connection).poll(context).is_ready() {
                return Poll::Ready(Step::Ended);
            }
            if activity.phase() != phase {
                return Poll::Ready(Step::Changed);
            }
            has_expired = has_expired || expiry.as_mut().poll(context).is_ready();
            let may_close = phase == Phase::Idle || has_expired;
            if may_close && !activity.has_unread() {
                return Poll::Ready(Step::Closable);
            }
            Poll::Pending
        });
        match step.await {
            Step::Ended => return,
            Step::Changed => {}
            Step::Closable => {
                if matches!(phase, Phase::Head(_)) {
                    activity.send_now(HEAD_TIMEOUT_RESPONSE);
                }
                activity.leave_to_system();
                return;
            }
        }
    }
}

/// Progress of a connection during a shutdown.
enum Step {
    /// The connection has ended.
    Ended,
    /// The connection does something else now.
    Changed,
    /// Nothing is lost if the connection is closed.
    Closable,
}
