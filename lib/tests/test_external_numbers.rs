//! Numbers in the datagrams of other boxes, and the record of values that can't be read.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::lending::Borrower;
use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::quota::BoxUsage;
use copperweir_lib::coordination::quota::Quotas;
use copperweir_lib::coordination::quota::ReportId;
use copperweir_lib::coordination::quota::Tolerance;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::throttle::wire::SentCount;
use copperweir_lib::coordination::throttle::wire::ServerRate;
use copperweir_lib::coordination::throttle::wire::ServerRoom;
use copperweir_lib::coordination::throttle::wire::ServiceDemand;
use copperweir_lib::coordination::throttle::wire::ThrottleReport;
use copperweir_lib::coordination::upgrade::wire::CellReport;
use copperweir_lib::coordination::upgrade::wire::TallyReport;
use copperweir_lib::coordination::upgrade::wire::UpgradeReport;
use copperweir_lib::gateway::unreadable_keys::UnreadableKeys;
use copperweir_lib::transport::engine::EngineLoad;
use proptest::prelude::*;

/// Number of boxes that report.
const BOXES: u64 = 1000;

fn numbers() -> impl Strategy<Value = f64> {
    prop::sample::select(vec![
        0.0,
        -1.0,
        9_007_199_254_740_992.0,
        1e300,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
    ])
}

fn counts() -> impl Strategy<Value = u64> {
    prop::sample::select(vec![0, 1, u64::from(u32::MAX), 1 << 53, 1 << 63, u64::MAX])
}

fn report(sender: u64, count: u64, number: f64) -> BoxReport {
    let small = u32::try_from(count).unwrap_or(u32::MAX);
    let cell = CellReport {
        stratum: 1,
        is_target: true,
        responses: small,
        failed: small,
        latencies: vec![small; 4],
    };
    let demand = ServiceDemand {
        service: 1,
        per_minute: small,
        usual_per_minute: small,
        weight: Some(number),
    };
    let rate = ServerRate { server: 2, service: 1, rate: Some(number), said_ms: 0 };
    let room = ServerRoom {
        server: 3,
        service: 1,
        max_rejections: Some(small),
        said_ms: 0,
        limit: Some(small),
        rejected_ms: 0,
        closed_ms: small,
    };
    BoxReport {
        sender,
        incarnation: 1,
        number: 1,
        servers: vec![2, 3],
        in_flight: vec![small; 2],
        unread: vec![small; 2],
        counts: vec![BoxUsage { team: 4, admitted: count, demand: count, usual: count }],
        throttle: Some(ThrottleReport {
            words: vec![rate],
            counts: vec![SentCount { server: 2, sent: count }],
            demands: vec![demand],
            rooms: vec![room],
        }),
        upgrade: Some(UpgradeReport {
            plan: 5,
            serial: small,
            draining: small,
            cells: vec![cell],
            tallies: vec![TallyReport { server: 2, bad: small }],
            confirmed: vec![count],
        }),
        ..BoxReport::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against sums over all boxes that overflow, and against rates that are no numbers.
    #[test]
    fn no_number_in_datagrams_causes_a_panic(count in counts(), number in numbers()) {
        let now = Instant::now();
        let mut loads = Loads::default();
        let mut throttles = Throttles::new(0.5);
        let mut quotas = Quotas::new(Tolerance { slack: 0.0, dither: 0.5 }, now);
        let mut responses: u32 = 0;
        for sender in 1..=BOXES {
            let mut report = report(sender, count, number);
            report.clamp_numbers();
            loads.receive(&report, now);
            let id = ReportId { sender, incarnation: 1, number: 1 };
            quotas.record_box_usage(id, &report.counts, now);
            throttles.receive_report(id, &report.throttle.clone().unwrap_or_default(), now);
            let cells = report.upgrade.iter().flat_map(|upgrade| &upgrade.cells);
            let added = cells.map(|cell| cell.responses).sum::<u32>();
            responses = responses.checked_add(added).expect("the sum fits");
            let _ = loads.of_sender(sender);
        }
        throttles.tick(&(1..=BOXES).collect(), 1, now);
        let rate = report(1, count, number);
        let mut clamped = rate;
        clamped.clamp_numbers();
        let rate = clamped.throttle.and_then(|throttle| throttle.words[0].rate);
        prop_assert!(rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0));
    }
}

/// Guards against a log line for each read of an entry, and against none after a change.
#[test]
fn unreadable_value_is_logged_once_for_each_change() {
    let mut keys = UnreadableKeys::default();
    let logged: Vec<bool> =
        [("a", "1"), ("a", "1"), ("b", "1"), ("a", "2"), ("a", "2"), ("b", "1")]
            .into_iter()
            .map(|(key, value)| keys.is_new(key, value.as_bytes()))
            .collect();
    assert_eq!(logged, [true, false, true, true, false, false]);
}

/// Guards against a full engine that counts as idle because its numbers overflow.
#[test]
fn load_of_an_engine_that_is_out_of_range_is_the_maximum() {
    let load = EngineLoad { running: u32::MAX, queued: 8, leaving: false };
    assert_eq!(load.total(), u32::MAX);
}

/// Guards against credits that overflow and count as none.
#[test]
fn credits_that_are_out_of_range_are_the_maximum() {
    let now = Instant::now();
    let mut borrower = Borrower::default();
    for slots in [u32::MAX, 8] {
        borrower.receive("south".to_owned(), slots, Duration::from_secs(1), now);
    }
    assert_eq!(borrower.available(&"south".to_owned(), now), u32::MAX);
}
