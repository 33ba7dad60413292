//! What a box takes from other boxes, and what it refuses.

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

/// A completion passed on to the first box of a region, as if by a peer.
fn request(fleet: &Fleet, region: usize, model: &str) -> wire::ForwardRequest {
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

/// The kind of failure that a passed-on request is refused with; "ran" if it is run.
fn refusal(fleet: &Fleet, region: usize, secret: &str, request: wire::ForwardRequest) -> String {
    let client = Client::new(secret, BTreeMap::new()).expect("a client");
    let address = fleet.plan.peers_address(region, 0);
    fleet.block_on(async {
        let mut frames = match client.forward(address, request).await {
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
fn a_request_that_comes_back_or_went_too_far_is_refused() {
    let fleet = Fleet::start(Plan::new(80));
    let well = request(&fleet, 0, "log");
    assert_eq!(refusal(&fleet, 0, SECRET, well.clone()), "ran");
    let back = wire::ForwardRequest { visited: vec![common::box_name(0, 0)], ..well.clone() };
    assert_eq!(refusal(&fleet, 0, SECRET, back), "too_many_hops");
    let visited = ["a", "b", "c"].map(str::to_owned).to_vec();
    let far = wire::ForwardRequest { visited, ..well.clone() };
    assert_eq!(refusal(&fleet, 0, SECRET, far), "too_many_hops");
    let replaced = wire::ForwardRequest { target_incarnation: 7, ..well.clone() };
    assert_eq!(refusal(&fleet, 0, SECRET, replaced), "no_server");
    let elsewhere = wire::ForwardRequest { target_region: "south".to_owned(), ..well.clone() };
    assert_eq!(refusal(&fleet, 0, SECRET, elsewhere), "no_server");
    let ahead = wire::ForwardRequest { configuration_version: 99, ..well };
    assert_eq!(refusal(&fleet, 0, SECRET, ahead), "behind");
    assert_eq!(fleet.engines[0][0].completions(), 1);
}

#[test]
fn a_box_of_another_region_checks_the_rule_itself() {
    let mut plan = Plan::new(81);
    plan.regions = 2;
    let fleet = Fleet::start(plan);
    assert_eq!(refusal(&fleet, 1, SECRET, request(&fleet, 1, "log-first")), "outside_region");
    assert_eq!(refusal(&fleet, 0, SECRET, request(&fleet, 0, "log-first")), "ran");
    assert_eq!(fleet.engines[1][0].completions(), 0);
}

#[test]
fn only_boxes_with_the_secret_are_let_in() {
    let fleet = Fleet::start(Plan::new(82));
    let answer = refusal(&fleet, 0, "another secret", request(&fleet, 0, "log"));
    assert!(answer.contains("shared secret"), "{answer}");
    assert_eq!(fleet.engines[0][0].completions(), 0);
    assert!(fleet.counter(0, 0, "peer_refused") > 0);
}
