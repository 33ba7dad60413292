//! The closed set of error kinds and the single table that maps each kind to its HTTP response.
//!
//! Every reason for which a request can fail is an [`ErrorKind`]. The table gives the HTTP status,
//! the `type` in the error body, what the response may state about whether the request was
//! executed, and when a client may retry. No other code chooses a status for a failure.

use std::fmt;
use std::time::Duration;

use http::StatusCode;

/// Whether a request was executed by a backend server, as far as the gateway knows.
///
/// Sent to callers in the `Copperweir-Ran` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Executed {
    /// No byte of the request can have reached a backend server.
    No,
    /// The request may have been executed.
    Unknown,
    /// The request was executed.
    Yes,
}

impl Executed {
    /// Returns the value of the `Copperweir-Ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Unknown => "unknown",
            Executed::Yes => "yes",
        }
    }

    /// Parses a `Copperweir-Ran` value. Any unexpected value is `Unknown`.
    pub fn parse(text: &str) -> Executed {
        match text {
            "no" => Executed::No,
            "yes" => Executed::Yes,
            _ => Executed::Unknown,
        }
    }
}

/// The retry hint of an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// No `Retry-After` header, because the same request would fail again.
    Never,
    /// A `Retry-After` header with this many seconds, unless the failure gives its own delay.
    After(u64),
}

/// The response that an error kind produces: one row of [`TABLE`].
#[derive(Clone, Copy, Debug)]
pub struct ErrorSpec {
    /// The error kind.
    pub kind: ErrorKind,
    /// `code` in the error body.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// `type` in the error body.
    pub error_type: &'static str,
    /// Whether the request was executed; `None` if this depends on the individual failure.
    pub executed: Option<Executed>,
    /// The retry hint.
    pub retry: Retry,
}

macro_rules! kinds {
    ($($kind:ident $code:literal $status:literal $class:literal $executed:expr, $retry:expr, $doc:literal;)*) => {
        /// The reasons for which a request can fail.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum ErrorKind {
            $(#[doc = $doc] $kind,)*
        }

        /// The response of each error kind, indexed by the kind's discriminant.
        pub const TABLE: &[ErrorSpec] = &[
            $(ErrorSpec {
                kind: ErrorKind::$kind,
                code: $code,
                status: $status,
                error_type: $class,
                executed: $executed,
                retry: $retry,
            },)*
        ];
    };
}

const NO: Option<Executed> = Some(Executed::No);
const YES: Option<Executed> = Some(Executed::Yes);
const UNKNOWN: Option<Executed> = Some(Executed::Unknown);
const DEPENDS_ON_FAILURE: Option<Executed> = None;
const NEVER: Retry = Retry::Never;

