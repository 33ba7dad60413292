//! Tests which boxes the directory names.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::drain::Stage;
use copperweir_lib::coordination::freshness::Version;
use copperweir_lib::coordination::presence::Presence;
use copperweir_lib::coordination::presence::box_hash;
use copperweir_lib::coordination::reachability::PeerReachability;
use copperweir_lib::gateway::directory;
use copperweir_lib::gateway::directory::OwnBox;
use copperweir_lib::gateway::shared::Snapshot;
use copperweir_lib::protocol::adapter::DirectoryQuery;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::routing::Limits;
use copperweir_lib::protocol::routing::Repeatability;
use copperweir_lib::protocol::routing::Route;
use copperweir_lib::protocol::routing::Routing;

fn record(number: u8, region: &str, leaving: bool) -> BoxRecord {
    BoxRecord {
        name: format!("b{number}"),
        incarnation: 1,
        region: region.to_owned(),
        failure_domain: format!("hall-{region}"),
        callers: caller_address(number),
        peers: ([10, 0, 0, number], 81).into(),
        leaving,
        weight: 1.0,
        records_streams: true,
    }
}

fn caller_address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn route(prefix: &str, homes: &[&str]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        repeatability: Repeatability::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        priority: 0,
        services: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        resumable: false,
        anonymous: false,
        home_regions: homes.iter().map(|home| (*home).to_owned()).collect(),
    }
}

fn snapshot(boxes: Vec<BoxRecord>, homes: &[&str]) -> Snapshot {
    snapshot_with_routes(boxes, vec![route("/", homes)])
}

fn snapshot_with_routes(boxes: Vec<BoxRecord>, routes: Vec<Route>) -> Snapshot {
    let routing = Routing::new(1, routes, BTreeMap::new(), Limits::default());
    Snapshot {
        routing: Some(Arc::new(routing)),
        state: Version::default(),
        decided_at: Position::default(),
        fleet_size: boxes.len() + 1,
        boxes,
        expired_boxes: Vec::new(),
        slots: HashMap::new(),
        servers: HashMap::new(),
        software: HashMap::new(),
        versions: BTreeMap::new(),
        upgrading_servers: BTreeMap::new(),
        stage: Stage::Serving,
        has_started: true,
    }
}

fn addresses_with(
    snapshot: &Snapshot,
    presence: &Presence,
    own: &BoxRecord,
    now: Instant,
) -> (Vec<SocketAddr>, bool) {
    let own = OwnBox { record: own, is_isolated: false };
    let paths = PeerReachability::default();
    directory::addresses(snapshot, presence, &paths, own, &query_from("north"), now)
}

fn addresses(
    snapshot: &Snapshot,
    own: &BoxRecord,
    query_from: &DirectoryQuery,
) -> (Vec<SocketAddr>, bool) {
    let own = OwnBox { record: own, is_isolated: false };
    let (presence, paths) = (Presence::default(), PeerReachability::default());
    directory::addresses(snapshot, &presence, &paths, own, query_from, Instant::now())
}

fn query_from(region: &str) -> DirectoryQuery {
    DirectoryQuery {
        host: "h".to_owned(),
        region: region.to_owned(),
        failure_domain: format!("hall-{region}"),
    }
}

#[test]
fn directory_names_live_boxes_of_the_region() {
    let boxes =
        vec![record(2, "north", false), record(3, "north", true), record(4, "south", false)];
    let addresses_at =
        addresses(&snapshot(boxes, &[]), &record(1, "north", false), &query_from("north"));
    assert_eq!(addresses_at, (vec![caller_address(2), caller_address(1)], true));
}

#[test]
fn region_without_boxes_gets_boxes_of_allowed_regions() {
    let boxes = vec![record(2, "north", true), record(3, "south", false), record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north", "south"]);
    let addresses_at = addresses(&snapshot, &record(1, "west", false), &query_from("north"));
    assert_eq!(addresses_at, (vec![caller_address(3)], false));
}

#[test]
fn any_box_is_named_if_no_region_may_run_the_routes() {
    let boxes = vec![record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north"]);
    let addresses_at = addresses(&snapshot, &record(1, "west", false), &query_from("north"));
    assert_eq!(addresses_at, (vec![caller_address(4), caller_address(1)], false));
}

/// Some routes of a host have one home and others have two. No region may run all of them, and one
/// may run none of those with homes.
#[test]
fn regions_that_may_run_most_routes_are_preferred() {
    let boxes = vec![record(2, "north", true), record(3, "south", false), record(4, "west", false)];
    let routes = vec![
        route("/any/", &[]),
        route("/north/", &["north"]),
        route("/south/", &["south"]),
        route("/both/", &["north", "south"]),
    ];
    let snapshot = snapshot_with_routes(boxes, routes);
    let addresses_at = addresses(&snapshot, &record(1, "west", false), &query_from("north"));
    assert_eq!(addresses_at, (vec![caller_address(3)], false));
}

#[test]
fn box_that_reports_leaving_is_not_named_before_the_store_shows_it() {
    let boxes = vec![record(2, "north", false), record(3, "north", false)];
    let snapshot = snapshot(boxes, &[]);
    let now = Instant::now();
    let mut presence = Presence::default();
    assert!(presence.record_announcement(box_hash("b2"), 1, true, now));
    assert!(
        !presence.record_announcement(box_hash("b2"), 1, false, now),
        "an older datagram arrives late"
    );
    let addresses_at = |presence: &Presence, now| {
        let own = record(1, "south", false);
        addresses_with(&snapshot, presence, &own, now).0
    };
    assert_eq!(addresses_at(&presence, now), vec![caller_address(3)]);
    assert!(presence.record_announcement(box_hash("b2"), 2, false, now), "it has restarted");
    assert_eq!(addresses_at(&presence, now), vec![caller_address(2), caller_address(3)]);
    assert!(
        !presence.record_announcement(box_hash("b2"), 1, true, now),
        "a report of its earlier incarnation"
    );
    presence.record_announcement(box_hash("b3"), 1, true, now);
    presence.expire(now + Duration::from_secs(60));
    assert_eq!(
        addresses_at(&presence, now),
        vec![caller_address(2), caller_address(3)],
        "old reports have expired"
    );
}

/// All boxes in the routes' home regions leave one after the other, while another region is
/// unaffected.
#[test]
fn accepting_box_of_a_home_region_is_preferred_to_other_regions() {
    let boxes = vec![record(2, "north", true), record(3, "south", true), record(4, "west", false)];
    let snapshot = snapshot(boxes, &["north", "south"]);
    let (now, own) = (Instant::now(), record(1, "west", false));
    let mut presence = Presence::default();
    presence.record_announcement(box_hash("b3"), 1, true, now);
    let addresses_at = |now| addresses_with(&snapshot, &presence, &own, now);
    assert_eq!(addresses_at(now), (vec![caller_address(3)], false));
    let later = now + Duration::from_secs(2);
    assert_eq!(
        addresses_at(later),
        (vec![caller_address(4), caller_address(1)], false),
        "it no longer accepts connections"
    );
}
