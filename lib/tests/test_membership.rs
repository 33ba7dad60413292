//! Detection of dead members.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::membership::Config;
use copperweir_lib::coordination::membership::Membership;
use copperweir_lib::protocol::peer::Beat;
use copperweir_lib::protocol::peer::Member;
use copperweir_lib::protocol::peer::Phase;

fn member(name: &str, beat: u32) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000 + name.len() as u16));
    Member {
        name: name.to_owned(),
        region: "r".to_owned(),
        failure_domain: "a".to_owned(),
        caller_address: address,
        peer_address: address,
        incarnation: 1,
        beat,
        phase: Phase::Serving,
        configuration_version: 1,
        in_flight: 0,
        region_boxes: 2,
    }
}

#[test]
fn dead_member_stays_dead_until_it_refutes_its_death() {
    let mut membership = Membership::new(member("a", 1), Config::default());
    let now = Instant::now();
    membership.merge_member(member("bb", 20), now);
    let peer = member("bb", 20).peer_address;
    assert!(!membership.call_failed(peer, now), "dead after one failed call");
    assert!(membership.call_failed(peer, now), "alive after two failed calls");
    assert_eq!(membership.live(now).count(), 0);
    // Counters that were still in transit when the member was marked as dead.
    let id = member("bb", 20).id();
    let beat = |beat| Beat { member: id, beat };
    membership.merge_beats(&[beat(25)], now);
    assert_eq!(membership.live(now).count(), 0);
    membership.merge_member(member("bb", 31), now);
    assert_eq!(membership.live(now).count(), 1);
}

#[test]
fn box_whose_calls_all_fail_assumes_its_own_fault() {
    let mut membership = Membership::new(member("a", 1), Config::default());
    let now = Instant::now();
    let names: Vec<String> = (2..22).map(|length| "b".repeat(length)).collect();
    for name in &names {
        membership.merge_member(member(name, 5), now);
    }
    for _ in 0..3 {
        for name in &names {
            membership.call_failed(member(name, 5).peer_address, now);
        }
    }
    assert!(membership.live(now).count() >= names.len() / 2);
}

#[test]
fn box_refutes_its_own_death() {
    let mut membership = Membership::new(member("a", 7), Config::default());
    let record = Member { phase: Phase::Dead, beat: 17, ..member("a", 7) };
    membership.merge_member(record, Instant::now());
    assert!(membership.own().beat > 17);
    assert_eq!(membership.own().phase, Phase::Serving);
}

#[test]
fn unfrozen_box_keeps_other_members_alive() {
    let config = Config::default();
    let mut membership = Membership::new(member("a", 1), config.clone());
    let start = Instant::now();
    membership.merge_member(member("bb", 5), start);
    membership.tick(start + Duration::from_secs(1), Duration::ZERO);
    let frozen_for = Duration::from_secs(60);
    let now = start + Duration::from_secs(1) + frozen_for;
    membership.tick(now, frozen_for);
    assert_eq!(membership.live(now).count(), 1);
}
