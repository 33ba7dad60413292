//! The HTTP API for callers: header names, bodies and request validation.

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

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The idempotency key: a request with this key is executed at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The deadline, in milliseconds from the arrival of the request.
pub const TIMEOUT_HEADER: &str = "copperweir-timeout-ms";
/// The priority of the request.
pub const PRIORITY_HEADER: &str = "copperweir-priority";
/// Forbids executing the request more than once.
pub const NOT_REPEATABLE_HEADER: &str = "copperweir-not-repeatable";
/// The request ID, in responses.
pub const REQUEST_ID_HEADER: &str = "copperweir-request-id";
/// The request ID that the response of a backend server belongs to. Servers may leave it out.
pub const RESPONSE_TO_HEADER: &str = "copperweir-response-to";
/// The region that executed the request, in responses.
pub const REGION_HEADER: &str = "copperweir-region";
/// The box that sent the response.
pub const BOX_HEADER: &str = "copperweir-box";
/// The version of the configuration that the request was handled with.
pub const CONFIG_VERSION_HEADER: &str = "copperweir-config-version";
/// Whether a failed request was executed, as a value of [`Executed`](crate::error::Executed).
pub const RAN_HEADER: &str = "copperweir-ran";

/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 255;

/// The operation that a method and path select.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// A completion. The body names the model.
    Completion,
    /// The list of models that the team may use.
    Models,
    /// The list of boxes to send requests to.
    Boxes,
    /// A call to a plain service.
    Service {
        /// The name of the service.
        name: String,
        /// The path and query that the service receives.
        path: String,
    },
    /// The liveness check of the process.
    Health,
    /// The readiness check: whether the box accepts requests.
    Ready,
}

impl Endpoint {
    /// Parses a method and a path with its query.
    pub fn parse(method: &Method, path_and_query: &str) -> Result<Endpoint, Failure> {
        let path = path_and_query.split('?').next().unwrap_or_default();
        if let Some(rest) = path_and_query.strip_prefix("/services/") {
            return parse_service_call(rest);
        }
        let (endpoint, expected) = match path {
            CHAT_PATH | "/v1/completions" => (Endpoint::Completion, Method::POST),
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

fn parse_service_call(rest: &str) -> Result<Endpoint, Failure> {
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

/// Returns whether a path has dot segments, also percent-encoded ones. A service might normalize
/// such a path to one that other route rules apply to.
fn has_dot_segment(path: &str) -> bool {
    path.to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .split('/')
        .any(|segment| segment == "." || segment == "..")
}

/// The options that a caller sets by headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// How long the caller waits for the response.
    pub timeout: Duration,
    /// The priority; `None` if the request gives none.
    pub priority: Option<Priority>,
    /// Whether the request must not be executed more than once.
    pub not_repeatable: bool,
    /// The idempotency key.
    pub key: Option<String>,
}

impl RequestOptions {
    /// Parses the headers.
    pub fn parse(headers: &HeaderMap, limits: &Limits) -> Result<RequestOptions, Failure> {
        let timeout = match header_text(headers, TIMEOUT_HEADER)? {
            None => limits.default_timeout,
            Some(value) => parse_timeout(value, limits)?,
        };
        let priority = match header_text(headers, PRIORITY_HEADER)? {
            None => None,
            Some(value) => Some(Priority::parse(value).ok_or_else(|| {
                bad_request(format!(
                    "{PRIORITY_HEADER}: expected low, normal or high, not \"{value}\""
                ))
            })?),
        };
        let not_repeatable = match header_text(headers, NOT_REPEATABLE_HEADER)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(value) => {
                return Err(bad_request(format!(
                    "{NOT_REPEATABLE_HEADER}: expected true or false, not \"{value}\""
                )));
            }
        };
        let key = header_text(headers, IDEMPOTENCY_KEY_HEADER)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(bad_request(format!(
                "{IDEMPOTENCY_KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} bytes"
            )));
        }
        Ok(RequestOptions { timeout, priority, not_repeatable, key: key.map(str::to_owned) })
    }
}

fn bad_request(message: String) -> Failure {
    Failure::new(ErrorKind::BadRequest, message)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("{name} stands twice")));
    }
    value.to_str().map(Some).map_err(|_| bad_request(format!("{name}: expected plain text")))
}

