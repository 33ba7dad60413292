//! The interface of a platform adapter. It translates the platform's names, headers, bodies and
//! keys to the types of this library and back. An adapter makes no decisions and keeps no state.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;

use super::ServerId;
use super::fleet::FailureDomainId;
use super::fleet::Server;
use super::platform::Era;
use super::platform::LeaseId;
use super::platform::PlatformError;
use super::platform::Revision;
use super::quantity::Notes;
use super::routing::Routing;
use super::routing::ServiceId;
use super::server_status::ServerStatus;
use super::team::KeyDigest;
use super::upgrade;

/// A segment of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// An ID that stands for the text of the segment.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The contents of the headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// The ID of the caller's attempt, as sent by the caller.
    pub id: String,
    /// How long the caller waits for a response.
    pub timeout: Option<Duration>,
    /// The segments of the prompt, in order. The last one is specific to this request.
    pub segments: Vec<PromptSegment>,
    /// The ID of the last event that the caller has already received.
    pub last_event: Option<u64>,
    /// The ID of the caller's attempt that brought the first event of the stream that this request
    /// continues.
    pub resumes: Option<String>,
    /// The digest of the caller's key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Tokens of the prompt plus the maximum number of generated tokens, if given.
    pub tokens: Option<u64>,
}

/// The metadata that the gateway adds to a request to a backend server.
#[derive(Clone, Debug)]
pub struct OutboundMetadata<'a> {
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The name of the backend server that the request is for. A server with another name rejects
    /// it.
    pub instance: &'a str,
    /// The priority, 0 to 9; 0 is admitted first.
    pub priority: u8,
    /// The ID of the event after which the stream is to continue.
    pub last_event: Option<u64>,
    /// The name of the caller's team, if it has one.
    pub team: Option<&'a str>,
}

/// The metadata in the head of a backend server's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// The ID of the request that the response is for, if given.
    pub id: Option<String>,
    /// Whether the response has the seal, a header that is set only by the server that executed the
    /// request.
    pub has_seal: bool,
    /// Whether the server states that it did not execute the request.
    pub not_run: bool,
    /// Whether the request was rejected because another backend server now has the address.
    pub instance_mismatch: bool,
    /// The name of the server that responded, if given.
    pub instance: Option<String>,
    /// How long the server keeps an idle connection open, if given.
    pub keep_alive: Option<Duration>,
    /// The status that the server reports.
    pub server_status: ServerStatus,
}

/// A caller's query for a box.
#[derive(Clone, Debug, Default)]
pub struct DirectoryQuery {
    /// The host that the caller will send requests to.
    pub host: String,
    /// The region of the caller.
    pub region: String,
    /// The failure domain of the caller.
    pub failure_domain: String,
}

/// Translates the HTTP headers and bodies of callers and backend servers.
pub trait HttpCodec: Clone + Send + Sync + 'static {
    /// Parses the headers of a caller's request. The error describes what is malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Adds the headers of a failure response: the ID of the request and when the caller may retry.
    fn add_failure_headers(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);

    /// Sets the headers for a backend server, replacing those that the caller sent.
    fn set_server_headers(&self, headers: &mut HeaderMap, outbound: &OutboundMetadata<'_>);

    /// Prepares the headers of a request that is forwarded to another box: updates the time left
    /// and removes the caller's key.
    fn set_forward_headers(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Parses the head of a backend server's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns whether a request is the readiness check of the box.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Parses a query for a box; `None` if the request is something else.
    fn parse_directory_query(&self, method: &Method, uri: &Uri) -> Option<DirectoryQuery>;

    /// Returns the body of the response to a query for a box.
    fn directory_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: Revision,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Written(KeyValue),
    /// The key was removed.
    Removed(String),
}

/// An operation of the store.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads one page of the keys with a prefix.
    Range {
        /// The key prefix.
        prefix: String,
        /// The last key of the previous page.
        after: Option<String>,
    },
    /// Waits for changes of the keys with a prefix.
    Watch {
        /// The key prefix.
        prefix: String,
        /// The revision after which changes are returned.
        after: Revision,
        /// The longest wait.
        wait: Duration,
    },
    /// Grants a lease.
    Grant {
        /// The TTL of the lease.
        ttl: Duration,
    },
    /// Renews a lease.
    Renew(LeaseId),
    /// Revokes a lease and removes its keys.
    Revoke(LeaseId),
    /// Writes several keys atomically.
    Put(Vec<KeyWrite>),
    /// Writes several keys atomically if other keys are unchanged; fails with
    /// [`PlatformError::Conflict`] otherwise.
    PutIf {
        /// Keys with the revisions that they must have; 0 for a key that must be absent.
        expected: Vec<(String, Revision)>,
        /// The writes.
        writes: Vec<KeyWrite>,
    },
}

