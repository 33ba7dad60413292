//! Which boxes hold the version of a stream, and for how long it is kept.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::stream_holders::BoxLocation;
use copperweir_lib::coordination::stream_holders::holders;
use copperweir_lib::coordination::stream_versions::Destination;
use copperweir_lib::coordination::stream_versions::StreamVersions;
use copperweir_lib::coordination::stream_versions::stream_key;
use proptest::prelude::*;

const SERVICE: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn destination() -> Destination {
    Destination { service: SERVICE, ..Destination::default() }
}

/// Names, regions and failure domains of boxes.
fn fleet(boxes: usize, regions: usize, domains_per_region: usize) -> Vec<[String; 3]> {
    let names = |number: usize| {
        let region = number % regions;
        let domain = number / regions % domains_per_region;
        [format!("box-{number}"), format!("region-{region}"), format!("domain-{region}-{domain}")]
    };
    (0..boxes).map(names).collect()
}

fn location([name, region, failure_domain]: &[String; 3]) -> BoxLocation<'_> {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    BoxLocation { name, region, failure_domain, address }
}

fn names_of_holders(key: u64, fleet: &[[String; 3]]) -> BTreeSet<String> {
    let holders = holders(key, fleet.iter().map(location));
    holders.iter().map(|holder| holder.name.to_owned()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn holders_are_in_different_regions_and_change_little(
        boxes in 1..60usize,
        regions in 1..6usize,
        domains in 1..4usize,
        key in any::<u64>(),
        gone in any::<prop::sample::Index>(),
    ) {
        let mut fleet = fleet(boxes, regions, domains);
        let before = names_of_holders(key, &fleet);
        prop_assert!(before.len() >= boxes.min(3) && before.len() <= 4);
        let held_regions: BTreeSet<&String> = fleet
            .iter()
            .filter(|[name, ..]| before.contains(name))
            .map(|[_, region, _]| region)
            .collect();
        prop_assert!(held_regions.len() >= regions.min(boxes).min(3));
        let [removed, ..] = fleet.remove(gone.index(boxes));
        let after = names_of_holders(key, &fleet);
        let lost = before.iter().filter(|name| **name != removed && !after.contains(*name)).count();
        prop_assert!(lost <= 1, "{before:?} {after:?}");
    }
}

#[test]
fn attempts_of_other_services_and_teams_have_other_keys() {
    let keys: BTreeSet<u64> =
        [("a", "s", "t"), ("b", "s", "t"), ("a", "r", "t"), ("a", "s", "u"), ("a", "s", "")]
            .map(|(attempt, service, team)| stream_key(attempt, service, team))
            .into();
    assert_eq!(keys.len(), 5);
}

#[test]
fn version_that_began_a_stream_is_not_replaced_by_what_others_tell() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    versions.record_begin(1, destination(), 10, now);
    versions.record_announcement(1, 20, now);
    assert_eq!(versions.version(1, now), Some(10));
    assert_eq!(versions.version(2, now), None);
}

#[test]
fn stream_taken_up_again_is_kept_longer() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    versions.record_begin(1, destination(), 10, now);
    versions.record_begin(2, destination(), 10, now);
    versions.record_begin(1, destination(), 10, now + 40 * SECOND);
    let later = now + 70 * SECOND;
    versions.expire(later);
    assert_eq!((versions.version(1, later), versions.version(2, later)), (Some(10), None));
    assert_eq!(versions.len(), 1);
}

#[test]
fn second_version_is_noticed_once_and_remembered_after_it_is_gone() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    assert!(!versions.record_versions(SERVICE, [10].into_iter(), now));
    versions.record_begin(1, destination(), 10, now);
    assert!(versions.record_versions(SERVICE, [10, 20].into_iter(), now + SECOND));
    assert!(!versions.record_versions(SERVICE, [10, 20].into_iter(), now + 2 * SECOND));
    assert_eq!(versions.own_streams(SERVICE, now + SECOND).collect::<Vec<_>>(), [(1, 10)]);
    versions.record_versions(SERVICE, [20].into_iter(), now + 3 * SECOND);
    assert!(versions.has_several_versions(SERVICE, now + 50 * SECOND));
    versions.record_versions(SERVICE, [20].into_iter(), now + 70 * SECOND);
    assert!(!versions.has_several_versions(SERVICE, now + 70 * SECOND));
}

#[test]
fn versions_whose_servers_do_not_change_are_not_forgotten() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    versions.record_versions(SERVICE, [10, 20].into_iter(), now);
    let later = now + 300 * SECOND;
    versions.expire(later);
    assert!(versions.has_several_versions(SERVICE, later));
}

/// Guards against streams that are refused, because a box asks for another one over and over.
#[test]
fn queries_for_known_streams_displace_no_others() {
    let (mut versions, now) = (StreamVersions::default(), Instant::now());
    versions.record_begin(1, destination(), 10, now);
    versions.record_announcement(2, 20, now);
    for _ in 0..300_000 {
        assert_eq!(versions.look_up(2, now), Some(20));
    }
    assert_eq!((versions.version(1, now), versions.version(2, now)), (Some(10), Some(20)));
}

/// Guards against streams that are refused, because another box or writer names very many.
#[test]
fn streams_that_others_name_displace_none_that_began_here() {
    let (mut versions, now) = (StreamVersions::default(), Instant::now());
    versions.record_begin(1, destination(), 10, now);
    for key in 2..400_000 {
        versions.record_announcement(key, 20, now);
    }
    assert_eq!(versions.version(1, now), Some(10));
    assert!(versions.len() < 300_000, "{}", versions.len());
}
