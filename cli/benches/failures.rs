//! How long after each failure: nine boxes as processes, twenty trials of each.
//!
//! `cargo bench -p copperweir-cli --bench failures [-- trials]`

#[path = "../../lib/tests/common/mod.rs"]
mod common;
#[path = "../tests/processes/mod.rs"]
mod processes;

use std::time::Duration;
use std::time::Instant;

use common::Fleet;
use common::Plan;
use common::send;
use copperweir_standin::engine;
use http::Method;
use http::StatusCode;
use processes::Boxes;
use serde_json::json;

const TRIALS: usize = 20;
const POLL: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(3);
const IDLE: Duration = Duration::from_secs(20);
/// Clock ticks a second in /proc.
const TICKS: f64 = 100.0;

struct Bench {
    fleet: Fleet,
    boxes: Boxes,
}

fn all(plan: Plan) -> impl Iterator<Item = (usize, usize)> {
    (0..plan.regions).flat_map(move |region| (0..plan.boxes).map(move |number| (region, number)))
}

impl Bench {
    fn get(&self, at: std::net::SocketAddr, path: &str) -> Option<common::Reply> {
        let reply = self.fleet.block_on(send(&self.fleet.client, at, Method::GET, path, &[], ""));
        reply.ok().filter(|reply| reply.status == StatusCode::OK)
    }

    fn version(&self, (region, number): (usize, usize)) -> u64 {
        let status = self.get(self.fleet.plan.operators_address(region, number), "/status");
        status.and_then(|reply| reply.json()["version"].as_u64()).unwrap_or(0)
    }

    fn boxes_known(&self, (region, number): (usize, usize)) -> usize {
        let reply = self.get(self.fleet.plan.callers_address(region, number), "/v1/boxes");
        reply.and_then(|reply| reply.json()["boxes"].as_array().map(Vec::len)).unwrap_or(0)
    }

    fn until(&self, holds: impl Fn() -> bool) -> Duration {
        let began = Instant::now();
        while !holds() && began.elapsed() < LIMIT {
            std::thread::sleep(POLL);
        }
        began.elapsed()
    }

    fn until_all_know(&self, count: usize, except: Option<(usize, usize)>) -> Duration {
        let others = || all(self.fleet.plan).filter(move |at| Some(*at) != except);
        self.until(|| others().all(|at| self.boxes_known(at) == count))
    }

    fn configuration(&self) -> Duration {
        let file = self.fleet.plan.configuration();
        let began = Instant::now();
        let version = self.fleet.apply("main", &file).expect("applied");
        self.until(|| all(self.fleet.plan).all(|at| self.version(at) >= version));
        began.elapsed()
    }

    fn killed(&mut self, trial: usize) -> Duration {
        let at = (trial % 3, trial / 3 % 3);
        self.boxes.signal(at, "-KILL");
        self.boxes.wait(at);
        let time = self.until_all_know(8, Some(at));
        self.boxes.start_one(at.0, at.1);
        self.until_all_know(9, None);
        time
    }

    fn stopped(&mut self, trial: usize) -> Duration {
        let at = (trial % 3, trial / 3 % 3);
        self.boxes.signal(at, "-TERM");
        let time = self.until_all_know(8, Some(at));
        self.boxes.wait(at);
        self.boxes.start_one(at.0, at.1);
        self.until_all_know(9, None);
        time
    }

    /// From the engine's first sign to its last new request, under steady requests.
    fn leaving(&self) -> Duration {
        let engine = &self.fleet.engines[0][0];
        engine.set_faults(engine::Faults { leaving: true, ..Default::default() });
        let began = Instant::now();
        let (mut last, mut seen) = (Duration::ZERO, engine.completions_started());
        let mut prompt = 0;
        while began.elapsed() < SETTLE {
            for number in 0..3 {
                prompt += 1;
                let body =
                    json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": prompt});
                self.fleet.complete(self.fleet.plan.callers_address(0, number), &[], &body);
            }
            if engine.completions_started() > seen {
                (last, seen) = (began.elapsed(), engine.completions_started());
            }
        }
        engine.set_faults(engine::Faults::default());
        std::thread::sleep(SETTLE);
        last
    }

