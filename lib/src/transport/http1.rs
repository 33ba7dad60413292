//! HTTP/1.1 servers of the gateway: accept and serve on the same thread.
//!
//! A connection stays open as long as its caller wants to use it; a stop ends
//! idle connections only once the answers in progress are out.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
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

use crate::transport::timer;

/// Pause after a failed accept, so that descriptors can be given back.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Smallest read buffer that the library takes, bytes.
const MIN_BUFFER: usize = 8192;

/// Bounds on a connection, read when it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

/// Where a request's connection comes from; [`serve`] puts it into the request's extensions.
#[derive(Clone, Copy, Debug)]
pub struct ClientIp(pub IpAddr);

/// Serves a port until told to stop; then takes no new connections, ends idle ones, and the
/// others after their answers, unless it is told to end at once.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    most: usize,
    bounds: impl Fn() -> ConnectionLimits,
    handler: H,
    mut stop: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(most));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => break,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                timer::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            log::warn!("event=connection_refused reason=\"all {most} places are taken\"");
            continue;
        };
        // Without it answers are only a little later.
        let _ = stream.set_nodelay(true);
        let ConnectionLimits { header_bytes, idle_timeout } = bounds();
        let handler = handler.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(ClientIp(from.ip()));
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(header_bytes.max(MIN_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // Ends with an error whenever a caller goes away; the handler accounts for that.
            let _ = connection.await;
            drop(place);
        });
    }
    drop(listener);
    tokio::select! {
        () = graceful.shutdown() => {}
        _ = stop.wait_for(|stop| *stop == Shutdown::Now) => {}
    }
}
