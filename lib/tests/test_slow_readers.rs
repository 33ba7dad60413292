//! Peers that don't read for longer than a dead path takes to show.

use std::time::Duration;

use bytes::Bytes;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::transport::activity::OpenConnections;
use copperweir_lib::transport::activity::RequestBody;
use copperweir_lib::transport::backend;
use copperweir_lib::transport::body::NonRelayBody;
use copperweir_lib::transport::body::ResponseBody;
use copperweir_lib::transport::http1;
use copperweir_lib::transport::http1::limits;
use copperweir_lib::transport::listen::Shutdown;
use copperweir_lib::transport::liveness;
use copperweir_lib::transport::liveness::Liveness;
use http::Request;
use http::Response;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BODY_BYTES: usize = 1 << 20;
const WINDOW_BYTES: u32 = 16 << 10;
const EVENT: &[u8] = b"event";

/// How long a peer reads nothing: well beyond the bound on a dead path.
fn pause(bounds: Liveness) -> Duration {
    bounds.max_detection() + bounds.unacknowledged
}

fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("an option");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    socket.listen(8).expect("a listener")
}

/// When a server reads the body of its request.
#[derive(Clone, Copy, Debug)]
enum Reading {
    BeforeItsResponse,
    AfterItsResponse,
}

/// Serves one request, of whose body it reads nothing for a time.
async fn serve_slowly(listener: TcpListener, reading: Reading, pause: Duration) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 2 * EVENT.len());
    stream.read_exact(&mut [0; 16]).await.expect("a part of the head");
    if let Reading::AfterItsResponse = reading {
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(EVENT).await.expect("sent");
        tokio::time::sleep(pause).await;
        stream.write_all(EVENT).await.expect("sent");
    } else {
        tokio::time::sleep(pause).await;
    }
    let mut received = 0;
    while received < BODY_BYTES {
        received += stream.read(&mut [0; 65536]).await.expect("a part of the body");
    }
    if let Reading::BeforeItsResponse = reading {
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(&EVENT.repeat(2)).await.expect("sent");
    }
    // The sender closes the connection.
    let _ = stream.read(&mut [0; 65536]).await;
}

/// The body of the response of such a server.
async fn exchange(reading: Reading, bounds: Liveness) -> Result<Vec<u8>, String> {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve_slowly(listener, reading, pause(bounds)));
    let client = backend::Client::new(Duration::from_secs(1), bounds);
    let request = Request::post("/").header("host", "h").body(Full::from(vec![b'b'; BODY_BYTES]));
    let sent = client.send(address, request.expect("a request"), true).await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let mut body = Vec::new();
    while let Some(bytes) = response.body_mut().read().await.map_err(|error| error.to_string())? {
        body.extend_from_slice(&bytes);
    }
    drop(response);
    server.await.expect("it ends");
    Ok(body)
}

/// Guards against a path that is taken for lost because its server doesn't read.
#[tokio::test]
async fn request_to_a_server_that_does_not_read_is_not_cut() {
    for bounds in [liveness::SERVER, liveness::REMOTE] {
        let (before, after) = tokio::join!(
            exchange(Reading::BeforeItsResponse, bounds),
            exchange(Reading::AfterItsResponse, bounds)
        );
        assert_eq!(before, Ok(EVENT.repeat(2)), "{bounds:?}, before its response");
        assert_eq!(after, Ok(EVENT.repeat(2)), "{bounds:?}, after its response");
    }
}

fn limits() -> limits::Watch {
    let timeout = Duration::from_secs(10);
    let limits = Limits { idle_timeout: timeout, header_timeout: timeout, ..Limits::default() };
    limits::Watch::new(watch::channel(limits).1, limits::Connection::from)
}

fn large_response() -> Response<NonRelayBody> {
    Response::new(ResponseBody::buffered(Bytes::from(vec![b'r'; BODY_BYTES])))
}

/// Guards against responses that are cut because their caller doesn't read.
#[tokio::test]
async fn response_to_a_caller_that_does_not_read_is_not_cut() {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let (_stop, stopping) = watch::channel(Shutdown::No);
    let handler = |_: Request<RequestBody>| std::future::ready(large_response());
    let open = OpenConnections::default();
    tokio::spawn(http1::serve(listener, 10, open, limits(), handler, stopping));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("an option");
    let mut stream: TcpStream = socket.connect(address).await.expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        .await
        .expect("sent");
    tokio::time::sleep(pause(liveness::CALLER)).await;
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the connection isn't reset");
    assert!(received.ends_with(&vec![b'r'; BODY_BYTES]), "{} bytes", received.len());
}
