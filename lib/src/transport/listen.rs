//! HTTP servers: accept, limit, serve, and end without cutting an answer.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;

/// Longest wait for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Most streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
/// Most connections on one port.
pub const MAX_CONNECTIONS: usize = 8192;
/// Longest wait at the end for answers that are already written to reach their callers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves until `stop` turns true, then ends idle connections at once and the
/// others after their answer.
pub async fn serve<H, F, B>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let builder = Arc::new(builder());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors, most likely: let some be given back.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = connection.await;
            drop(place);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, graceful.shutdown()).await;
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(HEADER_TIMEOUT);
    builder
}
