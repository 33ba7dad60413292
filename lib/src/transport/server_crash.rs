//! Detects whether a server that broke off a response has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::transport::backend;
use crate::transport::timer;

/// Maximum wait for the server's host to refuse a connection. A host that is down or unreachable
/// doesn't respond at all, and then the state of the server is unknown.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pauses before further checks. A process that exits closes its connections before its listening
/// port, which stayed open for up to 200 ms; with a single check, one test in two took a server
/// that had just crashed for a running one. A server that restarts takes over a second.
const RECHECK_PAUSES: [Duration; 4] = [
    Duration::from_millis(40),
    Duration::from_millis(160),
    Duration::from_millis(300),
    Duration::from_millis(500),
];

/// Whether a server has crashed: its port refuses connections.
pub async fn has_crashed(client: &backend::Client, address: SocketAddr) -> bool {
    let mut crashed = client.refuses_connections(address, CONNECT_TIMEOUT).await;
    for pause in RECHECK_PAUSES {
        if crashed {
            break;
        }
        timer::sleep(pause).await;
        crashed = client.refuses_connections(address, CONNECT_TIMEOUT).await;
    }
    crashed
}
