//! Orders to model engines, sent by one lease holder per region.

mod common;

use common::Fleet;
use common::Plan;
use common::eventually;
use copperweir_standin::platform;
use serde_json::json;

fn engines_have_version(fleet: &Fleet, version: &str) -> bool {
    let wanted = json!([
        {"name": "log", "version": version},
        {"name": "log-first", "version": "1"},
    ]);
    fleet.engines[0].iter().all(|engine| json!(engine.loaded_models()) == wanted)
}

#[test]
fn new_lease_holder_continues_orders() {
    let mut plan = Plan::new(70);
    (plan.boxes, plan.engines) = (2, 2);
    let mut fleet = Fleet::start(plan);
    eventually("the engines have version 1", || engines_have_version(&fleet, "1"));
    // Kill the box that holds the lease; the lease expires and the other box
    // takes over.
    let holder = (0..2).find(|number| fleet.counter(0, *number, "orders") > 0).expect("a holder");
    fleet.kill_box(0, holder);
    let mut configuration = plan.configuration();
    configuration["models"]["log"]["version"] = json!("2");
    fleet.apply("main", &configuration).expect("applied");
    eventually("the new holder orders the new version", || engines_have_version(&fleet, "2"));
    assert_eq!(fleet.engines[0].iter().map(|engine| engine.refused_stale_orders()).sum::<u64>(), 0);
}

#[test]
fn store_outage_stops_orders_but_not_serving() {
    let fleet = Fleet::start(Plan::new(71));
    eventually("the engine has version 1", || engines_have_version(&fleet, "1"));
    let mut configuration = fleet.plan.configuration();
    configuration["models"]["log"]["version"] = json!("2");
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    fleet.platform.set_faults(platform::Faults {
        down: true,
        lapse_leases: true,
        ..Default::default()
    });
    let address = fleet.plan.callers_address(0, 0);
    let body = json!({"model": "log", "messages": [], "max_tokens": 1});
    assert_eq!(fleet.complete(address, &[], &body).status, http::StatusCode::OK);
    fleet.platform.set_faults(platform::Faults::default());
    eventually("orders resume", || engines_have_version(&fleet, "2"));
}
