//! Servers that name a rate, before a region of boxes in time advanced by hand: reports that are late
//! or lost, unequal demand, boxes that start anew or no longer hear each other, rates that change.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::quota::ReportId;
use copperweir_lib::coordination::throttle::Throttles;
use copperweir_lib::coordination::throttle::messages::ThrottleReport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between reports, and boxes that are told in each, as in the gateway.
const PERIOD: Duration = Duration::from_millis(200);
const TOLD: usize = 32;
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Time from a send to the head of its answer.
const ANSWER: Duration = Duration::from_millis(50);
/// Window over which a rate is counted, and what it may hold.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const BEYOND: f64 = 5.0;
/// By then all boxes know of a rate, or that it is lower.
const KNOWN: Duration = Duration::from_secs(1);
const SERVER: u64 = 7;
const SERVICE: u64 = 3;

/// What a simulated region is put through.
#[derive(Clone)]
struct Load {
    boxes: usize,
    /// Requests a second over all boxes.
    requests: f64,
    /// Part of the demand that the first box has; the others share the rest alike.
    first: f64,
    /// The rates that the server names, and from when on, seconds.
    rates: Vec<(f64, Option<f64>)>,
    /// Factor on the requests, and when it holds, seconds.
    surge: (f64, f64, f64),
    /// Part of the reports that are lost.
    loss: f64,
    /// When the first half of the boxes and the second don't hear each other, seconds.
    cut: (f64, f64),
    /// When all boxes start anew, seconds.
    restart: Option<f64>,
    /// Length, seconds.
    length: f64,
}

impl Load {
    fn steady(boxes: usize, requests: f64, rate: f64) -> Load {
        Load {
            boxes,
            requests,
            first: 1.0 / boxes as f64,
            rates: vec![(5.0, Some(rate))],
            surge: (1.0, 0.0, 0.0),
            loss: 0.03,
            cut: (0.0, 0.0),
            restart: None,
            length: 24.0,
        }
    }

    fn rate(&self, second: f64) -> Option<f64> {
        self.rates.iter().rev().find(|(from, _)| second >= *from).and_then(|(_, rate)| *rate)
    }

    /// Demand of a box, requests a second.
    fn demand(&self, number: usize, second: f64) -> f64 {
        let (factor, from, until) = self.surge;
        let factor = if second >= from && second < until { factor } else { 1.0 };
        let part = match number {
            0 => self.first,
            _ => (1.0 - self.first) / (self.boxes - 1) as f64,
        };
        self.requests * part * factor
    }
}

/// What came of it.
#[derive(Debug)]
struct Played {
    /// Requests that reached the server, seconds.
    came: Vec<f64>,
    /// Largest report, bytes.
    bytes: usize,
}

impl Played {
    /// Most requests in a window that begins between two moments, in seconds.
    fn most(&self, from: f64, until: f64) -> usize {
        let begins = self.came.iter().filter(|at| **at >= from && **at < until);
        let window = |begin: &f64| {
            let end = begin + WINDOW.as_secs_f64();
            self.came.iter().filter(|at| **at >= *begin && **at < end).count()
        };
        begins.map(window).max().unwrap_or(0)
    }

    /// Requests a second between two moments.
    fn per_second(&self, from: f64, until: f64) -> f64 {
        let came = self.came.iter().filter(|at| **at >= from && **at < until).count();
        came as f64 / (until - from)
    }
}

/// A report on its way.
struct Datagram {
    due: Instant,
    to: usize,
    teller: ReportId,
    news: ThrottleReport,
}

fn boxes(count: usize, rng: &mut SmallRng) -> Vec<Throttles> {
    (0..count).map(|_| Throttles::new(rng.random())).collect()
}

struct Sim {
    load: Load,
    rng: SmallRng,
    boxes: Vec<Throttles>,
    /// Life of the boxes, and the number of each one's last report.
    life: u64,
    numbers: Vec<u64>,
    wire: Vec<Datagram>,
    answers: Vec<(Instant, usize)>,
    start: Instant,
    played: Played,
}

