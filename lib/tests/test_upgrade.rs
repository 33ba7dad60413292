//! Upgrades simulated on many boxes with one store: how many requests a bad version gets, how soon
//! it is rolled back, and that a good version takes over also under faults of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::upgrade;
use copperweir_lib::coordination::upgrade::Plan;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::Upgrades;
use copperweir_lib::coordination::upgrade::evidence::Sample;
use copperweir_lib::coordination::upgrade::evidence::SampleResult;
use copperweir_lib::coordination::upgrade::table::ServerCounts;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::upgrade::Order;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: &str = "engine";
const TICK: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time from a write to the store until a box follows it.
const PROPAGATION: Duration = Duration::from_millis(350);
/// Time until a box that lost the store follows a write.
const SLOW_PROPAGATION: Duration = Duration::from_millis(1500);
const ROUTES: u64 = 3;
const LEASE_SECONDS: f64 = 4.0;

/// How the target version responds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Good,
    /// Part of the responses are failures.
    Failing(f64),
    /// Part of the responses take several times as long.
    Slow(f64, f64),
    /// Fails from this time after the order on.
    FailingFrom(f64),
    /// Fails while its servers get more than this share of the requests.
    FailingAbove(f64),
    /// Fails on one route only.
    FailingOnRoute(u64),
}

/// What else happens during the upgrade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Faults {
    /// Share of the reports that are lost.
    report_loss: f64,
    /// The first judge is gone from this second on.
    first_judge_gone_at: Option<f64>,
    /// Part of the servers of both versions fail three in ten requests.
    faulty_servers: f64,
    /// Responses of all versions take several times as long for two seconds.
    burst: bool,
    /// The store can't be written to for some seconds.
    store_away: Option<(f64, f64)>,
    /// A box that never reports.
    silent_box: bool,
    /// All servers of the target version are gone from this second on.
    target_lost_at: Option<f64>,
    /// Natural failures on each route.
    failure_rate: f64,
}

struct Setup {
    boxes: usize,
    servers: usize,
    requests_per_second: f64,
    duration: Duration,
    behavior: Behavior,
    faults: Faults,
    seed: u64,
}

impl Setup {
    fn new(behavior: Behavior) -> Setup {
        Setup {
            boxes: 72,
            servers: 140,
            requests_per_second: 850.0,
            duration: Duration::from_secs(12),
            behavior,
            faults: Faults::default(),
            seed: 1,
        }
    }

    fn run(&self) -> Outcome {
        Simulation::new(self).run()
    }
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Final stage, and seconds from the order until it was in the store.
    end: Option<(Stage, f64)>,
    /// Seconds until the last box followed it.
    last_followed: f64,
    /// Requests sent to the target version, and the expected number of all requests, until the end
    /// of the order's time.
    exposed: u64,
    total: u64,
    /// Requests to the target version later than five seconds after its fiftieth bad response.
    late: u64,
    /// Requests in progress on other versions when the upgrade succeeded.
    lost: usize,
}

impl Outcome {
    fn stage(&self) -> Option<Stage> {
        self.end.map(|(stage, _)| stage)
    }

    /// Whether no more than a tenth of the requests and fifty reached the target version.
    fn is_within_exposure(&self) -> bool {
        self.exposed as f64 <= 0.1 * self.total as f64 + 50.0
    }
}

struct Request {
    sender: usize,
    ends_at: Instant,
    sample: Sample,
}

