//! The process that runs on each box.
//!
//! One thread holds all control state; a runtime of its own threads carries
//! traffic. They share [`Shared`], in which control publishes whole snapshots.

pub mod call;
pub mod caller;
pub mod control;
pub mod dispatch;
pub mod forward;
pub mod once;
pub mod operators;
pub mod peer;
pub mod pools;
pub mod relay;
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
use self::shared::Shared;
use crate::coordination::drain::Stage;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::Incarnation;
use crate::protocol::config::Configuration;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::peer::wire::peer_server::PeerServer;
use crate::protocol::settings::Settings;
use crate::state::burn::Burn;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::listen;
use crate::transport::listen::Stop;
use crate::transport::peer as peer_transport;
use crate::transport::platform::Platform;
use crate::transport::worker;

/// Low bits of an incarnation that are random; the rest is the time of the start.
const RANDOM_BITS: u32 = 20;

/// Why a box could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port cannot be listened on.
    #[error("cannot listen on {address} for {port}: {source}")]
    Listen {
        /// What the port is for.
        port: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The operating system refused threads or sockets.
    #[error("cannot start: {0}")]
    System(#[from] std::io::Error),
    /// The secret cannot be sent in a header.
    #[error("peer_secret has characters that are not plain ASCII")]
    Secret,
}

/// How a box ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Everything in progress was finished.
    Done,
    /// Requests in progress were cut.
    Cut(usize),
}

/// A running box.
pub struct Daemon {
    shared: Arc<Shared>,
    control: JoinHandle<Stage>,
    traffic: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a box; returns once its ports are open.
    pub fn start(settings: Settings) -> Result<Daemon, StartError> {
        let callers = bind("callers", settings.callers)?;
        let peers = bind("boxes", settings.peers)?;
        let operators = bind("operators", settings.operators)?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            operators: operators.local_addr()?,
        };
        let (events, receiver) = mpsc::channel(control::EVENTS);
        let (stop, stopping) = watch::channel(Stop::No);
        let shared = Arc::new(shared(settings, addresses, events.clone())?);
        let control = start_control(&shared, events, receiver, stop)?;
        let traffic = start_traffic(&shared, [callers, peers, operators], stopping)?;
        let Addresses { callers, peers, operators } = addresses;
        log::info!("event=started callers={callers} peers={peers} operators={operators}");
        Ok(Daemon { shared, control, traffic })
    }

    /// Addresses that it listens on.
    pub fn addresses(&self) -> Addresses {
        self.shared.addresses
    }

    /// Whether it has a configuration and takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.now_in_force().ready
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> crate::protocol::Version {
        self.shared.now_in_force().configuration.version
    }

    /// Something that asks for a planned stop; asking a second time means at once.
    pub fn stopper(&self) -> Stopper {
        Stopper { events: self.shared.control.clone() }
    }

    /// Waits until the box has stopped.
    pub fn wait(self) -> Ending {
        let stage = self.control.join().unwrap_or(Stage::Cut);
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        for thread in self.traffic {
            let _ = thread.join();
        }
        match stage {
            Stage::Done => Ending::Done,
            _ => Ending::Cut(in_flight),
        }
    }
}

/// Asks a box to stop.
#[derive(Clone)]
pub struct Stopper {
    events: mpsc::Sender<control::Event>,
}

impl Stopper {
    /// Asks; a second time means at once.
    pub fn stop(&self) {
        let _ = self.events.blocking_send(control::Event::Stop);
    }

    /// Asks from within a runtime.
    pub async fn stop_async(&self) {
        let _ = self.events.send(control::Event::Stop).await;
    }
}

pub(crate) fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    listen::bind(address).map_err(|source| StartError::Listen { port, address, source })
}

/// Ordered by the time of the start, so that a replaced box supersedes the one before.
pub(crate) fn draw_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = rand::rng().random_range(0..1u64 << RANDOM_BITS);
    ((since.as_millis() as u64) << RANDOM_BITS) | random
}

fn shared(
    settings: Settings,
    addresses: Addresses,
    control: mpsc::Sender<control::Event>,
) -> Result<Shared, StartError> {
    let now = clock::now();
    let incarnation = draw_incarnation();
    let counters = Arc::new(Counters::default());
    let snapshot = Snapshot {
        configuration: Arc::new(Configuration::default()),
        own: own_member(&settings, &addresses, incarnation),
        members: Vec::new(),
        ready: false,
        stage: Stage::Serving,
    };
    Ok(Shared {
        peers: peer_client(&settings)?,
        platform: Platform::new(settings.platform, Arc::clone(&counters)),
        settings,
        addresses,
        incarnation,
        started_at: now,
        snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
        document: ArcSwap::from_pointee(Bytes::new()),
        pools: pools::Table::default(),
        limiter: Mutex::new(RateLimiter::default()),
        once: once::Memory::default(),
        burn: Mutex::new(Burn::new(now)),
        counters,
        backend: backend::Client::default(),
        control,
        in_flight: AtomicUsize::new(0),
        requests: AtomicU64::new(0),
    })
}

