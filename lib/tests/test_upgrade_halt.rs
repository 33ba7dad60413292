//! What judges decide about a plan that another judge has halted.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::upgrade::Plan;
use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::Upgrades;
use copperweir_lib::coordination::upgrade::table::Limits;
use copperweir_lib::coordination::upgrade::table::ServerCounts;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::upgrade::Order;

const LIMITS: Limits = Limits { exposure_share: 0.1, exposure_slack: None, rollback: None };
const SERVICE: &str = "engine";

/// The finding of the judge that halted the plan could not be written while the store was away.
#[test]
fn halted_plan_is_rolled_back_by_judges_that_saw_no_defect() {
    let (mut upgrades, start) = (Upgrades::new(LIMITS), Instant::now());
    let order = Order {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_secs(10),
    };
    upgrades.apply_order(order, Position { era: 0, revision: 1 }, start);
    let by_version = BTreeMap::from([("v1".to_owned(), 3), ("v2".to_owned(), 3)]);
    let servers = ServerCounts { by_version };
    let decide = |upgrades: &mut Upgrades, ms| {
        let now = start + Duration::from_millis(ms);
        upgrades.record_published(|_| servers.clone(), now);
        upgrades.decide(SERVICE, 0, (&[], &[]), 0, &servers, (7, now))
    };
    let begun: Plan = decide(&mut upgrades, 0).expect("a decision").decision.plan;
    upgrades.apply_plan(SERVICE, begun.clone(), start);
    assert!(upgrades.halt(begun.id));
    for ms in (200..10_000).step_by(200) {
        let judged = decide(&mut upgrades, ms).expect("a decision");
        assert_eq!(judged.decision.plan.stage, Stage::RolledBack, "after {ms} ms");
    }
}
