//! The end of connections with responses that have neither a length nor chunks.

use std::time::Duration;

use bytes::Bytes;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::transport::activity::OpenConnections;
use copperweir_lib::transport::activity::RequestBody;
use copperweir_lib::transport::body::NonRelayBody;
use copperweir_lib::transport::body::ResponseBody;
use copperweir_lib::transport::http1;
use copperweir_lib::transport::http1::limits;
use copperweir_lib::transport::listen::Shutdown;
use http::Request;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

const EVENT: &str = "id: 1\ndata: one\n\n";

/// How the body of a response ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Regular,
    Error,
    Never,
}

fn limits() -> limits::Watch {
    let timeout = Duration::from_secs(10);
    let limits = Limits { idle_timeout: timeout, header_timeout: timeout, ..Limits::default() };
    limits::Watch::new(watch::channel(limits).1, limits::Connection::from)
}

fn respond(end: End) -> Response<NonRelayBody> {
    let (sender, parts) = mpsc::channel(2);
    tokio::spawn(async move {
        // The body of the response to a HEAD request is dropped.
        let _ = sender.send(Some(Ok(Bytes::from_static(EVENT.as_bytes())))).await;
        match end {
            End::Regular => {
                let _ = sender.send(None).await;
            }
            End::Error => {}
            End::Never => sender.closed().await,
        }
    });
    Response::new(ResponseBody::Channel(parts))
}

/// What a caller receives, and whether the connection ends in order.
async fn receive(request: &str, end: End, shutdown: Shutdown) -> (String, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopping) = watch::channel(Shutdown::No);
    let handler = move |_: Request<RequestBody>| std::future::ready(respond(end));
    let open = OpenConnections::default();
    tokio::spawn(http1::serve(listener, 10, open, limits(), handler, stopping));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("a request");
    let mut received = Vec::new();
    let is_orderly = loop {
        match stream.read_buf(&mut received).await {
            Ok(0) => break true,
            Ok(_) if String::from_utf8_lossy(&received).contains(EVENT) => {
                stop.send_replace(shutdown);
            }
            Ok(_) => {}
            Err(_) => break false,
        }
    };
    (String::from_utf8_lossy(&received).into_owned(), is_orderly)
}

#[tokio::test]
async fn complete_response_ends_in_order() {
    for shutdown in [Shutdown::No, Shutdown::Graceful] {
        let (received, is_orderly) =
            receive("GET / HTTP/1.0\r\n\r\n", End::Regular, shutdown).await;
        assert!(received.ends_with(EVENT), "{received}");
        assert!(is_orderly, "{shutdown:?}");
    }
}

#[tokio::test]
async fn response_without_its_body_ends_in_order() {
    for end in [End::Regular, End::Never] {
        let (received, is_orderly) = receive("HEAD / HTTP/1.0\r\n\r\n", end, Shutdown::No).await;
        assert!(received.starts_with("HTTP/1.0 200"), "{received}");
        assert!(received.ends_with("\r\n\r\n"), "{received}");
        assert!(is_orderly, "{end:?}");
    }
}

#[tokio::test]
async fn incomplete_response_ends_with_a_reset() {
    for (end, shutdown) in [(End::Error, Shutdown::No), (End::Never, Shutdown::Immediate)] {
        let (received, is_orderly) = receive("GET / HTTP/1.0\r\n\r\n", end, shutdown).await;
        // A reset may discard what was sent before it.
        assert!(!is_orderly, "{end:?}: {received}");
    }
}
