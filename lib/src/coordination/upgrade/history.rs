//! Comparison of the target version with the others, by stage of the upgrade.
//!
//! In the first two stages both versions serve, so their responses are compared as they come. In the
//! last stage only the target version serves. It is compared with what the other versions did
//! shortly before, so a load burst that begins then makes it look slow. The judges therefore return
//! the plan to the first stage, in which the other versions show whether they are now as slow. If
//! they are not, the target version is slow under its full load, and is rolled back.

use std::time::Duration;

use super::Plan;
use super::Stage;
use super::evidence::Evidence;

/// Time after a return to the first stage from which on the target version is compared again:
/// requests of the last stage have ended by then.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time after a return to the first stage by which the other versions have to be as slow as the
/// target version was. A box follows a plan after 0.35 s, and responses are reported within 0.25 s.
const OBSERVATION_TIME: Duration = Duration::from_millis(1400);
/// Time after a return to the first stage at which few responses of the other versions decide.
const MAX_OBSERVATION_TIME: Duration = Duration::from_millis(2400);
/// Responses of the other versions that show whether they are slow.
const MIN_OTHER_RESPONSES: u32 = 40;

/// What the evidence says about the target version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// It is not known to be bad.
    Sound,
    /// It is slow in the last stage, by its fault or because of the load.
    Slow(&'static str),
    /// Whether it or the load was slow is not known yet.
    Open,
    /// It is bad.
    Defect(&'static str),
}

/// The other versions since the plan returned to the first stage.
#[derive(Clone, Debug)]
struct Return {
    /// All counts at the return.
    begin: Evidence,
    /// Counts from which on the target version is compared again.
    settled: Evidence,
    /// Whether the other versions are as slow.
    is_explained: bool,
}

/// Earlier counts of a plan, as one judge has seen them.
#[derive(Clone, Debug, Default)]
pub struct History {
    stage: Option<Stage>,
    /// Highest serial number of the plan that any box follows.
    serial: u32,
    /// All counts when boxes began to follow this and the previous serial number.
    marks: (Evidence, Evidence),
    /// Responses of the other versions shortly before the last stage.
    reference: Option<Evidence>,
    returned: Option<Return>,
}

impl History {
    /// Assesses the target version, which has `servers` servers, by all counts of a plan that
    /// reached its stage `stage_age` ago. `fleet_serial` is the highest serial number of the plan
    /// that boxes report.
    pub fn assess(
        &mut self,
        plan: &Plan,
        fleet_serial: u32,
        total: &Evidence,
        servers: usize,
        stage_age: Duration,
    ) -> Finding {
        let is_new = self.stage != Some(plan.stage);
        self.stage = Some(plan.stage);
        let serial = fleet_serial.max(plan.serial);
        if serial > self.serial {
            self.serial = serial;
            self.marks.1 = std::mem::replace(&mut self.marks.0, total.clone());
        }
        if let Some(defect) = total.failures(servers) {
            return Finding::Defect(defect);
        }
        if self.serial > plan.serial {
            // The responses belong to a stage that this box doesn't know yet.
            return Finding::Open;
        }
        match plan.stage {
            Stage::Canary if plan.returns > 0 => {
                self.assess_return(is_new, total, servers, stage_age)
            }
            Stage::Canary | Stage::Ramp => {
                total.slowness(servers).map_or(Finding::Sound, Finding::Defect)
            }
            Stage::Full => {
                if is_new {
                    self.reference = Some(self.recent_reference(total));
                }
                let reference = self.reference.get_or_insert_with(|| total.clone());
                let target = total.since(&self.marks.0);
                let slowness = target.target_compared_with(reference).slowness(servers);
                slowness.map_or(Finding::Sound, Finding::Slow)
            }
            Stage::Succeeded | Stage::RolledBack => Finding::Sound,
        }
    }

    /// The responses of the other versions in the stage before the last one, or all if those are
    /// few. After a return, they are those at its end, when a burst may be over.
    fn recent_reference(&self, total: &Evidence) -> Evidence {
        let (last, previous) = &self.marks;
        let begin = self.returned.as_ref().map_or(previous, |returned| &returned.settled);
        let recent = last.since(begin);
        if recent.other_timed() >= MIN_OTHER_RESPONSES { recent } else { total.clone() }
    }

    fn assess_return(
        &mut self,
        is_new: bool,
        total: &Evidence,
        servers: usize,
        stage_age: Duration,
    ) -> Finding {
        if is_new || self.returned.is_none() {
            let (begin, settled) = (self.marks.0.clone(), total.clone());
            self.returned = Some(Return { begin, settled, is_explained: false });
        }
        let Some(returned) = &mut self.returned else { return Finding::Open };
        if stage_age < SETTLE_TIME {
            returned.settled = total.clone();
        }
        if let Some(defect) = total.since(&returned.settled).slowness(servers) {
            return Finding::Defect(defect);
        }
        let others = total.since(&returned.begin);
        let reference = self.reference.get_or_insert_with(|| total.clone());
        returned.is_explained |= others.others_compared_with(reference).slowness(0).is_some();
        if returned.is_explained {
            return Finding::Sound;
        }
        let is_shown = stage_age >= OBSERVATION_TIME && others.other_timed() >= MIN_OTHER_RESPONSES;
        if is_shown || stage_age >= MAX_OBSERVATION_TIME {
            return Finding::Defect("the version is slow at full load");
        }
        Finding::Open
    }
}
