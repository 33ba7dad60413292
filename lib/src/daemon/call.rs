//! A request that has been checked: what it is, where it may run, until when.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;
use rapidhash::v3::rapidhash_v3;
use sha2::Digest;
use sha2::Sha256;

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

/// Bytes of a body that stand for its prefix when backend servers are chosen.
const PREFIX_BYTES: usize = 1024;
/// Most boxes that a request may visit before the one that runs it.
pub const MAX_VISITED: usize = 2;

/// Why a request is on this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A caller sent it here.
    Caller,
    /// This box owns its key.
    Owner,
    /// Another region lends or needs this one.
    Region,
}

/// A request as it came in.
pub struct Incoming {
    /// Id for answers and logs.
    pub id: String,
    /// Why it is here.
    pub purpose: Purpose,
    /// Boxes that had it before.
    pub visited: Vec<BoxId>,
    /// Team.
    pub team: TeamId,
    /// Method.
    pub method: Method,
    /// Path and query as the caller gave them.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it arrived at this box.
    pub arrived: Instant,
}

/// A checked request.
pub struct Call {
    /// What came in.
    pub incoming: Incoming,
    /// Control state that it is decided by, to its end.
    pub snapshot: Arc<Snapshot>,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Regions where it may run.
    pub allowed: BTreeSet<RegionId>,
    /// Priority.
    pub priority: Priority,
    /// When its answer is of no use any more.
    pub deadline: Instant,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Path and query for the backend server.
    pub backend_path: String,
    /// Key under which it runs at most once.
    pub key: Option<String>,
    /// It may not be sent after this instant: its claim may be over.
    pub send_before: Option<Instant>,
    sends: AtomicU32,
    exchanges: AtomicU32,
}

struct Target {
    pool: PoolId,
    residency: Option<String>,
    repeatable: bool,
    stream: bool,
    backend_path: String,
}

impl Call {
    /// Checks a request against the control state of this moment.
    pub fn classify(
        incoming: Incoming,
        endpoint: &Endpoint,
        snapshot: Arc<Snapshot>,
    ) -> Result<Call, Failure> {
        let configuration = Arc::clone(&snapshot.configuration);
        let wishes = RequestOptions::parse(&incoming.headers, &configuration.limits)?;
        let team = configuration.teams.get(&incoming.team).ok_or_else(|| {
            Failure::new(ErrorKind::Unauthorized, "the team is no longer declared")
        })?;
        let target = match endpoint {
            Endpoint::Completion => model_target(&configuration, team, &incoming)?,
            Endpoint::Service { name, path } => {
                service_target(&configuration, team, &incoming, name, path)?
            }
            _ => return Err(Failure::new(ErrorKind::NotFound, "nothing to run")),
        };
        if wishes.priority.is_some_and(|priority| priority > team.max_priority) {
            let message = format!("the team may ask for {} at most", team.max_priority.as_str());
            return Err(Failure::new(ErrorKind::Forbidden, message));
        }
        let allowed = configuration.allowed_regions(team, target.residency.as_ref());
        Ok(Call {
            allowed,
            pool: target.pool,
            priority: wishes.priority.unwrap_or(Priority::Normal.min(team.max_priority)),
            deadline: incoming.arrived + wishes.timeout,
            repeatable: target.repeatable && !wishes.not_repeatable,
            stream: target.stream,
            backend_path: target.backend_path,
            key: wishes.key,
            send_before: None,
            sends: AtomicU32::new(0),
            exchanges: AtomicU32::new(0),
            snapshot,
            incoming,
        })
    }

    /// Other regions that may run it, from here.
    pub fn elsewhere(&self) -> Vec<RegionId> {
        if self.incoming.purpose == Purpose::Region {
            return Vec::new();
        }
        let own = &self.snapshot.own.region;
        self.allowed.iter().filter(|region| *region != own).cloned().collect()
    }

    /// Hash of the beginning of the prompt; `None` for calls of plain services.
    pub fn prefix(&self) -> Option<u64> {
        let body = &self.incoming.body;
        let is_model = !self.snapshot.configuration.services.contains_key(&self.pool);
        is_model.then(|| rapidhash_v3(&body[..body.len().min(PREFIX_BYTES)]))
    }

    /// Hash of what was asked.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        hash.update(self.incoming.method.as_str());
        hash.update([0]);
        hash.update(&self.incoming.path);
        hash.update([0]);
        hash.update(&self.incoming.body);
        hash.finalize().into()
    }

    /// The last step before the request is written somewhere. Fails where the
    /// time in which it may be sent is over.
    pub fn about_to_send(&self, now: Instant) -> Result<(), Failure> {
        let before = self.sends.fetch_add(1, Ordering::AcqRel);
        invariant::check(Invariant::AtMostOnce, self.repeatable || before == 0, || {
            format!("request={} sends={}", self.incoming.id, before + 1)
        });
        if now >= self.deadline {
            self.not_sent();
            return Err(Failure::new(
                ErrorKind::WouldBeLate,
                "the deadline passed before dispatch",
            ));
        }
        if self.send_before.is_some_and(|before| now >= before) {
            self.not_sent();
            let message = "the claim of the key may be over; the box was held up";
            return Err(Failure::new(ErrorKind::StoreUnavailable, message));
        }
        Ok(())
    }

    /// Marks an exchange as under way until the guard is dropped.
    pub fn exchange(&self) -> Exchange<'_> {
        let before = self.exchanges.fetch_add(1, Ordering::AcqRel);
        invariant::check(Invariant::OneExchange, before == 0, || {
            format!("request={} exchanges={}", self.incoming.id, before + 1)
        });
        Exchange { call: self }
    }

    /// Says how the request failed. That it was not run must be true.
    pub fn failed(&self, failure: Failure) -> Failure {
        let not_run = failure.executed() == Executed::No;
        invariant::check(Invariant::RanNoIsTrue, !(not_run && self.maybe_sent()), || {
            format!("request={} failure=\"{failure}\"", self.incoming.id)
        });
        failure
    }

    /// The attempt wrote nothing.
    pub fn not_sent(&self) {
        self.sends.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any attempt may have written something.
    pub fn maybe_sent(&self) -> bool {
        self.sends.load(Ordering::Acquire) > 0
    }
}

/// An exchange under way.
pub struct Exchange<'a> {
    call: &'a Call,
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        self.call.exchanges.fetch_sub(1, Ordering::AcqRel);
    }
}

fn model_target(
    configuration: &Configuration,
    team: &Team,
    incoming: &Incoming,
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

fn service_target(
    configuration: &Configuration,
    team: &Team,
    incoming: &Incoming,
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

/// Headers that belong to one connection, or to the gateway.
pub fn is_passed_on(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with("copperweir-") || *name == caller::IDEMPOTENCY_KEY_HEADER;
    let end_to_end = [header::AUTHORIZATION, header::HOST];
    !own && !caller::is_hop_by_hop(name) && !end_to_end.contains(name)
}
