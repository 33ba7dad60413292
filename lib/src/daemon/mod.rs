//! The process that runs on each box.
//!
//! One thread owns all control state; the traffic threads, each with its own
//! runtime, serve requests. They share [`SharedState`], through which the
//! control thread publishes complete snapshots.

pub mod caller_api;
pub mod control;
pub mod dispatch;
pub mod forward;
pub mod idempotency;
pub mod operator_api;
pub mod peer_service;
pub mod pools;
pub mod quarantine;
pub mod relay;
pub mod request;
pub mod shared;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use bytes::Bytes;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::control::Control;
use self::shared::Addresses;
use self::shared::SharedState;
use crate::coordination::drain::Stage;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::Incarnation;
use crate::protocol::bounds::MAX_MESSAGE_BYTES;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::peer::wire::peer_server::PeerServer;
use crate::protocol::settings::Settings;
use crate::state::burn::BurnTracker;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::listen;
use crate::transport::listen::Shutdown;
use crate::transport::liveness;
use crate::transport::peer as peer_transport;
use crate::transport::platform::Platform;
use crate::transport::traffic_thread;

/// Number of random low bits in an incarnation; the remaining bits hold the
/// start time.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Why a box failed to start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be bound.
    #[error("cannot listen on {address} for {port}: {source}")]
    Listen {
        /// Purpose of the port.
        port: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The operating system refused to create a thread or socket.
    #[error("cannot create a thread or socket: {0}")]
    System(#[from] std::io::Error),
    /// The peer secret cannot be sent in a header.
    #[error("peer_secret has characters that are not plain ASCII")]
    Secret,
}

/// How a box stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// All in-flight requests were completed.
    Done,
    /// This many in-flight requests were aborted.
    Cut(usize),
}

/// A running box.
pub struct Daemon {
    shared: Arc<SharedState>,
    control: JoinHandle<Stage>,
    traffic: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a box and returns once its ports are bound.
    pub fn start(settings: Settings) -> Result<Daemon, StartError> {
        let callers = bind("callers", settings.callers)?;
        let peers = bind("boxes", settings.peers)?;
        let operators = bind("operators", settings.operators)?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            operators: operators.local_addr()?,
        };
        let (events, receiver) = mpsc::channel(control::EVENT_QUEUE_CAPACITY);
        let (stop, stopping) = watch::channel(Shutdown::No);
        let shared = Arc::new(build_shared_state(settings, addresses, events.clone())?);
        let control = start_control_thread(&shared, events, receiver, stop)?;
        let traffic = start_traffic_threads(&shared, [callers, peers, operators], stopping)?;
        let Addresses { callers, peers, operators } = addresses;
        log::info!("event=started callers={callers} peers={peers} operators={operators}");
        Ok(Daemon { shared, control, traffic })
    }

    /// Addresses that the box listens on.
    pub fn addresses(&self) -> Addresses {
        self.shared.addresses
    }

    /// Whether the box has a configuration and accepts requests.
    pub fn is_ready(&self) -> bool {
        self.shared.current_snapshot().ready
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> crate::protocol::Version {
        self.shared.current_snapshot().configuration.version
    }

    /// Returns a handle that requests a planned stop; a second request stops
    /// the box immediately.
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle { events: self.shared.control.clone() }
    }

    /// Waits until the box has stopped.
    pub fn wait(self) -> StopOutcome {
        let stage = self.control.join().unwrap_or(Stage::Cut);
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        for thread in self.traffic {
            let _ = thread.join();
        }
        match stage {
            Stage::Done => StopOutcome::Done,
            _ => StopOutcome::Cut(in_flight),
        }
    }
}

/// Requests that a box stop.
#[derive(Clone)]
pub struct StopHandle {
    events: mpsc::Sender<control::Event>,
}

impl StopHandle {
    /// Requests a planned stop; a second request stops the box immediately.
    pub fn stop(&self) {
        let _ = self.events.blocking_send(control::Event::StopRequested);
    }

    /// Like [`StopHandle::stop`], for callers within an async runtime.
    pub async fn stop_async(&self) {
        let _ = self.events.send(control::Event::StopRequested).await;
    }
}

pub(crate) fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    listen::bind(address).map_err(|source| StartError::Listen { port, address, source })
}

/// Creates an incarnation. Incarnations are ordered by start time, so a
/// restarted box supersedes its predecessor.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = rand::rng().random_range(0..1u64 << INCARNATION_RANDOM_BITS);
    ((since_epoch.as_millis() as u64) << INCARNATION_RANDOM_BITS) | random
}

fn build_shared_state(
    settings: Settings,
    addresses: Addresses,
    control: mpsc::Sender<control::Event>,
) -> Result<SharedState, StartError> {
    let now = clock::now();
    let incarnation = new_incarnation();
    let counters = Arc::new(Counters::default());
    let snapshot = Snapshot {
        configuration: Arc::new(Configuration::default()),
        own: own_member(&settings, &addresses, incarnation),
        members: Vec::new(),
        ready: false,
        stage: Stage::Serving,
    };
    Ok(SharedState {
        peers: new_peer_client(&settings)?,
        platform: Platform::new(settings.platform, Arc::clone(&counters)),
        settings,
        addresses,
        incarnation,
        started_at: now,
        snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
        document: ArcSwap::from_pointee(Bytes::new()),
        pools: pools::PoolTable::default(),
        limiter: Mutex::new(RateLimiter::default()),
        keyed_requests: idempotency::KeyedRequests::default(),
        burn: Mutex::new(BurnTracker::new(now)),
        quarantine: quarantine::Quarantine::default(),
        counters,
        backend: backend::Client::new(backend::CONNECT_TIMEOUT, liveness::SERVER),
        control,
        in_flight: AtomicUsize::new(0),
        request_numbers: AtomicU64::new(0),
    })
}

