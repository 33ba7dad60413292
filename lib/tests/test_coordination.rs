//! The decisions, without sockets: properties under drawn events.

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
use copperweir_lib::coordination::ledger::Answer;
use copperweir_lib::coordination::ledger::Conclusion;
use copperweir_lib::coordination::ledger::Key;
use copperweir_lib::coordination::ledger::Ledger;
use copperweir_lib::coordination::ledger::LedgerLimits;
use copperweir_lib::coordination::lending::Borrower;
use copperweir_lib::coordination::lending::CREDIT_LIFETIME;
use copperweir_lib::coordination::lending::Lender;
use copperweir_lib::coordination::policy::PrefixAffinity;
use copperweir_lib::coordination::pool::Arrival;
use copperweir_lib::coordination::pool::Decision;
use copperweir_lib::coordination::pool::Lane;
use copperweir_lib::coordination::pool::Limits;
use copperweir_lib::coordination::pool::Outcome;
use copperweir_lib::coordination::pool::Placement;
use copperweir_lib::coordination::pool::Pool;
use copperweir_lib::coordination::pool::Wake;
use copperweir_lib::coordination::rate_limiter::RateLimiter;
use copperweir_lib::coordination::rollout::Offer;
use copperweir_lib::coordination::rollout::Rollout;
use copperweir_lib::coordination::ticket::Ticket;
use copperweir_lib::error::Kind;
use copperweir_lib::protocol::config::Priority;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Cases of each property in CI; the long run sets COPPERWEIR_CASES.
const CASES: u32 = 256;

/// A runner with a fixed seed, or with the one that COPPERWEIR_SEED gives.
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

