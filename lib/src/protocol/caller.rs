//! The callers' API: header names, bodies, and the checks on a request.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::IgnoredAny;
use serde_json::json;

use super::BoxId;
use super::RegionId;
use super::config::Limits;
use super::config::Priority;
use crate::error::ErrorKind;
use crate::error::Failure;

/// Path of chats.
const CHAT: &str = "/v1/chat/completions";
/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Deadline, milliseconds from arrival.
pub const TIMEOUT: &str = "copperweir-timeout-ms";
/// Priority.
pub const PRIORITY: &str = "copperweir-priority";
/// Forbids repeats.
pub const NOT_REPEATABLE: &str = "copperweir-not-repeatable";
/// Id of the request, in answers.
pub const REQUEST_ID: &str = "copperweir-request-id";
/// Region that ran the request, in answers.
pub const REGION: &str = "copperweir-region";
/// Box that answers.
pub const BOX: &str = "copperweir-box";
/// Configuration that the request was decided by.
pub const CONFIG_VERSION: &str = "copperweir-config-version";
/// Whether a failed request ran.
pub const RAN: &str = "copperweir-ran";

/// Longest idempotency key, bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// What a path asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// A completion; the body names the model.
    Completion,
    /// The models that the team may use.
    Models,
    /// Which box to use.
    Boxes,
    /// A call of a plain service.
    Service {
        /// Service.
        name: String,
        /// Path and query given to the service.
        path: String,
    },
    /// Whether the process is up.
    Health,
    /// Whether the box takes requests.
    Ready,
}

impl Endpoint {
    /// Reads method and path.
    pub fn parse(method: &Method, path_and_query: &str) -> Result<Endpoint, Failure> {
        let path = path_and_query.split('?').next().unwrap_or_default();
        if let Some(rest) = path_and_query.strip_prefix("/services/") {
            return service(rest);
        }
        let (endpoint, expected) = match path {
            CHAT | "/v1/completions" => (Endpoint::Completion, Method::POST),
            "/v1/models" => (Endpoint::Models, Method::GET),
            "/v1/boxes" => (Endpoint::Boxes, Method::GET),
            "/healthz" => (Endpoint::Health, Method::GET),
            "/readyz" => (Endpoint::Ready, Method::GET),
            _ => return Err(Failure::new(ErrorKind::NotFound, format!("no such path: {path}"))),
        };
        if *method != expected {
            let message = format!("{path} takes {expected}");
            return Err(Failure::new(ErrorKind::MethodNotAllowed, message));
        }
        Ok(endpoint)
    }
}

fn service(rest: &str) -> Result<Endpoint, Failure> {
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if name.is_empty() {
        return Err(Failure::new(ErrorKind::NotFound, "expected /services/<service>/<path>"));
    }
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    if path.split('?').next().is_some_and(has_dot_segment) {
        let message = "the path of a service call has no \".\" or \"..\" segments";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    Ok(Endpoint::Service { name: name.to_owned(), path })
}

/// A path that a service may read as another one than the routes were matched on.
fn has_dot_segment(path: &str) -> bool {
    path.to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .split('/')
        .any(|segment| segment == "." || segment == "..")
}

/// What the headers of a request ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// Time until the answer is of no use.
    pub timeout: Duration,
    /// Priority; `None` where the request names none.
    pub priority: Option<Priority>,
    /// Whether the request forbids repeats.
    pub not_repeatable: bool,
    /// Key under which it runs at most once.
    pub key: Option<String>,
}

impl RequestOptions {
    /// Reads the headers.
    pub fn parse(headers: &HeaderMap, limits: &Limits) -> Result<RequestOptions, Failure> {
        let timeout = match text(headers, TIMEOUT)? {
            None => limits.default_timeout,
            Some(text) => timeout(text, limits)?,
        };
        let priority = match text(headers, PRIORITY)? {
            None => None,
            Some(word) => Some(Priority::parse(word).ok_or_else(|| {
                bad(format!("{PRIORITY}: expected low, normal or high, not \"{word}\""))
            })?),
        };
        let not_repeatable = match text(headers, NOT_REPEATABLE)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(word) => {
                return Err(bad(format!(
                    "{NOT_REPEATABLE}: expected true or false, not \"{word}\""
                )));
            }
        };
        let key = text(headers, IDEMPOTENCY_KEY)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(bad(format!("{IDEMPOTENCY_KEY}: expected 1 to {MAX_KEY_BYTES} bytes")));
        }
        Ok(RequestOptions { timeout, priority, not_repeatable, key: key.map(str::to_owned) })
    }
}

