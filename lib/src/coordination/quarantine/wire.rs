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

/// Report of a part of prompts under which servers crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartReport {
    /// Hash of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Incarnations of the servers that crashed.
    #[prost(fixed64, repeated, tag = "2")]
    pub lives: Vec<u64>,
    /// Time since their crashes, in their order, milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ended_ms: Vec<u32>,
    /// Time since the last request with the part was sent to these servers, in their order,
    /// milliseconds.
    #[prost(uint32, repeated, tag = "6")]
    pub sent_ms: Vec<u32>,
    /// Contents of these requests.
    #[prost(fixed64, repeated, tag = "7")]
    pub contents: Vec<u64>,
    /// Successes of the part on one box shortly before its first crash.
    #[prost(uint32, tag = "4")]
    pub successes: u32,
    /// Time since the last success on the sender, milliseconds.
    #[prost(uint32, optional, tag = "5")]
    pub succeeded_ms: Option<u32>,
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
