//! Forwards that would fill the links between boxes, or arrive too late.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::forwards::Forwards;
use copperweir_lib::coordination::forwards::Kind;
use copperweir_lib::coordination::regions::RegionUtilization;
use copperweir_lib::coordination::regions::Utilization;

const SERVICE: u64 = 3;
const TIME_LEFT: Duration = Duration::from_secs(1);

#[test]
fn full_region_gets_no_forwards_until_its_report_expires() {
    let now = Instant::now();
    let mut regions = RegionUtilization::default();
    assert!(regions.may_have_capacity(SERVICE, "south", now));
    let busy = Utilization { in_flight: 20.0, slots: 10.0 };
    regions.record_utilization(SERVICE, "south".to_owned(), busy, now);
    assert!(regions.may_have_capacity(SERVICE, "south", now));
    let full = Utilization { in_flight: 26.0, slots: 10.0 };
    regions.record_utilization(SERVICE, "south".to_owned(), full, now);
    assert!(!regions.may_have_capacity(SERVICE, "south", now));
    assert!(regions.may_have_capacity(SERVICE, "south", now + Duration::from_secs(3)));
}

#[test]
fn bytes_under_way_are_bounded() {
    let (now, size) = (Instant::now(), 100 << 10);
    let mut forwards = Forwards::default();
    assert!(
        forwards.admits(Kind::New, 10 << 20, TIME_LEFT, now),
        "a single forward may have any size"
    );
    forwards.begin(size);
    forwards.begin(size);
    assert!(!forwards.admits(Kind::New, size, TIME_LEFT, now));
    forwards.finish(Kind::New, size, Duration::from_millis(20), now);
    assert!(forwards.admits(Kind::New, size, TIME_LEFT, now));
}

#[test]
fn request_is_not_forwarded_if_forwards_take_longer_than_it_has() {
    let mut now = Instant::now();
    let mut forwards = Forwards::default();
    for _ in 0..50 {
        forwards.begin(1000);
        now += Duration::from_millis(10);
        forwards.finish(Kind::New, 1000, Duration::from_millis(900), now);
    }
    assert!(!forwards.admits(Kind::New, 1000, TIME_LEFT, now));
    assert!(forwards.admits(Kind::New, 1000, TIME_LEFT * 3, now));
    now += Duration::from_secs(2);
    assert!(forwards.admits(Kind::New, 1000, TIME_LEFT, now), "the links may be free again");
}

/// Guards against streams that are refused because forwards of new requests wait for busy servers.
#[test]
fn streams_that_go_on_are_forwarded_by_their_own_times() {
    let now = Instant::now();
    let mut forwards = Forwards::default();
    for _ in 0..50 {
        forwards.begin(1000);
        forwards.finish(Kind::New, 1000, Duration::from_millis(900), now);
    }
    assert!(!forwards.admits(Kind::New, 1000, TIME_LEFT, now));
    assert!(forwards.admits(Kind::Continued, 1000, TIME_LEFT, now));
    for _ in 0..50 {
        forwards.begin(1000);
        forwards.finish(Kind::Continued, 1000, Duration::from_millis(900), now);
    }
    assert!(!forwards.admits(Kind::Continued, 1000, TIME_LEFT, now));
}
