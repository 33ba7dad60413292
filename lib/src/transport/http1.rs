//! HTTP/1.1 servers of the gateway. A connection is accepted and served on the same thread.
//!
//! A connection stays open as long as its caller wants to use it. A shutdown closes a connection
//! only after its responses in progress are complete.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
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
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::listen::Shutdown;
use super::liveness;

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
}

/// The IP address of the client. [`serve`] adds it to the extensions of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientIp(pub IpAddr);

/// Serves a port until shutdown. Then it accepts no new connections, closes idle ones, and closes
/// the others after their responses; [`Shutdown::Immediate`] closes all connections immediately.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    max_connections: usize,
    limits: impl Fn() -> ConnectionLimits + Clone + Send + 'static,
    handler: H,
    mut shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let result = tokio::select! {
            result = listener.accept() => result,
            _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => break,
        };
        let (stream, peer_address) = match result {
            Ok(result) => result,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                timer::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(
                "event=connection_refused reason=\"all {max_connections} places are taken\""
            );
            continue;
        };
        liveness::CALLER.apply(&stream);
        let ConnectionLimits { max_header_bytes, idle_timeout } = limits();
        let (handler, current_limits) = (handler.clone(), limits.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(ClientIp(peer_address.ip()));
            let response = handler(request);
            // The limit of an open connection can't be raised, so the caller has to open another.
            let is_outdated = current_limits().max_header_bytes > max_header_bytes;
            async move {
                let mut response = response.await;
                if is_outdated {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // The connection ends with an error whenever a caller disconnects; the handler accounts
            // for this.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        () = graceful.shutdown() => {}
        _ = shutdown.wait_for(|shutdown| *shutdown == Shutdown::Immediate) => {}
    }
}
