//! Crashes and verdicts as exchanged between boxes, in datagrams and with the state that a box
//! takes from another one.

/// Report of a crash.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// Hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Hash of the caller.
    #[prost(fixed64, tag = "2")]
    pub caller: u64,
    /// Incarnation of the server.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Time since the request was sent to the server, milliseconds.
    #[prost(uint32, tag = "5")]
    pub sent_ms: u32,
    /// Time since its response broke off, milliseconds.
    #[prost(uint32, tag = "4")]
    pub ended_ms: u32,
}

/// Report of a verdict.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VerdictReport {
    /// Hash of the content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Hash of the caller; `None` if requests of all callers are refused.
    #[prost(fixed64, optional, tag = "2")]
    pub caller: Option<u64>,
    /// How much longer the request is refused, milliseconds; 0 if it succeeded and is not the
    /// cause.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}