impl Sim {
    fn new(load: Load, seed: u64) -> Sim {
        let mut rng = SmallRng::seed_from_u64(seed);
        Sim {
            boxes: boxes(load.boxes, &mut rng),
            rng,
            life: 1,
            numbers: vec![0; load.boxes],
            wire: Vec::new(),
            answers: Vec::new(),
            start: Instant::now(),
            played: Played { came: Vec::new(), bytes: 0 },
            load,
        }
    }

    fn second(&self, now: Instant) -> f64 {
        (now - self.start).as_secs_f64()
    }

    fn play(mut self) -> Played {
        for step in 0..(self.load.length / STEP.as_secs_f64()) as u32 {
            let now = self.start + STEP * step;
            let second = self.second(now);
            if self.life == 1 && self.load.restart.is_some_and(|at| second >= at) {
                self.restart();
            }
            self.deliver(now);
            self.report(step, now);
            self.hear_server(now);
            self.ask(now);
        }
        self.played
    }

    fn restart(&mut self) {
        self.life = 2;
        self.numbers.fill(0);
        self.boxes = boxes(self.load.boxes, &mut self.rng);
        self.wire.clear();
        self.answers.clear();
    }

    fn deliver(&mut self, now: Instant) {
        let due: Vec<Datagram> = self.wire.extract_if(.., |one| one.due <= now).collect();
        for Datagram { to, teller, news, .. } in due {
            if teller.number == 0 {
                self.boxes[to].merge_rates(&news.words, now);
            } else if self.boxes[to].receive_report(teller, &news, now) {
                let words = self.boxes[to].all_rates(now);
                self.post_numbered(0, to, teller.sender as usize, words, now);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize, now: Instant) -> bool {
        let (from, until) = self.load.cut;
        let second = self.second(now);
        let half = self.load.boxes / 2;
        second >= from && second < until && (one < half) != (other < half)
    }

    fn post(&mut self, from: usize, to: usize, news: ThrottleReport, now: Instant) {
        self.post_numbered(self.numbers[from], from, to, news, now);
    }

    fn post_numbered(
        &mut self,
        number: u64,
        from: usize,
        to: usize,
        news: ThrottleReport,
        now: Instant,
    ) {
        if self.rng.random::<f64>() < self.load.loss || self.is_cut(from, to, now) {
            return;
        }
        let teller = ReportId { sender: from as u64, incarnation: self.life, number };
        let due = now + Duration::from_millis(2);
        self.wire.push(Datagram { due, to, teller, news });
    }

    /// Each box reports at its own moment of each period, to some others in turn.
    fn report(&mut self, step: u32, now: Instant) {
        let every = (PERIOD.as_millis() / STEP.as_millis()) as usize;
        let rounds = (self.load.boxes - 1).div_ceil(TOLD) as u32;
        for number in 0..self.load.boxes {
            if !(step as usize + number * 7).is_multiple_of(every) {
                continue;
            }
            self.numbers[number] += 1;
            let others: HashSet<u64> =
                (0..self.load.boxes as u64).filter(|other| *other != number as u64).collect();
            self.boxes[number].tick(&others, rounds, now);
            let news = self.boxes[number].next_report(now);
            self.played.bytes = self.played.bytes.max(prost::Message::encoded_len(&news));
            let told: Vec<usize> = (0..self.load.boxes).filter(|other| *other != number).collect();
            let turn = self.numbers[number] as usize * TOLD % told.len().max(1);
            let told = told.iter().cycle().skip(turn).take(TOLD.min(told.len())).copied();
            for other in told.collect::<Vec<_>>() {
                self.post(number, other, news.clone(), now);
            }
        }
    }

    fn hear_server(&mut self, now: Instant) {
        let rate = self.load.rate(self.second(now));
        let due: Vec<_> = self.answers.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, number) in due {
            if !self.boxes[number].record_rate(SERVER, SERVICE, rate, now) {
                continue;
            }
            self.numbers[number] += 1;
            let news = self.boxes[number].next_report(now);
            for other in (0..self.load.boxes).filter(|other| *other != number) {
                self.post(number, other, news.clone(), now);
            }
        }
    }

    fn ask(&mut self, now: Instant) {
        let second = self.second(now);
        for number in 0..self.load.boxes {
            let mut due = self.load.demand(number, second) * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random::<f64>() < due.min(1.0) {
                    self.ask_box(number, now);
                }
                due -= 1.0;
            }
        }
    }

