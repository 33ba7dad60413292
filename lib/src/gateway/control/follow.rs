//! Reads the store and follows its changes.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::mpsc;

use super::Control;
use super::Event;
use crate::coordination::freshness::CHECK_INTERVAL;
use crate::coordination::watchers;
use crate::gateway::keys::BOXES;
use crate::gateway::keys::QUARANTINE;
use crate::gateway::keys::RATES;
use crate::gateway::keys::ROSTER;
use crate::gateway::quarantine;
use crate::gateway::replica;
use crate::gateway::shared::lock;
use crate::gateway::throttle;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::Change;
use crate::protocol::adapter::Item;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Era;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::store;
use crate::transport::store::Told;
use crate::transport::timer;

/// All keys are followed by one watch: each change wakes a box once.
const EVERYTHING: &str = "";
/// Longest wait of a watch. Each return costs a call. One whose connection died unnoticed is given
/// up earlier: when another box is ahead, or when no box has a word of the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Part of the store's reading calls that watches of all boxes may take while changes come close
/// together; those within the pause that follows from it cost one call.
const WATCH_PART: f64 = 0.01;
/// Longest such pause, as a part of the time within which changes must count: a lost call leaves
/// time for another.
const LONGEST_WATCH_GAP: f64 = 0.3;

/// Shortest such pause. Changes that come together, as when boxes are restarted one after the other,
/// cost one call of each box that watches.
const SHORTEST_WATCH_GAP: Duration = Duration::from_millis(200);

/// A call to the store that follows its changes.
type Call = Pin<Box<dyn Future<Output = Result<Told, PlatformError>>>>;

/// Calls to the store that read all that it holds.
type Reading = Pin<Box<dyn Future<Output = Result<Whole, PlatformError>>>>;

/// What the store has told.
enum Heard {
    /// Changes.
    Told(Told),
    /// All that it holds.
    Whole(Whole),
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Taken {
    /// Nothing new.
    Nothing,
    /// Changes, or all that there is.
    News,
    /// The changes since what is known can't be told: all is to be read.
    Superseded,
}

/// What a box waits for from the store.
enum Following {
    /// Nothing: other boxes tell it, or the next call is not due.
    Idle,
    /// Changes, as they come.
    Watch(Call),
    /// Changes that there are already.
    Look(Call),
    /// All that there is.
    Read(Reading),
}

/// All that the store holds.
struct Whole {
    items: Vec<Item>,
    /// Place in the history from which on changes are to be watched for.
    position: Position,
}

/// Reads all that the store holds, in the newest era that is known. Never a stale read, which would cost a
/// tenth: while the store forgets its history these are seconds old, and a box that starts would send to a
/// failure domain that was evacuated longer ago than it may.
async fn read_whole<A: Adapter>(
    store: store::Client<A>,
    known_era: Era,
) -> Result<Whole, PlatformError> {
    let mut after = None;
    let mut oldest: Option<Position> = None;
    let mut all = Vec::new();
    loop {
        let prefix = EVERYTHING.to_owned();
        let told = store.read(&Operation::Range { prefix, after }).await?;
        let Answer::Page { items, more, revision } = told.answer else {
            return Err(PlatformError::Malformed("not a page".to_owned()));
        };
        let era = told.era.unwrap_or(known_era);
        if era < store.era() || oldest.is_some_and(|oldest| oldest.era != era) {
            return Err(PlatformError::Lost("the store went back meanwhile".to_owned()));
        }
        let position = Position { era, revision };
        after = items.last().map(|item| item.key.clone());
        // Pages are no snapshot: changes since the oldest one are watched for.
        let position = oldest.map_or(position, |oldest| oldest.min(position));
        oldest = Some(position);
        all.extend(items);
        if !more || after.is_none() {
            return Ok(Whole { items: all, position });
        }
    }
}

impl<A: Adapter> Control<A> {
    /// Reads all that the store holds, and waits for it.
    pub(super) async fn read_all(&mut self) -> Result<(), PlatformError> {
        let whole = read_whole(self.store.clone(), self.position().era).await?;
        self.take_whole(whole);
        Ok(())
    }

    fn take_whole(&mut self, Whole { items, position }: Whole) {
        self.store_answered();
        self.replace(items, position);
        self.followed();
        self.publish();
        self.shared.news.notify_one();
    }

