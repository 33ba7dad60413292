//! The gateway process that runs on each box. It connects to the store, callers and backend servers
//! of a platform through an [`Adapter`].
//!
//! One thread runs control, and another carries traffic. They share [`shared::Shared`], in which
//! control publishes immutable snapshots.

pub mod attempt;
pub mod body_relay;
pub mod box_reports;
pub mod cluster_state;
mod cold_reports;
pub mod control;
pub mod decision_log;
pub mod directory;
pub mod dispatch;
pub mod event;
pub mod feedback;
pub mod forwarded_versions;
pub mod forwarding;
pub mod held_body;
pub mod history;
pub mod ingress;
pub mod job;
pub mod lease;
pub mod metrics;
pub mod path_checks;
pub mod path_probe;
pub mod peer_response;
mod permit;
pub mod probe;
pub mod quarantine;
pub mod quotas;
pub mod relay;
pub mod replica;
pub mod room;
mod sender_checks;
pub mod settings;
pub mod shared;
pub mod state_transfer;
pub mod store_contents;
pub mod store_keys;
pub mod stream;
pub mod stream_directory;
pub mod stream_lists;
pub mod stream_records;
pub mod stream_routes;
pub mod stream_timing;
pub mod stream_versions;
pub mod throttle;
pub mod unreadable_keys;
pub mod upgrade;

use std::collections::BTreeMap;
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

use self::cluster_state::ClusterState;
use self::control::Control;
use self::control::Event;
use self::forwarded_versions::ForwardedVersions;
use self::job::Origin;
use self::settings::Listen;
use self::settings::Settings;
use self::shared::Shared;
use self::shared::Snapshot;
use crate::coordination::drain::Stage;
use crate::coordination::freshness::Version;
use crate::coordination::presence;
use crate::coordination::quota;
use crate::coordination::quota::Quotas;
use crate::coordination::retries::RetryBudgets;
use crate::coordination::throttle::Throttles;
use crate::coordination::upgrade::Upgrades;
use crate::daemon::StartError;
use crate::daemon::StopOutcome;
use crate::daemon::bind;
use crate::daemon::new_incarnation;
use crate::protocol::RegionId;
use crate::protocol::adapter::Adapter;
use crate::protocol::bounds::HELD_RESPONSE_BYTES;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::FailureDomainId;
use crate::protocol::platform::Position;
use crate::protocol::routing::Limits;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::latency::Latencies;
use crate::transport::activity::OpenConnections;
use crate::transport::backend;
use crate::transport::http1;
use crate::transport::http1::limits;
use crate::transport::listen::Shutdown;
use crate::transport::liveness;
use crate::transport::memory::Account;
use crate::transport::store;
use crate::transport::store::NewestEra;
use crate::transport::timer;

/// Timeout of connections to backend servers. They are in the same region, where connecting takes
/// milliseconds. A lost SYN packet is sent again only after a second.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of connections to boxes of other regions, whose round trip takes some 110 ms.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Capacity of the control thread's event queue.
const EVENT_QUEUE_LEN: usize = 64;
/// Share of the socket descriptors for callers' connections. The rest is for the connections that
/// their requests need.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.45;
/// Share for connections of other boxes.
const PEER_DESCRIPTOR_SHARE: f64 = 0.2;
/// Share for callers that query the directory.
const DIRECTORY_DESCRIPTOR_SHARE: f64 = 0.1;
/// Share for boxes that request the state from the store: all boxes of a region keep a connection
/// to the few that watch the store.
const HANDOVER_DESCRIPTOR_SHARE: f64 = 0.1;
/// Maximum number of connections of the readiness and metrics ports.
const SMALL_PORT_CONNECTIONS: usize = 64;

/// Minimum for the maximum size in bytes of the heads that other boxes forward. Their connections stay
/// open while the limit on callers' heads is raised.
const MIN_PEER_HEAD_BYTES: usize = 64 << 10;
/// Size in bytes of the headers that boxes add to forwarded requests.
const FORWARD_HEAD_BYTES: usize = 4 << 10;

/// Creates a channel for events to a gateway.
pub fn events() -> (mpsc::Sender<Event>, mpsc::Receiver<Event>) {
    mpsc::channel(EVENT_QUEUE_LEN)
}

/// A running gateway.
pub struct Gateway {
    control: JoinHandle<StopOutcome>,
    traffic: JoinHandle<()>,
    events: mpsc::Sender<Event>,
    listen: Listen,
}

impl Gateway {
    /// Starts a gateway. Returns once its ports are open.
    pub fn start<A: Adapter>(
        settings: Settings,
        regions: HashMap<FailureDomainId, RegionId>,
        adapter: A,
    ) -> Result<Gateway, StartError> {
        Gateway::start_with_events(settings, regions, adapter, events())
    }

