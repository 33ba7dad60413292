//! HTTP servers of the daemon: accept connections, limit their number, serve them, and shut down
//! without cutting off responses.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
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
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::transport::liveness;
use crate::transport::timer;
use crate::transport::truncation::ResettableStream;
use crate::transport::truncation::Truncation;

/// The longest wait for the headers of a request, and the interval of HTTP/2 keep-alive pings.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
/// Maximum number of connections of one port on one thread.
pub const MAX_CONNECTIONS: usize = 8192;
/// The longest wait at shutdown for responses that are already written to reach their callers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether and how servers should shut down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shutdown {
    /// Keep running.
    No,
    /// Shut down after the responses in progress.
    Graceful,
    /// Shut down immediately.
    Immediate,
}

/// Maximum number of connections in the backlog of a listening socket.
const ACCEPT_BACKLOG: u32 = 4096;

/// Capacity of the queue of accepted connections of one thread.
pub const HANDOVER_QUEUE_LEN: usize = 256;

/// Opens a listening socket.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _guard = runtime.enter();
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)?.into_std()
}

/// The receiver of accepted connections in the thread that serves them.
pub type AcceptedStreams = mpsc::Receiver<std::net::TcpStream>;

/// Accepts connections until shutdown and distributes them to the threads in turn.
pub async fn accept(
    listener: TcpListener,
    traffic_threads: Vec<mpsc::Sender<std::net::TcpStream>>,
    mut shutdown: watch::Receiver<Shutdown>,
) {
    for thread in traffic_threads.iter().cycle() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => return,
        };
        let Ok((stream, _)) = accepted else {
            // The usual cause is a lack of file descriptors; wait until some are freed.
            timer::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(stream) = stream.into_std() else { continue };
        if thread.send(stream).await.is_err() {
            return;
        }
    }
}

/// Serves accepted connections until shutdown, then closes idle connections immediately and the
/// others after their response.
pub async fn serve<H, F, B>(
    mut accepted: AcceptedStreams,
    handler: H,
    mut shutdown: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let builder = builder();
    loop {
        let stream = tokio::select! {
            stream = accepted.recv() => stream,
            _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::No) => break,
        };
        let Some(stream) = stream else { break };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let Ok(stream) = TcpStream::from_std(stream) else { continue };
        let handler = handler.clone();
        let truncation = Truncation::default();
        let stream = ResettableStream::new(
            liveness::Stream::new(stream, liveness::CALLER),
            truncation.clone(),
        );
        let service = service_fn(move |request: Request<Incoming>| {
            let (version, truncation) = (request.version(), truncation.clone());
            let response = handler(request);
            async move {
                Ok::<_, Infallible>(response.await.map(|body| truncation.watch(body, version)))
            }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(accepted);
    let _ = timer::timeout(FLUSH_TIMEOUT, graceful.shutdown()).await;
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
