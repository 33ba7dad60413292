//! What the store keeps about streams: the versions of services, and batches of streams.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::stream_batch::MAX_BATCH_STREAMS;
use copperweir_lib::coordination::stream_batch::StreamBatch;
use copperweir_lib::coordination::stream_versions::Destination;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use copperweir_lib::coordination::version_list;
use copperweir_lib::coordination::version_list::VersionList;
use proptest::prelude::*;

const SERVICE: u64 = 7;
const ROUTE: u64 = 8;
const SECOND: Duration = Duration::from_secs(1);

fn destination() -> Destination {
    Destination { service: SERVICE, route: ROUTE, point: Some(0) }
}

fn list(era: u64, versions: &[u64]) -> VersionList {
    VersionList { era, versions: versions.iter().copied().collect(), complete: true }
}

/// The versions of a box that read its first state in an era.
fn started_in(era: u64, now: Instant) -> StreamVersions {
    let mut versions = StreamVersions::default();
    versions.record_state(era, now);
    versions
}

fn sole_version(versions: &StreamVersions, stored: &VersionList, now: Instant) -> Option<u64> {
    versions.sole_version(SERVICE, (stored, 1), true, now)
}

#[test]
fn version_is_listed_before_a_stream_may_begin_at_it() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    assert_eq!(versions.list_to_write(SERVICE, true, now), None, "the start is not known");
    versions.record_fleet(true);
    versions.record_versions(SERVICE, [10].into_iter(), now);
    assert_eq!(versions.listed_versions(SERVICE), None);
    assert_eq!(versions.list_to_write(SERVICE, true, now), Some(list(1, &[10])));
    versions.apply_list(SERVICE, Some(list(1, &[10])), now);
    assert_eq!(versions.list_to_write(SERVICE, true, now), None);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    assert_eq!(versions.listed_versions(SERVICE), Some(vec![10]));
    assert_eq!(versions.list_to_write(SERVICE, true, now), Some(list(1, &[10, 20])));
    versions.apply_list(SERVICE, Some(list(1, &[10, 20])), now);
    assert_eq!(versions.listed_versions(SERVICE), Some(vec![10, 20]));
}

#[test]
fn first_list_of_a_fleet_that_has_run_before_is_no_proof() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.record_fleet(false);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    let incomplete = VersionList { complete: false, ..list(1, &[20]) };
    assert_eq!(versions.list_to_write(SERVICE, true, now), Some(incomplete.clone()));
    versions.apply_list(SERVICE, Some(incomplete.clone()), now);
    assert_eq!(sole_version(&versions, &incomplete, now), None);
    assert_eq!(versions.list_to_write(SERVICE, true, now + 59 * SECOND), None);
    assert_eq!(versions.list_to_write(SERVICE, true, now + 61 * SECOND), Some(list(1, &[20])));
}

/// Guards against a list that is lost, and written again without the versions that have just left.
#[test]
fn lost_list_is_no_proof_while_a_version_that_it_had_counts() {
    let now = Instant::now();
    for is_new_fleet in [false, true] {
        let mut versions = started_in(1, now);
        versions.record_fleet(is_new_fleet);
        let left_at = now + 100 * SECOND;
        versions.apply_list(SERVICE, Some(list(1, &[10, 20])), left_at);
        versions.record_versions(SERVICE, [10, 20].into_iter(), left_at);
        versions.record_versions(SERVICE, [20].into_iter(), left_at);
        versions.apply_list(SERVICE, None, left_at);
        let incomplete = VersionList { complete: false, ..list(1, &[20]) };
        assert_eq!(versions.list_to_write(SERVICE, true, left_at), Some(incomplete.clone()));
        versions.apply_list(SERVICE, Some(incomplete), left_at);
        assert_eq!(versions.list_to_write(SERVICE, true, left_at + 59 * SECOND), None);
        let ended_at = left_at + 61 * SECOND;
        assert_eq!(versions.list_to_write(SERVICE, true, ended_at), Some(list(1, &[20])));
    }
}

#[test]
fn incomplete_list_is_not_completed_by_another_box_that_starts() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.record_fleet(true);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    let incomplete = VersionList { complete: false, ..list(1, &[20]) };
    versions.apply_list(SERVICE, Some(incomplete), now);
    assert_eq!(versions.list_to_write(SERVICE, true, now), None);
}

#[test]
fn version_that_left_before_the_start_counts_until_its_streams_have_ended() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.apply_list(SERVICE, Some(list(1, &[10, 20])), now);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    assert!(versions.has_several_versions(SERVICE, now));
    assert_eq!(versions.list_to_write(SERVICE, true, now + 59 * SECOND), None);
    let later = now + 61 * SECOND;
    versions.expire(later);
    assert_eq!(versions.list_to_write(SERVICE, true, later), Some(list(1, &[20])));
    assert_eq!(versions.list_to_write(SERVICE, false, later), None, "the state is old");
}

#[test]
fn version_that_left_is_not_listed_again_by_boxes_that_started_later() {
    let now = Instant::now();
    let mut stored = list(1, &[10, 20]);
    let mut boxes = [started_in(1, now), started_in(1, now + 30 * SECOND)];
    for tenth in 0..2000 {
        let at = now + tenth * SECOND / 10;
        for (number, versions) in boxes.iter_mut().enumerate() {
            if number == 1 && at < now + 30 * SECOND {
                continue;
            }
            versions.expire(at);
            versions.apply_list(SERVICE, Some(stored.clone()), at);
            versions.record_versions(SERVICE, [20].into_iter(), at);
            stored = versions.list_to_write(SERVICE, true, at).unwrap_or(stored);
        }
        if at >= now + 61 * SECOND {
            assert_eq!(stored, list(1, &[20]), "after {tenth} tenths of a second");
        }
    }
}