fn parse_timeout(value: &str, limits: &Limits) -> Result<Duration, Failure> {
    let max_ms = limits.max_timeout.as_millis();
    let timeout_ms = value
        .parse::<u64>()
        .ok()
        .filter(|timeout_ms| (1..=max_ms).contains(&u128::from(*timeout_ms)));
    timeout_ms.map(Duration::from_millis).ok_or_else(|| {
        bad_request(format!("{TIMEOUT_HEADER}: expected 1 to {max_ms}, not \"{value}\""))
    })
}

/// Returns the bearer token of a request, if it has one.
pub fn bearer_token(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(value) = header_text(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    match value.split_once(' ') {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => Ok(Some(token.trim())),
        _ => Err(Failure::new(ErrorKind::Unauthorized, "expected Authorization: Bearer <key>")),
    }
}

/// The fields of a completion's body that the gateway reads. The body is passed on unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// The name of the model.
    pub model: String,
    /// Whether the response is to be a stream.
    #[serde(default)]
    pub stream: bool,
    /// The messages of the chat. Their content matters only to the engine.
    #[serde(default)]
    messages: Option<JsonArray>,
}

/// A JSON array whose elements are ignored.
#[derive(Clone, Debug)]
struct JsonArray;

impl<'de> Deserialize<'de> for JsonArray {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<JsonArray, D::Error> {
        Vec::<IgnoredAny>::deserialize(deserializer)
            .map(|_| JsonArray)
            .map_err(|error| serde::de::Error::custom(format!("messages: {error}")))
    }
}

impl Completion {
    /// Parses the body of a request for this path.
    pub fn parse(path: &str, body: &[u8]) -> Result<Completion, Failure> {
        let completion: Completion = serde_json::from_slice(body).map_err(|error| {
            let place = format!("line {}, column {}", error.line(), error.column());
            let message = error.to_string();
            let message = message.split(" at line ").next().unwrap_or_default();
            bad_request(format!("the body at {place}: {message}"))
        })?;
        let chat = path.split('?').next() == Some(CHAT_PATH);
        if chat && completion.messages.is_none() {
            return Err(bad_request("messages: a chat needs a list of them".to_owned()));
        }
        Ok(completion)
    }
}

/// Returns whether a header is hop-by-hop. Such a header is dropped when a message is forwarded.
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

/// Returns the body of an error response.
pub fn failure_body(failure: &Failure) -> String {
    let row = failure.kind.spec();
    json!({"error": {"message": failure.message, "type": row.error_type, "code": row.code}})
        .to_string()
}

/// Adds the headers that only error responses have.
pub fn add_failure_headers(failure: &Failure, headers: &mut HeaderMap) {
    headers.insert(RAN_HEADER, HeaderValue::from_static(failure.executed().as_str()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = failure.retry_after() {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
}

/// A box in the list of boxes that callers can use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BoxEntry {
    /// The name of the box.
    pub name: BoxId,
    /// The region of the box.
    pub region: RegionId,
    /// The failure domain of the box.
    pub failure_domain: String,
    /// The address for requests.
    pub address: String,
    /// The weight of the box relative to the other boxes of its region.
    pub weight: u32,
}

/// The response to a request for the list of boxes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BoxesResponse {
    /// The boxes, best first.
    pub boxes: Vec<BoxEntry>,
    /// How long the response is valid, in milliseconds.
    pub valid_ms: u64,
    /// An idempotency key that needs no call to the store. It is valid only on the box named by
    /// `ticket_box`.
    pub ticket: String,
    /// The box that issued the ticket.
    pub ticket_box: BoxId,
}