    /// Starts a gateway with an existing event channel, which may contain events already.
    pub fn start_with_events<A: Adapter>(
        settings: Settings,
        regions: HashMap<FailureDomainId, RegionId>,
        adapter: A,
        (events, receiver): (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    ) -> Result<Gateway, StartError> {
        let ports = Ports::bind(&settings)?;
        let settings = Settings { listen: ports.addresses()?, ..settings };
        let listen = settings.listen;
        let counters = Arc::new(Counters::default());
        let own_record = build_own_record(&settings);
        let latencies = Arc::new(Latencies::default());
        let measures = store::StoreMetrics {
            counters: Arc::clone(&counters),
            latencies: Arc::clone(&latencies),
        };
        let eras = NewestEra::default();
        let store = store::Client::new(settings.store, adapter.clone(), measures, eras.clone());
        let box_hash = presence::box_hash(&settings.name);
        let shared = Arc::new(Shared {
            incarnation: own_record.incarnation,
            adapter,
            snapshot: ArcSwap::from_pointee(Snapshot {
                routing: None,
                state: Version::default(),
                decided_at: Position::default(),
                boxes: Vec::new(),
                expired_boxes: Vec::new(),
                fleet_size: 1,
                slots: HashMap::new(),
                servers: HashMap::new(),
                software: HashMap::new(),
                versions: BTreeMap::new(),
                upgrading_servers: BTreeMap::new(),
                stage: Stage::Serving,
                has_started: false,
            }),
            replica: Mutex::default(),
            compressed_state: Mutex::default(),
            configuration: Mutex::default(),
            joins: Mutex::default(),
            services: Mutex::default(),
            loads: Mutex::default(),
            retries: Mutex::new(RetryBudgets::new(settings.retries, clock::now())),
            quotas: Mutex::new(Quotas::new(quota_tolerance(&settings), clock::now())),
            throttles: Mutex::new(Throttles::new(rand::random()).with_box(box_hash)),
            departures: Mutex::default(),
            regions: Mutex::default(),
            presence: Mutex::default(),
            peer_paths: Mutex::default(),
            forwards: Mutex::default(),
            path_checks: Mutex::default(),
            senders: Mutex::default(),
            unlisted: Mutex::default(),
            freshness: Mutex::default(),
            interrupted: Mutex::default(),
            store_recovered_at: Mutex::default(),
            eras,
            quarantine: Mutex::default(),
            upgrades: Mutex::new(Upgrades::new(settings.upgrade_limits)),
            upgrade_report: Notify::new(),
            upgrade_evidence: Notify::new(),
            streams: Mutex::default(),
            stream_report: Notify::new(),
            streams_begun: Notify::new(),
            store_lookups: Notify::new(),
            version_lists: Notify::new(),
            region_update: Notify::new(),
            server_report: Notify::new(),
            global_update: Notify::new(),
            verdicts: Notify::new(),
            path_lost: Notify::new(),
            path_results: Notify::new(),
            peer_ahead: Notify::new(),
            forwarded_versions: ForwardedVersions::default(),
            servers: backend::Client::new(SERVER_CONNECT_TIMEOUT, liveness::SERVER)
                .with_routes(settings.server_routes.clone()),
            peers: backend::Client::new(PEER_CONNECT_TIMEOUT, liveness::REMOTE)
                .with_routes(settings.peer_routes.clone()),
            response_memory: Account::new(HELD_RESPONSE_BYTES),
            in_flight: AtomicUsize::new(0),
            open: OpenConnections::default(),
            stop_requested_at: watch::Sender::new(None),
            closing_since: watch::Sender::new(None),
            limits: watch::Sender::new(Limits::default()),
            counters,
            latencies,
            settings,
        });
        let (stop, stop_receiver) = watch::channel(Shutdown::No);
        log::info!(
            "event=started box={} incarnation={:x} region={} callers={}",
            own_record.name,
            own_record.incarnation,
            own_record.region,
            own_record.callers
        );
        let mut cluster_state = ClusterState::new(regions);
        cluster_state.add_own_addresses(&own_record);
        let control =
            Control::new(Arc::clone(&shared), store, cluster_state, own_record.clone(), stop);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let sender = events.clone();
        let control = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(control.run(sender, receiver)))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let traffic = std::thread::Builder::new().name("traffic".to_owned()).spawn(move || {
            runtime.block_on(serve_traffic(shared, Arc::new(own_record), ports, stop_receiver))
        })?;
        Ok(Gateway { control, traffic, events, listen })
    }

