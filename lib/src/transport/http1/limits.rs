//! Limits on connections, which follow the configuration.

use std::time::Duration;

use tokio::sync::watch;

use crate::protocol::routing::Limits;

/// Limits on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Connection {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// During a shutdown, how long a caller may take for a request head.
    pub header_timeout: Duration,
}

impl From<Limits> for Connection {
    fn from(limits: Limits) -> Connection {
        Connection {
            max_header_bytes: limits.max_header_bytes,
            idle_timeout: limits.idle_timeout,
            header_timeout: limits.header_timeout,
        }
    }
}

/// The limits on the connections of a port.
#[derive(Clone, Debug)]
pub struct Watch {
    configured: watch::Receiver<Limits>,
    derive: fn(Limits) -> Connection,
}

impl Watch {
    /// Derives the limits from those of the configuration.
    pub fn new(configured: watch::Receiver<Limits>, derive: fn(Limits) -> Connection) -> Watch {
        Watch { configured, derive }
    }

    /// The limits in force.
    pub fn current(&self) -> Connection {
        (self.derive)(*self.configured.borrow())
    }

    /// Waits until the limits are others than these.
    pub async fn changed_from(&mut self, limits: Connection) {
        let derive = self.derive;
        let changed = self.configured.wait_for(|configured| derive(*configured) != limits);
        if changed.await.is_err() {
            // The configuration can't change any more.
            std::future::pending().await
        }
    }
}
