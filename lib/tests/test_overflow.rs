//! Which part of a region's requests goes to another region, without sockets or a clock.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::regions::RegionUtilization;
use copperweir_lib::coordination::regions::Utilization;
use proptest::prelude::*;

const SERVICE: u64 = 7;

fn fullness(in_flight: f64, slots: f64) -> Utilization {
    Utilization { in_flight, slots }
}

fn heard(now: Instant) -> RegionUtilization {
    let mut regions = RegionUtilization::default();
    regions.record_utilization(SERVICE, "idle".to_owned(), fullness(10.0, 100.0), now);
    regions.record_utilization(SERVICE, "half".to_owned(), fullness(50.0, 100.0), now);
    regions
}

#[test]
fn requests_stay_while_there_are_slots_here() {
    let now = Instant::now();
    assert_eq!(heard(now).overflow_target(SERVICE, fullness(70.0, 100.0), |_| true, now), None);
}

#[test]
fn a_full_region_sends_a_part_to_the_one_with_most_room() {
    let now = Instant::now();
    let regions = heard(now);
    let (region, part) =
        regions.overflow_target(SERVICE, fullness(150.0, 100.0), |_| true, now).expect("a region");
    assert_eq!(region, "idle");
    assert!(part > 0.3 && part < 1.0, "{part}");
    let (region, less) = regions
        .overflow_target(SERVICE, fullness(150.0, 100.0), |region| region == "half", now)
        .unwrap();
    assert_eq!(region, "half");
    assert!(less < part, "{less} to a fuller one, {part} to an idle one");
}

#[test]
fn nothing_goes_where_it_may_not_or_is_no_better_or_was_not_heard_of_lately() {
    let now = Instant::now();
    let mut regions = heard(now);
    let own = fullness(90.0, 100.0);
    assert_eq!(regions.overflow_target(SERVICE, own, |_| false, now), None);
    assert_eq!(regions.overflow_target(SERVICE + 1, own, |_| true, now), None);
    assert_eq!(regions.overflow_target(SERVICE, own, |_| true, now + Duration::from_secs(3)), None);
    regions.record_utilization(SERVICE, "idle".to_owned(), fullness(85.0, 100.0), now);
    regions.record_utilization(SERVICE, "half".to_owned(), fullness(0.0, 0.0), now);
    assert_eq!(regions.overflow_target(SERVICE, own, |_| true, now), None, "no slots are no room");
}

#[test]
fn a_region_without_servers_sends_elsewhere() {
    let now = Instant::now();
    let regions = heard(now);
    let (region, _) =
        regions.overflow_target(SERVICE, fullness(0.0, 0.0), |_| true, now).expect("a region");
    assert_eq!(region, "idle");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Never all of the requests, and never to a region that is as full as this one.
    #[test]
    fn a_part_is_a_part(
        own in (0.0..500.0f64, 0.0..200.0f64),
        other in (0.0..500.0f64, 0.0..200.0f64),
    ) {
        let now = Instant::now();
        let mut regions = RegionUtilization::default();
        regions.record_utilization(SERVICE, "r".to_owned(), fullness(other.0, other.1), now);
        if let Some((_, part)) = regions.overflow_target(SERVICE, fullness(own.0, own.1), |_| true, now) {
            prop_assert!((0.0..=0.6).contains(&part), "{}", part);
            prop_assert!(own.1 == 0.0 || other.0 / other.1 < own.0 / own.1);
        }
    }
}

#[test]
fn a_region_whose_servers_get_as_much_as_they_take_has_no_room_until_it_says_otherwise() {
    let now = Instant::now();
    let mut regions = RegionUtilization::default();
    assert!(regions.may_have_room(SERVICE, "idle", now), "nothing was heard");
    regions.record_closed_services("idle".to_owned(), vec![SERVICE], now);
    assert!(!regions.may_have_room(SERVICE, "idle", now));
    assert!(
        regions.may_have_room(SERVICE + 1, "idle", now)
            && regions.may_have_room(SERVICE, "half", now)
    );
    assert!(
        regions.may_have_room(SERVICE, "idle", now + Duration::from_secs(3)),
        "that is long ago"
    );
    regions.record_closed_services("idle".to_owned(), Vec::new(), now);
    assert!(regions.may_have_room(SERVICE, "idle", now));
}
