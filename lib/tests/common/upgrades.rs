//! A simulation of upgrades on many boxes with one store, with faults of the fleet.

#![allow(dead_code, missing_docs)]

#[path = "upgrade_faults.rs"]
mod upgrade_faults;
#[path = "upgrade_setup.rs"]
mod upgrade_setup;
#[path = "upgrade_traffic.rs"]
mod upgrade_traffic;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::presence::box_hash;
use copperweir_lib::coordination::upgrade;
use copperweir_lib::coordination::upgrade::Plan;
use copperweir_lib::coordination::upgrade::PlanId;
use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::Upgrades;
use copperweir_lib::coordination::upgrade::evidence::Sample;
use copperweir_lib::coordination::upgrade::plan::Decision;
use copperweir_lib::coordination::upgrade::table::JudgedDecision;
use copperweir_lib::coordination::upgrade::table::ServerCounts;
use copperweir_lib::coordination::upgrade::wire::UpgradeHold;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::platform::Position;
use copperweir_lib::protocol::upgrade::Order;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use upgrade_faults::Behavior;
pub use upgrade_faults::Faults;
use upgrade_faults::LEASE_SECONDS;
use upgrade_faults::REGIONS;
use upgrade_faults::is_in;
pub use upgrade_setup::Outcome;
pub use upgrade_setup::Setup;
pub use upgrade_setup::assert_rolled_back;
pub use upgrade_setup::assert_succeeds;

const SERVICE: &str = "engine";
pub const TICK: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval of the reports of bad responses of a box.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a write to the store until a box follows it.
const PROPAGATION: Duration = Duration::from_millis(350);
/// Time until a box that lost the store follows a write.
const SLOW_PROPAGATION: Duration = Duration::from_millis(1500);
const ROUTES: u64 = 3;

/// Notification of a judge that does not need the store.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Halt(PlanId),
    Hold(UpgradeHold),
}

