//! The plan of an upgrade, as kept in the store, and the decision about its next stage.

use std::cmp::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::history::Finding;
use super::table::Limits;
use crate::coordination::rendezvous;
use crate::protocol::fleet::ServerVersion;
use crate::protocol::platform::Position;
use crate::protocol::platform::Revision;
use crate::protocol::upgrade::Order;
use crate::protocol::upgrade::Status;

/// A random number that identifies a plan.
pub type PlanId = u64;

/// Share of the exposure limit that the first stage uses. It leaves the rest for the short stages
/// with more traffic.
const CANARY_SHARE: f64 = 0.3;
/// Share of the second stage, as a multiple of the exposure limit.
const RAMP_SHARE: f64 = 1.2;
/// Part of the exposure slack that the first stage uses. The rest is for the stages after it.
const CANARY_SLACK: f64 = 0.5;
/// Maximum share of the first stage.
const MAX_CANARY_SHARE: f64 = 0.5;
/// Factor of the usual share below which a raised one isn't worth a write.
const MIN_RAISE: f64 = 1.5;
/// Time over which the rate of responses is measured for that.
const RATE_TIME: Duration = Duration::from_millis(1200);
/// Part of the order's time after which the first stage may end.
const CANARY_FRACTION: f64 = 0.5;
/// Part of the order's time after which the first stage ends even with few responses.
const EVIDENCE_FRACTION: f64 = 0.75;
/// Duration of the second stage, as a part of the order's time.
const RAMP_FRACTION: f64 = 0.08;
/// Minimum duration of the second stage: enough responses to judge must arrive and be reported.
const MIN_RAMP: Duration = Duration::from_secs(1);
/// Minimum duration of the last stage.
const MIN_FULL: Duration = Duration::from_millis(800);
/// Part of the order's time for which the last stage waits for a region that nothing is known of. It
/// may be partitioned and still send requests to the other versions, or be lost.
const REGION_FRACTION: f64 = 0.92;
/// Responses of the target version that the first stage waits for.
const MIN_RESPONSES: u64 = 40;
/// Servers of the target version that must be usable before it takes over, as a part of those of
/// the other versions.
const MIN_SERVER_FRACTION: f64 = 0.5;
/// Delay of each further judge before it takes over a decision of the first.
const JUDGE_DELAY: Duration = Duration::from_millis(800);
/// Minimum duration of a first stage that the plan returned to. The responses that show whether the
/// load has made the version slow arrive in it.
const MIN_RETURNED_CANARY: Duration = Duration::from_millis(1200);
/// Times that a plan returns to the first stage because the version is slow in the last one.
const MAX_RETURNS: u32 = 2;
/// Time that a return takes until the last box follows what it shows: 1 s until the version is
/// found slow, 2.4 s of observation and 1.5 s for a box that has lost the store.
const RETURN_TIME: Duration = Duration::from_millis(4900);
/// Maximum number of versions that a plan excludes.
const MAX_EXCLUDED: usize = 16;

/// Hash of a service, by which its judges are ranked.
pub fn service_key(service: &str) -> u64 {
    rendezvous::weight(service, "upgrade")
}

/// A stage of an upgrade.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A small share of the requests goes to the target version.
    Canary,
    /// A larger share goes there.
    Ramp,
    /// All requests go there; those in progress on other versions end.
    Full,
    /// The target version has taken over.
    Succeeded,
    /// The target version gets no requests any more.
    RolledBack,
}

impl Stage {
    /// Whether the upgrade is over.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Succeeded | Stage::RolledBack)
    }

    /// The status that is reported to the operator.
    pub fn status(self) -> Status {
        match self {
            Stage::Canary | Stage::Ramp | Stage::Full => Status::Running,
            Stage::Succeeded => Status::Succeeded,
            Stage::RolledBack => Status::RolledBack,
        }
    }

    /// The share of the requests that goes to the target version while both versions serve.
    pub fn share(self, exposure_limit: f64) -> f64 {
        match self {
            Stage::Canary => exposure_limit * CANARY_SHARE,
            Stage::Ramp => exposure_limit * RAMP_SHARE,
            Stage::Full | Stage::Succeeded => 1.0,
            Stage::RolledBack => 0.0,
        }
        .min(1.0)
    }
}

