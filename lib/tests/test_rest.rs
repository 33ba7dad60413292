//! Servers that ask boxes for a rest period, and callers that retry afterwards, without sockets or
//! a clock.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::rest_period::RestPeriods;
use copperweir_lib::coordination::retry_spread::RetrySpread;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_rest_period_that_ends_last_applies() {
    let now = Instant::now();
    let mut rest_periods = RestPeriods::default();
    rest_periods.record(1, SECOND * 3, now);
    rest_periods.record(1, SECOND, now + SECOND);
    assert_eq!(rest_periods.until(1, now), Some(now + SECOND * 3));
    rest_periods.record(1, SECOND * 3, now + SECOND);
    assert_eq!(rest_periods.until(1, now + SECOND * 3), Some(now + SECOND * 4));
    assert!(!rest_periods.admits(1, 0, now + SECOND * 3));
    assert!(rest_periods.admits(2, 50, now + SECOND * 3), "other servers are unaffected");
}

#[test]
fn the_number_of_requests_grows_after_a_rest_period() {
    let now = Instant::now();
    let mut rest_periods = RestPeriods::default();
    rest_periods.record(1, SECOND, now);
    let admitted = |after: u64| {
        let at = now + SECOND + Duration::from_millis(after);
        (0..200).take_while(|in_flight| rest_periods.admits(1, *in_flight, at)).count()
    };
    assert_eq!((admitted(0), admitted(250), admitted(1050)), (2, 4, 64));
    assert_eq!(admitted(1500), 200);
}

#[test]
fn an_unlimited_rest_period_ends() {
    let now = Instant::now();
    let mut rest_periods = RestPeriods::default();
    rest_periods.record(1, Duration::MAX, now);
    assert!(!rest_periods.admits(1, 0, now + SECOND * 3000));
    assert!(rest_periods.admits(1, 0, now + SECOND * 3600));
}

proptest! {
    #[test]
    fn callers_retry_neither_early_nor_all_at_once(callers in 1_usize..500, rest in 100_u64..5000) {
        let new = Instant::now();
        let room_at = new + Duration::from_millis(rest);
        let mut retry_spread = RetrySpread::default();
        let mut back: Vec<Instant> = (0..callers)
            .map(|caller| {
                let now = new + Duration::from_micros(rest * 1000 * caller as u64 / callers as u64);
                now + retry_spread.retry_after(room_at, now)
            })
            .collect();
        back.sort();
        prop_assert!(back[0] >= room_at);
        prop_assert!(back[callers - 1] <= room_at + SECOND);
        // A tenth of the time over which callers are spread contains little more than a tenth of
        // them.
        for first in &back {
            let window = *first..*first + SECOND / 10;
            let together = back.iter().filter(|at| window.contains(at)).count();
            prop_assert!(together <= 20 + callers / 5, "{together} of {callers}");
        }
    }
}

/// A pool of servers, one of which asks for a rest period.
mod pool {
    use std::collections::BTreeMap;
    use std::collections::BTreeSet;
    use std::time::Duration;
    use std::time::Instant;

    use copperweir_lib::coordination::policy::PrefixAffinity;
    use copperweir_lib::coordination::pool::Arrival;
    use copperweir_lib::coordination::pool::Decision;
    use copperweir_lib::coordination::pool::Limits;
    use copperweir_lib::coordination::pool::Outcome;
    use copperweir_lib::coordination::pool::Placement;
    use copperweir_lib::coordination::pool::Pool;
    use copperweir_lib::coordination::server::ServerSnapshot;
    use copperweir_lib::protocol::config::Priority;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    const SECOND: Duration = Duration::from_secs(1);

    struct Scenario {
        pool: Pool<PrefixAffinity>,
        rng: SmallRng,
        now: Instant,
        next: u64,
    }

    impl Scenario {
        fn new(servers: usize) -> Scenario {
            let now = Instant::now();
            let limits = Limits { max_queued: 50, max_queued_bytes: 1 << 20, boxes: 1 };
            let lane = |number: usize| {
                let address = ([10, 0, 0, number as u8], 80).into();
                let lane = ServerSnapshot {
                    address,
                    slots: 8,
                    leaving: false,
                    reachable: true,
                    report: None,
                };
                (format!("s{number}"), lane)
            };
            let lanes: BTreeMap<_, _> = (1..=servers).map(lane).collect();
            let mut pool = Pool::new(PrefixAffinity, limits, now);
            pool.update(limits, lanes, BTreeSet::from(["here".to_owned()]));
            Scenario { pool, rng: SmallRng::seed_from_u64(1), now, next: 0 }
        }

        fn arrive(&mut self, timeout: Duration) -> Decision {
            self.next += 1;
            let arrival = Arrival {
                id: self.next,
                priority: Priority::Normal,
                deadline: self.now + timeout,
                bytes: 10,
                local_allowed: true,
                remote_regions: Vec::new(),
                prefix: None,
                tried_servers: Vec::new(),
            };
            self.pool.submit(arrival, self.now, &mut self.rng).0
        }

        /// Places a request and returns its server.
        fn place(&mut self) -> String {
            match self.arrive(SECOND) {
                Decision::Immediate(Placement::Server(server, _)) => server,
                other => panic!("no place: {other:?}"),
            }
        }

        fn finish(&mut self, server: &str, outcome: Outcome) {
            self.pool.finish(&server.to_owned(), outcome, self.now, &mut self.rng);
        }
    }

    #[test]
    fn a_server_that_is_resting_gets_nothing_and_has_not_failed() {
        let mut scenario = Scenario::new(2);
        let resting = scenario.place();
        for _ in 0..5 {
            scenario.finish(&resting, Outcome::Rests(SECOND * 3));
            scenario.place();
            let other = scenario.place();
            assert_ne!(other, resting);
            scenario.finish(&other, Outcome::Cancelled);
            scenario.now += Duration::from_millis(100);
            if scenario.pool.in_flight() == 0 {
                break;
            }
        }
        scenario.now += SECOND * 4;
        let placed: BTreeSet<String> = (0..8).map(|_| scenario.place()).collect();
        assert!(placed.contains(&resting), "it is in use again, so nothing counted as a failure");
    }

    #[test]
    fn a_caller_waits_for_the_end_of_a_rest_period_only_if_it_can_be_served_in_time() {
        let mut scenario = Scenario::new(1);
        let only = scenario.place();
        scenario.finish(&only, Outcome::Rests(SECOND * 3));
        match scenario.arrive(SECOND) {
            Decision::Immediate(Placement::Refused(_, after)) => assert!(after >= SECOND * 3),
            other => panic!("{other:?}"),
        }
        assert_eq!(scenario.arrive(SECOND * 5), Decision::Queued);
        scenario.now += SECOND * 3;
        let wakes = scenario.pool.dispatch_queued(scenario.now, &mut scenario.rng);
        assert!(matches!(wakes[..], [ref wake] if matches!(wake.placement, Placement::Server(..))));
    }
}
