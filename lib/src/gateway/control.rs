//! The control thread: it keeps this box's record in the store, follows what
//! is written there, and publishes what follows from it.
//!
//! The store may be away for as long as it likes: what was known stays in
//! force, is made up from boxes that know more, and is read afresh once the
//! store answers again.

mod follow;
mod others;
mod unreadable;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::watch;

use self::unreadable::Unreadable;
pub use super::event::Event;
use super::facts::Facts;
use super::facts::View;
use super::lease;
use super::quarantine;
use super::shared::Service;
use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::throttle;
use crate::coordination::drain;
use crate::coordination::drain::Drain;
use crate::coordination::drain::Stage;
use crate::coordination::placement::Placement;
use crate::coordination::presence;
use crate::coordination::retries::RetryBudget;
use crate::coordination::watchers;
use crate::daemon::Ending;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::listen::Stop;
use crate::transport::store;
use crate::transport::timer;

/// How long a box counts as fresh: others that started with it are in the store by then.
const FRESH: Duration = Duration::from_secs(10);
/// Shortest time without the store after which entries of servers may have lapsed, from the first
/// failed call on. One broken connection among 295 boxes kept servers that were gone for 2.2 s more.
const OUTAGE: Duration = Duration::from_millis(500);
/// Time between looks at what has been missing for long enough and at a stop's progress.
const TICK: Duration = Duration::from_millis(200);
/// How long a leaving box still takes new connections: callers are told of it for a while yet.
/// After that, whoever connects is refused and goes elsewhere at once.
const STOP_GRACE: Duration = Duration::from_millis(2500);

/// Longest wait at the end for answers that are already written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// The control state of a gateway.
pub struct Control<A: Adapter> {
    shared: Arc<Shared<A>>,
    store: store::Client<A>,
    facts: Facts,
    own: BoxRecord,
    record: watch::Sender<BoxRecord>,
    drain: Drain,
    stop: watch::Sender<Stop>,
    store_away_since: Option<Instant>,
    /// When the store is asked next, whoever else is drawn to do so.
    look_at: Option<Instant>,
    /// When another box was last asked for its state.
    asked_box_at: Option<Instant>,
    /// When this box last looked for others.
    sought_at: Option<Instant>,
    watching: bool,
    started_at: Instant,
    fresh: bool,
    unreadable: Unreadable,
}

impl<A: Adapter> Control<A> {
    /// The control state of a fresh gateway.
    pub fn new(
        shared: Arc<Shared<A>>,
        store: store::Client<A>,
        facts: Facts,
        own: BoxRecord,
        stop: watch::Sender<Stop>,
    ) -> Control<A> {
        let timeouts = drain::Timeouts { grace: STOP_GRACE, limit: shared.settings.stop_limit };
        let (record, _) = watch::channel(own.clone());
        Control {
            shared,
            store,
            facts,
            own,
            record,
            drain: Drain::new(timeouts),
            stop,
            store_away_since: None,
            look_at: None,
            asked_box_at: None,
            sought_at: None,
            watching: false,
            started_at: clock::now(),
            fresh: true,
            unreadable: Unreadable::default(),
        }
    }

    /// Runs until a stop has ended; gives how.
    pub async fn run(
        mut self,
        sender: mpsc::Sender<Event>,
        mut events: mpsc::Receiver<Event>,
    ) -> Ending {
        let keeper = lease::keep(self.store.clone(), self.record.subscribe(), sender);
        let keeper = tokio::spawn(keeper);
        tokio::spawn(quarantine::keep(Arc::clone(&self.shared), self.store.clone()));
        tokio::spawn(throttle::keep(Arc::clone(&self.shared), self.store.clone()));
        if self.begin(&mut events).await {
            self.follow(&mut events).await;
        }
        let stage = self.drain.stage();
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let ending = match stage {
            Stage::Done => Ending::Done,
            _ => Ending::Cut(in_flight),
        };
        if stage == Stage::Done && timer::timeout(FLUSH_TIMEOUT, self.stop.closed()).await.is_err()
        {
            log::warn!("event=connections_cut reason=\"answers were not read in time\"");
        }
        // A traffic thread that has ended need not be told.
        let _ = self.stop.send(Stop::Now);
        drop(self.record);
        if timer::timeout(FLUSH_TIMEOUT, keeper).await.is_err() {
            log::info!("event=lease_not_ended error=\"no answer in time\"");
        }
        log::info!("event=stopped stage={stage:?} in_flight={in_flight}");
        ending
    }

