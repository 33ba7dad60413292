//! A caller's request, authenticated and matched to a route, with everything that is needed to send
//! it once or more often.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;

use super::forwarded_versions;
pub use super::forwarded_versions::FORWARDED_HEADER;
pub use super::forwarded_versions::Forward;
use super::forwarded_versions::VERSION_HEADER;
use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::stream_versions;
use crate::coordination::fingerprint;
use crate::coordination::fingerprint::Fingerprint;
use crate::coordination::identity;
use crate::coordination::identity::Credentials;
use crate::coordination::identity::ForwardedIdentity;
use crate::coordination::urgency;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::OutboundMetadata;
use crate::protocol::adapter::RequestMetadata;
use crate::protocol::caller;
use crate::protocol::fleet::VersionHash;
use crate::protocol::routing::Route;
use crate::protocol::routing::Routing;
use crate::protocol::routing::ServiceId;
use crate::protocol::team::KeyDigest;
use crate::protocol::team::Team;
use crate::state::clock;
use crate::transport::activity::RequestBody;
use crate::transport::http1;
use crate::transport::timer;

/// How many sends a box made for a request that got no response.
pub const SENDS_HEADER: HeaderName = HeaderName::from_static("copperweir-sends");
/// Version of the server that runs a stream, in a response to a box that understands it.
pub const SERVER_VERSION_HEADER: HeaderName = HeaderName::from_static("copperweir-server-version");
/// Marks the refusal of a box that has lost paths to servers of the request's service.
pub const LOST_PATHS_HEADER: HeaderName = HeaderName::from_static("copperweir-lost-paths");
/// Digest of the caller's API key, for another box.
const KEY_HEADER: HeaderName = HeaderName::from_static("copperweir-key");
/// Name of the caller's team, for another box.
const TEAM_HEADER: HeaderName = HeaderName::from_static("copperweir-team");
/// Fingerprint of the caller's request, for another box.
const FINGERPRINT_HEADER: HeaderName = HeaderName::from_static("copperweir-fingerprint");
/// Headers that only boxes set. They are ignored in requests of callers and in responses of backend
/// servers, and are never sent to backend servers.
const INTERNAL_HEADERS: [HeaderName; 9] = [
    FORWARDED_HEADER,
    KEY_HEADER,
    TEAM_HEADER,
    VERSION_HEADER,
    FINGERPRINT_HEADER,
    SERVER_VERSION_HEADER,
    SENDS_HEADER,
    LOST_PATHS_HEADER,
    HeaderName::from_static(caller::RAN_HEADER),
];
/// Timeout of a request that specifies none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// The sender of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another box, on behalf of one of its callers.
    Peer,
}

