//! Carries out upgrades: gives each request a role, counts the responses, sends the counts to the
//! judges, and writes the plan to the store if this box is a judge.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use prost::Message;
use rand::Rng;
use tokio::net::UdpSocket;

use super::box_reports::REPLY_NUMBER;
use super::job::Job;
use super::shared::Shared;
use super::shared::lock;
use super::store_keys::UPGRADES;
use crate::coordination::candidate::Outcome;
use crate::coordination::loads::BoxReport;
use crate::coordination::placement::Place;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::upgrade;
use crate::coordination::upgrade::Plan;
use crate::coordination::upgrade::PlanId;
use crate::coordination::upgrade::Role;
use crate::coordination::upgrade::evidence::Sample;
use crate::coordination::upgrade::evidence::SampleResult;
use crate::coordination::upgrade::table::JudgedDecision;
use crate::coordination::upgrade::table::ServerCounts;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::NO_LEASE;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::PromptSegment;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// Interval of a judge's decisions.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the checks whether there is an order.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum interval of the reports to the judges. They are sent after periodic reports to other
/// boxes, so this is less than the interval of those.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval of reports of bad responses. They are not delayed until the next periodic report,
/// because a bad version may get all requests until then.
pub const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of a judge's decisions when it receives further bad responses.
const MIN_JUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// Boxes for each millisecond of that interval, which grows with a large fleet because the counts of
/// all boxes are added for each decision.
const BOXES_PER_MILLISECOND: usize = 5;
/// Reports that one judge receives in a second, at most, from a large fleet.
const JUDGE_REPORT_RATE: f64 = 1000.0;

/// Draws the role of the servers that a request is to be sent to. Repeated sends avoid a version
/// that is not proven yet.
pub fn draw_role<A: Adapter>(shared: &Shared<A>, job: &Job, is_first_send: bool) -> Role {
    let snapshot = shared.snapshot.load();
    let Some(versions) = snapshot.versions.get(&job.service) else { return Role::Serving };
    let point = rapidhash::v3::rapidhash_v3(job.metadata.id.as_bytes());
    let point = rendezvous::mix(point, upgrade::plan::service_key(&job.service));
    let is_drawn = (point as f64 / u64::MAX as f64) < versions.canary_share;
    if is_first_send && is_drawn { Role::Canary } else { Role::Serving }
}

/// A send whose response is counted for an upgrade.
#[derive(Clone, Copy, Debug)]
pub struct TrackedSend {
    plan: PlanId,
    route: u64,
    prompt_tokens: u32,
    is_target: bool,
    /// Whether the time to the first event depends mostly on what the server has cached.
    is_cache_bound: bool,
    first_byte_at: Option<Instant>,
}

impl TrackedSend {
    /// Tracks a send if the service of the request is being upgraded.
    pub fn new<A: Adapter>(shared: &Shared<A>, job: &Job, place: &Place) -> Option<TrackedSend> {
        let snapshot = shared.snapshot.load();
        let (plan, target) = snapshot.versions.get(&job.service)?.plan.as_ref()?;
        let parts = &job.metadata.segments;
        let tokens = |parts: &[PromptSegment]| {
            parts.iter().fold(0, |sum: u32, part| sum.saturating_add(part.tokens))
        };
        let own = parts.last().map_or(0, |part| part.tokens);
        let prompt_tokens = tokens(parts);
        Some(TrackedSend {
            plan: *plan,
            route: rendezvous::weight(&job.route.name, &job.route.prefix),
            prompt_tokens,
            is_target: place.registration.version == *target,
            is_cache_bound: prompt_tokens - own > own,
            first_byte_at: None,
        })
    }

    /// Records that the response has begun.
    pub fn record_first_byte(&mut self, now: Instant) {
        self.first_byte_at.get_or_insert(now);
    }