fn bad(message: String) -> Failure {
    Failure::new(ErrorKind::BadRequest, message)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(format!("{name} stands twice")));
    }
    value.to_str().map(Some).map_err(|_| bad(format!("{name}: expected plain text")))
}

fn timeout(text: &str, limits: &Limits) -> Result<Duration, Failure> {
    let most = limits.max_timeout.as_millis();
    let millis =
        text.parse::<u64>().ok().filter(|millis| (1..=most).contains(&u128::from(*millis)));
    millis
        .map(Duration::from_millis)
        .ok_or_else(|| bad(format!("{TIMEOUT}: expected 1 to {most}, not \"{text}\"")))
}

/// The bearer token of a request, if it brings one.
pub fn bearer_token(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(value) = text(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    match value.split_once(' ') {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => Ok(Some(token.trim())),
        _ => Err(Failure::new(ErrorKind::Unauthorized, "expected Authorization: Bearer <key>")),
    }
}

/// What the gateway reads of a completion's body; the rest is passed through.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Model.
    pub model: String,
    /// Whether the answer is a stream.
    #[serde(default)]
    pub stream: bool,
    /// The chat so far; what it says is for the engine.
    #[serde(default)]
    messages: Option<List>,
}

/// A list of anything.
#[derive(Clone, Debug)]
struct List;

impl<'de> Deserialize<'de> for List {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<List, D::Error> {
        Vec::<IgnoredAny>::deserialize(deserializer)
            .map(|_| List)
            .map_err(|error| serde::de::Error::custom(format!("messages: {error}")))
    }
}

impl Completion {
    /// Reads the body of a request for this path.
    pub fn parse(path: &str, body: &[u8]) -> Result<Completion, Failure> {
        let completion: Completion = serde_json::from_slice(body).map_err(|error| {
            let place = format!("line {}, column {}", error.line(), error.column());
            let message = error.to_string();
            let message = message.split(" at line ").next().unwrap_or_default();
            bad(format!("the body at {place}: {message}"))
        })?;
        let chat = path.split('?').next() == Some(CHAT);
        if chat && completion.messages.is_none() {
            return Err(bad("messages: a chat needs a list of them".to_owned()));
        }
        Ok(completion)
    }
}

/// Whether a header concerns one connection only, and stays behind where a message is passed on.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    NAMES.contains(name) || name == "keep-alive" || name == "proxy-connection"
}

/// A failed answer's body.
pub fn failure_body(failure: &Failure) -> String {
    let row = failure.kind.spec();
    json!({"error": {"message": failure.message, "type": row.error_type, "code": row.code}})
        .to_string()
}

/// The headers that only a failed answer has.
pub fn add_failure_headers(failure: &Failure, headers: &mut HeaderMap) {
    headers.insert(RAN, HeaderValue::from_static(failure.executed().as_str()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = failure.retry_after() {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
}

/// One box of the answer to "which box should I use".
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BoxEntry {
    /// Box.
    pub name: BoxId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: String,
    /// Where to send requests.
    pub address: String,
    /// Share of requests to send here, relative to the others of its region.
    pub weight: u32,
}

/// The answer to "which box should I use".
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BoxesResponse {
    /// Boxes, best first.
    pub boxes: Vec<BoxEntry>,
    /// How long the answer holds, milliseconds.
    pub valid_ms: u64,
    /// An idempotency key that costs no call to the store; good at the box named by `ticket_box`.
    pub ticket: String,
    /// Box that the ticket belongs to.
    pub ticket_box: BoxId,
}