/// A caller's request that has been read and checked.
pub struct Job {
    /// Data of the caller's headers.
    pub metadata: RequestMetadata,
    /// The sender.
    pub origin: Origin,
    /// Whether the sender is known to be a box. Only then it has charged the caller's team, and what
    /// it says of the caller counts.
    pub is_from_box: bool,
    /// What the sender expects, if it is another box.
    pub forward: Forward,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service that runs the request.
    pub service: ServiceId,
    /// The caller's team, if the route requires one.
    pub team: Option<Arc<Team>>,
    /// Version of the configuration that the request was routed by.
    pub version: u64,
    /// Identifies the request also when its caller sends it again.
    pub fingerprint: Fingerprint,
    /// When its head was read.
    pub arrived: Instant,
    /// When the response must be complete, by the timeout of the caller or of the route, whichever
    /// is shorter.
    pub deadline: Instant,
    /// The snapshot that was current when the request arrived.
    pub snapshot: Arc<Snapshot>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Job {
    /// Reads a request completely, and authenticates and routes it.
    pub async fn read<A: Adapter>(
        shared: &Shared<A>,
        origin: Origin,
        mut metadata: RequestMetadata,
        request: Request<RequestBody>,
    ) -> Result<Job, Failure> {
        let arrived = clock::now();
        let (head, body) = request.into_parts();
        let is_from_box = origin == Origin::Peer && is_from_box(shared, &head);
        let forward = match origin {
            Origin::Caller => Forward::default(),
            Origin::Peer => Forward::parse(&head.headers),
        };
        if origin == Origin::Peer {
            let time_limit = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
            forwarded_versions::await_state(shared, &head.headers, &forward, time_limit).await?;
        }
        let snapshot = shared.snapshot.load_full();
        let routing = current_routing(&snapshot)?;
        let route = find_route(&routing, &head.headers, &head.uri)?;
        let claim = identity_claim(origin, is_from_box, &metadata, &head.headers);
        metadata.key = claim.key;
        let team = identify_team(shared, &claim, &routing, &route)?;
        let time_limit = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let deadline = arrived + time_limit;
        let body = read_body(body, routing.limits.max_body_bytes, deadline).await?;
        let fingerprint = fingerprint(is_from_box, &metadata, &head, &body);
        let service = pick_service(&route, &forward, first_attempt(&metadata))?;
        Ok(Job {
            metadata,
            origin,
            is_from_box,
            forward,
            route,
            service,
            team,
            version: routing.version,
            fingerprint,
            arrived,
            deadline,
            snapshot,
            method: head.method,
            uri: head.uri,
            headers: forwarded_headers(&head.headers),
            body,
        })
    }

    /// Whether both the route and the team allow the request to run in a region.
    pub fn is_allowed_in(&self, region: &str) -> bool {
        self.route.allows(region) && self.team.as_ref().is_none_or(|team| team.allows(region))
    }

    /// Priority for the engines; 0 is the most urgent.
    pub fn priority(&self, continues_stream: bool) -> u8 {
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        match continues_stream {
            true => urgency::continued_rank(team_priority),
            false => urgency::rank(team_priority, self.route.priority),
        }
    }

    /// Length of the body, bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Whether the request continues a stream whose first events the caller has.
    pub fn continues_stream(&self) -> bool {
        let resumes = self.route.resumable && self.metadata.resumes.is_some();
        resumes || self.continued_event().is_some()
    }

    /// The last event that the caller has of the stream that the request continues.
    pub fn continued_event(&self) -> Option<u64> {
        self.metadata.last_event.filter(|id| self.route.resumable && *id > 0)
    }

    /// The caller's attempt that brought the first event of the stream.
    pub fn first_attempt(&self) -> &str {
        first_attempt(&self.metadata)
    }

    /// Maximum number of servers that this box may send the request to. The box that received the
    /// request from the caller counts the sends, so a box that it was forwarded to sends it only
    /// once.
    pub fn max_attempts(&self) -> usize {
        match self.origin {
            Origin::Caller => self.route.max_attempts,
            Origin::Peer => 1,
        }
    }

    /// The request to send to a backend server.
    pub fn for_server<A: Adapter>(
        &self,
        adapter: &A,
        instance: &str,
        last_event: Option<u64>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let outbound = OutboundMetadata {
            time_left: self.time_left(clock::now()),
            instance,
            priority: self.priority(last_event.is_some_and(|id| id > 0)),
            last_event,
            team: self.team.as_ref().map(|team| team.name.as_str()),
        };
        let mut request = self.request();
        adapter.set_server_headers(request.headers_mut(), &outbound);
        request
    }

    /// The request to forward to a box of another region.
    pub fn for_peer<A: Adapter>(
        &self,
        shared: &Shared<A>,
        last_event: Option<u64>,
        version: Option<VersionHash>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let mut request = self.request();
        let headers = request.headers_mut();
        shared.adapter.set_forward_headers(headers, self.time_left(clock::now()));
        let service = stream_versions::service_hash(&self.service);
        headers.insert(FORWARDED_HEADER, Forward::value(shared, version, service));
        headers.insert(VERSION_HEADER, self.version.into());
        if let Ok(fingerprint) = HeaderValue::try_from(self.fingerprint.to_string()) {
            headers.insert(FINGERPRINT_HEADER, fingerprint);
        }
        if let Some(Ok(key)) = self.metadata.key.map(|key| HeaderValue::try_from(key.to_string())) {
            headers.insert(KEY_HEADER, key);
        }
        if let Some(Ok(team)) = self.team.as_ref().map(|team| HeaderValue::from_str(&team.name)) {
            headers.insert(TEAM_HEADER, team);
        }
        if let Some(id) = last_event {
            headers.insert("last-event-id", id.into());
        }
        request
    }

    fn request(&self) -> Request<http_body_util::Full<Bytes>> {
        let mut request = Request::new(http_body_util::Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// The attempt that a request continues, or its own. A stream stays with the service that began it.
fn first_attempt(metadata: &RequestMetadata) -> &str {
    metadata.resumes.as_deref().unwrap_or(&metadata.id)
}

/// What the service of a request is picked by.
pub fn routing_point(attempt: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(attempt.as_bytes())
}

/// The service for a request. That of a resumable stream is the choice of the box that received the
/// request from the caller, if the route still has it.
fn pick_service(route: &Route, forward: &Forward, attempt: &str) -> Result<ServiceId, Failure> {
    let is_chosen = |service: &&ServiceId| {
        forward.service == Some(stream_versions::service_hash(service)) && route.resumable
    };
    let chosen = route.services().find(is_chosen);
    let picked = chosen.or_else(|| route.pick_service(routing_point(attempt)));
    picked.cloned().ok_or_else(|| Failure::new(ErrorKind::NoServer, "the route has no service"))
}

fn current_routing(snapshot: &Snapshot) -> Result<Arc<Routing>, Failure> {
    let not_ready = || Failure::new(ErrorKind::NotReady, "the box has no configuration yet");
    snapshot.routing.clone().ok_or_else(not_ready)
}

fn find_route(routing: &Routing, headers: &HeaderMap, uri: &Uri) -> Result<Arc<Route>, Failure> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = routing.find(host, uri.path());
    let no_route =
        || Failure::new(ErrorKind::NotFound, format!("no route for {host}{}", uri.path()));
    route.cloned().ok_or_else(no_route)
}

/// Whether a request comes from the host of a known box.
fn is_from_box<A>(shared: &Shared<A>, head: &http::request::Parts) -> bool {
    let client = head.extensions.get::<http1::ClientIp>();
    client.is_some_and(|client| lock(&shared.senders).is_box_host(client.0))
}

/// Fingerprint of the request. A box that forwards a request has seen its caller, so its
/// fingerprint is used.
fn fingerprint(
    is_from_box: bool,
    metadata: &RequestMetadata,
    head: &http::request::Parts,
    body: &Bytes,
) -> Fingerprint {
    let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let sender_fingerprint =
        text(&FINGERPRINT_HEADER).and_then(|sender_fingerprint| sender_fingerprint.parse().ok());
    if let Some(sender_fingerprint) = sender_fingerprint.filter(|_| is_from_box) {
        return sender_fingerprint;
    }
    let host = text(&header::HOST).unwrap_or_default();
    let address = head.extensions.get::<http1::ClientIp>().map(|origin| origin.0);
    Fingerprint {
        content: fingerprint::content_hash(&head.method, host, &head.uri, body),
        caller: fingerprint::caller_hash(metadata.key.as_ref(), address),
    }
}

async fn read_body(
    body: RequestBody,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    let read = Limited::new(body, max_bytes).collect();
    match timer::timeout_at(deadline, read).await {
        Err(_) => Err(Failure::new(ErrorKind::BodyTimeout, "the body did not arrive in time")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => Err(Failure::new(
            ErrorKind::BodyTooLarge,
            format!("the body has over {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(Failure::new(ErrorKind::BadRequest, format!("the body: {error}"))),
    }
}

/// The identity that a request claims for its caller. Only requests from known boxes may claim more
/// than a key.
fn identity_claim(
    origin: Origin,
    is_from_box: bool,
    metadata: &RequestMetadata,
    headers: &HeaderMap,
) -> Credentials {
    if origin == Origin::Caller {
        return Credentials { key: metadata.key, forwarded: None };
    }
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let key = text(&KEY_HEADER).and_then(|key| key.parse::<KeyDigest>().ok());
    let version = forwarded_versions::configuration_version(headers).filter(|_| is_from_box);
    let team = text(&TEAM_HEADER).map(str::to_owned);
    Credentials { key, forwarded: version.map(|version| ForwardedIdentity { team, version }) }
}

fn identify_team<A: Adapter>(
    shared: &Shared<A>,
    claim: &Credentials,
    routing: &Routing,
    route: &Route,
) -> Result<Option<Arc<Team>>, Failure> {
    let state_age = lock(&shared.freshness).age(clock::now());
    let stale = state_age.is_none_or(|state_age| state_age > shared.settings.propagation_limit);
    let team = identity::resolve_team(claim, routing, route, stale)?;
    let expired_max_age = shared
        .settings
        .max_key_age
        .filter(|max_age| state_age.is_none_or(|state_age| state_age > *max_age));
    if team.is_some() && expired_max_age.is_some() {
        let message = "the keys in force cannot be made sure of: the store is away";
        return Err(Failure::new(ErrorKind::Behind, message));
    }
    Ok(team)
}

/// Headers to forward, in either direction: all except those of the connection and those between
/// boxes.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = caller::is_hop_by_hop(name)
            || INTERNAL_HEADERS.contains(name)
            || connection_headers.contains(name);
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
