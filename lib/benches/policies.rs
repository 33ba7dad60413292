//! Comparison of policies on identical arrivals, in virtual time, with an oracle.
//!
//! The simulated region has boxes that run the daemon's pool code, and load reports that are late.
//! Its engines have a cost model: slots, a prefix cache of limited size, prefill of one prompt at a
//! time, and decode steps that take longer with larger batches. The oracle sees the true state and
//! cache of every engine at each arrival.
//!
//! `cargo bench -p copperweir-lib --bench policies`

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::policy::Candidate;
use copperweir_lib::coordination::policy::LeastInFlight;
use copperweir_lib::coordination::policy::Policy;
use copperweir_lib::coordination::policy::PrefixAffinity;
use copperweir_lib::coordination::policy::PrefixHash;
use copperweir_lib::coordination::policy::Random;
use copperweir_lib::coordination::policy::Request as RequestInfo;
use copperweir_lib::coordination::policy::RoundRobin;
use copperweir_lib::coordination::pool::Arrival;
use copperweir_lib::coordination::pool::Decision;
use copperweir_lib::coordination::pool::Limits;
use copperweir_lib::coordination::pool::Outcome;
use copperweir_lib::coordination::pool::Placement;
use copperweir_lib::coordination::pool::Pool;
use copperweir_lib::coordination::pool::ServerSnapshot;
use copperweir_lib::coordination::pool::Wake;
use copperweir_lib::protocol::config::Priority;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENGINES: usize = 12;
const BOXES: usize = 3;
const SLOTS: u32 = 8;
/// Number of prefixes in an engine's cache.
const CACHED_PREFIXES: usize = 40;
/// Number of prefixes that callers use, with a Zipf distribution.
const PREFIX_COUNT: f64 = 200.0;
/// Seconds per token of prefill, per decode step, and added to a decode step per running request.
const PREFILL_S_PER_TOKEN: f64 = 0.000_1;
const DECODE_STEP_S: f64 = 0.010;
const DECODE_STEP_S_PER_REQUEST: f64 = 0.001;
const REPORT_PERIOD_S: f64 = 0.5;
const REPORT_LAG_S: f64 = 0.3;
const DURATION_S: f64 = 120.0;
const WARM_UP_S: f64 = 20.0;
const SEEDS: u64 = 5;
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.3];

/// A kind of request. `share` is its part of all requests; `prefix` and `own` are the shared and
/// the own prompt tokens; `tokens` are the output tokens; `timeout_s` is the time to the deadline.
struct RequestKind {
    share: f64,
    prefix: f64,
    own: f64,
    tokens: f64,
    priority: Priority,
    timeout_s: f64,
}

const fn kind(
    share: f64,
    prefix: f64,
    own: f64,
    tokens: f64,
    priority: Priority,
    timeout_s: f64,
) -> RequestKind {
    RequestKind { share, prefix, own, tokens, priority, timeout_s }
}

/// Summaries of fault logs, and questions about codes.
const UTILITY: [RequestKind; 2] = [
    kind(0.4, 1500.0, 500.0, 60.0, Priority::High, 10.0),
    kind(0.6, 100.0, 25.0, 20.0, Priority::Normal, 20.0),
];
/// Reviews of listings, and questions of buyers.
const TICKETS: [RequestKind; 2] = [
    kind(0.3, 2250.0, 250.0, 40.0, Priority::Low, 30.0),
    kind(0.7, 75.0, 25.0, 15.0, Priority::High, 10.0),
];

#[derive(Clone)]
struct Job {
    id: u64,
    kind: usize,
    prefix: u64,
    arrived_s: f64,
    dispatched_s: f64,
    owner: usize,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<Job>,
    prefill_free_at_s: f64,
    cache: VecDeque<u64>,
    load_history: VecDeque<(f64, u32)>,
}

enum Event {
    Arrive(Job),
    ReachEngine(usize, Job),
    Done(usize, Job, f64),
    Report,
}

#[derive(Default)]
struct Statistics {
    /// Times to the first token, of all requests and of those with high priority.
    first_token_s: Vec<f64>,
    urgent_first_token_s: Vec<f64>,
    completed: usize,
    refused: usize,
    refused_urgent: usize,
    hits: usize,
    lookups: usize,
    /// Processing time of engines, with the time of a decode step shared among all slots.
    work_s: f64,
    /// Slot-seconds in use, and those of them spent waiting for a prefill to end.
    busy_slot_s: f64,
    stalled_slot_s: f64,
}

