//! Which senders of datagrams are boxes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::senders::Senders;
use copperweir_lib::coordination::senders::UNNAMED;
use copperweir_lib::coordination::unlisted::Neighbor;

const ROUND: Duration = Duration::from_millis(200);

fn address(number: u32) -> SocketAddr {
    let [_, a, b, c] = number.to_be_bytes();
    ([10, a, b, c], 7660).into()
}

/// The box `number`, at its own address.
fn neighbor(number: u32, region: &str) -> Neighbor {
    Neighbor {
        box_hash: 1000 + u64::from(number),
        region: region.to_owned(),
        address: address(number),
        handover_port: 8146,
    }
}

/// Records the claim of a box and answers its check.
fn check(senders: &mut Senders, neighbor: &Neighbor, has_confirmed: bool, now: Instant) {
    senders.record_claim(neighbor.clone(), "north", now);
    let checks = senders.take_checks(now);
    assert_eq!(checks, std::slice::from_ref(neighbor));
    senders.record_check(neighbor, has_confirmed, now);
}

#[test]
fn a_listed_box_sends_from_its_address_and_under_its_name_only() {
    let now = Instant::now();
    let mut senders = Senders::default();
    senders.set_listed([(address(1), 1), (address(2), 2)].into_iter());
    assert!(senders.is_box(1, address(1), now));
    assert!(senders.is_box(UNNAMED, address(1), now));
    assert!(!senders.is_box(1, address(2), now), "another box's address");
    assert!(!senders.is_box(1, address(3), now));
    assert!(!senders.is_box(UNNAMED, address(3), now));
}

/// Guards against the loss of a box whose address was that of a removed one.
#[test]
fn an_address_may_belong_to_a_box_and_to_the_one_before_it() {
    let now = Instant::now();
    let mut senders = Senders::default();
    senders.set_listed([(address(1), 1), (address(1), 2)].into_iter());
    assert!(senders.is_box(1, address(1), now) && senders.is_box(2, address(1), now));
}

#[test]
fn an_unlisted_box_counts_once_it_has_confirmed() {
    let now = Instant::now();
    let mut senders = Senders::default();
    let other = neighbor(7, "north");
    assert!(!senders.is_box(other.box_hash, other.address, now));
    check(&mut senders, &other, true, now);
    assert!(senders.is_box(other.box_hash, other.address, now));
    assert!(!senders.is_box(1, other.address, now), "it confirmed one name");
    assert!(!senders.is_box(other.box_hash, address(8), now), "and one address");
    senders.begin_round(now + Duration::from_secs(11));
    assert!(!senders.is_box(other.box_hash, other.address, now), "it has fallen silent");
}

#[test]
fn a_sender_that_does_not_confirm_is_checked_ever_less_often() {
    let start = Instant::now();
    let mut senders = Senders::default();
    let other = neighbor(7, "north");
    let mut checked_at = Vec::new();
    for round in 0..150 {
        let now = start + ROUND * round;
        senders.begin_round(now);
        senders.record_claim(other.clone(), "north", now);
        if !senders.take_checks(now).is_empty() {
            checked_at.push((ROUND * round).as_secs());
            senders.record_check(&other, false, now);
        }
        assert!(!senders.is_box(other.box_hash, other.address, now));
    }
    assert_eq!(checked_at, [0, 1, 3, 7, 15, 23]);
}

/// Guards against boxes that check each other while a whole fleet starts.
#[test]
fn a_box_of_another_region_is_checked_only_if_it_stays_unlisted() {
    let start = Instant::now();
    let mut senders = Senders::default();
    senders.record_claim(neighbor(7, "south"), "north", start);
    assert!(senders.take_checks(start + ROUND).is_empty());
    assert_eq!(senders.take_checks(start + Duration::from_secs(1)).len(), 1);
}

/// Guards against a flood of made-up senders that takes memory or connections without bound.
#[test]
fn made_up_senders_are_bounded_and_do_not_displace_confirmed_boxes() {
    let start = Instant::now();
    let mut senders = Senders::default();
    let other = neighbor(0, "north");
    check(&mut senders, &other, true, start);
    let mut checks = 0;
    for round in 1..=10 {
        let now = start + ROUND * round;
        senders.begin_round(now);
        for number in 1..2000 {
            senders.record_claim(neighbor(round * 10_000 + number, "north"), "north", now);
            checks += senders.take_checks(now).len();
        }
        assert!(senders.is_box(other.box_hash, other.address, now));
        assert!(senders.claim_count() <= 1024);
    }
    assert_eq!(checks, 4 * 10, "four in each round");
}

/// Guards against one process that takes all the room by naming many boxes.
#[test]
fn an_address_has_room_for_one_sender() {
    let now = Instant::now();
    let mut senders = Senders::default();
    for box_hash in 0..100 {
        senders.record_claim(Neighbor { box_hash, ..neighbor(7, "north") }, "north", now);
    }
    assert_eq!(senders.claim_count(), 1);
}

/// Guards against the name of one box that is checked, and the name of another one that counts.
#[test]
fn a_name_that_changes_during_its_check_is_not_confirmed() {
    let now = Instant::now();
    let mut senders = Senders::default();
    let other = neighbor(7, "north");
    senders.record_claim(other.clone(), "north", now);
    senders.take_checks(now);
    senders.record_claim(Neighbor { box_hash: 5, ..other.clone() }, "north", now);
    assert!(!senders.record_check(&other, true, now));
    assert!(!senders.is_box(5, other.address, now));
}

/// Guards against a box that stays unknown because another one had its address before.
#[test]
fn a_box_that_takes_the_place_of_another_one_has_to_confirm() {
    let now = Instant::now();
    let mut senders = Senders::default();
    let first = neighbor(7, "north");
    check(&mut senders, &first, true, now);
    let second = Neighbor { box_hash: 5, ..first };
    check(&mut senders, &second, true, now);
    assert!(senders.is_box(5, second.address, now));
}

/// Guards against claims about callers from hosts without a box.
#[test]
fn hosts_of_listed_and_confirmed_boxes_are_known() {
    let now = Instant::now();
    let mut senders = Senders::default();
    senders.set_listed([(address(1), 1)].into_iter());
    let (second, third) = (neighbor(2, "north"), neighbor(3, "north"));
    check(&mut senders, &second, true, now);
    check(&mut senders, &third, false, now);
    let is_known = |number| senders.is_box_host(address(number).ip());
    assert_eq!([1, 2, 3, 4].map(is_known), [true, true, false, false]);
    senders.set_listed(std::iter::empty());
    assert!(!senders.is_box_host(address(1).ip()));
}
