//! What a box concludes from the probes of several boxes.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::protocol::name_hash;
use copperweir_lib::protocol::peer::ServerReport;
use copperweir_lib::state::load::ServerLoads;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

fn report(reachable: bool) -> ServerReport {
    ServerReport {
        server: name_hash("e1"),
        load: 0,
        reachable,
        leaving: false,
        listed: false,
        age: Duration::ZERO,
    }
}

fn is_reachable(loads: &ServerLoads) -> bool {
    loads.get(&"e1".to_owned()).expect("an observation").reachable
}

#[test]
fn probes_of_a_box_without_a_path_do_not_hide_a_server_that_another_box_reaches() {
    let (mut loads, start) = (ServerLoads::default(), Instant::now());
    for number in 0..20 {
        let now = start + PROBE_INTERVAL * number;
        loads.observe(&report(true), now);
        loads.observe(&report(false), now + PROBE_INTERVAL / 2);
        assert!(is_reachable(&loads), "after {number} probes");
    }
}

#[test]
fn a_server_that_no_box_reaches_is_unreachable_within_three_probes() {
    let (mut loads, start) = (ServerLoads::default(), Instant::now());
    loads.observe(&report(true), start);
    let changes: Vec<bool> = (1..=4)
        .map(|number| loads.observe(&report(false), start + PROBE_INTERVAL * number))
        .collect();
    assert_eq!(changes.iter().filter(|changed| **changed).count(), 1);
    assert!(changes[..3].contains(&true) && !is_reachable(&loads));
    assert!(loads.observe(&report(true), start + PROBE_INTERVAL * 5) && is_reachable(&loads));
}

#[test]
fn a_server_that_was_never_reached_is_unreachable_at_once() {
    let mut loads = ServerLoads::default();
    assert!(loads.observe(&report(false), Instant::now()) && !is_reachable(&loads));
}
