//! Servers that state a rate, and a region of boxes that send them requests, in simulated time,
//! with late and lost reports, unequal demand, restarts, partitions and changing rates.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::quota::ReportId;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::throttle::wire::ThrottleReport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between reports, and the number of boxes that each report is sent to, as in the gateway.
const PERIOD: Duration = Duration::from_millis(200);
const RECIPIENTS_PER_REPORT: usize = 32;
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Time from sending a request to the head of its response.
const RESPONSE_LATENCY: Duration = Duration::from_millis(50);
/// Window over which the rate is checked, and the factor of the rate plus the number of requests
/// that it may hold.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_EXTRA: f64 = 5.0;
/// Time until all boxes know a new rate or a decrease of it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(1);
const SERVER: u64 = 7;
const SERVICE: u64 = 3;

/// Parameters of a simulation.
#[derive(Clone)]
struct Scenario {
    boxes: usize,
    /// Requests per second over all boxes.
    requests: f64,
    /// Share of the demand on the first box. The other boxes share the rest evenly.
    first_box_share: f64,
    /// The rates that the server states, each with its start in seconds.
    rates: Vec<(f64, Option<f64>)>,
    /// Factor on the requests, and the start and end of its effect in seconds.
    surge: (f64, f64, f64),
    /// Share of the reports that are lost.
    loss: f64,
    /// Start and end of a partition between the first and second half of the boxes, in seconds.
    partition: (f64, f64),
    /// When all boxes restart, in seconds.
    restart: Option<f64>,
    /// Duration in seconds.
    duration: f64,
}

impl Scenario {
    fn steady(boxes: usize, requests: f64, rate: f64) -> Scenario {
        Scenario {
            boxes,
            requests,
            first_box_share: 1.0 / boxes as f64,
            rates: vec![(5.0, Some(rate))],
            surge: (1.0, 0.0, 0.0),
            loss: 0.03,
            partition: (0.0, 0.0),
            restart: None,
            duration: 24.0,
        }
    }

    fn rate(&self, second: f64) -> Option<f64> {
        self.rates.iter().rev().find(|(from, _)| second >= *from).and_then(|(_, rate)| *rate)
    }

    /// Returns the demand on a box in requests per second.
    fn demand(&self, box_index: usize, second: f64) -> f64 {
        let (factor, from, until) = self.surge;
        let factor = if second >= from && second < until { factor } else { 1.0 };
        let share = match box_index {
            0 => self.first_box_share,
            _ => (1.0 - self.first_box_share) / (self.boxes - 1) as f64,
        };
        self.requests * share * factor
    }
}

/// Result of a simulation.
#[derive(Debug)]
struct SimulationResult {
    /// When requests reached the server, in seconds.
    arrivals: Vec<f64>,
    /// Size of the largest report in bytes.
    max_report_bytes: usize,
}

impl SimulationResult {
    /// Returns the largest number of requests in a window that starts between two times, in
    /// seconds.
    fn max_in_window(&self, from: f64, until: f64) -> usize {
        let starts = self.arrivals.iter().filter(|at| **at >= from && **at < until);
        let window = |start: &f64| {
            let end = start + WINDOW.as_secs_f64();
            self.arrivals.iter().filter(|at| **at >= *start && **at < end).count()
        };
        starts.map(window).max().unwrap_or(0)
    }

    /// Returns the requests per second between two times.
    fn per_second(&self, from: f64, until: f64) -> f64 {
        let arrivals = self.arrivals.iter().filter(|at| **at >= from && **at < until).count();
        arrivals as f64 / (until - from)
    }
}

/// A report in transit.
struct Datagram {
    due: Instant,
    to: usize,
    report_id: ReportId,
    report: ThrottleReport,
}

