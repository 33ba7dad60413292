//! Several regions: residency, partitions and distribution of the
//! configuration.

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

fn three_region_plan(test_id: u8) -> Plan {
    let mut plan = Plan::new(test_id);
    plan.regions = 3;
    plan.boxes = 2;
    plan
}

#[test]
fn request_runs_only_in_residency_regions() {
    let fleet = Fleet::start(three_region_plan(50));
    fleet.wait_for_members();
    let bound_request = json!({"model": "log-first", "messages": [], "max_tokens": 2});
    for region in 0..3 {
        let reply = fleet.complete(fleet.plan.callers_address(region, 0), &[], &bound_request);
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.header("copperweir-region"), "north");
    }
    assert_eq!(fleet.engines[0][0].completions(), 3);
    assert_eq!(fleet.engines[1][0].completions() + fleet.engines[2][0].completions(), 0);
}

#[test]
fn residency_bound_request_is_refused_rather_than_run_elsewhere() {
    let fleet = Fleet::start(three_region_plan(51));
    fleet.wait_for_members();
    fleet.set_region_cut(0, true);
    let bound_request = json!({"model": "log-first", "messages": [], "max_tokens": 2});
    let deadline = [("copperweir-timeout-ms", "3000")];
    for region in 1..3 {
        let reply =
            fleet.complete(fleet.plan.callers_address(region, 0), &deadline, &bound_request);
        assert_ne!(reply.status, StatusCode::OK);
        assert!(!reply.header("copperweir-ran").is_empty());
    }
    eventually("the partition is detected", || {
        let reply = fleet.complete(fleet.plan.callers_address(1, 0), &deadline, &bound_request);
        reply.code() == "no_server" && reply.header("copperweir-ran") == "no"
    });
    assert_eq!(fleet.engines[1][0].completions() + fleet.engines[2][0].completions(), 0);
}

