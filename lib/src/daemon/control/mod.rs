//! The control thread: it alone changes control state.
//!
//! Events come in from timers, from other boxes and from its own calls; each
//! is handled to its end before the next. What traffic threads need is
//! published whole ([`Snapshot`]) or put into the pools. Calls to others run
//! as tasks that report back with an event, so a slow store or peer never
//! holds the thread up.

mod configuration;
mod heartbeats;
mod orders;
mod servers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::shared::Shared;
use super::shared::lock;
use crate::coordination::drain;
use crate::coordination::drain::Drain;
use crate::coordination::drain::Stage;
use crate::coordination::gossip::Gossip;
use crate::coordination::lease;
use crate::coordination::lease::LeaseClient;
use crate::coordination::lending::Lender;
use crate::coordination::membership;
use crate::coordination::membership::Membership;
use crate::coordination::rollout::Rollout;
use crate::protocol::PoolId;
use crate::protocol::ServerId;
use crate::protocol::Version;
use crate::protocol::config::Configuration;
use crate::protocol::name_hash;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::peer::Report;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::Listed;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::load::Load;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::listen::Stop;
use crate::transport::metrics;
use crate::transport::peer;
use crate::transport::platform::Platform;
use crate::transport::timer;
use crate::transport::timer::Tick;
use crate::transport::timer::Timer;

/// Events that wait for the control thread.
pub const EVENTS: usize = 4096;
/// Longest wait of a fresh box for slow answers about the configuration.
const START_WAIT: Duration = Duration::from_millis(1500);
/// Time between sends of the counters.
const METRICS_PERIOD: Duration = Duration::from_secs(10);
/// Time between looks at the progress of a stop.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);
/// Time between sweeps of memory.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// What the control thread handles.
#[derive(Debug)]
pub enum Event {
    /// A timer's tick.
    Tick(Tick<Topic>),
    /// A heartbeat came in; the answer goes back, if one is wanted.
    Heartbeat(Box<Heartbeat>, Option<oneshot::Sender<Heartbeat>>),
    /// A heartbeat was answered, or not.
    Called {
        /// Where to.
        peer: SocketAddr,
        /// Whether it was answered.
        answered: bool,
        /// When it was sent.
        sent_at: Instant,
    },
    /// A stored configuration came in, or word that a source has none newer.
    Document(Option<Bytes>),
    /// A source that a fresh box asked has answered or failed.
    SourceDone,
    /// A forwarded request was decided by a newer version than ours.
    Behind(Version),
    /// A backend server was probed.
    Probed(Report),
    /// The platform's list came in.
    Listed(Vec<Listed>),
    /// Word on the lease of this region's duty.
    Lease(lease::Event, Option<LeaseId>),
    /// The operator asks to stop.
    Stop,
}

/// What the timers are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Exchange heartbeats.
    Heartbeat,
    /// Probe backend servers.
    Probe,
    /// Bring the pools up to date and place what waits.
    Pools,
    /// Read the platform's list.
    List,
    /// Announce this box in the directory.
    Announce,
    /// Keep or take the lease of the region's duty.
    Lease,
    /// Give orders.
    Orders,
    /// Look at the progress of a stop.
    Drain,
    /// Send the counters.
    Metrics,
    /// Forget what is old.
    Sweep,
}

/// The control state of a box.
pub struct Control {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    stop: watch::Sender<Stop>,
    exchange: Gossip,
    rollout: Rollout,
    configuration: Arc<Configuration>,
    drain: Drain,
    holder: LeaseClient,
    lease: Option<LeaseId>,
    lenders: BTreeMap<PoolId, Lender>,
    peers: Arc<peer::Client>,
    platform: Platform,
    backend: backend::Client,
    metrics: Option<metrics::Sink>,
    watching: Arc<AtomicBool>,
    fetching: Arc<AtomicBool>,
    live: BTreeSet<(String, u64, bool)>,
    pools_dirty: bool,
    asked: BTreeSet<SocketAddr>,
    probes: Vec<servers::Probe>,
    announce_tick: u32,
    servers_seen: BTreeMap<ServerId, (bool, bool)>,
    rng: SmallRng,
}

