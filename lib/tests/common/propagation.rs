//! Simulates how changes in the store spread. The boxes of three regions watch, poll, report and
//! query by the gateway's own decisions, on a simulated store and network.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::freshness::CHECK_INTERVAL;
use copperweir_lib::coordination::freshness::Freshness;
use copperweir_lib::coordination::freshness::PeerState;
use copperweir_lib::coordination::watchers;
use copperweir_lib::gateway::replica::Replica;
use copperweir_lib::protocol::adapter::KeyValue;
use copperweir_lib::protocol::fleet::BoxRecord;
use copperweir_lib::protocol::platform::Position;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

const REGIONS: usize = 3;
/// Interval of reports, and number of boxes of the region that receive each report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_RECIPIENTS: usize = 32;
/// Minimum time between two state queries.
const MIN_QUERY_GAP: Duration = Duration::from_millis(200);
/// One-way latency within a region, and between two.
const SAME_REGION_LATENCY: Duration = Duration::from_micros(500);
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(55);
/// Time that the store or a box takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(4);
/// Time after which lost bytes of a connection are retransmitted.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which the simulation of a change ends.
const MAX_DURATION: Duration = Duration::from_secs(20);
/// The key that changes.
const CHANGED_KEY: &str = "servers/i-1";

/// Conditions of the network and the store.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Number of boxes in all regions.
    pub boxes: usize,
    /// Share of the datagrams that are lost, and of the responses that are delayed.
    pub loss: f64,
    /// Datagrams have the maximum size, and are lost if any of their six packets is.
    pub full: bool,
    /// All watches have died unnoticed, so that only polls return changes.
    pub dead_watches: bool,
    /// The store has just been restored from a copy that is older than the state of all boxes.
    pub restored: bool,
}

struct SimulatedBox {
    record: BoxRecord,
    /// The other boxes of its region.
    same_region: Vec<usize>,
    freshness: Freshness,
    replica: Replica,
    watches: bool,
    last_query_at: Option<Instant>,
    query_pending: bool,
    /// When it learned of the change.
    learned_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    SendReport { from: usize, number: usize },
    ReceiveReport { from: usize, to: usize, version: usize, age: Duration },
    DecidePoll(usize),
    QueryPeer(usize),
    PeerResponse { from: usize, to: usize },
    SyncResponse { by: usize, at: Instant, revision: u64 },
}

struct Simulation {
    setting: Setting,
    rng: SmallRng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    last_sequence: usize,
    boxes: Vec<SimulatedBox>,
    /// Versions that datagrams in flight refer to.
    versions: Vec<copperweir_lib::coordination::freshness::Version>,
    /// Contents of the store before the change, and now.
    before: Replica,
    store: Replica,
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 256) as u8, (number % 256) as u8], 80).into()
}

fn box_number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all addresses are IPv4") };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

fn item(value: &'static [u8], revision: u64) -> KeyValue {
    KeyValue { key: CHANGED_KEY.to_owned(), value: Bytes::from_static(value), revision }
}

