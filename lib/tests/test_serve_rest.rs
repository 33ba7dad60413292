//! A plain service that wants rest, behind a box of the product's own interface.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Fleet;
use common::Plan;
use copperweir_standin::service::Faults;
use copperweir_standin::service::Service;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;

/// Before, the time was read by nobody: each of eight requests went to the service in its rest, and callers were told five
/// seconds whatever the rest was.
#[test]
fn a_service_that_wants_rest_gets_nothing_and_callers_learn_when_to_come_back() {
    let fleet = Fleet::start(Plan::new(61));
    let at = fleet.plan.callers_address(0, 0);
    let patience = [("copperweir-timeout-ms", "500")];
    fleet.service.set_faults(Faults { refuse: true, rest_s: Some(2.5), ..Faults::default() });
    let begin = Instant::now();
    for number in 0..8 {
        let sent_at = Instant::now();
        let reply = fleet.submit_filing(at, &patience, &format!("refused-{number}"));
        assert!(reply.status.is_server_error(), "{reply:?}");
        assert_eq!(reply.header("copperweir-ran"), "no");
        assert!(sent_at.elapsed() < Duration::from_millis(400), "it is refused at once");
        if number > 0 {
            let after: f64 = reply.header("retry-after").parse().expect("a number");
            let back = sent_at + Duration::from_secs_f64(after);
            assert!(back + Duration::from_millis(50) >= begin + Duration::from_millis(2500));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.service.refused().len(), 1);
    fleet.service.set_faults(Faults::default());
    std::thread::sleep(
        (begin + Duration::from_millis(2700)).saturating_duration_since(Instant::now()),
    );
    assert_eq!(fleet.submit_filing(at, &patience, "served").status, StatusCode::CREATED);
}

/// A request was offered to four services that had just come into need, and failed before the one with room was
/// asked.
#[test]
fn who_meets_all_resting_services_first_is_served_by_the_next() {
    let fleet = Fleet::start(Plan::new(62));
    let mut configuration = fleet.plan.configuration();
    let mut resting = Vec::new();
    for number in 0..8 {
        let service = Service::default();
        let mut address = fleet.plan.service_address(0);
        address.set_port(9001 + number);
        let listener = fleet.runtime.block_on(TcpListener::bind(address)).expect("an address");
        fleet.runtime.spawn(service.serve(listener));
        configuration["services"]["intake"]["servers"][format!("resting-{number}")] = json!({
            "region": "north", "failure_domain": "a", "address": address.to_string(),
        });
        resting.push(service);
    }
    fleet.apply("main", &configuration).expect("more services");
    fleet.wait_for_version(2);
    let at = fleet.plan.callers_address(0, 0);
    let patience = [("copperweir-timeout-ms", "5000")];
    // It has work already, so the others come before it.
    fleet.service.set_faults(Faults { slow_ms: 1000, ..Faults::default() });
    let is_at_work = || !fleet.service.runs().is_empty();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in (0..).take_while(|_| !is_at_work()) {
                fleet.submit_filing(at, &patience, &format!("busy-{number}"));
            }
        });
        common::eventually("it is at work", is_at_work);
        for service in &resting {
            service.set_faults(Faults { refuse: true, rest_s: Some(3.0), ..Faults::default() });
        }
        assert_eq!(fleet.submit_filing(at, &patience, "next").status, StatusCode::CREATED);
    });
}
