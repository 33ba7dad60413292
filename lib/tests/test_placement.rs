//! Which backend server gets a request, without sockets or a clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use copperweir_lib::coordination::candidate::Outcome;
use copperweir_lib::coordination::candidate::ServerState;
use copperweir_lib::coordination::candidate::server_hash;
use copperweir_lib::coordination::candidate::version_hash;
use copperweir_lib::coordination::coldness::Admission;
use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::loads::Load;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::placement::Blocked;
use copperweir_lib::coordination::placement::Eligible;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::placement::PlacementRequest;
use copperweir_lib::coordination::retries;
use copperweir_lib::coordination::retries::RetryBudget;
use copperweir_lib::coordination::shared_prefix::SharedPrefix;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::warmup;
use copperweir_lib::coordination::warmup::Share;
use copperweir_lib::protocol::adapter::PromptSegment;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::fleet::VersionHash;
use copperweir_lib::protocol::routing::Service;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Share of a box, also while it is not known whether the server is cold.
fn share(requests: u32) -> Share {
    Share { cold: requests, unconfirmed: requests, total: f64::from(requests) }
}

fn server_state(number: usize, slots: u32) -> ServerState {
    let server = Server {
        id: format!("i-{number}"),
        started_at: None,
        service: "s".to_owned(),
        version: "v1".to_owned(),
        address: ([10, 0, 0, number as u8], 80).into(),
        failure_domain: "z".to_owned(),
        slots,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    let server = Arc::new(server);
    ServerState {
        server,
        usable: true,
        role: Role::Serving,
        cold_until: None,
        cold_share: Some(share(2)),
        same_failure_domain: true,
    }
}

fn placement(count: usize, slots: u32, sharers: usize) -> Placement {
    let mut placement = Placement::new(Instant::now());
    let servers = (0..count).map(|number| server_state(number, slots)).collect();
    let service = Service {
        max_connections: 100,
        kv_cache_tokens: Some(300_000),
        health_path: Some("/health".to_owned()),
        ..Service::default()
    };
    placement.update(servers, sharers, &service, Instant::now());
    placement
}

/// Time from the start of the box to the first request of a test: requests of its earlier
/// incarnation count no longer.
const SINCE_START: Duration = Duration::from_secs(10);

/// Hash of the service.
const SERVICE: u64 = 3;
/// Consecutive lost responses that eject a server.
const LOST_RESPONSES_TO_EJECT: usize = 3;

struct Fixture {
    placement: Placement,
    loads: Loads,
    throttles: Throttles,
    now: Instant,
    rng: SmallRng,
}

impl Fixture {
    fn new(placement: Placement) -> Fixture {
        let rng = SmallRng::seed_from_u64(7);
        Fixture {
            placement,
            loads: Loads::default(),
            throttles: Throttles::new(0.0),
            now: Instant::now() + SINCE_START,
            rng,
        }
    }

    fn choose(&mut self, parts: &[PromptSegment]) -> Result<Place, Blocked> {
        self.choose_among(parts, Eligible::Healthy)
    }

    fn choose_among(
        &mut self,
        parts: &[PromptSegment],
        eligible: Eligible,
    ) -> Result<Place, Blocked> {
        self.choose_at_version(parts, eligible, None)
    }

    fn choose_at_version(
        &mut self,
        parts: &[PromptSegment],
        eligible: Eligible,
        version: Option<VersionHash>,
    ) -> Result<Place, Blocked> {
        let loads = &self.loads;
        let throttles = &self.throttles;
        let demand = PlacementRequest {
            parts,
            tried: &[],
            loads,
            throttles,
            service: SERVICE,
            eligible,
            role: Role::Serving,
            version,
            listed: None,
        };
        self.placement.choose(demand, self.now, &mut self.rng)
    }

    fn choose_without_prompt(&mut self) -> Result<Place, Blocked> {
        self.choose(&[])
    }

    /// Ends `count` requests at a server with an outcome.
    fn fail(&mut self, server: &str, outcome: Outcome, count: usize) {
        let mut failed = 0;
        while failed < count {
            let mut place = self.choose_without_prompt().expect("a place");
            let is_at_server = place.server == server;
            let outcome = if is_at_server { outcome } else { Outcome::Abandoned };
            self.placement.finish(&mut place, outcome, self.now);
            failed += usize::from(is_at_server);
        }
    }

    /// Probes all paths that are due.
    fn probe_due_paths(&mut self, connected: bool) {
        for target in self.placement.start_path_probes(usize::MAX, self.now, &mut self.rng) {
            self.placement.record_path_probe(&target.server, connected, self.now);
        }
    }
}

fn prompt(shared: u64) -> Vec<PromptSegment> {
    vec![
        PromptSegment { id: shared, tokens: 13_000 },
        PromptSegment { id: shared << 8, tokens: 3_000 },
    ]
}

#[test]
fn requests_spread_over_equal_servers() {
    let mut fixture = Fixture::new(placement(4, 8, 1));
    let mut counts = [0; 4];
    for _ in 0..40 {
        let place = fixture.choose_without_prompt().expect("a place");
        counts[place.server[2..].parse::<usize>().unwrap()] += 1;
    }
    assert_eq!(counts, [10; 4]);
}

#[test]
fn load_from_other_boxes_counts() {
    let mut fixture = Fixture::new(placement(2, 8, 2));
    let report = BoxReport {
        sender: 1,
        incarnation: 1,
        number: 1,
        servers: vec![server_hash("i-0")],
        in_flight: vec![6],
        unread: vec![0],
        ..BoxReport::default()
    };
    fixture.loads.receive(&report, fixture.now);
    for _ in 0..6 {
        assert_eq!(fixture.choose_without_prompt().expect("a place").server, "i-1");
    }
}

#[test]
fn reports_supersede_each_other_and_expire() {
    let mut loads = Loads::default();
    let now = Instant::now();
    let report = |number, in_flight| BoxReport {
        sender: 1,
        incarnation: 1,
        number,
        servers: vec![5],
        in_flight: vec![in_flight],
        unread: vec![100],
        ..BoxReport::default()
    };
    loads.receive(&report(2, 4), now);
    loads.receive(&report(1, 9), now);
    assert_eq!(loads.on_server(5), Load { in_flight: 4, prefill_tokens: 100 });
    loads.receive(&report(3, 1), now);
    assert_eq!((loads.on_server(5).in_flight, loads.reporting_boxes()), (1, 1));
    loads.expire(now + Duration::from_secs(2));
    assert_eq!((loads.on_server(5), loads.reporting_boxes()), (Load::default(), 0));
}

#[test]
fn full_servers_block_and_a_refusal_lowers_the_limit_to_the_slots() {
    let mut fixture = Fixture::new(placement(1, 4, 1));
    let mut places: Vec<Place> =
        std::iter::from_fn(|| fixture.choose_without_prompt().ok()).collect();
    assert_eq!(places.len(), 12, "three times the slots");
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Full);
    for place in &mut places {
        fixture.placement.finish(place, Outcome::Shed, fixture.now);
    }
    let places: Vec<Place> = std::iter::from_fn(|| fixture.choose_without_prompt().ok()).collect();
    assert_eq!(places.len(), 4);
}

