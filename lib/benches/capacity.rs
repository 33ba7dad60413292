//! Cost of the control plane per box, by fleet size, measured in virtual time.
//!
//! Runs the daemon's own gossip code (composing, encoding, decoding and
//! applying heartbeats) for every box of a fleet, with the delays of a wide
//! area network. Prints calls, message bytes and processor time per box and
//! second; then the time until a dead box is removed, until all boxes have a new
//! configuration, and until all boxes of a region learn that a server is leaving.
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
use copperweir_lib::protocol::peer::ServerReport;
use copperweir_lib::protocol::peer::wire;
use copperweir_lib::state::load::ServerLoads;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Relative capacities of the four regions, which differ tenfold.
const REGION_SHARES: [f64; 4] = [10.0, 6.0, 2.0, 1.0];
const WARM_UP_TIME: Duration = Duration::from_secs(40);
const MEASURED_TIME: Duration = Duration::from_secs(15);
const LOCAL_DELAY: Duration = Duration::from_millis(1);
const REMOTE_DELAY: Duration = Duration::from_millis(30);
/// Time after which a call to a dead box fails. A dead box does not respond, as
/// if its machine had failed; a killed process would refuse connections at
/// once.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PROBERS_PER_SERVER: usize = 2;
/// Number of teams that one box sees within a minute.
const TEAMS_PER_BOX: usize = 20;

struct Node {
    gossip: Gossip,
    region: usize,
    version: u64,
    dead: bool,
    calls_sent: u64,
    bytes_transferred: u64,
    cpu_time: Duration,
    probed_servers: Vec<usize>,
    probed_servers_valid_until: Duration,
}

enum Event {
    HeartbeatTick,
    ProbeTick,
    Request(usize, Vec<u8>),
    Response(SocketAddr, Vec<u8>),
    CallTimedOut(SocketAddr),
}

struct Simulation {
    start: Instant,
    now: Duration,
    nodes: Vec<Node>,
    addresses: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    last_event_number: u64,
    servers: Vec<Vec<String>>,
    leaving: Option<u32>,
    rng: SmallRng,
}

fn split_by_region(total: usize) -> [usize; 4] {
    let sum: f64 = REGION_SHARES.iter().sum();
    REGION_SHARES.map(|share| ((total as f64 * share / sum).round() as usize).max(1))
}

fn member(region: usize, number: usize, index: usize) -> Member {
    let address = |port| {
        SocketAddr::from(([10, region as u8, (index / 250) as u8, (index % 250) as u8], port))
    };
    Member {
        name: format!("box-{region}-{number:03}"),
        region: format!("region-{region}"),
        failure_domain: format!("region-{region}-{}", number % 3),
        caller_address: address(8080),
        peer_address: address(8081),
        incarnation: 0x1a23_6abf_a651_0000 + index as u64,
        beat: 1,
        phase: Phase::Serving,
        configuration_version: 1,
        in_flight: 20,
        region_boxes: 1,
    }
}

