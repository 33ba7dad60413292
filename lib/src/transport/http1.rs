//! HTTP/1.1 servers of the gateway. A connection is accepted and served on the same thread.
//!
//! A connection stays open as long as its caller wants to use it. A shutdown closes a connection
//! once nothing has arrived on it that was not responded to. It closes idle connections at once, and
//! waits for the time of a request head on those where one may be under way.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::activity::Activity;
use super::activity::OpenConnections;
use super::activity::Phase;
use super::listen::Shutdown;
use super::liveness;
use super::truncation::ResettableStream;
use super::truncation::Truncation;
use crate::state::clock;
use crate::transport::timer;

/// The delay after a failed accept, which gives time for file descriptors to be freed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits on a connection, read when it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// During a shutdown, how long a caller may take for a request head.
    pub header_timeout: Duration,
}

/// The IP address of the client. [`serve`] adds it to the extensions of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientIp(pub IpAddr);

/// The response to a caller whose request head is incomplete when its time is over.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves a port until shutdown. Then it accepts only the connections that callers have opened
/// already, and closes each connection once no request can be lost by that. It returns when all are
/// closed; [`Shutdown::Immediate`] closes all connections immediately. `open` counts the port and
/// its connections.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    max_connections: usize,
    open: OpenConnections,
    limits: impl Fn() -> ConnectionLimits + Clone + Send + 'static,
    handler: H,
    shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let accepting = open.track();
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut connections = JoinSet::new();
    let mut stopping = shutdown.clone();
    let mut spawn = |stream: TcpStream, address: SocketAddr| {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(
                "event=connection_refused reason=\"all {max_connections} places are taken\""
            );
            return;
        };
        let connection = serve_connection(
            liveness::Stream::new(stream, liveness::CALLER),
            address.ip(),
            limits.clone(),
            handler.clone(),
            shutdown.clone(),
        );
        let guard = open.track();
        connections.spawn(async move {
            connection.await;
            drop((permit, guard));
        });
        while connections.try_join_next().is_some() {}
    };
    loop {
        let result = tokio::select! {
            result = listener.accept() => result,
            _ = stopping.wait_for(|shutdown| *shutdown != Shutdown::No) => break,
        };
        match result {
            Ok((stream, address)) => spawn(stream, address),
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                timer::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match listener.into_std() {
        Ok(listener) => accept_rest(&listener, spawn),
        Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
    }
    drop(accepting);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        _ = stopping.wait_for(|shutdown| *shutdown == Shutdown::Immediate) => {}
    }
}

/// Accepts the connections that wait for it. They may have complete requests, and closing the port
/// resets them.
fn accept_rest(listener: &std::net::TcpListener, mut spawn: impl FnMut(TcpStream, SocketAddr)) {
    while let Ok((stream, address)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => spawn(stream, address),
            Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

/// Serves one connection to its end.
async fn serve_connection<H, F, B>(
    stream: liveness::Stream,
    client: IpAddr,
    current_limits: impl Fn() -> ConnectionLimits + Send + 'static,
    handler: H,
    mut shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let (activity, truncation) = (Activity::new(stream), Truncation::default());
    let stream = ResettableStream::new(activity.stream(), truncation.clone());
    let limits = current_limits();
    let (tracker, stopping) = (activity.clone(), shutdown.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        tracker.begin_request(request.body().is_end_stream());
        request.extensions_mut().insert(ClientIp(client));
        let version = request.version();
        let (response, tracker, stopping) = (handler(request), tracker.clone(), stopping.clone());
        let truncation = truncation.clone();
        // The limit of an open connection can't be raised, so the caller has to open another.
        let is_outdated = current_limits().max_header_bytes > limits.max_header_bytes;
        async move {
            let mut response = response.await;
            if is_outdated || *stopping.borrow() != Shutdown::No {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(
                response.map(|body| tracker.track_body(truncation.watch(body, version))),
            )
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // The connection ends with an error whenever a caller disconnects; the handler accounts for
    // this.
    tokio::select! {
        _ = &mut connection => return,
        _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => {}
    }
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
            if connection.as_mut().poll(context).is_ready() {
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
