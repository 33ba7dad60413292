//! A caller's request, read and checked: everything that is needed to send it,
//! once or more often.

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
use hyper::body::Incoming;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::fingerprint;
use crate::coordination::fingerprint::Fingerprint;
use crate::coordination::identity;
use crate::coordination::identity::Credentials;
use crate::coordination::identity::ForwardedIdentity;
use crate::coordination::urgency;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Ask;
use crate::protocol::adapter::Outbound;
use crate::protocol::caller;
use crate::protocol::routing::Route;
use crate::protocol::routing::Routing;
use crate::protocol::routing::ServiceId;
use crate::protocol::team::KeyDigest;
use crate::protocol::team::Team;
use crate::state::clock;
use crate::transport::http1;
use crate::transport::timer;

/// Marks a request that another box has passed on; it goes no further than this region.
pub const PASSED_ON: HeaderName = HeaderName::from_static("copperweir-passed-on");
/// How often a box sent a request that it failed to get an answer to.
pub const SENDS: HeaderName = HeaderName::from_static("copperweir-sends");
/// Digest of the caller's key, for another box.
const KEY: HeaderName = HeaderName::from_static("copperweir-key");
/// Name of the caller's team, for another box.
const TEAM: HeaderName = HeaderName::from_static("copperweir-team");
/// Version of the configuration that the sender looked them up in.
const VERSION: HeaderName = HeaderName::from_static("copperweir-version");
/// What the caller's request is known by, for another box.
const FINGERPRINT: HeaderName = HeaderName::from_static("copperweir-fingerprint");
/// What only boxes tell each other: a caller's are ignored, and backend servers see none.
const BETWEEN_BOXES: [HeaderName; 5] = [PASSED_ON, KEY, TEAM, VERSION, FINGERPRINT];
/// How long a caller waits that does not say so.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// Who sent a request here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another box, for a caller of its own.
    Peer,
}

/// A checked request.
pub struct Job {
    /// What the caller's headers say.
    pub ask: Ask,
    /// Who sent it.
    pub origin: Origin,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: ServiceId,
    /// The team whose request it is, if its route asks for one.
    pub team: Option<Arc<Team>>,
    /// Version of the configuration that it was routed by.
    pub version: u64,
    /// What it is known by when it comes again.
    pub fingerprint: Fingerprint,
    /// When its head was read.
    pub arrived: Instant,
    /// When it must have been answered: the caller's or the route's bound, whichever is less.
    pub deadline: Instant,
    /// What control knew when it arrived.
    pub snapshot: Arc<Snapshot>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Job {
    /// Reads a request to its end.
    pub async fn read<A: Adapter>(
        shared: &Shared<A>,
        origin: Origin,
        mut ask: Ask,
        request: Request<Incoming>,
    ) -> Result<Job, Failure> {
        let arrived = clock::now();
        let (head, body) = request.into_parts();
        let snapshot = shared.snapshot.load_full();
        let routing = routing(&snapshot)?;
        let route = find(&routing, &head.headers, &head.uri)?;
        let claim = claim(origin, &ask, &head.headers);
        ask.key = claim.key;
        let team = identify(shared, &claim, &routing, &route)?;
        let patience = ask.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
        let deadline = arrived + patience;
        let body = read_body(body, routing.limits.body_bytes, deadline).await?;
        let fingerprint = fingerprint(origin, &ask, &head, &body);
        let point = rapidhash::v3::rapidhash_v3(ask.id.as_bytes());
        let service = route
            .service(point)
            .cloned()
            .ok_or_else(|| Failure::new(Kind::NoServer, "the route has no service"))?;
        Ok(Job {
            ask,
            origin,
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
            headers: passed_on(&head.headers),
            body,
        })
    }

    /// Whether a region may run it, by its route and by its team.
    pub fn allows(&self, region: &str) -> bool {
        self.route.allows(region) && self.team.as_ref().is_none_or(|team| team.allows(region))
    }

    /// Rank for the engines; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let of_team = self.team.as_ref().and_then(|team| team.priority);
        urgency::rank(of_team, self.route.priority)
    }

    /// Time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Most servers that it may be sent to from here. The box that a caller asked counts the
    /// sends, so another one makes only the one that it was asked for.
    pub fn max_attempts(&self) -> usize {
        match self.origin {
            Origin::Caller => self.route.max_attempts,
            Origin::Peer => 1,
        }
    }

