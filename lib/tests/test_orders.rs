//! Orders to engines: one holder per region, under a lease.

mod common;

use common::Fleet;
use common::Plan;
use common::eventually;
use copperweir_standin::platform;
use serde_json::json;

fn versions(fleet: &Fleet, version: &str) -> bool {
    let wanted = json!([
        {"name": "log", "version": version},
        {"name": "log-first", "version": "1"},
    ]);
    fleet.engines[0].iter().all(|engine| json!(engine.models()) == wanted)
}

#[test]
fn orders_reach_engines_and_a_new_holder_goes_on() {
    let mut plan = Plan::new(70);
    (plan.boxes, plan.engines) = (2, 2);
    let mut fleet = Fleet::start(plan);
    eventually("the engines are told to load", || versions(&fleet, "1"));
    // Whoever holds the lease now is killed: its lease lapses, and the other goes on.
    let holder = (0..2).find(|number| fleet.counter(0, *number, "orders") > 0).expect("a holder");
    fleet.kill_box(0, holder);
    let mut configuration = plan.configuration();
    configuration["models"]["log"]["version"] = json!("2");
    fleet.apply("main", &configuration).expect("applied");
    eventually("the new holder orders the new version", || versions(&fleet, "2"));
    assert_eq!(fleet.engines[0].iter().map(|engine| engine.stale_orders()).sum::<u64>(), 0);
}

#[test]
fn nothing_is_ordered_with_the_store_out_and_serving_goes_on() {
    let fleet = Fleet::start(Plan::new(71));
    eventually("the engine is told to load", || versions(&fleet, "1"));
    let mut configuration = fleet.plan.configuration();
    configuration["models"]["log"]["version"] = json!("2");
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    fleet.platform.set_faults(platform::Faults {
        down: true,
        lapse_leases: true,
        ..Default::default()
    });
    let at = fleet.plan.callers_address(0, 0);
    let body = json!({"model": "log", "messages": [], "max_tokens": 1});
    assert_eq!(fleet.complete(at, &[], &body).status, http::StatusCode::OK);
    fleet.platform.set_faults(platform::Faults::default());
    eventually("ordering goes on", || versions(&fleet, "2"));
}
