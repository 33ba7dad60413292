//! What the store keeps about streams: the versions of services, and batches of streams.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::stream_batch::MAX_BATCH_STREAMS;
use copperweir_lib::coordination::stream_batch::StreamBatch;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use copperweir_lib::coordination::version_record::VersionRecord;
use proptest::prelude::*;

const SERVICE: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn record(era: u64, versions: &[u64]) -> VersionRecord {
    VersionRecord { era, versions: versions.iter().copied().collect() }
}

/// The versions of a box that read its first state in an era.
fn started_in(era: u64, now: Instant) -> StreamVersions {
    let mut versions = StreamVersions::default();
    versions.record_state(era, now);
    versions
}

#[test]
fn version_is_listed_before_a_stream_may_begin_at_it() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.record_versions(SERVICE, [10].into_iter(), now);
    assert_eq!(versions.record_to_write(SERVICE, 1, now), Some(record(1, &[10])));
    assert!(versions.unrecorded(SERVICE, [10].into_iter()).is_empty(), "nothing is listed");
    versions.apply_record(SERVICE, Some(record(1, &[10])), now);
    assert_eq!(versions.record_to_write(SERVICE, 1, now), None);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    assert_eq!(versions.unrecorded(SERVICE, [10, 20].into_iter()), [20]);
    assert_eq!(versions.record_to_write(SERVICE, 1, now), Some(record(1, &[10, 20])));
    versions.apply_record(SERVICE, Some(record(1, &[10, 20])), now);
    assert!(versions.unrecorded(SERVICE, [10, 20].into_iter()).is_empty());
}

#[test]
fn version_that_left_before_the_start_counts_until_its_streams_have_ended() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.apply_record(SERVICE, Some(record(1, &[10, 20])), now);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    assert!(versions.has_several_versions(SERVICE, now));
    assert_eq!(versions.record_to_write(SERVICE, 1, now + 59 * SECOND), None);
    let later = now + 61 * SECOND;
    versions.expire(later);
    assert_eq!(versions.record_to_write(SERVICE, 1, later), Some(record(1, &[20])));
}

#[test]
fn version_counts_for_as_long_as_the_longest_route_allows_streams() {
    let now = Instant::now();
    let mut versions = started_in(1, now);
    versions.set_longest_stream(120 * SECOND);
    versions.record_begin(1, SERVICE, 10, now);
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    versions.record_versions(SERVICE, [20].into_iter(), now);
    let later = now + 149 * SECOND;
    versions.expire(later);
    assert!(versions.has_several_versions(SERVICE, later));
    assert_eq!(versions.version(1, later), Some(10));
    assert_eq!(versions.own_streams(SERVICE, now + 119 * SECOND).count(), 1);
}

#[test]
fn list_of_an_older_copy_of_the_store_is_no_proof() {
    let now = Instant::now();
    assert_eq!(record(1, &[10]).sole_version(1), Some(10));
    assert_eq!(record(1, &[10]).sole_version(2), None);
    assert_eq!(record(1, &[10, 20]).sole_version(1), None);
    // A box that started after the store was restored can't tell which versions the list has lost.
    let mut started_after = started_in(2, now);
    started_after.apply_record(SERVICE, Some(record(1, &[10])), now);
    started_after.record_versions(SERVICE, [10].into_iter(), now);
    assert_eq!(started_after.record_to_write(SERVICE, 2, now), None);
    let later = now + 61 * SECOND;
    assert_eq!(started_after.record_to_write(SERVICE, 2, later), Some(record(2, &[10])));
    let mut started_before = started_in(1, now);
    started_before.apply_record(SERVICE, Some(record(1, &[10])), now);
    started_before.record_versions(SERVICE, [10].into_iter(), now);
    assert_eq!(started_before.record_to_write(SERVICE, 2, now), Some(record(2, &[10])));
}

#[test]
fn values_are_read_as_they_were_written() {
    let streams = vec![(1, 10), (2, 20), (3, 10), (u64::MAX, 20)];
    let value = StreamBatch { streams: streams.clone() }.to_value();
    let mut read = StreamBatch::try_from(&value[..]).expect("a batch").streams;
    read.sort_unstable();
    assert_eq!(read, streams);
    let written = record(u64::MAX, &[0, 10, u64::MAX]);
    assert_eq!(VersionRecord::try_from(&written.to_value()[..]), Ok(written));
}

#[test]
fn values_out_of_bounds_are_unreadable() {
    let streams = (0..=MAX_BATCH_STREAMS as u64).map(|key| (key, 1)).collect();
    assert!(StreamBatch::try_from(&StreamBatch { streams }.to_value()[..]).is_err());
    for value in [
        r#"{"era":1,"versions":[]}"#.to_owned(),
        format!(r#"{{"era":1,"versions":{:?}}}"#, (0..300).collect::<Vec<u64>>()),
        r#"{"era":-1,"versions":[1]}"#.to_owned(),
        r#"{"era":1e300,"versions":[1]}"#.to_owned(),
        r#"{"era":1,"versions":"10"}"#.to_owned(),
        "[".repeat(100_000),
        String::new(),
    ] {
        assert!(VersionRecord::try_from(value.as_bytes()).is_err(), "{value:.60}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_rejected(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = StreamBatch::try_from(&value[..]);
        let _ = VersionRecord::try_from(&value[..]);
    }
}
