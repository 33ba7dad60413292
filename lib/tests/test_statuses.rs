//! Responses whose status isn't one of HTTP's.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use copperweir_lib::transport::backend;
use copperweir_lib::transport::backend::AttemptError;
use copperweir_lib::transport::liveness;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const ODD: [&str; 20] = [
    "000",
    "001",
    "099",
    "100",
    "101",
    "103",
    "150",
    "199",
    "600",
    "777",
    "999",
    "0200",
    "20",
    "+20",
    "-01",
    "2e2",
    "  2",
    "2",
    "",
    "２００",
];

/// Starts a server that answers each request with the same head, and then closes.
async fn start_server(head: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

async fn status_of(head: String) -> Result<u16, AttemptError> {
    let address = start_server(head).await;
    let client = backend::Client::new(Duration::from_secs(1), liveness::SERVER);
    let request: Request<Full<Bytes>> =
        Request::get("/").header("host", "h").body(Full::default()).expect("a request");
    let response = client.send(address, request, false).await?;
    Ok(response.status().as_u16())
}

/// Guards against bytes that are told as an answer although their status is none.
#[tokio::test]
async fn odd_status_is_never_told_as_an_answer() {
    for status in ODD {
        for version in ["1.1", "1.0"] {
            for length in ["content-length: 4\r\n", ""] {
                let head = format!("HTTP/{version} {status} Odd\r\n{length}\r\nodd!");
                let result = status_of(head).await;
                assert!(result.is_err(), "{status:?} of HTTP/{version}, {length:?}: {result:?}");
            }
        }
    }
}

#[tokio::test]
async fn unusual_status_of_http_is_an_answer() {
    for status in [200, 207, 299, 300, 418, 499, 500, 599] {
        let head = format!("HTTP/1.1 {status} -\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(status_of(head).await, Ok(status));
    }
}
