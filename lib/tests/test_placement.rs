//! Which backend server gets a request, without sockets or a clock.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use copperweir_lib::coordination::candidate::Known;
use copperweir_lib::coordination::candidate::Outcome;
use copperweir_lib::coordination::candidate::server_hash;
use copperweir_lib::coordination::loads::Load;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::loads::Report;
use copperweir_lib::coordination::placement::Among;
use copperweir_lib::coordination::placement::Blocked;
use copperweir_lib::coordination::placement::Demand;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::retries;
use copperweir_lib::coordination::retries::RetryBudget;
use copperweir_lib::coordination::text::Text;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::warmup;
use copperweir_lib::protocol::adapter::Part;
use copperweir_lib::protocol::fleet::Server;
use copperweir_lib::protocol::routing::Service;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn known(number: usize, slots: u32) -> Known {
    let server = Server {
        id: format!("i-{number}"),
        born: None,
        service: "s".to_owned(),
        address: ([10, 0, 0, number as u8], 80).into(),
        failure_domain: "z".to_owned(),
        slots,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    let server = Arc::new(server);
    Known { server, usable: true, cold_until: None, cold_share: Some(2), near: true }
}

fn placement(count: usize, slots: u32, sharers: usize) -> Placement {
    let mut placement = Placement::new(Instant::now());
    let servers = (0..count).map(|number| known(number, slots)).collect();
    let service = Service {
        max_connections: 100,
        memory_tokens: Some(300_000),
        health_path: Some("/health".to_owned()),
        ..Service::default()
    };
    placement.update(servers, sharers, &service, Instant::now());
    placement
}

/// Time from a box's start to a test's first request: its former life counts no longer.
const SINCE_START: Duration = Duration::from_secs(10);

struct Test {
    placement: Placement,
    loads: Loads,
    throttles: Throttles,
    now: Instant,
    rng: SmallRng,
    stale: bool,
}

impl Test {
    fn new(placement: Placement) -> Test {
        let rng = SmallRng::seed_from_u64(7);
        Test {
            placement,
            loads: Loads::default(),
            throttles: Throttles::new(0.0),
            now: Instant::now() + SINCE_START,
            rng,
            stale: false,
        }
    }

    fn choose(&mut self, parts: &[Part]) -> Result<Place, Blocked> {
        self.choose_among(parts, Among::Sound)
    }

    fn choose_among(&mut self, parts: &[Part], among: Among) -> Result<Place, Blocked> {
        let loads = &self.loads;
        let throttles = &self.throttles;
        let demand = Demand { parts, tried: &[], loads, throttles, among, stale: self.stale };
        self.placement.choose(demand, self.now, &mut self.rng)
    }

    fn short(&mut self) -> Result<Place, Blocked> {
        self.choose(&[])
    }
}

fn prompt(shared: u64) -> Vec<Part> {
    vec![Part { id: shared, tokens: 13_000 }, Part { id: shared << 8, tokens: 3_000 }]
}

#[test]
fn requests_spread_over_equal_servers() {
    let mut test = Test::new(placement(4, 8, 1));
    let mut counts = [0; 4];
    for _ in 0..40 {
        let place = test.short().expect("a place");
        counts[place.server[2..].parse::<usize>().unwrap()] += 1;
    }
    assert_eq!(counts, [10; 4]);
}

#[test]
fn what_others_have_on_a_server_counts() {
    let mut test = Test::new(placement(2, 8, 2));
    let report = Report {
        sender: 1,
        incarnation: 1,
        number: 1,
        servers: vec![server_hash("i-0")],
        in_flight: vec![6],
        unread: vec![0],
        ..Report::default()
    };
    test.loads.hear(&report, test.now);
    for _ in 0..6 {
        assert_eq!(test.short().expect("a place").server, "i-1");
    }
}

#[test]
fn reports_supersede_each_other_and_age() {
    let mut loads = Loads::default();
    let now = Instant::now();
    let report = |number, in_flight| Report {
        sender: 1,
        incarnation: 1,
        number,
        servers: vec![5],
        in_flight: vec![in_flight],
        unread: vec![100],
        ..Report::default()
    };
    loads.hear(&report(2, 4), now);
    loads.hear(&report(1, 9), now);
    assert_eq!(loads.on(5), Load { in_flight: 4, unread: 100 });
    loads.hear(&report(3, 1), now);
    assert_eq!((loads.on(5).in_flight, loads.heard()), (1, 1));
    loads.expire(now + Duration::from_secs(2));
    assert_eq!((loads.on(5), loads.heard()), (Load::default(), 0));
}

#[test]
fn full_servers_block_and_a_refusal_lowers_the_limit_to_the_slots() {
    let mut test = Test::new(placement(1, 4, 1));
    let mut places: Vec<Place> = std::iter::from_fn(|| test.short().ok()).collect();
    assert_eq!(places.len(), 12, "three times the slots");
    assert_eq!(test.short().unwrap_err(), Blocked::Full);
    for place in &mut places {
        test.placement.finish(place, Outcome::Shed, test.now);
    }
    let places: Vec<Place> = std::iter::from_fn(|| test.short().ok()).collect();
    assert_eq!(places.len(), 4);
}

#[test]
fn requests_in_flight_leave_room_under_the_connections_that_a_server_takes() {
    let mut test = Test::new(placement(1, 64, 1));
    let places = std::iter::from_fn(|| test.short().ok()).count();
    assert_eq!(places, 80, "of 100 connections and 192 by slots");
}

#[test]
fn a_shared_text_stays_at_its_home() {
    let mut test = Test::new(placement(5, 64, 1));
    for shared in 1..20 {
        let parts = prompt(shared);
        let home = test.choose(&parts).expect("a place").server;
        for _ in 0..2 {
            let mut place = test.choose(&parts).expect("a place");
            assert_eq!(place.server, home, "shared text {shared}");
            assert!(place.at_home);
            test.placement.first_byte(&mut place);
        }
    }
}

/// Prompts whose texts begin alike: the first part has one value, the second many.
#[test]
fn texts_that_begin_alike_have_homes_of_their_own() {
    let mut test = Test::new(placement(12, 64, 1));
    let mut homes = std::collections::BTreeSet::new();
    for text in 1..60u64 {
        let parts = [(7, 500), (text << 8, 5_000), (text << 16, 6_000)];
        let parts = parts.map(|(id, tokens)| Part { id, tokens });
        let mut place = test.choose(&parts).expect("a place");
        homes.insert(place.server.clone());
        test.placement.finish(&mut place, Outcome::Answered, test.now);
    }
    assert!(homes.len() >= 10, "59 texts at 12 servers: {homes:?}");
}

#[test]
fn a_text_is_read_elsewhere_only_when_its_home_has_much_more_to_read() {
    let mut test = Test::new(placement(6, 64, 1));
    let parts = prompt(5);
    let home = test.choose(&parts).expect("a place").server;
    let stayed = (0..100).take_while(|_| test.choose(&parts).expect("a place").server == home);
    let stayed = stayed.count();
    // Reading 13,000 tokens again counts eleven times; each request adds 3,000 to what waits at home.
    assert!((20..60).contains(&stayed), "{stayed}");
}

#[test]
fn only_texts_that_are_long_to_read_travel() {
    let parts = |shared: u32| [Part { id: 1, tokens: shared }, Part { id: 2, tokens: 9_000 }];
    assert!(!Text::of(&parts(90)).expect("a text").travels());
    assert!(Text::of(&parts(13_000)).expect("a text").travels());
    assert_eq!(Text::of(&parts(90)[1..]), None, "a prompt of its own shares nothing");
    assert_eq!(Text::of(&[]), None);
}

#[test]
fn servers_that_failed_lately_come_after_all_others() {
    let mut test = Test::new(placement(12, 64, 1));
    let parts = prompt(5);
    let mut failed: Vec<String> = Vec::new();
    // As long as any server is sound, the next choice is one that has not failed.
    for _ in 0..12 {
        let mut place = test.choose(&parts).expect("a place");
        assert!(!failed.contains(&place.server), "{} after {failed:?}", place.server);
        failed.push(place.server.clone());
        test.placement.finish(&mut place, Outcome::Unreachable, test.now);
    }
    assert_eq!(test.choose(&parts).unwrap_err(), Blocked::Failing, "another region may do better");
    assert!(test.choose_among(&parts, Among::Any).is_ok(), "any is better than none");
}

#[test]
fn an_unreachable_server_is_left_out_and_tried_again() {
    let mut test = Test::new(placement(2, 8, 1));
    let mut place = loop {
        let place = test.short().expect("a place");
        if place.server == "i-0" {
            break place;
        }
    };
    test.placement.finish(&mut place, Outcome::Unreachable, test.now);
    for _ in 0..5 {
        assert_eq!(test.short().expect("a place").server, "i-1");
    }
    test.now += Duration::from_secs(3);
    let back = (0..20).any(|_| test.short().expect("a place").server == "i-0");
    assert!(back, "a trial finds out whether it is back");
}

#[test]
fn when_all_failed_lately_one_of_them_is_better_than_a_refusal() {
    let mut test = Test::new(placement(2, 8, 1));
    for _ in 0..2 {
        let mut place = test.short().expect("a place");
        test.placement.finish(&mut place, Outcome::Unreachable, test.now);
    }
    assert_eq!(test.short().unwrap_err(), Blocked::Failing);
    assert!(test.choose_among(&[], Among::Any).is_ok());
}

#[test]
fn a_server_whose_address_has_another_instance_gets_no_more() {
    let mut test = Test::new(placement(1, 8, 1));
    let mut place = test.short().expect("a place");
    test.placement.finish(&mut place, Outcome::Replaced, test.now);
    assert_eq!(test.short().unwrap_err(), Blocked::NoServer);
}

/// The store shows the entry of a server that was replaced for seconds more.
#[test]
fn a_replaced_server_gets_no_more_whatever_the_store_shows() {
    let mut test = Test::new(placement(1, 8, 1));
    let mut place = test.short().expect("a place");
    test.placement.finish(&mut place, Outcome::Replaced, test.now);
    test.placement.update(vec![known(0, 8)], 1, &Service::default(), test.now);
    assert_eq!(test.short().unwrap_err(), Blocked::NoServer);
}

#[test]
fn a_cold_server_gets_its_share_in_any_second() {
    let mut test = Test::new(placement(1, 64, 1));
    test.placement.said("i-0", Duration::from_secs(60), test.now);
    let mut sent = Vec::new();
    for _ in 0..400 {
        if test.short().is_ok() {
            sent.push(test.now);
        }
        test.now += Duration::from_millis(10);
    }
    for from in &sent {
        let within =
            sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        assert!(within.count() <= 2);
    }
    assert!(sent.len() >= 6, "it is used all the same: {}", sent.len());
}

#[test]
fn what_a_server_got_before_it_was_known_to_be_cold_counts() {
    let mut test = Test::new(placement(1, 64, 1));
    for _ in 0..5 {
        test.short().expect("a place on a warm server");
    }
    test.placement.said("i-0", Duration::from_secs(60), test.now);
    test.now += Duration::from_millis(900);
    assert_eq!(test.short().unwrap_err(), Blocked::Full);
    test.now += Duration::from_millis(400);
    assert!(test.short().is_ok());
}

#[test]
fn a_box_that_has_just_started_leaves_cold_servers_to_others() {
    let mut test = Test::new(placement(2, 64, 1));
    test.now -= SINCE_START;
    test.placement.said("i-0", Duration::from_secs(60), test.now);
    for _ in 0..10 {
        assert_eq!(test.short().expect("a place on the warm server").server, "i-1");
    }
    test.placement.said("i-1", Duration::from_secs(60), test.now);
    assert_eq!(test.short().unwrap_err(), Blocked::Full);
    test.now += Duration::from_millis(1300);
    assert!(test.short().is_ok());
}

#[test]
fn a_cold_server_that_was_gone_for_a_moment_does_not_get_its_share_again() {
    let mut test = Test::new(placement(1, 64, 1));
    let service = Service { max_connections: 100, ..Service::default() };
    let cold = Known { cold_until: Some(test.now + Duration::from_secs(60)), ..known(0, 64) };
    test.placement.update(vec![cold.clone()], 1, &service, test.now);
    assert_eq!(places(&mut test, 10), 2);
    test.now += Duration::from_millis(100);
    test.placement.update(Vec::new(), 1, &service, test.now);
    test.now += Duration::from_millis(100);
    test.placement.update(vec![cold], 1, &service, test.now);
    assert_eq!(places(&mut test, 10), 0);
    test.now += Duration::from_millis(1200);
    assert_eq!(places(&mut test, 10), 2);
}

/// A test of servers in a state that is stale, all of which have said that they are not cold.
fn stale_test(servers: usize) -> Test {
    let mut test = Test::new(placement(servers, 64, 1));
    test.stale = true;
    for server in 0..servers {
        test.placement.said(&format!("i-{server}"), Duration::ZERO, test.now);
    }
    test
}

fn places(test: &mut Test, tries: usize) -> usize {
    (0..tries).filter(|_| test.short().is_ok()).count()
}

#[test]
fn in_a_stale_state_a_server_needs_a_recent_word_to_count_as_warm() {
    let mut test = stale_test(1);
    assert_eq!(places(&mut test, 10), 10);
    test.now += Duration::from_millis(700);
    assert_eq!(places(&mut test, 10), 0);
    test.now += Duration::from_millis(600);
    assert_eq!(places(&mut test, 10), 2, "its share as a cold server");
    test.placement.said_elsewhere(server_hash("i-0"), Duration::ZERO, test.now);
    assert_eq!(places(&mut test, 10), 10);
}

#[test]
fn a_server_that_says_it_is_cold_counts_as_such_whatever_the_store_says() {
    let mut test = stale_test(1);
    test.placement.said("i-0", Duration::from_secs(3), test.now);
    test.stale = false;
    let service =
        Service { max_connections: 100, health_path: Some("/h".to_owned()), ..Service::default() };
    test.placement.update(vec![known(0, 64)], 1, &service, test.now);
    assert_eq!(places(&mut test, 10), 2);
    test.now += Duration::from_millis(3100);
    assert_eq!(places(&mut test, 10), 10);
}

#[test]
fn servers_of_a_failure_domain_are_doubted_together() {
    let mut test = stale_test(3);
    test.placement.said("i-1", Duration::from_secs(3), test.now);
    test.placement.said("i-0", Duration::ZERO, test.now);
    assert_eq!(places(&mut test, 20), 6);
    test.now += Duration::from_millis(1300);
    test.placement.said("i-0", Duration::ZERO, test.now);
    assert!(places(&mut test, 20) >= 18);
}

#[test]
fn what_a_server_said_is_told_on_for_a_short_while() {
    let mut test = stale_test(2);
    test.placement.said_elsewhere(server_hash("i-1"), Duration::from_secs(3), test.now);
    let told: Vec<_> = test.placement.words(test.now).collect();
    assert_eq!(told.len(), 2);
    assert!(told.contains(&(server_hash("i-0"), Duration::ZERO, test.now)));
    assert!(told.contains(&(server_hash("i-1"), Duration::from_secs(3), test.now)));
    test.now += Duration::from_secs(1);
    assert_eq!(test.placement.words(test.now).count(), 0);
}

#[test]
fn a_server_that_cannot_be_asked_or_never_turns_cold_is_not_limited() {
    let mut test = stale_test(1);
    test.now += Duration::from_secs(5);
    let service = Service { max_connections: 100, ..Service::default() };
    test.placement.update(vec![known(0, 64)], 1, &service, test.now);
    assert_eq!(places(&mut test, 10), 10);
    let service = Service { max_connections: 100, health_path: Some("/h".to_owned()), ..service };
    test.placement.update(vec![Known { cold_share: None, ..known(0, 64) }], 1, &service, test.now);
    assert_eq!(places(&mut test, 10), 10);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// All boxes together keep to the bound of a cold server, however many there are.
    #[test]
    fn shares_of_a_cold_server_add_up(rate in 0.0..40.0f64, slack in 0.0..5.0f64, boxes in 1..120usize) {
        let bound = warmup::Bound { rate, excess: 1.5, slack };
        let total: u32 = (0..boxes).map(|rank| bound.share(boxes, rank)).sum();
        prop_assert!(f64::from(total) <= rate * 1.5 + slack);
    }

    /// All boxes together keep to the retry budget, whoever gets the requests.
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
fn the_retry_budget_comes_back_with_time() {
    let bound = retries::RetryLimit { ratio: 0.0, window: Duration::from_secs(10), extra: 10.0 };
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(bound, now);
    let spent = (0..20).filter(|_| budget.try_resend(1, now)).count();
    assert_eq!(spent, 8);
    now += Duration::from_secs(9);
    assert!(!budget.try_resend(1, now));
    now += Duration::from_secs(2);
    assert!(budget.try_resend(1, now));
}

/// A server starts again under its name: a request of its earlier life ends, failures and kept texts
/// of that life count no longer, nor does what other boxes say of it.
#[test]
fn a_new_life_of_a_server_has_nothing_of_the_earlier_one() {
    let reborn = |seconds| {
        let server = known(0, 8).server;
        let born = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
        let server = Arc::new(Server { born: Some(born), ..(*server).clone() });
        Known { server, ..known(0, 8) }
    };
    let service =
        Service { max_connections: 100, memory_tokens: Some(300_000), ..Service::default() };
    let mut test = Test::new(placement(0, 8, 1));
    test.placement.update(vec![reborn(1)], 1, &service, test.now);
    let mut held = test.choose(&prompt(1)).expect("a place");
    let first_life: Vec<u64> = test.placement.own_loads().map(|(life, _)| life).collect();
    for _ in 0..20 {
        let mut lost = test.choose_among(&[], Among::Any).expect("a place");
        test.placement.finish(&mut lost, Outcome::Lost, test.now);
    }
    assert!(test.short().is_err(), "it failed too often");
    test.now += Duration::from_secs(2);
    test.placement.update(vec![reborn(2)], 1, &service, test.now);
    let place = test.choose(&prompt(1)).expect("the new life has not failed");
    assert_eq!((place.in_flight, place.unread > 10_000.0 || place.at_home), (1, true));
    test.placement.finish(&mut held, Outcome::Lost, test.now);
    let loads: Vec<_> = test.placement.own_loads().collect();
    assert_eq!((loads.len(), loads[0].1.in_flight), (1, 1), "its own request is still there");
    assert_ne!(loads[0].0, first_life[0]);
}

/// Of two servers, one names a rate: what is beyond it goes to the other, and is refused only once that
/// one is full.
#[test]
fn a_server_that_names_a_rate_gets_no_more_while_others_have_room() {
    let mut test = Test::new(placement(2, 4, 1));
    let life = test.placement.lives().next().expect("a server");
    test.throttles.record_rate(life, 1, Some(2.0), test.now);
    for _ in 0..12 {
        assert_eq!(test.short().expect("a place on the other").server, "i-1");
    }
    assert_eq!(test.short().unwrap_err(), Blocked::Throttled);
    let is_throttled =
        |test: &mut Test| test.placement.is_closed(&test.loads, &test.throttles, test.now);
    assert!(is_throttled(&mut test));
    test.now += Duration::from_millis(500);
    assert!(!is_throttled(&mut test), "it has one left");
    let place = test.short().expect("a place");
    assert_eq!(place.server, "i-0");
    test.throttles.record_sent(place.life, test.now);
    assert_eq!(test.short().unwrap_err(), Blocked::Throttled);
    test.throttles.record_rate(life, 1, None, test.now);
    assert!(test.short().is_ok());
}

/// With all its slots counted, a region whose only free server names a rate would look idle to others.
#[test]
fn a_server_that_names_a_rate_counts_with_the_slots_that_it_keeps_busy() {
    let mut test = Test::new(placement(2, 64, 1));
    let life = test.placement.lives().next().expect("a server");
    test.throttles.record_rate(life, 1, Some(3.0), test.now);
    assert_eq!(test.placement.fullness(&test.loads, &test.throttles, test.now).slots, 67.0);
}