/// The lease ID of a key that is bound to no lease.
pub const NO_LEASE: LeaseId = 0;

/// A write of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease that the key is bound to, or [`NO_LEASE`].
    pub lease: LeaseId,
}

/// The response of the store.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// One page of a range.
    Page {
        /// The items, in the order of their keys.
        items: Vec<KeyValue>,
        /// Whether more pages follow.
        more: bool,
        /// The revision of the store.
        revision: Revision,
    },
    /// The result of a watch.
    Changes {
        /// The changes, in order.
        changes: Vec<Change>,
        /// The revision after these changes.
        revision: Revision,
    },
    /// The lease was granted.
    Lease(LeaseId),
    /// The operation succeeded and has no result.
    Done,
}

/// An HTTP request to the store.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// A value written by the operator or by a backend server.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A version of the configuration.
    Routing(Box<Routing>),
    /// A backend server.
    Server(Server),
    /// The evacuation of a failure domain: its servers must get no requests.
    Evacuated(FailureDomainId),
    /// An order to move the traffic of a service to servers of another version.
    Upgrade(upgrade::Order),
}

/// The kind of object that a key refers to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The configuration.
    Routing,
    /// A backend server.
    Server(ServerId),
    /// The evacuation of a failure domain.
    Evacuation(FailureDomainId),
    /// The order to move the traffic of a service to servers of another version.
    Upgrade(ServiceId),
    /// Anything else, including the keys that boxes write themselves.
    Other,
}

/// Translates the requests, responses and values of the store.
pub trait StoreCodec: Clone + Send + Sync + 'static {
    /// Encodes an operation as an HTTP request to the store.
    fn encode(&self, operation: &Operation) -> StoreRequest;

    /// Decodes the response to an operation.
    fn decode(
        &self,
        operation: &Operation,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreResponse, PlatformError>;

    /// Returns the era of the store from the headers of a response; `None` if they do not give it.
    fn era(&self, headers: &HeaderMap) -> Option<Era>;

    /// Returns the kind of object that a key refers to.
    fn subject(&self, key: &str) -> Subject;

    /// Decodes a value written by the operator or by a backend server. Adds to `notes` the numbers
    /// that were out of range and replaced by the nearest one in range.
    fn decode_noted_fact(
        &self,
        subject: &Subject,
        value: &[u8],
        notes: &mut Notes,
    ) -> Result<Option<Fact>, String>;

    /// As [`StoreCodec::decode_noted_fact`], without the notes.
    fn decode_fact(&self, subject: &Subject, value: &[u8]) -> Result<Option<Fact>, String> {
        self.decode_noted_fact(subject, value, &mut Notes::default())
    }

    /// Encodes the status of an order: the key and the value that the operator reads.
    fn upgrade_status(
        &self,
        service: &str,
        target: &str,
        status: upgrade::Status,
    ) -> (String, Bytes);
}

/// A platform: callers and backend servers on one side, its store on the other.
pub trait Adapter: HttpCodec + StoreCodec {}

impl<T: HttpCodec + StoreCodec> Adapter for T {}