struct Simulation<'a, P> {
    kinds: &'a [RequestKind],
    pools: Vec<Pool<P>>,
    engines: Vec<Engine>,
    jobs: HashMap<u64, Job>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    start: Instant,
    now: f64,
    oracle: bool,
    rng: SmallRng,
    statistics: Statistics,
}

fn name(engine: usize) -> String {
    format!("engine-{engine:02}")
}

const LIMITS: Limits = Limits { max_queued: 256, max_queued_bytes: usize::MAX, boxes: BOXES };

impl<'a, P: Policy + Default> Simulation<'a, P> {
    fn new(kinds: &'a [RequestKind], oracle: bool, seed: u64) -> Simulation<'a, P> {
        let start = Instant::now();
        let mut simulation = Simulation {
            kinds,
            pools: (0..BOXES).map(|_| Pool::new(P::default(), LIMITS, start)).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            jobs: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            start,
            now: 0.0,
            oracle,
            rng: SmallRng::seed_from_u64(seed ^ 0xfeed),
            statistics: Statistics::default(),
        };
        simulation.schedule(0.0, Event::Report);
        simulation
    }

    fn schedule(&mut self, time: f64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(((time * 1e9) as u64, self.number)));
        self.events.insert(self.number, event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn run(mut self, arrivals: &[Job]) -> Statistics {
        for job in arrivals {
            self.schedule(job.arrived_s, Event::Arrive(job.clone()));
        }
        while let Some(Reverse((time, number))) = self.queue.pop() {
            self.now = time as f64 / 1e9;
            match self.events.remove(&number) {
                Some(Event::Arrive(job)) => self.arrive(job),
                Some(Event::ReachEngine(engine, job)) => self.reach_engine(engine, job),
                Some(Event::Done(engine, job, first)) => self.done(engine, job, first),
                Some(Event::Report) => self.report(),
                None => {}
            }
        }
        self.statistics
    }

    fn is_measured(&self, job: &Job) -> bool {
        job.arrived_s >= WARM_UP_S
    }

    fn arrive(&mut self, job: Job) {
        if self.oracle {
            let engine = self.best_engine(&job);
            return self.dispatch(engine, job);
        }
        let kind = &self.kinds[job.kind];
        let timeout = Duration::from_secs_f64(kind.timeout_s);
        let arrival = Arrival {
            id: job.id,
            priority: kind.priority,
            deadline: self.instant() + timeout,
            bytes: 1,
            local_allowed: true,
            remote_regions: Vec::new(),
            prefix: Some(job.prefix),
            tried_servers: Vec::new(),
        };
        let (owner, id) = (job.owner, job.id);
        self.jobs.insert(id, job);
        let now = self.instant();
        let (decision, wakes) = self.pools[owner].submit(arrival, now, &mut self.rng);
        self.handle_wakes(wakes);
        if let Decision::Immediate(placement) = decision {
            self.apply_placement(id, placement);
        }
    }

    fn handle_wakes(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            self.apply_placement(wake.id, wake.placement);
        }
    }

    fn apply_placement(&mut self, id: u64, placement: Placement) {
        let Some(job) = self.jobs.remove(&id) else { return };
        match placement {
            Placement::Server(server, _) => {
                let engine = server["engine-".len()..].parse().unwrap_or(0);
                self.dispatch(engine, job);
            }
            _ if self.is_measured(&job) => {
                self.statistics.refused += 1;
                let urgent = self.kinds[job.kind].priority == Priority::High;
                self.statistics.refused_urgent += usize::from(urgent);
            }
            _ => {}
        }
    }

    /// Returns the engine with the earliest first token, according to its true state.
    fn best_engine(&self, job: &Job) -> usize {
        let kind = &self.kinds[job.kind];
        let cost = |engine: &Engine| {
            let hit = engine.cache.contains(&job.prefix);
            let prefill = (kind.own + if hit { 0.0 } else { kind.prefix }) * PREFILL_S_PER_TOKEN;
            let ahead = (engine.running + engine.waiting.len() as u32) as f64 / f64::from(SLOTS);
            let queued = (ahead - 1.0 + 1.0 / f64::from(SLOTS)).max(0.0);
            (engine.prefill_free_at_s - self.now).max(0.0) + prefill + queued + 0.02 * ahead
        };
        let costs = self.engines.iter().map(cost).enumerate();
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(0, |(index, _)| index)
    }

    fn dispatch(&mut self, engine: usize, mut job: Job) {
        job.dispatched_s = self.now;
        self.schedule(self.now + 0.001, Event::ReachEngine(engine, job));
    }

    fn reach_engine(&mut self, engine: usize, job: Job) {
        self.engines[engine].waiting.push_back(job);
        self.admit(engine);
    }

    fn admit(&mut self, index: usize) {
        let (now, kinds) = (self.now, self.kinds);
        let engine = &mut self.engines[index];
        if engine.running >= SLOTS {
            return;
        }
        // Engines serve higher priorities first.
        let urgent = |job: &Job| kinds[job.kind].priority;
        let next = (0..engine.waiting.len()).rev().max_by_key(|at| urgent(&engine.waiting[*at]));
        let Some(job) = next.and_then(|next| engine.waiting.remove(next)) else { return };
        engine.running += 1;
        let kind = &kinds[job.kind];
        let hit = engine.cache.iter().position(|prefix| *prefix == job.prefix);
        if let Some(position) = hit {
            engine.cache.remove(position);
        }
        engine.cache.push_back(job.prefix);
        if engine.cache.len() > CACHED_PREFIXES {
            engine.cache.pop_front();
        }
        let prefill =
            (kind.own + if hit.is_some() { 0.0 } else { kind.prefix }) * PREFILL_S_PER_TOKEN;
        let prefilled = engine.prefill_free_at_s.max(now) + prefill;
        engine.prefill_free_at_s = prefilled;
        let step = DECODE_STEP_S + DECODE_STEP_S_PER_REQUEST * f64::from(engine.running);
        let first = prefilled + step;
        let end = prefilled + step * kind.tokens;
        if job.arrived_s >= WARM_UP_S {
            self.statistics.lookups += 1;
            self.statistics.hits += usize::from(hit.is_some());
            self.statistics.work_s += prefill + step * kind.tokens / f64::from(SLOTS);
            self.statistics.busy_slot_s += end - now;
            self.statistics.stalled_slot_s += prefilled - now;
        }
        self.schedule(end, Event::Done(index, job, first));
    }

    fn done(&mut self, engine: usize, job: Job, first: f64) {
        self.engines[engine].running -= 1;
        self.admit(engine);
        if self.is_measured(&job) {
            self.statistics.completed += 1;
            self.statistics.first_token_s.push(first - job.arrived_s);
            if self.kinds[job.kind].priority == Priority::High {
                self.statistics.urgent_first_token_s.push(first - job.arrived_s);
            }
        }
        if self.oracle {
            return;
        }
        let outcome = Outcome::Answered {
            first_byte: Duration::from_secs_f64(first - job.dispatched_s),
            total: Duration::from_secs_f64(self.now - job.dispatched_s),
        };
        let now = self.instant();
        let wakes = self.pools[job.owner].finish(&name(engine), outcome, now, &mut self.rng);
        self.handle_wakes(wakes);
    }

    /// Sends every box the load that each engine had some time ago.
    fn report(&mut self) {
        if self.now > DURATION_S {
            return;
        }
        self.schedule(self.now + REPORT_PERIOD_S, Event::Report);
        let now = self.now;
        let mut server_snapshots = BTreeMap::new();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let load = engine.running + engine.waiting.len() as u32;
            engine.load_history.push_back((now, load));
            while engine.load_history.len() > 1 && engine.load_history[1].0 <= now - REPORT_LAG_S {
                engine.load_history.pop_front();
            }
            let (at, load) = engine.load_history[0];
            let server_snapshot = ServerSnapshot {
                address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
                slots: SLOTS,
                leaving: false,
                reachable: true,
                report: Some((load, self.start + Duration::from_secs_f64(at))),
            };
            server_snapshots.insert(name(index), server_snapshot);
        }
        let now = self.instant();
        for index in 0..BOXES {
            self.pools[index].update(LIMITS, server_snapshots.clone(), BTreeSet::new());
            let wakes = self.pools[index].dispatch_queued(now, &mut self.rng);
            self.handle_wakes(wakes);
        }
    }
}