    /// Takes in the whole state at a place in the history; what it does not show is gone.
    fn replace(&mut self, items: Vec<Item>, position: Position) {
        let before = self.position();
        if before.era != position.era && self.facts.routing.is_some() {
            self.begin_era(clock::now(), before, position);
        }
        let shown = items.iter().map(|item| replica::key_hash(&item.key)).collect();
        let gone = lock(&self.shared.replica).keys_not_in(&shown);
        gone.into_iter().for_each(|key| self.changed(Change::Removed(key)));
        let mut seen = BTreeSet::new();
        let mut boxes = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for item in items {
            match item.key.strip_prefix(BOXES) {
                Some(name) => boxes.insert(name.to_owned()),
                None => seen.insert(self.shared.adapter.subject(&item.key)),
            };
            keys.insert(item.key.clone());
            self.written(item);
        }
        self.facts.keep_only(&seen, &boxes, clock::now());
        let mut replica = lock(&self.shared.replica);
        replica.keep_only(&keys);
        replica.reached(position);
        log::info!("event=state_read position={position} before={before} keys={}", keys.len());
    }

    /// Follows changes, as the store or other boxes tell them, until the process ends.
    pub(super) async fn follow(&mut self, events: &mut mpsc::Receiver<Event>) {
        let mut following = Following::Idle;
        let mut asked_at: Option<Instant> = None;
        let mut draw_at = clock::now();
        loop {
            let now = clock::now();
            if let Some(address) = self.ahead(now) {
                // A watch that has not told by now has died.
                following = Following::Idle;
                self.catch_up(address).await;
            }
            self.seek_others(now).await;
            let mut drawn = self.is_due_to_look(now);
            if now >= draw_at {
                drawn |= self.must_look();
                draw_at = now + CHECK_INTERVAL;
            }
            let watching = self.store_away_since.is_none() && self.watches();
            self.note_watching(watching);
            following = match following {
                Following::Idle | Following::Watch(_)
                    if (watching || drawn) && self.is_superseded() =>
                {
                    self.read()
                }
                Following::Idle | Following::Watch(_) if drawn => self.look(),
                Following::Idle
                    if watching && asked_at.is_none_or(|at| now >= at + self.watch_gap()) =>
                {
                    self.watch()
                }
                Following::Watch(_) if !watching => Following::Idle,
                as_before => as_before,
            };
            let tick = if watching { self.watch_gap().min(CHECK_INTERVAL) } else { CHECK_INTERVAL };
            let answer = tokio::select! {
                answer = following.answer() => Some(answer),
                Some(event) = events.recv() => {
                    self.handle(event);
                    None
                }
                () = self.shared.behind.notified() => None,
                () = timer::sleep(tick) => None,
            };
            if let Some(answer) = answer {
                let taken = self.take_in(answer);
                asked_at = (taken != Taken::Nothing).then(clock::now);
                following = match taken {
                    Taken::Superseded => self.read(),
                    Taken::Nothing | Taken::News => Following::Idle,
                };
            }
            if self.tick() {
                return;
            }
        }
    }

    /// Whether a call for changes would be one for those of a history that the store no longer has. It
    /// need not fail: the new history may have passed the revision that is known of the old one.
    pub(super) fn is_superseded(&self) -> bool {
        let mut freshness = lock(&self.shared.freshness);
        freshness.observe_era(self.store.era());
        freshness.is_superseded()
    }

    /// A call that tells changes as they come.
    fn watch(&self) -> Following {
        Following::Watch(self.changes(WATCH_WAIT))
    }

    /// A call that tells at once whether there are changes.
    fn look(&self) -> Following {
        Following::Look(self.changes(Duration::ZERO))
    }

    fn changes(&self, wait: Duration) -> Call {
        let prefix = EVERYTHING.to_owned();
        let operation = Operation::Watch { prefix, after: self.position().revision, wait };
        let store = self.store.clone();
        Box::pin(async move { store.read(&operation).await })
    }

    /// A call, or several, that tells all that the store holds.
    fn read(&self) -> Following {
        Following::Read(Box::pin(read_whole(self.store.clone(), self.position().era)))
    }

    /// Takes in what the store answered; says what came of it.
    fn take_in(&mut self, answer: Result<Heard, PlatformError>) -> Taken {
        let known = self.position();
        match answer {
            Ok(Heard::Whole(whole)) => {
                self.take_whole(whole);
                Taken::News
            }
            Ok(Heard::Told(Told { era, .. })) if era.is_some_and(|era| era != known.era) => {
                Taken::Superseded
            }
            Ok(Heard::Told(Told { answer: Answer::Changes { changes, revision }, .. })) => {
                self.store_answered();
                let changed = !changes.is_empty();
                changes.into_iter().for_each(|change| self.changed(change));
                lock(&self.shared.replica).reached(Position { revision, ..known });
                self.followed();
                if !changed {
                    return Taken::Nothing;
                }
                self.publish();
                self.shared.news.notify_one();
                Taken::News
            }
            Ok(Heard::Told(_)) | Err(PlatformError::HistoryGone) => {
                log::warn!("event=history_gone after={known}");
                Taken::Superseded
            }
            Err(error) => {
                self.store_failed(&error);
                Taken::Nothing
            }
        }
    }

