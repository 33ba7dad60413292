//! Which calls a box accepts from other boxes, and which it rejects.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::Fleet;
use common::Plan;
use copperweir_lib::protocol::peer::wire;
use copperweir_lib::protocol::peer::wire::forward_frame::Frame;
use copperweir_lib::transport::peer::Client;
use serde_json::json;

const SECRET: &str = "a secret for the tests";

/// A completion request for the first box of a region, as a peer would forward it.
fn forward_request(fleet: &Fleet, region: usize, model: &str) -> wire::ForwardRequest {
    let status = fleet.get(fleet.plan.operators_address(region, 0), "/status").json();
    let incarnation = status["incarnation"].as_str().unwrap_or_default();
    wire::ForwardRequest {
        request_id: "r-1".to_owned(),
        configuration_version: 1,
        purpose: wire::Purpose::Region.into(),
        visited: vec!["elsewhere".to_owned()],
        team: "anyone".to_owned(),
        method: "POST".to_owned(),
        path_and_query: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(json!({"model": model, "messages": [], "max_tokens": 1}).to_string()),
        timeout_ms: 2000,
        target_region: common::REGIONS[region].to_owned(),
        target_incarnation: u64::from_str_radix(incarnation, 16).expect("an incarnation"),
    }
}

/// Returns the error kind with which a forwarded request is rejected, "ran" if it is executed, or
/// the transport error.
fn forward_result(
    fleet: &Fleet,
    region: usize,
    secret: &str,
    forward_request: wire::ForwardRequest,
) -> String {
    let client = Client::new(secret, BTreeMap::new()).expect("a client");
    let address = fleet.plan.peers_address(region, 0);
    fleet.block_on(async {
        let mut frames = match client.forward(address, forward_request).await {
            Ok(frames) => frames,
            Err(error) => return error.to_string(),
        };
        match frames.message().await.expect("a frame").and_then(|frame| frame.frame) {
            Some(Frame::Failure(failure)) => {
                assert_eq!(failure.ran, "no", "{failure:?}");
                failure.kind
            }
            Some(Frame::Head(_)) => "ran".to_owned(),
            other => format!("{other:?}"),
        }
    })
}

#[test]
fn looping_or_misdirected_forwards_are_rejected() {
    let fleet = Fleet::start(Plan::new(80));
    let valid = forward_request(&fleet, 0, "log");
    assert_eq!(forward_result(&fleet, 0, SECRET, valid.clone()), "ran");
    let looping = wire::ForwardRequest { visited: vec![common::box_name(0, 0)], ..valid.clone() };
    assert_eq!(forward_result(&fleet, 0, SECRET, looping), "too_many_hops");
    let visited = ["a", "b", "c"].map(str::to_owned).to_vec();
    let too_many_visited = wire::ForwardRequest { visited, ..valid.clone() };
    assert_eq!(forward_result(&fleet, 0, SECRET, too_many_visited), "too_many_hops");
    let wrong_incarnation = wire::ForwardRequest { target_incarnation: 7, ..valid.clone() };
    assert_eq!(forward_result(&fleet, 0, SECRET, wrong_incarnation), "no_server");
    let wrong_region = wire::ForwardRequest { target_region: "south".to_owned(), ..valid.clone() };
    assert_eq!(forward_result(&fleet, 0, SECRET, wrong_region), "no_server");
    let newer_configuration = wire::ForwardRequest { configuration_version: 99, ..valid };
    assert_eq!(forward_result(&fleet, 0, SECRET, newer_configuration), "behind");
    assert_eq!(fleet.engines[0][0].completions_started(), 1);
}

#[test]
fn receiving_box_enforces_residency() {
    let mut plan = Plan::new(81);
    plan.regions = 2;
    let fleet = Fleet::start(plan);
    assert_eq!(
        forward_result(&fleet, 1, SECRET, forward_request(&fleet, 1, "log-first")),
        "outside_region"
    );
    assert_eq!(forward_result(&fleet, 0, SECRET, forward_request(&fleet, 0, "log-first")), "ran");
    assert_eq!(fleet.engines[1][0].completions_started(), 0);
}

#[test]
fn calls_without_the_shared_secret_are_rejected() {
    let fleet = Fleet::start(Plan::new(82));
    let error = forward_result(&fleet, 0, "another secret", forward_request(&fleet, 0, "log"));
    assert!(error.contains("shared secret"), "{error}");
    assert_eq!(fleet.engines[0][0].completions_started(), 0);
    assert!(fleet.counter(0, 0, "peer_refused") > 0);
}