impl Simulation {
    fn start(setting: Setting, seed: u64) -> Simulation {
        let now = Instant::now();
        let mut old = Replica::default();
        old.insert(&item(b"serves", 3));
        // The entry that the restored copy lacks has another key.
        old.insert(&KeyValue { key: "other".to_owned(), ..item(b"", 9) });
        old.advance_to(Position { era: 1, revision: 9 });
        let mut boxes: Vec<SimulatedBox> = (0..setting.boxes)
            .map(|number| SimulatedBox {
                record: BoxRecord {
                    name: format!("b{number}"),
                    incarnation: 1,
                    region: format!("r{}", number % REGIONS),
                    failure_domain: "z".to_owned(),
                    callers: address(number),
                    peers: address(number),
                    leaving: false,
                    weight: 1.0,
                    records_streams: true,
                },
                same_region: (0..setting.boxes)
                    .filter(|other| *other != number && other % REGIONS == number % REGIONS)
                    .collect(),
                freshness: Freshness::default(),
                replica: old.clone(),
                watches: false,
                last_query_at: None,
                query_pending: false,
                learned_at: None,
            })
            .collect();
        let records: Vec<BoxRecord> = boxes.iter().map(|node| node.record.clone()).collect();
        for node in &mut boxes {
            let others = records.iter().filter(|other| other.name != node.record.name);
            node.watches = watchers::is_watcher(&node.record, others);
            node.freshness.record_state(old.version(), Some(now), now);
        }
        let mut store = old;
        if setting.restored {
            store = Replica::default();
            store.insert(&item(b"serves", 3));
            store.advance_to(Position { era: 2, revision: 7 });
        }
        let rng = SmallRng::seed_from_u64(seed);
        let (queue, versions) = (BinaryHeap::new(), Vec::new());
        let before = store.clone();
        let mut simulation = Simulation {
            setting,
            rng,
            now,
            queue,
            last_sequence: 0,
            boxes,
            versions,
            before,
            store,
        };
        for number in 0..setting.boxes {
            let phase = REPORT_INTERVAL.mul_f64(simulation.rng.random());
            simulation.schedule(phase, Event::SendReport { from: number, number: 0 });
            let phase = CHECK_INTERVAL.mul_f64(simulation.rng.random());
            simulation.schedule(phase, Event::DecidePoll(number));
        }
        simulation
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.last_sequence, event)));
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        if from % REGIONS == to % REGIONS { SAME_REGION_LATENCY } else { CROSS_REGION_LATENCY }
    }

    /// Time until a response of the store arrives. The store is in the first region.
    fn response_time(&mut self, to: usize) -> Duration {
        let is_delayed = self.rng.random_bool(self.setting.loss);
        self.latency(0, to) * 2
            + RESPONSE_TIME
            + if is_delayed { RETRANSMIT_TIMEOUT } else { Duration::ZERO }
    }

    fn send(&mut self, from: usize, to: usize) {
        let packets = if self.setting.full { 6 } else { 1 };
        if self.rng.random::<f64>() > (1.0 - self.setting.loss).powi(packets) {
            return;
        }
        let Some(age) = self.boxes[from].freshness.age(self.now) else { return };
        self.versions.push(self.boxes[from].freshness.version());
        let version = self.versions.len() - 1;
        self.schedule(self.latency(from, to), Event::ReceiveReport { from, to, version, age });
    }

    /// Changes the entry of a server that leaves. Returns the time that each box took to learn of
    /// it.
    fn run(mut self) -> Vec<Duration> {
        // The change comes at a random time.
        let settle_time = Duration::from_millis(2000 + self.rng.random_range(0..1000));
        let changed_at = self.now + settle_time;
        let mut changed = false;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > changed_at && !changed {
                changed = true;
                self.now = changed_at;
                self.change();
            }
            self.now = at;
            self.handle(event);
            let all_learned = self.boxes.iter().all(|node| node.learned_at.is_some());
            if all_learned || at > changed_at + MAX_DURATION {
                break;
            }
        }
        let learn_times = self.boxes.iter().map(|node| node.learned_at);
        learn_times.map(|at| at.map_or(MAX_DURATION, |at| at - changed_at)).collect()
    }

    fn change(&mut self) {
        let Position { era, revision } = self.store.version().position;
        self.store.insert(&item(b"leaves", revision + 1));
        self.store.advance_to(Position { era, revision: revision + 1 });
        if self.setting.dead_watches {
            return;
        }
        for number in 0..self.boxes.len() {
            if self.boxes[number].watches {
                self.call_store(number);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendReport { from, number } => {
                let others = self.boxes[from].same_region.clone();
                let turn = number * REPORT_RECIPIENTS % others.len().max(1);
                let recipients: Vec<usize> = others
                    .iter()
                    .cycle()
                    .skip(turn)
                    .take(REPORT_RECIPIENTS.min(others.len()))
                    .copied()
                    .collect();
                recipients.into_iter().for_each(|to| self.send(from, to));
                let remote_boxes =
                    (0..self.boxes.len()).filter(|other| other % REGIONS != from % REGIONS);
                if let Some(to) = remote_boxes.choose(&mut self.rng) {
                    self.send(from, to);
                }
                self.schedule(REPORT_INTERVAL, Event::SendReport { from, number: number + 1 });
            }
            Event::ReceiveReport { from, to, version, age } => {
                let report = PeerState {
                    sender: from as u64,
                    address: address(from),
                    version: self.versions[version],
                    age,
                    is_same_region: from % REGIONS == to % REGIONS,
                };
                if self.boxes[to].freshness.record_peer(&report, self.now) {
                    self.query_peer(to);
                }
            }
            Event::DecidePoll(number) => {
                let probability =
                    self.boxes[number].freshness.check_probability(self.boxes.len(), self.now);
                if self.rng.random::<f64>() < probability {
                    self.call_store(number);
                }
                self.query_peer(number);
                self.schedule(CHECK_INTERVAL, Event::DecidePoll(number));
            }
            Event::QueryPeer(number) => self.query_peer(number),
            Event::PeerResponse { from, to } => {
                self.boxes[to].query_pending = false;
                let ahead = self.boxes[from].replica.version();
                if ahead.is_ahead_of(&self.boxes[to].replica.version()) {
                    let age = self.boxes[from].freshness.age(self.now);
                    let at = age.and_then(|age| self.now.checked_sub(age));
                    let replica = self.boxes[from].replica.clone();
                    apply_differences(&mut self.boxes[to], &replica, at, self.now);
                }
            }
            Event::SyncResponse { by, at, revision } => {
                // The response has the contents of the store at the time of the call.
                let now = self.store.version().position.revision;
                let store = if revision == now { self.store.clone() } else { self.before.clone() };
                self.apply_store_response(by, at, &store);
            }
        }
    }

    fn call_store(&mut self, by: usize) {
        let delay = self.response_time(by);
        let revision = self.store.version().position.revision;
        self.schedule(delay, Event::SyncResponse { by, at: self.now, revision });
    }

    fn apply_store_response(&mut self, by: usize, at: Instant, store: &Replica) {
        if self.boxes[by].replica.version().is_ahead_of(&store.version()) {
            return;
        }
        let is_newer = store.version().is_ahead_of(&self.boxes[by].replica.version());
        apply_differences(&mut self.boxes[by], store, Some(at), self.now);
        if is_newer {
            self.boxes[by].same_region.clone().into_iter().for_each(|to| self.send(by, to));
        }
    }

    fn query_peer(&mut self, number: usize) {
        let node = &self.boxes[number];
        let allowed_lag = if node.watches { Duration::from_millis(1200) } else { Duration::ZERO };
        let Some(address) = node.freshness.peer_to_query(allowed_lag, self.now) else { return };
        if node.query_pending {
            return;
        }
        if let Some(at) = node.last_query_at
            && self.now < at + MIN_QUERY_GAP
        {
            let left = at + MIN_QUERY_GAP - self.now;
            self.schedule(left, Event::QueryPeer(number));
            return;
        }
        let from = box_number(address);
        let is_delayed = self.rng.random_bool(self.setting.loss);
        let delay = self.latency(number, from) * 2
            + RESPONSE_TIME
            + if is_delayed { RETRANSMIT_TIMEOUT } else { Duration::ZERO };
        self.boxes[number].last_query_at = Some(self.now);
        self.boxes[number].query_pending = true;
        self.schedule(delay, Event::PeerResponse { from, to: number });
    }
}