kinds! {
    BadRequest "bad_request" 400 "invalid_request_error" NO, NEVER, "The request is malformed.";
    Unauthorized "unauthorized" 401 "authentication_error" NO, NEVER, "The request has no key, or an unknown one.";
    Forbidden "forbidden" 403 "permission_error" NO, NEVER, "The team may not use this model, service or priority.";
    UnknownModel "unknown_model" 404 "invalid_request_error" NO, NEVER, "The model does not exist.";
    UnknownService "unknown_service" 404 "invalid_request_error" NO, NEVER, "The service does not exist.";
    NotFound "not_found" 404 "invalid_request_error" NO, NEVER, "The path does not exist.";
    MethodNotAllowed "method_not_allowed" 405 "invalid_request_error" NO, NEVER, "The path does not take this method.";
    BodyTimeout "body_timeout" 408 "invalid_request_error" NO, Retry::After(1), "The body did not arrive in time.";
    AlreadyRan "already_ran" 409 "conflict_error" YES, NEVER, "The request was executed, and its response is no longer stored.";
    TicketExpired "ticket_expired" 409 "conflict_error" UNKNOWN, NEVER, "The ticket has expired; whether it was used is no longer known.";
    BodyTooLarge "body_too_large" 413 "invalid_request_error" NO, NEVER, "The body is larger than the limit.";
    KeyReused "key_reused" 422 "invalid_request_error" NO, NEVER, "The key was used before with another request.";
    RateLimited "rate_limited" 429 "rate_limit_error" NO, Retry::After(1), "The team is over its rate limit.";
    QueueFull "queue_full" 503 "overloaded_error" NO, Retry::After(2), "The pool's queue is full.";
    Throttled "throttled" 503 "overloaded_error" NO, Retry::After(1), "The backend servers are at the rate limits that they report.";
    WouldBeLate "would_be_late" 503 "overloaded_error" NO, Retry::After(2), "The response would arrive after the deadline of the request.";
    NoServer "no_server" 503 "overloaded_error" NO, Retry::After(5), "No backend server that may execute the request can be reached.";
    NotReady "not_ready" 503 "unavailable_error" NO, Retry::After(1), "The box has no configuration yet.";
    Leaving "leaving" 503 "unavailable_error" NO, Retry::After(0), "The box is leaving.";
    StoreUnavailable "store_unavailable" 503 "unavailable_error" NO, Retry::After(5), "The key cannot be claimed because the platform's store does not respond.";
    LedgerFull "ledger_full" 503 "overloaded_error" NO, Retry::After(5), "The box stores the maximum number of idempotency keys.";
    Behind "behind" 503 "unavailable_error" NO, Retry::After(1), "The box lacks the configuration version that the request was routed with.";
    Quarantined "quarantined" 503 "unavailable_error" NO, Retry::After(600), "Backend servers crashed earlier while executing this request.";
    OutsideRegion "outside_region" 503 "unavailable_error" NO, Retry::After(5), "The request must not be executed in this region.";
    TooManyHops "too_many_hops" 508 "unavailable_error" NO, Retry::After(1), "The request was forwarded too often.";
    OwnerGone "owner_gone" 502 "unavailable_error" UNKNOWN, NEVER, "The box that owned the key is gone.";
    BackendFailed "backend_failed" 502 "backend_error" DEPENDS_ON_FAILURE, Retry::After(1), "The backend server failed.";
    BackendTimeout "backend_timeout" 504 "backend_error" DEPENDS_ON_FAILURE, Retry::After(1), "The backend server did not respond in time.";
    Internal "internal" 500 "internal_error" DEPENDS_ON_FAILURE, Retry::After(1), "The gateway has an internal error.";
}

impl ErrorKind {
    /// Returns the response of this kind.
    pub fn spec(self) -> &'static ErrorSpec {
        &TABLE[self as usize]
    }

    /// Returns the kind with this code.
    pub fn parse(code: &str) -> Option<ErrorKind> {
        TABLE.iter().find(|row| row.code == code).map(|row| row.kind)
    }
}

/// A failed request: its kind and the details of this one failure.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The error kind.
    pub kind: ErrorKind,
    /// A message for humans.
    pub message: String,
    executed: Executed,
    retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure. Its execution status is that of the kind, or `Unknown` if the kind does
    /// not define one.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Failure {
        Failure {
            kind,
            message: message.into(),
            executed: kind.spec().executed.unwrap_or(Executed::Unknown),
            retry_after: None,
        }
    }

    /// Sets the execution status, unless the kind already defines it.
    pub fn with_executed(mut self, executed: Executed) -> Failure {
        self.executed = self.kind.spec().executed.unwrap_or(executed);
        self
    }

    /// Sets the delay after which the client may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Failure {
        self.retry_after = Some(after);
        self
    }

    /// Returns whether the request was executed.
    pub fn executed(&self) -> Executed {
        self.executed
    }

    /// Returns the delay for `Retry-After` if a retry is useful. A request that may have been
    /// executed never gets a retry hint.
    pub fn retry_after(&self) -> Option<Duration> {
        if self.executed != Executed::No {
            return None;
        }
        match self.kind.spec().retry {
            Retry::Never => None,
            Retry::After(seconds) => Some(self.retry_after.unwrap_or(Duration::from_secs(seconds))),
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.spec().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.spec().code, self.message)
    }
}

impl std::error::Error for Failure {}
