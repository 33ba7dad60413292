//! Requests that must not be repeated run at most once.

mod common;

use std::time::Duration;

use common::Fleet;
use common::Plan;
use common::Reply;
use common::eventually;
use common::send;
use copperweir_standin::platform;
use copperweir_standin::service;
use http::Method;
use http::StatusCode;
use serde_json::json;

fn ran_header(reply: &Reply) -> &str {
    reply.header("copperweir-ran")
}

#[test]
fn repeated_key_replays_response() {
    let fleet = Fleet::start(Plan::new(30));
    let address = fleet.plan.callers_address(0, 0);
    for key in ["a key", &fleet.ticket(address)] {
        let id = format!("filing-{}", key.len());
        let first = fleet.submit_filing(address, &[("idempotency-key", key)], &id);
        let second = fleet.submit_filing(address, &[("idempotency-key", key)], &id);
        assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
        assert_eq!(second.body, first.body);
        assert_eq!(second.status, first.status);
        assert_eq!(fleet.run_count(&id), 1);
        let other = fleet.submit_filing(address, &[("idempotency-key", key)], "another");
        assert_eq!((other.code().as_str(), ran_header(&other)), ("key_reused", "no"));
        assert_eq!(fleet.run_count("another"), 0);
    }
}

#[test]
fn concurrent_duplicates_run_once() {
    let mut plan = Plan::new(31);
    plan.boxes = 3;
    let fleet = Fleet::start(plan);
    fleet.wait_for_members();
    fleet.service.set_faults(service::Faults { slow_ms: 100, ..Default::default() });
    let ticket = fleet.ticket(plan.callers_address(0, 1));
    for key in ["one key", &ticket] {
        let id = format!("filing-{}", key.len());
        let replies = fleet.block_on(async {
            let mut tasks = Vec::new();
            for number in 0..12 {
                let (client, key) = (fleet.client.clone(), key.to_owned());
                let (address, body) =
                    (plan.callers_address(0, number % 3), json!({"id": id}).to_string());
                tasks.push(tokio::spawn(async move {
                    let headers = [("idempotency-key", key.as_str())];
                    let path = "/services/intake/filings";
                    send(&client, address, Method::POST, path, &headers, &body).await
                }));
            }
            let mut replies = Vec::new();
            for reply in tasks {
                replies.push(reply.await.expect("a task").expect("a response"));
            }
            replies
        });
        assert_eq!(fleet.run_count(&id), 1, "{replies:?}");
        for reply in &replies {
            assert_eq!(reply.status, StatusCode::CREATED, "{reply:?}");
        }
    }
}

#[test]
fn lost_service_response_is_not_retried() {
    let fleet = Fleet::start(Plan::new(32));
    let address = fleet.plan.callers_address(0, 0);
    fleet.service.set_faults(service::Faults { lose_answers: 1, ..Default::default() });
    let ticket = fleet.ticket(address);
    let first = fleet.submit_filing(address, &[("idempotency-key", &ticket)], "lost");
    assert_eq!((first.code().as_str(), ran_header(&first)), ("backend_failed", "unknown"));
    let second = fleet.submit_filing(address, &[("idempotency-key", &ticket)], "lost");
    assert_eq!(ran_header(&second), "unknown");
    assert_eq!(fleet.run_count("lost"), 1);
    // A request without a key is not retried either.
    fleet.service.set_faults(service::Faults { lose_answers: 1, ..Default::default() });
    assert_eq!(ran_header(&fleet.submit_filing(address, &[], "keyless")), "unknown");
    assert_eq!(fleet.run_count("keyless"), 1);
}

#[test]
fn service_refusal_releases_key() {
    let fleet = Fleet::start(Plan::new(33));
    let address = fleet.plan.callers_address(0, 0);
    for key in ["a key", &fleet.ticket(address)] {
        let id = format!("filing-{}", key.len());
        fleet.service.set_faults(service::Faults { refuse: true, ..Default::default() });
        let refused = fleet.submit_filing(address, &[("idempotency-key", key)], &id);
        assert_eq!(ran_header(&refused), "no", "{refused:?}");
        assert_eq!(fleet.run_count(&id), 0);
        fleet.service.set_faults(service::Faults::default());
        eventually("the service accepts filings again", || {
            fleet.submit_filing(address, &[("idempotency-key", key)], &id).status
                == StatusCode::CREATED
        });
        assert_eq!(fleet.run_count(&id), 1);
    }
}

#[test]
fn ticket_works_without_store_but_caller_key_fails() {
    let fleet = Fleet::start(Plan::new(34));
    let address = fleet.plan.callers_address(0, 0);
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let bare = fleet.submit_filing(address, &[("idempotency-key", "bare")], "bare");
    assert_eq!((bare.code().as_str(), ran_header(&bare)), ("store_unavailable", "no"));
    assert_eq!(bare.header("retry-after"), "5");
    assert_eq!(fleet.run_count("bare"), 0);
    let ticket = fleet.ticket(address);
    let reply = fleet.submit_filing(address, &[("idempotency-key", &ticket)], "with ticket");
    assert_eq!(reply.status, StatusCode::CREATED);
}

