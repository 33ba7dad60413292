//! Ends and verdicts as they go from box to box, inside datagrams and with the state
//! that a box takes from another one.

/// An end, as boxes tell each other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// What the request said.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Who sent it.
    #[prost(fixed64, tag = "2")]
    pub caller: u64,
    /// The life of the server.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// How long ago it was sent there, milliseconds.
    #[prost(uint32, tag = "5")]
    pub sent_ms: u32,
    /// How long ago its answer broke off, milliseconds.
    #[prost(uint32, tag = "4")]
    pub ended_ms: u32,
}

/// A verdict, as boxes tell each other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VerdictReport {
    /// The content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The caller; `None` for whoever sends it.
    #[prost(fixed64, optional, tag = "2")]
    pub caller: Option<u64>,
    /// How much longer it is refused, milliseconds; 0: it has been answered, and is not the cause.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}