    fn ask_box(&mut self, number: usize, now: Instant) {
        let throttles = &mut self.boxes[number];
        throttles.record_request(SERVICE, now);
        if throttles.admits(SERVER, self.rng.random(), now) {
            throttles.record_sent(SERVER, now);
            self.played.came.push((now - self.start).as_secs_f64());
            self.answers.push((now + ANSWER, number));
        }
    }
}

fn play(load: &Load, seed: u64) -> Played {
    Sim::new(load.clone(), seed).play()
}

fn allowed(rate: f64) -> f64 {
    FACTOR * rate * WINDOW.as_secs_f64() + BEYOND
}

fn assert_held(played: &Played, rate: f64, from: f64, until: f64) {
    let most = played.most(from + KNOWN.as_secs_f64(), until);
    assert!(most as f64 <= allowed(rate), "{most} in a window, {} allowed", allowed(rate));
}

/// Part of a rate that a server must get while it is asked for more.
const USED: f64 = 0.85;

fn assert_used(played: &Played, rate: f64, from: f64, until: f64) {
    let got = played.per_second(from, until);
    assert!(got >= USED * rate, "{got:.2} a second of {rate}");
}

#[test]
fn a_rate_holds_and_is_used_however_many_boxes_and_requests_there_are() {
    for (boxes, requests, rate) in
        [(1, 100.0, 4.5), (2, 600.0, 3.1), (4, 40.0, 30.0), (25, 300.0, 3.0), (85, 600.0, 3.0)]
    {
        let mut got = 0.0;
        for seed in 0..3 {
            let played = play(&Load::steady(boxes, requests, rate), seed);
            assert_held(&played, rate, 5.0, 20.0);
            got += played.per_second(8.0, 24.0) / 3.0;
        }
        assert!(got >= USED * rate, "{got:.2} a second of {rate}");
    }
}

/// Before a rate is named, a server gets what there is.
#[test]
fn a_server_that_names_nothing_gets_all() {
    let load = Load { length: 10.0, rates: Vec::new(), ..Load::steady(4, 100.0, 1.0) };
    assert!(play(&load, 1).per_second(0.0, 10.0) > 90.0);
}

/// A part of the rate for each box would leave the first one with a quarter or an 85th of it.
#[test]
fn one_box_with_most_of_the_demand_uses_most_of_the_rate() {
    for boxes in [4, 85] {
        let load = Load { first: 0.9, ..Load::steady(boxes, 300.0, 6.0) };
        let played = play(&load, 2);
        assert_held(&played, 6.0, 5.0, 20.0);
        assert_used(&played, 6.0, 8.0, 24.0);
    }
}

/// With a bucket of one request a box, 85 boxes would send 85 at once where 23 are allowed.
#[test]
fn traffic_that_rises_or_comes_back_at_all_boxes_at_once_goes_by_the_rate() {
    for (boxes, rate) in [(4, 3.0), (85, 3.0), (85, 30.0)] {
        let steady = Load::steady(boxes, 600.0, rate);
        for factor in [8.0, 0.0] {
            let load = Load { surge: (factor, 12.0, 18.0), ..steady.clone() };
            assert_held(&play(&load, 3), rate, 5.0, 20.0);
        }
    }
}

#[test]
fn boxes_that_do_not_hear_each_other_keep_to_the_rate_together() {
    for (boxes, rate) in [(2, 4.5), (4, 30.0), (85, 3.0)] {
        let load = Load { cut: (10.0, 17.0), ..Load::steady(boxes, 300.0, rate) };
        let played = play(&load, 4);
        assert_held(&played, rate, 5.0, 20.0);
        assert_used(&played, rate * 0.9, 9.0, 24.0);
    }
}