impl Control {
    /// The control state of a fresh box.
    pub fn new(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        stop: watch::Sender<Stop>,
        own: Member,
        peers: peer::Client,
    ) -> Control {
        let now = clock::now();
        let settings = &shared.settings;
        let timeouts = drain::Timeouts { grace: settings.stop_grace, limit: settings.stop_limit };
        let mut membership = Membership::new(own, membership::Config::default());
        membership.add_addresses(settings.seeds.iter().copied());
        let metrics = settings.statsd.and_then(|address| {
            metrics::Sink::open(address, &settings.name, &settings.region)
                .inspect_err(|error| log::warn!("event=metrics_off error=\"{error}\""))
                .ok()
        });
        Control {
            exchange: Gossip { membership, load: Load::default() },
            rollout: Rollout::new(now, START_WAIT),
            configuration: Arc::new(Configuration::default()),
            drain: Drain::new(timeouts),
            holder: LeaseClient::new(lease::Timing::default()),
            lease: None,
            lenders: BTreeMap::new(),
            peers: Arc::new(peers),
            platform: Platform::new(settings.platform, Arc::clone(&shared.counters)),
            backend: backend::Client::default(),
            metrics,
            watching: Arc::new(AtomicBool::new(true)),
            fetching: Arc::new(AtomicBool::new(false)),
            live: BTreeSet::new(),
            pools_dirty: true,
            asked: BTreeSet::new(),
            probes: Vec::new(),
            announce_tick: 0,
            servers_seen: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(shared.incarnation),
            shared,
            events,
            stop,
        }
    }