struct Simulation<'a> {
    setup: &'a Setup,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    records: Vec<BoxRecord>,
    first_judge: usize,
    tables: Vec<Upgrades>,
    /// The plan in the store, and all writes of it with their times.
    stored: Option<Plan>,
    writes: Vec<(Instant, Plan)>,
    applied: Vec<usize>,
    requests: Vec<Request>,
    reports: u64,
    bad: u32,
    fiftieth_bad_at: Option<Instant>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup) -> Simulation<'a> {
        let start = Instant::now();
        let records: Vec<BoxRecord> = (0..setup.boxes).map(record).collect();
        let order = Order {
            service: SERVICE.to_owned(),
            target: "v2".to_owned(),
            duration: setup.duration,
        };
        let mut tables = vec![Upgrades::new(0.1); setup.boxes];
        for table in &mut tables {
            table.apply_order(order.clone(), Position { era: 1, revision: 7 }, start);
        }
        Simulation {
            setup,
            start,
            now: start,
            rng: SmallRng::seed_from_u64(setup.seed),
            applied: vec![0; setup.boxes],
            first_judge: index_of(&records, upgrade::judges(records.iter(), SERVICE)[0]),
            records,
            tables,
            stored: None,
            writes: Vec::new(),
            requests: Vec::new(),
            reports: 0,
            bad: 0,
            fiftieth_bad_at: None,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let limit = self.setup.duration * 2;
        let mut next_report = self.start;
        let mut next_judgement = self.start;
        while self.elapsed() < limit && !self.is_over() {
            self.now += TICK;
            self.follow_writes();
            self.finish_requests();
            self.send_requests();
            if self.now >= next_report {
                next_report = self.now + REPORT_INTERVAL;
                self.report();
            }
            if self.now >= next_judgement {
                next_judgement = self.now + JUDGE_INTERVAL;
                self.judge();
            }
        }
        self.outcome.total =
            (self.setup.requests_per_second * self.setup.duration.as_secs_f64()) as u64;
        self.outcome
    }

    /// Whether all boxes follow the last plan.
    fn is_over(&self) -> bool {
        let is_final = self.stored.as_ref().is_some_and(|plan| plan.stage.is_final());
        is_final && self.applied.iter().all(|applied| *applied == self.writes.len())
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn seconds(&self) -> f64 {
        self.elapsed().as_secs_f64()
    }

    fn is_gone(&self, box_index: usize) -> bool {
        self.setup.faults.first_judge_gone_at.is_some_and(|at| self.seconds() >= at)
            && box_index == self.first_judge
    }

    /// The boxes that judge the upgrade. The record of a box that is gone stays until its lease is
    /// over.
    fn judges(&self) -> Vec<usize> {
        let gone_at = self.setup.faults.first_judge_gone_at.unwrap_or(f64::MAX);
        let is_listed =
            |index: &usize| *index != self.first_judge || self.seconds() < gone_at + LEASE_SECONDS;
        let records = (0..self.setup.boxes).filter(is_listed).map(|index| &self.records[index]);
        let judges = upgrade::judges(records, SERVICE);
        judges.iter().map(|judge| index_of(&self.records, judge)).collect()
    }

    /// Every tenth box has lost the store and learns of writes later.
    fn follow_writes(&mut self) {
        let counts = self.servers();
        for (index, table) in self.tables.iter_mut().enumerate() {
            let delay = if index % 10 == 9 { SLOW_PROPAGATION } else { PROPAGATION };
            while let Some((at, plan)) = self.writes.get(self.applied[index])
                && self.now >= *at + delay
            {
                table.apply_plan(SERVICE, plan.clone(), self.now);
                self.applied[index] += 1;
                if plan.stage.is_final() {
                    self.outcome.last_followed = (self.now - self.start).as_secs_f64();
                }
            }
            table.record_published(|_| counts.clone(), self.now);
        }
    }

    fn servers(&self) -> ServerCounts {
        let is_stopped = self.stored.as_ref().is_some_and(|plan| plan.stage == Stage::Succeeded);
        let old = if is_stopped { 0 } else { self.setup.servers };
        // Servers of the target version start a second after the order.
        let is_lost = self.setup.faults.target_lost_at.is_some_and(|at| self.seconds() >= at);
        let new = if self.seconds() < 1.0 || is_lost { 0 } else { self.setup.servers };
        ServerCounts {
            by_version: BTreeMap::from([("v1".to_owned(), old), ("v2".to_owned(), new)]),
        }
    }

    fn send_requests(&mut self) {
        let expected = self.setup.requests_per_second * TICK.as_secs_f64();
        let count =
            expected as usize + usize::from(self.rng.random::<f64>() < expected - expected.floor());
        for _ in 0..count {
            let sender = self.rng.random_range(0..self.setup.boxes);
            if self.is_gone(sender) {
                continue;
            }
            let versions = self.tables[sender].versions();
            let versions = versions.get(SERVICE).cloned().unwrap_or_default();
            let is_target = match (versions.role("v1"), versions.role("v2")) {
                (_, Role::Canary) => self.rng.random::<f64>() < versions.canary_share,
                (Role::Retired, Role::Serving) => {
                    self.servers().by_version.get("v2").is_some_and(|count| *count > 0)
                }
                (Role::Serving, Role::Rejected) => false,
                roles => panic!("no version serves: {roles:?}"),
            };
            if self.elapsed() <= self.setup.duration {
                self.outcome.exposed += u64::from(is_target);
            }
            let too_late = |at| self.now > at + Duration::from_secs(5);
            self.outcome.late += u64::from(is_target && self.fiftieth_bad_at.is_some_and(too_late));
            self.begin(sender, is_target);
        }
    }

    fn begin(&mut self, sender: usize, is_target: bool) {
        let Faults { faulty_servers, burst, failure_rate, .. } = self.setup.faults;
        let route = self.rng.random_range(0..ROUTES);
        let number = self.rng.random_range(0..self.setup.servers);
        let is_faulty = (number as f64) < faulty_servers * self.setup.servers as f64;
        let mut latency = 0.06 * (1.0 + route as f64) * self.rng.random_range(0.6..1.7);
        let mut is_failure = self.rng.random::<f64>() < failure_rate;
        is_failure |= is_faulty && self.rng.random::<f64>() < 0.3;
        if burst && (5.0..7.0).contains(&self.seconds()) {
            latency *= 4.0;
        }
        let mut is_bad = false;
        if is_target {
            let share = self.stored.as_ref().map_or(0.0, |plan| plan.stage.share(0.1));
            let draw = self.rng.random::<f64>();
            let fails = match self.setup.behavior {
                Behavior::Good | Behavior::Slow(..) => false,
                Behavior::Failing(part) => draw < part,
                Behavior::FailingFrom(at) => self.seconds() >= at && draw < 0.3,
                Behavior::FailingAbove(limit) => share > limit && draw < 0.3,
                Behavior::FailingOnRoute(bad_route) => route == bad_route && draw < 0.4,
            };
            if let Behavior::Slow(part, factor) = self.setup.behavior
                && draw < part
            {
                latency *= factor;
                is_bad = true;
            }
            is_failure |= fails;
            is_bad |= fails;
        }
        if is_bad {
            self.bad += 1;
            if self.bad == 50 {
                self.fiftieth_bad_at = Some(self.now);
            }
        }
        let latency = Duration::from_secs_f64(latency);
        let result = if is_failure {
            SampleResult::Failed
        } else {
            SampleResult::Answered { first: Some(latency), rest: None }
        };
        let sample = Sample {
            route,
            prompt_tokens: 0,
            server: number as u64,
            is_target,
            is_cold: false,
            result,
        };
        self.requests.push(Request { sender, ends_at: self.now + latency, sample });
    }

    fn finish_requests(&mut self) {
        let Some(plan) = self.stored.clone() else {
            return self.requests.retain(|request| request.ends_at > self.now);
        };
        for request in self.requests.extract_if(.., |request| request.ends_at <= self.now) {
            self.tables[request.sender].record_sample(plan.id, &request.sample);
        }
    }

    /// Requests of a box in progress on servers of the old version, once it follows a plan that
    /// retires them.
    fn draining(&self, box_index: usize) -> u32 {
        let versions = self.tables[box_index].versions();
        let is_retired =
            versions.get(SERVICE).is_some_and(|versions| versions.role("v1") == Role::Retired);
        let in_progress = self
            .requests
            .iter()
            .filter(|request| request.sender == box_index && !request.sample.is_target)
            .count();
        if is_retired { in_progress as u32 } else { 0 }
    }

    fn report(&mut self) {
        self.reports += 1;
        let judges = self.judges();
        for sender in 0..self.setup.boxes {
            if self.is_gone(sender) || (self.setup.faults.silent_box && sender == 3) {
                continue;
            }
            let draining = self.draining(sender);
            let reports = self.tables[sender].reports(|_| draining);
            for judge in &judges {
                if *judge == sender || self.rng.random::<f64>() < self.setup.faults.report_loss {
                    continue;
                }
                for (_, report) in &reports {
                    let number = (1, self.reports);
                    self.tables[*judge].receive(sender as u64, number, report, self.now);
                }
            }
        }
    }

    fn judge(&mut self) {
        let is_away = |(from, until): (f64, f64)| (from..until).contains(&self.seconds());
        if self.setup.faults.store_away.is_some_and(is_away) {
            return;
        }
        for (rank, index) in self.judges().into_iter().enumerate() {
            if self.is_gone(index) {
                continue;
            }
            let others: Vec<u64> = (0..self.setup.boxes)
                .filter(|other| *other != index && !self.is_gone(*other))
                .map(|other| other as u64)
                .collect();
            let draining = self.draining(index);
            let context = (self.rng.random(), self.now);
            let counts = self.servers();
            let judged = self.tables[index].decide(
                SERVICE,
                rank as u32,
                &others,
                draining,
                &counts,
                context,
            );
            let Some(judged) = judged else { continue };
            // The judge writes only if the plan in the store is the one that it knows.
            let known = self.writes[..self.applied[index]].last().map(|(_, plan)| plan);
            if self.stored.as_ref() == known {
                self.write(judged.decision.plan);
            }
        }
    }

    fn write(&mut self, plan: Plan) {
        if plan.stage.is_final() && self.outcome.end.is_none() {
            self.outcome.end = Some((plan.stage, self.seconds()));
        }
        if plan.stage == Stage::Succeeded {
            self.outcome.lost =
                self.requests.iter().filter(|request| !request.sample.is_target).count();
        }
        self.stored = Some(plan.clone());
        self.writes.push((self.now, plan));
    }
}

