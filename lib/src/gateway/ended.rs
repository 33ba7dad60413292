//! Finds out whether a server that broke an answer off has ended.

use std::net::SocketAddr;
use std::time::Duration;

use crate::transport::backend;
use crate::transport::timer;

/// Longest wait for the server's machine to refuse a connection: one that is gone or cut off says
/// nothing at all, and then nobody knows.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pauses before further looks. A process that ends closes its connections before its port: one test in
/// two took a server for living that had just ended, and ports were found open for up to 200 ms. A server that
/// starts again takes over a second.
const RECHECK_PAUSES: [Duration; 4] = [
    Duration::from_millis(40),
    Duration::from_millis(160),
    Duration::from_millis(300),
    Duration::from_millis(500),
];

/// Whether a server has ended: its port refuses connections.
pub async fn has_exited(address: SocketAddr) -> bool {
    let mut exited = backend::refuses(address, CONNECT_TIMEOUT).await;
    for pause in RECHECK_PAUSES {
        if exited {
            break;
        }
        timer::sleep(pause).await;
        exited = backend::refuses(address, CONNECT_TIMEOUT).await;
    }
    exited
}
