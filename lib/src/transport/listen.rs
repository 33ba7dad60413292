//! HTTP servers: accept, limit, serve, and end without cutting an answer.

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

use crate::transport::timer;

/// Longest wait for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Most streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
/// Most connections of one port on one thread.
pub const MAX_CONNECTIONS: usize = 8192;
/// Longest wait at the end for answers that are already written to reach their callers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether servers should end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shutdown {
    /// No.
    No,
    /// After the answers in progress.
    Graceful,
    /// At once.
    Now,
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

/// Accepted connections that wait for a thread.
pub const HANDOVER_QUEUE_LEN: usize = 256;

/// Opens a port.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _guard = runtime.enter();
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Accepted connections on their way to the thread that serves them.
pub type AcceptedStreams = mpsc::Receiver<std::net::TcpStream>;

/// Accepts until told to stop, and hands the connections to the threads in turn.
pub async fn accept(
    listener: TcpListener,
    threads: Vec<mpsc::Sender<std::net::TcpStream>>,
    mut stop: watch::Receiver<Shutdown>,
) {
    for thread in threads.iter().cycle() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors, most likely: let some be given back.
            timer::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(stream) = stream.into_std() else { continue };
        if thread.send(stream).await.is_err() {
            return;
        }
    }
}

/// Serves what is accepted until told to stop, then ends idle connections
/// at once and the others after their answer.
pub async fn serve<H, F, B>(
    mut accepted: AcceptedStreams,
    handler: H,
    mut stop: watch::Receiver<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let builder = builder();
    loop {
        let stream = tokio::select! {
            stream = accepted.recv() => stream,
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => break,
        };
        let Some(stream) = stream else { break };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
        let Ok(stream) = TcpStream::from_std(stream) else { continue };
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