fn index_of(records: &[BoxRecord], record: &BoxRecord) -> usize {
    records.iter().position(|other| other.name == record.name).expect("a listed box")
}

fn record(index: usize) -> BoxRecord {
    let region = format!("region-{}", index % 3);
    BoxRecord {
        name: format!("box-{index}"),
        incarnation: 1,
        failure_domain: region.clone(),
        region,
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
        leaving: false,
        weight: 1.0,
    }
}

fn assert_rolled_back(setup: &Setup) {
    let outcome = setup.run();
    assert_eq!(outcome.stage(), Some(Stage::RolledBack), "{:?}: {outcome:?}", setup.behavior);
    assert!(outcome.is_within_exposure(), "{:?}: {outcome:?}", setup.behavior);
    assert_eq!(outcome.late, 0, "{:?}: {outcome:?}", setup.behavior);
}

fn assert_succeeds(setup: &Setup) {
    let outcome = setup.run();
    let Some((Stage::Succeeded, at)) = outcome.end else {
        panic!("{:?}: {outcome:?}", setup.faults);
    };
    assert!(at <= setup.duration.as_secs_f64(), "{:?}: {outcome:?}", setup.faults);
    assert_eq!(outcome.lost, 0, "{:?}: {outcome:?}", setup.faults);
}

