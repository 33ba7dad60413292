//! How recent a box's state is, and which box it queries for a newer one.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::freshness::Freshness;
use copperweir_lib::coordination::freshness::PeerState;
use copperweir_lib::coordination::freshness::Version;
use copperweir_lib::gateway::replica::Replica;
use copperweir_lib::protocol::adapter::KeyValue;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::platform::Revision;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
/// Maximum latency of a report from a box of the same region.
const LATENCY: Duration = Duration::from_millis(10);

fn position(revision: Revision) -> Position {
    Position { era: 1, revision }
}

fn version(revision: Revision) -> Version {
    Version { position: position(revision), digest: revision }
}

/// Address at which a box can be queried for its state.
fn address(sender: u64) -> SocketAddr {
    ([10, 0, 0, sender as u8], 80).into()
}

/// Records that the store has confirmed a state, or sent it.
fn confirmed_by_store(freshness: &mut Freshness, version: Version, now: Instant) {
    freshness.record_state(version, Some(now), now);
}

fn peer(sender: u64, version: Version, age: Duration) -> PeerState {
    PeerState { sender, address: address(sender), version, age, is_same_region: true }
}

#[test]
fn the_state_ages_from_the_last_confirmation_by_the_store() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(now), None);
    confirmed_by_store(&mut freshness, version(5), now);
    assert_eq!(freshness.age(now + SECOND), Some(SECOND));
    confirmed_by_store(&mut freshness, version(5), now + SECOND);
    assert_eq!(freshness.age(now + SECOND), Some(Duration::ZERO));
}

#[test]
fn few_boxes_check_for_changes_and_all_if_none_of_them_reports() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version(5), now);
    let probability =
        |boxes, ms| freshness.check_probability(boxes, now + Duration::from_millis(ms));
    assert_eq!(probability(1, 700), 0.0);
    assert_eq!(probability(1, 900), 1.0);
    for boxes in [9, 340] {
        let looking = boxes as f64 * probability(boxes, 900);
        assert!((1.9..=2.1).contains(&looking), "{looking} of {boxes}");
        assert_eq!(probability(boxes, 2500), 1.0);
    }
}

#[test]
fn a_box_that_knows_no_newer_state_confirms_this_one() {
    let now = Instant::now() + 10 * SECOND;
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version(5), now);
    let later = now + 9 * SECOND;
    freshness.record_peer(&peer(1, version(5), SECOND), later);
    assert_eq!(freshness.age(later), Some(SECOND + LATENCY));
    freshness.record_peer(&peer(2, version(4), Duration::ZERO), later);
    assert_eq!(freshness.age(later), Some(LATENCY));
    assert_eq!(freshness.peer_to_query(Duration::ZERO, later), None);
}

#[test]
fn a_box_with_a_newer_state_is_asked_and_no_box_confirms_the_old_one() {
    let now = Instant::now() + 10 * SECOND;
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version(5), now);
    freshness.record_peer(&peer(1, version(7), Duration::ZERO), now);
    freshness.record_peer(&peer(2, version(6), Duration::ZERO), now);
    freshness.record_peer(&peer(3, version(5), Duration::ZERO), now + SECOND);
    let later = now + 2 * SECOND;
    assert_eq!(freshness.age(later), Some(2 * SECOND));
    assert_eq!(freshness.peer_to_query(3 * SECOND, later), None);
    assert_eq!(freshness.peer_to_query(2 * SECOND, later), Some(address(1)));
    freshness.record_state(version(7), Some(now), later);
    assert_eq!(freshness.peer_to_query(Duration::ZERO, later), None);
}

#[test]
fn a_box_that_catches_up_step_by_step_is_not_behind_for_long() {
    let mut now = Instant::now();
    let mut freshness = Freshness::default();
    for revision in 1..10 {
        confirmed_by_store(&mut freshness, version(revision), now);
        freshness.record_peer(&peer(1, version(revision + 1), Duration::ZERO), now);
        now += SECOND;
        assert_eq!(freshness.peer_to_query(2 * SECOND, now), None);
    }
}

