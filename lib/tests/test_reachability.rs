//! Which boxes get requests while some boxes have lost paths to servers.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::reachability;
use copperweir_lib::coordination::reachability::PeerReachability;
use prost::Message;

const BOX: u64 = 7;
const SERVICE: u64 = 11;

fn report(number: u64, percent: Option<u32>) -> BoxReport {
    BoxReport {
        sender: BOX,
        incarnation: 1,
        number,
        limited_services: percent.map(|_| SERVICE).into_iter().collect(),
        reached_percent: percent.into_iter().collect(),
        isolated: percent == Some(0),
        ..BoxReport::default()
    }
}

#[test]
fn boxes_that_report_nothing_reach_all_servers() {
    let now = Instant::now();
    let mut peers = PeerReachability::default();
    assert_eq!(peers.share(BOX, SERVICE, now), 1.0);
    peers.receive(&report(1, None), now);
    assert_eq!(peers.share(BOX, SERVICE, now), 1.0);
    assert!(!peers.is_isolated(BOX, now));
}

#[test]
fn reports_survive_the_wire_and_concern_one_service() {
    let now = Instant::now();
    let mut peers = PeerReachability::default();
    let encoded = report(1, Some(0)).encode_to_vec();
    peers.receive(&BoxReport::decode(encoded.as_slice()).expect("a report"), now);
    assert_eq!(peers.share(BOX, SERVICE, now), 0.0);
    assert_eq!(peers.share(BOX, SERVICE + 1, now), 1.0);
    assert!(peers.is_isolated(BOX, now));
}

#[test]
fn reports_that_arrive_out_of_order_do_not_undo_newer_ones() {
    let now = Instant::now();
    let mut peers = PeerReachability::default();
    peers.receive(&report(2, None), now);
    peers.receive(&report(1, Some(0)), now);
    assert_eq!(peers.share(BOX, SERVICE, now), 1.0);
    peers.receive(&report(3, Some(20)), now);
    assert_eq!(peers.share(BOX, SERVICE, now), 0.2);
    let restarted = BoxReport { incarnation: 2, ..report(1, None) };
    peers.receive(&restarted, now);
    assert_eq!(peers.share(BOX, SERVICE, now), 1.0);
}

#[test]
fn a_box_that_refused_without_paths_is_left_out_for_a_while() {
    let now = Instant::now();
    let mut peers = PeerReachability::default();
    peers.record_refusal(BOX, SERVICE, now);
    assert_eq!(peers.share(BOX, SERVICE, now), 0.0);
    assert_eq!(peers.share(BOX, SERVICE, now + Duration::from_secs(2)), 1.0);
}

#[test]
fn a_report_that_is_not_repeated_expires() {
    let now = Instant::now();
    let mut peers = PeerReachability::default();
    peers.receive(&report(1, Some(0)), now);
    assert_eq!(peers.share(BOX, SERVICE, now + Duration::from_secs(60)), 1.0);
}

#[test]
fn a_box_keeps_as_many_requests_as_it_reaches_servers() {
    assert_eq!(reachability::detour_share(0.0, 1.0), 1.0);
    assert_eq!(reachability::detour_share(0.5, 1.0), 0.5);
    assert_eq!(reachability::detour_share(0.2, 0.2), 0.0);
    // A crashed server is lost to all boxes, but not all of them know yet.
    assert_eq!(reachability::detour_share(0.9, 1.0), 0.0);
    assert_eq!(reachability::detour_share(0.0, 0.0), 0.0);
}