    /// A sender for events to the gateway, such as signals.
    pub fn events(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    /// The addresses that it listens on. Port 0 of the settings is replaced by the port that the
    /// system assigned.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Waits until the gateway has stopped.
    pub fn wait(self) -> StopOutcome {
        let ending = self.control.join().unwrap_or(StopOutcome::Cut(0));
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

fn quota_tolerance(settings: &Settings) -> quota::Tolerance {
    quota::Tolerance { slack: settings.quota_slack, dither: rand::random() }
}

fn build_own_record(settings: &Settings) -> BoxRecord {
    BoxRecord {
        name: settings.name.clone(),
        incarnation: new_incarnation(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        leaving: false,
        weight: settings.weight,
        records_streams: true,
    }
}

fn tokio_listener(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listener)
        .inspect_err(|error| log::error!("event=listen_failed error=\"{error}\""))
        .ok()
}

/// Serves all ports until the shutdown is complete.
async fn serve_traffic<A: Adapter>(
    shared: Arc<Shared<A>>,
    own_record: Arc<BoxRecord>,
    ports: Ports,
    stop: watch::Receiver<Shutdown>,
) {
    let Ports { callers, ready, directory, peers, handover, metrics, reports } = ports;
    match tokio::net::UdpSocket::from_std(reports) {
        Ok(socket) => {
            tokio::spawn(box_reports::exchange_reports(Arc::clone(&shared), socket, stop.clone()));
        }
        Err(error) => log::error!("event=reports_off error=\"{error}\""),
    }
    tokio::spawn(timer::watch_for_suspensions());
    tokio::spawn(path_probe::probe_paths(Arc::clone(&shared), stop.clone()));
    let (Some(callers), Some(ready), Some(directory), Some(peers), Some(handover), Some(metrics)) = (
        tokio_listener(callers),
        tokio_listener(ready),
        tokio_listener(directory),
        tokio_listener(peers),
        tokio_listener(handover),
        tokio_listener(metrics),
    ) else {
        return;
    };
    let max_connections = |share: f64| (shared.settings.socket_descriptors as f64 * share) as usize;
    let limits = |derive| limits::Watch::new(shared.limits.subscribe(), derive);
    let state = Arc::clone(&shared);
    let handle_caller = move |request| ingress::handle(Arc::clone(&state), Origin::Caller, request);
    let state = Arc::clone(&shared);
    let handle_peer = move |request| ingress::handle(Arc::clone(&state), Origin::Peer, request);
    let state = Arc::clone(&shared);
    let handle_ready = move |request| directory::handle_readiness(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let handle_directory =
        move |request| directory::handle(Arc::clone(&state), Arc::clone(&own_record), request);
    let state = Arc::clone(&shared);
    let handle_metrics = move |request| metrics::handle(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let handle_handover = move |request| state_transfer::handle(Arc::clone(&state), request);
    // A box that stops waits for the connections that requests may arrive on, and only briefly for
    // those of the platform's checks and of boxes that ask for the state, which ask another box.
    let open = || shared.open.clone();
    let uncounted = OpenConnections::default;
    tokio::join!(
        http1::serve(
            callers,
            max_connections(CALLER_DESCRIPTOR_SHARE),
            open(),
            limits(limits::Connection::from),
            handle_caller,
            stop.clone()
        ),
        http1::serve(
            peers,
            max_connections(PEER_DESCRIPTOR_SHARE),
            open(),
            limits(peer_limits),
            handle_peer,
            stop.clone()
        ),
        http1::serve(
            ready,
            SMALL_PORT_CONNECTIONS,
            uncounted(),
            limits(small_port_limits),
            handle_ready,
            stop.clone()
        ),
        http1::serve(
            directory,
            max_connections(DIRECTORY_DESCRIPTOR_SHARE),
            open(),
            limits(small_port_limits),
            handle_directory,
            stop.clone()
        ),
        http1::serve(
            handover,
            max_connections(HANDOVER_DESCRIPTOR_SHARE),
            uncounted(),
            limits(small_port_limits),
            handle_handover,
            stop.clone()
        ),
        http1::serve(
            metrics,
            SMALL_PORT_CONNECTIONS,
            uncounted(),
            limits(small_port_limits),
            handle_metrics,
            stop
        ),
    );
}

/// The limits on connections of other boxes. These have checked the heads of their callers' requests.
fn peer_limits(limits: Limits) -> limits::Connection {
    limits::Connection {
        max_header_bytes: limits.max_header_bytes.max(MIN_PEER_HEAD_BYTES) + FORWARD_HEAD_BYTES,
        idle_timeout: Duration::from_secs(60),
        ..limits.into()
    }
}

/// The limits on connections for small requests without a body.
fn small_port_limits(limits: Limits) -> limits::Connection {
    limits::Connection {
        max_header_bytes: 8 << 10,
        idle_timeout: Duration::from_secs(60),
        ..limits.into()
    }
}

/// The address on the same host with another port.
pub fn with_port(address: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(address.ip(), port)
}
