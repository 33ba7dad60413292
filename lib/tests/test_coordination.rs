//! Property tests of the decision logic, without sockets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::drain;
use copperweir_lib::coordination::drain::Drain;
use copperweir_lib::coordination::drain::Stage;
use copperweir_lib::coordination::invariant;
use copperweir_lib::coordination::lease;
use copperweir_lib::coordination::lease::Action;
use copperweir_lib::coordination::lease::LeaseClient;
use copperweir_lib::coordination::ledger::Admission;
use copperweir_lib::coordination::ledger::Conclusion;
use copperweir_lib::coordination::ledger::KeptResponse;
use copperweir_lib::coordination::ledger::Key;
use copperweir_lib::coordination::ledger::Ledger;
use copperweir_lib::coordination::ledger::LedgerLimits;
use copperweir_lib::coordination::lending::Borrower;
use copperweir_lib::coordination::lending::CREDIT_TTL;
use copperweir_lib::coordination::lending::Lender;
use copperweir_lib::coordination::policy::PrefixAffinity;
use copperweir_lib::coordination::pool::Arrival;
use copperweir_lib::coordination::pool::Decision;
use copperweir_lib::coordination::pool::Limits;
use copperweir_lib::coordination::pool::Outcome;
use copperweir_lib::coordination::pool::Placement;
use copperweir_lib::coordination::pool::Pool;
use copperweir_lib::coordination::pool::ServerSnapshot;
use copperweir_lib::coordination::pool::Wake;
use copperweir_lib::coordination::rate_limiter::RateLimiter;
use copperweir_lib::coordination::rollout::Offer;
use copperweir_lib::coordination::rollout::Rollout;
use copperweir_lib::coordination::ticket::Ticket;
use copperweir_lib::error::ErrorKind;
use copperweir_lib::protocol::config::Priority;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of cases per property in CI. Longer runs set COPPERWEIR_CASES.
const CASES: u32 = 256;

