//! The upgrades that a box knows: orders and plans from the store, its own counts of responses, and
//! those of other boxes if it is a judge.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Role;
use super::Versions;
use super::confirmations::Confirmations;
use super::evidence::Evidence;
use super::evidence::Sample;
use super::history::Finding;
use super::history::History;
use super::plan::Decision;
use super::plan::Plan;
use super::plan::PlanId;
use super::plan::Situation;
use super::plan::Stage;
use super::service::BoxEvidence;
use super::service::Upgrade;
use super::wire::UpgradeHold;
use super::wire::UpgradeReport;
use crate::protocol::Incarnation;
use crate::protocol::fleet::ServerVersion;
use crate::protocol::platform::Position;
use crate::protocol::routing::ServiceId;
use crate::protocol::upgrade::Order;

/// Age at which the counts of a box are dropped.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// The usable servers of a service by version, as one box sees them.
#[derive(Clone, Debug, Default)]
pub struct ServerCounts {
    /// Number of usable servers of each version; 0 if none of its listed servers is usable.
    pub by_version: BTreeMap<ServerVersion, usize>,
}

/// Limits on the requests to a version that turns out bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Share of a service's requests.
    pub exposure_share: f64,
    /// Requests in addition; `None` if none is set.
    pub exposure_slack: Option<f64>,
    /// Time after bad responses from which on it may get none; `None` if none is set.
    pub rollback: Option<Duration>,
}

/// Upgrades by service.
#[derive(Clone, Debug, Default)]
pub struct Upgrades {
    services: BTreeMap<ServiceId, Upgrade>,
    limits: Limits,
    /// Whether the roles of versions have changed since they were last taken.
    is_changed: bool,
}

/// A plan that is in progress, as one box sees it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The service.
    pub service: ServiceId,
    /// The stage.
    pub stage: Stage,
    /// Share of the requests that this box sends to the target version.
    pub share: f64,
    /// Responses of the target version to this box.
    pub responses: u64,
    /// Number of these responses that this box takes for bad.
    pub bad_responses: u32,
    /// Whether a judge stopped the requests to the target version, at least in part.
    pub is_stopped: bool,
}

/// The decision of a judge, and what it rests on.
#[derive(Clone, Debug)]
pub struct JudgedDecision {
    /// The service.
    pub service: ServiceId,
    /// The decision.
    pub decision: Decision,
    /// Responses of the target version that were judged.
    pub responses: u64,
    /// Bad responses of it, as the boxes that sent them see it.
    pub bad_responses: u32,
}

impl Upgrades {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Upgrades {
        Upgrades { limits, ..Upgrades::default() }
    }

    /// Whether there are neither orders nor plans.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Applies an order that was read at a position.
    pub fn apply_order(&mut self, order: Order, position: Position, now: Instant) {
        let upgrade = self.services.entry(order.service.clone()).or_default();
        let since = match &upgrade.order {
            Some((known, known_position, since))
                if *known == order
                    && (known_position.era != position.era || *known_position == position) =>
            {
                *since
            }
            _ => now,
        };
        upgrade.order = Some((order, position, since));
        self.is_changed = true;
    }

    /// Removes the order of a service.
    pub fn remove_order(&mut self, service: &str) {
        if let Some(upgrade) = self.services.get_mut(service) {
            upgrade.order = None;
            self.is_changed = true;
        }
    }

    /// Applies a plan from the store. A plan that this box knows a later version of is not applied;
    /// the judges write the later version again.
    pub fn apply_plan(&mut self, service: &str, plan: Plan, now: Instant) {
        let upgrade = self.services.entry(service.to_owned()).or_default();
        upgrade.stored = Some((plan.id, plan.serial));
        let known = upgrade.plan.as_ref();
        if known.is_some_and(|known| !plan.supersedes(known)) {
            return;
        }
        let is_same_plan = known.is_some_and(|known| known.id == plan.id);
        let known_stage = known.map(|known| known.stage);
        if !is_same_plan {
            upgrade.own_evidence = Evidence::default();
            upgrade.reports.clear();
            upgrade.confirmations = Confirmations::default();
            upgrade.history = History::default();
            upgrade.is_halted = false;
            upgrade.held = 0;
        }
        upgrade.lacks_earlier_stages =
            plan.stage == Stage::Full && (!is_same_plan || upgrade.lacks_earlier_stages);
        if !is_same_plan || known_stage != Some(plan.stage) {
            upgrade.stage_since = Some(now);
        }
        upgrade.plan_since = Some(now);
        upgrade.plan = Some(plan);
        self.is_changed = true;
    }

    /// Records that the store no longer has a plan of a service. The known plan stays in force.
    pub fn remove_plan(&mut self, service: &str) {
        if let Some(upgrade) = self.services.get_mut(service) {
            upgrade.stored = None;
        }
    }

    /// Stops sending requests to the target version of a plan, because a judge found it bad.
    /// Returns whether that is news.
    pub fn halt(&mut self, plan: PlanId) -> bool {
        let Some(upgrade) = self.running_mut(plan) else { return false };
        let is_news = !upgrade.is_halted;
        upgrade.is_halted = true;
        self.is_changed |= is_news;
        is_news
    }

