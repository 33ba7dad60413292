//! Boxes, stand-ins and links of one test, in one process.
//!
//! Every test has loopback addresses of its own (127.<test>.…), so tests that
//! run side by side never meet on a port.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use copperweir_lib::coordination::invariant;
use copperweir_lib::daemon::Daemon;
use copperweir_lib::daemon::Ending;
use copperweir_lib::operators::apply::ApplyError;
use copperweir_lib::operators::apply::apply;
use copperweir_lib::protocol::Version;
use copperweir_lib::protocol::caller::BoxesResponse;
use copperweir_lib::protocol::config::check::Files;
use copperweir_lib::protocol::settings::Settings;
use copperweir_lib::state::counters::Counters;
use copperweir_lib::transport::backend;
use copperweir_lib::transport::platform::Platform as Store;
use copperweir_standin::engine::Engine;
use copperweir_standin::engine::Speed;
use copperweir_standin::link::Link;
use copperweir_standin::platform::Platform;
use copperweir_standin::service::Service;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

pub const REGIONS: [&str; 3] = ["north", "south", "west"];
const PATIENCE: Duration = Duration::from_secs(30);

/// What a test wants to run against.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Second number of the loopback addresses; unique among all tests.
    pub test: u8,
    pub regions: usize,
    pub boxes: usize,
    pub engines: usize,
    pub speed: Speed,
    pub checks_epochs: bool,
}

impl Plan {
    pub fn new(test: u8) -> Plan {
        let speed =
            Speed { slots: 8, token: Duration::from_millis(2), prefill: Duration::from_millis(1) };
        Plan { test, regions: 1, boxes: 1, engines: 1, speed, checks_epochs: true }
    }

    fn address(&self, third: usize, fourth: usize, port: u16) -> SocketAddr {
        let (third, fourth) = (third as u8, fourth as u8);
        SocketAddr::from(([127, self.test, third, fourth], port))
    }

    fn platform(&self) -> SocketAddr {
        self.address(0, 1, 7000)
    }

    /// The platform, as a region reaches it.
    fn platform_link(&self, region: usize) -> SocketAddr {
        self.address(0, 10 + region, 7000)
    }

    pub fn engine(&self, region: usize, engine: usize) -> SocketAddr {
        self.address(region + 1, 100 + engine, 9000)
    }

    pub fn service(&self, region: usize) -> SocketAddr {
        self.address(region + 1, 200, 9000)
    }

    pub fn callers(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8001)
    }

    pub fn peers(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8002)
    }

    pub fn operators(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8003)
    }

    fn link(&self, from: usize, to: usize, number: usize) -> SocketAddr {
        self.address(100 + 10 * from + to, number + 1, 8002)
    }

    fn settings(&self, region: usize, number: usize) -> Settings {
        let text = self.settings_text(region, number);
        Settings::parse("settings", &text).expect("settings of a test box")
    }

    /// Settings of a box, as a file.
    pub fn settings_text(&self, region: usize, number: usize) -> String {
        let all = || (0..self.regions).flat_map(|r| (0..self.boxes).map(move |n| (r, n)));
        let seeds: Vec<String> = all()
            .filter(|at| *at != (region, number))
            .map(|(r, n)| self.peers(r, n).to_string())
            .collect();
        let routes: BTreeMap<String, String> = all()
            .filter(|(r, _)| *r != region)
            .map(|(r, n)| (self.peers(r, n).to_string(), self.link(region, r, n).to_string()))
            .collect();
        let text = json!({
            "box": name(region, number),
            "region": REGIONS[region],
            "failure_domain": "a",
            "callers": self.callers(region, number).to_string(),
            "peers": self.peers(region, number).to_string(),
            "operators": self.operators(region, number).to_string(),
            "platform": self.platform_link(region).to_string(),
            "peer_secret": "a secret for the tests",
            "seeds": seeds,
            "peer_routes": routes,
            "stop_grace_ms": 500,
            "stop_limit_ms": 20_000,
        });
        text.to_string()
    }

    /// The configuration that most tests start with.
    pub fn configuration(&self) -> Value {
        let regions: serde_json::Map<String, Value> = REGIONS[..self.regions]
            .iter()
            .map(|region| ((*region).to_owned(), json!({"failure_domains": ["a"]})))
            .collect();
        let mut engines = serde_json::Map::new();
        let mut services = serde_json::Map::new();
        for (region, region_name) in REGIONS.iter().enumerate().take(self.regions) {
            for engine in 0..self.engines {
                let server = json!({
                    "region": region_name, "failure_domain": "a",
                    "address": self.engine(region, engine).to_string(),
                    "slots": self.speed.slots, "checks_epochs": self.checks_epochs,
                });
                engines.insert(format!("{}-engine-{engine}", region_name), server);
            }
            let server = json!({
                "region": region_name, "failure_domain": "a",
                "address": self.service(region).to_string(),
            });
            services.insert(format!("{}-intake", region_name), server);
        }
        json!({
            "regions": regions,
            "residency": {"first": {"regions": [REGIONS[0]]}},
            "pools": {"logs": {"servers": engines}},
            "models": {
                "log": {"pool": "logs", "version": "1"},
                "log-first": {"pool": "logs", "version": "1", "residency": "first"},
            },
            "services": {"intake": {
                "servers": services,
                "not_repeatable": [{"method": "POST", "path": "/filings"}],
            }},
            "teams": {
                "anyone": {"anonymous": true, "models": ["*"], "services": ["*"], "max_priority": "high"},
            },
            "limits": {"default_timeout_ms": 10_000, "max_timeout_ms": 20_000, "ticket_life_ms": 20_000},
        })
    }
}