/// Returns a runner with a fixed seed, or with the seed in COPPERWEIR_SEED.
fn runner() -> TestRunner {
    invariant::panic_on_breach();
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let cases = number("COPPERWEIR_CASES").map_or(CASES, |cases| cases as u32);
    let seed = number("COPPERWEIR_SEED").unwrap_or(1);
    println!("cases={cases} seed={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

const SERVERS: usize = 4;
const SLOTS: u32 = 2;

fn lanes(leaving: &[bool], reachable: &[bool]) -> BTreeMap<String, ServerSnapshot> {
    let lane = |index: usize| ServerSnapshot {
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
        slots: SLOTS,
        leaving: leaving[index],
        reachable: reachable[index],
        report: None,
    };
    (0..SERVERS).map(|index| (format!("s{index}"), lane(index))).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { priority: usize, timeout_ms: u64, remote_allowed: bool, local_allowed: bool },
    Finish { which: usize, failed: bool },
    Withdraw { which: usize },
    ChangeServer { server: usize, leaving: bool, reachable: bool },
    Credit { slots: u32 },
    AdvanceTime { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 1..5000u64, any::<bool>(), prop::bool::weighted(0.9))
            .prop_map(|(priority, timeout_ms, remote_allowed, local_allowed)| {
                Step::Arrive { priority, timeout_ms, remote_allowed, local_allowed }
            }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(which, failed)| Step::Finish { which, failed }),
        1 => any::<usize>().prop_map(|which| Step::Withdraw { which }),
        1 => (0..SERVERS, any::<bool>(), prop::bool::weighted(0.8))
            .prop_map(|(server, leaving, reachable)| { Step::ChangeServer { server, leaving, reachable } }),
        1 => (0..4u32).prop_map(|slots| Step::Credit { slots }),
        2 => (1..2000u64).prop_map(|millis| Step::AdvanceTime { millis }),
    ]
}

/// A pool, and a model of the state that it must be in.
struct Model {
    pool: Pool<PrefixAffinity>,
    rng: SmallRng,
    now: Instant,
    last_id: u64,
    leaving: Vec<bool>,
    reachable: Vec<bool>,
    running: Vec<(u64, String)>,
    waiting: BTreeMap<u64, (Priority, Instant, bool)>,
    credits: u32,
}

impl Model {
    fn new() -> Model {
        let now = Instant::now();
        let limits = Limits { max_queued: 6, max_queued_bytes: 600, boxes: 2 };
        let mut model = Model {
            pool: Pool::new(PrefixAffinity, limits, now),
            rng: SmallRng::seed_from_u64(7),
            now,
            last_id: 0,
            leaving: vec![false; SERVERS],
            reachable: vec![true; SERVERS],
            running: Vec::new(),
            waiting: BTreeMap::new(),
            credits: 0,
        };
        model.update();
        model
    }

    fn update(&mut self) {
        let limits = Limits { max_queued: 6, max_queued_bytes: 600, boxes: 2 };
        let regions = BTreeSet::from(["here".to_owned(), "there".to_owned()]);
        self.pool.update(limits, lanes(&self.leaving, &self.reachable), regions);
    }

    fn check_placement(&mut self, id: u64, remote_allowed: bool, placement: Placement) {
        match placement {
            Placement::Server(server, _) => {
                let index: usize = server[1..].parse().expect("a server of the model");
                assert!(!self.leaving[index], "new request for a leaving server");
                assert!(self.reachable[index], "new request for a server that is not reachable");
                self.running.push((id, server));
            }
            Placement::Region(region) => {
                assert!(remote_allowed, "sent elsewhere although not allowed");
                assert_eq!(region, "there");
            }
            Placement::Refused(kind, after) => {
                assert_eq!(kind.spec().executed, Some(copperweir_lib::error::Executed::No));
                assert!(kind != ErrorKind::NoServer || !after.is_zero());
            }
        }
    }

    fn handle_wakes(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (.., remote_allowed) =
                self.waiting.remove(&wake.id).expect("a wake for a queued request");
            self.check_placement(wake.id, remote_allowed, wake.placement);
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Arrive { priority, timeout_ms, remote_allowed, local_allowed } => {
                self.arrive(Priority::ALL[priority], timeout_ms, remote_allowed, local_allowed);
            }
            Step::Finish { which, failed } if !self.running.is_empty() => {
                let (_, server) = self.running.swap_remove(which % self.running.len());
                let outcome = match failed {
                    true => Outcome::Failed,
                    false => Outcome::Answered {
                        first_byte: Duration::from_millis(20),
                        total: Duration::from_millis(100),
                    },
                };
                let wakes = self.pool.finish(&server, outcome, self.now, &mut self.rng);
                self.handle_wakes(wakes);
            }
            Step::Withdraw { which } if !self.waiting.is_empty() => {
                let id = *self.waiting.keys().nth(which % self.waiting.len()).expect("one");
                let (priority, deadline, _) = self.waiting.remove(&id).expect("waiting");
                assert!(self.pool.cancel(id, priority, deadline));
            }
            Step::Finish { .. } | Step::Withdraw { .. } => {}
            Step::ChangeServer { server, leaving, reachable } => {
                self.leaving[server] = leaving;
                self.reachable[server] = reachable;
                self.update();
                let wakes = self.pool.dispatch_queued(self.now, &mut self.rng);
                self.handle_wakes(wakes);
            }
            Step::Credit { slots } => {
                self.credits += slots;
                self.pool.add_credit("there".to_owned(), slots, CREDIT_TTL, self.now);
            }
            Step::AdvanceTime { millis } => {
                self.now += Duration::from_millis(millis);
                let wakes = self.pool.dispatch_queued(self.now, &mut self.rng);
                self.handle_wakes(wakes);
                for (_, deadline, _) in self.waiting.values() {
                    assert!(*deadline > self.now, "past its deadline and not answered");
                }
            }
        }
        assert_eq!(self.pool.in_flight() as usize, self.running.len(), "slots do not balance");
        assert_eq!(self.pool.waiting(), self.waiting.len());
        assert!(self.pool.waiting() <= 6);
        assert!(self.running.len() <= SERVERS * SLOTS as usize * 2);
    }

    fn arrive(
        &mut self,
        priority: Priority,
        timeout_ms: u64,
        remote_allowed: bool,
        local_allowed: bool,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let arrival = Arrival {
            id,
            priority,
            deadline,
            bytes: 10,
            local_allowed,
            remote_regions: if remote_allowed { vec!["there".to_owned()] } else { Vec::new() },
            prefix: Some(id % 3),
            tried_servers: Vec::new(),
        };
        let (decision, wakes) = self.pool.submit(arrival, self.now, &mut self.rng);
        self.handle_wakes(wakes);
        match decision {
            Decision::Queued => {
                assert!(local_allowed, "queued here although not allowed");
                self.waiting.insert(id, (priority, deadline, remote_allowed));
            }
            Decision::Immediate(placement) => {
                assert!(
                    local_allowed || !matches!(placement, Placement::Server(..)),
                    "runs here although not allowed"
                );
                self.check_placement(id, remote_allowed, placement);
            }
        }
    }
}