#[test]
fn a_box_with_a_newer_state_that_does_not_respond_is_not_asked_again_at_once() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version(5), now);
    freshness.record_peer(&peer(1, version(7), Duration::ZERO), now);
    freshness.forget_newer_peer();
    assert_eq!(freshness.peer_to_query(Duration::ZERO, now), None);
    freshness.record_peer(&peer(2, version(6), Duration::ZERO), now);
    assert_eq!(freshness.peer_to_query(Duration::ZERO, now), Some(address(2)));
}

fn item(key: &str, revision: Revision) -> KeyValue {
    KeyValue { key: key.to_owned(), value: Bytes::new(), revision }
}

#[test]
fn equal_replicas_have_equal_digests_whatever_their_history() {
    let mut one = Replica::default();
    one.insert(&item("a", 1));
    one.insert(&item("b", 2));
    one.insert(&item("a", 3));
    one.remove("b");
    one.advance_to(position(4));
    let mut other = Replica::default();
    other.insert(&item("gone", 1));
    other.insert(&item("a", 3));
    other.retain_keys(&BTreeSet::from(["a".to_owned()]));
    // The store's revision may grow without a change of a key.
    other.advance_to(position(6));
    assert_eq!(one.version().digest, other.version().digest);
    assert!(!other.version().is_ahead_of(&one.version()));
    other.insert(&item("b", 6));
    assert!(other.version().is_ahead_of(&one.version()));
    assert!(!one.version().is_ahead_of(&other.version()));
}

#[test]
fn a_replica_catches_up_from_written_items_and_remaining_keys() {
    let mut one = Replica::default();
    let mut other = Replica::default();
    for replica in [&mut one, &mut other] {
        replica.insert(&item("a", 1));
        replica.insert(&item("b", 2));
        replica.advance_to(position(2));
    }
    other.remove("a");
    other.insert(&item("c", 4));
    other.advance_to(position(4));
    for key in one.keys_not_in(&other.key_hashes().collect()) {
        one.remove(&key);
    }
    let written: Vec<KeyValue> = other.items_written_after(one.version().position).collect();
    assert_eq!(written, [item("c", 4)]);
    written.iter().for_each(|item| one.insert(item));
    one.advance_to(position(4));
    assert_eq!(one.version(), other.version());
}

/// Transfers the entries that one replica lacks from the other, as boxes do.
fn catch_up(behind: &mut Replica, ahead: &Replica) {
    let after = behind.version().position;
    let removed: HashSet<u64> = ahead.removed_after(after).expect("not long ago").collect();
    for key in behind.keys_in(&removed) {
        behind.remove(&key);
    }
    ahead.items_written_after(after).for_each(|item| behind.insert(&item));
    behind.advance_to(ahead.version().position);
}

proptest! {
    #[test]
    fn removals_and_writes_make_replicas_equal(
        changes in prop::collection::vec((0..6u8, any::<bool>(), any::<bool>(), any::<bool>()), 0..60)
    ) {
        let (mut ahead, mut behind) = (Replica::default(), Replica::default());
        ahead.advance_to(position(1));
        behind.advance_to(position(1));
        let mut revision = 1;
        for (key, written, end_of_batch, asks) in changes {
            revision += 1;
            let key = format!("k{key}");
            if written {
                ahead.insert(&item(&key, revision));
            } else {
                ahead.remove(&key);
            }
            if end_of_batch {
                ahead.advance_to(position(revision));
                if asks {
                    catch_up(&mut behind, &ahead);
                    prop_assert_eq!(behind.version(), ahead.version());
                }
            }
        }
        ahead.advance_to(position(revision));
        catch_up(&mut behind, &ahead);
        prop_assert_eq!(behind.version(), ahead.version());
    }
}

/// A change used to be sent with the hashes of all keys, 8 bytes each.
#[test]
fn a_removal_is_sent_without_other_keys() {
    let mut replica = Replica::default();
    (0..3000).for_each(|number| replica.insert(&item(&format!("k{number}"), 1)));
    replica.advance_to(position(1));
    replica.remove("k7");
    replica.advance_to(position(2));
    let removals = |after| replica.removed_after(position(after)).map(|removed| removed.count());
    assert_eq!([removals(0), removals(1), removals(2)], [None, Some(1), Some(0)]);
}