#[test]
fn version_counts_for_as_long_as_the_longest_route_allowed_streams() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.set_longest_stream(120 * SECOND, now);
    versions.record_begin(1, destination(), 10, now);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    versions.set_longest_stream(5 * SECOND, now + 20 * SECOND);
    let later = now + 149 * SECOND;
    versions.expire(later);
    assert!(versions.has_several_versions(SERVICE, later));
    assert_eq!(versions.version(1, later), Some(10));
    assert_eq!(versions.own_streams(SERVICE, now + 119 * SECOND).count(), 1);
    versions.set_longest_stream(5 * SECOND, now + 171 * SECOND);
    assert_eq!(versions.retention(), 60 * SECOND);
}

#[test]
fn version_is_kept_while_a_caller_repeats_its_request() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.record_announcement(1, 10, now);
    for second in 0..150 {
        let at = now + second * SECOND;
        versions.expire(at);
        assert_eq!(versions.look_up(1, at), Some(10), "after {second} s");
    }
}

#[test]
fn list_of_an_older_copy_of_the_store_is_no_proof() {
    let now = Instant::now();
    assert_eq!(list(1, &[10]).sole_version(1), Some(10));
    assert_eq!(list(1, &[10]).sole_version(2), None);
    assert_eq!(list(1, &[10, 20]).sole_version(1), None);
    // No box can tell at once which versions the list has lost.
    for first_era in [1, 2] {
        let mut versions = started_in(first_era, now);
        versions.record_state(2, now + SECOND);
        versions.apply_list(SERVICE, Some(list(1, &[10])), now + SECOND);
        versions.record_versions(SERVICE, [10].into_iter(), now + SECOND);
        // The route's list is of the new era, so only that of the service can be the reason.
        let split = versions.define_split(vec![(SERVICE, 1)]);
        versions.apply_list(ROUTE, Some(list(2, &[split])), now + SECOND);
        assert!(!versions.has_proof(destination(), now + SECOND));
        versions.apply_list(SERVICE, Some(list(2, &[10])), now + SECOND);
        assert!(versions.has_proof(destination(), now + SECOND));
        versions.apply_list(SERVICE, Some(list(1, &[10])), now + SECOND);
        assert_eq!(versions.list_to_write(SERVICE, true, now + 59 * SECOND), None);
        let later = now + 62 * SECOND;
        assert_eq!(versions.list_to_write(SERVICE, true, later), Some(list(2, &[10])));
    }
}

#[test]
fn version_that_a_late_write_takes_from_the_list_still_counts() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.apply_list(SERVICE, Some(list(1, &[10, 20])), now);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    let stored = list(1, &[20]);
    versions.apply_list(SERVICE, Some(stored.clone()), now);
    assert_eq!(sole_version(&versions, &stored, now), None);
    assert_eq!(versions.list_to_write(SERVICE, true, now), Some(list(1, &[10, 20])));
}

#[test]
fn version_that_was_never_listed_counts_only_beside_boxes_that_do_not_wait_for_the_list() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    let stored = list(1, &[20]);
    versions.apply_list(SERVICE, Some(stored.clone()), now);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    assert_eq!(sole_version(&versions, &stored, now), Some(20));
    assert_eq!(versions.sole_version(SERVICE, (&stored, 1), false, now), None);
}

#[test]
fn values_are_read_as_they_were_written() {
    let streams = vec![(1, 10), (2, 20), (3, 10), (u64::MAX, 20)];
    let value = StreamBatch { streams: streams.clone() }.to_value();
    let mut read = StreamBatch::try_from(&value[..]).expect("a batch").streams;
    read.sort_unstable();
    assert_eq!(read, streams);
    let written = list(u64::MAX, &[0, 10, u64::MAX]);
    assert_eq!(VersionList::try_from(&written.to_value()[..]), Ok(written));
}

#[test]
fn values_out_of_bounds_are_unreadable() {
    let streams = (0..=MAX_BATCH_STREAMS as u64).map(|key| (key, 1)).collect();
    assert!(StreamBatch::try_from(&StreamBatch { streams }.to_value()[..]).is_err());
    for value in [
        r#"{"era":1,"versions":[],"complete":true}"#.to_owned(),
        format!(r#"{{"era":1,"versions":{:?},"complete":true}}"#, (0..300).collect::<Vec<u64>>()),
        r#"{"era":-1,"versions":[1],"complete":true}"#.to_owned(),
        r#"{"era":1e300,"versions":[1],"complete":true}"#.to_owned(),
        r#"{"era":1,"versions":"10","complete":true}"#.to_owned(),
        "[".repeat(100_000),
        String::new(),
    ] {
        assert!(VersionList::try_from(value.as_bytes()).is_err(), "{value:.60}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_rejected(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = StreamBatch::try_from(&value[..]);
        let _ = VersionList::try_from(&value[..]);
    }
}

#[test]
fn share_of_listed_versions_is_that_of_the_region_with_the_fewest_servers_of_them() {
    let regions = |slots: &[(&str, u64)]| {
        slots.iter().map(|(region, slots)| ((*region).to_owned(), *slots)).collect()
    };
    let slots = HashMap::from([
        (10, regions(&[("north", 6), ("south", 1)])),
        (20, regions(&[("north", 2), ("south", 3)])),
    ]);
    assert_eq!(version_list::min_listed_share(&slots, &[10, 20]), 1.0);
    assert_eq!(version_list::min_listed_share(&slots, &[10]), 0.25);
    assert_eq!(version_list::min_listed_share(&slots, &[20]), 0.25);
    assert_eq!(version_list::min_listed_share(&slots, &[30]), 0.0);
    assert_eq!(version_list::min_listed_share(&HashMap::new(), &[10]), 0.0);
}
