//! A request that crashes every service that executes it, as seen by callers of `serve`.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use common::Fleet;
use common::Plan;
use common::Reply;
use copperweir_standin::service::Faults;
use copperweir_standin::service::Service;
use http::StatusCode;
use serde_json::json;

/// Id of the filing that crashes services.
const FATAL: &str = "fatal";
/// Time until a crashed service is back.
const DOWNTIME: Duration = Duration::from_millis(1200);
const SERVICES: u16 = 3;
/// Interval of the fatal filings.
const FATAL_INTERVAL: Duration = Duration::from_millis(300);
/// How long the fatal filing keeps coming after the third crash.
const OBSERVED: Duration = Duration::from_secs(8);
/// Time from the third crash after which at most [`MAX_LATE_SENDS`] fatal filings may be executed.
const DETECTED: Duration = Duration::from_secs(1);
const MAX_LATE_SENDS: usize = 3;
/// Time from the third crash after which the services are back.
const RECOVERED: Duration = Duration::from_secs(4);

/// Starts the boxes, with services in the first region that crash under the fatal filing.
fn start_fleet(plan: Plan) -> (Fleet, Vec<Service>) {
    let fleet = Fleet::start(plan);
    let mut configuration = fleet.plan.configuration();
    let mut servers = BTreeMap::new();
    let mut services = Vec::new();
    for number in 0..SERVICES {
        let service = Service::default();
        service.set_faults(Faults { crash_on: Some(FATAL.to_owned()), ..Faults::default() });
        let mut address = fleet.plan.service_address(0);
        address.set_port(9001 + number);
        let server = service.clone();
        fleet.runtime.spawn(async move { server.serve_with_restarts(address, DOWNTIME).await });
        let entry =
            json!({"region": "north", "failure_domain": "a", "address": address.to_string()});
        servers.insert(format!("crashing-{number}"), entry);
        services.push(service);
    }
    configuration["services"]["intake"]["servers"] = json!(servers);
    fleet.apply("main", &configuration).expect("services that crash");
    fleet.wait_for_version(2);
    fleet.wait_for_members();
    (fleet, services)
}

fn crash_times(services: &[Service]) -> Vec<Instant> {
    let mut times: Vec<Instant> = services.iter().flat_map(Service::crash_times).collect();
    times.sort();
    times
}

fn submit(fleet: &Fleet, to: SocketAddr, id: &str) -> Reply {
    fleet.submit_filing(to, &[("copperweir-timeout-ms", "2000")], id)
}

/// Guards against sending a request on that crashes each service: three services crashed 37 times,
/// and a fifth of the sound requests were served.
#[test]
fn fatal_request_is_refused_by_all_boxes_and_others_are_served() {
    let (fleet, services) = start_fleet(Plan { regions: 2, boxes: 2, ..Plan::new(63) });
    let plan = fleet.plan;
    let boxes: Vec<SocketAddr> =
        (0..4).map(|number| plan.callers_address(number % 2, number / 2)).collect();
    let start = Instant::now();
    let mut next_fatal_at = start;
    let (mut sound, mut served) = (0, 0);
    for number in 0.. {
        let now = Instant::now();
        let third = crash_times(&services).get(2).copied();
        if third.is_some_and(|third| now > third + OBSERVED) {
            break;
        }
        assert!(now < start + OBSERVED * 4, "fewer than three crashes");
        if now >= next_fatal_at {
            next_fatal_at = now + FATAL_INTERVAL;
            submit(&fleet, boxes[number % boxes.len()], FATAL);
        }
        let reply = submit(&fleet, boxes[(number + 1) % boxes.len()], &format!("sound-{number}"));
        if third.is_some_and(|third| now > third + RECOVERED) {
            sound += 1;
            served += usize::from(reply.status == StatusCode::CREATED);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let crashes = crash_times(&services);
    let late = crashes.iter().filter(|at| **at > crashes[2] + DETECTED).count();
    assert!(late <= MAX_LATE_SENDS, "{late} late sends of {} crashes", crashes.len());
    assert!(served * 100 >= sound * 98, "{served} of {sound} sound filings served");
    for address in boxes {
        let sent_at = Instant::now();
        let reply = submit(&fleet, address, FATAL);
        assert_eq!(
            (reply.status, reply.code().as_str()),
            (StatusCode::SERVICE_UNAVAILABLE, "quarantined")
        );
        assert_eq!(reply.header("copperweir-ran"), "no");
        assert!(reply.header("retry-after").parse::<u64>().expect("seconds") > 60);
        assert!(sent_at.elapsed() < Duration::from_millis(400), "it is refused at once");
    }
}

/// Guards against a box that starts without the verdicts of the others.
#[test]
fn box_that_starts_later_refuses_a_known_fatal_request() {
    let (mut fleet, services) = start_fleet(Plan { boxes: 2, ..Plan::new(64) });
    let plan = fleet.plan;
    let first = plan.callers_address(0, 0);
    common::eventually("the request is refused", || {
        std::thread::sleep(Duration::from_millis(200));
        submit(&fleet, first, FATAL).code() == "quarantined"
    });
    fleet.kill_box(0, 1);
    fleet.start_box(0, 1);
    fleet.wait_for_version(2);
    fleet.wait_for_members();
    let crashes = crash_times(&services).len();
    let started = plan.callers_address(0, 1);
    let mut codes = Vec::new();
    for _ in 0..10 {
        codes.push(submit(&fleet, started, FATAL).code());
        std::thread::sleep(Duration::from_millis(200));
    }
    let more = crash_times(&services).len() - crashes;
    assert!(more <= MAX_LATE_SENDS, "{more} more crashes");
    assert_eq!(codes.last().map(String::as_str), Some("quarantined"), "{codes:?}");
}
