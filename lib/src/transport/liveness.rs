//! Detection of dead paths on open connections.
//!
//! An open connection may stop passing data without a reset. Two bounds of the operating system find
//! this out, whatever the peer's process does: keep-alive probes on an idle connection, and a bound
//! on the time for which sent data remains unacknowledged. The bound on unacknowledged data also
//! decides when keep-alive gives up, whatever the number of its probes. So a dead path shows after at
//! most [`Liveness::max_detection`].
//!
//! A process that stalls must not exceed the bounds, because its host continues to acknowledge data.
//! But once its buffer is full, the operating system applies the bound to data that it hasn't sent.
//! [`Stream`] therefore moves the bound for as long as the peer's host answers.

mod stream;
pub mod window;

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

pub use self::stream::Stream;

/// Bounds on one kind of connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Liveness {
    /// Idle time before the first keep-alive probe, and time between probes; whole seconds.
    pub keep_alive: Duration,
    /// How long sent data may remain unacknowledged.
    pub unacknowledged: Duration,
}

/// Connections to backend servers, within a region. The round trip takes milliseconds, and a lost
/// packet is sent again after some 200 ms, then after 400 ms.
pub const SERVER: Liveness =
    Liveness { keep_alive: Duration::from_secs(1), unacknowledged: Duration::from_secs(1) };
/// Connections to boxes and to the store. The round trip between regions takes some 110 ms, and a
/// link with little bandwidth delays acknowledgements further.
pub const REMOTE: Liveness =
    Liveness { keep_alive: Duration::from_secs(1), unacknowledged: Duration::from_secs(2) };
/// Connections of callers, whose networks are unknown.
pub const CALLER: Liveness =
    Liveness { keep_alive: Duration::from_secs(5), unacknowledged: Duration::from_secs(10) };

impl Liveness {
    /// Longest time until a dead path shows on an idle connection; with data under way it is
    /// `unacknowledged`.
    pub fn max_detection(&self) -> Duration {
        self.keep_alive + self.unacknowledged.max(self.keep_alive)
    }

    /// Applies the bounds to a connection, and disables the delay of small packets. Without the
    /// bounds the connection works, so errors are only logged.
    pub fn apply(&self, stream: &TcpStream) {
        let keep_alive =
            TcpKeepalive::new().with_time(self.keep_alive).with_interval(self.keep_alive);
        let socket = SockRef::from(stream);
        let applied = stream
            .set_nodelay(true)
            .and_then(|()| socket.set_tcp_keepalive(&keep_alive))
            .and_then(|()| socket.set_tcp_user_timeout(Some(self.unacknowledged)));
        if let Err(error) = applied {
            log::debug!("event=liveness_not_set error=\"{error}\"");
        }
    }
}
