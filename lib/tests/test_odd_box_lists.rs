//! Odd entries in the platform's list of boxes and servers.

use std::net::SocketAddr;
use std::sync::Arc;

use copperweir_lib::protocol::platform::BoxList as _;
use copperweir_lib::protocol::platform::BoxListState;
use copperweir_lib::state::counters::Counters;
use copperweir_lib::transport::platform::Platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A platform that answers one call with this list.
async fn start_platform(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut buffer = vec![0; 1 << 16];
        let _ = connection.read(&mut buffer).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
        let _ = connection.write_all((head + &list).as_bytes()).await;
    });
    address
}

/// Guards against boxes that no longer see which servers leave, because one entry can't be read.
#[tokio::test]
async fn entry_that_cannot_be_read_hides_no_others() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_entries = [
        "{}".to_owned(),
        "null".to_owned(),
        "5".to_owned(),
        "1e400".to_owned(),
        "{\"name\":5,\"state\":\"live\"}".to_owned(),
        "{\"name\":\"odd\",\"state\":\"odd\"}".to_owned(),
        "{\"name\":\"odd\",\"state\":\"live\",\"peers\":70000}".to_owned(),
        "{\"name\":\"\\ud800\",\"state\":\"live\"}".to_owned(),
        format!("{{\"name\":\"odd\",\"state\":{nested}}}"),
        nested,
    ];
    let sound = "{\"name\":\"e-1\",\"state\":\"leaving\"}";
    let mut failed = Vec::new();
    for odd in odd_entries {
        let address = start_platform(format!("[{odd},{sound}]")).await;
        let listed = Platform::new(address, Arc::new(Counters::default())).list().await;
        let is_listed = listed.as_ref().is_ok_and(|entries| {
            entries.iter().any(|entry| entry.name == "e-1" && entry.state == BoxListState::Leaving)
        });
        if !is_listed {
            failed.push(odd.chars().take(60).collect::<String>());
        }
    }
    assert!(failed.is_empty(), "{} of 10: {failed:?}", failed.len());
}