#[test]
fn bad_version_is_rolled_back_within_its_exposure() {
    for behavior in [
        Behavior::Failing(1.0),
        Behavior::Failing(0.3),
        Behavior::Slow(1.0, 4.0),
        Behavior::Slow(0.4, 5.0),
        Behavior::FailingFrom(4.0),
        Behavior::FailingFrom(7.0),
        Behavior::FailingAbove(0.05),
        Behavior::FailingAbove(0.5),
        Behavior::FailingOnRoute(1),
    ] {
        for seed in 1..=3 {
            assert_rolled_back(&Setup { seed, ..Setup::new(behavior) });
        }
    }
}

#[test]
fn bad_version_is_rolled_back_where_requests_fail_anyway() {
    let faults = Faults { failure_rate: 0.14, report_loss: 0.05, ..Faults::default() };
    assert_rolled_back(&Setup { faults, ..Setup::new(Behavior::Failing(0.4)) });
}

#[test]
fn bad_version_is_rolled_back_though_first_judge_is_gone() {
    for at in [0.5, 3.0, 6.5] {
        let faults = Faults { first_judge_gone_at: Some(at), ..Faults::default() };
        assert_rolled_back(&Setup { faults, ..Setup::new(Behavior::FailingFrom(2.0)) });
    }
}

