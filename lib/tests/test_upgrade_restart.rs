//! What judges decide that start while a plan is in its last stage, and know no earlier responses.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::upgrade::Plan;
use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::Upgrades;
use copperweir_lib::coordination::upgrade::evidence::Sample;
use copperweir_lib::coordination::upgrade::evidence::SampleResult;
use copperweir_lib::coordination::upgrade::table::Limits;
use copperweir_lib::coordination::upgrade::table::ServerCounts;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::upgrade::Order;

const LIMITS: Limits = Limits { exposure_share: 0.1, exposure_slack: None, rollback: None };
const SERVICE: &str = "engine";
const POSITION: Position = Position { era: 1, revision: 1 };
const STEP: Duration = Duration::from_millis(50);

/// A judge that starts and reads a plan in its last stage.
struct Judge {
    upgrades: Upgrades,
    now: Instant,
    plan: Plan,
    servers: ServerCounts,
}

impl Judge {
    fn start(old_servers: usize) -> Judge {
        let now = Instant::now();
        let mut upgrades = Upgrades::new(LIMITS);
        let order = Order {
            service: SERVICE.to_owned(),
            target: "v2".to_owned(),
            duration: Duration::from_secs(20),
        };
        upgrades.apply_order(order, POSITION, now);
        let plan: Plan = serde_json::from_value(serde_json::json!({
            "id": 7, "serial": 5, "stage": "full", "target": "v2", "order_era": 1,
            "order_revision": 1, "elapsed_ms": 12_000, "retired": ["v1"],
        }))
        .expect("a plan");
        upgrades.apply_plan(SERVICE, plan.clone(), now);
        let by_version = [("v1".to_owned(), old_servers), ("v2".to_owned(), 3)];
        let by_version = by_version.into_iter().filter(|(_, count)| *count > 0);
        let servers = ServerCounts { by_version: BTreeMap::from_iter(by_version) };
        Judge { upgrades, now, plan, servers }
    }

    /// Sends requests, of which those to the new version have this result, until the plan is over.
    /// Returns the stages of the plan.
    fn run(&mut self, result: SampleResult) -> Vec<Stage> {
        let mut stages = vec![self.plan.stage];
        for number in 0..400 {
            self.now += STEP;
            self.upgrades.record_published(|_| self.servers.clone(), self.now);
            let is_target = match self.plan.stage {
                Stage::Full => true,
                _ => number % 4 == 0,
            };
            let answered = SampleResult::Answered { first: Some(STEP), rest: None };
            let sample = Sample {
                route: 1,
                prompt_tokens: 0,
                server: number % 3,
                is_target,
                is_cold: false,
                result: if is_target { result } else { answered },
            };
            self.upgrades.record_sample(self.plan.id, &sample);
            let context = (9, self.now);
            let judged = self.upgrades.decide(SERVICE, 0, (&[], &[]), 0, &self.servers, context);
            let Some(judged) = judged else { continue };
            self.plan = judged.decision.plan;
            self.upgrades.apply_plan(SERVICE, self.plan.clone(), self.now);
            stages.push(self.plan.stage);
            if self.plan.stage.is_final() {
                break;
            }
        }
        stages
    }
}

#[test]
fn version_that_fails_does_not_take_over_after_all_boxes_restarted() {
    let stages = Judge::start(3).run(SampleResult::Failed);
    assert_eq!(stages.last(), Some(&Stage::RolledBack), "{stages:?}");
}

#[test]
fn version_that_is_slow_does_not_take_over_after_all_boxes_restarted() {
    let slow = SampleResult::Answered { first: Some(STEP * 8), rest: None };
    let stages = Judge::start(3).run(slow);
    assert_eq!(stages.last(), Some(&Stage::RolledBack), "{stages:?}");
}

#[test]
fn good_version_takes_over_after_all_boxes_restarted() {
    let good = SampleResult::Answered { first: Some(STEP), rest: None };
    let stages = Judge::start(3).run(good);
    assert_eq!(stages, [Stage::Full, Stage::Ramp, Stage::Full, Stage::Succeeded]);
}

#[test]
fn version_without_others_takes_over_after_all_boxes_restarted() {
    let stages = Judge::start(0).run(SampleResult::Failed);
    assert_eq!(stages, [Stage::Full, Stage::Succeeded]);
}