#[test]
fn requests_use_only_a_part_of_a_servers_connections() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    let places = std::iter::from_fn(|| fixture.choose_without_prompt().ok()).count();
    assert_eq!(places, 80, "of 100 connections and 192 by slots");
}

#[test]
fn a_shared_prefix_stays_at_its_home() {
    let mut fixture = Fixture::new(placement(5, 64, 1));
    for shared in 1..20 {
        let parts = prompt(shared);
        let home = fixture.choose(&parts).expect("a place").server;
        for _ in 0..2 {
            let mut place = fixture.choose(&parts).expect("a place");
            assert_eq!(place.server, home, "shared prefix {shared}");
            assert!(place.at_home);
            fixture.placement.first_byte(&mut place);
        }
    }
}

/// The prefixes begin alike: the first part has one value, the second many.
#[test]
fn prefixes_that_begin_alike_have_different_homes() {
    let mut fixture = Fixture::new(placement(12, 64, 1));
    let mut homes = std::collections::BTreeSet::new();
    for prefix in 1..60u64 {
        let parts = [(7, 500), (prefix << 8, 5_000), (prefix << 16, 6_000)];
        let parts = parts.map(|(id, tokens)| PromptSegment { id, tokens });
        let mut place = fixture.choose(&parts).expect("a place");
        homes.insert(place.server.clone());
        fixture.placement.finish(&mut place, Outcome::Answered, fixture.now);
    }
    assert!(homes.len() >= 10, "59 prefixes at 12 servers: {homes:?}");
}

