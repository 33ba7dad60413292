//! What a platform's adapter translates: names, headers, bodies and keys of
//! the platform to the types of the product and back. An adapter decides
//! nothing and keeps no state.

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
use super::routing::Routing;
use super::server_status::ServerStatus;
use super::team::KeyDigest;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Identity of its text.
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identity of this attempt of the caller, as sent.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Parts of the prompt, in order; the last is the request's own.
    pub segments: Vec<PromptSegment>,
    /// Last event that the caller has already.
    pub last_event: Option<u64>,
    /// Digest of the caller's key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Tokens of the prompt and the most to be generated, if it says so.
    pub tokens: Option<u64>,
}

/// What the gateway adds to a request on its way to a backend server.
#[derive(Clone, Debug)]
pub struct OutboundMetadata<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// The instance that is meant; any other refuses the request.
    pub instance: &'a str,
    /// Urgency, 0 to 9; 0 is let in first.
    pub priority: u8,
    /// Event after which the stream is to go on.
    pub last_event: Option<u64>,
    /// Name of the caller's team, if it has one.
    pub team: Option<&'a str>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Request that it answers, if it says so.
    pub id: Option<String>,
    /// Whether it carries the mark of the server that ran it.
    pub sealed: bool,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another instance now.
    pub instance_mismatch: bool,
    /// Name of the server that answers, if it says so.
    pub instance: Option<String>,
    /// How long an idle connection is kept, if it says so.
    pub keep_alive: Option<Duration>,
    /// What the server says of itself.
    pub server_status: ServerStatus,
}

/// A question of a caller that looks for a box.
#[derive(Clone, Debug, Default)]
pub struct DirectoryQuery {
    /// Host that the caller wants to reach.
    pub host: String,
    /// Region of the caller.
    pub region: String,
    /// Failure domain of the caller.
    pub failure_domain: String,
}

/// Translates what callers and backend servers say.
pub trait HttpCodec: Clone + Send + Sync + 'static {
    /// Reads the headers of a caller's request; the error says what is malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Marks a failure of the gateway as the answer to a request, and says when to come back.
    fn add_failure_headers(&self, headers: &mut HeaderMap, id: &str, come_back: Option<Duration>);

    /// Adds what a backend server is told, in place of what the caller sent.
    fn set_server_headers(&self, headers: &mut HeaderMap, outbound: &OutboundMetadata<'_>);

    /// Changes the time left in a request that goes to another box, and takes out the caller's key.
    fn set_forward_headers(&self, headers: &mut HeaderMap, left: Duration);

    /// Reads the head of a backend server's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Whether this asks if the box takes requests.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Reads a question for a box; `None` if it is something else.
    fn parse_directory_query(&self, method: &Method, uri: &Uri) -> Option<DirectoryQuery>;

    /// The body of the answer to a question.
    fn directory_body(&self, addresses: &[SocketAddr], life: Duration) -> Bytes;
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was written.
    Written(KeyValue),
    /// It was removed.
    Removed(String),
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads a page of the keys with a prefix.
    Range {
        /// Beginning of the keys.
        prefix: String,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Waits for changes of the keys with a prefix.
    Watch {
        /// Beginning of the keys.
        prefix: String,
        /// Last revision that is known.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Takes out a lease.
    Grant {
        /// Its life.
        life: Duration,
    },
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease and removes its keys.
    Revoke(LeaseId),
    /// Writes keys, all or none.
    Put(Vec<KeyWrite>),
}

/// Stands for no lease: the key stays.
pub const NO_LEASE: LeaseId = 0;

/// A key to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyWrite {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Lease that the key lives by, or [`NO_LEASE`].
    pub lease: LeaseId,
}

/// The store's answer.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// A page; `more` says that others follow.
    Page {
        /// Items, by key.
        items: Vec<KeyValue>,
        /// Whether there is another page.
        more: bool,
        /// Revision of the store.
        revision: Revision,
    },
    /// Changes, in order.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Revision after them.
        revision: Revision,
    },
    /// A lease was granted.
    Lease(LeaseId),
    /// Done.
    Done,
}

/// A call as HTTP.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// Something the operator or a backend server has written.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A version of the configuration.
    Routing(Box<Routing>),
    /// A backend server.
    Server(Server),
    /// A failure domain is to get no work.
    Evacuated(FailureDomainId),
}

/// What a key is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The configuration.
    Routing,
    /// A backend server.
    Server(ServerId),
    /// A failure domain that is to get no work.
    Evacuation(FailureDomainId),
    /// Anything else; the product's own keys are among these.
    Other,
}

/// Translates what the store holds and says.
pub trait StoreCodec: Clone + Send + Sync + 'static {
    /// A call as HTTP.
    fn encode(&self, operation: &Operation) -> StoreRequest;

    /// The answer to a call.
    fn decode(
        &self,
        operation: &Operation,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreResponse, PlatformError>;

    /// The era of the store that sent these headers; `None` if they do not tell it.
    fn era(&self, headers: &HeaderMap) -> Option<Era>;

    /// What a key is about.
    fn subject(&self, key: &str) -> Subject;

    /// Reads a value of the operator or of a backend server.
    fn decode_fact(&self, subject: &Subject, value: &[u8]) -> Result<Option<Fact>, String>;
}

/// A platform: callers and backend servers on one side, its store on the other.
pub trait Adapter: HttpCodec + StoreCodec {}

impl<T: HttpCodec + StoreCodec> Adapter for T {}