fn boxes(count: usize, rng: &mut SmallRng) -> Vec<Throttles> {
    (0..count).map(|_| Throttles::new(rng.random())).collect()
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    boxes: Vec<Throttles>,
    /// Incarnation of the boxes, and the number of each box's last report.
    incarnation: u64,
    report_numbers: Vec<u64>,
    in_transit: Vec<Datagram>,
    responses: Vec<(Instant, usize)>,
    start: Instant,
    result: SimulationResult,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        Simulation {
            boxes: boxes(scenario.boxes, &mut rng),
            rng,
            incarnation: 1,
            report_numbers: vec![0; scenario.boxes],
            in_transit: Vec::new(),
            responses: Vec::new(),
            start: Instant::now(),
            result: SimulationResult { arrivals: Vec::new(), max_report_bytes: 0 },
            scenario,
        }
    }

    fn second(&self, now: Instant) -> f64 {
        (now - self.start).as_secs_f64()
    }

    fn simulate(mut self) -> SimulationResult {
        for step in 0..(self.scenario.duration / STEP.as_secs_f64()) as u32 {
            let now = self.start + STEP * step;
            let second = self.second(now);
            if self.incarnation == 1 && self.scenario.restart.is_some_and(|at| second >= at) {
                self.restart();
            }
            self.deliver(now);
            self.send_reports(step, now);
            self.receive_responses(now);
            self.generate_requests(now);
        }
        self.result
    }

    fn restart(&mut self) {
        self.incarnation = 2;
        self.report_numbers.fill(0);
        self.boxes = boxes(self.scenario.boxes, &mut self.rng);
        self.in_transit.clear();
        self.responses.clear();
    }

    fn deliver(&mut self, now: Instant) {
        let due: Vec<Datagram> = self.in_transit.extract_if(.., |one| one.due <= now).collect();
        for Datagram { to, report_id, report, .. } in due {
            if report_id.number == 0 {
                self.boxes[to].merge_rates(&report.words, now);
            } else if self.boxes[to].receive_report(report_id, &report, now) {
                let rates = self.boxes[to].all_rates(now);
                self.send_numbered(0, to, report_id.sender as usize, rates, now);
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize, now: Instant) -> bool {
        let (from, until) = self.scenario.partition;
        let second = self.second(now);
        let half = self.scenario.boxes / 2;
        second >= from && second < until && (one < half) != (other < half)
    }

    fn send(&mut self, from: usize, to: usize, report: ThrottleReport, now: Instant) {
        self.send_numbered(self.report_numbers[from], from, to, report, now);
    }

    fn send_numbered(
        &mut self,
        number: u64,
        from: usize,
        to: usize,
        report: ThrottleReport,
        now: Instant,
    ) {
        if self.rng.random::<f64>() < self.scenario.loss || self.is_partitioned(from, to, now) {
            return;
        }
        let report_id = ReportId { sender: from as u64, incarnation: self.incarnation, number };
        let due = now + Duration::from_millis(2);
        self.in_transit.push(Datagram { due, to, report_id, report });
    }

    /// Each box sends its reports at its own time within the period, to some of the others in turn.
    fn send_reports(&mut self, step: u32, now: Instant) {
        let steps_per_period = (PERIOD.as_millis() / STEP.as_millis()) as usize;
        let rounds = (self.scenario.boxes - 1).div_ceil(RECIPIENTS_PER_REPORT) as u32;
        for box_index in 0..self.scenario.boxes {
            if !(step as usize + box_index * 7).is_multiple_of(steps_per_period) {
                continue;
            }
            self.report_numbers[box_index] += 1;
            let others: HashSet<u64> = (0..self.scenario.boxes as u64)
                .filter(|other| *other != box_index as u64)
                .collect();
            self.boxes[box_index].tick(&others, rounds, now);
            let report = self.boxes[box_index].next_report(now);
            self.result.max_report_bytes =
                self.result.max_report_bytes.max(prost::Message::encoded_len(&report));
            let recipients: Vec<usize> =
                (0..self.scenario.boxes).filter(|other| *other != box_index).collect();
            let offset = self.report_numbers[box_index] as usize * RECIPIENTS_PER_REPORT
                % recipients.len().max(1);
            let recipients = recipients
                .iter()
                .cycle()
                .skip(offset)
                .take(RECIPIENTS_PER_REPORT.min(recipients.len()))
                .copied();
            for other in recipients.collect::<Vec<_>>() {
                self.send(box_index, other, report.clone(), now);
            }
        }
    }

    fn receive_responses(&mut self, now: Instant) {
        let rate = self.scenario.rate(self.second(now));
        let due: Vec<_> = self.responses.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, box_index) in due {
            if !self.boxes[box_index].record_rate(SERVER, SERVICE, rate, now) {
                continue;
            }
            self.report_numbers[box_index] += 1;
            let report = self.boxes[box_index].next_report(now);
            for other in (0..self.scenario.boxes).filter(|other| *other != box_index) {
                self.send(box_index, other, report.clone(), now);
            }
        }
    }

    fn generate_requests(&mut self, now: Instant) {
        let second = self.second(now);
        for box_index in 0..self.scenario.boxes {
            let mut due = self.scenario.demand(box_index, second) * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random::<f64>() < due.min(1.0) {
                    self.submit_request(box_index, now);
                }
                due -= 1.0;
            }
        }
    }

    fn submit_request(&mut self, box_index: usize, now: Instant) {
        let throttles = &mut self.boxes[box_index];
        throttles.record_request(SERVICE, now);
        if throttles.admits(SERVER, self.rng.random(), now) {
            throttles.record_sent(SERVER, now);
            self.result.arrivals.push((now - self.start).as_secs_f64());
            self.responses.push((now + RESPONSE_LATENCY, box_index));
        }
    }
}