#[test]
fn pool_invariants_hold() {
    let steps = prop::collection::vec(step(), 1..200);
    let result = runner().run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        // Every queued request is answered in the end.
        model.now += Duration::from_secs(10);
        let wakes = model.pool.dispatch_queued(model.now, &mut model.rng);
        model.handle_wakes(wakes);
        prop_assert!(model.waiting.is_empty());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn request_not_allowed_locally_never_runs_here() {
    let mut model = Model::new();
    for _ in 0..10 {
        model.arrive(Priority::High, 1000, true, false);
    }
    assert!(model.running.is_empty());
}

#[test]
fn lowest_priority_is_not_starved() {
    let mut model = Model::new();
    for _ in 0..SERVERS * SLOTS as usize {
        model.arrive(Priority::High, 100_000, false, true);
    }
    model.arrive(Priority::Low, 100_000, false, true);
    let low = model.last_id;
    for _ in 0..40 {
        model.arrive(Priority::High, 100_000, false, true);
        model.apply(&Step::Finish { which: 0, failed: false });
    }
    assert!(!model.waiting.contains_key(&low), "the request of low priority still waits");
}

#[test]
fn ledger_runs_each_key_once_within_its_limits() {
    #[derive(Clone, Debug)]
    enum Operation {
        Begin(u8, u8),
        Conclude(u8, u8),
        AdvanceTime(u64),
    }
    let operation = prop_oneof![
        4 => (0..8u8, 0..2u8).prop_map(|(key, body)| Operation::Begin(key, body)),
        3 => (0..8u8, 0..3u8).prop_map(|(key, outcome)| Operation::Conclude(key, outcome)),
        1 => (1..30u64).prop_map(Operation::AdvanceTime),
    ];
    let result = runner().run(&prop::collection::vec(operation, 1..200), |operations| {
        let bounds = LedgerLimits { max_entries: 5, max_response_bytes: 250 };
        let mut ledger = Ledger::new(bounds);
        let mut now = Instant::now();
        let key = |number: u8| Key { team: "t".to_owned(), text: number.to_string() };
        // Time until which each key may not run again, and whether it is running.
        let mut blocked_keys: BTreeMap<u8, (Instant, bool)> = BTreeMap::new();
        for operation in operations {
            match operation {
                Operation::Begin(number, body) => {
                    let keep_until = now + Duration::from_secs(10);
                    let admission = ledger.begin(&key(number), [body; 32], keep_until, now);
                    if admission == Admission::Run {
                        let may_not_run =
                            blocked_keys.get(&number).is_some_and(|(until, _)| *until > now);
                        prop_assert!(!may_not_run, "{number} ran again");
                        blocked_keys.insert(number, (keep_until, true));
                    }
                }
                Operation::Conclude(number, outcome) => {
                    let Some((until, true)) = blocked_keys.get(&number).copied() else { continue };
                    let response = KeptResponse {
                        status: 200,
                        headers: Vec::new(),
                        body: Bytes::from(vec![number; 100]),
                    };
                    let conclusion = match outcome {
                        0 => Conclusion::NotRun,
                        1 => Conclusion::Unknown,
                        _ => Conclusion::Answered(Some(response)),
                    };
                    ledger.conclude(&key(number), conclusion);
                    match outcome {
                        0 => blocked_keys.remove(&number),
                        _ => blocked_keys.insert(number, (until, false)),
                    };
                }
                Operation::AdvanceTime(seconds) => now += Duration::from_secs(seconds),
            }
            prop_assert!(ledger.len() <= bounds.max_entries);
            prop_assert!(ledger.bytes() <= bounds.max_response_bytes);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn two_boxes_never_hold_the_lease_at_once() {
    // Each step advances the clock and runs one of two boxes. The store may expire leases, and an
    // response of the store may be lost.
    let steps = prop::collection::vec((0..2usize, 100..4000u64, any::<bool>()), 1..300);
    let result = runner().run(&steps, |steps| {
        let timing = lease::Timing::default();
        let mut holders = [LeaseClient::new(timing), LeaseClient::new(timing)];
        let mut now = Instant::now();
        let mut stored_lease: Option<(usize, Instant, u64)> = None;
        let mut epoch = 0;
        for (active, millis, response_lost) in steps {
            now += Duration::from_millis(millis);
            if stored_lease.is_some_and(|(_, until, _)| now >= until) {
                stored_lease = None;
            }
            // Only one box runs in this step; the other is frozen.
            for action in holders[active].handle(lease::Event::Tick(now)) {
                let event = match action {
                    Action::Acquire if stored_lease.is_none() => {
                        epoch += 1;
                        stored_lease = Some((active, now + timing.ttl, epoch));
                        match response_lost {
                            true => lease::Event::AcquireFailed(now),
                            false => lease::Event::Acquired { epoch, asked_at: now },
                        }
                    }
                    Action::Acquire => lease::Event::AcquireFailed(now),
                    Action::Renew => match &mut stored_lease {
                        Some((holder, until, _)) if *holder == active => {
                            *until = now + timing.ttl;
                            match response_lost {
                                true => lease::Event::RenewalFailed,
                                false => lease::Event::Renewed { asked_at: now },
                            }
                        }
                        _ => lease::Event::Expired(now),
                    },
                    Action::StartLeading(_) | Action::StopLeading(_) => continue,
                };
                holders[active].handle(event);
            }
            let epochs: Vec<u64> = holders.iter().filter_map(|holder| holder.epoch(now)).collect();
            prop_assert!(epochs.len() <= 1, "two holders at once");
            for holder in &holders {
                if let Some(own) = holder.epoch(now) {
                    prop_assert_eq!(stored_lease.map(|(.., epoch)| epoch), Some(own));
                }
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn configuration_version_never_decreases() {
    let result = runner().run(&prop::collection::vec(0..20u64, 1..100), |offers| {
        let mut rollout = Rollout::new(Instant::now(), Duration::from_secs(1));
        let mut before = 0;
        for version in offers {
            if rollout.check_offer(version) == Offer::Adopt {
                rollout.adopt(version);
            }
            prop_assert!(rollout.version() >= before);
            before = rollout.version();
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn new_box_waits_for_queried_sources() {
    let start = Instant::now();
    let mut rollout = Rollout::new(start, Duration::from_secs(1));
    rollout.query_started();
    rollout.query_started();
    rollout.adopt(3);
    rollout.query_finished();
    assert!(!rollout.ready(start), "ready before a slower and newer peer answered");
    rollout.query_finished();
    assert!(rollout.ready(start));
    let mut slow = Rollout::new(start, Duration::from_secs(1));
    slow.query_started();
    assert!(!slow.ready(start + Duration::from_secs(2)), "ready with nothing");
    slow.adopt(1);
    assert!(slow.ready(start + Duration::from_secs(2)), "waits for ever");
}

#[test]
fn lent_slots_never_exceed_spare_slots() {
    let operations = prop::collection::vec((0..10u32, 0..10u32, 0..2000u64), 1..100);
    let result = runner().run(&operations, |operations| {
        let (mut lender, mut borrower) = (Lender::default(), Borrower::default());
        let there = "there".to_owned();
        let mut now = Instant::now();
        let mut lent_slots: Vec<(Instant, u32)> = Vec::new();
        for (spare, wanted, millis) in operations {
            now += Duration::from_millis(millis);
            lent_slots.retain(|(until, _)| now < *until);
            let before: u32 = lent_slots.iter().map(|(_, slots)| slots).sum();
            let lent = lender.lend(spare, wanted, now);
            prop_assert!(lent == 0 || before + lent <= spare);
            lent_slots.push((now + CREDIT_TTL, lent));
            borrower.receive(there.clone(), lent, CREDIT_TTL, now);
            let outstanding: u32 = lent_slots.iter().map(|(_, slots)| slots).sum();
            prop_assert!(borrower.available(&there, now) <= outstanding);
            borrower.use_slot([&there].into_iter(), now);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn team_shares_add_up_to_its_rate() {
    const BOXES: usize = 9;
    const RATE: f64 = 90.0;
    const SECONDS: u64 = 60;
    let team = "t".to_owned();
    let mut limiters: Vec<RateLimiter> = (0..BOXES).map(|_| RateLimiter::default()).collect();
    let mut now = Instant::now();
    let (mut admitted, mut admitted_late) = (0, 0);
    for second in 0..SECONDS {
        // One box gets ten times as many requests as the others.
        for (index, limiter) in limiters.iter_mut().enumerate() {
            let requests = if index == 0 { 100 } else { 10 };
            for request in 0..requests {
                let at = now + Duration::from_micros(1_000_000 * request / requests);
                let admits = limiter.admit(&team, RATE, at).is_ok();
                admitted += u64::from(admits);
                admitted_late += u64::from(admits && second >= SECONDS / 2);
            }
        }
        now += Duration::from_secs(1);
        let demands: Vec<_> = limiters.iter().map(RateLimiter::demands).collect();
        for (index, limiter) in limiters.iter_mut().enumerate() {
            for (other, demand) in demands.iter().enumerate().filter(|(other, _)| *other != index) {
                limiter.record_demands(&format!("b{other}"), demand);
            }
            limiter.tick(Duration::from_secs(1), now);
        }
    }
    let rate = admitted_late as f64 / (SECONDS / 2) as f64;
    assert!((RATE * 0.9..=RATE * 1.1).contains(&rate), "{rate} a second of {RATE}");
    assert!(admitted > 0);
}

#[test]
fn tickets_round_trip_through_text() {
    let parts = ("[a-z0-9.-]{1,30}", any::<u64>(), 0..u64::MAX / 2, any::<u64>());
    let result = runner().run(&parts, |(owner, incarnation, issued, nonce)| {
        let ticket = Ticket { owner, incarnation, issued: Duration::from_millis(issued), nonce };
        prop_assert_eq!(Ticket::parse(&ticket.to_string()), Ok(Some(ticket)));
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    let result = runner().run(&"(cw1\\.)?.{0,60}", |text| {
        let _ = Ticket::parse(&text);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn drain_finishes_only_without_requests_in_progress() {
    let steps = prop::collection::vec((0..3usize, 0..3usize, 0..500u64), 1..100);
    let result = runner().run(&steps, |steps| {
        let timeouts =
            drain::Timeouts { grace: Duration::from_secs(1), limit: Duration::from_secs(20) };
        let mut drain = Drain::new(timeouts);
        let start = Instant::now();
        let mut now = start;
        drain.handle(drain::Event::Stop(now));
        for (in_flight, open, millis) in steps {
            now += Duration::from_millis(millis);
            let before = drain.stage();
            let stage = drain.handle(drain::Event::Tick { now, in_flight, open });
            prop_assert!(stage != Stage::Done || before == Stage::Done || in_flight + open == 0);
            prop_assert!(!stage.accepts_requests() || now < start + timeouts.grace);
            prop_assert!(stage != Stage::Cut || now >= start + timeouts.limit);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