fn notices(table: &Upgrades) -> impl Iterator<Item = Notice> {
    let halts = table.halted().into_iter().map(Notice::Halt);
    halts.chain(table.held().into_iter().map(Notice::Hold))
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
    /// When each box may report bad responses at once.
    urgent_at: Vec<Instant>,
    /// Announcements of judges on their way to a box.
    notices: Vec<(Instant, usize, Notice)>,
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
        let mut tables = vec![Upgrades::new(setup.limits); setup.boxes];
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
            urgent_at: vec![start; setup.boxes],
            notices: Vec::new(),
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
            self.receive_notices();
            let is_urgent = self.finish_requests();
            self.send_requests();
            if self.now >= next_report {
                next_report = self.now + REPORT_INTERVAL;
                self.report();
            }
            if self.now >= next_judgement || is_urgent {
                next_judgement = self.now + JUDGE_INTERVAL;
                self.judge();
            }
        }
        self.outcome.total = self.setup.expected_requests() as u64;
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
        let faults = &self.setup.faults;
        let is_crashed = faults.first_judge_gone_at.is_some_and(|at| self.seconds() >= at);
        (is_crashed && box_index == self.first_judge)
            || faults.is_region_lost(box_index, self.seconds())
    }

    /// Whether a box is listed in the store.
    fn is_listed(&self, index: usize) -> bool {
        let gone_at = self.setup.faults.first_judge_gone_at.unwrap_or(f64::MAX);
        (index != self.first_judge || self.seconds() < gone_at + LEASE_SECONDS)
            && !self.setup.faults.is_expired(index, self.seconds())
    }

    /// The boxes that judge the upgrade. The record of a box that is gone stays until its lease is
    /// over.
    fn judges(&self) -> Vec<usize> {
        let listed = (0..self.setup.boxes).filter(|index| self.is_listed(*index));
        let judges = upgrade::judges(listed.map(|index| &self.records[index]), SERVICE);
        judges.iter().map(|judge| index_of(&self.records, judge)).collect()
    }

    /// Whether a box reaches the store.
    fn reaches_store(&self, index: usize) -> bool {
        !self.is_gone(index) && !self.setup.faults.is_partitioned(index, self.seconds())
    }

    /// Every tenth box has lost the store and learns of writes later.
    fn follow_writes(&mut self) {
        let counts = self.servers();
        let seconds = self.seconds();
        for (index, table) in self.tables.iter_mut().enumerate() {
            if self.setup.faults.is_partitioned(index, seconds) {
                continue;
            }
            let delay = if index % 10 == 9 { SLOW_PROPAGATION } else { PROPAGATION };
            let delay = delay + self.setup.faults.read_delay(seconds);
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
        let (target, old) = self.setup.faults.server_counts(self.setup.servers, self.seconds());
        let is_stopped = self.stored.as_ref().is_some_and(|plan| plan.stage == Stage::Succeeded);
        let old = if is_stopped { 0 } else { old };
        ServerCounts {
            by_version: BTreeMap::from([("v1".to_owned(), old), ("v2".to_owned(), target)]),
        }
    }

    /// Every box that knows that a plan is halted repeats it to those of its region.
    fn repeat_notices(&mut self) {
        for sender in 0..self.setup.boxes {
            if self.is_gone(sender) {
                continue;
            }
            for notice in notices(&self.tables[sender]) {
                let near = (0..self.setup.boxes).filter(|to| to % REGIONS == sender % REGIONS);
                let notices = near.map(|to| (self.now + TICK, to, notice));
                self.notices.extend(notices);
            }
        }
    }

    fn receive_notices(&mut self) {
        for (_, receiver, notice) in self.notices.extract_if(.., |(at, ..)| *at <= self.now) {
            match notice {
                Notice::Halt(plan) => self.tables[receiver].halt(plan),
                Notice::Hold(hold) => self.tables[receiver].hold(hold),
            };
        }
    }

    /// A judge tells all boxes that a plan is halted or held.
    fn announce(&mut self, judge: usize, judged: &JudgedDecision) {
        if !self.tables[judge].stop_before_write(judged) {
            return;
        }
        for to in 0..self.setup.boxes {
            let loss = self.setup.faults.datagram_loss(judge, to, self.seconds());
            if self.rng.random::<f64>() >= loss {
                let notices = notices(&self.tables[judge]);
                self.notices.extend(notices.map(|notice| (self.now + TICK, to, notice)));
            }
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
        self.repeat_notices();
        for sender in 0..self.setup.boxes {
            self.report_from(sender, &judges);
        }
    }

    fn report_from(&mut self, sender: usize, judges: &[usize]) {
        if self.is_gone(sender) || (self.setup.faults.silent_box && sender == 3) {
            return;
        }
        let draining = self.draining(sender);
        let reports = self.tables[sender].reports(|_| draining);
        for judge in judges {
            let loss = self.setup.faults.datagram_loss(sender, *judge, self.seconds());
            if *judge == sender || self.rng.random::<f64>() < loss {
                continue;
            }
            for (_, report) in &reports {
                let number = (1, self.reports);
                self.tables[*judge].receive(
                    box_hash(&self.records[sender].name),
                    number,
                    report,
                    self.now,
                );
            }
        }
    }

    fn judge(&mut self) {
        let is_on = |window: Option<_>| window.is_some_and(|window| is_in(window, self.seconds()));
        let is_away = is_on(self.setup.faults.store_away);
        let is_refused = is_on(self.setup.faults.judges_refused);
        for (rank, index) in self.judges().into_iter().enumerate() {
            if self.is_gone(index) {
                continue;
            }
            let others = self.boxes_to_confirm(index);
            let draining = self.draining(index);
            let context = (self.rng.random(), self.now);
            let counts = self.servers();
            let judged = self.tables[index].decide(
                SERVICE,
                rank as u32,
                (&others.0, &others.1),
                draining,
                &counts,
                context,
            );
            let Some(judged) = judged else { continue };
            self.announce(index, &judged);
            // The judge writes only if the plan in the store is the one that it knows.
            let known = self.writes[..self.applied[index]].last().map(|(_, plan)| plan);
            let is_refused = is_away || (is_refused && rank < 2) || !self.reaches_store(index);
            if self.stored.as_ref() == known && !is_refused {
                self.write(judged.decision);
            }
        }
    }

    /// The boxes that a judge waits for, and those of regions that it knows nothing of.
    fn boxes_to_confirm(&self, judge: usize) -> (Vec<u64>, Vec<u64>) {
        let is_other = |index: &usize| *index != judge;
        let (listed, expired): (Vec<usize>, Vec<usize>) =
            (0..self.setup.boxes).filter(is_other).partition(|index| self.is_listed(*index));
        let records = |indices: &[usize]| -> Vec<BoxRecord> {
            indices.iter().map(|index| self.records[*index].clone()).collect()
        };
        let is_heard = |record: &BoxRecord| {
            let index = index_of(&self.records, record);
            let loss = self.setup.faults.datagram_loss(judge, index, self.seconds());
            !self.is_gone(index) && loss < 1.0
        };
        let own = &self.records[judge];
        upgrade::boxes_to_confirm(&records(&listed), &records(&expired), own, is_heard)
    }

    fn write(&mut self, Decision { plan, reason }: Decision) {
        self.outcome.stages.push((plan.stage, self.seconds(), reason));
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
        records_streams: true,
    }
}