#[test]
fn a_replica_reports_that_it_no_longer_knows_old_removals() {
    let mut replica = Replica::default();
    replica.advance_to(position(1));
    for number in 0..2000 {
        replica.insert(&item(&format!("k{number}"), 2));
        replica.remove(&format!("k{number}"));
        replica.advance_to(position(3 + number));
    }
    assert!(replica.removed_after(position(1)).is_none());
    assert_eq!(replica.removed_after(position(2001)).map(|removed| removed.count()), Some(1));
    // The same holds after a complete read.
    replica.retain_keys(&BTreeSet::new());
    replica.advance_to(position(3000));
    assert!(replica.removed_after(position(2999)).is_none());
}

fn version_in(era: u64, revision: Revision) -> Version {
    Version { position: Position { era, revision }, digest: era << 32 | revision }
}

#[test]
fn a_later_era_is_ahead_whatever_its_revision_and_an_earlier_one_never() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version_in(1, 9), now);
    assert!(!freshness.record_peer(&peer(1, version_in(0, 20), Duration::ZERO), now));
    assert!(freshness.record_peer(&peer(2, version_in(2, 7), Duration::ZERO), now));
    assert_eq!(freshness.peer_to_query(Duration::ZERO, now), Some(address(2)));
    // Between two newer states, the later era counts as well.
    freshness.record_peer(&peer(3, version_in(1, 12), Duration::ZERO), now);
    assert_eq!(freshness.peer_to_query(Duration::ZERO, now), Some(address(2)));
}

#[test]
fn boxes_with_the_old_history_do_not_confirm_each_other_after_a_rollback() {
    let start = Instant::now();
    let now = start + 10 * SECOND;
    let mut freshness = Freshness::default();
    confirmed_by_store(&mut freshness, version_in(1, 9), start);
    freshness.set_newest_era(2);
    assert!(freshness.is_superseded());
    freshness.record_peer(&peer(1, version_in(1, 9), Duration::ZERO), now);
    assert_eq!(freshness.age(now), Some(10 * SECOND));
    confirmed_by_store(&mut freshness, version_in(2, 7), now);
    assert!(!freshness.is_superseded());
    let later = now + SECOND;
    freshness.record_peer(&peer(1, version_in(1, 9), Duration::ZERO), later);
    assert_eq!(
        freshness.age(later),
        Some(SECOND),
        "a box with the old history cannot confirm the new state"
    );
}

#[test]
fn another_value_of_the_same_revision_changes_the_digest() {
    let (mut one, mut other) = (Replica::default(), Replica::default());
    one.insert(&item("a", 3));
    other.insert(&KeyValue { value: Bytes::from_static(b"other"), ..item("a", 3) });
    assert_ne!(one.version().digest, other.version().digest);
    let known_digests = one.digests().collect();
    assert_eq!(other.items_not_in(&known_digests).count(), 1);
    assert_eq!(one.items_not_in(&known_digests).count(), 0);
}

#[test]
fn a_replica_of_another_history_gets_all_keys() {
    let mut replica = Replica::default();
    replica.insert(&item("a", 3));
    replica.advance_to(Position { era: 1, revision: 5 });
    replica.remove("a");
    replica.insert(&item("b", 4));
    replica.advance_to(Position { era: 2, revision: 4 });
    assert_eq!(replica.items_written_after(Position { era: 1, revision: 5 }).count(), 1);
    assert!(replica.removed_after(Position { era: 1, revision: 5 }).is_none());
    assert!(replica.removed_after(Position { era: 2, revision: 4 }).is_some());
}

#[test]
fn mutual_confirmation_does_not_make_a_state_younger() {
    let start = Instant::now();
    let (mut one, mut other) = (Freshness::default(), Freshness::default());
    confirmed_by_store(&mut one, version(5), start);
    confirmed_by_store(&mut other, version(5), start);
    let mut now = start;
    for _ in 0..500 {
        let age = one.age(now).expect("a state");
        now += Duration::from_millis(8);
        other.record_peer(&peer(1, version(5), age), now);
        std::mem::swap(&mut one, &mut other);
    }
    assert_eq!([one.age(now), other.age(now)], [Some(now - start); 2]);
}