impl Simulation {
    fn new(boxes: usize, servers: usize, seed: u64) -> Simulation {
        let start = Instant::now();
        let mut nodes = Vec::new();
        let mut addresses = BTreeMap::new();
        for (region, count) in split_by_region(boxes).into_iter().enumerate() {
            for number in 0..count {
                let own = member(region, number, nodes.len());
                addresses.insert(own.peer_address, nodes.len());
                let membership = Membership::new(own, Config::default());
                let gossip = Gossip { membership, load: ServerLoads::default() };
                nodes.push(Node {
                    gossip,
                    region,
                    version: 1,
                    dead: false,
                    calls_sent: 0,
                    bytes_transferred: 0,
                    cpu_time: Duration::ZERO,
                    probed_servers: Vec::new(),
                    probed_servers_valid_until: Duration::ZERO,
                });
            }
        }
        let name = |region: usize| move |number: usize| format!("engine-{region}-{number}");
        let servers = split_by_region(servers)
            .into_iter()
            .enumerate()
            .map(|(region, count)| (0..count).map(name(region)).collect())
            .collect();
        let seeds: Vec<SocketAddr> = addresses.keys().copied().collect();
        for node in &mut nodes {
            node.gossip.membership.add_addresses(seeds.iter().copied());
        }
        let mut simulation = Simulation {
            start,
            now: Duration::ZERO,
            nodes,
            addresses,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            servers,
            leaving: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..simulation.nodes.len() {
            let first = simulation.rng.random_range(0..1000);
            simulation.schedule(Duration::from_millis(first), index, Event::HeartbeatTick);
            simulation.schedule(Duration::from_millis(first), index, Event::ProbeTick);
        }
        simulation
    }

    fn schedule(&mut self, time: Duration, node: usize, event: Event) {
        self.last_event_number += 1;
        self.queue.push(Reverse((time, self.last_event_number, node)));
        self.events.insert(self.last_event_number, event);
    }

    fn current_instant(&self) -> Instant {
        self.start + self.now
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((time, number, node))) = self.queue.pop() {
            if time > end {
                self.queue.push(Reverse((time, number, node)));
                break;
            }
            self.now = time;
            let Some(event) = self.events.remove(&number) else { continue };
            if !self.nodes[node].dead {
                self.handle_event(node, event);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        match event {
            Event::HeartbeatTick => {
                let now = self.current_instant();
                let period = self.nodes[node].gossip.membership.config().period;
                self.schedule(self.now + period, node, Event::HeartbeatTick);
                let started_at = Instant::now();
                let membership = &mut self.nodes[node].gossip.membership;
                membership.tick(now, Duration::ZERO);
                let targets = membership.heartbeat_targets(now, &mut self.rng);
                self.nodes[node].cpu_time += started_at.elapsed();
                for target in targets {
                    self.send(node, target, Payload::default());
                }
            }
            Event::ProbeTick => self.probe_servers(node),
            Event::Request(from, bytes) => self.handle_request(node, from, &bytes),
            Event::Response(peer, bytes) => {
                self.nodes[node].gossip.membership.call_succeeded(peer);
                self.handle_response(node, &bytes);
            }
            Event::CallTimedOut(peer) => {
                let now = self.current_instant();
                if self.nodes[node].gossip.membership.call_failed(peer, now) {
                    self.send_urgent_heartbeats(node);
                }
            }
        }
    }

    fn probe_servers(&mut self, node: usize) {
        self.schedule(self.now + Duration::from_millis(500), node, Event::ProbeTick);
        let now = self.current_instant();
        let region = self.nodes[node].region;
        if self.now >= self.nodes[node].probed_servers_valid_until {
            self.assign_probes(node, now);
        }
        for server in self.nodes[node].probed_servers.clone() {
            {
                let hash = name_hash(&self.servers[region][server]);
                let report = ServerReport {
                    server: hash,
                    load: self.rng.random_range(0..16),
                    reachable: true,
                    leaving: self.leaving == Some(hash),
                    listed: false,
                    age: Duration::ZERO,
                };
                self.nodes[node].gossip.load.observe(&report, now);
            }
        }
    }

    /// Determines which servers a box probes. This is repeated every ten
    /// seconds, which approximates "whenever the region's members change".
    fn assign_probes(&mut self, node: usize, now: Instant) {
        let membership = &self.nodes[node].gossip.membership;
        let own = membership.own().clone();
        let peers: Vec<&str> =
            membership.live_in(&own.region, now).map(|member| member.name.as_str()).collect();
        let servers = self.servers[self.nodes[node].region].iter().enumerate();
        let is_prober = |server: &str| {
            rendezvous::is_selected(&own.name, peers.iter().copied(), server, PROBERS_PER_SERVER)
        };
        let probed_servers =
            servers.filter(|(_, server)| is_prober(server)).map(|(index, _)| index).collect();
        self.nodes[node].probed_servers = probed_servers;
        self.nodes[node].probed_servers_valid_until = self.now + Duration::from_secs(10);
    }

    fn compose(&mut self, node: usize, to: usize, mut extra: Payload) -> Vec<u8> {
        let now = self.current_instant();
        let demand = |team: usize| Demand {
            team: name_hash(&format!("team-{team}")),
            requests_per_minute: 60,
        };
        extra.demands = (0..TEAMS_PER_BOX).map(demand).collect();
        let region = self.nodes[to].gossip.membership.own().region.clone();
        let started_at = Instant::now();
        let gossip = &self.nodes[node].gossip;
        let has_live_member = gossip.membership.live(now).any(|member| member.region == region);
        let receiver = has_live_member.then_some(&region);
        let heartbeat = gossip.compose(receiver, extra, now, &mut self.rng);
        let bytes = wire::Heartbeat::from(&heartbeat).encode_to_vec();
        self.nodes[node].cpu_time += started_at.elapsed();
        self.nodes[node].bytes_transferred += bytes.len() as u64;
        self.nodes[to].bytes_transferred += bytes.len() as u64;
        bytes
    }

    fn delay(&self, one: usize, other: usize) -> Duration {
        if self.nodes[one].region == self.nodes[other].region { LOCAL_DELAY } else { REMOTE_DELAY }
    }

    fn send(&mut self, from: usize, target: SocketAddr, extra: Payload) {
        let Some(to) = self.addresses.get(&target).copied() else { return };
        let bytes = self.compose(from, to, extra);
        self.nodes[from].calls_sent += 1;
        if self.nodes[to].dead {
            return self.schedule(self.now + CALL_TIMEOUT, from, Event::CallTimedOut(target));
        }
        let arrives = self.now + self.delay(from, to);
        self.schedule(arrives, to, Event::Request(from, bytes));
    }

    fn handle_request(&mut self, node: usize, from: usize, bytes: &[u8]) {
        let follow_up = self.apply_request(node, bytes);
        let response = self.compose(node, from, follow_up);
        let arrives = self.now + self.delay(node, from);
        let peer = self.nodes[node].gossip.membership.own().peer_address;
        self.schedule(arrives, from, Event::Response(peer, response));
    }

    fn apply_heartbeat(
        &mut self,
        node: usize,
        bytes: &[u8],
    ) -> copperweir_lib::coordination::gossip::Received {
        let now = self.current_instant();
        let started_at = Instant::now();
        let message = wire::Heartbeat::decode(bytes).expect("valid encoding");
        let heartbeat = Heartbeat::try_from(message).expect("a valid heartbeat");
        let version = self.nodes[node].version;
        let effects = self.nodes[node].gossip.receive(&heartbeat, version, now);
        self.nodes[node].cpu_time += started_at.elapsed();
        if let Some((newer, _)) = effects.newer {
            // Fetching the configuration takes a round trip; then the box notifies others
            // immediately.
            self.nodes[node].version = newer;
            self.nodes[node].gossip.membership.update_own(|own| own.configuration_version = newer);
            self.send_urgent_heartbeats(node);
        }
        if effects.servers_changed {
            self.send_urgent_heartbeats(node);
        }
        effects
    }

    fn apply_request(&mut self, node: usize, bytes: &[u8]) -> Payload {
        let follow_up = self.apply_heartbeat(node, bytes).follow_up;
        let (wanted, given) =
            follow_up.map(|follow_up| (follow_up.wanted, follow_up.given)).unwrap_or_default();
        Payload { wanted, given, ..Payload::default() }
    }

    fn handle_response(&mut self, node: usize, bytes: &[u8]) {
        if let Some(follow_up) = self.apply_heartbeat(node, bytes).follow_up {
            let extra =
                Payload { wanted: follow_up.wanted, given: follow_up.given, ..Payload::default() };
            self.send(node, follow_up.to, extra);
        }
    }

    fn send_urgent_heartbeats(&mut self, node: usize) {
        let now = self.current_instant();
        self.nodes[node].gossip.membership.update_own(|own| own.beat += 1);
        let mut targets = self.nodes[node].gossip.membership.heartbeat_targets(now, &mut self.rng);
        targets.extend(self.nodes[node].gossip.membership.heartbeat_targets(now, &mut self.rng));
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.send(node, target, Payload::default());
        }
    }

    /// Runs until all live boxes satisfy a condition and returns the time
    /// taken; `None` after 60 seconds.
    fn run_until_all(
        &mut self,
        condition: impl Fn(&Simulation, &Node) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while self.now < started_at + Duration::from_secs(60) {
            let next = self.now + Duration::from_millis(20);
            self.run_until(next);
            if self.nodes.iter().filter(|node| !node.dead).all(|node| condition(self, node)) {
                return Some(self.now - started_at);
            }
        }
        None
    }

    /// Number of ordered pairs of live boxes in one region of which the first
    /// considers the second dead.
    fn count_false_deaths(&self) -> usize {
        let now = self.current_instant();
        let live: Vec<&Node> = self.nodes.iter().filter(|node| !node.dead).collect();
        live.iter()
            .map(|node| {
                let region = &node.gossip.membership.own().region;
                let peers = live.iter().filter(|other| other.region == node.region).count() - 1;
                peers - node.gossip.membership.live_in(region, now).count().min(peers)
            })
            .sum()
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("over 60".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
}

fn measure(boxes: usize) {
    let servers = (boxes * 600 / 340).max(4);
    let memory_before_kib = resident_kib();
    let mut simulation = Simulation::new(boxes, servers, 1);
    simulation.run_until(WARM_UP_TIME);
    let memory_kib = resident_kib().saturating_sub(memory_before_kib);
    let count = simulation.nodes.len();
    for node in &mut simulation.nodes {
        (node.calls_sent, node.bytes_transferred, node.cpu_time) = (0, 0, Duration::ZERO);
    }
    let mut false_deaths = 0;
    for second in 0..MEASURED_TIME.as_secs() {
        simulation.run_until(WARM_UP_TIME + Duration::from_secs(second + 1));
        false_deaths += simulation.count_false_deaths();
    }
    let seconds = MEASURED_TIME.as_secs_f64();
    let total_calls: u64 = simulation.nodes.iter().map(|node| node.calls_sent).sum();
    let total_bytes: u64 = simulation.nodes.iter().map(|node| node.bytes_transferred).sum();
    let max_bytes_per_box =
        simulation.nodes.iter().map(|node| node.bytes_transferred).max().unwrap_or_default();
    let cpu_time: Duration = simulation.nodes.iter().map(|node| node.cpu_time).sum();

    simulation.nodes[0].version = 2;
    simulation.nodes[0].gossip.membership.update_own(|own| own.configuration_version = 2);
    simulation.send_urgent_heartbeats(0);
    let configuration_time = simulation.run_until_all(|_, node| node.version == 2);

    let server = simulation.servers[0][0].clone();
    simulation.leaving = Some(name_hash(&server));
    let leaving_time = simulation.run_until_all(|simulation, node| {
        node.region != 0 || node.gossip.load.is_leaving(&server, simulation.current_instant())
    });

    let dead_index = simulation.nodes.iter().position(|node| node.region == 0).unwrap_or_default();
    let dead_name = simulation.nodes[dead_index].gossip.membership.own().name.clone();
    simulation.nodes[dead_index].dead = true;
    let box_removal_time = simulation.run_until_all(|simulation, node| {
        node.gossip
            .membership
            .live(simulation.current_instant())
            .all(|member| member.name != dead_name)
    });
    let failure_domain_name =
        simulation.nodes[dead_index].gossip.membership.own().failure_domain.clone();
    for node in &mut simulation.nodes {
        node.dead |= node.gossip.membership.own().failure_domain == failure_domain_name;
    }
    let domain_removal_time = simulation.run_until_all(|simulation, node| {
        let now = simulation.current_instant();
        node.gossip.membership.live(now).all(|member| member.failure_domain != failure_domain_name)
    });
    println!(
        "{count:>5} {servers:>7} {:>9.2} {:>9.0} {:>9.0} {:>9.1} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8}",
        total_calls as f64 / count as f64 / seconds,
        total_bytes as f64 / count as f64 / seconds,
        max_bytes_per_box as f64 / seconds,
        cpu_time.as_secs_f64() * 1e6 / count as f64 / seconds,
        memory_kib / count as u64,
        false_deaths,
        format_seconds(configuration_time),
        format_seconds(leaving_time),
        format_seconds(box_removal_time),
        format_seconds(domain_removal_time),
    );
}

fn main() {
    let requested_sizes: Vec<usize> =
        std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let fleet_sizes =
        if requested_sizes.is_empty() { vec![9, 27, 81, 162, 340] } else { requested_sizes };
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
    for boxes in fleet_sizes {
        measure(boxes);
    }
}
