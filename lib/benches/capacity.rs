//! What control costs a box, by size of the fleet, measured in virtual time.
//!
//! Runs the daemon's own exchange code (composing, encoding, decoding and
//! taking in heartbeats) for every box of a fleet, with the delays of a wide
//! area network, and prints per box and second: exchanges, bytes of messages,
//! processor time; then the time until a dead box is dropped, until a new
//! configuration is known everywhere, and until a leaving server is.
//!
//! `cargo bench -p copperweir-lib --bench capacity [-- boxes…]`

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::gossip::Gossip;
use copperweir_lib::coordination::gossip::Payload;
use copperweir_lib::coordination::membership::Config;
use copperweir_lib::coordination::membership::Membership;
use copperweir_lib::coordination::rendezvous;
use copperweir_lib::protocol::name_hash;
use copperweir_lib::protocol::peer::Demand;
use copperweir_lib::protocol::peer::Heartbeat;
use copperweir_lib::protocol::peer::Member;
use copperweir_lib::protocol::peer::Phase;
use copperweir_lib::protocol::peer::Report;
use copperweir_lib::protocol::peer::wire;
use copperweir_lib::state::load::Load;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Shares of the four regions: capacity differs tenfold.
const SHARES: [f64; 4] = [10.0, 6.0, 2.0, 1.0];
const WARM_UP: Duration = Duration::from_secs(40);
const MEASURED: Duration = Duration::from_secs(15);
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(30);
/// A dead box answers nothing, as when its machine is gone; a killed process is refused at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PROBERS: usize = 2;
/// Teams that one box sees within a minute.
const TEAMS: usize = 20;

struct Node {
    exchange: Gossip,
    region: usize,
    version: u64,
    dead: bool,
    sent: u64,
    bytes: u64,
    work: Duration,
    duties: Vec<usize>,
    duties_until: Duration,
}

enum What {
    Beat,
    Probe,
    Request(usize, Vec<u8>),
    Answer(SocketAddr, Vec<u8>),
    Unanswered(SocketAddr),
}

struct World {
    start: Instant,
    now: Duration,
    nodes: Vec<Node>,
    addresses: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: BTreeMap<u64, What>,
    number: u64,
    servers: Vec<Vec<String>>,
    leaving: Option<u32>,
    rng: SmallRng,
}

fn sizes(total: usize) -> [usize; 4] {
    let sum: f64 = SHARES.iter().sum();
    SHARES.map(|share| ((total as f64 * share / sum).round() as usize).max(1))
}

fn member(region: usize, number: usize, index: usize) -> Member {
    let address = |port| {
        SocketAddr::from(([10, region as u8, (index / 250) as u8, (index % 250) as u8], port))
    };
    Member {
        name: format!("box-{region}-{number:03}"),
        region: format!("region-{region}"),
        failure_domain: format!("region-{region}-{}", number % 3),
        callers: address(8080),
        peers: address(8081),
        incarnation: 0x1a23_6abf_a651_0000 + index as u64,
        beat: 1,
        phase: Phase::Serving,
        version: 1,
        in_flight: 20,
        region_boxes: 1,
    }
}