/// The plan of an upgrade.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Identifies the plan.
    pub id: PlanId,
    /// Number of writes of this plan; a plan with a higher one supersedes it.
    pub serial: u32,
    /// The stage.
    pub stage: Stage,
    /// The version that is to take over.
    pub target: ServerVersion,
    /// Era of the store in which the order was read.
    #[serde(default)]
    pub order_era: u64,
    /// Revision of the order.
    #[serde(default)]
    pub order_revision: Revision,
    /// Time from the order to the write of this stage, milliseconds.
    #[serde(default)]
    pub elapsed_ms: u64,
    /// Rank of the judge that wrote this. It decides first, since it reaches the store.
    #[serde(default)]
    pub writer: u32,
    /// Times that the plan returned to the first stage.
    #[serde(default)]
    pub returns: u32,
    /// Share of the first stage in millionths, if it differs from the usual one; otherwise 0.
    #[serde(default)]
    pub canary_millionths: u32,
    /// Versions that were replaced by this or an earlier plan.
    #[serde(default)]
    pub retired: Vec<ServerVersion>,
    /// Versions that were rolled back by this or an earlier plan.
    #[serde(default)]
    pub rejected: Vec<ServerVersion>,
}

impl Plan {
    /// Position in the store's history at which the order was read.
    pub fn order_position(&self) -> Position {
        Position { era: self.order_era, revision: self.order_revision }
    }

    /// Whether the plan carries out an order that was read at a position. A store that was restored
    /// from an older copy gives the same order another revision.
    pub fn is_for(&self, order: &Order, position: Position) -> bool {
        self.target == order.target
            && (self.order_era != position.era
                || self.order_revision == position.revision
                || !self.stage.is_final())
    }

    /// Whether this plan supersedes another one of the same service.
    pub fn supersedes(&self, other: &Plan) -> bool {
        if self.id == other.id {
            self.serial > other.serial
        } else {
            self.order_position() > other.order_position()
                || (self.order_position() == other.order_position() && self.id > other.id)
        }
    }
}

/// What a judge knows when it decides about the next stage.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The order; `None` if the operator has removed it.
    pub order: Option<(&'a Order, Position)>,
    /// The newest known plan.
    pub plan: Option<&'a Plan>,
    /// Whether the store has this plan. A store that was restored from an older copy may lack it.
    pub is_stored: bool,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the plan reached its stage.
    pub stage_age: Duration,
    /// Time for which servers of the target version have been usable; `None` if none is.
    pub target_age: Option<Duration>,
    /// Usable servers of the target version.
    pub target_servers: usize,
    /// Usable servers of the other versions.
    pub other_servers: usize,
    /// Versions of the other servers.
    pub other_versions: Vec<ServerVersion>,
    /// Versions of listed servers besides the target version, also if none of them is usable.
    pub listed_versions: Vec<ServerVersion>,
    /// Responses of the target version that were judged.
    pub responses: u64,
    /// What the responses say about the target version.
    pub finding: Finding,
    /// Whether the target version has responses, and there are none of the other versions to compare
    /// them with, because the boxes have started in the last stage.
    pub is_uncompared: bool,
    /// Limits on the requests to a version that turns out bad.
    pub limits: Limits,
    /// Responses of all versions.
    pub all_responses: u64,
    /// Whether all boxes have confirmed that the other versions have no requests in progress.
    pub is_drained: bool,
    /// Whether boxes of a region that nothing is known of have not confirmed that.
    pub is_region_unknown: bool,
    /// Rank of this judge; 0 decides first.
    pub rank: u32,
}

/// A decision about a plan: the plan to write, and the reason for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The plan to write.
    pub plan: Plan,
    /// The reason.
    pub reason: &'static str,
}

