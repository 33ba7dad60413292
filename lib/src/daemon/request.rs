//! A validated request: its target, the regions that may execute it and its
//! deadline.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use http::header;
use rapidhash::v3::rapidhash_v3;
use sha2::Digest;
use sha2::Sha256;

use crate::coordination::fingerprint;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::ledger::Fingerprint;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::BoxId;
use crate::protocol::PoolId;
use crate::protocol::RegionId;
use crate::protocol::TeamId;
use crate::protocol::caller;
use crate::protocol::caller::Completion;
use crate::protocol::caller::Endpoint;
use crate::protocol::caller::RequestOptions;
use crate::protocol::config::Configuration;
use crate::protocol::config::Priority;
use crate::protocol::config::Team;
use crate::state::snapshot::Snapshot;

/// Number of leading body bytes that are hashed as the prompt prefix when a
/// backend server is chosen.
const PROMPT_PREFIX_BYTES: usize = 1024;
/// Maximum number of boxes that a request may pass through before the box that
/// executes it.
pub const MAX_VISITED_BOXES: usize = 2;

/// How a request reached this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A caller sent it to this box.
    Caller,
    /// Another box forwarded it because this box owns its idempotency key.
    Owner,
    /// A box of another region forwarded it to be executed in this region.
    Region,
}

/// A request as received.
pub struct IncomingRequest {
    /// Request id for responses and logs.
    pub id: String,
    /// How the request reached this box.
    pub purpose: Purpose,
    /// Boxes that the request passed through before.
    pub visited: Vec<BoxId>,
    /// Team of the caller.
    pub team: TeamId,
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub path: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the request arrived at this box.
    pub arrived_at: Instant,
}

/// A request that passed validation.
pub struct ValidatedRequest {
    /// The request as received.
    pub incoming: IncomingRequest,
    /// Control state that all decisions about this request are based on.
    pub snapshot: Arc<Snapshot>,
    /// Pool that executes the request.
    pub pool: PoolId,
    /// Regions that may execute the request.
    pub allowed_regions: BTreeSet<RegionId>,
    /// Priority in the queue.
    pub priority: Priority,
    /// Time after which the response is of no use to the caller.
    pub deadline: Instant,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// Content and caller, which identify the request when it is sent again.
    pub identity: fingerprint::Fingerprint,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Path and query for the backend server.
    pub backend_path: String,
    /// Idempotency key, under which the request is executed at most once.
    pub key: Option<String>,
    /// The request may not be sent after this time, because its claim in the
    /// store may have expired.
    pub send_deadline: Option<Instant>,
    send_count: AtomicU32,
    exchange_count: AtomicU32,
}

/// What the path and body of a request refer to, according to the configuration.
struct Target {
    pool: PoolId,
    residency: Option<String>,
    repeatable: bool,
    stream: bool,
    backend_path: String,
}

impl ValidatedRequest {
    /// Validates a request against a snapshot of the control state.
    pub fn validate(
        incoming: IncomingRequest,
        endpoint: &Endpoint,
        snapshot: Arc<Snapshot>,
    ) -> Result<ValidatedRequest, Failure> {
        let configuration = Arc::clone(&snapshot.configuration);
        let options = RequestOptions::parse(&incoming.headers, &configuration.limits)?;
        let team = configuration.teams.get(&incoming.team).ok_or_else(|| {
            Failure::new(ErrorKind::Unauthorized, "the team is no longer declared")
        })?;
        let target = match endpoint {
            Endpoint::Completion => resolve_model(&configuration, team, &incoming)?,
            Endpoint::Service { name, path } => {
                resolve_service(&configuration, team, &incoming, name, path)?
            }
            _ => return Err(Failure::new(ErrorKind::NotFound, "nothing to run")),
        };
        if options.priority.is_some_and(|priority| priority > team.max_priority) {
            let message = format!("the team may ask for {} at most", team.max_priority.as_str());
            return Err(Failure::new(ErrorKind::Forbidden, message));
        }
        let allowed_regions = configuration.allowed_regions(team, target.residency.as_ref());
        let identity = identity(&incoming, &target.pool)?;
        Ok(ValidatedRequest {
            allowed_regions,
            pool: target.pool,
            priority: options.priority.unwrap_or(Priority::Normal.min(team.max_priority)),
            deadline: incoming.arrived_at + options.timeout,
            repeatable: target.repeatable && !options.not_repeatable,
            identity,
            stream: target.stream,
            backend_path: target.backend_path,
            key: options.key,
            send_deadline: None,
            send_count: AtomicU32::new(0),
            exchange_count: AtomicU32::new(0),
            snapshot,
            incoming,
        })
    }

    /// Regions other than this box's own to which this box may forward the
    /// request.
    pub fn other_regions(&self) -> Vec<RegionId> {
        if self.incoming.purpose == Purpose::Region {
            return Vec::new();
        }
        let own = &self.snapshot.own.region;
        self.allowed_regions.iter().filter(|region| *region != own).cloned().collect()
    }

    /// Hash of the start of the prompt; `None` for requests to plain services.
    pub fn prompt_prefix_hash(&self) -> Option<u64> {
        let body = &self.incoming.body;
        let is_model = !self.snapshot.configuration.services.contains_key(&self.pool);
        is_model.then(|| rapidhash_v3(&body[..body.len().min(PROMPT_PREFIX_BYTES)]))
    }