#[test]
fn good_version_takes_over_in_time() {
    for seed in 1..=5 {
        assert_succeeds(&Setup { seed, ..Setup::new(Behavior::Good) });
    }
}

#[test]
fn good_version_of_small_service_takes_over_in_time() {
    let setup = Setup { servers: 6, requests_per_second: 266.0, ..Setup::new(Behavior::Good) };
    assert_succeeds(&setup);
}

#[test]
fn faults_of_the_fleet_do_not_count_against_a_version() {
    for faults in [
        Faults { report_loss: 0.2, ..Faults::default() },
        Faults { faulty_servers: 0.05, ..Faults::default() },
        Faults { burst: true, ..Faults::default() },
        Faults { failure_rate: 0.14, ..Faults::default() },
        Faults { first_judge_gone_at: Some(0.5), ..Faults::default() },
    ] {
        assert_succeeds(&Setup { faults, ..Setup::new(Behavior::Good) });
    }
}

#[test]
fn single_faulty_server_does_not_count_against_a_small_service() {
    let faults = Faults { faulty_servers: 0.1, ..Faults::default() };
    let setup =
        Setup { servers: 6, requests_per_second: 266.0, faults, ..Setup::new(Behavior::Good) };
    assert_succeeds(&setup);
}

#[test]
fn judge_that_is_gone_in_the_last_stage_holds_nothing_up() {
    let faults = Faults { first_judge_gone_at: Some(7.3), ..Faults::default() };
    let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
    assert_eq!(outcome.stage(), Some(Stage::Succeeded), "{outcome:?}");
    assert_eq!(outcome.lost, 0, "{outcome:?}");
}

#[test]
fn store_outage_delays_an_upgrade_and_leaves_one_outcome() {
    for (from, until) in [(0.0, 4.0), (5.5, 8.0), (7.2, 10.0)] {
        let faults = Faults { store_away: Some((from, until)), ..Faults::default() };
        let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
        assert_eq!(outcome.stage(), Some(Stage::Succeeded), "{outcome:?}");
        assert_eq!(outcome.lost, 0, "{outcome:?}");
    }
}

#[test]
fn version_whose_servers_are_lost_does_not_take_over() {
    for at in [3.0, 6.5, 7.6, 8.0] {
        let faults = Faults { target_lost_at: Some(at), ..Faults::default() };
        let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
        assert_eq!(outcome.stage(), Some(Stage::RolledBack), "lost at {at} s: {outcome:?}");
    }
}

#[test]
fn upgrade_does_not_succeed_while_a_box_has_not_confirmed() {
    let faults = Faults { silent_box: true, ..Faults::default() };
    let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
    assert_eq!(outcome.stage(), None, "{outcome:?}");
}

/// Prints when the last box follows a verdict. The counts of a box are known to the judges after
/// one report; the verdict travels like any change in the store.
#[test]
#[ignore = "prints the table of docs/design/upgrades.md"]
fn table_of_fleet_sizes() {
    for boxes in [72, 300, 984] {
        for behavior in [Behavior::Failing(0.3), Behavior::Good] {
            let setup = Setup {
                boxes,
                servers: boxes * 2,
                requests_per_second: boxes as f64 * 10.0,
                ..Setup::new(behavior)
            };
            let outcome = setup.run();
            println!(
                "{boxes} boxes, {behavior:?}: {:?}, last box at {:.2} s, {} of {} exposed, {} late, {} lost",
                outcome.end,
                outcome.last_followed,
                outcome.exposed,
                outcome.total,
                outcome.late,
                outcome.lost
            );
        }
    }
}
