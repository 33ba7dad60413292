//! Measures how fast nine box processes react to configuration changes and failures, and their idle
//! cost. Each reaction is measured in 20 trials by default.
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
use processes::BoxProcesses;
use serde_json::json;

const DEFAULT_TRIALS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for the boxes to reach a stable state.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which the idle cost is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(20);
/// Clock ticks per second, the unit of CPU time in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

struct Bench {
    fleet: Fleet,
    boxes: BoxProcesses,
}

/// Returns the region and number of every box.
fn all_boxes(plan: Plan) -> impl Iterator<Item = (usize, usize)> {
    (0..plan.regions).flat_map(move |region| (0..plan.boxes).map(move |number| (region, number)))
}

impl Bench {
    fn get(&self, at: std::net::SocketAddr, path: &str) -> Option<common::Reply> {
        let reply = self.fleet.block_on(send(&self.fleet.client, at, Method::GET, path, &[], ""));
        reply.ok().filter(|reply| reply.status == StatusCode::OK)
    }

    fn configuration_version(&self, (region, number): (usize, usize)) -> u64 {
        let status = self.get(self.fleet.plan.operators_address(region, number), "/status");
        status.and_then(|reply| reply.json()["version"].as_u64()).unwrap_or(0)
    }

    /// Returns the number of boxes that a box lists for callers.
    fn listed_boxes(&self, (region, number): (usize, usize)) -> usize {
        let reply = self.get(self.fleet.plan.callers_address(region, number), "/v1/boxes");
        reply.and_then(|reply| reply.json()["boxes"].as_array().map(Vec::len)).unwrap_or(0)
    }

    /// Waits until a condition holds and returns the time that this took, at most [`WAIT_TIMEOUT`].
    fn wait_until(&self, condition: impl Fn() -> bool) -> Duration {
        let started_at = Instant::now();
        while !condition() && started_at.elapsed() < WAIT_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
        }
        started_at.elapsed()
    }

    /// Waits until every box, except the given one, lists this number of boxes.
    fn wait_until_all_list(&self, count: usize, except: Option<(usize, usize)>) -> Duration {
        let others = || all_boxes(self.fleet.plan).filter(move |at| Some(*at) != except);
        self.wait_until(|| others().all(|at| self.listed_boxes(at) == count))
    }

    /// Measures the time from a change of the configuration until it is in force on all boxes.
    fn time_configuration(&self) -> Duration {
        let file = self.fleet.plan.configuration();
        let started_at = Instant::now();
        let version = self.fleet.apply("main", &file).expect("applied");
        self.wait_until(|| {
            all_boxes(self.fleet.plan).all(|at| self.configuration_version(at) >= version)
        });
        started_at.elapsed()
    }

    /// Measures the time from the kill of a box until no other box lists it.
    fn time_kill(&mut self, trial: usize) -> Duration {
        let at = (trial % 3, trial / 3 % 3);
        self.boxes.send_signal(at, "-KILL");
        self.boxes.wait_for_exit(at);
        let time = self.wait_until_all_list(8, Some(at));
        self.boxes.start_box(at.0, at.1);
        self.wait_until_all_list(9, None);
        time
    }

    /// Measures the time from the start of a planned stop of a box until no other box lists it.
    fn time_stop(&mut self, trial: usize) -> Duration {
        let at = (trial % 3, trial / 3 % 3);
        self.boxes.send_signal(at, "-TERM");
        let time = self.wait_until_all_list(8, Some(at));
        self.boxes.wait_for_exit(at);
        self.boxes.start_box(at.0, at.1);
        self.wait_until_all_list(9, None);
        time
    }

    /// Measures the time from an engine's first report that it is leaving until its last new
    /// request, under a steady load.
    fn time_leaving_engine(&self) -> Duration {
        let engine = &self.fleet.engines[0][0];
        engine.set_faults(engine::Faults { leaving: true, ..Default::default() });
        let started_at = Instant::now();
        let (mut last_request, mut completions) = (Duration::ZERO, engine.completions_started());
        let mut prompt = 0;
        while started_at.elapsed() < SETTLE_TIME {
            for number in 0..3 {
                prompt += 1;
                let body =
                    json!({"model": "log", "messages": [], "max_tokens": 0, "prompt": prompt});
                self.fleet.complete(self.fleet.plan.callers_address(0, number), &[], &body);
            }
            if engine.completions_started() > completions {
                (last_request, completions) = (started_at.elapsed(), engine.completions_started());
            }
        }
        engine.set_faults(engine::Faults::default());
        std::thread::sleep(SETTLE_TIME);
        last_request
    }

    /// Measures the time from the end of a network partition of a region until the newest
    /// configuration is in force in the region.
    fn time_rejoin(&self) -> Duration {
        self.fleet.set_region_partitioned(2, true);
        std::thread::sleep(SETTLE_TIME);
        let file = self.fleet.plan.configuration();
        let version = self.fleet.apply("main", &file).expect("applied");
        std::thread::sleep(SETTLE_TIME);
        self.fleet.set_region_partitioned(2, false);
        self.wait_until(|| (0..3).all(|number| self.configuration_version((2, number)) >= version))
    }

    /// Prints CPU, network and memory use of idle boxes, and their calls to the platform.
    fn print_idle_cost(&self) {
        let cpu_seconds = |at: &(usize, usize)| {
            let id = self.boxes.children[at].id();
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            let fields: Vec<f64> =
                stat.split_whitespace().skip(13).take(2).filter_map(|f| f.parse().ok()).collect();
            fields.iter().sum::<f64>() / TICKS_PER_SECOND
        };
        let heartbeat_bytes = |at: &(usize, usize)| {
            let reply = self.get(self.fleet.plan.operators_address(at.0, at.1), "/counters");
            let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            let text = text.unwrap_or_default();
            let value = text.lines().find_map(|line| line.strip_prefix("heartbeat_bytes "));
            value.and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0)
        };
        let box_ids: Vec<_> = all_boxes(self.fleet.plan).collect();
        let before: Vec<(f64, f64)> =
            box_ids.iter().map(|at| (cpu_seconds(at), heartbeat_bytes(at))).collect();
        let calls_before = self.fleet.platform.call_counts();
        std::thread::sleep(IDLE_PERIOD);
        let seconds = IDLE_PERIOD.as_secs_f64();
        for (at, (cpu_before, bytes_before)) in box_ids.iter().zip(before) {
            let id = self.boxes.children[at].id();
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            println!(
                "idle {}: {:.2}% of a core, {:.0} bytes/s of heartbeats, resident {}",
                common::box_name(at.0, at.1),
                (cpu_seconds(at) - cpu_before) / seconds * 100.0,
                (heartbeat_bytes(at) - bytes_before) / seconds,
                resident.unwrap_or_default().trim(),
            );
        }
        let calls_after = self.fleet.platform.call_counts();
        println!(
            "idle platform calls/s of nine boxes: reads {:.2}, writes {:.2}, watches {:.2}",
            (calls_after.0 - calls_before.0) as f64 / seconds,
            (calls_after.1 - calls_before.1) as f64 / seconds,
            (calls_after.2 - calls_before.2) as f64 / seconds,
        );
    }
}