#[test]
fn a_prefix_is_computed_elsewhere_only_if_its_home_is_much_busier() {
    let mut fixture = Fixture::new(placement(6, 64, 1));
    let parts = prompt(5);
    let home = fixture.choose(&parts).expect("a place").server;
    let stayed = (0..100).take_while(|_| fixture.choose(&parts).expect("a place").server == home);
    let stayed = stayed.count();
    // Computing 13,000 tokens again counts eleven times; each request adds 3,000 tokens to the
    // queue at home.
    assert!((20..60).contains(&stayed), "{stayed}");
}

#[test]
fn only_long_prefixes_cross_regions() {
    let parts = |shared: u32| {
        [PromptSegment { id: 1, tokens: shared }, PromptSegment { id: 2, tokens: 9_000 }]
    };
    assert!(!SharedPrefix::of(&parts(90)).expect("a text").crosses_regions());
    assert!(SharedPrefix::of(&parts(13_000)).expect("a text").crosses_regions());
    assert_eq!(SharedPrefix::of(&parts(90)[1..]), None, "a prompt of one part shares nothing");
    assert_eq!(SharedPrefix::of(&[]), None);
}

#[test]
fn servers_that_failed_lately_come_after_all_others() {
    let mut fixture = Fixture::new(placement(12, 64, 1));
    let parts = prompt(5);
    let mut lost_responses: BTreeMap<String, usize> = BTreeMap::new();
    // While any server is healthy, the next choice is a server that has not failed.
    for _ in 0..12 * LOST_RESPONSES_TO_EJECT {
        let mut place = fixture.choose(&parts).expect("a place");
        let lost = lost_responses.entry(place.server.clone()).or_default();
        assert!(*lost < LOST_RESPONSES_TO_EJECT, "{} failed {lost} times", place.server);
        *lost += 1;
        fixture.placement.finish(&mut place, Outcome::Lost, fixture.now);
    }
    assert_eq!(
        fixture.choose(&parts).unwrap_err(),
        Blocked::Failing,
        "another region may be preferable"
    );
    assert!(
        fixture.choose_among(&parts, Eligible::Any).is_ok(),
        "a failed server is better than none"
    );
}

#[test]
fn a_server_that_lost_responses_is_ejected_and_tried_again() {
    let mut fixture = Fixture::new(placement(2, 8, 1));
    fixture.fail("i-0", Outcome::Lost, LOST_RESPONSES_TO_EJECT);
    for _ in 0..5 {
        assert_eq!(fixture.choose_without_prompt().expect("a place").server, "i-1");
    }
    fixture.now += Duration::from_secs(3);
    let back = (0..20).any(|_| fixture.choose_without_prompt().expect("a place").server == "i-0");
    assert!(back, "a trial request finds out whether it works again");
}

#[test]
fn when_all_failed_lately_one_of_them_is_better_than_a_refusal() {
    let mut fixture = Fixture::new(placement(2, 8, 1));
    fixture.fail("i-0", Outcome::Lost, LOST_RESPONSES_TO_EJECT);
    fixture.fail("i-1", Outcome::Lost, LOST_RESPONSES_TO_EJECT);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Failing);
    assert!(fixture.choose_among(&[], Eligible::Any).is_ok());
}

#[test]
fn requests_do_not_find_out_whether_a_lost_path_is_back() {
    let mut fixture = Fixture::new(placement(2, 8, 1));
    fixture.fail("i-0", Outcome::Unreachable, 1);
    for _ in 0..5 {
        fixture.now += Duration::from_secs(3);
        assert_eq!(fixture.choose_without_prompt().expect("a place").server, "i-1");
    }
    fixture.probe_due_paths(false);
    assert_eq!(fixture.choose_without_prompt().expect("a place").server, "i-1");
    fixture.now += Duration::from_secs(1);
    fixture.probe_due_paths(true);
    let back = (0..20).any(|_| fixture.choose_without_prompt().expect("a place").server == "i-0");
    assert!(back, "a probe found that the path is back");
}

#[test]
fn a_box_that_reaches_no_server_does_not_send_to_any() {
    let mut fixture = Fixture::new(placement(2, 8, 1));
    fixture.fail("i-0", Outcome::Unreachable, 1);
    assert!(!fixture.placement.is_unreachable());
    fixture.fail("i-1", Outcome::Unreachable, 1);
    assert!(fixture.placement.is_unreachable());
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Unreachable);
    assert_eq!(fixture.choose_among(&[], Eligible::Any).unwrap_err(), Blocked::Unreachable);
}