fn simulate(scenario: &Scenario, seed: u64) -> SimulationResult {
    Simulation::new(scenario.clone(), seed).simulate()
}

fn allowed(rate: f64) -> f64 {
    WINDOW_FACTOR * rate * WINDOW.as_secs_f64() + WINDOW_EXTRA
}

fn assert_rate_kept(result: &SimulationResult, rate: f64, from: f64, until: f64) {
    let max_in_window = result.max_in_window(from + PROPAGATION_LIMIT.as_secs_f64(), until);
    assert!(
        max_in_window as f64 <= allowed(rate),
        "{max_in_window} in a window, {} allowed",
        allowed(rate)
    );
}

/// Minimum share of a rate that a server must get while the demand exceeds the rate.
const MIN_USED_SHARE: f64 = 0.85;

fn assert_rate_used(result: &SimulationResult, rate: f64, from: f64, until: f64) {
    let received_rate = result.per_second(from, until);
    assert!(received_rate >= MIN_USED_SHARE * rate, "{received_rate:.2} a second of {rate}");
}

#[test]
fn rate_is_kept_and_used_for_any_number_of_boxes_and_requests() {
    for (boxes, requests, rate) in
        [(1, 100.0, 4.5), (2, 600.0, 3.1), (4, 40.0, 30.0), (25, 300.0, 3.0), (85, 600.0, 3.0)]
    {
        let mut received_rate = 0.0;
        for seed in 0..3 {
            let result = simulate(&Scenario::steady(boxes, requests, rate), seed);
            assert_rate_kept(&result, rate, 5.0, 20.0);
            received_rate += result.per_second(8.0, 24.0) / 3.0;
        }
        assert!(received_rate >= MIN_USED_SHARE * rate, "{received_rate:.2} a second of {rate}");
    }
}

/// A server gets all requests before it states a rate.
#[test]
fn server_without_a_rate_gets_all_requests() {
    let scenario =
        Scenario { duration: 10.0, rates: Vec::new(), ..Scenario::steady(4, 100.0, 1.0) };
    assert!(simulate(&scenario, 1).per_second(0.0, 10.0) > 90.0);
}

/// An even share of the rate per box would give the first box a quarter or an 85th of it.
#[test]
fn box_with_most_of_the_demand_uses_most_of_the_rate() {
    for boxes in [4, 85] {
        let scenario = Scenario { first_box_share: 0.9, ..Scenario::steady(boxes, 300.0, 6.0) };
        let result = simulate(&scenario, 2);
        assert_rate_kept(&result, 6.0, 5.0, 20.0);
        assert_rate_used(&result, 6.0, 8.0, 24.0);
    }
}

/// With a token bucket of one request per box, 85 boxes would send 85 requests at once where 23 are
/// allowed.
#[test]
fn rate_is_kept_when_traffic_increases_or_returns_at_all_boxes_at_once() {
    for (boxes, rate) in [(4, 3.0), (85, 3.0), (85, 30.0)] {
        let steady = Scenario::steady(boxes, 600.0, rate);
        for factor in [8.0, 0.0] {
            let scenario = Scenario { surge: (factor, 12.0, 18.0), ..steady.clone() };
            assert_rate_kept(&simulate(&scenario, 3), rate, 5.0, 20.0);
        }
    }
}

#[test]
fn partitioned_boxes_keep_to_the_rate_together() {
    for (boxes, rate) in [(2, 4.5), (4, 30.0), (85, 3.0)] {
        let scenario = Scenario { partition: (10.0, 17.0), ..Scenario::steady(boxes, 300.0, rate) };
        let result = simulate(&scenario, 4);
        assert_rate_kept(&result, rate, 5.0, 20.0);
        assert_rate_used(&result, rate * 0.9, 9.0, 24.0);
    }
}

#[test]
fn rate_can_decrease_increase_and_end() {
    for boxes in [2, 25] {
        let rates = vec![(4.0, Some(30.0)), (10.0, Some(3.0)), (16.0, Some(20.0)), (20.0, None)];
        let scenario = Scenario { rates, ..Scenario::steady(boxes, 300.0, 0.0) };
        let result = simulate(&scenario, 5);
        assert_rate_kept(&result, 30.0, 4.0, 6.0);
        assert_rate_kept(&result, 3.0, 10.0, 12.0);
        assert_rate_kept(&result, 20.0, 16.0, 16.0);
        assert_rate_used(&result, 30.0, 6.0, 10.0);
        assert_rate_used(&result, 3.0, 11.0, 16.0);
        assert_rate_used(&result, 20.0, 17.0, 20.0);
        assert!(result.per_second(21.0, 24.0) > 280.0, "the server gets all requests again");
    }
}

