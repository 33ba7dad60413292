//! Several regions: residency, cuts, and the configuration everywhere.

mod common;

use std::time::Duration;

use common::Fleet;
use common::Plan;
use common::eventually;
use copperweir_lib::daemon::StopOutcome;
use copperweir_lib::operators::apply::ApplyError;
use copperweir_standin::engine;
use copperweir_standin::platform;
use http::StatusCode;
use serde_json::json;

fn three_regions(test: u8) -> Plan {
    let mut plan = Plan::new(test);
    plan.regions = 3;
    plan.boxes = 2;
    plan
}

#[test]
fn a_request_runs_only_where_its_rule_allows() {
    let fleet = Fleet::start(three_regions(50));
    fleet.wait_for_members();
    let bound = json!({"model": "log-first", "messages": [], "max_tokens": 2});
    for region in 0..3 {
        let reply = fleet.complete(fleet.plan.callers_address(region, 0), &[], &bound);
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.header("copperweir-region"), "north");
    }
    assert_eq!(fleet.engines[0][0].completions(), 3);
    assert_eq!(fleet.engines[1][0].completions() + fleet.engines[2][0].completions(), 0);
}

#[test]
fn bound_work_is_refused_rather_than_run_elsewhere() {
    let fleet = Fleet::start(three_regions(51));
    fleet.wait_for_members();
    fleet.set_region_cut(0, true);
    let bound = json!({"model": "log-first", "messages": [], "max_tokens": 2});
    let deadline = [("copperweir-timeout-ms", "3000")];
    for region in 1..3 {
        let reply = fleet.complete(fleet.plan.callers_address(region, 0), &deadline, &bound);
        assert_ne!(reply.status, StatusCode::OK);
        assert!(!reply.header("copperweir-ran").is_empty());
    }
    eventually("the cut is known", || {
        let reply = fleet.complete(fleet.plan.callers_address(1, 0), &deadline, &bound);
        reply.code() == "no_server" && reply.header("copperweir-ran") == "no"
    });
    assert_eq!(fleet.engines[1][0].completions() + fleet.engines[2][0].completions(), 0);
}

