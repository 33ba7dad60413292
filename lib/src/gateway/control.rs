//! The control thread: it keeps this box's record in the store, follows what
//! is written there, and publishes what follows from it.
//!
//! The store may be away for as long as it likes: what was known stays in
//! force, and is read afresh once it answers again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::facts::Facts;
use super::facts::View;
use super::handover;
use super::lease;
use super::shared::Service;
use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::drain;
use crate::coordination::drain::Drain;
use crate::coordination::drain::Stage;
use crate::coordination::mix::Division;
use crate::coordination::mix::Mix;
use crate::coordination::placement::Placement;
use crate::coordination::retries::Budget;
use crate::daemon::Ending;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::Change;
use crate::protocol::adapter::Item;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;
use crate::transport::listen::Stop;
use crate::transport::store;

/// Beginning of the keys of boxes.
pub const BOXES: &str = "copperweir/boxes/";
/// Beginning of the keys that say which boxes there ever were; they stay when a box is gone.
pub const ROSTER: &str = "copperweir/roster/";
/// How long a box counts as fresh: others that started with it are in the store by then.
const FRESH: Duration = Duration::from_secs(10);
/// All keys are followed by one watch: each change wakes a box once.
const EVERYTHING: &str = "";
/// Longest wait of a watch. Each return costs a call; a connection that died unnoticed
/// is found by then at the latest, and by a failed renewal much earlier.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Part of the store's reading calls that watches of all boxes may take while changes come close
/// together; those within the pause that follows from it cost one call.
const WATCH_PART: f64 = 0.01;
/// Longest such pause, as a part of the time within which changes must count: a lost call leaves
/// time for another.
const LONGEST_WATCH_GAP: f64 = 0.3;
/// Pause after a failed call.
pub const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between looks at what has been missing for long enough and at a stop's progress.
const TICK: Duration = Duration::from_millis(200);
/// How long a leaving box still takes new connections: callers are told of it for a while yet.
/// After that, whoever connects is refused and goes elsewhere at once.
const STOP_GRACE: Duration = Duration::from_millis(2500);

/// Longest wait at the end for answers that are already written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// What the control thread handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The operator asks to stop; a second time means at once.
    Stop,
    /// The settings may have changed.
    Reload,
    /// The store answers again after it did not.
    StoreBack,
    /// Another holder of the store's lease took this box's record away.
    RecordLost,
}

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
    started_at: Instant,
    fresh: bool,
}

/// How a span of following the store ended.
enum Followed {
    /// The history is gone, or a whole read is needed for another reason.
    ReadAgain,
    /// The process ends.
    Ended,
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
        let tuning = drain::Tuning { grace: STOP_GRACE, limit: shared.settings.stop_limit };
        let (record, _) = watch::channel(own.clone());
        Control {
            shared,
            store,
            facts,
            own,
            record,
            drain: Drain::new(tuning),
            stop,
            store_away_since: None,
            started_at: Instant::now(),
            fresh: true,
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
        loop {
            let read = self.read_all().await;
            let revision = match read {
                Ok(revision) => {
                    self.store_answered();
                    self.publish();
                    revision
                }
                Err(error) => {
                    self.store_failed(&error);
                    self.learn_from_others().await;
                    if self.pause(&mut events).await {
                        break;
                    }
                    continue;
                }
            };
            match self.follow(revision, &mut events).await {
                Followed::ReadAgain => {}
                Followed::Ended => break,
            }
        }
        let stage = self.drain.stage();
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let ending = match stage {
            Stage::Done => Ending::Done,
            _ => Ending::Cut(in_flight),
        };
        if stage == Stage::Done
            && tokio::time::timeout(FLUSH_TIMEOUT, self.stop.closed()).await.is_err()
        {
            log::warn!("event=connections_cut reason=\"answers were not read in time\"");
        }
        // A traffic thread that has ended need not be told.
        let _ = self.stop.send(Stop::Now);
        drop(self.record);
        if tokio::time::timeout(FLUSH_TIMEOUT, keeper).await.is_err() {
            log::info!("event=lease_not_ended error=\"no answer in time\"");
        }
        log::info!("event=stopped stage={stage:?} in_flight={in_flight}");
        ending
    }

