//! Boxes that start together and get the state from each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::join_tree::JoinTree;

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    ([10, 0, high, low], 80).into()
}

/// Number of steps from each box to the first one.
fn depths(boxes: u16) -> Vec<usize> {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    let mut depths: HashMap<SocketAddr, usize> = HashMap::new();
    for number in 0..boxes {
        let referrals = tree.add("hall", address(number), now);
        let depth = referrals.first().map_or(0, |parent| depths[parent] + 1);
        depths.insert(address(number), depth);
    }
    depths.into_values().collect()
}

#[test]
fn depth_grows_with_the_logarithm_of_the_boxes() {
    for (boxes, deepest) in [(1, 0), (5, 1), (21, 2), (85, 3), (341, 4), (1365, 5)] {
        assert_eq!(depths(boxes).into_iter().max(), Some(deepest), "{boxes} boxes");
    }
}

#[test]
fn no_box_hands_the_state_to_more_than_four_others() {
    let mut tree = JoinTree::default();
    let mut children: HashMap<SocketAddr, usize> = HashMap::new();
    for number in 0..2_000 {
        if let Some(parent) = tree.add("hall", address(number), Instant::now()).first() {
            *children.entry(*parent).or_default() += 1;
        }
    }
    assert_eq!(children.into_values().max(), Some(4));
}

#[test]
fn failure_domains_have_trees_of_their_own() {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    assert!(tree.add("one", address(1), now).is_empty());
    assert!(tree.add("other", address(2), now).is_empty());
    assert_eq!(tree.add("one", address(3), now), [address(1)]);
}

#[test]
fn first_box_stays_first_while_it_waits_for_the_seed() {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    tree.add("hall", address(1), now);
    tree.add("hall", address(2), now);
    assert!(tree.add("hall", address(1), now).is_empty());
}

#[test]
fn box_whose_referrals_are_gone_gets_the_state_from_the_seed() {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    for number in 0..8 {
        tree.add("hall", address(number), now);
    }
    assert_eq!(tree.add("hall", address(8), now), [address(1), address(0)]);
    assert_eq!(tree.add("hall", address(8), now), [address(0)]);
    assert!(tree.add("hall", address(8), now).is_empty());
}

#[test]
fn boxes_that_started_long_ago_are_not_referred_to() {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    tree.add("hall", address(1), now);
    assert!(tree.add("hall", address(2), now + Duration::from_secs(20)).is_empty());
}

/// Guards against memory that grows with the names that queries make up.
#[test]
fn number_of_failure_domains_is_bounded() {
    let mut tree = JoinTree::default();
    let now = Instant::now();
    for number in 0..1000 {
        assert!(tree.add(&format!("hall-{number}"), address(number), now).is_empty());
    }
    assert_eq!(tree.domain_count(), 256);
    assert_eq!(tree.add("hall-1", address(1001), now), [address(1)], "known ones go on");
    assert!(tree.add(&"x".repeat(300), address(1002), now).is_empty());
}