fn arrivals(kinds: &[RequestKind], rate: f64, seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut now = 0.0;
    while now < DURATION_S {
        now += -rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let mut left: f64 = rng.random();
        let drawn = kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let kind = drawn.unwrap_or(0);
        let prefix = PREFIX_COUNT.powf(rng.random::<f64>()) as u64 + 1000 * kind as u64;
        jobs.push(Job {
            id: jobs.len() as u64,
            kind,
            prefix,
            arrived_s: now,
            dispatched_s: now,
            owner: rng.random_range(0..BOXES),
        });
    }
    jobs
}

/// Returns the requests per second at which all slots are busy with full batches.
fn capacity(kinds: &[RequestKind]) -> f64 {
    let step = DECODE_STEP_S + DECODE_STEP_S_PER_REQUEST * f64::from(SLOTS);
    let busy: f64 = kinds
        .iter()
        .map(|kind| {
            kind.share * (kind.tokens * step + (kind.own + kind.prefix / 2.0) * PREFILL_S_PER_TOKEN)
        })
        .sum();
    ENGINES as f64 * f64::from(SLOTS) / busy
}

/// Returns a quantile of times in seconds, in milliseconds.
fn quantile(times: &mut [f64], share: f64) -> f64 {
    if times.is_empty() {
        return f64::NAN;
    }
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * share).round() as usize] * 1000.0
}