    /// Waits for the pause after a failed call; says whether the process ends.
    async fn pause(&mut self, events: &mut mpsc::Receiver<Event>) -> bool {
        let until = Instant::now() + RETRY_PAUSE;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).min(TICK);
            tokio::select! {
                Some(event) = events.recv() => { self.handle(event); }
                () = tokio::time::sleep(left) => {}
            }
            if self.tick() {
                return true;
            }
        }
        false
    }

    /// A box that knows nothing yet asks others for what they had from the store.
    async fn learn_from_others(&mut self) {
        if self.facts.routing.is_some() {
            return;
        }
        let seeds = &self.shared.settings.seeds;
        let Some((from, items)) = handover::ask(&self.shared.peers, seeds).await else { return };
        log::info!("event=learned_from_box seed={from} items={}", items.len());
        for (key, value) in items {
            self.written(Item { key, value, revision: 0 });
        }
        self.publish();
    }

    async fn read_all(&mut self) -> Result<Revision, PlatformError> {
        let mut after = None;
        let mut first_revision = None;
        let mut seen = BTreeSet::new();
        let mut boxes = BTreeSet::new();
        let mut keys = BTreeSet::new();
        loop {
            let prefix = EVERYTHING.to_owned();
            let answer = self.store.call(&Operation::Range { prefix, after }).await?;
            let Answer::Page { items, more, revision } = answer else {
                return Err(PlatformError::Malformed("not a page".to_owned()));
            };
            after = items.last().map(|item| item.key.clone());
            // Pages are no snapshot: changes since the first one are watched for.
            let revision = *first_revision.get_or_insert(revision);
            for item in items {
                match item.key.strip_prefix(BOXES) {
                    Some(name) => boxes.insert(name.to_owned()),
                    None => seen.insert(self.shared.adapter.subject(&item.key)),
                };
                keys.insert(item.key.clone());
                self.written(item);
            }
            if !more || after.is_none() {
                self.facts.keep_only(&seen, &boxes, Instant::now());
                lock(&self.shared.items).retain(|key, _| keys.contains(key));
                return Ok(revision);
            }
        }
    }

    /// Follows changes until they are no longer known.
    async fn follow(
        &mut self,
        mut revision: Revision,
        events: &mut mpsc::Receiver<Event>,
    ) -> Followed {
        let mut asked_at: Option<Instant> = None;
        loop {
            let watch = Operation::Watch {
                prefix: EVERYTHING.to_owned(),
                after: revision,
                wait: WATCH_WAIT,
            };
            let store = self.store.clone();
            let not_before = asked_at.map(|asked| asked + self.watch_gap());
            let call = async {
                if let Some(instant) = not_before {
                    tokio::time::sleep_until(instant.into()).await;
                }
                store.call(&watch).await
            };
            tokio::pin!(call);
            let answer = loop {
                tokio::select! {
                    answer = &mut call => break answer,
                    Some(event) = events.recv() => {
                        self.handle(event);
                        if event == Event::StoreBack {
                            return Followed::ReadAgain;
                        }
                    }
                    () = tokio::time::sleep(TICK) => {}
                }
                if self.tick() {
                    return Followed::Ended;
                }
            };
            match answer {
                Ok(Answer::Changes { changes, revision: newest }) => {
                    asked_at = Some(Instant::now());
                    self.store_answered();
                    revision = newest;
                    if !changes.is_empty() {
                        changes.into_iter().for_each(|change| self.changed(change));
                        self.publish();
                    }
                }
                Ok(_) => return Followed::ReadAgain,
                Err(PlatformError::HistoryGone) => {
                    log::warn!("event=history_gone after={revision}");
                    return Followed::ReadAgain;
                }
                Err(error) => {
                    self.store_failed(&error);
                    if self.pause(events).await {
                        return Followed::Ended;
                    }
                    return Followed::ReadAgain;
                }
            }
        }
    }

    /// Least time from one watch to the next.
    fn watch_gap(&self) -> Duration {
        let settings = &self.shared.settings;
        let fleet = self.shared.snapshot.load().fleet as f64;
        let by_rate = fleet / (settings.store_reads * WATCH_PART).max(1.0);
        Duration::from_secs_f64(by_rate).min(settings.follow_within.mul_f64(LONGEST_WATCH_GAP))
    }

    fn changed(&mut self, change: Change) {
        let now = Instant::now();
        match change {
            Change::Written(item) => self.written(item),
            Change::Removed(key) => match self.forget_item(&key).strip_prefix(BOXES) {
                Some(name) if name == self.own.name => {
                    log::warn!("event=record_lost reason=\"the store has removed it\"");
                    self.record.send_replace(self.own.clone());
                }
                Some(name) => self.facts.forget_box(name, now),
                None => self.facts.forget(&self.shared.adapter.subject(&key), now),
            },
        }
    }

    fn forget_item<'a>(&self, key: &'a str) -> &'a str {
        lock(&self.shared.items).remove(key);
        key
    }

    fn written(&mut self, item: Item) {
        lock(&self.shared.items).insert(item.key.clone(), item.value.clone());
        if let Some((region, name)) =
            item.key.strip_prefix(ROSTER).and_then(|entry| entry.split_once('/'))
        {
            self.facts.learn_roster(region, name);
            return;
        }
        if item.key.starts_with(BOXES) {
            match serde_json::from_slice::<BoxRecord>(&item.value) {
                Ok(record) => self.facts.learn_box(record),
                Err(error) => log::error!("event=unreadable key={} error=\"{error}\"", item.key),
            }
            return;
        }
        let subject = self.shared.adapter.subject(&item.key);
        if subject == Subject::Other {
            return;
        }
        match self.shared.adapter.fact(&subject, &item.value) {
            Ok(Some(fact)) => {
                self.facts.learn(fact, Instant::now());
            }
            Ok(None) => {}
            Err(error) => log::error!("event=unreadable key={} error=\"{error}\"", item.key),
        }
    }

    fn store_failed(&mut self, error: &PlatformError) {
        if self.store_away_since.is_none() {
            log::warn!("event=store_lost error=\"{error}\"");
            self.store_away_since = Some(Instant::now());
        }
    }

    fn store_answered(&mut self) {
        if let Some(since) = self.store_away_since.take() {
            let now = Instant::now();
            let away = now.saturating_duration_since(since).as_millis();
            log::info!("event=store_regained away_ms={away}");
            self.facts.store_is_back(now);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Stop => self.begin_stop(),
            Event::Reload => log::info!("event=reload settings=\"count from the next start\""),
            Event::StoreBack => self.facts.store_is_back(Instant::now()),
            Event::RecordLost => {}
        }
    }

    fn begin_stop(&mut self) {
        let before = self.drain.stage();
        let stage = self.drain.handle(drain::Event::Stop(Instant::now()));
        if stage != before {
            log::info!("event=stop_requested stage={stage:?}");
            self.own.leaving = true;
            self.record.send_replace(self.own.clone());
            self.publish();
        }
    }

    /// What passes with time; says whether the process ends.
    fn tick(&mut self) -> bool {
        let now = Instant::now();
        let grown = self.fresh && now >= self.started_at + FRESH;
        if self.facts.expire(now) || grown {
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
        stage.ended()
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
        let order = self.facts.order();
        let mut known = self.facts.known(&view, &order);
        let sharers = self.facts.sharers(&view).len();
        let fleet = self.facts.fleet(&view);
        let now = Instant::now();
        if let Some(routing) = &self.facts.routing {
            let mut services = lock(&self.shared.services);
            services.retain(|name, _| routing.services.contains_key(name));
            for (name, service) in &routing.services {
                let state = services.entry(name.clone()).or_insert_with(|| Service {
                    placement: Placement::default(),
                    mix: Mix::default(),
                    division: Division::default(),
                    budget: Budget::new(settings.retries, now),
                });
                let servers = known.remove(name).unwrap_or_default();
                state.placement.update(servers, sharers, service);
            }
        }
        self.shared.snapshot.store(Arc::new(Snapshot {
            routing: self.facts.routing.clone(),
            boxes: self.facts.others(&self.own),
            fleet,
            slots: self.facts.slots(),
            order,
            stage: self.drain.stage(),
        }));
    }
}

/// The key that says that there is a box.
pub fn listed(record: &BoxRecord) -> String {
    format!("{ROSTER}{}/{}", record.region, record.name)
}

/// The store's key and value of a box's record.
pub fn stored(record: &BoxRecord) -> (String, Bytes) {
    let value = serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("event=unwritable box={} error=\"{error}\"", record.name);
        Vec::new()
    });
    (format!("{BOXES}{}", record.name), Bytes::from(value))
}
