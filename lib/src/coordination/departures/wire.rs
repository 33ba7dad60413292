//! Messages between the boxes of a region about servers that are leaving.

use std::time::Instant;

use crate::coordination::interrupted::ServerIncarnation;

/// Notice that a server has announced that it is leaving.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DepartureNotice {
    /// Incarnation of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerIncarnation,
    /// Age of the announcement, milliseconds.
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