/// Makes the replica of a box equal to `ahead`, which was current `at` that time.
fn apply_differences(node: &mut SimulatedBox, ahead: &Replica, at: Option<Instant>, now: Instant) {
    let own_digests: HashSet<u64> = node.replica.digests().collect();
    for key in node.replica.keys_not_in(&ahead.key_hashes().collect()) {
        node.replica.remove(&key);
    }
    let written: Vec<KeyValue> = ahead.items_not_in(&own_digests).collect();
    written.iter().for_each(|item| node.replica.insert(item));
    node.replica.advance_to(ahead.version().position);
    node.freshness.record_state(node.replica.version(), at, now);
    if node.replica.get(CHANGED_KEY).is_some_and(|value| value == "leaves") {
        node.learned_at.get_or_insert(now);
    }
}

/// Statistics of the time that each box takes to learn of a change, over several runs.
pub fn propagation_times(setting: Setting, runs: u64) -> BTreeMap<&'static str, Duration> {
    let mut last_times = Vec::new();
    let mut all_times = Vec::new();
    for seed in 0..runs {
        let learn_times = Simulation::start(setting, seed).run();
        last_times.extend(learn_times.iter().max().copied());
        all_times.extend(learn_times);
    }
    all_times.sort();
    last_times.sort();
    BTreeMap::from([
        ("median", all_times[all_times.len() / 2]),
        ("p99", all_times[all_times.len() * 99 / 100]),
        ("last_median", last_times[last_times.len() / 2]),
        ("most", last_times[last_times.len() - 1]),
    ])
}