    /// Returns a plan to the share of its first stage until it has a higher serial number. Returns
    /// whether that is news.
    pub fn hold(&mut self, hold: UpgradeHold) -> bool {
        let Some(upgrade) = self.running_mut(hold.plan) else { return false };
        let is_news = hold.serial > upgrade.held;
        upgrade.held = upgrade.held.max(hold.serial);
        self.is_changed |= is_news;
        is_news
    }

    /// Plans that judges found bad, and those that they hold.
    pub fn stopped(&self) -> (Vec<PlanId>, Vec<UpgradeHold>) {
        (self.halted(), self.held())
    }

    /// Applies a judge's own decision to send fewer requests to a version before it is written.
    /// Returns whether other boxes must be notified.
    pub fn stop_before_write(&mut self, judged: &JudgedDecision) -> bool {
        let Plan { id, serial, stage, .. } = judged.decision.plan;
        match stage {
            Stage::RolledBack => self.halt(id),
            Stage::Canary if judged.decision.plan.returns > 0 => {
                self.hold(UpgradeHold { plan: id, serial: serial - 1 })
            }
            _ => false,
        }
    }

    /// Plans that judges hold at the share of their first stage.
    pub fn held(&self) -> Vec<UpgradeHold> {
        let held = |upgrade: &Upgrade| {
            let plan = upgrade.running().filter(|plan| upgrade.held >= plan.serial)?;
            Some(UpgradeHold { plan: plan.id, serial: upgrade.held })
        };
        self.services.values().filter_map(held).collect()
    }

    /// Plans that judges found bad and that the store still shows as running.
    pub fn halted(&self) -> Vec<PlanId> {
        let halted = self.services.values().filter(|upgrade| upgrade.is_halted);
        halted.filter_map(|upgrade| upgrade.running()).map(|plan| plan.id).collect()
    }

    /// Whether roles of versions have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// The roles of the versions of each service that has an order or a plan.
    pub fn versions(&self) -> BTreeMap<ServiceId, Versions> {
        let versions = |upgrade: &Upgrade| upgrade.versions(self.limits.exposure_share);
        self.services.iter().map(|(name, upgrade)| (name.clone(), versions(upgrade))).collect()
    }

    /// Records that requests follow the plan of each service, and which servers are usable.
    pub fn record_published(&mut self, servers: impl Fn(&str) -> ServerCounts, now: Instant) {
        for (name, upgrade) in &mut self.services {
            // A box that was told to stop sending to the target version confirms no plan: it sends
            // to the other versions again.
            let followed = upgrade.plan.as_ref().filter(|_| !upgrade.is_stopped());
            upgrade.followed = followed.map_or(0, |plan| plan.serial);
            let Some((order, ..)) = &upgrade.order else { continue };
            let is_usable = servers(name).by_version.get(&order.target).is_some_and(|n| *n > 0);
            if is_usable {
                upgrade.target_since.get_or_insert(now);
            } else {
                upgrade.target_since = None;
            }
        }
    }

    /// Counts a response under a plan. Returns whether the judges should know it at once: it is a
    /// bad one of the target version, which gets a large share.
    pub fn record_sample(&mut self, plan: PlanId, sample: &Sample) -> bool {
        let Some(upgrade) = self.running_mut(plan) else { return false };
        let is_bad = upgrade.own_evidence.record(sample);
        let stage = upgrade.running().map(|plan| plan.stage);
        is_bad && !upgrade.is_stopped() && matches!(stage, Some(Stage::Ramp | Stage::Full))
    }

    /// Reports to the judges, by service. `draining` gives the requests of this box in progress on
    /// retired servers of a service.
    pub fn reports(&mut self, draining: impl Fn(&str) -> u32) -> Vec<(ServiceId, UpgradeReport)> {
        let report = |(name, upgrade): (&ServiceId, &mut Upgrade)| {
            let plan = upgrade.running()?.id;
            let (cells, tallies) = upgrade.own_evidence.to_reports();
            let draining = draining(name);
            let serial = upgrade.followed;
            let confirmed = upgrade.confirmations.to_report(serial);
            let report = UpgradeReport { plan, serial, draining, cells, tallies, confirmed };
            Some((name.clone(), report))
        };
        self.services.iter_mut().filter_map(report).collect()
    }

    /// Receives the report of another box. Returns whether it contains further bad responses.
    pub fn receive(
        &mut self,
        sender: u64,
        (incarnation, number): (Incarnation, u64),
        report: &UpgradeReport,
        now: Instant,
    ) -> bool {
        let Some(upgrade) = self.running_mut(report.plan) else { return false };
        let is_older =
            |known: &BoxEvidence| known.incarnation == incarnation && known.number >= number;
        let known = upgrade.reports.get(&sender);
        if known.is_some_and(is_older) {
            return false;
        }
        let known_bad = known.map_or(0, |known| known.evidence.bad_responses());
        let received = BoxEvidence {
            incarnation,
            number,
            serial: report.serial,
            evidence: Evidence::from_reports(&report.cells, &report.tallies),
            received_at: now,
        };
        upgrade.confirmations.receive(report, sender, now);
        let is_worse = received.evidence.bad_responses() > known_bad;
        upgrade.reports.insert(sender, received);
        is_worse
    }