    /// Handles events until the stop has ended; gives the stage it ended in.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) -> Stage {
        self.start_timers();
        self.ask_for_configuration();
        self.watch_configuration();
        while let Some(event) = events.recv().await {
            self.handle(event);
            if self.drain.stage().is_finished() {
                break;
            }
        }
        let stage = self.drain.stage();
        let stop = if stage == Stage::Done { Stop::Gently } else { Stop::Now };
        let _ = self.stop.send(stop);
        stage
    }

    fn start_timers(&self) {
        let mut timer = Timer::default();
        let period = membership::Config::default().period;
        // Boxes that start together do not stay in step.
        let first = |period: Duration| period.mul_f64(self.jitter());
        timer.subscribe(Topic::Heartbeat, period, Duration::ZERO);
        timer.subscribe(Topic::Probe, servers::PROBE_PERIOD, Duration::ZERO);
        timer.subscribe(Topic::Pools, servers::POOLS_PERIOD, Duration::ZERO);
        timer.subscribe(Topic::List, servers::LIST_PERIOD, Duration::ZERO);
        timer.subscribe(Topic::Announce, heartbeats::ANNOUNCE_PERIOD, Duration::ZERO);
        timer.subscribe(Topic::Lease, orders::LEASE_PERIOD, first(orders::LEASE_PERIOD));
        timer.subscribe(Topic::Orders, orders::ORDERS_PERIOD, first(orders::ORDERS_PERIOD));
        timer.subscribe(Topic::Drain, DRAIN_PERIOD, DRAIN_PERIOD);
        timer.subscribe(Topic::Metrics, METRICS_PERIOD, METRICS_PERIOD);
        timer.subscribe(Topic::Sweep, SWEEP_PERIOD, SWEEP_PERIOD);
        let (sender, mut ticks) = mpsc::channel(1);
        let events = self.events.clone();
        tokio::spawn(timer::watch_suspensions());
        tokio::spawn(timer.run(sender));
        tokio::spawn(async move {
            while let Some(tick) = ticks.recv().await {
                if events.send(Event::Tick(tick)).await.is_err() {
                    return;
                }
            }
        });
    }

    /// A share between 0 and 1 that is this box's own.
    fn jitter(&self) -> f64 {
        (self.shared.incarnation % 1000) as f64 / 1000.0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(tick) => self.tick(tick),
            Event::Heartbeat(heartbeat, answer) => self.hear(*heartbeat, answer),
            Event::Called { peer, answered, sent_at } => self.called(peer, answered, sent_at),
            Event::Document(document) => self.offered(document),
            Event::SourceDone => {
                self.rollout.query_finished();
                self.publish();
            }
            Event::Behind(version) => self.fetch_from_any(version),
            Event::Probed(report) => self.probed(&report),
            Event::Listed(listed) => self.listed(&listed),
            Event::Lease(event, lease) => self.lease_event(event, lease),
            Event::Stop => self.begin_stop(),
        }
    }

    fn tick(&mut self, tick: Tick<Topic>) {
        match tick.topic {
            Topic::Heartbeat => self.beat(tick.now, tick.late),
            Topic::Probe => self.probe(),
            Topic::Pools => self.refresh_pools(tick.now),
            Topic::List => self.read_list(false),
            Topic::Announce => self.announce_in_turn(),
            Topic::Lease => self.tend_lease(tick.now),
            Topic::Orders => self.give_orders(tick.now),
            Topic::Drain => self.tend_drain(tick.now),
            Topic::Metrics => self.send_metrics(),
            Topic::Sweep => self.sweep(tick.now),
        }
    }

    fn send_metrics(&mut self) {
        if let Some(metrics) = &mut self.metrics {
            metrics.flush(&self.shared.counters);
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.shared.once.expire(now);
        let configuration = Arc::clone(&self.configuration);
        let servers = || configuration.pools.values().flat_map(|pool| &pool.servers);
        self.exchange.load.retain(|id| servers().any(|(known, _)| name_hash(known) == *id), now);
        let addresses: BTreeSet<SocketAddr> = servers().map(|(_, server)| server.address).collect();
        self.backend.retain(|address| addresses.contains(address));
        self.shared.backend.retain(|address| addresses.contains(address));
    }

    fn begin_stop(&mut self) {
        let before = self.drain.stage();
        let stage = self.drain.handle(drain::Event::Stop(clock::now()));
        if stage == before {
            return;
        }
        log::info!("event=stop_requested stage={stage:?}");
        self.exchange.membership.update_own(|own| own.phase = Phase::Leaving);
        self.publish();
        self.announce();
        self.tell_region();
    }

    fn tend_drain(&mut self, now: Instant) {
        let before = self.drain.stage();
        if before == Stage::Serving {
            return;
        }
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let stage = self.drain.handle(drain::Event::Tick { now, in_flight });
        if stage != before {
            log::info!("event=stop_stage stage={stage:?} in_flight={in_flight}");
            self.publish();
        }
    }

    /// Publishes the control state to traffic.
    fn publish(&mut self) {
        let now = clock::now();
        let was_ready = self.shared.snapshot.load().ready;
        let ready = self.rollout.ready(now);
        if ready && !was_ready {
            log::info!("event=ready version={}", self.rollout.version());
            self.exchange.membership.update_own(|own| {
                if own.phase == Phase::Starting {
                    own.phase = Phase::Serving;
                }
            });
        }
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        let version = self.rollout.version();
        self.exchange.membership.update_own(|own| {
            own.in_flight = in_flight.try_into().unwrap_or(u32::MAX);
            own.version = version;
        });
        let snapshot = Snapshot {
            configuration: Arc::clone(&self.configuration),
            own: self.exchange.membership.own().clone(),
            members: self.exchange.membership.live(now).cloned().collect(),
            ready,
            stage: self.drain.stage(),
        };
        self.shared.snapshot.store(Arc::new(snapshot));
        if ready && !was_ready {
            self.announce();
        }
    }

    /// Logs who came, went or turned, once each.
    fn log_members(&mut self, now: Instant) {
        let seen = |member: &Member| {
            (member.name.clone(), member.incarnation, member.phase == Phase::Leaving)
        };
        let live: BTreeSet<_> = self.exchange.membership.live(now).map(seen).collect();
        for (name, incarnation, leaving) in live.difference(&self.live) {
            log::info!("event=box_seen box={name} incarnation={incarnation:x} leaving={leaving}");
        }
        for (name, incarnation, leaving) in self.live.difference(&live) {
            if !live.iter().any(|(other, ..)| other == name) {
                log::info!(
                    "event=box_gone box={name} incarnation={incarnation:x} leaving={leaving}"
                );
            }
        }
        let limiter = &self.shared.limiter;
        lock(limiter).retain_boxes(|name| live.iter().any(|(live, ..)| live == name));
        if live != self.live {
            self.live = live;
            self.choose_probes(now);
        }
    }

    fn count(&self, counter: Counter) {
        self.shared.counters.count(counter);
    }
}