    /// Counts the result of the send.
    pub fn finish<A>(self, shared: &Shared<A>, place: &Place, outcome: Outcome, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        let result = match outcome {
            Outcome::Failed => SampleResult::Failed,
            Outcome::TimedOut => SampleResult::TimedOut(since(place.reserved_at)),
            Outcome::Answered => {
                let first_byte_at = self.first_byte_at.unwrap_or(now);
                let first = first_byte_at.saturating_duration_since(place.reserved_at);
                let first = Some(first).filter(|_| !self.is_cache_bound);
                SampleResult::Answered { first, rest: self.first_byte_at.map(since) }
            }
            // The server did not respond, so this tells nothing about its version.
            Outcome::Shed
            | Outcome::Unreachable
            | Outcome::Lost
            | Outcome::Replaced
            | Outcome::Abandoned => return,
        };
        let sample = Sample {
            route: self.route,
            prompt_tokens: self.prompt_tokens,
            server: place.incarnation,
            is_target: self.is_target,
            is_cold: place.cold,
            result,
        };
        if lock(&shared.upgrades).record_sample(self.plan, &sample) {
            shared.upgrade_report.notify_one();
        }
    }
}

/// Sends this box's counts to the judges. Returns the time until the next reports are due.
pub fn send_reports<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket, number: u64) -> Duration {
    let snapshot = shared.snapshot.load();
    let interval = Duration::from_secs_f64(snapshot.fleet_size as f64 / JUDGE_REPORT_RATE);
    let interval = interval.max(MIN_REPORT_INTERVAL);
    if lock(&shared.upgrades).running_count() == 0 {
        return interval;
    }
    let draining = draining_requests(shared);
    let reports = lock(&shared.upgrades).reports(|service| draining.of(service));
    for (service, report) in reports {
        let message = BoxReport {
            number: REPLY_NUMBER,
            sender: presence::box_hash(&shared.settings.name),
            incarnation: shared.incarnation,
            region: shared.settings.region.clone(),
            upgrade: Some(report),
            upgrade_number: number,
            ..BoxReport::default()
        };
        let datagram = message.encode_to_vec();
        for judge in upgrade::judges(snapshot.boxes.iter(), &service) {
            // A report that can't be sent is treated as lost; the next one has the same totals.
            if let Err(error) = socket.try_send_to(&datagram, judge.peers) {
                log::debug!("event=report_not_sent to={} error=\"{error}\"", judge.peers);
            }
        }
    }
    interval
}

/// Applies what another box reports about upgrades.
pub fn receive<A: Adapter>(shared: &Shared<A>, report: &BoxReport, now: Instant) {
    if report.upgrade.is_none() && report.halted.is_empty() && report.held.is_empty() {
        return;
    }
    let mut upgrades = lock(&shared.upgrades);
    if let Some(counts) = &report.upgrade {
        let number = (report.incarnation, report.upgrade_number);
        if upgrades.receive(report.sender, number, counts, now) {
            shared.upgrade_evidence.notify_one();
        }
    }
    for hold in &report.held {
        if upgrades.hold(*hold) {
            log::warn!("event=upgrade_held plan={:016x} by=box", hold.plan);
            shared.peer_ahead.notify_one();
        }
    }
    for plan in &report.halted {
        if upgrades.halt(*plan) {
            log::warn!("event=upgrade_halted plan={plan:016x} by=box");
            shared.peer_ahead.notify_one();
        }
    }
}

/// Requests of this box in progress on servers of retired versions.
struct DrainingRequests(BTreeMap<ServiceId, u32>);

impl DrainingRequests {
    fn of(&self, service: &str) -> u32 {
        self.0.get(service).copied().unwrap_or(0)
    }
}

fn draining_requests<A: Adapter>(shared: &Shared<A>) -> DrainingRequests {
    let services = lock(&shared.services);
    let in_flight = services.iter().map(|(name, service)| {
        (name.clone(), service.placement.in_flight_with_role(Role::Retired))
    });
    DrainingRequests(in_flight.collect())
}

