//! HTTP client for backend servers.
//!
//! Each request has exclusive use of a connection until its response has been read completely. Only
//! then may another request use the connection. The connection-level interface returns a request
//! that was never written, so the client knows for certain when a request was not sent. A request
//! that must be executed at most once uses a new connection, so that nothing left over from an
//! earlier response can be mistaken for its own.
//!
//! A connection on which anything arrives while it is idle is not used again. If these are bytes,
//! the server may send a second response later as well, when it can't be told from that of the next
//! request. Connections to such a server are not reused for a while.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::body::BodyError;
use super::liveness;
use super::liveness::Liveness;
use super::meter::Exceeded;
use super::meter::Meter;
use super::meter::Metered;
use super::traffic_thread;

use crate::protocol::bounds;
use crate::state::clock;
use crate::transport::timer;

/// Maximum number of idle connections that a thread keeps per backend server.
const MAX_IDLE_PER_SERVER: usize = 1024;
/// The longest wait for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// The longest time that an idle connection is kept for reuse. Servers that close connections
/// earlier announce it, and in most cases the close is noticed before the next use.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);
/// The time for which connections are not reused after their server has sent bytes on an idle one.
const SURPLUS_PERIOD: Duration = Duration::from_secs(60);
/// Status codes that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The longest wait for a connection to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason for which an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request, or a part of it, may have arrived.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The host of the receiver stopped acknowledging data. The request, or a part of it, may have
    /// arrived.
    #[error("path lost: {0}")]
    PathLost(String),
    /// The server sent bytes that are no valid response, or none within the bounds. The request, or
    /// a part of it, has arrived.
    #[error("invalid answer: {0}")]
    Invalid(String),
    /// The sender cancelled the request before it was sent.
    #[error("withheld")]
    Withheld,
}

/// Decides whether a request is sent, immediately before it is.
pub trait Permit: Send {
    /// Waits for the decision.
    fn granted(&mut self) -> impl Future<Output = bool> + Send;
}

/// Permits every request.
pub struct Always;

impl Permit for Always {
    async fn granted(&mut self) -> bool {
        true
    }
}

type Sender = SendRequest<Full<Bytes>>;
type IdleConnections = Arc<Mutex<Idle>>;

/// The connections that are kept for reuse.
#[derive(Default)]
struct Idle {
    /// The connections, by thread and address.
    connections: HashMap<(usize, SocketAddr), Vec<Connection>>,
    /// The servers whose connections are not reused, and until when.
    surplus_until: HashMap<SocketAddr, Instant>,
}

impl Idle {
    fn record_surplus(&mut self, address: SocketAddr, now: Instant) {
        self.surplus_until.retain(|_, until| now < *until);
        self.surplus_until.insert(address, now + SURPLUS_PERIOD);
    }

    /// Returns the connections of this thread to a server that may be reused, and closes the others.
    fn reusable(&mut self, address: SocketAddr, now: Instant) -> Option<&mut Vec<Connection>> {
        let key = (traffic_thread::index(), address);
        let connections = self.connections.get(&key)?;
        if connections.iter().any(|connection| connection.meter.has_surplus()) {
            self.record_surplus(address, now);
        }
        let has_surplus = self.surplus_until.get(&address).is_some_and(|until| now < *until);
        let connections = self.connections.get_mut(&key)?;
        connections.retain(|connection| {
            !has_surplus && !connection.sender.is_closed() && now < connection.reusable_until
        });
        Some(connections)
    }
}

/// An open connection. It is closed immediately when it is dropped, which tells the server that
/// the response is no longer needed.
struct Connection {
    sender: Sender,
    meter: Meter,
    task: AbortHandle,
    /// The time until which the connection may be reused.
    reusable_until: Instant,
}

impl Connection {
    /// Sends a request and waits for the head of the response, which must be complete in time once
    /// it has begun. With `was_idle`, the request is sent only if nothing has arrived before.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        was_idle: bool,
    ) -> Result<Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>, AttemptError> {
        self.meter.begin(was_idle);
        let result = tokio::select! {
            biased;
            result = self.sender.try_send_request(request) => result,
            () = self.meter.head_overdue() => {
                return Err(AttemptError::Invalid(Exceeded::HeadTime.to_string()));
            }
        };
        match result {
            // Requests never ask for it.
            Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                Err(AttemptError::Invalid("the server changed the protocol".to_owned()))
            }
            // The library accepts any three digits.
            Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
                let message = format!("{} is not the status of a response", response.status());
                Err(AttemptError::Invalid(message))
            }
            result => Ok(result),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client with a pool of connections to backend servers.
#[derive(Clone)]
pub struct Client {
    idle: IdleConnections,
    connect_timeout: Duration,
    liveness: Liveness,
    /// Addresses to connect to instead of others.
    routes: Arc<BTreeMap<SocketAddr, SocketAddr>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(CONNECT_TIMEOUT, liveness::REMOTE)
    }
}