impl World {
    fn new(boxes: usize, servers: usize, seed: u64) -> World {
        let start = Instant::now();
        let mut nodes = Vec::new();
        let mut addresses = BTreeMap::new();
        for (region, count) in sizes(boxes).into_iter().enumerate() {
            for number in 0..count {
                let own = member(region, number, nodes.len());
                addresses.insert(own.peers, nodes.len());
                let membership = Membership::new(own, Config::default());
                let exchange = Gossip { membership, load: Load::default() };
                nodes.push(Node {
                    exchange,
                    region,
                    version: 1,
                    dead: false,
                    sent: 0,
                    bytes: 0,
                    work: Duration::ZERO,
                    duties: Vec::new(),
                    duties_until: Duration::ZERO,
                });
            }
        }
        let name = |region: usize| move |number: usize| format!("engine-{region}-{number}");
        let servers = sizes(servers)
            .into_iter()
            .enumerate()
            .map(|(region, count)| (0..count).map(name(region)).collect())
            .collect();
        let seeds: Vec<SocketAddr> = addresses.keys().copied().collect();
        for node in &mut nodes {
            node.exchange.membership.add_addresses(seeds.iter().copied());
        }
        let mut world = World {
            start,
            now: Duration::ZERO,
            nodes,
            addresses,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            servers,
            leaving: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..world.nodes.len() {
            let first = world.rng.random_range(0..1000);
            world.at(Duration::from_millis(first), index, What::Beat);
            world.at(Duration::from_millis(first), index, What::Probe);
        }
        world
    }

    fn at(&mut self, time: Duration, node: usize, what: What) {
        self.number += 1;
        self.queue.push(Reverse((time, self.number, node)));
        self.events.insert(self.number, what);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((time, number, node))) = self.queue.pop() {
            if time > end {
                self.queue.push(Reverse((time, number, node)));
                break;
            }
            self.now = time;
            let Some(what) = self.events.remove(&number) else { continue };
            if !self.nodes[node].dead {
                self.step(node, what);
            }
        }
        self.now = end;
    }

    fn step(&mut self, node: usize, what: What) {
        match what {
            What::Beat => {
                let now = self.instant();
                let period = self.nodes[node].exchange.membership.config().period;
                self.at(self.now + period, node, What::Beat);
                let began = Instant::now();
                let membership = &mut self.nodes[node].exchange.membership;
                membership.tick(now, Duration::ZERO);
                let targets = membership.heartbeat_targets(now, &mut self.rng);
                self.nodes[node].work += began.elapsed();
                for target in targets {
                    self.send(node, target, Payload::default());
                }
            }
            What::Probe => self.probe(node),
            What::Request(from, bytes) => self.request(node, from, &bytes),
            What::Answer(peer, bytes) => {
                self.nodes[node].exchange.membership.call_succeeded(peer);
                self.hear(node, &bytes);
            }
            What::Unanswered(peer) => {
                let now = self.instant();
                if self.nodes[node].exchange.membership.call_failed(peer, now) {
                    self.spread(node);
                }
            }
        }
    }

    fn probe(&mut self, node: usize) {
        self.at(self.now + Duration::from_millis(500), node, What::Probe);
        let now = self.instant();
        let region = self.nodes[node].region;
        if self.now >= self.nodes[node].duties_until {
            self.choose_duties(node, now);
        }
        for server in self.nodes[node].duties.clone() {
            {
                let hash = name_hash(&self.servers[region][server]);
                let report = Report {
                    server: hash,
                    load: self.rng.random_range(0..16),
                    reachable: true,
                    leaving: self.leaving == Some(hash),
                    listed: false,
                    age: Duration::ZERO,
                };
                self.nodes[node].exchange.load.observe(&report, now);
            }
        }
    }

    /// Works out which servers a box probes; once in ten seconds, as stands in
    /// for "when its region's members change".
    fn choose_duties(&mut self, node: usize, now: Instant) {
        let membership = &self.nodes[node].exchange.membership;
        let own = membership.own().clone();
        let peers: Vec<&str> =
            membership.live_in(&own.region, now).map(|member| member.name.as_str()).collect();
        let servers = self.servers[self.nodes[node].region].iter().enumerate();
        let holds =
            |server: &str| rendezvous::holds(&own.name, peers.iter().copied(), server, PROBERS);
        let duties = servers.filter(|(_, server)| holds(server)).map(|(index, _)| index).collect();
        self.nodes[node].duties = duties;
        self.nodes[node].duties_until = self.now + Duration::from_secs(10);
    }