/// Judges upgrades for as long as the box runs, while it is one of the judges.
pub async fn judge_upgrades<A: Adapter>(
    shared: Arc<Shared<A>>,
    store: store::Client<A>,
    own_record: BoxRecord,
) {
    loop {
        let is_idle = lock(&shared.upgrades).is_empty();
        let fleet_size = shared.snapshot.load().fleet_size;
        let minimum = Duration::from_millis((fleet_size / BOXES_PER_MILLISECOND) as u64);
        let minimum = minimum.clamp(MIN_JUDGE_INTERVAL, JUDGE_INTERVAL);
        timer::sleep(minimum).await;
        let interval = if is_idle { IDLE_INTERVAL } else { JUDGE_INTERVAL };
        tokio::select! {
            () = timer::sleep(interval.saturating_sub(minimum)) => {}
            () = shared.upgrade_evidence.notified() => {}
        }
        let services = lock(&shared.upgrades).services();
        for service in services {
            let Some(judged) = decide(&shared, &own_record, &service) else { continue };
            if lock(&shared.upgrades).stop_before_write(&judged) {
                shared.global_update.notify_one();
                shared.peer_ahead.notify_one();
            }
            write_plan(&shared, &store, &judged).await;
        }
    }
}

fn decide<A: Adapter>(
    shared: &Shared<A>,
    own_record: &BoxRecord,
    service: &str,
) -> Option<JudgedDecision> {
    let snapshot = shared.snapshot.load();
    // An order for a service that no configuration names moves nothing.
    snapshot.routing.as_ref()?.services.get(service)?;
    let all_boxes = snapshot.boxes.iter().chain([own_record]);
    let judges = upgrade::judges(all_boxes, service);
    let rank = judges.iter().position(|judge| judge.name == own_record.name)?;
    let now = clock::now();
    let (waited_for, cut_off) = {
        let presence = lock(&shared.presence);
        let is_heard = |other: &BoxRecord| presence.has_recent_datagram(&other.name, now);
        upgrade::boxes_to_confirm(&snapshot.boxes, &snapshot.expired_boxes, own_record, is_heard)
    };
    let draining = draining_requests(shared).of(service);
    let none = ServerCounts::default();
    let servers = snapshot.upgrading_servers.get(service).unwrap_or(&none);
    let context = (rand::rng().random(), now);
    lock(&shared.upgrades).decide(
        service,
        rank as u32,
        (&waited_for, &cut_off),
        draining,
        servers,
        context,
    )
}

/// Writes a plan and its status, unless another judge has changed the plan meanwhile. If the
/// response is lost, the plan is read from the store like any other change.
async fn write_plan<A: Adapter>(
    shared: &Shared<A>,
    store: &store::Client<A>,
    judged: &JudgedDecision,
) {
    let JudgedDecision { service, decision, responses, bad_responses } = judged;
    let Plan { stage, target, serial, .. } = &decision.plan;
    let plan_key = plan_key(service);
    let status = shared.adapter.upgrade_status(service, target, stage.status());
    let expected = {
        let replica = lock(&shared.replica);
        let revision = |key: &str| -> Revision { replica.revision(key).unwrap_or(0) };
        vec![(plan_key.clone(), revision(&plan_key)), (status.0.clone(), revision(&status.0))]
    };
    // Serializing numbers and texts can't fail.
    let plan = Bytes::from(serde_json::to_vec(&decision.plan).unwrap_or_default());
    let write = |(key, value)| KeyWrite { key, value, lease: NO_LEASE };
    let writes = vec![write((plan_key, plan)), write(status)];
    let result = store.call(&Operation::PutIf { expected, writes }).await;
    match result {
        Ok(_) => log::info!(
            "event=upgrade service={service} version={target} stage={stage:?} serial={serial} responses={responses} bad_responses={bad_responses} reason=\"{}\"",
            decision.reason
        ),
        Err(PlatformError::Conflict(_)) => {
            log::info!(
                "event=upgrade_superseded service={service} stage={stage:?} serial={serial}"
            );
        }
        Err(error) => log::warn!(
            "event=upgrade_not_written service={service} stage={stage:?} serial={serial} error=\"{error}\""
        ),
    }
}

/// The store key of a service's plan.
fn plan_key(service: &str) -> String {
    format!("{UPGRADES}{service}")
}