/// The body of a response, together with the connection that it arrives on.
pub struct PooledBody {
    body: Incoming,
    connection: Option<(Connection, SocketAddr, IdleConnections)>,
    /// Whether the connection may be reused.
    reuse: bool,
}

impl PooledBody {
    /// Returns the body.
    pub fn body(&mut self) -> &mut Incoming {
        &mut self.body
    }

    /// Reads the next bytes of the body; `None` at its end. Trailers are skipped.
    pub async fn read(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some((connection, ..)) = &self.connection {
            connection.meter.limit_part(bounds::MAX_FRAMING_BYTES);
        }
        while let Some(frame) = self.body.frame().await {
            match frame.map(Frame::into_data) {
                Ok(Ok(bytes)) => return Ok(Some(bytes)),
                Ok(Err(_trailers)) => {}
                Err(error) => return Err(body_error(&error)),
            }
        }
        Ok(None)
    }

    /// Bounds the number of bytes of the body and its framing.
    pub fn limit_body(&self, max_bytes: u64) {
        if let Some((connection, ..)) = &self.connection {
            connection.meter.limit_body(max_bytes);
        }
    }

    /// Bounds the number of bytes that may arrive from now on.
    pub fn limit_next(&self, max_bytes: u64) {
        if let Some((connection, ..)) = &self.connection {
            connection.meter.limit_next(max_bytes);
        }
    }

    /// Records that the response is not that of the request, so that connections to the server are
    /// not reused for a while.
    pub fn record_surplus(&self) {
        if let Some((_, address, idle)) = &self.connection {
            let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.record_surplus(*address, clock::now());
        }
    }

    /// Returns the connection to the pool. Call this only after the body was read completely.
    pub fn release(&mut self) {
        self.release_for(MAX_IDLE_TIME);
    }

    /// As [`PooledBody::release`], but keeps the connection idle for at most `idle_time`.
    pub fn release_for(&mut self, idle_time: Duration) {
        let Some((mut connection, address, idle)) = self.connection.take() else { return };
        if !self.reuse || connection.sender.is_closed() {
            return;
        }
        connection.meter.end();
        connection.reusable_until = clock::now() + idle_time.min(MAX_IDLE_TIME);
        store_idle(&idle, address, connection);
    }
}

/// Stores a connection for the next request of this thread.
fn store_idle(idle: &IdleConnections, address: SocketAddr, connection: Connection) {
    let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
    let connections = idle.connections.entry((traffic_thread::index(), address)).or_default();
    if connections.len() < MAX_IDLE_PER_SERVER {
        connections.push(connection);
    }
}

impl Client {
    /// Creates a client with this timeout for establishing a connection, and these bounds on dead
    /// paths.
    pub fn new(connect_timeout: Duration, liveness: Liveness) -> Client {
        let idle = IdleConnections::default();
        Client { idle, connect_timeout, liveness, routes: Arc::default() }
    }

    /// Connects to other addresses than the given ones, as these routes specify.
    pub fn with_routes(self, routes: BTreeMap<SocketAddr, SocketAddr>) -> Client {
        Client { routes: Arc::new(routes), ..self }
    }

    /// Opens a connection to a server.
    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptError> {
        let connected = connect(self.route(address), self.connect_timeout, self.liveness);
        connected.await.map_err(AttemptError::NotSent)
    }

    /// Returns the address to connect to for a server.
    fn route(&self, address: SocketAddr) -> SocketAddr {
        self.routes.get(&address).copied().unwrap_or(address)
    }

