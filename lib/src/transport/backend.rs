//! HTTP to backend servers.
//!
//! One request owns one connection until its answer has been read to its
//! proper end; only then may another use it. The connection-level interface
//! hands back a request that was never written, so "not sent" is known, not
//! guessed. A request that may not be repeated takes a fresh connection, so
//! that nothing an earlier answer left behind can be taken for its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

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

use super::worker;

/// Idle connections that a thread keeps per backend server.
const IDLE_PER_SERVER: usize = 1024;
/// Longest wait for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body that [`Client::fetch`] takes.
const FETCH_LIMIT: usize = 4 << 20;

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Attempt {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The request, or part of it, may have arrived.
    #[error("no answer: {0}")]
    Lost(String),
}

type Sender = SendRequest<Full<Bytes>>;
/// Idle connections of each thread by address.
type Idle = Arc<Mutex<HashMap<(usize, SocketAddr), Vec<Sender>>>>;

/// Connections to backend servers.
#[derive(Clone, Default)]
pub struct Client {
    idle: Idle,
}

/// An answer and the connection that it arrives on.
pub struct Exchange {
    body: Incoming,
    connection: Option<(Sender, SocketAddr, Idle)>,
}

impl Exchange {
    /// The body.
    pub fn body(&mut self) -> &mut Incoming {
        &mut self.body
    }

    /// The body was read to its proper end: others may use the connection.
    pub fn finished(&mut self) {
        let Some((sender, address, idle)) = self.connection.take() else { return };
        if sender.is_closed() {
            return;
        }
        let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry((worker::index(), address)).or_default();
        if senders.len() < IDLE_PER_SERVER {
            senders.push(sender);
        }
    }
}

impl Client {
    /// Sends a request and waits for the head of the answer. `fresh` asks for a new connection.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Response<Exchange>, Attempt> {
        while !fresh && let Some(mut sender) = self.take_idle(address) {
            // Right after an answer, the connection's own task has yet to see its end.
            match tokio::time::timeout(READY_TIMEOUT, sender.ready()).await {
                Ok(Ok(())) => {}
                _ => continue,
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answered(response, sender, address)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Attempt::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await.map_err(Attempt::Unsent)?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answered(response, sender, address)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if unsent { Attempt::Unsent(text) } else { Attempt::Lost(text) })
            }
        }
    }

    fn answered(
        &self,
        response: Response<Incoming>,
        sender: Sender,
        address: SocketAddr,
    ) -> Response<Exchange> {
        let connection = Some((sender, address, Arc::clone(&self.idle)));
        response.map(|body| Exchange { body, connection })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&(worker::index(), address))?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().rposition(Sender::is_ready);
        let index = ready.or(senders.len().checked_sub(1))?;
        Some(senders.swap_remove(index))
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
    ) -> Result<Response<Bytes>, Attempt> {
        let response = self.exchange(address, request, false).await?;
        let (head, mut exchange) = response.into_parts();
        let limited = http_body_util::Limited::new(exchange.body(), FETCH_LIMIT);
        let body = limited.collect().await.map_err(|error| Attempt::Lost(error.to_string()))?;
        exchange.finished();
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, String> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| format!("{address} did not accept in time"))?
        .map_err(|error| format!("{address}: {error}"))?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Whether something accepts connections there.
pub async fn reachable(address: SocketAddr, timeout: Duration) -> bool {
    matches!(tokio::time::timeout(timeout, TcpStream::connect(address)).await, Ok(Ok(_)))
}