    /// Hash of the method, path and body, which detects reuse of a key with a
    /// different request.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update(self.incoming.method.as_str());
        hasher.update([0]);
        hasher.update(&self.incoming.path);
        hasher.update([0]);
        hasher.update(&self.incoming.body);
        hasher.finalize().into()
    }

    /// Records that the request is about to be written to a connection. Must be
    /// called immediately before the write. Fails if the deadline or the send
    /// deadline has passed.
    pub fn record_send(&self, now: Instant) -> Result<(), Failure> {
        let previous_sends = self.send_count.fetch_add(1, Ordering::AcqRel);
        invariant::check(Invariant::AtMostOnce, self.repeatable || previous_sends == 0, || {
            format!("request={} sends={}", self.incoming.id, previous_sends + 1)
        });
        if now >= self.deadline {
            self.undo_send();
            return Err(Failure::new(
                ErrorKind::WouldBeLate,
                "the deadline passed before dispatch",
            ));
        }
        if self.send_deadline.is_some_and(|send_deadline| now >= send_deadline) {
            self.undo_send();
            let message = "the claim of the key may be over; the box was held up";
            return Err(Failure::new(ErrorKind::StoreUnavailable, message));
        }
        Ok(())
    }

    /// Marks an exchange as in progress until the returned guard is dropped. An
    /// exchange is one attempt on a backend server or one forwarding to another
    /// region; a request has at most one at a time.
    pub fn begin_exchange(&self) -> ExchangeGuard<'_> {
        let previous_exchanges = self.exchange_count.fetch_add(1, Ordering::AcqRel);
        invariant::check(Invariant::OneExchange, previous_exchanges == 0, || {
            format!("request={} exchanges={}", self.incoming.id, previous_exchanges + 1)
        });
        ExchangeGuard { request: self }
    }

    /// Checks a failure before it is reported: it may state that the request
    /// was not executed only if nothing was sent.
    pub fn check_failure(&self, failure: Failure) -> Failure {
        let claims_not_run = failure.executed() == Executed::No;
        invariant::check(
            Invariant::RanNoIsTrue,
            !(claims_not_run && self.may_have_been_sent()),
            || format!("request={} failure=\"{failure}\"", self.incoming.id),
        );
        failure
    }

    /// Undoes one [`record_send`](Self::record_send) of a request of which nothing
    /// was written or that the receiver did not execute.
    pub fn undo_send(&self) {
        self.send_count.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any attempt may have written part of the request. Attempts that
    /// were undone do not count.
    pub fn may_have_been_sent(&self) -> bool {
        self.send_count.load(Ordering::Acquire) > 0
    }
}

/// Marks an exchange as in progress until dropped.
pub struct ExchangeGuard<'a> {
    request: &'a ValidatedRequest,
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.request.exchange_count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Identifies a request by its content and its team.
fn identity(
    incoming: &IncomingRequest,
    pool: &PoolId,
) -> Result<fingerprint::Fingerprint, Failure> {
    let malformed_path = |_| Failure::new(ErrorKind::BadRequest, "the path cannot be passed on");
    let uri: Uri = incoming.path.parse().map_err(malformed_path)?;
    Ok(fingerprint::Fingerprint {
        content: fingerprint::content_hash(&incoming.method, pool, &uri, &incoming.body),
        caller: rapidhash_v3(incoming.team.as_bytes()),
    })
}

fn resolve_model(
    configuration: &Configuration,
    team: &Team,
    incoming: &IncomingRequest,
) -> Result<Target, Failure> {
    let completion = Completion::parse(&incoming.path, &incoming.body)?;
    let name = completion.model;
    let model = configuration
        .models
        .get(&name)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownModel, format!("no model \"{name}\"")))?;
    if !team.models.contains("*") && !team.models.contains(&name) {
        let message = format!("the team may not use model \"{name}\"");
        return Err(Failure::new(ErrorKind::Forbidden, message));
    }
    Ok(Target {
        pool: model.pool.clone(),
        residency: model.residency.clone(),
        repeatable: true,
        stream: completion.stream,
        backend_path: incoming.path.clone(),
    })
}

fn resolve_service(
    configuration: &Configuration,
    team: &Team,
    incoming: &IncomingRequest,
    name: &str,
    path: &str,
) -> Result<Target, Failure> {
    let service = configuration
        .services
        .get(name)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownService, format!("no service \"{name}\"")))?;
    if !team.services.contains("*") && !team.services.contains(name) {
        let message = format!("the team may not use service \"{name}\"");
        return Err(Failure::new(ErrorKind::Forbidden, message));
    }
    Ok(Target {
        pool: name.to_owned(),
        residency: service.residency.clone(),
        repeatable: service.repeatable(incoming.method.as_str(), path),
        stream: false,
        backend_path: path.to_owned(),
    })
}

/// Whether a header is forwarded. Headers that concern a single connection or
/// the gateway itself are not.
pub fn is_forwarded_header(name: &HeaderName) -> bool {
    let is_gateway_header =
        name.as_str().starts_with("copperweir-") || *name == caller::IDEMPOTENCY_KEY_HEADER;
    let replaced = [header::AUTHORIZATION, header::HOST];
    !is_gateway_header && !caller::is_hop_by_hop(name) && !replaced.contains(name)
}