    /// Sends a request and waits for the head of the response. If `fresh` is set, uses a new
    /// connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Response<PooledBody>, AttemptError> {
        self.send_if(address, request, fresh, &mut Always).await
    }

    /// As [`Client::send`], but sends the request only if `permit` grants it once a connection is
    /// established.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        permit: &mut impl Permit,
    ) -> Result<Response<PooledBody>, AttemptError> {
        while !fresh && let Some(mut connection) = self.take_idle(address) {
            // Immediately after a response, the connection's task may not have processed its end
            // yet.
            match timer::timeout(READY_TIMEOUT, connection.sender.ready()).await {
                Ok(Ok(())) => {}
                _ => continue,
            }
            if !permit.granted().await {
                store_idle(&self.idle, address, connection);
                return Err(AttemptError::Withheld);
            }
            match connection.exchange(request.clone(), true).await? {
                Ok(response) => return Ok(self.wrap_response(response, connection, address, true)),
                Err(mut error) => {
                    let is_unsent =
                        error.take_message().is_some() || connection.meter.has_refused();
                    if !is_unsent {
                        return Err(no_response(&error.into_error()));
                    }
                    if connection.meter.has_surplus() {
                        self.record_surplus(address);
                    }
                }
            }
        }
        let mut connection = self.connect(address).await?;
        if !permit.granted().await {
            return Err(AttemptError::Withheld);
        }
        match connection.exchange(request, false).await? {
            Ok(response) => Ok(self.wrap_response(response, connection, address, !fresh)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    AttemptError::NotSent(error.to_string())
                } else {
                    no_response(&error)
                })
            }
        }
    }

    fn wrap_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        address: SocketAddr,
        reuse: bool,
    ) -> Response<PooledBody> {
        let connection = Some((connection, address, Arc::clone(&self.idle)));
        response.map(|body| PooledBody { body, connection, reuse })
    }

    /// Removes the most recently stored idle connection, preferring one that is ready. Closes idle
    /// connections that may no longer be reused.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.reusable(address, clock::now())?;
        let ready = connections.iter().rposition(|connection| connection.sender.is_ready());
        let index = ready.or(connections.len().checked_sub(1))?;
        Some(connections.swap_remove(index))
    }

    fn record_surplus(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.record_surplus(address, clock::now());
    }

    /// Returns the number of idle connections of this thread to a server.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.connections.get(&(traffic_thread::index(), address)).map_or(0, Vec::len)
    }

    /// Closes the idle connections to servers for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.connections.retain(|(_, address), _| keep(address));
        idle.surplus_until.retain(|address, _| keep(address));
    }

    /// Opens a connection and keeps it for the next request.
    pub async fn open_idle(&self, address: SocketAddr) -> Result<(), AttemptError> {
        let connection = self.connect(address).await?;
        store_idle(&self.idle, address, connection);
        Ok(())
    }

    /// Returns whether the host refuses connections to the server's port, which means that the
    /// process has crashed or exited.
    pub async fn refuses_connections(&self, address: SocketAddr, timeout: Duration) -> bool {
        let connected = timer::timeout(timeout, TcpStream::connect(self.route(address))).await;
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Sends a small request and reads the complete response.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, AttemptError> {
        self.fetch_up_to(address, request, bounds::MAX_FETCH_BYTES).await
    }

    /// As [`Client::fetch`], for a body of at most `max_bytes`.
    pub async fn fetch_up_to(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, AttemptError> {
        let response = self.send(address, request, false).await?;
        let (head, mut pooled_body) = response.into_parts();
        if pooled_body.body().size_hint().lower() > max_bytes as u64 {
            let message = format!("the body has over {max_bytes} bytes");
            return Err(AttemptError::Invalid(message));
        }
        // Chunks may take as many bytes as their data.
        pooled_body.limit_body(2 * max_bytes as u64);
        let limited = http_body_util::Limited::new(pooled_body.body(), max_bytes);
        let body = limited.collect().await.map_err(|error| match error
            .is::<http_body_util::LengthLimitError>(
        ) {
            true => AttemptError::Invalid(format!("the body has over {max_bytes} bytes")),
            false => AttemptError::NoResponse(error.to_string()),
        })?;
        pooled_body.release();
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Classifies the error of an exchange in which the request, or a part of it, was written.
fn no_response(error: &hyper::Error) -> AttemptError {
    if let Some(exceeded) = exceeded_bound(error) {
        return AttemptError::Invalid(exceeded.to_string());
    }
    if error.is_parse() {
        return AttemptError::Invalid(error.to_string());
    }
    match io_cause(error).map(std::io::Error::kind) {
        Some(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable) => {
            AttemptError::PathLost(error.to_string())
        }
        _ => AttemptError::NoResponse(error.to_string()),
    }
}

/// Classifies the error that ended a body.
pub fn body_error(error: &hyper::Error) -> BodyError {
    if let Some(exceeded) = exceeded_bound(error) {
        return BodyError::TooLong(exceeded.to_string());
    }
    // The library reports invalid chunks and trailers by these kinds.
    let is_invalid = io_cause(error).is_some_and(|cause| {
        matches!(cause.kind(), ErrorKind::InvalidData | ErrorKind::InvalidInput)
    });
    if is_invalid || error.is_parse() {
        return BodyError::Malformed(error.to_string());
    }
    BodyError::ConnectionLost(error.to_string())
}

fn exceeded_bound(error: &hyper::Error) -> Option<Exceeded> {
    io_cause(error).and_then(Exceeded::from_io)
}

fn io_cause(error: &hyper::Error) -> Option<&std::io::Error> {
    error.source().and_then(|source| source.downcast_ref::<std::io::Error>())
}

async fn connect(
    address: SocketAddr,
    timeout: Duration,
    liveness: Liveness,
) -> Result<Connection, String> {
    let stream = timer::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| format!("{address} did not accept in time"))?
        .map_err(|error| format!("{address}: {error}"))?;
    let meter = Meter::new();
    let stream = Metered::new(liveness::Stream::new(stream, liveness), meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(bounds::READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(connection).abort_handle();
    Ok(Connection { sender, meter, task, reusable_until: clock::now() + MAX_IDLE_TIME })
}

/// Returns whether a process accepts connections at the address.
pub async fn accepts_connections(address: SocketAddr, timeout: Duration) -> bool {
    matches!(timer::timeout(timeout, TcpStream::connect(address)).await, Ok(Ok(_)))
}