impl Situation<'_> {
    /// The plan to write now, if any. `new_id` identifies a plan that has to be created.
    pub fn decide(&self, new_id: PlanId) -> Option<Decision> {
        let plan = match (self.plan, self.order) {
            (Some(plan), None) if !plan.stage.is_final() => {
                return self.change(plan, Stage::RolledBack, "the order was withdrawn");
            }
            (Some(plan), None) => return self.restore(plan),
            (Some(plan), Some((order, position))) if plan.is_for(order, position) => plan,
            (earlier, Some((order, position))) => {
                return self.begin(order, position, earlier, new_id);
            }
            (None, None) => return None,
        };
        if plan.stage.is_final() {
            return self.restore(plan);
        }
        match self.finding {
            Finding::Defect(defect) => self.change(plan, Stage::RolledBack, defect),
            Finding::Slow(reason) => {
                let may_return = plan.returns < MAX_RETURNS
                    && self.limits.rollback.is_none_or(|limit| limit >= RETURN_TIME);
                let stage = if may_return { Stage::Canary } else { Stage::RolledBack };
                self.change(plan, stage, reason)
            }
            Finding::Sound | Finding::Open => self.advance(plan),
        }
    }

    /// Starts a plan for a new order.
    fn begin(
        &self,
        order: &Order,
        position: Position,
        earlier: Option<&Plan>,
        new_id: PlanId,
    ) -> Option<Decision> {
        if self.elapsed < self.delay() {
            return None;
        }
        let mut plan = Plan {
            id: new_id,
            serial: 1,
            stage: Stage::Canary,
            target: order.target.clone(),
            order_era: position.era,
            order_revision: position.revision,
            elapsed_ms: self.elapsed_ms(),
            writer: self.rank,
            returns: 0,
            canary_millionths: 0,
            retired: earlier.map(|plan| plan.retired.clone()).unwrap_or_default(),
            rejected: earlier.map(|plan| plan.rejected.clone()).unwrap_or_default(),
        };
        if let Some(earlier) = earlier.filter(|earlier| !earlier.stage.is_final()) {
            exclude(&mut plan.rejected, &earlier.target);
        }
        plan.retired.retain(|version| *version != order.target);
        plan.rejected.retain(|version| *version != order.target);
        let rejected = &plan.rejected;
        if self.listed_versions.iter().all(|version| rejected.contains(version)) {
            // They are in use, as there are no others, and serve until the target takes over.
            plan.rejected.retain(|version| !self.listed_versions.contains(version));
        }
        if order.duration.is_zero() {
            plan.stage = Stage::RolledBack;
            if !self.is_only_version() {
                exclude(&mut plan.rejected, &order.target);
            }
            return Some(Decision { plan, reason: "the order allows no time" });
        }
        Some(Decision { plan, reason: "ordered" })
    }

    fn advance(&self, plan: &Plan) -> Option<Decision> {
        let (order, _) = self.order?;
        let fraction = |fraction: f64| order.duration.mul_f64(fraction);
        let is_late = self.elapsed >= order.duration;
        if is_late && (plan.stage != Stage::Full || self.target_servers == 0) {
            return self.change(plan, Stage::RolledBack, "the version did not take over in time");
        }
        if plan.stage == Stage::Canary
            && plan.returns == 0
            && let Some(millionths) = self.adjusted_share(plan, order)
        {
            let reason = if millionths > 0 { "few requests" } else { "the slack is used" };
            let decision = self.change(plan, Stage::Canary, reason)?;
            let plan = Plan { canary_millionths: millionths, ..decision.plan };
            return Some(Decision { plan, reason });
        }
        if plan.stage == Stage::Full
            && self.is_uncompared
            && self.other_servers > 0
            && self.stage_age >= MIN_FULL + self.delay()
        {
            return self.change(plan, Stage::Ramp, "no other version to compare with");
        }
        let due = match plan.stage {
            Stage::Canary if plan.returns > 0 => {
                self.finding == Finding::Sound
                    && self.has_enough_servers()
                    && self.stage_age >= MIN_RETURNED_CANARY + self.delay()
            }
            Stage::Canary => {
                let is_known =
                    self.responses >= MIN_RESPONSES || self.elapsed >= fraction(EVIDENCE_FRACTION);
                is_known
                    && self.elapsed >= fraction(CANARY_FRACTION) + self.delay()
                    && self.target_age.is_some_and(|age| age >= MIN_RAMP)
            }
            Stage::Ramp => {
                self.has_enough_servers()
                    && self.stage_age >= fraction(RAMP_FRACTION).max(MIN_RAMP) + self.delay()
            }
            Stage::Full => {
                self.has_enough_servers()
                    && self.is_drained
                    && (!self.is_region_unknown || self.elapsed >= fraction(REGION_FRACTION))
                    && self.stage_age >= MIN_FULL + self.delay()
            }
            Stage::Succeeded | Stage::RolledBack => false,
        };
        if !due {
            return None;
        }
        match plan.stage {
            Stage::Canary if plan.returns > 0 => {
                self.change(plan, Stage::Full, "the load slowed all versions")
            }
            Stage::Canary => self.change(plan, Stage::Ramp, "the canary responds well"),
            Stage::Ramp => self.change(plan, Stage::Full, "the version responds well"),
            _ => self.change(plan, Stage::Succeeded, "the other versions are idle"),
        }
    }

    /// The share of the first stage in millionths, if it has to change. A small fleet learns more
    /// within the slack. The share is raised once, and returns to the usual one, 0, as soon as the
    /// part of the slack is used, because a burst may use it up.
    fn adjusted_share(&self, plan: &Plan, order: &Order) -> Option<u32> {
        let slack = self.limits.exposure_slack? * CANARY_SLACK;
        let usual = Stage::Canary.share(self.limits.exposure_share);
        if plan.canary_millionths > 0 {
            let allowed = slack + usual * self.all_responses as f64;
            return (self.responses as f64 >= allowed).then_some(0);
        }
        let has_started = self.target_age.is_some_and(|age| age >= MIN_FULL);
        let left = order.duration.mul_f64(CANARY_FRACTION).saturating_sub(self.elapsed);
        if plan.serial > 1 || !has_started || self.stage_age < RATE_TIME + self.delay() {
            return None;
        }
        let rate = self.all_responses as f64 / self.stage_age.as_secs_f64();
        let raised = usual + slack / (rate * left.as_secs_f64()).max(1.0);
        let is_worth_a_write = left >= MIN_RAMP && raised >= usual * MIN_RAISE;
        is_worth_a_write.then(|| (raised.min(MAX_CANARY_SHARE) * 1e6) as u32)
    }

    /// Whether the target version can take over. If its servers are gone, the others serve again.
    fn has_enough_servers(&self) -> bool {
        let needed = self.other_servers as f64 * MIN_SERVER_FRACTION;
        self.target_servers > 0 && self.target_servers as f64 >= needed
    }

    /// Whether the target version is in use because the service has no other one.
    fn is_only_version(&self) -> bool {
        self.target_servers > 0 && self.listed_versions.is_empty()
    }

    fn change(&self, plan: &Plan, stage: Stage, reason: &'static str) -> Option<Decision> {
        let returns = plan.returns + u32::from(plan.stage == Stage::Full && stage == Stage::Canary);
        let mut plan = Plan {
            serial: plan.serial + 1,
            stage,
            elapsed_ms: self.elapsed_ms(),
            writer: self.rank,
            returns,
            ..plan.clone()
        };
        if let Some((_, position)) = self.order {
            plan.order_era = position.era;
            plan.order_revision = position.revision;
        }
        match stage {
            Stage::Full => {
                self.other_versions.iter().for_each(|version| exclude(&mut plan.retired, version));
            }
            Stage::RolledBack => {
                let Plan { retired, rejected, target, .. } = &mut plan;
                retired.retain(|version| !self.other_versions.contains(version));
                let is_bad = matches!(self.finding, Finding::Defect(_) | Finding::Slow(_));
                if is_bad || !self.is_only_version() {
                    exclude(rejected, target);
                }
            }
            Stage::Canary | Stage::Ramp => {
                plan.retired.retain(|version| !self.other_versions.contains(version));
            }
            Stage::Succeeded => {}
        }
        Some(Decision { plan, reason })
    }

    /// Writes a plan again that a restored store has lost, or whose order it has read anew.
    fn restore(&self, plan: &Plan) -> Option<Decision> {
        let position = self.order.map_or(plan.order_position(), |(_, position)| position);
        if (self.is_stored && plan.order_position() == position) || self.stage_age < self.delay() {
            return None;
        }
        let plan = Plan {
            serial: plan.serial + 1,
            order_era: position.era,
            order_revision: position.revision,
            ..plan.clone()
        };
        Some(Decision { plan, reason: "the store has an older one" })
    }

    fn delay(&self) -> Duration {
        // The judge that wrote last may be the only one that the store does not refuse.
        let writer = self.plan.map_or(0, |plan| plan.writer);
        let turn = match self.rank.cmp(&writer) {
            Ordering::Less => self.rank + 1,
            Ordering::Equal => 0,
            Ordering::Greater => self.rank,
        };
        JUDGE_DELAY * turn
    }

    fn elapsed_ms(&self) -> u64 {
        self.elapsed.as_millis() as u64
    }
}

fn exclude(versions: &mut Vec<ServerVersion>, version: &ServerVersion) {
    if !versions.contains(version) {
        versions.push(version.clone());
    }
    let surplus = versions.len().saturating_sub(MAX_EXCLUDED);
    versions.drain(..surplus);
}