#[test]
fn three_lost_paths_without_a_response_stand_for_all() {
    let mut fixture = Fixture::new(placement(130, 8, 1));
    for _ in 0..3 {
        assert!(!fixture.placement.is_unreachable());
        let mut place = fixture.choose_without_prompt().expect("a place");
        fixture.placement.finish(&mut place, Outcome::Unreachable, fixture.now);
    }
    assert!(fixture.placement.is_unreachable());
    fixture.now += Duration::from_secs(1);
    fixture.probe_due_paths(true);
    assert_eq!(fixture.placement.unreachable_servers(), 0);
}

#[test]
fn servers_that_crash_at_the_same_moment_do_not_stand_for_others() {
    let mut fixture = Fixture::new(placement(5, 8, 1));
    let mut place = fixture.choose_without_prompt().expect("a place");
    fixture.placement.finish(&mut place, Outcome::Answered, fixture.now);
    for lost in 1..=4 {
        fixture.now += Duration::from_millis(1);
        let mut place = fixture.choose_without_prompt().expect("a place");
        fixture.placement.finish(&mut place, Outcome::Unreachable, fixture.now);
        assert_eq!(fixture.placement.unreachable_servers(), lost);
    }
}

#[test]
fn lost_paths_between_responses_do_not_stand_for_others() {
    let mut fixture = Fixture::new(placement(130, 8, 1));
    for lost in 1..=20 {
        let mut place = fixture.choose_without_prompt().expect("a place");
        fixture.placement.finish(&mut place, Outcome::Unreachable, fixture.now);
        assert_eq!(fixture.placement.unreachable_servers(), lost);
        let mut place = fixture.choose_without_prompt().expect("a place");
        fixture.placement.finish(&mut place, Outcome::Answered, fixture.now);
    }
}

#[test]
fn a_flapping_path_needs_more_probes_each_time() {
    let mut fixture = Fixture::new(placement(1, 8, 1));
    let mut probes = Vec::new();
    for _ in 0..5 {
        fixture.fail("i-0", Outcome::Unreachable, 1);
        let mut count = 0;
        while fixture.placement.is_unreachable() {
            fixture.now += Duration::from_millis(100);
            fixture.probe_due_paths(true);
            count += 1;
        }
        probes.push(count);
    }
    assert!(probes.is_sorted() && probes[4] >= 4 * probes[0], "{probes:?}");
}

#[test]
fn a_replaced_server_gets_no_requests() {
    let mut fixture = Fixture::new(placement(1, 8, 1));
    let mut place = fixture.choose_without_prompt().expect("a place");
    fixture.placement.finish(&mut place, Outcome::Replaced, fixture.now);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::NoServer);
}

/// The store shows the entry of a replaced server for some more seconds.
#[test]
fn a_replaced_server_gets_no_requests_whatever_the_store_shows() {
    let mut fixture = Fixture::new(placement(1, 8, 1));
    let mut place = fixture.choose_without_prompt().expect("a place");
    fixture.placement.finish(&mut place, Outcome::Replaced, fixture.now);
    fixture.placement.update(vec![server_state(0, 8)], 1, &Service::default(), fixture.now);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::NoServer);
}

#[test]
fn a_cold_server_gets_its_share_in_any_second() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    fixture.placement.record_cold_report("i-0", Duration::from_secs(60), fixture.now);
    let mut sent = Vec::new();
    for _ in 0..400 {
        if fixture.choose_without_prompt().is_ok() {
            sent.push(fixture.now);
        }
        fixture.now += Duration::from_millis(10);
    }
    for from in &sent {
        let within =
            sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        assert!(within.count() <= 2);
    }
    assert!(sent.len() >= 6, "it is used nevertheless: {}", sent.len());
}

#[test]
fn requests_sent_before_a_server_was_known_to_be_cold_count() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    for _ in 0..5 {
        fixture.choose_without_prompt().expect("a place on a warm server");
    }
    fixture.placement.record_cold_report("i-0", Duration::from_secs(60), fixture.now);
    fixture.now += Duration::from_millis(900);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Full);
    fixture.now += Duration::from_millis(400);
    assert!(fixture.choose_without_prompt().is_ok());
}

