//! HTTP to backend servers.
//!
//! One request owns one connection until its answer has been read to its
//! proper end; only then may another use it. The connection-level interface
//! hands back a request that was never written, so "not sent" is known, not
//! guessed. A request that may not be repeated takes a fresh connection, so
//! that nothing an earlier answer left behind can be taken for its own.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::traffic_thread;

use crate::state::clock;
use crate::transport::timer;

/// Idle connections that a thread keeps per backend server.
const IDLE_PER_SERVER: usize = 1024;
/// Longest wait for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time that an idle connection is used again; servers that close
/// earlier say so, and a close is seen before the next use in most cases.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body that [`Client::fetch`] takes.
const FETCH_LIMIT: usize = 4 << 20;

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request, or part of it, may have arrived.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// Whoever asked no longer wanted it sent.
    #[error("withheld")]
    Withheld,
}

type Sender = SendRequest<Full<Bytes>>;
/// Idle connections of each thread by address.
type IdleConnections = Arc<Mutex<HashMap<(usize, SocketAddr), Vec<Connection>>>>;

/// An open connection. It is closed at once when it is dropped: that is how
/// the other side learns that nobody waits for an answer any more.
struct Connection {
    sender: Sender,
    task: AbortHandle,
    /// Until when it may be used again.
    fresh_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to backend servers.
#[derive(Clone)]
pub struct Client {
    idle: IdleConnections,
    connect_timeout: Duration,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(CONNECT_TIMEOUT)
    }
}

/// An answer and the connection that it arrives on.
pub struct PooledBody {
    body: Incoming,
    connection: Option<(Connection, SocketAddr, IdleConnections)>,
    /// Whether the connection may serve others afterwards.
    reuse: bool,
}

impl PooledBody {
    /// The body.
    pub fn body(&mut self) -> &mut Incoming {
        &mut self.body
    }

    /// The body was read to its proper end: others may use the connection.
    pub fn release(&mut self) {
        self.release_for(IDLE_TIME);
    }

    /// As [`PooledBody::finished`], for a connection that may rest for `idle` at most.
    pub fn release_for(&mut self, idle_time: Duration) {
        let Some((mut link, address, idle)) = self.connection.take() else { return };
        if !self.reuse || link.sender.is_closed() {
            return;
        }
        link.fresh_until = clock::now() + idle_time.min(IDLE_TIME);
        keep(&idle, address, link);
    }
}

/// Keeps a connection for the next request of this thread.
fn keep(idle: &IdleConnections, address: SocketAddr, link: Connection) {
    let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
    let links = idle.entry((traffic_thread::index(), address)).or_default();
    if links.len() < IDLE_PER_SERVER {
        links.push(link);
    }
}

impl Client {
    /// A client that waits so long for a connection.
    pub fn new(connect_timeout: Duration) -> Client {
        Client { idle: IdleConnections::default(), connect_timeout }
    }

    /// Sends a request and waits for the head of the answer. `fresh` asks for a new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Response<PooledBody>, AttemptError> {
        self.send_if(address, request, fresh, || true).await
    }

    /// As [`Client::exchange`]; asks once more, when there is a connection, whether to send it at all.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
        admits: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, AttemptError> {
        while !fresh && let Some(mut link) = self.take_idle(address) {
            // Right after an answer, the connection's own task has yet to see its end.
            match timer::timeout(READY_TIMEOUT, link.sender.ready()).await {
                Ok(Ok(())) => {}
                _ => continue,
            }
            if !admits() {
                keep(&self.idle, address, link);
                return Err(AttemptError::Withheld);
            }
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answered(response, link, address, true)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(AttemptError::NoResponse(error.into_error().to_string())),
                },
            }
        }
        let mut link =
            connect(address, self.connect_timeout).await.map_err(AttemptError::NotSent)?;
        if !admits() {
            return Err(AttemptError::Withheld);
        }
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answered(response, link, address, !fresh)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if unsent {
                    AttemptError::NotSent(text)
                } else {
                    AttemptError::NoResponse(text)
                })
            }
        }
    }

    fn answered(
        &self,
        response: Response<Incoming>,
        link: Connection,
        address: SocketAddr,
        reuse: bool,
    ) -> Response<PooledBody> {
        let connection = Some((link, address, Arc::clone(&self.idle)));
        response.map(|body| PooledBody { body, connection, reuse })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&(traffic_thread::index(), address))?;
        let now = clock::now();
        links.retain(|link| !link.sender.is_closed() && now < link.fresh_until);
        let ready = links.iter().rposition(|link| link.sender.is_ready());
        let index = ready.or(links.len().checked_sub(1))?;
        Some(links.swap_remove(index))
    }

    /// Idle connections of this thread to a server.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&(traffic_thread::index(), address)).map_or(0, Vec::len)
    }

    /// Closes the idle connections to servers that are no longer wanted.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, address), _| keep(address));
    }

    /// Sends a small request and reads the whole answer.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, AttemptError> {
        let response = self.send(address, request, false).await?;
        let (head, mut exchange) = response.into_parts();
        let limited = http_body_util::Limited::new(exchange.body(), FETCH_LIMIT);
        let body =
            limited.collect().await.map_err(|error| AttemptError::NoResponse(error.to_string()))?;
        exchange.release();
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, String> {
    let stream = timer::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| format!("{address} did not accept in time"))?
        .map_err(|error| format!("{address}: {error}"))?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(connection).abort_handle();
    Ok(Connection { sender, task, fresh_until: clock::now() + IDLE_TIME })
}

/// Whether the machine there says that nothing listens on that port: the process is gone.
pub async fn refuses_connections(address: SocketAddr, timeout: Duration) -> bool {
    let connected = timer::timeout(timeout, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether something accepts connections there.
pub async fn accepts_connections(address: SocketAddr, timeout: Duration) -> bool {
    matches!(timer::timeout(timeout, TcpStream::connect(address)).await, Ok(Ok(_)))
}