fn peer_client(settings: &Settings) -> Result<peer_transport::Client, StartError> {
    let routes = settings.peer_routes.clone();
    peer_transport::Client::new(&settings.peer_secret, routes).ok_or(StartError::Secret)
}

fn own_member(settings: &Settings, addresses: &Addresses, incarnation: Incarnation) -> Member {
    Member {
        name: settings.name.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        callers: addresses.callers,
        peers: addresses.peers,
        incarnation,
        beat: 1,
        phase: Phase::Starting,
        version: 0,
        in_flight: 0,
        region_boxes: 1,
    }
}

fn start_control(
    shared: &Arc<Shared>,
    events: mpsc::Sender<control::Event>,
    receiver: mpsc::Receiver<control::Event>,
    stop: watch::Sender<Stop>,
) -> Result<JoinHandle<Stage>, StartError> {
    let peers = peer_client(&shared.settings)?;
    let own = shared.now_in_force().own.clone();
    let control = Control::new(Arc::clone(shared), events, stop, own, peers);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || runtime.block_on(control.run(receiver));
    Ok(std::thread::Builder::new().name("control".to_owned()).spawn(run)?)
}

/// Ports that a box serves, in the order of [`Daemon::start`].
const PORTS: usize = 3;

/// What the traffic threads are given.
struct Thread {
    accepted: [listen::Accepted; PORTS],
}

fn start_traffic(
    shared: &Arc<Shared>,
    listeners: [TcpListener; PORTS],
    stopping: watch::Receiver<Stop>,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let mut senders: [Vec<mpsc::Sender<TcpStream>>; PORTS] = Default::default();
    let mut threads = Vec::new();
    for index in 0..shared.settings.traffic_threads {
        let accepted = senders.each_mut().map(|senders| {
            let (sender, accepted) = mpsc::channel(listen::HANDED_OVER);
            senders.push(sender);
            accepted
        });
        let thread = Thread { accepted };
        let (shared, stopping) = (Arc::clone(shared), stopping.clone());
        threads
            .push(spawn_thread(index, stopping.clone(), move || serve(shared, thread, stopping))?);
    }
    let accepting = listeners.into_iter().zip(senders).collect();
    threads
        .push(spawn_thread(threads.len(), stopping.clone(), move || accept(accepting, stopping))?);
    Ok(threads)
}

/// Starts a thread with a runtime of its own; it ends with its work, or at once when told so.
fn spawn_thread<F>(
    index: usize,
    mut stopping: watch::Receiver<Stop>,
    work: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, StartError>
where
    F: Future<Output = Result<(), StartError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        worker::set_index(index);
        runtime.block_on(async {
            let ended = tokio::select! {
                ended = work() => ended,
                _ = stopping.wait_for(|stop| *stop == Stop::Now) => Ok(()),
            };
            if let Err(error) = ended {
                log::error!("event=traffic_failed thread={index} error=\"{error}\"");
            }
        });
    };
    Ok(std::thread::Builder::new().name(format!("traffic-{index}")).spawn(run)?)
}

/// Accepts on all ports until the stop has ended.
async fn accept(
    ports: Vec<(TcpListener, Vec<mpsc::Sender<TcpStream>>)>,
    stopping: watch::Receiver<Stop>,
) -> Result<(), StartError> {
    let mut accepting = JoinSet::new();
    for (listener, threads) in ports {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        accepting.spawn(listen::accept(listener, threads, stopping.clone()));
    }
    accepting.join_all().await;
    Ok(())
}

/// One thread's share of the traffic, until the stop has ended.
async fn serve(
    shared: Arc<Shared>,
    thread: Thread,
    stopping: watch::Receiver<Stop>,
) -> Result<(), StartError> {
    let [callers, peers, operators] = thread.accepted;
    let state = Arc::clone(&shared);
    let for_callers = move |request| caller::handle(Arc::clone(&state), request);
    let state = Arc::clone(&shared);
    let for_operators = move |request| operators::handle(Arc::clone(&state), request);
    let service = PeerServer::new(peer::Service::new(shared))
        .max_decoding_message_size(peer_transport::MAX_MESSAGE)
        .max_encoding_message_size(peer_transport::MAX_MESSAGE);
    tokio::spawn(peer_transport::serve(peers, service, stopping.clone()));
    tokio::join!(
        listen::serve(callers, for_callers, stopping.clone()),
        listen::serve(operators, for_operators, stopping),
    );
    Ok(())
}