    /// Obtains a first state; says whether there is one before the process ends.
    async fn begin(&mut self, events: &mut mpsc::Receiver<Event>) -> bool {
        while self.facts.routing.is_none() {
            match self.read_all().await {
                Ok(()) => return true,
                Err(error) => {
                    self.store_failed(&error);
                    self.learn_from_others().await;
                    if self.pause(events).await {
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Waits for the pause after a failed call; says whether the process ends.
    async fn pause(&mut self, events: &mut mpsc::Receiver<Event>) -> bool {
        let until = clock::now() + store::RETRY_PAUSE;
        while clock::now() < until {
            let left = until.saturating_duration_since(clock::now()).min(TICK);
            tokio::select! {
                Some(event) = events.recv() => { self.handle(event); }
                () = timer::sleep(left) => {}
            }
            if self.tick() {
                return true;
            }
        }
        false
    }

    /// Whether this box watches the store for its region. One that the store does not show yet cannot
    /// know who else there is; when all boxes start at once, the seeds watch until they are shown.
    fn watches(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        if !self.facts.is_listed(&self.own.name) {
            return self.is_seed();
        }
        watchers::watches(&self.own, snapshot.boxes.iter())
    }

    /// Whether other boxes ask this one when they start.
    fn is_seed(&self) -> bool {
        let settings = &self.shared.settings;
        settings.seeds.is_empty() || settings.seeds.contains(&settings.listen.handover)
    }

    /// Notes whether this box watches, and says so in the log.
    fn note_watching(&mut self, watching: bool) {
        if self.watching != watching {
            self.watching = watching;
            log::info!("event=watching watching={watching}");
        }
    }

    /// Place in the store's history of what is known from there; other boxes may have said that nothing
    /// has changed since the last call.
    fn position(&self) -> Position {
        lock(&self.shared.freshness).version().position
    }

    /// The store came back from an older copy then: what is known, up to `before`, is of a history that it no
    /// longer has.
    fn begin_era(&mut self, at: Instant, before: Position, position: Position) {
        log::warn!("event=store_restored position={position} before={before}");
        self.shared.counters.count(Counter::StoreRestored);
        self.facts.store_is_restored(at);
        self.tell_store_is_back();
    }

    fn store_failed(&mut self, error: &PlatformError) {
        if self.store_away_since.is_none() {
            log::warn!("event=store_lost error=\"{error}\"");
            let now = clock::now();
            self.store_away_since = Some(now);
            self.look_at = Some(now + store::RETRY_PAUSE);
        }
    }

    fn store_answered(&mut self) {
        if let Some(since) = self.store_away_since.take() {
            let now = clock::now();
            let away = now.saturating_duration_since(since);
            log::info!("event=store_regained away_ms={}", away.as_millis());
            self.facts.store_is_back(now);
            if away >= OUTAGE {
                self.tell_store_is_back();
            }
            self.look_at = None;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Stop => self.begin_stop(),
            Event::Reload => log::info!("event=reload settings=\"count from the next start\""),
            Event::StoreBack => self.facts.store_is_back(clock::now()),
            // Boxes that start together read the store before the others' records are in it. The later
            // one of any two finds the other by this, and the other hears it; without, two of them that
            // lost the store right after their start gave a cold server 28 requests in a second.
            Event::RecordWritten => self.look_at = Some(clock::now()),
        }
    }

    fn begin_stop(&mut self) {
        let before = self.drain.stage();
        let stage = self.drain.handle(drain::Event::Stop(clock::now()));
        if stage != before {
            log::info!("event=stop_requested stage={stage:?}");
            self.own.leaving = true;
            self.record.send_replace(self.own.clone());
            self.publish();
        }
    }

    /// What passes with time; says whether the process ends.
    fn tick(&mut self) -> bool {
        let now = clock::now();
        let grown = self.fresh && now >= self.started_at + FRESH;
        let new = self.keep_heard(now);
        let entry = |life| self.facts.departure_entry(life);
        let back = lock(&self.shared.departures).tick(entry, now);
        if self.facts.expire(now) || grown || new || back {
            self.fresh &= !grown;
            self.publish();
        }
        let before = self.drain.stage();
        if before == Stage::Serving {
            return false;
        }
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let stage = self.drain.handle(drain::Event::Tick { now, in_flight });
        if stage != before {
            log::info!("event=stop_stage stage={stage:?} in_flight={in_flight}");
            if stage == Stage::Closing {
                // A traffic thread that has ended need not be told.
                let _ = self.stop.send(Stop::Gently);
            }
            self.publish();
        }
        stage.is_finished()
    }

    /// Boxes that say something count, though the store does not, or no longer, show them. Says
    /// whether one is new.
    fn keep_heard(&mut self, now: Instant) -> bool {
        let unlisted = lock(&self.shared.unlisted);
        let beside = unlisted.neighbors().filter(|other| other.region == self.own.region);
        let beside = beside.map(|other| other.box_hash);
        let new = self.facts.hear_boxes(lock(&self.shared.loads).senders().chain(beside), now);
        let presence = lock(&self.shared.presence);
        self.facts.keep_lost(|name| presence.is_heard(name, now), now);
        new
    }

    /// Publishes what is known to traffic.
    fn publish(&mut self) {
        let settings = &self.shared.settings;
        let view = View {
            own: &self.own,
            fresh: self.fresh,
            cold_excess: settings.cold_excess,
            cold_slack: settings.cold_slack,
        };
        let sharers = self.facts.sharers(&view).len();
        let fleet = self.facts.fleet(&view);
        let now = clock::now();
        let departures = lock(&self.shared.departures);
        self.facts.set_leaving(|life| departures.leaves(life));
        drop(departures);
        let mut known = self.facts.known(&view);
        if let Some(routing) = &self.facts.routing {
            let mut services = lock(&self.shared.services);
            services.retain(|name, _| routing.services.contains_key(name));
            for (name, service) in &routing.services {
                let state = services.entry(name.clone()).or_insert_with(|| Service {
                    placement: Placement::new(self.started_at),
                    budget: RetryBudget::new(settings.retries, now),
                });
                let servers = known.remove(name).unwrap_or_default();
                state.placement.update(servers, sharers, service, now);
                // Under the lock of the services: a word that comes meanwhile is set after this.
                let departures = lock(&self.shared.departures);
                state.placement.set_leaving(|life| departures.leaves(life));
            }
        }
        let (boxes, lost) = (self.facts.others(&self.own), self.facts.lost(&self.own));
        let listed = boxes.iter().chain(&lost).chain([&self.own]);
        let listed = listed.map(|record| presence::box_hash(&record.name)).collect();
        lock(&self.shared.unlisted).list(listed);
        self.shared.snapshot.store(Arc::new(Snapshot {
            routing: self.facts.routing.clone(),
            boxes,
            lost,
            fleet,
            slots: self.facts.slots(),
            servers: self.facts.located(),
            stage: self.drain.stage(),
        }));
    }
}