/// A server that gets no requests can't state that it accepts more again.
#[test]
fn end_of_a_zero_rate_is_detected() {
    let rates = vec![(4.0, Some(0.0)), (14.0, None)];
    let result = simulate(&Scenario { rates, ..Scenario::steady(4, 300.0, 0.0) }, 6);
    assert_rate_kept(&result, 0.0, 4.0, 10.0);
    assert!(result.per_second(17.5, 24.0) > 280.0);
}

#[test]
fn rate_is_kept_while_reports_are_lost() {
    let (mut received_rate, mut stated_rate) = (0.0, 0.0);
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = rng.random_range(0.5..30.0);
        let scenario = Scenario {
            first_box_share: rng.random_range(0.1..0.9),
            loss: rng.random_range(0.0..0.33),
            duration: 16.0,
            ..Scenario::steady(rng.random_range(2..16), rng.random_range(100.0..900.0), rate)
        };
        let result = simulate(&scenario, seed);
        assert_rate_kept(&result, rate, 5.0, 12.0);
        received_rate += result.per_second(8.0, 16.0);
        stated_rate += rate;
    }
    assert!(
        received_rate >= MIN_USED_SHARE * stated_rate,
        "{received_rate:.2} a second of {stated_rate:.2}"
    );
}

#[test]
fn report_size_is_bounded_for_any_number_of_servers() {
    let now = Instant::now();
    let mut throttles = Throttles::new(0.0);
    for server in 0..2000 {
        throttles.record_rate(server, server % 100, Some(3.0), now);
        throttles.record_request(server % 100, now);
        throttles.record_sent(server, now);
    }
    throttles.tick(&HashSet::new(), 1, now);
    let bytes = prost::Message::encoded_len(&throttles.next_report(now));
    assert!(bytes <= 1200, "{bytes} bytes");
    assert!(throttles.len() <= 1024);
}

#[test]
fn outdated_rate_is_ignored() {
    let now = Instant::now();
    let mut one = Throttles::new(0.0);
    assert!(one.record_rate(SERVER, SERVICE, Some(3.0), now), "the other boxes must be notified");
    assert!(!one.record_rate(SERVER, SERVICE, Some(3.0), now), "the rate has not changed");
    let older = one.next_report(now);
    assert!(one.record_rate(SERVER, SERVICE, None, now + Duration::from_millis(100)));
    let mut other = Throttles::new(0.0);
    let later = now + Duration::from_millis(300);
    let newer = one.next_report(later);
    other.merge_rates(&newer.words, later);
    assert_eq!(other.rate(SERVER), None);
    one.merge_rates(&older.words, now + Duration::from_millis(50));
    assert_eq!(one.rate(SERVER), None);
}

/// Refused callers are asked to retry one after the other. If each were asked to retry after half
/// of the latency objective, 0.25 s, all would retry at once and be refused again.
#[test]
fn refused_callers_retry_one_after_the_other() {
    let now = Instant::now();
    let mut throttles = Throttles::new(0.0);
    throttles.record_rate(SERVER, SERVICE, Some(4.0), now);
    throttles.record_request(SERVICE, now);
    let retry_after = |throttles: &mut Throttles, now| {
        throttles.retry_after(SERVICE, std::iter::once(SERVER), now).as_millis()
    };
    let retry_times: Vec<u128> = (0..3).map(|_| retry_after(&mut throttles, now)).collect();
    assert_eq!(retry_times, [250, 500, 750]);
    assert_eq!(retry_after(&mut throttles, now + Duration::from_secs(5)), 250);
}

/// The reported age of a rate doesn't include the network latency of the datagram. Two boxes that
/// report a rate to each other, each 20 ms later, would otherwise take it for new ten seconds after
/// the server stated it.
#[test]
fn rate_ages_even_if_boxes_keep_reporting_it() {
    let start = Instant::now();
    let (mut one, mut other) = (Throttles::new(0.0), Throttles::new(0.0));
    one.record_rate(SERVER, SERVICE, Some(3.0), start);
    let latency = Duration::from_millis(20);
    for step in 0..250 {
        let now = start + 2 * step * latency;
        other.merge_rates(&one.all_rates(now).words, now + latency);
        one.merge_rates(&other.all_rates(now + latency).words, now + 2 * latency);
    }
    let reported = one.all_rates(start + Duration::from_secs(10)).words[0];
    assert!(reported.said_ms > 9_000, "{} ms", reported.said_ms);
}