    /// From the end of a cut to the newest configuration in the region.
    fn rejoined(&self) -> Duration {
        self.fleet.set_region_cut(2, true);
        std::thread::sleep(SETTLE);
        let file = self.fleet.plan.configuration();
        let version = self.fleet.apply("main", &file).expect("applied");
        std::thread::sleep(SETTLE);
        self.fleet.set_region_cut(2, false);
        self.until(|| (0..3).all(|number| self.version((2, number)) >= version))
    }

    fn idle(&self) {
        let cost = |at: &(usize, usize)| {
            let id = self.boxes.children[at].id();
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            let fields: Vec<f64> =
                stat.split_whitespace().skip(13).take(2).filter_map(|f| f.parse().ok()).collect();
            fields.iter().sum::<f64>() / TICKS
        };
        let bytes = |at: &(usize, usize)| {
            let reply = self.get(self.fleet.plan.operators_address(at.0, at.1), "/counters");
            let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            let text = text.unwrap_or_default();
            let value = text.lines().find_map(|line| line.strip_prefix("heartbeat_bytes "));
            value.and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0)
        };
        let places: Vec<_> = all(self.fleet.plan).collect();
        let before: Vec<(f64, f64)> = places.iter().map(|at| (cost(at), bytes(at))).collect();
        let calls = self.fleet.platform.call_counts();
        std::thread::sleep(IDLE);
        let seconds = IDLE.as_secs_f64();
        for (at, (cpu, sent)) in places.iter().zip(before) {
            let id = self.boxes.children[at].id();
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            println!(
                "idle {}: {:.2}% of a core, {:.0} bytes/s of heartbeats, resident {}",
                common::box_name(at.0, at.1),
                (cost(at) - cpu) / seconds * 100.0,
                (bytes(at) - sent) / seconds,
                resident.unwrap_or_default().trim(),
            );
        }
        let now = self.fleet.platform.call_counts();
        println!(
            "idle platform calls/s of nine boxes: reads {:.2}, writes {:.2}, watches {:.2}",
            (now.0 - calls.0) as f64 / seconds,
            (now.1 - calls.1) as f64 / seconds,
            (now.2 - calls.2) as f64 / seconds,
        );
    }
}

fn show(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: f64| {
        let index = ((times.len() - 1) as f64 * share).round() as usize;
        times[index].as_secs_f64()
    };
    println!(
        "{what}: min {:.3} median {:.3} p95 {:.3} max {:.3} s ({} trials)",
        at(0.0),
        at(0.5),
        at(0.95),
        at(1.0),
        times.len()
    );
}

fn main() {
    let trials = std::env::args().find_map(|text| text.parse().ok()).unwrap_or(TRIALS);
    let mut plan = Plan::new(91);
    (plan.regions, plan.boxes, plan.engines) = (3, 3, 3);
    let fleet = Fleet::without_configuration(plan);
    fleet.apply("main", &plan.configuration()).expect("applied");
    let mut bench = Bench { boxes: Boxes::start(plan), fleet };
    bench.until_all_know(9, None);
    std::thread::sleep(SETTLE);
    bench.idle();
    show(
        "configuration in force on nine boxes",
        (0..trials).map(|_| bench.configuration()).collect(),
    );
    show("last new request of a leaving server", (0..trials).map(|_| bench.leaving()).collect());
    show("a killed box is told of no more", (0..trials).map(|t| bench.killed(t)).collect());
    show("a stopping box is told of no more", (0..trials).map(|t| bench.stopped(t)).collect());
    show("newest configuration after a cut", (0..trials).map(|_| bench.rejoined()).collect());
}