pub fn name(region: usize, number: usize) -> String {
    format!("{}-{number}", REGIONS[region])
}

/// An answer, read to its end or to where it was cut.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Boxes and stand-ins.
pub struct Fleet {
    pub plan: Plan,
    pub runtime: Runtime,
    pub platform: Platform,
    pub engines: Vec<Vec<Engine>>,
    pub service: Service,
    pub links: BTreeMap<(usize, usize), Link>,
    platform_links: Vec<Link>,
    boxes: BTreeMap<(usize, usize), Daemon>,
    pub client: backend::Client,
}

impl Fleet {
    /// Starts everything, with the usual configuration in force everywhere.
    pub fn start(plan: Plan) -> Fleet {
        let configuration = plan.configuration();
        let mut fleet = Fleet::without_configuration(plan);
        fleet.apply("main", &configuration).expect("the first configuration");
        fleet.start_boxes();
        fleet.wait_for_version(1);
        fleet
    }

    pub fn without_configuration(plan: Plan) -> Fleet {
        invariant::panic_on_breach();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let mut fleet = Fleet {
            plan,
            runtime,
            platform: Platform::default(),
            engines: Vec::new(),
            service: Service::default(),
            links: BTreeMap::new(),
            platform_links: Vec::new(),
            boxes: BTreeMap::new(),
            client: backend::Client::default(),
        };
        fleet.start_stand_ins();
        fleet
    }

    fn listen(&self, address: SocketAddr) -> TcpListener {
        let bound = self.runtime.block_on(TcpListener::bind(address));
        bound.unwrap_or_else(|error| panic!("{address}: {error}"))
    }

    fn start_stand_ins(&mut self) {
        let plan = self.plan;
        self.runtime.spawn(self.platform.serve(self.listen(plan.platform())));
        for region in 0..plan.regions {
            let link = Link::new(Duration::ZERO);
            let listener = self.listen(plan.platform_link(region));
            self.runtime.spawn(link.serve(listener, plan.platform()));
            self.platform_links.push(link);
            let engines: Vec<Engine> = (0..plan.engines).map(|_| Engine::new(plan.speed)).collect();
            for (number, engine) in engines.iter().enumerate() {
                self.runtime.spawn(engine.serve(self.listen(plan.engine(region, number))));
            }
            self.engines.push(engines);
            self.runtime.spawn(self.service.serve(self.listen(plan.service(region))));
            for other in (0..plan.regions).filter(|other| *other != region) {
                let link = Link::new(Duration::from_millis(1));
                for number in 0..plan.boxes {
                    let listener = self.listen(plan.link(region, other, number));
                    self.runtime.spawn(link.serve(listener, plan.peers(other, number)));
                }
                self.links.insert((region, other), link);
            }
        }
    }

    fn start_boxes(&mut self) {
        for region in 0..self.plan.regions {
            for number in 0..self.plan.boxes {
                self.start_box(region, number);
            }
        }
    }

