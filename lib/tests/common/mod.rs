//! Boxes, stand-ins and network links of one test, in one process.
//!
//! Each test has its own loopback addresses (127.<test_id>.…), so concurrent
//! tests never use the same port.

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
use copperweir_lib::daemon::StopOutcome;
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
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and properties of the fleet that a test runs against.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Second octet of the loopback addresses; unique among all tests.
    pub test_id: u8,
    pub regions: usize,
    pub boxes: usize,
    pub engines: usize,
    pub speed: Speed,
    pub checks_epochs: bool,
}

impl Plan {
    pub fn new(test_id: u8) -> Plan {
        let speed = Speed {
            slots: 8,
            token_interval: Duration::from_millis(2),
            prefill_per_1000_bytes: Duration::from_millis(1),
        };
        Plan { test_id, regions: 1, boxes: 1, engines: 1, speed, checks_epochs: true }
    }

    fn address(&self, third: usize, fourth: usize, port: u16) -> SocketAddr {
        let (third, fourth) = (third as u8, fourth as u8);
        SocketAddr::from(([127, self.test_id, third, fourth], port))
    }

    pub fn platform_address(&self) -> SocketAddr {
        self.address(0, 1, 7000)
    }

    /// Address at which a region reaches the platform.
    fn platform_link_address(&self, region: usize) -> SocketAddr {
        self.address(0, 10 + region, 7000)
    }

    pub fn engine_address(&self, region: usize, engine: usize) -> SocketAddr {
        self.address(region + 1, 100 + engine, 9000)
    }

    pub fn service_address(&self, region: usize) -> SocketAddr {
        self.address(region + 1, 200, 9000)
    }

