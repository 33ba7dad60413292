//! HTTP/1.1 servers of the gateway. A connection is accepted and served on the same thread.
//!
//! A connection stays open as long as its caller wants to use it. A shutdown closes a connection
//! once nothing has arrived on it that was not responded to. It closes idle connections at once, and
//! waits for the time of a request head on those where one may be under way.
//!
//! When the limits change, an open connection takes the new ones between two requests.

mod connection;
pub mod limits;

use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::activity::OpenConnections;
use super::activity::RequestBody;
use super::listen::Shutdown;
use super::liveness;
use crate::transport::timer;

/// The delay after a failed accept, which gives time for file descriptors to be freed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The IP address of the client. [`serve`] adds it to the extensions of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientIp(pub IpAddr);

/// Serves a port until shutdown. Then it accepts only the connections that callers have opened
/// already, and closes each connection once no request can be lost by that. It returns when all are
/// closed; [`Shutdown::Immediate`] closes all connections immediately. `open` counts the port and
/// its connections.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    max_connections: usize,
    open: OpenConnections,
    limits: limits::Watch,
    handler: H,
    shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + Unpin + 'static,
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
        let connection = connection::serve(
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
