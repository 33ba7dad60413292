//! The gateway: the process on each box of a platform that has its own store,
//! callers and backend servers, spoken to through an [`Adapter`].
//!
//! One thread holds control; another carries traffic. They share
//! [`shared::Shared`], in which control publishes whole snapshots.

pub mod attempt;
pub mod control;
pub mod course;
pub mod directory;
pub mod elsewhere;
pub mod ended;
pub mod event;
pub mod facts;
pub mod handover;
pub mod ingress;
pub mod job;
pub mod keys;
pub mod learning;
pub mod lease;
pub mod metrics;
pub mod pace;
pub mod probe;
pub mod quarantine;
pub mod quotas;
pub mod record;
pub mod relay;
pub mod replica;
pub mod reports;
pub mod run;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod throttle;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use self::control::Control;
use self::control::Event;
use self::facts::Facts;
use self::job::Origin;
use self::settings::Listen;
use self::settings::Settings;
use self::shared::Shared;
use self::shared::Snapshot;
use crate::coordination::drain::Stage;
use crate::coordination::quota;
use crate::coordination::quota::Quotas;
use crate::coordination::throttle::Throttles;
use crate::daemon::Ending;
use crate::daemon::StartError;
use crate::daemon::bind;
use crate::daemon::draw_incarnation;
use crate::protocol::RegionId;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::FailureDomainId;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::latency::Latencies;
use crate::transport::backend;
use crate::transport::http1;
use crate::transport::http1::Bounds;
use crate::transport::listen::Stop;
use crate::transport::store;
use crate::transport::store::Eras;
use crate::transport::timer;

/// Longest wait for a connection to a backend server: they stand in the same region, and a
/// connection takes them milliseconds. A lost opening packet is sent again after a second.
const SERVER_CONNECT: Duration = Duration::from_millis(400);
/// Longest wait for a connection to a box of another region, some 110 ms away and back.
const PEER_CONNECT: Duration = Duration::from_millis(600);
/// Events that wait for the control thread.
const EVENTS: usize = 64;
/// Part of the descriptors that callers' connections may take; the rest is for what they cause.
const CALLERS_PART: f64 = 0.45;
/// Part for connections of other boxes.
const PEERS_PART: f64 = 0.2;
/// Part for callers that look for a box.
const DIRECTORY_PART: f64 = 0.1;
/// Part for boxes that ask for the state from the store: all of a region keep a connection to the few
/// that watch.
const HANDOVER_PART: f64 = 0.1;
/// Connections of the smaller ports.
const SMALL_PORT: usize = 64;

/// A channel for what a gateway is told.
pub fn events() -> (mpsc::Sender<Event>, mpsc::Receiver<Event>) {
    mpsc::channel(EVENTS)
}

/// A running gateway.
pub struct Gateway {
    control: JoinHandle<Ending>,
    traffic: JoinHandle<()>,
    events: mpsc::Sender<Event>,
    listen: Listen,
}

impl Gateway {
    /// Starts a gateway; returns once its ports are open.
    pub fn start<A: Adapter>(
        settings: Settings,
        regions: HashMap<FailureDomainId, RegionId>,
        adapter: A,
    ) -> Result<Gateway, StartError> {
        Gateway::start_with(settings, regions, adapter, events())
    }

    /// Starts a gateway that may have been told something already.
    pub fn start_with<A: Adapter>(
        settings: Settings,
        regions: HashMap<FailureDomainId, RegionId>,
        adapter: A,
        (events, receiver): (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    ) -> Result<Gateway, StartError> {
        let ports = Ports::bind(&settings)?;
        let settings = Settings { listen: ports.addresses()?, ..settings };
        let listen = settings.listen;
        let counters = Arc::new(Counters::default());
        let own = own_record(&settings);
        let latencies = Arc::new(Latencies::default());
        let measures =
            store::Measures { counters: Arc::clone(&counters), latencies: Arc::clone(&latencies) };
        let eras = Eras::default();
        let store = store::Client::new(settings.store, adapter.clone(), measures, eras.clone());
        let shared = Arc::new(Shared {
            incarnation: own.incarnation,
            adapter,
            snapshot: ArcSwap::from_pointee(Snapshot {
                routing: None,
                boxes: Vec::new(),
                lost: Vec::new(),
                fleet: 1,
                slots: HashMap::new(),
                servers: HashMap::new(),
                stage: Stage::Serving,
            }),
            replica: Mutex::default(),
            services: Mutex::default(),
            loads: Mutex::default(),
            quotas: Mutex::new(Quotas::new(quota_bound(&settings), clock::now())),
            throttles: Mutex::new(Throttles::new(rand::random())),
            departures: Mutex::default(),
            regions: Mutex::default(),
            presence: Mutex::default(),
            unlisted: Mutex::default(),
            freshness: Mutex::default(),
            broken: Mutex::default(),
            store_back_at: Mutex::default(),
            eras,
            quarantine: Mutex::default(),
            news: Notify::new(),
            alarm: Notify::new(),
            verdicts: Notify::new(),
            behind: Notify::new(),
            servers: backend::Client::new(SERVER_CONNECT),
            peers: backend::Client::new(PEER_CONNECT),
            in_flight: AtomicUsize::new(0),
            counters,
            latencies,
            settings,
        });
        let (stop, stopping) = watch::channel(Stop::No);
        log::info!(
            "event=started box={} incarnation={:x} region={} callers={}",
            own.name,
            own.incarnation,
            own.region,
            own.callers
        );
        let facts = Facts::new(regions);
        let control = Control::new(Arc::clone(&shared), store, facts, own.clone(), stop);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let sender = events.clone();
        let control = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(control.run(sender, receiver)))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let traffic = std::thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || runtime.block_on(serve(shared, Arc::new(own), ports, stopping)))?;
        Ok(Gateway { control, traffic, events, listen })
    }

    /// Something that tells the gateway of signals.
    pub fn events(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    /// Where it listens; ports that the settings leave to the system are those it chose.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Waits until the gateway has stopped.
    pub fn wait(self) -> Ending {
        let ending = self.control.join().unwrap_or(Ending::Cut(0));
        if self.traffic.join().is_err() {
            log::error!("event=traffic_failed");
        }
        ending
    }
}

