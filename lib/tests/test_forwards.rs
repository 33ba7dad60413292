//! Forwards that would fill the links between boxes, or arrive too late.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::regions::RegionUtilization;
use copperweir_lib::coordination::regions::Utilization;

const SERVICE: u64 = 3;

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