/// Prints the distribution of the measured times.
fn print_times(label: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let quantile = |share: f64| {
        let index = ((times.len() - 1) as f64 * share).round() as usize;
        times[index].as_secs_f64()
    };
    println!(
        "{label}: min {:.3} median {:.3} p95 {:.3} max {:.3} s ({} trials)",
        quantile(0.0),
        quantile(0.5),
        quantile(0.95),
        quantile(1.0),
        times.len()
    );
}

fn main() {
    let trials = std::env::args().find_map(|text| text.parse().ok()).unwrap_or(DEFAULT_TRIALS);
    let mut plan = Plan::new(91);
    (plan.regions, plan.boxes, plan.engines) = (3, 3, 3);
    let fleet = Fleet::without_configuration(plan);
    fleet.apply("main", &plan.configuration()).expect("applied");
    let mut bench = Bench { boxes: BoxProcesses::start(plan), fleet };
    bench.wait_until_all_list(9, None);
    std::thread::sleep(SETTLE_TIME);
    bench.print_idle_cost();
    print_times(
        "configuration in force on nine boxes",
        (0..trials).map(|_| bench.time_configuration()).collect(),
    );
    print_times(
        "last new request of a leaving server",
        (0..trials).map(|_| bench.time_leaving_engine()).collect(),
    );
    print_times(
        "killed box removed from all lists",
        (0..trials).map(|t| bench.time_kill(t)).collect(),
    );
    print_times(
        "stopping box removed from all lists",
        (0..trials).map(|t| bench.time_stop(t)).collect(),
    );
    print_times(
        "newest configuration after a region cut",
        (0..trials).map(|_| bench.time_rejoin()).collect(),
    );
}