struct Ports {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    handover: TcpListener,
    metrics: TcpListener,
    reports: std::net::UdpSocket,
}

impl Ports {
    fn bind(settings: &Settings) -> Result<Ports, StartError> {
        let listen = &settings.listen;
        let peers = bind("boxes", listen.peers)?;
        Ok(Ports {
            callers: bind("callers", listen.callers)?,
            ready: bind("readiness", listen.ready)?,
            directory: bind("the directory", listen.directory)?,
            reports: bind_datagrams(peers.local_addr()?)?,
            peers,
            handover: bind("handover", listen.handover)?,
            metrics: bind("metrics", listen.metrics)?,
        })
    }

    fn addresses(&self) -> std::io::Result<Listen> {
        Ok(Listen {
            callers: self.callers.local_addr()?,
            ready: self.ready.local_addr()?,
            directory: self.directory.local_addr()?,
            peers: self.peers.local_addr()?,
            handover: self.handover.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

fn bind_datagrams(address: SocketAddr) -> Result<std::net::UdpSocket, StartError> {
    let socket = std::net::UdpSocket::bind(address).map_err(|source| StartError::Listen {
        port: "reports",
        address,
        source,
    })?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn quota_bound(settings: &Settings) -> quota::Tolerance {
    quota::Tolerance { slack: settings.quota_slack, dither: rand::random() }
}

fn own_record(settings: &Settings) -> BoxRecord {
    BoxRecord {
        name: settings.name.clone(),
        incarnation: draw_incarnation(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        leaving: false,
        weight: settings.weight,
    }
}

fn listener(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listener)
        .inspect_err(|error| log::error!("event=listen_failed error=\"{error}\""))
        .ok()
}

/// Carries traffic until the stop has ended.
async fn serve<A: Adapter>(
    shared: Arc<Shared<A>>,
    own: Arc<BoxRecord>,
    ports: Ports,
    stop: watch::Receiver<Stop>,
) {
    let Ports { callers, ready, directory, peers, handover, metrics, reports } = ports;
    match tokio::net::UdpSocket::from_std(reports) {
        Ok(socket) => {
            tokio::spawn(reports::exchange(Arc::clone(&shared), socket, stop.clone()));
        }
        Err(error) => log::error!("event=reports_off error=\"{error}\""),
    }
    tokio::spawn(timer::watch_suspensions());
    tokio::spawn(probe::ask_servers(Arc::clone(&shared), stop.clone()));
    let (Some(callers), Some(ready), Some(directory), Some(peers), Some(handover), Some(metrics)) = (
        listener(callers),
        listener(ready),
        listener(directory),
        listener(peers),
        listener(handover),
        listener(metrics),
    ) else {
        return;
    };
    let places = |part: f64| (shared.settings.descriptors as f64 * part) as usize;
    let state = Arc::clone(&shared);
    let bounds = move || bounds(&state);
    let state = Arc::clone(&shared);
    let for_callers = move |request| ingress::handle(Arc::clone(&state), Origin::Caller, request);
    let state = Arc::clone(&shared);
    let for_peers = move |request| ingress::handle(Arc::clone(&state), Origin::Peer, request);
    let state = Arc::clone(&shared);
    let for_ready = move |request| directory::ready(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let for_directory =
        move |request| directory::handle(Arc::clone(&state), Arc::clone(&own), request);
    let state = Arc::clone(&shared);
    let for_metrics = move |request| metrics::handle(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let for_handover = move |request| handover::handle(Arc::clone(&state), request);
    let small = || Bounds { header_bytes: 8 << 10, idle: Duration::from_secs(60) };
    tokio::join!(
        http1::serve(callers, places(CALLERS_PART), bounds.clone(), for_callers, stop.clone()),
        http1::serve(peers, places(PEERS_PART), small, for_peers, stop.clone()),
        http1::serve(ready, SMALL_PORT, small, for_ready, stop.clone()),
        http1::serve(directory, places(DIRECTORY_PART), small, for_directory, stop.clone()),
        http1::serve(handover, places(HANDOVER_PART), small, for_handover, stop.clone()),
        http1::serve(metrics, SMALL_PORT, small, for_metrics, stop),
    );
}

/// The bounds on callers' connections as the configuration has them now.
fn bounds<A: Adapter>(shared: &Shared<A>) -> Bounds {
    let limits = shared.snapshot.load().routing.as_ref().map(|routing| routing.limits);
    let limits = limits.unwrap_or_default();
    Bounds { header_bytes: limits.header_bytes, idle: limits.idle }
}

/// Address of a port on the same machine as another address.
pub fn beside(address: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(address.ip(), port)
}
