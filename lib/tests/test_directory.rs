//! Which boxes the directory names.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::drain::Stage;
use copperweir_lib::coordination::presence::Presence;
use copperweir_lib::coordination::presence::box_hash;
use copperweir_lib::gateway::directory;
use copperweir_lib::gateway::shared::Snapshot;
use copperweir_lib::protocol::adapter::Question;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Method;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;

fn record(number: u8, region: &str, leaving: bool) -> BoxRecord {
    BoxRecord {
        name: format!("b{number}"),
        incarnation: 1,
        region: region.to_owned(),
        failure_domain: format!("hall-{region}"),
        callers: address(number),
        peers: ([10, 0, 0, number], 81).into(),
        leaving,
        weight: 1.0,
    }
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn route(prefix: &str, homes: &[&str]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        method: Method::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        services: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        resumable: false,
        anonymous: false,
        homes: homes.iter().map(|home| (*home).to_owned()).collect(),
    }
}

fn snapshot(boxes: Vec<BoxRecord>, homes: &[&str]) -> Snapshot {
    with_routes(boxes, vec![route("/", homes)])
}

fn with_routes(boxes: Vec<BoxRecord>, routes: Vec<Route>) -> Snapshot {
    let routing = Routing::new(1, routes, BTreeMap::new(), Limits::default());
    Snapshot {
        routing: Some(Arc::new(routing)),
        fleet: boxes.len() + 1,
        boxes,
        lost: Vec::new(),
        slots: HashMap::new(),
        servers: HashMap::new(),
        stage: Stage::Serving,
    }
}

fn addresses(snapshot: &Snapshot, own: &BoxRecord, question: &Question) -> (Vec<SocketAddr>, bool) {
    directory::addresses(snapshot, &Presence::default(), own, question, Instant::now())
}

fn question(region: &str) -> Question {
    Question {
        host: "h".to_owned(),
        region: region.to_owned(),
        failure_domain: format!("hall-{region}"),
    }
}

#[test]
fn living_boxes_of_the_region_are_named() {
    let boxes =
        vec![record(2, "north", false), record(3, "north", true), record(4, "south", false)];
    let named = addresses(&snapshot(boxes, &[]), &record(1, "north", false), &question("north"));
    assert_eq!(named, (vec![address(2), address(1)], true));
}

#[test]
fn a_region_without_a_box_is_sent_where_its_requests_may_run() {
    let boxes = vec![record(2, "north", true), record(3, "south", false), record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north", "south"]);
    let named = addresses(&snapshot, &record(1, "west", false), &question("north"));
    assert_eq!(named, (vec![address(3)], false));
}

#[test]
fn any_box_is_better_than_none() {
    let boxes = vec![record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north"]);
    let named = addresses(&snapshot, &record(1, "west", false), &question("north"));
    assert_eq!(named, (vec![address(4), address(1)], false));
}

/// Some routes of a host have one home, others have two: no region may run all of them, and yet
/// one may run none.
#[test]
fn regions_that_may_run_most_of_a_host_come_before_others() {
    let boxes = vec![record(2, "north", true), record(3, "south", false), record(4, "west", false)];
    let routes = vec![
        route("/any/", &[]),
        route("/north/", &["north"]),
        route("/south/", &["south"]),
        route("/both/", &["north", "south"]),
    ];
    let snapshot = with_routes(boxes, routes);
    let named = addresses(&snapshot, &record(1, "west", false), &question("north"));
    assert_eq!(named, (vec![address(3)], false));
}

#[test]
fn a_box_that_says_that_it_leaves_is_not_named_though_the_store_has_not_heard() {
    let boxes = vec![record(2, "north", false), record(3, "north", false)];
    let snapshot = snapshot(boxes, &[]);
    let now = Instant::now();
    let mut presence = Presence::default();
    assert!(presence.record_announcement(box_hash("b2"), 1, true, now));
    assert!(
        !presence.record_announcement(box_hash("b2"), 1, false, now),
        "an older datagram that came late"
    );
    let named = |presence: &Presence, now| {
        let own = record(1, "south", false);
        directory::addresses(&snapshot, presence, &own, &question("north"), now).0
    };
    assert_eq!(named(&presence, now), vec![address(3)]);
    assert!(
        presence.record_announcement(box_hash("b2"), 2, false, now),
        "it is back in a new life"
    );
    assert_eq!(named(&presence, now), vec![address(2), address(3)]);
    assert!(
        !presence.record_announcement(box_hash("b2"), 1, true, now),
        "a word of the life before"
    );
    presence.record_announcement(box_hash("b3"), 1, true, now);
    presence.expire(now + Duration::from_secs(60));
    assert_eq!(named(&presence, now), vec![address(2), address(3)], "old words no longer count");
}

/// All boxes where the routes have their homes leave in turn, and another region is whole.
#[test]
fn a_home_box_that_still_accepts_comes_before_regions_that_are_no_home() {
    let boxes = vec![record(2, "north", true), record(3, "south", true), record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north", "south"]);
    let (now, own) = (Instant::now(), record(1, "west", false));
    let mut presence = Presence::default();
    presence.record_announcement(box_hash("b3"), 1, true, now);
    let named = |now| directory::addresses(&snapshot, &presence, &own, &question("north"), now);
    assert_eq!(named(now), (vec![address(3)], false));
    let later = now + Duration::from_secs(2);
    assert_eq!(named(later), (vec![address(4), address(1)], false), "it accepts no more");
}