    /// The request for a backend server.
    pub fn for_server<A: Adapter>(
        &self,
        adapter: &A,
        instance: &str,
        last_event: Option<u64>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let outbound = Outbound {
            left: self.left(clock::now()),
            instance,
            priority: self.priority(),
            last_event,
            team: self.team.as_ref().map(|team| team.name.as_str()),
        };
        let mut request = self.request();
        adapter.outbound(request.headers_mut(), &outbound);
        request
    }

    /// The request for a box of another region.
    pub fn for_peer<A: Adapter>(
        &self,
        adapter: &A,
        last_event: Option<u64>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let mut request = self.request();
        let headers = request.headers_mut();
        adapter.forward(headers, self.left(clock::now()));
        headers.insert(PASSED_ON, HeaderValue::from_static("1"));
        headers.insert(VERSION, self.version.into());
        if let Ok(fingerprint) = HeaderValue::try_from(self.fingerprint.to_string()) {
            headers.insert(FINGERPRINT, fingerprint);
        }
        if let Some(Ok(key)) = self.ask.key.map(|key| HeaderValue::try_from(key.to_string())) {
            headers.insert(KEY, key);
        }
        if let Some(Ok(team)) = self.team.as_ref().map(|team| HeaderValue::from_str(&team.name)) {
            headers.insert(TEAM, team);
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

fn routing(snapshot: &Snapshot) -> Result<Arc<Routing>, Failure> {
    let missing = || Failure::new(Kind::NotReady, "the box has no configuration yet");
    snapshot.routing.clone().ok_or_else(missing)
}

fn find(routing: &Routing, headers: &HeaderMap, uri: &Uri) -> Result<Arc<Route>, Failure> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = routing.find(host, uri.path());
    let none = || Failure::new(Kind::NotFound, format!("no route for {host}{}", uri.path()));
    route.cloned().ok_or_else(none)
}

/// What the request is known by. Another box has seen its caller, and says so.
fn fingerprint(
    origin: Origin,
    ask: &Ask,
    head: &http::request::Parts,
    body: &Bytes,
) -> Fingerprint {
    let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let told = text(&FINGERPRINT).and_then(|told| told.parse().ok());
    if let (Origin::Peer, Some(told)) = (origin, told) {
        return told;
    }
    let host = text(&header::HOST).unwrap_or_default();
    let address = head.extensions.get::<http1::Origin>().map(|origin| origin.0);
    Fingerprint {
        content: fingerprint::content(&head.method, host, &head.uri, body),
        caller: fingerprint::caller(ask.key.as_ref(), address),
    }
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Failure> {
    let read = Limited::new(body, most).collect();
    match timer::timeout_at(deadline, read).await {
        Err(_) => Err(Failure::new(Kind::BodyTimeout, "the body did not arrive in time")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(Failure::new(Kind::BodyTooLarge, format!("the body has over {most} bytes")))
        }
        Ok(Err(error)) => Err(Failure::new(Kind::BadRequest, format!("the body: {error}"))),
    }
}

/// What a request says of its caller; only boxes can say more than a key.
fn claim(origin: Origin, ask: &Ask, headers: &HeaderMap) -> Credentials {
    if origin == Origin::Caller {
        return Credentials { key: ask.key, forwarded: None };
    }
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let key = text(&KEY).and_then(|key| key.parse::<KeyDigest>().ok());
    let version = text(&VERSION).and_then(|version| version.parse().ok());
    let team = text(&TEAM).map(str::to_owned);
    Credentials { key, forwarded: version.map(|version| ForwardedIdentity { team, version }) }
}

fn identify<A: Adapter>(
    shared: &Shared<A>,
    claim: &Credentials,
    routing: &Routing,
    route: &Route,
) -> Result<Option<Arc<Team>>, Failure> {
    let age = lock(&shared.freshness).age(clock::now());
    let stale = age.is_none_or(|age| age > shared.settings.follow_within);
    let team = identity::resolve_team(claim, routing, route, stale)?;
    let too_old = shared.settings.keys_hold.filter(|holds| age.is_none_or(|age| age > *holds));
    if team.is_some() && too_old.is_some() {
        let message = "the keys in force cannot be made sure of: the store is away";
        return Err(Failure::new(Kind::Behind, message));
    }
    Ok(team)
}

/// The headers that are passed along, both ways.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let stays =
            caller::is_of_connection(name) || BETWEEN_BOXES.contains(name) || named.contains(name);
        if !stays {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