fn lanes(leaving: &[bool], reachable: &[bool]) -> BTreeMap<String, Lane> {
    let lane = |index: usize| Lane {
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
    Arrive { priority: usize, patience: u64, remote_allowed: bool, local_allowed: bool },
    Finish { which: usize, failed: bool },
    Withdraw { which: usize },
    Turn { server: usize, leaving: bool, reachable: bool },
    Credit { slots: u32 },
    Pass { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 1..5000u64, any::<bool>(), prop::bool::weighted(0.9))
            .prop_map(|(priority, patience, remote_allowed, local_allowed)| {
                Step::Arrive { priority, patience, remote_allowed, local_allowed }
            }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(which, failed)| Step::Finish { which, failed }),
        1 => any::<usize>().prop_map(|which| Step::Withdraw { which }),
        1 => (0..SERVERS, any::<bool>(), prop::bool::weighted(0.8))
            .prop_map(|(server, leaving, reachable)| Step::Turn { server, leaving, reachable }),
        1 => (0..4u32).prop_map(|slots| Step::Credit { slots }),
        2 => (1..2000u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// A pool and what should be true of it.
struct Model {
    pool: Pool<PrefixAffinity>,
    rng: SmallRng,
    now: Instant,
    next: u64,
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
            next: 0,
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

    fn placed(&mut self, id: u64, remote_allowed: bool, placement: Placement) {
        match placement {
            Placement::Server(server, _) => {
                let index: usize = server[1..].parse().expect("a server of ours");
                assert!(!self.leaving[index], "new work for a server that leaves");
                assert!(self.reachable[index], "new work for a server that is not reachable");
                self.running.push((id, server));
            }
            Placement::Region(region) => {
                assert!(remote_allowed, "sent elsewhere against its rule");
                assert_eq!(region, "there");
            }
            Placement::Refused(kind, after) => {
                assert_eq!(kind.row().ran, Some(copperweir_lib::error::Ran::No));
                assert!(kind != Kind::NoServer || !after.is_zero());
            }
        }
    }

    fn woken(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (.., remote_allowed) = self.waiting.remove(&wake.id).expect("a wake for who waits");
            self.placed(wake.id, remote_allowed, wake.placement);
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Arrive { priority, patience, remote_allowed, local_allowed } => {
                self.arrive(Priority::ALL[priority], patience, remote_allowed, local_allowed);
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
                self.woken(wakes);
            }
            Step::Withdraw { which } if !self.waiting.is_empty() => {
                let id = *self.waiting.keys().nth(which % self.waiting.len()).expect("one");
                let (priority, deadline, _) = self.waiting.remove(&id).expect("waiting");
                assert!(self.pool.cancel(id, priority, deadline));
            }
            Step::Finish { .. } | Step::Withdraw { .. } => {}
            Step::Turn { server, leaving, reachable } => {
                self.leaving[server] = leaving;
                self.reachable[server] = reachable;
                self.update();
                let wakes = self.pool.dispatch_queued(self.now, &mut self.rng);
                self.woken(wakes);
            }
            Step::Credit { slots } => {
                self.credits += slots;
                self.pool.add_credit("there".to_owned(), slots, CREDIT_LIFETIME, self.now);
            }
            Step::Pass { millis } => {
                self.now += Duration::from_millis(millis);
                let wakes = self.pool.dispatch_queued(self.now, &mut self.rng);
                self.woken(wakes);
                for (_, deadline, _) in self.waiting.values() {
                    assert!(*deadline > self.now, "given up on, and not answered");
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
        patience: u64,
        remote_allowed: bool,
        local_allowed: bool,
    ) {
        self.next += 1;
        let id = self.next;
        let deadline = self.now + Duration::from_millis(patience);
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
        self.woken(wakes);
        match decision {
            Decision::Queued => {
                assert!(local_allowed, "waits here against its rule");
                self.waiting.insert(id, (priority, deadline, remote_allowed));
            }
            Decision::Immediate(placement) => {
                assert!(
                    local_allowed || !matches!(placement, Placement::Server(..)),
                    "runs against its rule"
                );
                self.placed(id, remote_allowed, placement);
            }
        }
    }
}

#[test]
fn a_pool_keeps_its_promises() {
    let steps = prop::collection::vec(step(), 1..200);
    let result = runner().run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        // Everybody who waits is answered in the end.
        model.now += Duration::from_secs(10);
        let wakes = model.pool.dispatch_queued(model.now, &mut model.rng);
        model.woken(wakes);
        prop_assert!(model.waiting.is_empty());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn an_arrival_bound_elsewhere_never_runs_here() {
    let mut model = Model::new();
    for _ in 0..10 {
        model.arrive(Priority::High, 1000, true, false);
    }
    assert!(model.running.is_empty());
}

#[test]
fn the_least_urgent_is_not_starved() {
    let mut model = Model::new();
    for _ in 0..SERVERS * SLOTS as usize {
        model.arrive(Priority::High, 100_000, false, true);
    }
    model.arrive(Priority::Low, 100_000, false, true);
    let low = model.next;
    for _ in 0..40 {
        model.arrive(Priority::High, 100_000, false, true);
        model.apply(&Step::Finish { which: 0, failed: false });
    }
    assert!(!model.waiting.contains_key(&low), "the low one still waits");
}

#[test]
fn a_ledger_runs_each_key_once_and_stays_in_bounds() {
    #[derive(Clone, Debug)]
    enum Act {
        Begin(u8, u8),
        Conclude(u8, u8),
        Pass(u64),
    }
    let act = prop_oneof![
        4 => (0..8u8, 0..2u8).prop_map(|(key, body)| Act::Begin(key, body)),
        3 => (0..8u8, 0..3u8).prop_map(|(key, how)| Act::Conclude(key, how)),
        1 => (1..30u64).prop_map(Act::Pass),
    ];
    let result = runner().run(&prop::collection::vec(act, 1..200), |acts| {
        let bounds = LedgerLimits { max_entries: 5, max_answer_bytes: 250 };
        let mut ledger = Ledger::new(bounds);
        let mut now = Instant::now();
        let key = |number: u8| Key { team: "t".to_owned(), text: number.to_string() };
        // Until when each key may not run again, and whether it runs now.
        let mut held: BTreeMap<u8, (Instant, bool)> = BTreeMap::new();
        for act in acts {
            match act {
                Act::Begin(number, body) => {
                    let keep_until = now + Duration::from_secs(10);
                    let admission = ledger.begin(&key(number), [body; 32], keep_until, now);
                    if admission == Admission::Run {
                        let again = held.get(&number).is_some_and(|(until, _)| *until > now);
                        prop_assert!(!again, "{number} ran again");
                        held.insert(number, (keep_until, true));
                    }
                }
                Act::Conclude(number, how) => {
                    let Some((until, true)) = held.get(&number).copied() else { continue };
                    let answer = Answer {
                        status: 200,
                        headers: Vec::new(),
                        body: Bytes::from(vec![number; 100]),
                    };
                    let conclusion = match how {
                        0 => Conclusion::NotRun,
                        1 => Conclusion::Unknown,
                        _ => Conclusion::Answered(Some(answer)),
                    };
                    ledger.conclude(&key(number), conclusion);
                    match how {
                        0 => held.remove(&number),
                        _ => held.insert(number, (until, false)),
                    };
                }
                Act::Pass(seconds) => now += Duration::from_secs(seconds),
            }
            prop_assert!(ledger.len() <= bounds.max_entries);
            prop_assert!(ledger.bytes() <= bounds.max_answer_bytes);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn two_holders_never_act_at_once() {
    // Each step advances the clock, may freeze one of two boxes, and lets the store expire leases.
    let steps = prop::collection::vec((0..2usize, 100..4000u64, any::<bool>()), 1..300);
    let result = runner().run(&steps, |steps| {
        let tuning = lease::Timing::default();
        let mut holders = [LeaseClient::new(tuning), LeaseClient::new(tuning)];
        let mut now = Instant::now();
        let mut stored: Option<(usize, Instant, u64)> = None;
        let mut epoch = 0;
        for (active, millis, answer_lost) in steps {
            now += Duration::from_millis(millis);
            if stored.is_some_and(|(_, until, _)| now >= until) {
                stored = None;
            }
            // Only one box runs in this step; the other is frozen.
            for action in holders[active].handle(lease::Event::Tick(now)) {
                let event = match action {
                    Action::Acquire if stored.is_none() => {
                        epoch += 1;
                        stored = Some((active, now + tuning.ttl, epoch));
                        match answer_lost {
                            true => lease::Event::AcquireFailed(now),
                            false => lease::Event::Acquired { epoch, asked_at: now },
                        }
                    }
                    Action::Acquire => lease::Event::AcquireFailed(now),
                    Action::Renew => match &mut stored {
                        Some((holder, until, _)) if *holder == active => {
                            *until = now + tuning.ttl;
                            match answer_lost {
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
                    prop_assert_eq!(stored.map(|(.., epoch)| epoch), Some(own));
                }
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_rollout_never_reverts() {
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
fn a_fresh_box_waits_for_those_it_asked() {
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
fn lent_slots_stay_within_what_is_spare() {
    let acts = prop::collection::vec((0..10u32, 0..10u32, 0..2000u64), 1..100);
    let result = runner().run(&acts, |acts| {
        let (mut lender, mut borrower) = (Lender::default(), Borrower::default());
        let there = "there".to_owned();
        let mut now = Instant::now();
        let mut out: Vec<(Instant, u32)> = Vec::new();
        for (spare, wanted, millis) in acts {
            now += Duration::from_millis(millis);
            out.retain(|(until, _)| now < *until);
            let before: u32 = out.iter().map(|(_, slots)| slots).sum();
            let lent = lender.lend(spare, wanted, now);
            prop_assert!(lent == 0 || before + lent <= spare);
            out.push((now + CREDIT_LIFETIME, lent));
            borrower.receive(there.clone(), lent, CREDIT_LIFETIME, now);
            let owed: u32 = out.iter().map(|(_, slots)| slots).sum();
            prop_assert!(borrower.available(&there, now) <= owed);
            borrower.use_slot([&there].into_iter(), now);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn shares_of_a_team_add_up_to_its_rate() {
    const BOXES: usize = 9;
    const RATE: f64 = 90.0;
    const SECONDS: u64 = 60;
    let team = "t".to_owned();
    let mut limiters: Vec<RateLimiter> = (0..BOXES).map(|_| RateLimiter::default()).collect();
    let mut now = Instant::now();
    let (mut admitted, mut late) = (0, 0);
    for second in 0..SECONDS {
        // One greedy box gets ten times as many requests as the others.
        for (index, limiter) in limiters.iter_mut().enumerate() {
            let requests = if index == 0 { 100 } else { 10 };
            for request in 0..requests {
                let at = now + Duration::from_micros(1_000_000 * request / requests);
                let admits = limiter.admit(&team, RATE, at).is_ok();
                admitted += u64::from(admits);
                late += u64::from(admits && second >= SECONDS / 2);
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
    let rate = late as f64 / (SECONDS / 2) as f64;
    assert!((RATE * 0.9..=RATE * 1.1).contains(&rate), "{rate} a second of {RATE}");
    assert!(admitted > 0);
}

#[test]
fn tickets_survive_the_wire() {
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
fn a_drain_ends_only_with_nothing_in_progress() {
    let steps = prop::collection::vec((0..3usize, 0..500u64), 1..100);
    let result = runner().run(&steps, |steps| {
        let tuning =
            drain::Timeouts { grace: Duration::from_secs(1), limit: Duration::from_secs(20) };
        let mut drain = Drain::new(tuning);
        let start = Instant::now();
        let mut now = start;
        drain.handle(drain::Event::Stop(now));
        for (in_flight, millis) in steps {
            now += Duration::from_millis(millis);
            let before = drain.stage();
            let stage = drain.handle(drain::Event::Tick { now, in_flight });
            prop_assert!(stage != Stage::Done || before == Stage::Done || in_flight == 0);
            prop_assert!(!stage.accepts_requests() || now < start + tuning.grace);
            prop_assert!(stage != Stage::Cut || now >= start + tuning.limit);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