#[test]
fn claim_is_read_back_after_lost_response() {
    let fleet = Fleet::start(Plan::new(35));
    let address = fleet.plan.callers_address(0, 0);
    // Announcements are writes as well, so enough responses are lost to include
    // the one to the claim.
    fleet.platform.set_faults(platform::Faults { lose_answers: 1000, ..Default::default() });
    let reply = fleet.submit_filing(address, &[("idempotency-key", "lost claim")], "claimed");
    assert_eq!(reply.status, StatusCode::CREATED, "{reply:?}");
    fleet.platform.set_faults(platform::Faults::default());
    let again = fleet.submit_filing(address, &[("idempotency-key", "lost claim")], "claimed");
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.run_count("claimed"), 1);
}

#[test]
fn key_owner_responds_through_any_box() {
    let mut plan = Plan::new(36);
    plan.regions = 2;
    plan.boxes = 2;
    let fleet = Fleet::start(plan);
    eventually("the boxes list each other", || {
        fleet.list_boxes(plan.callers_address(0, 0)).boxes.len() == 4
    });
    for (key, id) in [("bare", "f1"), (fleet.ticket(plan.callers_address(0, 0)).as_str(), "f2")] {
        let first =
            fleet.submit_filing(plan.callers_address(0, 0), &[("idempotency-key", key)], id);
        assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
        for address in
            [plan.callers_address(0, 1), plan.callers_address(1, 0), plan.callers_address(1, 1)]
        {
            let again = fleet.submit_filing(address, &[("idempotency-key", key)], id);
            assert_eq!(again.body, first.body, "{again:?}");
        }
        assert_eq!(fleet.run_count(id), 1);
    }
}

#[test]
fn key_of_replaced_owner_is_never_rerun() {
    let mut plan = Plan::new(37);
    plan.boxes = 2;
    let mut fleet = Fleet::start(plan);
    fleet.wait_for_members();
    let (owner, other) = (plan.callers_address(0, 0), plan.callers_address(0, 1));
    let (used, unused) = (fleet.ticket(owner), fleet.ticket(owner));
    assert_eq!(
        fleet.submit_filing(owner, &[("idempotency-key", &used)], "f1").status,
        StatusCode::CREATED
    );
    assert_eq!(
        fleet.submit_filing(owner, &[("idempotency-key", "bare")], "f2").status,
        StatusCode::CREATED
    );
    fleet.kill_box(0, 0);
    fleet.start_box(0, 0);
    fleet.wait_for_version(1);
    for address in [owner, other] {
        for (key, id) in [(used.as_str(), "f1"), ("bare", "f2"), (unused.as_str(), "f3")] {
            let reply = fleet.submit_filing(address, &[("idempotency-key", key)], id);
            assert_eq!(ran_header(&reply), "unknown", "{id}: {reply:?}");
        }
    }
    assert_eq!((fleet.run_count("f1"), fleet.run_count("f2"), fleet.run_count("f3")), (1, 1, 0));
}

#[test]
fn response_is_available_after_caller_disconnects() {
    let fleet = Fleet::start(Plan::new(38));
    let address = fleet.plan.callers_address(0, 0);
    fleet.service.set_faults(service::Faults { slow_ms: 300, ..Default::default() });
    let ticket = fleet.ticket(address);
    fleet.block_on(async {
        let headers = [("idempotency-key", ticket.as_str())];
        let body = json!({"id": "slow"}).to_string();
        let path = "/services/intake/filings";
        let request = send(&fleet.client, address, Method::POST, path, &headers, &body);
        let timed_out = tokio::time::timeout(Duration::from_millis(100), request).await;
        assert!(timed_out.is_err());
    });
    let reply = fleet.submit_filing(address, &[("idempotency-key", &ticket)], "slow");
    assert_eq!(reply.status, StatusCode::CREATED, "{reply:?}");
    assert_eq!(fleet.run_count("slow"), 1);
}

#[test]
fn request_that_may_have_run_is_not_retried_on_another_server() {
    let mut plan = Plan::new(39);
    plan.regions = 2;
    let fleet = Fleet::start(plan);
    let mut configuration = plan.configuration();
    // Two servers of one service in one region that share their state.
    configuration["services"]["intake"]["servers"] = json!({
        "one": {"region": "north", "failure_domain": "a", "address": plan.service_address(0).to_string()},
        "two": {"region": "north", "failure_domain": "a", "address": plan.service_address(1).to_string()},
    });
    fleet.apply("main", &configuration).expect("applied");
    fleet.wait_for_version(2);
    let address = plan.callers_address(0, 0);
    for round in 0..10 {
        fleet.service.set_faults(service::Faults { lose_answers: 1, ..Default::default() });
        let id = format!("lost-{round}");
        let key = fleet.ticket(address);
        let headers = [("idempotency-key", key.as_str())];
        let reply = fleet.submit_filing(address, if round % 2 == 0 { &headers } else { &[] }, &id);
        assert_eq!(ran_header(&reply), "unknown", "{reply:?}");
        assert_eq!(fleet.run_count(&id), 1, "{id}");
    }
}

/// Guards against a claim that is taken for absent because the store lost it.
#[test]
fn claim_lost_by_the_store_is_no_proof() {
    let mut plan = Plan::new(98);
    plan.boxes = 2;
    let fleet = Fleet::start(plan);
    fleet.wait_for_members();
    let backup = fleet.platform.back_up();
    let headers = [("idempotency-key", "bare")];
    let first = fleet.submit_filing(plan.callers_address(0, 0), &headers, "f1");
    assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
    fleet.platform.restore(backup);
    let again = fleet.submit_filing(plan.callers_address(0, 1), &headers, "f1");
    assert_eq!(fleet.run_count("f1"), 1, "{again:?}");
}