    /// Decides about a service as the judge of a rank. `boxes` are all others that may send
    /// requests, and `cut_off` those of regions that nothing is known of; `draining` are the own
    /// requests in progress on retired servers.
    pub fn decide(
        &mut self,
        service: &str,
        rank: u32,
        (boxes, cut_off): (&[u64], &[u64]),
        draining: u32,
        servers: &ServerCounts,
        (new_id, now): (PlanId, Instant),
    ) -> Option<JudgedDecision> {
        let upgrade = self.services.get_mut(service)?;
        upgrade.reports.retain(|_, report| now < report.received_at + REPORT_TTL);
        let order = upgrade.order.as_ref();
        let since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let target = upgrade.target().cloned();
        let target = target.as_ref();
        let target_servers = target.and_then(|target| servers.by_version.get(target));
        let listed = servers.by_version.iter().filter(|(version, _)| Some(*version) != target);
        let others = listed.clone().filter(|(_, count)| **count > 0);
        let mut evidence = upgrade.own_evidence.clone();
        upgrade.reports.values().for_each(|report| evidence.add(&report.evidence));
        let (all_responses, responses) = (evidence.responses(), evidence.target_responses());
        let target_servers = target_servers.copied().unwrap_or(0);
        let stage_age = since(upgrade.stage_since);
        let fleet_serial = upgrade.reports.values().map(|report| report.serial).max().unwrap_or(0);
        let is_held = upgrade.is_held();
        let history = &mut upgrade.history;
        let finding = match &upgrade.plan {
            // Another judge's finding holds even if its write was lost and its evidence is not known.
            Some(_) if upgrade.is_halted => Finding::Defect("a judge found the version bad"),
            Some(plan) => {
                let finding =
                    history.assess(plan, fleet_serial, &evidence, target_servers, stage_age);
                match finding {
                    Finding::Sound | Finding::Open if is_held => {
                        Finding::Slow("a judge found the version slow")
                    }
                    finding => finding,
                }
            }
            None => Finding::Sound,
        };
        let situation = Situation {
            order: order.map(|(order, position, _)| (order, *position)),
            plan: upgrade.plan.as_ref(),
            is_stored: upgrade.stored == upgrade.plan.as_ref().map(|plan| (plan.id, plan.serial)),
            elapsed: upgrade.elapsed(now),
            stage_age,
            target_age: upgrade.target_since.map(|at| since(Some(at))),
            target_servers,
            other_servers: others.clone().map(|(_, count)| count).sum(),
            other_versions: others.map(|(version, _)| version.clone()).collect(),
            listed_versions: listed.map(|(version, _)| version.clone()).collect(),
            responses,
            finding,
            is_uncompared: upgrade.lacks_earlier_stages
                && responses > 0
                && all_responses == responses,
            limits: self.limits,
            all_responses,
            is_drained: draining == 0 && upgrade.is_drained(boxes, now),
            is_region_unknown: !upgrade.is_drained(cut_off, now),
            rank,
        };
        let decision = situation.decide(new_id)?;
        let bad_responses = evidence.bad_responses();
        Some(JudgedDecision { service: service.to_owned(), decision, responses, bad_responses })
    }

    /// Names of the services that have an order or a plan.
    pub fn services(&self) -> Vec<ServiceId> {
        self.services.keys().cloned().collect()
    }

    /// Each plan that is in progress, with the share of the target version and the responses that
    /// this box has counted of it.
    pub fn progress(&self) -> Vec<Progress> {
        let progress = |(name, upgrade): (&ServiceId, &Upgrade)| {
            let plan = upgrade.running()?;
            let versions = upgrade.versions(self.limits.exposure_share);
            let share = match versions.role(&plan.target) {
                Role::Canary => versions.canary_share,
                Role::Serving => 1.0,
                Role::Retired | Role::Rejected => 0.0,
            };
            let evidence = &upgrade.own_evidence;
            Some(Progress {
                service: name.clone(),
                stage: plan.stage,
                share,
                responses: evidence.target_responses(),
                bad_responses: evidence.bad_responses(),
                is_stopped: upgrade.is_stopped(),
            })
        };
        self.services.iter().filter_map(progress).collect()
    }

    /// The number of plans that are in progress.
    pub fn running_count(&self) -> usize {
        self.services.values().filter(|upgrade| upgrade.running().is_some()).count()
    }

    fn running_mut(&mut self, plan: PlanId) -> Option<&mut Upgrade> {
        let is_running =
            |upgrade: &&mut Upgrade| upgrade.running().is_some_and(|known| known.id == plan);
        self.services.values_mut().find(is_running)
    }
}