    pub fn callers_address(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8001)
    }

    pub fn peers_address(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8002)
    }

    pub fn operators_address(&self, region: usize, number: usize) -> SocketAddr {
        self.address(region + 1, number + 1, 8003)
    }

    fn link_address(&self, from: usize, to: usize, number: usize) -> SocketAddr {
        self.address(100 + 10 * from + to, number + 1, 8002)
    }

    fn settings(&self, region: usize, number: usize) -> Settings {
        let text = self.settings_text(region, number);
        Settings::parse("settings", &text).expect("settings of a test box")
    }

    /// Settings file of a box.
    pub fn settings_text(&self, region: usize, number: usize) -> String {
        let all = || (0..self.regions).flat_map(|r| (0..self.boxes).map(move |n| (r, n)));
        let seeds: Vec<String> = all()
            .filter(|position| *position != (region, number))
            .map(|(r, n)| self.peers_address(r, n).to_string())
            .collect();
        let routes: BTreeMap<String, String> = all()
            .filter(|(r, _)| *r != region)
            .map(|(r, n)| {
                (self.peers_address(r, n).to_string(), self.link_address(region, r, n).to_string())
            })
            .collect();
        let text = json!({
            "box": box_name(region, number),
            "region": REGIONS[region],
            "failure_domain": "a",
            "callers": self.callers_address(region, number).to_string(),
            "peers": self.peers_address(region, number).to_string(),
            "operators": self.operators_address(region, number).to_string(),
            "platform": self.platform_link_address(region).to_string(),
            "peer_secret": "a secret for the tests",
            "seeds": seeds,
            "peer_routes": routes,
            "stop_grace_ms": 500,
            "stop_limit_ms": 20_000,
        });
        text.to_string()
    }

    /// Configuration that most tests start with.
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
                    "address": self.engine_address(region, engine).to_string(),
                    "slots": self.speed.slots, "checks_epochs": self.checks_epochs,
                });
                engines.insert(format!("{}-engine-{engine}", region_name), server);
            }
            let server = json!({
                "region": region_name, "failure_domain": "a",
                "address": self.service_address(region).to_string(),
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

pub fn box_name(region: usize, number: usize) -> String {
    format!("{}-{number}", REGIONS[region])
}

/// A response, complete or truncated.
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

/// Boxes and stand-ins of one test.
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
    /// Starts all boxes and stand-ins and waits until the default configuration
    /// is in force on every box.
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

    fn bind_listener(&self, address: SocketAddr) -> TcpListener {
        let listener = self.runtime.block_on(TcpListener::bind(address));
        listener.unwrap_or_else(|error| panic!("{address}: {error}"))
    }

    fn start_stand_ins(&mut self) {
        let plan = self.plan;
        self.runtime.spawn(self.platform.serve(self.bind_listener(plan.platform_address())));
        for region in 0..plan.regions {
            let link = Link::new(Duration::ZERO);
            let listener = self.bind_listener(plan.platform_link_address(region));
            self.runtime.spawn(link.serve(listener, plan.platform_address()));
            self.platform_links.push(link);
            let engines: Vec<Engine> = (0..plan.engines).map(|_| Engine::new(plan.speed)).collect();
            for (number, engine) in engines.iter().enumerate() {
                self.runtime
                    .spawn(engine.serve(self.bind_listener(plan.engine_address(region, number))));
            }
            self.engines.push(engines);
            self.runtime
                .spawn(self.service.serve(self.bind_listener(plan.service_address(region))));
            for other in (0..plan.regions).filter(|other| *other != region) {
                let link = Link::new(Duration::from_millis(1));
                for number in 0..plan.boxes {
                    let listener = self.bind_listener(plan.link_address(region, other, number));
                    self.runtime.spawn(link.serve(listener, plan.peers_address(other, number)));
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

    /// Stops a box immediately, aborting its in-flight requests.
    pub fn kill_box(&mut self, region: usize, number: usize) {
        let Some(daemon) = self.boxes.remove(&(region, number)) else { return };
        daemon.stop_handle().stop();
        daemon.stop_handle().stop();
        daemon.wait();
    }

    /// Requests a planned stop of a box. The returned thread ends once the box
    /// has stopped.
    pub fn stop_box(
        &mut self,
        region: usize,
        number: usize,
    ) -> std::thread::JoinHandle<StopOutcome> {
        let daemon = self.boxes.remove(&(region, number)).expect("a running box");
        daemon.stop_handle().stop();
        std::thread::spawn(move || daemon.wait())
    }

    /// Cuts or restores the links of a region to the other regions and to the
    /// platform.
    pub fn set_region_partitioned(&self, region: usize, partitioned: bool) {
        self.platform_links[region].set_cut(partitioned);
        for ((from, to), link) in &self.links {
            if *from == region || *to == region {
                link.set_cut(partitioned);
            }
        }
    }

    pub fn apply(&self, file: &str, configuration: &Value) -> Result<Version, ApplyError> {
        let store = Store::new(self.plan.platform_address(), Arc::new(Counters::default()));
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

    /// Waits until every box lists every other box.
    pub fn wait_for_members(&self) {
        let plan = self.plan;
        eventually("all boxes list each other", || {
            self.boxes.keys().all(|(region, number)| {
                let boxes = self.list_boxes(plan.callers_address(*region, *number)).boxes;
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
        self.block_on(send(&self.client, to, method, path, headers, body)).expect("a response")
    }

    pub fn get(&self, to: SocketAddr, path: &str) -> Reply {
        self.send(to, Method::GET, path, &[], "")
    }

    /// Sends a completion request to a box.
    pub fn complete(&self, to: SocketAddr, headers: &[(&str, &str)], body: &Value) -> Reply {
        self.send(to, Method::POST, "/v1/chat/completions", headers, &body.to_string())
    }

    /// Sends a filing, which must not be repeated, to a box.
    pub fn submit_filing(&self, to: SocketAddr, headers: &[(&str, &str)], id: &str) -> Reply {
        let body = json!({"id": id}).to_string();
        self.send(to, Method::POST, "/services/intake/filings", headers, &body)
    }

    pub fn ticket(&self, at: SocketAddr) -> String {
        self.list_boxes(at).ticket
    }

    pub fn list_boxes(&self, at: SocketAddr) -> BoxesResponse {
        serde_json::from_slice(&self.get(at, "/v1/boxes").body).expect("boxes")
    }

    pub fn counter(&self, region: usize, number: usize, counter: &str) -> u64 {
        let reply = self.get(self.plan.operators_address(region, number), "/counters");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{counter} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    pub fn run_count(&self, id: &str) -> u64 {
        self.service.run_counts().get(id).copied().unwrap_or(0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let boxes = std::mem::take(&mut self.boxes);
        for daemon in boxes.values() {
            daemon.stop_handle().stop();
            daemon.stop_handle().stop();
        }
        for (_, daemon) in boxes {
            daemon.wait();
        }
    }
}

/// Sends a request and reads the whole response. Fails if the response is
/// truncated.
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

/// Waits until a condition holds and panics if it does not within
/// [`EVENTUALLY_TIMEOUT`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < EVENTUALLY_TIMEOUT, "not within {EVENTUALLY_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
