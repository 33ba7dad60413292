//! Servers that want rest, and callers who come back after it, without sockets or a clock.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::rest::Rests;
use copperweir_lib::coordination::returns::Returns;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn of_several_rests_the_one_that_ends_last_counts() {
    let now = Instant::now();
    let mut rests = Rests::default();
    rests.ask(1, SECOND * 3, now);
    rests.ask(1, SECOND, now + SECOND);
    assert_eq!(rests.until(1, now), Some(now + SECOND * 3));
    rests.ask(1, SECOND * 3, now + SECOND);
    assert_eq!(rests.until(1, now + SECOND * 3), Some(now + SECOND * 4));
    assert!(!rests.admits(1, 0, now + SECOND * 3));
    assert!(rests.admits(2, 50, now + SECOND * 3), "others do not rest");
}

#[test]
fn after_a_rest_some_requests_come_first_and_then_all() {
    let now = Instant::now();
    let mut rests = Rests::default();
    rests.ask(1, SECOND, now);
    let admitted = |after: u64| {
        let at = now + SECOND + Duration::from_millis(after);
        (0..200).take_while(|in_flight| rests.admits(1, *in_flight, at)).count()
    };
    assert_eq!((admitted(0), admitted(250), admitted(1050)), (2, 4, 64));
    assert_eq!(admitted(1500), 200);
}

#[test]
fn a_rest_without_end_has_one() {
    let now = Instant::now();
    let mut rests = Rests::default();
    rests.ask(1, Duration::MAX, now);
    assert!(!rests.admits(1, 0, now + SECOND * 3000));
    assert!(rests.admits(1, 0, now + SECOND * 3600));
}

proptest! {
    #[test]
    fn nobody_comes_back_early_or_with_all_others(callers in 1_usize..500, rest in 100_u64..5000) {
        let begin = Instant::now();
        let room_at = begin + Duration::from_millis(rest);
        let mut returns = Returns::default();
        let mut back: Vec<Instant> = (0..callers)
            .map(|caller| {
                let now = begin + Duration::from_micros(rest * 1000 * caller as u64 / callers as u64);
                now + returns.next(room_at, now)
            })
            .collect();
        back.sort();
        prop_assert!(back[0] >= room_at);
        prop_assert!(back[callers - 1] <= room_at + SECOND);
        // A tenth of the time for which callers are spread brings little more than a tenth of them.
        for first in &back {
            let window = *first..*first + SECOND / 10;
            let together = back.iter().filter(|at| window.contains(at)).count();
            prop_assert!(together <= 20 + callers / 5, "{together} of {callers}");
        }
    }
}

/// Two servers of a pool, one of which wants rest.
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
    use copperweir_lib::coordination::server::Lane;
    use copperweir_lib::protocol::config::Priority;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    const SECOND: Duration = Duration::from_secs(1);

    struct Story {
        pool: Pool<PrefixAffinity>,
        rng: SmallRng,
        now: Instant,
        next: u64,
    }

    impl Story {
        fn begin(servers: usize) -> Story {
            let now = Instant::now();
            let limits = Limits { max_queued: 50, max_queued_bytes: 1 << 20, boxes: 1 };
            let lane = |number: usize| {
                let address = ([10, 0, 0, number as u8], 80).into();
                let lane =
                    Lane { address, slots: 8, leaving: false, reachable: true, report: None };
                (format!("s{number}"), lane)
            };
            let lanes: BTreeMap<_, _> = (1..=servers).map(lane).collect();
            let mut pool = Pool::new(PrefixAffinity, limits, now);
            pool.update(limits, lanes, BTreeSet::from(["here".to_owned()]));
            Story { pool, rng: SmallRng::seed_from_u64(1), now, next: 0 }
        }

        fn arrive(&mut self, patience: Duration) -> Decision {
            self.next += 1;
            let arrival = Arrival {
                id: self.next,
                priority: Priority::Normal,
                deadline: self.now + patience,
                bytes: 10,
                local_allowed: true,
                remote_regions: Vec::new(),
                prefix: None,
                tried_servers: Vec::new(),
            };
            self.pool.submit(arrival, self.now, &mut self.rng).0
        }

        /// Places a request and gives its server.
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
    fn a_resting_server_gets_nothing_and_has_not_failed() {
        let mut story = Story::begin(2);
        let resting = story.place();
        for _ in 0..5 {
            story.finish(&resting, Outcome::Rests(SECOND * 3));
            story.place();
            let other = story.place();
            assert_ne!(other, resting);
            story.finish(&other, Outcome::Cancelled);
            story.now += Duration::from_millis(100);
            if story.pool.in_flight() == 0 {
                break;
            }
        }
        story.now += SECOND * 4;
        let placed: BTreeSet<String> = (0..8).map(|_| story.place()).collect();
        assert!(placed.contains(&resting), "it is in use again: nothing failed");
    }

    #[test]
    fn where_all_rest_a_caller_waits_only_if_it_can_be_served_in_time() {
        let mut story = Story::begin(1);
        let only = story.place();
        story.finish(&only, Outcome::Rests(SECOND * 3));
        match story.arrive(SECOND) {
            Decision::Immediate(Placement::Refused(_, after)) => assert!(after >= SECOND * 3),
            other => panic!("{other:?}"),
        }
        assert_eq!(story.arrive(SECOND * 5), Decision::Queued);
        story.now += SECOND * 3;
        let wakes = story.pool.dispatch_queued(story.now, &mut story.rng);
        assert!(matches!(wakes[..], [ref wake] if matches!(wake.placement, Placement::Server(..))));
    }
}