    pub fn start_box(&mut self, region: usize, number: usize) {
        let daemon = Daemon::start(self.plan.settings(region, number)).expect("a box");
        self.boxes.insert((region, number), daemon);
    }

    /// Ends a box at once, whatever it has in progress.
    pub fn kill_box(&mut self, region: usize, number: usize) {
        let Some(daemon) = self.boxes.remove(&(region, number)) else { return };
        daemon.stopper().stop();
        daemon.stopper().stop();
        daemon.wait();
    }

    /// Asks a box to stop; the result comes when it has.
    pub fn stop_box(&mut self, region: usize, number: usize) -> std::thread::JoinHandle<Ending> {
        let daemon = self.boxes.remove(&(region, number)).expect("a running box");
        daemon.stopper().stop();
        std::thread::spawn(move || daemon.wait())
    }

    /// Cuts a region off from the others and from the platform, or mends that.
    pub fn cut_region(&self, region: usize, cut: bool) {
        self.platform_links[region].set_cut(cut);
        for ((from, to), link) in &self.links {
            if *from == region || *to == region {
                link.set_cut(cut);
            }
        }
    }

    pub fn apply(&self, file: &str, configuration: &Value) -> Result<Version, ApplyError> {
        let store = Store::new(self.plan.platform(), Arc::new(Counters::default()));
        let files = Files::from([(file.to_owned(), configuration.to_string())]);
        let id = format!("{file}-{:?}", Instant::now());
        self.runtime.block_on(apply(&store, &files, &id))
    }

    pub fn version(&self, region: usize, number: usize) -> Version {
        self.boxes[&(region, number)].version()
    }

    pub fn wait_for_version(&self, version: Version) {
        eventually(&format!("version {version} everywhere"), || {
            self.boxes.values().all(|daemon| daemon.is_ready() && daemon.version() >= version)
        });
    }

    /// Waits until every box knows every other.
    pub fn wait_for_members(&self) {
        let plan = self.plan;
        eventually("all boxes know each other", || {
            self.boxes.keys().all(|(region, number)| {
                let boxes = self.boxes_at(plan.callers(*region, *number)).boxes;
                boxes.len() == self.boxes.len()
            })
        });
    }

    pub fn is_ready(&self, region: usize, number: usize) -> bool {
        self.boxes[&(region, number)].is_ready()
    }

    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    pub fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        self.block_on(send(&self.client, to, method, path, headers, body)).expect("an answer")
    }

    pub fn get(&self, to: SocketAddr, path: &str) -> Reply {
        self.send(to, Method::GET, path, &[], "")
    }

    /// A completion of a few tokens through a box.
    pub fn complete(&self, to: SocketAddr, headers: &[(&str, &str)], body: &Value) -> Reply {
        self.send(to, Method::POST, "/v1/chat/completions", headers, &body.to_string())
    }

    /// A filing through a box.
    pub fn file(&self, to: SocketAddr, headers: &[(&str, &str)], id: &str) -> Reply {
        let body = json!({"id": id}).to_string();
        self.send(to, Method::POST, "/services/intake/filings", headers, &body)
    }

    pub fn ticket(&self, at: SocketAddr) -> String {
        self.boxes_at(at).ticket
    }

    pub fn boxes_at(&self, at: SocketAddr) -> BoxesResponse {
        serde_json::from_slice(&self.get(at, "/v1/boxes").body).expect("boxes")
    }

    pub fn counter(&self, region: usize, number: usize, counter: &str) -> u64 {
        let reply = self.get(self.plan.operators(region, number), "/counters");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{counter} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    pub fn runs(&self, id: &str) -> u64 {
        self.service.runs().get(id).copied().unwrap_or(0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let boxes = std::mem::take(&mut self.boxes);
        for daemon in boxes.values() {
            daemon.stopper().stop();
            daemon.stopper().stop();
        }
        for (_, daemon) in boxes {
            daemon.wait();
        }
    }
}

/// Sends a request and reads the whole answer; an error where it is cut.
pub async fn send(
    client: &backend::Client,
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, String> {
    let mut request = Request::builder().method(method).uri(path).header("host", to.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = request.body(body).map_err(|error| error.to_string())?;
    let response = client.fetch(to, request).await.map_err(|error| error.to_string())?;
    let (head, body) = response.into_parts();
    Ok(Reply { status: head.status, headers: head.headers, body })
}

/// Waits until something holds; fails if it does not within a long time.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not in {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
