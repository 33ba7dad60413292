//! The requests of a simulated upgrade, and how servers respond to them.

use std::collections::BTreeSet;
use std::time::Duration;

use copperweir_lib::coordination::upgrade::Role;
use copperweir_lib::coordination::upgrade::evidence::Sample;
use copperweir_lib::coordination::upgrade::evidence::SampleResult;
use rand::Rng;

use super::Behavior;
use super::Faults;
use super::ROUTES;
use super::Request;
use super::SERVICE;
use super::Simulation;
use super::TICK;
use super::URGENT_INTERVAL;
use super::is_in;

impl Simulation<'_> {
    pub fn send_requests(&mut self) {
        let factor = self.setup.faults.rate_factor(self.seconds());
        let expected = self.setup.requests_per_second * factor * TICK.as_secs_f64();
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
            let is_counted = is_target && self.reaches_store(sender);
            if self.elapsed() <= self.setup.duration {
                self.outcome.exposed += u64::from(is_counted);
            }
            let too_late = |at| self.now > at + Duration::from_secs(5);
            self.outcome.late +=
                u64::from(is_counted && self.fiftieth_bad_at.is_some_and(too_late));
            let share = match versions.role("v2") {
                Role::Canary => versions.canary_share,
                Role::Serving => 1.0,
                Role::Retired | Role::Rejected => 0.0,
            };
            self.begin(sender, is_target, share);
        }
    }

    fn begin(&mut self, sender: usize, is_target: bool, share: f64) {
        let Faults { faulty_servers, failure_rate, .. } = self.setup.faults;
        let seconds = self.seconds();
        let mut route = self.rng.random_range(0..ROUTES);
        if route == 0 && self.setup.faults.routes_move_at.is_some_and(|at| seconds >= at) {
            route = ROUTES;
        }
        let number = self.rng.random_range(0..self.setup.servers);
        let is_faulty = (number as f64) < faulty_servers * self.setup.servers as f64;
        let mut latency = 0.06 * (1.0 + route as f64) * self.rng.random_range(0.6..1.7);
        let mut is_failure = self.rng.random::<f64>() < failure_rate;
        is_failure |= is_faulty && self.rng.random::<f64>() < 0.3;
        let own_share = if is_target { share } else { 1.0 - share };
        latency *= self.setup.faults.latency_factor(own_share, seconds);
        let mut is_bad = false;
        if is_target {
            let draw = self.rng.random::<f64>();
            let fails = match self.setup.behavior {
                Behavior::Good | Behavior::Slow(..) | Behavior::SlowAbove(_) => false,
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
            if let Behavior::SlowAbove(limit) = self.setup.behavior
                && share > limit
                && draw < 0.5
            {
                latency *= 5.0;
                is_bad = true;
            }
            is_failure |= fails;
            is_bad |= fails;
        }
        if self.setup.faults.store_away.is_some_and(|window| is_in(window, seconds)) {
            (self.bad, self.fiftieth_bad_at) = (0, None);
        }
        if is_bad && self.reaches_store(sender) {
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

    /// Returns whether boxes have reported bad responses at once.
    pub fn finish_requests(&mut self) -> bool {
        let Some(plan) = self.stored.clone() else {
            self.requests.retain(|request| request.ends_at > self.now);
            return false;
        };
        let mut urgent = BTreeSet::new();
        for request in self.requests.extract_if(.., |request| request.ends_at <= self.now) {
            let is_urgent = self.tables[request.sender].record_sample(plan.id, &request.sample);
            if is_urgent && self.now >= self.urgent_at[request.sender] {
                self.urgent_at[request.sender] = self.now + URGENT_INTERVAL;
                urgent.insert(request.sender);
            }
        }
        let judges = self.judges();
        self.reports += 1;
        urgent.iter().for_each(|sender| self.report_from(*sender, &judges));
        !urgent.is_empty()
    }
}