#[test]
fn a_box_that_has_just_started_leaves_cold_servers_to_others() {
    let mut fixture = Fixture::new(placement(2, 64, 1));
    fixture.now -= SINCE_START;
    fixture.placement.record_cold_report("i-0", Duration::from_secs(60), fixture.now);
    for _ in 0..10 {
        assert_eq!(
            fixture.choose_without_prompt().expect("a place on the warm server").server,
            "i-1"
        );
    }
    fixture.placement.record_cold_report("i-1", Duration::from_secs(60), fixture.now);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Full);
    fixture.now += Duration::from_millis(1300);
    assert!(fixture.choose_without_prompt().is_ok());
}

#[test]
fn a_cold_server_that_returns_does_not_get_its_share_again() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    let service = Service { max_connections: 100, ..Service::default() };
    let cold = ServerState {
        cold_until: Some(fixture.now + Duration::from_secs(60)),
        ..server_state(0, 64)
    };
    fixture.placement.update(vec![cold.clone()], 1, &service, fixture.now);
    assert_eq!(places(&mut fixture, 10), 2);
    fixture.now += Duration::from_millis(100);
    fixture.placement.update(Vec::new(), 1, &service, fixture.now);
    fixture.now += Duration::from_millis(100);
    fixture.placement.update(vec![cold], 1, &service, fixture.now);
    assert_eq!(places(&mut fixture, 10), 0);
    fixture.now += Duration::from_millis(1200);
    assert_eq!(places(&mut fixture, 10), 2);
}

/// Servers that have just answered that they are not cold.
fn warm_fixture(servers: usize) -> Fixture {
    let mut fixture = Fixture::new(placement(servers, 64, 1));
    (0..servers).for_each(|server| record_warm_answer(&mut fixture, server));
    fixture
}

/// Records the answer of a server to a query that was sent now.
fn record_warm_answer(fixture: &mut Fixture, server: usize) {
    let now = fixture.now;
    fixture.placement.record_query_answer(&format!("i-{server}"), Duration::ZERO, now, now);
}

fn places(fixture: &mut Fixture, tries: usize) -> usize {
    (0..tries).filter(|_| fixture.choose_without_prompt().is_ok()).count()
}

/// Tries to send a request 10 times, each time at any server, and returns how many are sent.
fn try_to_send(fixture: &mut Fixture) -> usize {
    let mut places: Vec<Place> =
        (0..10).filter_map(|_| fixture.choose_without_prompt().ok()).collect();
    sends(fixture, &mut places)
}

#[test]
fn a_report_of_being_warm_covers_the_share_of_a_cold_server() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    assert_eq!(try_to_send(&mut fixture), 2, "without a report");
    fixture.now += Duration::from_millis(1);
    record_warm_answer(&mut fixture, 0);
    assert_eq!(try_to_send(&mut fixture), 2);
    fixture.now += Duration::from_millis(1);
    fixture.placement.record_peer_cold_report(server_hash("i-0"), Duration::ZERO, fixture.now);
    fixture.now += Duration::from_millis(1);
    assert_eq!(try_to_send(&mut fixture), 2, "another box has the report");
    assert_eq!(try_to_send(&mut fixture), 0);
    fixture.now += Duration::from_millis(1300);
    assert_eq!(try_to_send(&mut fixture), 2, "its share as a cold server");
}

/// An answer says what held after the query, and may have waited for a slot or in this box.
#[test]
fn a_late_answer_does_not_cover_what_was_sent_since_the_query() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    let queried_at = fixture.now;
    fixture.now += Duration::from_millis(1);
    assert_eq!(try_to_send(&mut fixture), 2);
    fixture.now += Duration::from_millis(400);
    fixture.placement.record_query_answer("i-0", Duration::ZERO, queried_at, fixture.now);
    assert_eq!(try_to_send(&mut fixture), 0);
}

#[test]
fn a_server_without_a_report_is_queried_once_at_a_time() {
    let mut fixture = Fixture::new(placement(1, 64, 1));
    try_to_send(&mut fixture);
    let mut place = fixture.choose_without_prompt().expect("a place");
    let now = fixture.now;
    assert_eq!(fixture.placement.admit_send(&mut place, now), Admission::Unconfirmed);
    assert!(fixture.placement.start_query(&place, now).is_some());
    assert!(fixture.placement.start_query(&place, now).is_none());
    assert!(fixture.placement.start_query(&place, now + Duration::from_millis(600)).is_some());
    fixture.placement.record_query_answer("i-0", Duration::ZERO, now, now);
    assert_eq!(fixture.placement.take_untold_answers().len(), 1);
    assert!(fixture.placement.start_query(&place, now).is_some());
}