fn new_peer_client(settings: &Settings) -> Result<peer_transport::Client, StartError> {
    let routes = settings.peer_routes.clone();
    peer_transport::Client::new(&settings.peer_secret, routes).ok_or(StartError::Secret)
}

fn own_member(settings: &Settings, addresses: &Addresses, incarnation: Incarnation) -> Member {
    Member {
        name: settings.name.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        caller_address: addresses.callers,
        peer_address: addresses.peers,
        incarnation,
        beat: 1,
        phase: Phase::Starting,
        configuration_version: 0,
        in_flight: 0,
        region_boxes: 1,
    }
}

fn start_control_thread(
    shared: &Arc<SharedState>,
    events: mpsc::Sender<control::Event>,
    receiver: mpsc::Receiver<control::Event>,
    stop: watch::Sender<Shutdown>,
) -> Result<JoinHandle<Stage>, StartError> {
    let peers = new_peer_client(&shared.settings)?;
    let own = shared.current_snapshot().own.clone();
    let control = Control::new(Arc::clone(shared), events, stop, own, peers);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || runtime.block_on(control.run(receiver));
    Ok(std::thread::Builder::new().name("control".to_owned()).spawn(run)?)
}

/// Number of ports that a box serves, in the order used in [`Daemon::start`].
const PORT_COUNT: usize = 3;

/// Accepted connections that one traffic thread serves, one channel per port.
struct TrafficThreadInput {
    accepted: [listen::AcceptedStreams; PORT_COUNT],
}

fn start_traffic_threads(
    shared: &Arc<SharedState>,
    listeners: [TcpListener; PORT_COUNT],
    stopping: watch::Receiver<Shutdown>,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let mut senders: [Vec<mpsc::Sender<TcpStream>>; PORT_COUNT] = Default::default();
    let mut threads = Vec::new();
    for index in 0..shared.settings.traffic_threads {
        let accepted = senders.each_mut().map(|senders| {
            let (sender, accepted) = mpsc::channel(listen::HANDOVER_QUEUE_LEN);
            senders.push(sender);
            accepted
        });
        let input = TrafficThreadInput { accepted };
        let (shared, stopping) = (Arc::clone(shared), stopping.clone());
        threads.push(spawn_traffic_thread(index, stopping.clone(), move || {
            serve(shared, input, stopping)
        })?);
    }
    let listeners_with_senders = listeners.into_iter().zip(senders).collect();
    threads.push(spawn_traffic_thread(threads.len(), stopping.clone(), move || {
        accept_connections(listeners_with_senders, stopping)
    })?);
    Ok(threads)
}

/// Starts a thread with its own runtime. The thread ends when its work is done,
/// or immediately on [`Shutdown::Immediate`].
fn spawn_traffic_thread<F>(
    index: usize,
    mut stopping: watch::Receiver<Shutdown>,
    work: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, StartError>
where
    F: Future<Output = Result<(), StartError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        traffic_thread::set_index(index);
        runtime.block_on(async {
            let result = tokio::select! {
                result = work() => result,
                _ = stopping.wait_for(|stop| *stop == Shutdown::Immediate) => Ok(()),
            };
            if let Err(error) = result {
                log::error!("event=traffic_failed thread={index} error=\"{error}\"");
            }
        });
    };
    Ok(std::thread::Builder::new().name(format!("traffic-{index}")).spawn(run)?)
}

/// Accepts connections on all ports until the box shuts down.
async fn accept_connections(
    ports: Vec<(TcpListener, Vec<mpsc::Sender<TcpStream>>)>,
    stopping: watch::Receiver<Shutdown>,
) -> Result<(), StartError> {
    let mut accept_tasks = JoinSet::new();
    for (listener, threads) in ports {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        accept_tasks.spawn(listen::accept(listener, threads, stopping.clone()));
    }
    accept_tasks.join_all().await;
    Ok(())
}

/// Serves one traffic thread's share of the connections until the box shuts
/// down.
async fn serve(
    shared: Arc<SharedState>,
    input: TrafficThreadInput,
    stopping: watch::Receiver<Shutdown>,
) -> Result<(), StartError> {
    let [callers, peers, operators] = input.accepted;
    let state = Arc::clone(&shared);
    let handle_caller = move |request| caller_api::handle(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let handle_operator = move |request| operator_api::handle(Arc::clone(&state), request);
    let service = PeerServer::new(peer_service::PeerService::new(shared))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    tokio::spawn(peer_transport::serve(peers, service, stopping.clone()));
    tokio::join!(
        listen::serve(callers, handle_caller, stopping.clone()),
        listen::serve(operators, handle_operator, stopping),
    );
    Ok(())
}