#[test]
fn a_region_without_servers_uses_another() {
    let fleet = Fleet::start(three_regions(52));
    fleet.wait_for_members();
    fleet.engines[1][0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    eventually("work goes to another region", || {
        let body = json!({"model": "log", "messages": [], "max_tokens": 2, "stream": true});
        let reply = fleet.complete(fleet.plan.callers_address(1, 0), &[], &body);
        reply.status == StatusCode::OK && reply.header("copperweir-region") != "south"
    });
}

#[test]
fn a_region_that_is_cut_off_serves_on_and_catches_up() {
    let mut fleet = Fleet::start(three_regions(53));
    let plan = fleet.plan;
    fleet.wait_for_members();
    // Cut off: no other region, no platform.
    fleet.set_region_cut(0, true);
    let at = plan.callers_address(0, 0);
    eventually("the others are gone", || fleet.list_boxes(at).boxes.len() == 2);
    for _ in 0..20 {
        let reply =
            fleet.complete(at, &[], &json!({"model": "log", "messages": [], "max_tokens": 2}));
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
    let ticket = fleet.ticket(at);
    let filed = fleet.submit_filing(at, &[("idempotency-key", &ticket)], "while cut off");
    assert_eq!(filed.status, StatusCode::CREATED, "{filed:?}");
    // A box that is replaced meanwhile gets the configuration from its peer.
    fleet.kill_box(0, 1);
    fleet.start_box(0, 1);
    eventually("the replaced box is ready", || fleet.is_ready(0, 1));
    let reply = fleet.complete(
        plan.callers_address(0, 1),
        &[],
        &json!({"model": "log", "messages": [], "max_tokens": 2}),
    );
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    // A change meanwhile is in force elsewhere, and here as soon as the cut is mended.
    let mut configuration = plan.configuration();
    configuration["limits"]["body_bytes"] = json!(1234);
    assert_eq!(fleet.apply("main", &configuration).expect("applied"), 2);
    eventually("the change is in force elsewhere", || {
        (1..3).all(|region| (0..2).all(|number| fleet.version(region, number) == 2))
    });
    assert_eq!(fleet.version(0, 0), 1);
    fleet.set_region_cut(0, false);
    fleet.wait_for_version(2);
    fleet.wait_for_members();
}

#[test]
fn the_configuration_reaches_a_region_through_its_peers_alone() {
    let fleet = Fleet::start(three_regions(54));
    fleet.wait_for_members();
    let mut configuration = fleet.plan.configuration();
    for version in 2..6 {
        configuration["limits"]["body_bytes"] = json!(1000 + version);
        assert_eq!(fleet.apply("main", &configuration).expect("applied"), version);
        fleet.wait_for_version(version);
    }
}

#[test]
fn a_stale_store_never_takes_a_box_back() {
    let mut fleet = Fleet::start(three_regions(55));
    let plan = fleet.plan;
    fleet.wait_for_members();
    fleet.apply("main", &plan.configuration()).expect("applied");
    fleet.wait_for_version(2);
    fleet.platform.set_faults(platform::Faults { stale: true, ..Default::default() });
    // A fresh box reads version 1 from the store, and version 2 from its peer.
    fleet.kill_box(0, 0);
    fleet.start_box(0, 0);
    eventually("the fresh box is ready", || fleet.is_ready(0, 0));
    assert_eq!(fleet.version(0, 0), 2, "ready with an older version than its peer's");
}

#[test]
fn of_two_operators_who_race_one_wins() {
    let fleet = Fleet::without_configuration(Plan::new(56));
    let configuration = fleet.plan.configuration();
    fleet.apply("main", &configuration).expect("applied");
    let results: Vec<_> = std::thread::scope(|scope| {
        let apply = |number: usize| {
            let (fleet, configuration) = (&fleet, &configuration);
            let extra = json!({"objectives": {
                format!("o{number}"): {"pool": "logs", "target": 0.9, "first_byte_ms": 100},
            }});
            let _ = configuration;
            scope.spawn(move || fleet.apply(&format!("extra-{number}"), &extra))
        };
        let racers: Vec<_> = (0..4).map(apply).collect();
        racers.into_iter().map(|racer| racer.join().expect("a racer")).collect()
    });
    let won = results.iter().filter(|result| result.is_ok()).count();
    assert!(won >= 1, "{results:?}");
    for result in &results {
        match result {
            Ok(version) => assert!(*version > 1),
            Err(ApplyError::Conflict { based_on, current }) => assert!(current > based_on),
            Err(error) => panic!("{error}"),
        }
    }
    // What was accepted is there; what was refused is not.
    let again = fleet.apply("last", &json!({})).expect("applied");
    assert_eq!(again, 2 + won as u64);
}

#[test]
fn a_lost_answer_to_an_apply_is_resolved() {
    let fleet = Fleet::without_configuration(Plan::new(57));
    fleet.platform.set_faults(platform::Faults { lose_answers: 1, ..Default::default() });
    assert_eq!(fleet.apply("main", &fleet.plan.configuration()).expect("applied"), 1);
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let down = fleet.apply("main", &fleet.plan.configuration());
    assert!(matches!(down, Err(ApplyError::Platform(_))), "{down:?}");
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let mut plan = Plan::new(58);
    plan.boxes = 2;
    plan.speed.token = Duration::from_millis(20);
    let mut fleet = Fleet::start(plan);
    eventually("the boxes know each other", || {
        fleet.list_boxes(plan.callers_address(0, 1)).boxes.len() == 2
    });
    let at = plan.callers_address(0, 0);
    let (client, runtime) = (fleet.client.clone(), fleet.runtime.handle().clone());
    let body =
        json!({"model": "log", "messages": [], "max_tokens": 100, "stream": true}).to_string();
    let streams: Vec<_> = (0..5)
        .map(|_| {
            let (client, body) = (client.clone(), body.clone());
            runtime.spawn(async move {
                let path = "/v1/chat/completions";
                common::send(&client, at, http::Method::POST, path, &[], &body).await
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let stopping = fleet.stop_box(0, 0);
    eventually("the other box no longer tells of it", || {
        fleet.list_boxes(plan.callers_address(0, 1)).boxes.len() == 1
    });
    eventually("the leaving box refuses new work", || {
        let reply =
            fleet.complete(at, &[], &json!({"model": "log", "messages": [], "max_tokens": 1}));
        reply.code() == "leaving" && reply.header("copperweir-ran") == "no"
    });
    for stream in streams {
        let reply = fleet.block_on(stream).expect("a task").expect("a whole answer");
        assert!(reply.body.ends_with(b"data: [DONE]\n\n"));
    }
    assert_eq!(stopping.join().expect("a stop"), StopOutcome::Done);
}

#[test]
fn a_leaving_server_gets_nothing_new_even_with_the_store_out() {
    let mut plan = Plan::new(59);
    plan.boxes = 3;
    plan.engines = 3;
    let fleet = Fleet::start(plan);
    fleet.wait_for_members();
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    fleet.engines[0][1].set_faults(engine::Faults { leaving: true, ..Default::default() });
    let ask = |number: usize, count: usize| {
        for at in 0..count {
            let body = json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": number * 1000 + at});
            let reply = fleet.complete(plan.callers_address(0, number), &[], &body);
            assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        }
    };
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.engines[0][1].completions();
    for number in 0..3 {
        ask(number, 30);
    }
    assert_eq!(fleet.engines[0][1].completions(), before);
}

#[test]
fn the_platform_list_takes_a_server_out() {
    let mut plan = Plan::new(60);
    plan.engines = 2;
    let fleet = Fleet::start(plan);
    let leaving = vec!["north-engine-0".to_owned()];
    fleet.platform.set_faults(platform::Faults { leaving, ..Default::default() });
    let mut last = 0;
    eventually("nothing new goes there", || {
        let before = fleet.engines[0][0].completions();
        for prompt in 0..20 {
            last += 1;
            let body = json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": last * 100 + prompt});
            fleet.complete(plan.callers_address(0, 0), &[], &body);
        }
        fleet.engines[0][0].completions() == before
    });
}