    fn compose(&mut self, node: usize, to: usize, mut extra: Payload) -> Vec<u8> {
        let now = self.instant();
        let demand =
            |team: usize| Demand { team: name_hash(&format!("team-{team}")), per_minute: 60 };
        extra.demands = (0..TEAMS).map(demand).collect();
        let region = self.nodes[to].exchange.membership.own().region.clone();
        let began = Instant::now();
        let exchange = &self.nodes[node].exchange;
        let known = exchange.membership.live(now).any(|member| member.region == region);
        let receiver = known.then_some(&region);
        let heartbeat = exchange.compose(receiver, extra, now, &mut self.rng);
        let bytes = wire::Heartbeat::from(&heartbeat).encode_to_vec();
        self.nodes[node].work += began.elapsed();
        self.nodes[node].bytes += bytes.len() as u64;
        self.nodes[to].bytes += bytes.len() as u64;
        bytes
    }

    fn delay(&self, one: usize, other: usize) -> Duration {
        if self.nodes[one].region == self.nodes[other].region { NEAR } else { FAR }
    }

    fn send(&mut self, from: usize, target: SocketAddr, extra: Payload) {
        let Some(to) = self.addresses.get(&target).copied() else { return };
        let bytes = self.compose(from, to, extra);
        self.nodes[from].sent += 1;
        if self.nodes[to].dead {
            return self.at(self.now + CALL_TIMEOUT, from, What::Unanswered(target));
        }
        let arrives = self.now + self.delay(from, to);
        self.at(arrives, to, What::Request(from, bytes));
    }

    fn request(&mut self, node: usize, from: usize, bytes: &[u8]) {
        let follow_up = self.hear_request(node, bytes);
        let answer = self.compose(node, from, follow_up);
        let arrives = self.now + self.delay(node, from);
        let peer = self.nodes[node].exchange.membership.own().peers;
        self.at(arrives, from, What::Answer(peer, answer));
    }

    fn take_in(
        &mut self,
        node: usize,
        bytes: &[u8],
    ) -> copperweir_lib::coordination::gossip::Received {
        let now = self.instant();
        let began = Instant::now();
        let raw = wire::Heartbeat::decode(bytes).expect("our own encoding");
        let heartbeat = Heartbeat::try_from(raw).expect("our own heartbeat");
        let version = self.nodes[node].version;
        let heard = self.nodes[node].exchange.receive(&heartbeat, version, now);
        self.nodes[node].work += began.elapsed();
        if let Some((newer, _)) = heard.newer {
            // Fetching it takes a round trip; then the box tells others at once.
            self.nodes[node].version = newer;
            self.nodes[node].exchange.membership.update_own(|own| own.version = newer);
            self.spread(node);
        }
        if heard.servers_changed {
            self.spread(node);
        }
        heard
    }

    fn hear_request(&mut self, node: usize, bytes: &[u8]) -> Payload {
        let follow_up = self.take_in(node, bytes).follow_up;
        let (wanted, given) = follow_up.map(|next| (next.wanted, next.given)).unwrap_or_default();
        Payload { wanted, given, ..Payload::default() }
    }

    fn hear(&mut self, node: usize, bytes: &[u8]) {
        if let Some(next) = self.take_in(node, bytes).follow_up {
            let extra = Payload { wanted: next.wanted, given: next.given, ..Payload::default() };
            self.send(node, next.to, extra);
        }
    }