/// [`PrefixAffinity`] that ignores the prefix of a request.
#[derive(Default)]
struct NoPrefix(PrefixAffinity);

impl Policy for NoPrefix {
    fn choose(
        &mut self,
        _request: RequestInfo,
        candidates: &[Candidate<'_>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.0.choose(RequestInfo { prefix: None }, candidates, rng)
    }
}

fn run_policy<P: Policy + Default>(
    label: &str,
    kinds: &[RequestKind],
    load: f64,
    oracle: bool,
) -> Vec<f64> {
    let mut seeds = Vec::new();
    for seed in 1..=SEEDS {
        let jobs = arrivals(kinds, capacity(kinds) * load, seed);
        let mut statistics = Simulation::<P>::new(kinds, oracle, seed).run(&jobs);
        let total = (statistics.completed + statistics.refused) as f64;
        seeds.push([
            quantile(&mut statistics.first_token_s.clone(), 0.5),
            quantile(&mut statistics.first_token_s, 0.95),
            quantile(&mut statistics.urgent_first_token_s.clone(), 0.95),
            quantile(&mut statistics.urgent_first_token_s, 0.99),
            statistics.refused as f64 / total * 100.0,
            statistics.refused_urgent as f64 / total * 100.0,
            statistics.hits as f64 / statistics.lookups as f64 * 100.0,
            statistics.work_s / statistics.completed as f64 * 1000.0,
            statistics.busy_slot_s / ((DURATION_S - WARM_UP_S) * ENGINES as f64 * f64::from(SLOTS))
                * 100.0,
            statistics.stalled_slot_s / statistics.busy_slot_s * 100.0,
        ]);
    }
    let column = |index: usize| {
        let mut values: Vec<f64> = seeds.iter().map(|row| row[index]).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let cells: Vec<String> = (0..10).map(|index| format!("{:>9.1}", column(index)[2])).collect();
    let p95 = column(1);
    println!("{label:<16} {:>5.2} {} {:>8.0}..{:.0}", load, cells.join(" "), p95[0], p95[4]);
    p95
}

fn main() {
    for (user, kinds) in [("utility", &UTILITY), ("tickets", &TICKETS)] {
        println!(
            "\n{user}: {:.0} requests/s are nominal capacity; medians of {SEEDS} seeds, ms",
            capacity(kinds)
        );
        println!(
            "{:<16} {:>5} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8}",
            "policy",
            "load",
            "p50",
            "p95",
            "urgent95",
            "urgent99",
            "refused%",
            "urgent r%",
            "hits%",
            "work/req",
            "busy%",
            "stalled%",
            "p95 range"
        );
        for load in LOADS {
            let oracle = run_policy::<PrefixAffinity>("oracle", kinds, load, true);
            let affinity = run_policy::<PrefixAffinity>("prefix affinity", kinds, load, false);
            run_policy::<NoPrefix>("- no prefix", kinds, load, false);
            run_policy::<Random>("random", kinds, load, false);
            run_policy::<RoundRobin>("round robin", kinds, load, false);
            run_policy::<LeastInFlight>("least in flight", kinds, load, false);
            run_policy::<PrefixHash>("prefix hash", kinds, load, false);
            println!(
                "prefix affinity p95 relative to the oracle's: {:.2}",
                affinity[2] / oracle[2]
            );
        }
    }
}