#[test]
fn region_without_servers_forwards_to_another() {
    let fleet = Fleet::start(three_region_plan(52));
    fleet.wait_for_members();
    fleet.engines[1][0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    eventually("requests run in another region", || {
        let body = json!({"model": "log", "messages": [], "max_tokens": 2, "stream": true});
        let reply = fleet.complete(fleet.plan.callers_address(1, 0), &[], &body);
        reply.status == StatusCode::OK && reply.header("copperweir-region") != "south"
    });
}

#[test]
fn isolated_region_keeps_serving_and_catches_up() {
    let mut fleet = Fleet::start(three_region_plan(53));
    let plan = fleet.plan;
    fleet.wait_for_members();
    // Isolate the region from the other regions and from the platform.
    fleet.set_region_cut(0, true);
    let address = plan.callers_address(0, 0);
    eventually("the boxes of the other regions are gone", || {
        fleet.list_boxes(address).boxes.len() == 2
    });
    for _ in 0..20 {
        let reply =
            fleet.complete(address, &[], &json!({"model": "log", "messages": [], "max_tokens": 2}));
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
    let ticket = fleet.ticket(address);
    let filing_reply =
        fleet.submit_filing(address, &[("idempotency-key", &ticket)], "while cut off");
    assert_eq!(filing_reply.status, StatusCode::CREATED, "{filing_reply:?}");
    // A box that is replaced during the partition gets the configuration from
    // its peer.
    fleet.kill_box(0, 1);
    fleet.start_box(0, 1);
    eventually("the replaced box is ready", || fleet.is_ready(0, 1));
    let reply = fleet.complete(
        plan.callers_address(0, 1),
        &[],
        &json!({"model": "log", "messages": [], "max_tokens": 2}),
    );
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    // A change during the partition takes effect in the other regions at once,
    // and in this one once the partition has healed.
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
fn successive_configurations_reach_all_regions() {
    let fleet = Fleet::start(three_region_plan(54));
    fleet.wait_for_members();
    let mut configuration = fleet.plan.configuration();
    for version in 2..6 {
        configuration["limits"]["body_bytes"] = json!(1000 + version);
        assert_eq!(fleet.apply("main", &configuration).expect("applied"), version);
        fleet.wait_for_version(version);
    }
}

#[test]
fn stale_store_does_not_downgrade_configuration() {
    let mut fleet = Fleet::start(three_region_plan(55));
    let plan = fleet.plan;
    fleet.wait_for_members();
    fleet.apply("main", &plan.configuration()).expect("applied");
    fleet.wait_for_version(2);
    fleet.platform.set_faults(platform::Faults { stale: true, ..Default::default() });
    // A new box reads version 1 from the store and version 2 from its peer.
    fleet.kill_box(0, 0);
    fleet.start_box(0, 0);
    eventually("the fresh box is ready", || fleet.is_ready(0, 0));
    assert_eq!(fleet.version(0, 0), 2, "ready with an older version than its peer's");
}

#[test]
fn concurrent_applies_succeed_or_conflict() {
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
        let tasks: Vec<_> = (0..4).map(apply).collect();
        tasks.into_iter().map(|task| task.join().expect("an apply task")).collect()
    });
    let succeeded = results.iter().filter(|result| result.is_ok()).count();
    assert!(succeeded >= 1, "{results:?}");
    for result in &results {
        match result {
            Ok(version) => assert!(*version > 1),
            Err(ApplyError::Conflict { based_on, current }) => assert!(current > based_on),
            Err(error) => panic!("{error}"),
        }
    }
    // Each successful apply added one version, and no failed one did.
    let again = fleet.apply("last", &json!({})).expect("applied");
    assert_eq!(again, 2 + succeeded as u64);
}

#[test]
fn lost_apply_response_is_resolved() {
    let fleet = Fleet::without_configuration(Plan::new(57));
    fleet.platform.set_faults(platform::Faults { lose_answers: 1, ..Default::default() });
    assert_eq!(fleet.apply("main", &fleet.plan.configuration()).expect("applied"), 1);
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let result = fleet.apply("main", &fleet.plan.configuration());
    assert!(matches!(result, Err(ApplyError::Platform(_))), "{result:?}");
}

#[test]
fn planned_stop_completes_streams() {
    let mut plan = Plan::new(58);
    plan.boxes = 2;
    plan.speed.token = Duration::from_millis(20);
    let mut fleet = Fleet::start(plan);
    eventually("the boxes know each other", || {
        fleet.list_boxes(plan.callers_address(0, 1)).boxes.len() == 2
    });
    let address = plan.callers_address(0, 0);
    let (client, runtime) = (fleet.client.clone(), fleet.runtime.handle().clone());
    let body =
        json!({"model": "log", "messages": [], "max_tokens": 100, "stream": true}).to_string();
    let streams: Vec<_> = (0..5)
        .map(|_| {
            let (client, body) = (client.clone(), body.clone());
            runtime.spawn(async move {
                let path = "/v1/chat/completions";
                common::send(&client, address, http::Method::POST, path, &[], &body).await
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let stopping = fleet.stop_box(0, 0);
    eventually("the other box no longer lists it", || {
        fleet.list_boxes(plan.callers_address(0, 1)).boxes.len() == 1
    });
    eventually("the leaving box refuses new work", || {
        let reply =
            fleet.complete(address, &[], &json!({"model": "log", "messages": [], "max_tokens": 1}));
        reply.code() == "leaving" && reply.header("copperweir-ran") == "no"
    });
    for stream in streams {
        let reply = fleet.block_on(stream).expect("a task").expect("a complete response");
        assert!(reply.body.ends_with(b"data: [DONE]\n\n"));
    }
    assert_eq!(stopping.join().expect("a stop"), StopOutcome::Done);
}

#[test]
fn leaving_server_gets_no_requests_during_store_outage() {
    let mut plan = Plan::new(59);
    plan.boxes = 3;
    plan.engines = 3;
    let fleet = Fleet::start(plan);
    fleet.wait_for_members();
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    fleet.engines[0][1].set_faults(engine::Faults { leaving: true, ..Default::default() });
    let complete_requests = |number: usize, count: usize| {
        for request_number in 0..count {
            let body = json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": number * 1000 + request_number});
            let reply = fleet.complete(plan.callers_address(0, number), &[], &body);
            assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        }
    };
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.engines[0][1].completions();
    for number in 0..3 {
        complete_requests(number, 30);
    }
    assert_eq!(fleet.engines[0][1].completions(), before);
}

#[test]
fn server_leaving_in_platform_list_gets_no_requests() {
    let mut plan = Plan::new(60);
    plan.engines = 2;
    let fleet = Fleet::start(plan);
    let leaving = vec!["north-engine-0".to_owned()];
    fleet.platform.set_faults(platform::Faults { leaving, ..Default::default() });
    let mut prompt_counter = 0;
    eventually("the server gets no new requests", || {
        let before = fleet.engines[0][0].completions();
        for prompt in 0..20 {
            prompt_counter += 1;
            let body = json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": prompt_counter * 100 + prompt});
            fleet.complete(plan.callers_address(0, 0), &[], &body);
        }
        fleet.engines[0][0].completions() == before
    });
}