    /// The state is the store's now.
    fn followed(&self) {
        let version = lock(&self.shared.replica).version();
        let now = clock::now();
        lock(&self.shared.freshness).record_state(version, Some(now), now);
    }

    /// Whether this box should look for changes: a watch that waits may have died unnoticed, and no
    /// box has said of late that there are none. Watches that had died at all boxes at once hid an
    /// evacuation for 11 s. It costs four calls a second of all boxes together: 206 became 381 on a
    /// calm day of nine boxes, 1,350 became 1,571 on one of 69.
    fn must_look(&self) -> bool {
        let fleet = self.shared.snapshot.load().fleet;
        let freshness = lock(&self.shared.freshness);
        let likely = match self.store_away_since {
            Some(_) => freshness.reconnect_probability(fleet),
            None => freshness.check_probability(fleet, clock::now()),
        };
        rand::rng().random::<f64>() < likely
    }

    /// Whether the store is to be asked now: this box has just written its record, or a call failed a
    /// short while ago for the first time. A broken connection is no outage, and a box that watches
    /// would be away until it is drawn, 7 s on average among 295.
    fn is_due_to_look(&mut self, now: Instant) -> bool {
        self.look_at.take_if(|at| now >= *at).is_some()
    }

    /// Least time from one watch to the next.
    pub(super) fn watch_gap(&self) -> Duration {
        let settings = &self.shared.settings;
        let watching = watchers::max_watchers(&self.shared.snapshot.load().boxes) as f64;
        let by_rate = watching / (settings.store_reads * WATCH_PART).max(1.0);
        let longest = settings.follow_within.mul_f64(LONGEST_WATCH_GAP);
        Duration::from_secs_f64(by_rate).max(SHORTEST_WATCH_GAP).min(longest)
    }

    /// Takes in a change of a key.
    pub(super) fn changed(&mut self, change: Change) {
        let now = clock::now();
        match change {
            Change::Written(item) => self.written(item),
            Change::Removed(key) if key.starts_with(RATES) => {
                self.forget_item(&key);
                throttle::forgotten(&self.shared, &key);
            }
            Change::Removed(key) if key.starts_with(QUARANTINE) => {
                self.forget_item(&key);
                if self.facts.is_settling(now) {
                    quarantine::lost(&self.shared, &key);
                }
            }
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
        lock(&self.shared.replica).remove(key);
        key
    }

    /// Writes this box's record again if a store that came back from an older copy shows an earlier one.
    fn reassert_record(&mut self, record: &BoxRecord) {
        if record.name == self.own.name
            && *record != self.own
            && self.facts.is_settling(clock::now())
        {
            log::warn!("event=record_lost reason=\"the store shows an older one\"");
            self.record.send_replace(self.own.clone());
        }
    }

    /// Takes in a key that was written.
    fn written(&mut self, item: Item) {
        lock(&self.shared.replica).insert(&item);
        if let Some((region, name)) =
            item.key.strip_prefix(ROSTER).and_then(|entry| entry.split_once('/'))
        {
            self.facts.learn_roster(region, name);
            return;
        }
        if item.key.starts_with(BOXES) {
            match serde_json::from_slice::<BoxRecord>(&item.value) {
                Ok(record) => {
                    self.reassert_record(&record);
                    self.facts.learn_box(record);
                }
                Err(error) => self.unreadable.note(&item.key, &error.to_string()),
            }
            return;
        }
        if item.key.starts_with(QUARANTINE) {
            if let Err(error) = quarantine::stored(&self.shared, &item.value) {
                self.unreadable.note(&item.key, &error.to_string());
            }
            return;
        }
        if item.key.starts_with(RATES) {
            if let Err(error) = throttle::stored(&self.shared, &item.value) {
                self.unreadable.note(&item.key, &error.to_string());
            }
            return;
        }
        let subject = self.shared.adapter.subject(&item.key);
        if subject == Subject::Other {
            return;
        }
        match self.shared.adapter.fact(&subject, &item.value) {
            Ok(Some(fact)) => {
                self.facts.learn(fact, item.revision, clock::now());
            }
            Ok(None) => {}
            Err(error) => {
                if let Subject::Server(id) = &subject {
                    self.facts.disown_server(id);
                }
                self.unreadable.note(&item.key, &error);
            }
        }
    }
}

impl Following {
    /// The store's answer; never one if there is no call.
    async fn answer(&mut self) -> Result<Heard, PlatformError> {
        match self {
            Following::Idle => std::future::pending().await,
            Following::Watch(call) | Following::Look(call) => call.await.map(Heard::Told),
            Following::Read(reading) => reading.await.map(Heard::Whole),
        }
    }
}
