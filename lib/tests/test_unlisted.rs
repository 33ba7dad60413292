//! Boxes that send datagrams though the store does not list them.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::unlisted::MAX_NAMED_BOXES;
use copperweir_lib::coordination::unlisted::Neighbor;
use copperweir_lib::coordination::unlisted::Unlisted;

fn neighbor(box_hash: u64) -> Neighbor {
    Neighbor {
        box_hash,
        region: "r".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        handover_port: 81,
    }
}

/// Takes in the boxes that another box names in a datagram.
fn exchange(from: &Unlisted, to: &mut Unlisted, now: Instant) {
    for named in from.neighbor_records(now) {
        let at = now.checked_sub(Duration::from_millis(u64::from(named.heard_ms)));
        to.record(neighbor(named.box_hash), at.expect("a moment"));
    }
}

#[test]
fn boxes_that_name_a_stopped_box_to_each_other_do_not_keep_it() {
    let begin = Instant::now() + Duration::from_secs(60);
    let (mut first, mut second) = (Unlisted::default(), Unlisted::default());
    first.record(neighbor(7), begin);
    for number in 0..100 {
        let now = begin + Duration::from_millis(200) * number;
        if number == 5 {
            first.record(neighbor(7), begin + Duration::from_secs(1));
        }
        exchange(&first, &mut second, now);
        exchange(&second, &mut first, now);
        first.expire(now);
        second.expire(now);
        let kept = first.neighbors().count() + second.neighbors().count();
        let expected = match number {
            0..5 => 1,
            5..55 => 2,
            _ => 0,
        };
        assert_eq!(kept, expected, "after {number} datagrams");
    }
}

#[test]
fn a_box_that_the_store_lists_is_not_unlisted() {
    let now = Instant::now();
    let mut unlisted = Unlisted::default();
    unlisted.record(neighbor(7), now);
    unlisted.set_listed([7].into());
    assert_eq!(unlisted.neighbors().count(), 0);
    unlisted.record(neighbor(7), now);
    assert_eq!(unlisted.neighbors().count(), 0);
}

#[test]
fn a_datagram_names_a_bounded_number_of_boxes_the_newest_first() {
    let begin = Instant::now();
    let mut unlisted = Unlisted::default();
    for number in 0..100 {
        unlisted.record(neighbor(number), begin + Duration::from_millis(number));
    }
    let named = unlisted.neighbor_records(begin + Duration::from_millis(1100));
    let hashes: Vec<u64> = named.iter().map(|named| named.box_hash).collect();
    assert_eq!(hashes, (0..100).rev().take(MAX_NAMED_BOXES).collect::<Vec<u64>>());
}
