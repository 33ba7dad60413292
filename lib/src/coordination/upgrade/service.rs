//! The order, the plan and the counts of one service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Versions;
use super::confirmations::Confirmations;
use super::evidence::Evidence;
use super::history::History;
use super::plan::Plan;
use super::plan::PlanId;
use super::plan::Stage;
use crate::protocol::Incarnation;
use crate::protocol::fleet::ServerVersion;
use crate::protocol::platform::Position;
use crate::protocol::upgrade::Order;

/// A report of a box about a plan.
#[derive(Clone, Debug)]
pub(super) struct BoxEvidence {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) serial: u32,
    pub(super) evidence: Evidence,
    pub(super) received_at: Instant,
}

/// The order and the plan of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Upgrade {
    pub(super) order: Option<(Order, Position, Instant)>,
    pub(super) plan: Option<Plan>,
    /// When the plan reached its stage, as far as this box knows.
    pub(super) stage_since: Option<Instant>,
    /// When this box learned of the plan's latest version.
    pub(super) plan_since: Option<Instant>,
    /// Whether this box has known the plan only since its last stage, so that it may lack the
    /// responses of the other versions.
    pub(super) lacks_earlier_stages: bool,
    /// Plan in the store, as last read.
    pub(super) stored: Option<(PlanId, u32)>,
    /// Serial number of the plan that requests follow.
    pub(super) followed: u32,
    /// Whether a judge has found the target version bad.
    pub(super) is_halted: bool,
    /// Serial number of the plan that a judge holds at the share of the first stage; 0 for none.
    pub(super) held: u32,
    /// Since when servers of the target version have been usable.
    pub(super) target_since: Option<Instant>,
    pub(super) own_evidence: Evidence,
    pub(super) reports: HashMap<u64, BoxEvidence>,
    pub(super) confirmations: Confirmations,
    pub(super) history: History,
}

impl Upgrade {
    /// The plan, if it is in progress.
    pub(super) fn running(&self) -> Option<&Plan> {
        self.plan.as_ref().filter(|plan| !plan.stage.is_final())
    }

    /// Whether a judge holds the plan at the share of its first stage.
    pub(super) fn is_held(&self) -> bool {
        let is_held = |plan: &Plan| plan.stage != Stage::Canary && self.held >= plan.serial;
        self.running().is_some_and(is_held)
    }

    /// Whether a judge stopped the requests to the target version, at least in part.
    pub(super) fn is_stopped(&self) -> bool {
        self.is_halted || self.is_held()
    }

    pub(super) fn target(&self) -> Option<&ServerVersion> {
        let ordered = self.order.as_ref().map(|(order, ..)| &order.target);
        ordered.or(self.plan.as_ref().map(|plan| &plan.target))
    }

    /// Time since the order. The plan says how much of it had passed before this box knew of it.
    pub(super) fn elapsed(&self, now: Instant) -> Duration {
        let since = |at: Instant| now.saturating_duration_since(at);
        let own = self.order.as_ref().map_or(Duration::ZERO, |(.., at)| since(*at));
        let planned = self.running().zip(self.plan_since).map_or(Duration::ZERO, |(plan, at)| {
            Duration::from_millis(plan.elapsed_ms) + since(at)
        });
        own.max(planned)
    }

    /// Whether all boxes follow the plan and have no requests in progress on retired servers.
    pub(super) fn is_drained(&self, boxes: &[u64], now: Instant) -> bool {
        let Some(plan) = &self.plan else { return false };
        plan.serial == self.followed
            && boxes.iter().all(|sender| self.confirmations.contains(*sender, plan.serial, now))
    }

    pub(super) fn versions(&self, exposure_limit: f64) -> Versions {
        let mut versions = Versions::default();
        if let Some(plan) = &self.plan {
            versions.retired = plan.retired.clone();
            versions.rejected = plan.rejected.clone();
            let stage = match plan.stage {
                stage if stage.is_final() => stage,
                _ if self.is_halted => Stage::RolledBack,
                _ if self.is_held() => Stage::Canary,
                stage => stage,
            };
            if stage != plan.stage {
                versions.retired.clear();
            }
            match stage {
                Stage::Canary | Stage::Ramp => {
                    versions.canary = Some(plan.target.clone());
                    let usual = stage.share(exposure_limit);
                    let is_raised = stage == plan.stage && stage == Stage::Canary;
                    versions.canary_share = match plan.canary_millionths {
                        1.. if is_raised && plan.returns == 0 => {
                            f64::from(plan.canary_millionths) / 1e6
                        }
                        _ => usual,
                    };
                }
                Stage::Full | Stage::Succeeded => versions.promoted = Some(plan.target.clone()),
                // The final plan says whether the version is excluded.
                Stage::RolledBack if plan.stage.is_final() => {}
                Stage::RolledBack => versions.rejected.push(plan.target.clone()),
            }
            versions.plan = self.running().map(|plan| (plan.id, plan.target.clone()));
        }
        // Servers of an ordered version get nothing until a plan gives them a share.
        if let Some((order, position, _)) = &self.order
            && !self.plan.as_ref().is_some_and(|plan| plan.is_for(order, *position))
        {
            versions.canary = Some(order.target.clone());
            versions.canary_share = 0.0;
        }
        versions
    }
}