/// A server that does not answer gets what it can handle while cold, and the rest goes to others.
#[test]
fn a_server_that_is_slow_to_answer_gets_no_more_than_reports_cover() {
    let mut fixture = Fixture::new(placement(2, 64, 1));
    try_to_send(&mut fixture);
    let place = fixture.choose_without_prompt().expect("a place");
    assert!(fixture.placement.start_query(&place, fixture.now).is_some());
    fixture.now += Duration::from_millis(200);
    for _ in 0..10 {
        assert_ne!(fixture.choose_without_prompt().expect("a place").server, place.server);
    }
    fixture.now += Duration::from_millis(400);
    let servers = (0..20).map(|_| fixture.choose_without_prompt().expect("a place").server);
    assert!(servers.filter(|server| *server == place.server).count() > 0, "queried again");
}

#[test]
fn a_server_that_reports_being_cold_is_cold_whatever_the_store_shows() {
    let mut fixture = warm_fixture(1);
    fixture.placement.record_cold_report("i-0", Duration::from_secs(3), fixture.now);
    let service =
        Service { max_connections: 100, health_path: Some("/h".to_owned()), ..Service::default() };
    fixture.placement.update(vec![server_state(0, 64)], 1, &service, fixture.now);
    assert_eq!(places(&mut fixture, 10), 2);
    fixture.now += Duration::from_millis(3100);
    assert_eq!(places(&mut fixture, 10), 2, "requests of its cold time still count");
    fixture.now += Duration::from_millis(1200);
    assert_eq!(places(&mut fixture, 10), 10);
}

#[test]
fn warm_reports_of_a_failure_domain_are_doubted_when_one_of_its_servers_turns_cold() {
    let mut fixture = Fixture::new(placement(3, 64, 1));
    while try_to_send(&mut fixture) > 0 {}
    fixture.now += Duration::from_millis(20);
    (0..3).for_each(|server| record_warm_answer(&mut fixture, server));
    fixture.placement.record_cold_report("i-1", Duration::from_secs(3), fixture.now);
    assert_eq!(try_to_send(&mut fixture), 0);
    let before = fixture.now - Duration::from_millis(10);
    fixture.placement.record_peer_cold_report(server_hash("i-2"), Duration::ZERO, before);
    assert_eq!(try_to_send(&mut fixture), 0, "the datagram with an older report is late");
    fixture.now += Duration::from_millis(1);
    record_warm_answer(&mut fixture, 0);
    assert_eq!(try_to_send(&mut fixture), 2, "one of them is warm after that");
}

#[test]
fn cold_reports_are_passed_on_for_a_short_while() {
    let mut fixture = warm_fixture(2);
    fixture.placement.record_peer_cold_report(
        server_hash("i-1"),
        Duration::from_secs(3),
        fixture.now,
    );
    let reports: Vec<_> = fixture.placement.cold_reports(fixture.now).collect();
    assert_eq!(reports.len(), 2);
    assert!(reports.contains(&(server_hash("i-0"), Duration::ZERO, fixture.now)));
    assert!(reports.contains(&(server_hash("i-1"), Duration::from_secs(3), fixture.now)));
    fixture.now += Duration::from_secs(1);
    assert_eq!(fixture.placement.cold_reports(fixture.now).count(), 0);
}

#[test]
fn a_server_that_cannot_be_probed_or_never_turns_cold_is_not_limited() {
    let mut fixture = warm_fixture(1);
    fixture.now += Duration::from_secs(5);
    let service = Service { max_connections: 100, ..Service::default() };
    fixture.placement.update(vec![server_state(0, 64)], 1, &service, fixture.now);
    assert_eq!(try_to_send(&mut fixture), 10);
    let service = Service { max_connections: 100, health_path: Some("/h".to_owned()), ..service };
    fixture.placement.update(
        vec![ServerState { cold_share: None, ..server_state(0, 64) }],
        1,
        &service,
        fixture.now,
    );
    assert_eq!(try_to_send(&mut fixture), 10);
}

/// Sends the requests that hold places, and returns how many are sent.
fn sends(fixture: &mut Fixture, places: &mut [Place]) -> usize {
    let Fixture { placement, now, .. } = fixture;
    let mut sent = 0;
    for place in places {
        sent += usize::from(placement.admit_send(place, *now) == Admission::Granted);
    }
    sent
}

