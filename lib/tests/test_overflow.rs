//! Overflow of requests to other regions, without sockets or a clock.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::regions::RegionUtilization;
use copperweir_lib::coordination::regions::Utilization;
use proptest::prelude::*;

const SERVICE: u64 = 7;

fn utilization(in_flight: f64, slots: f64) -> Utilization {
    Utilization { in_flight, slots }
}

fn reported(now: Instant) -> RegionUtilization {
    let mut regions = RegionUtilization::default();
    regions.record_utilization(SERVICE, "idle".to_owned(), utilization(10.0, 100.0), now);
    regions.record_utilization(SERVICE, "half".to_owned(), utilization(50.0, 100.0), now);
    regions
}

#[test]
fn requests_stay_while_the_region_has_free_slots() {
    let now = Instant::now();
    assert_eq!(
        reported(now).overflow_target(SERVICE, utilization(70.0, 100.0), |_| true, now),
        None
    );
}

#[test]
fn full_region_sends_a_share_to_the_least_utilized_region() {
    let now = Instant::now();
    let regions = reported(now);
    let (region, share) = regions
        .overflow_target(SERVICE, utilization(150.0, 100.0), |_| true, now)
        .expect("a region");
    assert_eq!(region, "idle");
    assert!(share > 0.3 && share < 1.0, "{share}");
    let (region, smaller_share) = regions
        .overflow_target(SERVICE, utilization(150.0, 100.0), |region| region == "half", now)
        .unwrap();
    assert_eq!(region, "half");
    assert!(smaller_share < share, "{smaller_share} to a busier region, {share} to an idle one");
}

#[test]
fn nothing_is_sent_to_disallowed_busy_or_unreported_regions() {
    let now = Instant::now();
    let mut regions = reported(now);
    let own = utilization(90.0, 100.0);
    assert_eq!(regions.overflow_target(SERVICE, own, |_| false, now), None);
    assert_eq!(regions.overflow_target(SERVICE + 1, own, |_| true, now), None);
    assert_eq!(regions.overflow_target(SERVICE, own, |_| true, now + Duration::from_secs(3)), None);
    regions.record_utilization(SERVICE, "idle".to_owned(), utilization(85.0, 100.0), now);
    regions.record_utilization(SERVICE, "half".to_owned(), utilization(0.0, 0.0), now);
    assert_eq!(
        regions.overflow_target(SERVICE, own, |_| true, now),
        None,
        "a region without slots has no room"
    );
}

#[test]
fn region_without_servers_sends_requests_to_another() {
    let now = Instant::now();
    let regions = reported(now);
    let (region, _) =
        regions.overflow_target(SERVICE, utilization(0.0, 0.0), |_| true, now).expect("a region");
    assert_eq!(region, "idle");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// The share stays below the whole, and no requests are sent to a region as utilized as this
    /// one.
    #[test]
    fn share_is_bounded_and_sent_to_a_less_utilized_region(
        own in (0.0..500.0f64, 0.0..200.0f64),
        other in (0.0..500.0f64, 0.0..200.0f64),
    ) {
        let now = Instant::now();
        let mut regions = RegionUtilization::default();
        regions.record_utilization(SERVICE, "r".to_owned(), utilization(other.0, other.1), now);
        if let Some((_, share)) =
            regions.overflow_target(SERVICE, utilization(own.0, own.1), |_| true, now)
        {
            prop_assert!((0.0..=0.6).contains(&share), "{}", share);
            prop_assert!(own.1 == 0.0 || other.0 / other.1 < own.0 / own.1);
        }
    }
}

#[test]
fn closed_region_has_no_room_until_it_reports_otherwise() {
    let now = Instant::now();
    let mut regions = RegionUtilization::default();
    assert!(regions.may_have_capacity(SERVICE, "idle", now), "no report yet");
    regions.record_closed_services("idle".to_owned(), vec![SERVICE], now);
    assert!(!regions.may_have_capacity(SERVICE, "idle", now));
    assert!(
        regions.may_have_capacity(SERVICE + 1, "idle", now)
            && regions.may_have_capacity(SERVICE, "half", now)
    );
    assert!(
        regions.may_have_capacity(SERVICE, "idle", now + Duration::from_secs(3)),
        "the report has expired"
    );
    regions.record_closed_services("idle".to_owned(), Vec::new(), now);
    assert!(regions.may_have_capacity(SERVICE, "idle", now));
}