    fn spread(&mut self, node: usize) {
        let now = self.instant();
        self.nodes[node].exchange.membership.update_own(|own| own.beat += 1);
        let mut targets =
            self.nodes[node].exchange.membership.heartbeat_targets(now, &mut self.rng);
        targets.extend(self.nodes[node].exchange.membership.heartbeat_targets(now, &mut self.rng));
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.send(node, target, Payload::default());
        }
    }

    /// Runs on until all live boxes satisfy a condition; gives the time it took.
    fn until_all(&mut self, holds: impl Fn(&World, &Node) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now < began + Duration::from_secs(60) {
            let next = self.now + Duration::from_millis(20);
            self.run_until(next);
            if self.nodes.iter().filter(|node| !node.dead).all(|node| holds(self, node)) {
                return Some(self.now - began);
            }
        }
        None
    }

    /// Pairs of live boxes of one region of which one takes the other for dead.
    fn mistaken(&self) -> usize {
        let now = self.instant();
        let live: Vec<&Node> = self.nodes.iter().filter(|node| !node.dead).collect();
        live.iter()
            .map(|node| {
                let region = &node.exchange.membership.own().region;
                let peers = live.iter().filter(|other| other.region == node.region).count() - 1;
                peers - node.exchange.membership.live_in(region, now).count().min(peers)
            })
            .sum()
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn show(time: Option<Duration>) -> String {
    time.map_or("over 60".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
}

fn measure(boxes: usize) {
    let servers = (boxes * 600 / 340).max(4);
    let memory_before = resident_kib();
    let mut world = World::new(boxes, servers, 1);
    world.run_until(WARM_UP);
    let memory = resident_kib().saturating_sub(memory_before);
    let count = world.nodes.len();
    for node in &mut world.nodes {
        (node.sent, node.bytes, node.work) = (0, 0, Duration::ZERO);
    }
    let mut mistaken = 0;
    for second in 0..MEASURED.as_secs() {
        world.run_until(WARM_UP + Duration::from_secs(second + 1));
        mistaken += world.mistaken();
    }
    let seconds = MEASURED.as_secs_f64();
    let total: u64 = world.nodes.iter().map(|node| node.sent).sum();
    let bytes: u64 = world.nodes.iter().map(|node| node.bytes).sum();
    let most = world.nodes.iter().map(|node| node.bytes).max().unwrap_or_default();
    let work: Duration = world.nodes.iter().map(|node| node.work).sum();

    world.nodes[0].version = 2;
    world.nodes[0].exchange.membership.update_own(|own| own.version = 2);
    world.spread(0);
    let configuration = world.until_all(|_, node| node.version == 2);

    let server = world.servers[0][0].clone();
    world.leaving = Some(name_hash(&server));
    let leaving = world.until_all(|world, node| {
        node.region != 0 || node.exchange.load.leaving(&server, world.instant())
    });

    let victim = world.nodes.iter().position(|node| node.region == 0).unwrap_or_default();
    let gone = world.nodes[victim].exchange.membership.own().name.clone();
    world.nodes[victim].dead = true;
    let dead = world.until_all(|world, node| {
        node.exchange.membership.live(world.instant()).all(|member| member.name != gone)
    });
    let domain = world.nodes[victim].exchange.membership.own().failure_domain.clone();
    for node in &mut world.nodes {
        node.dead |= node.exchange.membership.own().failure_domain == domain;
    }
    let domain_dead = world.until_all(|world, node| {
        let now = world.instant();
        node.exchange.membership.live(now).all(|member| member.failure_domain != domain)
    });
    println!(
        "{count:>5} {servers:>7} {:>9.2} {:>9.0} {:>9.0} {:>9.1} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8}",
        total as f64 / count as f64 / seconds,
        bytes as f64 / count as f64 / seconds,
        most as f64 / seconds,
        work.as_secs_f64() * 1e6 / count as f64 / seconds,
        memory / count as u64,
        mistaken,
        show(configuration),
        show(leaving),
        show(dead),
        show(domain_dead),
    );
}

fn main() {
    let asked: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let sizes = if asked.is_empty() { vec![9, 27, 81, 162, 340] } else { asked };
    println!(
        "{:>5} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8}",
        "boxes",
        "servers",
        "calls/s",
        "bytes/s",
        "most B/s",
        "work us/s",
        "KiB/box",
        "mistaken",
        "config s",
        "leave s",
        "dead s",
        "domain s"
    );
    for boxes in sizes {
        measure(boxes);
    }
}
