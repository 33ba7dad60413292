//! What boxes of a region tell each other of servers that leave.

use std::time::Instant;

use crate::coordination::interrupted::ServerIncarnation;

/// A server said that it leaves.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DepartureNotice {
    /// The life of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerIncarnation,
    /// How long ago it said so, milliseconds.
    #[prost(uint32, tag = "2")]
    pub said_ms: u32,
}

pub(super) fn notice(
    server: ServerIncarnation,
    announced_at: Instant,
    now: Instant,
) -> DepartureNotice {
    let said_ms = now.saturating_duration_since(announced_at).as_millis();
    DepartureNotice { server, said_ms: u32::try_from(said_ms).unwrap_or(u32::MAX) }
}
