//! Which backend server gets a request, without sockets or a clock.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::candidate::Known;
use copperweir_lib::coordination::candidate::Outcome;
use copperweir_lib::coordination::candidate::server_hash;
use copperweir_lib::coordination::loads::Load;
use copperweir_lib::coordination::loads::Loads;
use copperweir_lib::coordination::loads::Report;
use copperweir_lib::coordination::mix::Division;
use copperweir_lib::coordination::mix::Mix;
use copperweir_lib::coordination::mix::Prompt;
use copperweir_lib::coordination::placement::Blocked;
use copperweir_lib::coordination::placement::Demand;
use copperweir_lib::coordination::placement::Place;
use copperweir_lib::coordination::placement::Placement;
use copperweir_lib::coordination::retries;
use copperweir_lib::coordination::retries::Budget;
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
        service: "s".to_owned(),
        address: ([10, 0, 0, number as u8], 80).into(),
        failure_domain: "z".to_owned(),
        slots,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    let server = Arc::new(server);
    Known { server, usable: true, cold_until: None, cold_share: 2, rank: number, near: true }
}

fn placement(count: usize, slots: u32, sharers: usize) -> Placement {
    let mut placement = Placement::default();
    let servers = (0..count).map(|number| known(number, slots)).collect();
    let service =
        Service { max_connections: 100, memory_tokens: Some(300_000), ..Service::default() };
    placement.update(servers, sharers, &service);
    placement
}

struct Test {
    placement: Placement,
    loads: Loads,
    now: Instant,
    rng: SmallRng,
}

impl Test {
    fn new(placement: Placement) -> Test {
        let rng = SmallRng::seed_from_u64(7);
        Test { placement, loads: Loads::default(), now: Instant::now(), rng }
    }

    fn choose(&mut self, parts: &[Part], long: bool, set_aside: usize) -> Result<Place, Blocked> {
        let loads = &self.loads;
        let prompt = Prompt { long, set_aside };
        let demand = Demand { parts, tried: &[], prompt, loads };
        self.placement.choose(demand, self.now, &mut self.rng)
    }

    fn short(&mut self) -> Result<Place, Blocked> {
        self.choose(&[], false, 0)
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
fn a_shared_part_stays_at_its_home() {
    let mut test = Test::new(placement(5, 64, 1));
    for shared in 1..20 {
        let parts = prompt(shared);
        let home = test.choose(&parts, true, 3).expect("a place").server;
        assert!(["i-0", "i-1", "i-2"].contains(&home.as_str()), "one that is set aside");
        for _ in 0..2 {
            let mut place = test.choose(&parts, true, 3).expect("a place");
            assert_eq!(place.server, home, "shared part {shared}");
            test.placement.first_byte(&mut place, test.now);
        }
    }
}

#[test]
fn a_long_prompt_waits_at_one_of_two_homes_while_other_servers_rest() {
    let mut test = Test::new(placement(12, 64, 1));
    let parts = prompt(5);
    let mut servers: Vec<String> = Vec::new();
    for _ in 0..40 {
        let place = test.choose(&parts, true, 10).expect("a place");
        servers.push(place.server);
    }
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 2, "its text is read at these: {servers:?}");
}

#[test]
fn servers_that_failed_lately_come_after_all_others() {
    let mut test = Test::new(placement(12, 64, 1));
    let parts = prompt(5);
    let mut failed: Vec<String> = Vec::new();
    // As long as any server is sound, the next choice is one that has not failed.
    for _ in 0..12 {
        let mut place = test.choose(&parts, true, 10).expect("a place");
        assert!(!failed.contains(&place.server), "{} after {failed:?}", place.server);
        failed.push(place.server.clone());
        test.placement.finish(&mut place, Outcome::Unreachable, test.now);
    }
    assert!(test.choose(&parts, true, 10).is_ok(), "when all failed, any is better than none");
}

#[test]
fn short_prompts_stay_away_from_what_is_set_aside() {
    let mut test = Test::new(placement(5, 64, 1));
    for _ in 0..10 {
        let place = test.choose(&[], false, 2).expect("a place");
        assert!(!["i-0", "i-1"].contains(&place.server.as_str()));
    }
}

#[test]
fn a_short_prompt_displaces_a_long_one_only_for_a_long_queue() {
    let mut test = Test::new(placement(2, 12, 2));
    let report = |in_flight: Vec<u32>, number| Report {
        sender: 1,
        incarnation: 1,
        number,
        servers: vec![server_hash("i-0"), server_hash("i-1")],
        in_flight,
        unread: vec![0, 5000],
        ..Report::default()
    };
    // The engine for long prompts is full, the one for short ones has a queue.
    test.loads.hear(&report(vec![12, 30], 1), test.now);
    assert_eq!(test.choose(&[], false, 1).expect("a place").server, "i-1");
    // With free slots there, a short one need not wait.
    test.loads.hear(&report(vec![0, 30], 2), test.now);
    assert_eq!(test.choose(&[], false, 1).expect("a place").server, "i-0");
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
    assert!(test.short().is_ok());
}

#[test]
fn a_server_whose_address_has_another_instance_gets_no_more() {
    let mut test = Test::new(placement(1, 8, 1));
    let mut place = test.short().expect("a place");
    test.placement.finish(&mut place, Outcome::Replaced, test.now);
    assert_eq!(test.short().unwrap_err(), Blocked::NoServer);
}

#[test]
fn a_cold_server_gets_its_share_in_any_second() {
    let mut test = Test::new(placement(1, 64, 1));
    test.placement.cold("i-0", Duration::from_secs(60), test.now);
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
        let bound = retries::Bound { ratio: 0.2, window: Duration::from_secs(10), extra: 58.0 };
        let now = Instant::now();
        let mut repeats = 0;
        for count in &requests {
            let mut budget = Budget::new(bound, now);
            (0..*count).for_each(|_| budget.first(now));
            repeats += (0..1000).filter(|_| budget.repeat(requests.len(), now)).count();
        }
        let total: u32 = requests.iter().sum();
        prop_assert!(repeats as f64 <= 0.2 * f64::from(total) + 58.0);
    }
}