/// Requests that already held a place were sent after the server had reported that it is cold.
#[test]
fn requests_with_a_place_do_not_flood_a_server_that_turns_cold_before_they_are_sent() {
    let mut fixture = warm_fixture(1);
    let mut places: Vec<Place> =
        (0..10).filter_map(|_| fixture.choose_without_prompt().ok()).collect();
    fixture.now += Duration::from_millis(100);
    fixture.placement.record_cold_report("i-0", Duration::from_secs(3), fixture.now);
    fixture.now += Duration::from_millis(100);
    assert!(sends(&mut fixture, &mut places) <= 2);
}

/// Places that were taken more than a second apart were all used at the same moment.
#[test]
fn requests_that_wait_for_connections_do_not_flood_a_cold_server_together() {
    let mut fixture = warm_fixture(1);
    fixture.placement.record_cold_report("i-0", Duration::from_secs(60), fixture.now);
    let mut places = Vec::new();
    for _ in 0..3 {
        places.extend((0..10).filter_map(|_| fixture.choose_without_prompt().ok()));
        fixture.now += Duration::from_millis(1250);
    }
    assert!((1..=2).contains(&sends(&mut fixture, &mut places)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// All boxes together keep to the limit of a cold server, however many there are.
    #[test]
    fn shares_of_a_cold_server_add_up(rate in 0.0..40.0f64, slack in 0.0..5.0f64, boxes in 1..120usize) {
        let bound = warmup::ColdLimit { rate, excess: 1.5, slack };
        let shares: Vec<Share> = (0..boxes).map(|rank| bound.share(boxes, rank)).collect();
        let total: u32 = shares.iter().map(|share| share.cold).sum();
        prop_assert!(f64::from(total) <= rate * 1.5 + slack);
        prop_assert!(shares.iter().all(|share| share.unconfirmed <= share.cold));
    }

    /// All boxes together keep to the retry budget, however the requests are distributed.
    #[test]
    fn shares_of_the_retry_budget_add_up(requests in prop::collection::vec(0..300u32, 1..40)) {
        let bound = retries::RetryLimit { ratio: 0.2, window: Duration::from_secs(10), extra: 58.0 };
        let now = Instant::now();
        let mut repeats = 0;
        for count in &requests {
            let mut budget = RetryBudget::new(bound, now);
            (0..*count).for_each(|_| budget.record_first_send(now));
            repeats += (0..1000).filter(|_| budget.try_resend(requests.len(), now)).count();
        }
        let total: u32 = requests.iter().sum();
        prop_assert!(repeats as f64 <= 0.2 * f64::from(total) + 58.0);
    }
}

#[test]
fn the_retry_budget_recovers_with_time() {
    let bound = retries::RetryLimit { ratio: 0.0, window: Duration::from_secs(10), extra: 10.0 };
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(bound, now);
    assert!(!budget.try_resend(1, now), "a box that starts has nothing yet");
    now += Duration::from_secs(10);
    let spent =
        |budget: &mut RetryBudget, now| (0..20).filter(|_| budget.try_resend(1, now)).count();
    assert_eq!(spent(&mut budget, now), 4, "half of what is usable");
    now += Duration::from_secs(9);
    assert_eq!(spent(&mut budget, now), 3, "nine tenths of the other half have accrued");
    now += Duration::from_secs(1);
    assert_eq!(spent(&mut budget, now), 1, "eight in all");
    now += Duration::from_secs(2);
    assert!(budget.try_resend(1, now));
}

#[test]
fn stream_that_continues_gets_servers_of_its_version_unless_an_upgrade_took_them_out() {
    let state = |number: usize, version: &str, role| {
        let server = server_state(number, 8).server;
        let server = Arc::new(Server { version: version.to_owned(), ..(*server).clone() });
        ServerState { server, role, ..server_state(number, 8) }
    };
    let mut states: Vec<ServerState> = (0..8).map(|n| state(n, "v1", Role::Serving)).collect();
    states.push(state(8, "v2", Role::Canary));
    states.push(state(9, "v3", Role::Retired));
    states.push(state(10, "v4", Role::Rejected));
    let mut fixture = Fixture::new(placement(0, 8, 1));
    let service = Service { max_connections: 100, ..Service::default() };
    fixture.placement.update(states, 1, &service, fixture.now);
    let mut chosen_at = |version: &str| {
        let version = Some(version_hash(version));
        let chosen = fixture.choose_at_version(&[], Eligible::Any, version);
        chosen.map(|place| place.registration.version.clone())
    };
    for _ in 0..20 {
        assert_eq!(chosen_at("v1").as_deref(), Ok("v1"));
    }
    assert_eq!(chosen_at("v2").as_deref(), Ok("v2"));
    for version in ["v3", "v4", "V1", "v1 ", ""] {
        assert_eq!(chosen_at(version), Err(Blocked::NoServer), "{version:?}");
    }
}

/// A server restarts under its id: requests of the earlier incarnation end without effect, and its
/// failures, cached prefixes and reports by other boxes count no longer.
#[test]
fn a_new_incarnation_of_a_server_starts_afresh() {
    let restarted = |seconds| {
        let server = server_state(0, 8).server;
        let born = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
        let server = Arc::new(Server { started_at: Some(born), ..(*server).clone() });
        ServerState { server, ..server_state(0, 8) }
    };
    let service =
        Service { max_connections: 100, kv_cache_tokens: Some(300_000), ..Service::default() };
    let mut fixture = Fixture::new(placement(0, 8, 1));
    fixture.placement.update(vec![restarted(1)], 1, &service, fixture.now);
    let mut held = fixture.choose(&prompt(1)).expect("a place");
    let first_incarnation: Vec<u64> =
        fixture.placement.own_loads().map(|(incarnation, _)| incarnation).collect();
    for _ in 0..20 {
        let mut lost = fixture.choose_among(&[], Eligible::Any).expect("a place");
        fixture.placement.finish(&mut lost, Outcome::Lost, fixture.now);
    }
    assert!(fixture.choose_without_prompt().is_err(), "it failed too often");
    fixture.now += Duration::from_secs(2);
    fixture.placement.update(vec![restarted(2)], 1, &service, fixture.now);
    let place = fixture.choose(&prompt(1)).expect("the new incarnation has not failed");
    assert_eq!((place.in_flight, place.prefill_tokens > 10_000.0 || place.at_home), (1, true));
    fixture.placement.finish(&mut held, Outcome::Lost, fixture.now);
    let loads: Vec<_> = fixture.placement.own_loads().collect();
    assert_eq!((loads.len(), loads[0].1.in_flight), (1, 1), "its own request is still there");
    assert_ne!(loads[0].0, first_incarnation[0]);
}

/// One of two servers limits its rate: requests beyond the limit go to the other one, and are
/// refused only once that one is full.
#[test]
fn a_rate_limited_server_gets_no_more_while_others_have_capacity() {
    let mut fixture = Fixture::new(placement(2, 4, 1));
    let incarnation = fixture.placement.usable_incarnations().next().expect("a server");
    fixture.throttles.record_rate(incarnation, 1, Some(2.0), fixture.now);
    for _ in 0..12 {
        assert_eq!(fixture.choose_without_prompt().expect("a place on the other").server, "i-1");
    }
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Throttled);
    let is_throttled = |fixture: &mut Fixture| {
        fixture.placement.is_closed(SERVICE, &fixture.loads, &fixture.throttles, fixture.now)
    };
    assert!(is_throttled(&mut fixture));
    fixture.now += Duration::from_millis(500);
    assert!(!is_throttled(&mut fixture), "the rate admits one request");
    let place = fixture.choose_without_prompt().expect("a place");
    assert_eq!(place.server, "i-0");
    fixture.throttles.record_sent(place.incarnation, fixture.now);
    assert_eq!(fixture.choose_without_prompt().unwrap_err(), Blocked::Throttled);
    fixture.throttles.record_rate(incarnation, 1, None, fixture.now);
    assert!(fixture.choose_without_prompt().is_ok());
}

/// If all its slots counted, a region whose only free server limits its rate would look idle to
/// others.
#[test]
fn a_rate_limited_server_counts_with_the_slots_that_it_uses() {
    let mut fixture = Fixture::new(placement(2, 64, 1));
    let incarnation = fixture.placement.usable_incarnations().next().expect("a server");
    fixture.throttles.record_rate(incarnation, 1, Some(3.0), fixture.now);
    assert_eq!(
        fixture
            .placement
            .utilization(SERVICE, &fixture.loads, &fixture.throttles, fixture.now)
            .slots,
        67.0
    );
}