#[test]
fn a_rate_may_fall_rise_and_end() {
    for boxes in [2, 25] {
        let rates = vec![(4.0, Some(30.0)), (10.0, Some(3.0)), (16.0, Some(20.0)), (20.0, None)];
        let load = Load { rates, ..Load::steady(boxes, 300.0, 0.0) };
        let played = play(&load, 5);
        assert_held(&played, 30.0, 4.0, 6.0);
        assert_held(&played, 3.0, 10.0, 12.0);
        assert_held(&played, 20.0, 16.0, 16.0);
        assert_used(&played, 30.0, 6.0, 10.0);
        assert_used(&played, 3.0, 11.0, 16.0);
        assert_used(&played, 20.0, 17.0, 20.0);
        assert!(played.per_second(21.0, 24.0) > 280.0, "it is in full use again");
    }
}

/// A server that gets nothing can't say that it takes more again.
#[test]
fn the_end_of_a_rate_of_nothing_is_found() {
    let rates = vec![(4.0, Some(0.0)), (14.0, None)];
    let played = play(&Load { rates, ..Load::steady(4, 300.0, 0.0) }, 6);
    assert_held(&played, 0.0, 4.0, 10.0);
    assert!(played.per_second(17.5, 24.0) > 280.0);
}

#[test]
fn a_rate_holds_while_reports_are_lost() {
    let (mut got, mut named) = (0.0, 0.0);
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = rng.random_range(0.5..30.0);
        let load = Load {
            first: rng.random_range(0.1..0.9),
            loss: rng.random_range(0.0..0.33),
            length: 16.0,
            ..Load::steady(rng.random_range(2..16), rng.random_range(100.0..900.0), rate)
        };
        let played = play(&load, seed);
        assert_held(&played, rate, 5.0, 12.0);
        got += played.per_second(8.0, 16.0);
        named += rate;
    }
    assert!(got >= USED * named, "{got:.2} a second of {named:.2}");
}

#[test]
fn a_report_does_not_grow_with_the_servers_that_name_rates() {
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
fn a_word_that_was_overtaken_changes_nothing() {
    let now = Instant::now();
    let mut one = Throttles::new(0.0);
    assert!(one.record_rate(SERVER, SERVICE, Some(3.0), now), "others must hear of it");
    assert!(!one.record_rate(SERVER, SERVICE, Some(3.0), now), "nothing new");
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

/// What is left, refused callers are asked to come back to one after the other. Told half of the
/// latency objective, 0.25 s, they would all come at once, and be refused again.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let now = Instant::now();
    let mut throttles = Throttles::new(0.0);
    throttles.record_rate(SERVER, SERVICE, Some(4.0), now);
    throttles.record_request(SERVICE, now);
    let come_back = |throttles: &mut Throttles, now| {
        throttles.retry_after(SERVICE, std::iter::once(SERVER), now).as_millis()
    };
    let told: Vec<u128> = (0..3).map(|_| come_back(&mut throttles, now)).collect();
    assert_eq!(told, [250, 500, 750]);
    assert_eq!(come_back(&mut throttles, now + Duration::from_secs(5)), 250);
}

/// The way of a datagram is not in the age of the words that it tells. Two boxes that tell each other of a
/// word, each 20 ms later, would take it for new ten seconds after the server said it.
#[test]
fn a_word_grows_old_however_often_boxes_tell_each_other_of_it() {
    let start = Instant::now();
    let (mut one, mut other) = (Throttles::new(0.0), Throttles::new(0.0));
    one.record_rate(SERVER, SERVICE, Some(3.0), start);
    let way = Duration::from_millis(20);
    for step in 0..250 {
        let now = start + 2 * step * way;
        other.merge_rates(&one.all_rates(now).words, now + way);
        one.merge_rates(&other.all_rates(now + way).words, now + 2 * way);
    }
    let told = one.all_rates(start + Duration::from_secs(10)).words[0];
    assert!(told.said_ms > 9_000, "{} ms", told.said_ms);
}