#[test]
fn the_retry_budget_comes_back_with_time() {
    let bound = retries::Bound { ratio: 0.0, window: Duration::from_secs(10), extra: 10.0 };
    let mut now = Instant::now();
    let mut budget = Budget::new(bound, now);
    let spent = (0..20).filter(|_| budget.repeat(1, now)).count();
    assert_eq!(spent, 8);
    now += Duration::from_secs(9);
    assert!(!budget.repeat(1, now));
    now += Duration::from_secs(2);
    assert!(budget.repeat(1, now));
}

/// Engines of 10 slots that one box sets aside.
fn set_aside(mix: &Mix, engines: usize) -> usize {
    let mut division = Division::default();
    division.follow(mix.long_share(10.0 * engines as f64, 1));
    division.set_aside(engines)
}

#[test]
fn short_requests_that_run_keep_slots_for_themselves() {
    let short = [Part { id: 1, tokens: 90 }, Part { id: 2, tokens: 300 }];
    let mut idle = Mix::default();
    let mut busy = Mix::default();
    for number in 0..1000 {
        let parts = if number % 25 == 0 { &prompt(9) } else { &short[..] };
        idle.observe(parts, 0);
        busy.observe(parts, 60);
    }
    let (idle, busy) = (set_aside(&idle, 12), set_aside(&busy, 12));
    assert!(busy < idle, "{busy} of 12 beside 60 short ones in 120 slots, {idle} beside none");
    assert!(busy > 0);
}

#[test]
fn the_division_of_engines_moves_in_steps() {
    let mut division = Division::default();
    division.follow(0.5);
    assert_eq!(division.set_aside(64), 32);
    for wanted in [0.55, 0.46, 0.52] {
        division.follow(wanted);
        assert_eq!(division.set_aside(64), 32, "{wanted} is within a step");
    }
    division.follow(0.6);
    assert_eq!(division.set_aside(64), 40);
    division.follow(0.0);
    assert_eq!(division.set_aside(64), 0);
}

#[test]
fn long_prompts_are_told_from_short_ones() {
    let mut mix = Mix::default();
    let short = [Part { id: 1, tokens: 90 }, Part { id: 2, tokens: 300 }];
    for _ in 0..100 {
        assert!(!mix.observe(&short, 0));
    }
    assert_eq!(set_aside(&mix, 12), 0, "nothing is set aside for what never comes");
    for _ in 0..4 {
        assert!(mix.observe(&prompt(9), 0));
        (0..25).for_each(|_| assert!(!mix.observe(&short, 0)));
    }
    let count = set_aside(&mix, 12);
    assert!((1..12).contains(&count), "{count}");
    assert_eq!(set_aside(&mix, 1), 0, "a single server serves all");
}

#[test]
fn boxes_come_to_agree_on_the_mix() {
    let mut one = Mix::default();
    let mut other = Mix::default();
    let short = [Part { id: 2, tokens: 300 }];
    let long = prompt(9);
    (0..200).for_each(|number| {
        one.observe(if number % 20 == 0 { &long } else { &short }, 0);
        other.observe(if number % 60 == 0 { &long } else { &short }, 0);
    });
    for _ in 0..60 {
        let told = one;
        one.hear(&other);
        other.hear(&told);
    }
    assert_eq!(set_aside(&one, 40), set_aside(&other, 40));
}
