//! Rest periods that plain services request, as seen by callers of a box.

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

/// Guards against ignoring the rest period that a service requests: each of
/// eight requests was sent to the resting service, and callers were asked to
/// retry after five seconds regardless of the period.
#[test]
fn resting_service_gets_no_requests_and_callers_get_retry_after() {
    let fleet = Fleet::start(Plan::new(61));
    let address = fleet.plan.callers_address(0, 0);
    let timeout_header = [("copperweir-timeout-ms", "500")];
    fleet.service.set_faults(Faults { refuse: true, rest_s: Some(2.5), ..Faults::default() });
    let started_at = Instant::now();
    for number in 0..8 {
        let sent_at = Instant::now();
        let reply = fleet.submit_filing(address, &timeout_header, &format!("refused-{number}"));
        assert!(reply.status.is_server_error(), "{reply:?}");
        assert_eq!(reply.header("copperweir-ran"), "no");
        assert!(sent_at.elapsed() < Duration::from_millis(400), "the request is refused at once");
        if number > 0 {
            let retry_after: f64 = reply.header("retry-after").parse().expect("a number");
            let retry_at = sent_at + Duration::from_secs_f64(retry_after);
            assert!(
                retry_at + Duration::from_millis(50) >= started_at + Duration::from_millis(2500)
            );
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.service.refusal_times().len(), 1);
    fleet.service.set_faults(Faults::default());
    std::thread::sleep(
        (started_at + Duration::from_millis(2700)).saturating_duration_since(Instant::now()),
    );
    assert_eq!(fleet.submit_filing(address, &timeout_header, "served").status, StatusCode::CREATED);
}

/// Guards against counting refusals by resting services as attempts: a request
/// failed after four services that had just begun to rest refused it, before
/// the one with a free slot was tried.
#[test]
fn request_refused_by_resting_services_runs_on_next_service() {
    let fleet = Fleet::start(Plan::new(62));
    let mut configuration = fleet.plan.configuration();
    let mut resting = Vec::new();
    for number in 0..8 {
        let service = Service::default();
        let mut service_address = fleet.plan.service_address(0);
        service_address.set_port(9001 + number);
        let listener =
            fleet.runtime.block_on(TcpListener::bind(service_address)).expect("an address");
        fleet.runtime.spawn(service.serve(listener));
        configuration["services"]["intake"]["servers"][format!("resting-{number}")] = json!({
            "region": "north", "failure_domain": "a", "address": service_address.to_string(),
        });
        resting.push(service);
    }
    fleet.apply("main", &configuration).expect("more services");
    fleet.wait_for_version(2);
    let address = fleet.plan.callers_address(0, 0);
    let timeout_header = [("copperweir-timeout-ms", "5000")];
    // This service already has requests, so the others are chosen before it.
    fleet.service.set_faults(Faults { slow_ms: 1000, ..Faults::default() });
    let is_busy = || !fleet.service.run_counts().is_empty();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in (0..).take_while(|_| !is_busy()) {
                fleet.submit_filing(address, &timeout_header, &format!("busy-{number}"));
            }
        });
        common::eventually("the service is busy", is_busy);
        for service in &resting {
            service.set_faults(Faults { refuse: true, rest_s: Some(3.0), ..Faults::default() });
        }
        assert_eq!(
            fleet.submit_filing(address, &timeout_header, "next").status,
            StatusCode::CREATED
        );
    });
}
