//! Reads the store and follows its changes.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::mpsc;

use super::Control;
use super::Event;
use crate::coordination::freshness::LOOK_AGAIN;
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
const ALL_KEYS: &str = "";
/// Longest wait of a watch. Each return costs a call. One whose connection died unnoticed is given
/// up earlier: when another box is ahead, or when no box has a word of the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of the store's reading calls that watches of all boxes may take while changes come close
/// together; those within the pause that follows from it cost one call.
const WATCH_READ_SHARE: f64 = 0.01;
/// Longest such pause, as a part of the time within which changes must count: a lost call leaves
/// time for another.
const MAX_WATCH_GAP_SHARE: f64 = 0.3;

/// Shortest such pause. Changes that come together, as when boxes are restarted one after the other,
/// cost one call of each box that watches.
const MIN_WATCH_GAP: Duration = Duration::from_millis(200);

/// A call to the store that follows its changes.
type ChangesCall = Pin<Box<dyn Future<Output = Result<Told, PlatformError>>>>;

/// Calls to the store that read all that it holds.
type FullReadCall = Pin<Box<dyn Future<Output = Result<FullState, PlatformError>>>>;

/// What the store has told.
enum StoreAnswer {
    /// Changes.
    Incremental(Told),
    /// All that it holds.
    Full(FullState),
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerEffect {
    /// Nothing new.
    Unchanged,
    /// Changes, or all that there is.
    Changed,
    /// The changes since what is known can't be told: all is to be read.
    Superseded,
}

/// What a box waits for from the store.
enum PendingCall {
    /// Nothing: other boxes tell it, or the next call is not due.
    Idle,
    /// Changes, as they come.
    Watch(ChangesCall),
    /// Changes that there are already.
    Poll(ChangesCall),
    /// All that there is.
    FullRead(FullReadCall),
}

/// All that the store holds.
struct FullState {
    items: Vec<Item>,
    /// Place in the history from which on changes are to be watched for.
    position: Position,
}

/// Reads all that the store holds, in the newest era that is known. Never a stale read, which would cost a
/// tenth: while the store forgets its history these are seconds old, and a box that starts would send to a
/// failure domain that was evacuated longer ago than it may.
async fn read_full_state<A: Adapter>(
    store: store::Client<A>,
    known_era: Era,
) -> Result<FullState, PlatformError> {
    let mut after = None;
    let mut oldest: Option<Position> = None;
    let mut all_items = Vec::new();
    loop {
        let prefix = ALL_KEYS.to_owned();
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
        all_items.extend(items);
        if !more || after.is_none() {
            return Ok(FullState { items: all_items, position });
        }
    }
}

impl<A: Adapter> Control<A> {
    /// Reads all that the store holds, and waits for it.
    pub(super) async fn load_full_state(&mut self) -> Result<(), PlatformError> {
        let full_state = read_full_state(self.store.clone(), self.position().era).await?;
        self.apply_full_state(full_state);
        Ok(())
    }

    fn apply_full_state(&mut self, FullState { items, position }: FullState) {
        self.note_store_success();
        self.replace_state(items, position);
        self.mark_current();
        self.publish();
        self.shared.region_update.notify_one();
    }

    /// Takes in the whole state at a place in the history; what it does not show is gone.
    fn replace_state(&mut self, items: Vec<Item>, position: Position) {
        let before = self.position();
        if before.era != position.era && self.cluster_state.routing.is_some() {
            self.begin_era(clock::now(), before, position);
        }
        let listed_hashes = items.iter().map(|item| replica::key_hash(&item.key)).collect();
        let removed = lock(&self.shared.replica).keys_not_in(&listed_hashes);
        removed.into_iter().for_each(|key| self.apply_change(Change::Removed(key)));
        let mut seen_subjects = BTreeSet::new();
        let mut boxes = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for item in items {
            match item.key.strip_prefix(BOXES) {
                Some(name) => boxes.insert(name.to_owned()),
                None => seen_subjects.insert(self.shared.adapter.subject(&item.key)),
            };
            keys.insert(item.key.clone());
            self.apply_item(item);
        }
        self.cluster_state.retain_listed(&seen_subjects, &boxes, clock::now());
        let mut replica = lock(&self.shared.replica);
        replica.retain_keys(&keys);
        replica.advance_to(position);
        log::info!("event=state_read position={position} before={before} keys={}", keys.len());
    }

    /// Follows changes, as the store or other boxes tell them, until the process ends.
    pub(super) async fn run_sync(&mut self, events: &mut mpsc::Receiver<Event>) {
        let mut pending = PendingCall::Idle;
        let mut last_change_at: Option<Instant> = None;
        let mut next_draw_at = clock::now();
        loop {
            let now = clock::now();
            if let Some(address) = self.newer_peer(now) {
                // A watch that has not told by now has died.
                pending = PendingCall::Idle;
                self.fetch_state_from(address).await;
            }
            self.discover_peers(now).await;
            let mut poll_now = self.take_due_check(now);
            if now >= next_draw_at {
                poll_now |= self.draw_poll();
                next_draw_at = now + LOOK_AGAIN;
            }
            let watching = self.store_down_since.is_none() && self.should_watch();
            self.set_watching(watching);
            pending = match pending {
                PendingCall::Idle | PendingCall::Watch(_)
                    if (watching || poll_now) && self.is_superseded() =>
                {
                    self.start_full_read()
                }
                PendingCall::Idle | PendingCall::Watch(_) if poll_now => self.start_poll(),
                PendingCall::Idle
                    if watching && last_change_at.is_none_or(|at| now >= at + self.watch_gap()) =>
                {
                    self.start_watch()
                }
                PendingCall::Watch(_) if !watching => PendingCall::Idle,
                as_before => as_before,
            };
            let tick = if watching { self.watch_gap().min(LOOK_AGAIN) } else { LOOK_AGAIN };
            let answer = tokio::select! {
                answer = pending.answer() => Some(answer),
                Some(event) = events.recv() => {
                    self.handle_event(event);
                    None
                }
                () = self.shared.peer_ahead.notified() => None,
                () = timer::sleep(tick) => None,
            };
            if let Some(answer) = answer {
                let effect = self.apply_answer(answer);
                last_change_at = (effect != AnswerEffect::Unchanged).then(clock::now);
                pending = match effect {
                    AnswerEffect::Superseded => self.start_full_read(),
                    AnswerEffect::Unchanged | AnswerEffect::Changed => PendingCall::Idle,
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
        freshness.hear_era(self.store.era());
        freshness.is_superseded()
    }

    /// A call that tells changes as they come.
    fn start_watch(&self) -> PendingCall {
        PendingCall::Watch(self.call_for_changes(WATCH_TIMEOUT))
    }

    /// A call that tells at once whether there are changes.
    fn start_poll(&self) -> PendingCall {
        PendingCall::Poll(self.call_for_changes(Duration::ZERO))
    }

    fn call_for_changes(&self, wait: Duration) -> ChangesCall {
        let prefix = ALL_KEYS.to_owned();
        let operation = Operation::Watch { prefix, after: self.position().revision, wait };
        let store = self.store.clone();
        Box::pin(async move { store.read(&operation).await })
    }

    /// A call, or several, that tells all that the store holds.
    fn start_full_read(&self) -> PendingCall {
        PendingCall::FullRead(Box::pin(read_full_state(self.store.clone(), self.position().era)))
    }

    /// Takes in what the store answered; says what came of it.
    fn apply_answer(&mut self, answer: Result<StoreAnswer, PlatformError>) -> AnswerEffect {
        let known = self.position();
        match answer {
            Ok(StoreAnswer::Full(full_state)) => {
                self.apply_full_state(full_state);
                AnswerEffect::Changed
            }
            Ok(StoreAnswer::Incremental(Told { era, .. }))
                if era.is_some_and(|era| era != known.era) =>
            {
                AnswerEffect::Superseded
            }
            Ok(StoreAnswer::Incremental(Told {
                answer: Answer::Changes { changes, revision },
                ..
            })) => {
                self.note_store_success();
                let has_changes = !changes.is_empty();
                changes.into_iter().for_each(|change| self.apply_change(change));
                lock(&self.shared.replica).advance_to(Position { revision, ..known });
                self.mark_current();
                if !has_changes {
                    return AnswerEffect::Unchanged;
                }
                self.publish();
                self.shared.region_update.notify_one();
                AnswerEffect::Changed
            }
            Ok(StoreAnswer::Incremental(_)) | Err(PlatformError::HistoryGone) => {
                log::warn!("event=history_gone after={known}");
                AnswerEffect::Superseded
            }
            Err(error) => {
                self.note_store_failure(&error);
                AnswerEffect::Unchanged
            }
        }
    }

    /// The state is the store's now.
    fn mark_current(&self) {
        let version = lock(&self.shared.replica).version();
        let now = clock::now();
        lock(&self.shared.freshness).taken(version, Some(now), now);
    }

    /// Whether this box should look for changes: a watch that waits may have died unnoticed, and no
    /// box has said of late that there are none. Watches that had died at all boxes at once hid an
    /// evacuation for 11 s. It costs four calls a second of all boxes together: 206 became 381 on a
    /// calm day of nine boxes, 1,350 became 1,571 on one of 69.
    fn draw_poll(&self) -> bool {
        let fleet_size = self.shared.snapshot.load().fleet_size;
        let freshness = lock(&self.shared.freshness);
        let probability = match self.store_down_since {
            Some(_) => freshness.knock(fleet_size),
            None => freshness.look(fleet_size, clock::now()),
        };
        rand::rng().random::<f64>() < probability
    }

    /// Whether the store is to be asked now: this box has just written its record, or a call failed a
    /// short while ago for the first time. A broken connection is no outage, and a box that watches
    /// would be away until it is drawn, 7 s on average among 295.
    fn take_due_check(&mut self, now: Instant) -> bool {
        self.next_check_at.take_if(|at| now >= *at).is_some()
    }

    /// Least time from one watch to the next.
    pub(super) fn watch_gap(&self) -> Duration {
        let settings = &self.shared.settings;
        let watching = watchers::most(&self.shared.snapshot.load().boxes) as f64;
        let rate_gap = watching / (settings.store_reads * WATCH_READ_SHARE).max(1.0);
        let max_gap = settings.propagation_limit.mul_f64(MAX_WATCH_GAP_SHARE);
        Duration::from_secs_f64(rate_gap).max(MIN_WATCH_GAP).min(max_gap)
    }

    /// Takes in a change of a key.
    pub(super) fn apply_change(&mut self, change: Change) {
        let now = clock::now();
        match change {
            Change::Written(item) => self.apply_item(item),
            Change::Removed(key) if key.starts_with(RATES) => {
                self.remove_from_replica(&key);
                throttle::remove_stored_rate(&self.shared, &key);
            }
            Change::Removed(key) if key.starts_with(QUARANTINE) => {
                self.remove_from_replica(&key);
                if self.cluster_state.is_settling(now) {
                    quarantine::rewrite_lost_verdict(&self.shared, &key);
                }
            }
            Change::Removed(key) => match self.remove_from_replica(&key).strip_prefix(BOXES) {
                Some(name) if name == self.own_record.name => {
                    log::warn!("event=record_lost reason=\"the store has removed it\"");
                    self.record_sender.send_replace(self.own_record.clone());
                }
                Some(name) => self.cluster_state.remove_box(name, now),
                None => self.cluster_state.remove(&self.shared.adapter.subject(&key), now),
            },
        }
    }

    fn remove_from_replica<'a>(&self, key: &'a str) -> &'a str {
        lock(&self.shared.replica).remove(key);
        key
    }

    /// Writes this box's record again if a store that came back from an older copy shows an earlier one.
    fn rewrite_outdated_record(&mut self, record: &BoxRecord) {
        if record.name == self.own_record.name
            && *record != self.own_record
            && self.cluster_state.is_settling(clock::now())
        {
            log::warn!("event=record_lost reason=\"the store shows an older one\"");
            self.record_sender.send_replace(self.own_record.clone());
        }
    }

    /// Takes in a key that was written.
    fn apply_item(&mut self, item: Item) {
        lock(&self.shared.replica).insert(&item);
        if let Some((region, name)) =
            item.key.strip_prefix(ROSTER).and_then(|entry| entry.split_once('/'))
        {
            self.cluster_state.apply_roster_entry(region, name);
            return;
        }
        if item.key.starts_with(BOXES) {
            match serde_json::from_slice::<BoxRecord>(&item.value) {
                Ok(record) => {
                    self.rewrite_outdated_record(&record);
                    self.cluster_state.apply_box(record);
                }
                Err(error) => self.unreadable_keys.note(&item.key, &error.to_string()),
            }
            return;
        }
        if item.key.starts_with(QUARANTINE) {
            if let Err(error) = quarantine::apply_stored_verdict(&self.shared, &item.value) {
                self.unreadable_keys.note(&item.key, &error.to_string());
            }
            return;
        }
        if item.key.starts_with(RATES) {
            if let Err(error) = throttle::apply_stored_rate(&self.shared, &item.value) {
                self.unreadable_keys.note(&item.key, &error.to_string());
            }
            return;
        }
        let subject = self.shared.adapter.subject(&item.key);
        if subject == Subject::Other {
            return;
        }
        match self.shared.adapter.fact(&subject, &item.value) {
            Ok(Some(fact)) => {
                self.cluster_state.apply(fact, item.revision, clock::now());
            }
            Ok(None) => {}
            Err(error) => {
                if let Subject::Server(id) = &subject {
                    self.cluster_state.discard_server(id);
                }
                self.unreadable_keys.note(&item.key, &error);
            }
        }
    }
}

impl PendingCall {
    /// The store's answer; never one if there is no call.
    async fn answer(&mut self) -> Result<StoreAnswer, PlatformError> {
        match self {
            PendingCall::Idle => std::future::pending().await,
            PendingCall::Watch(call) | PendingCall::Poll(call) => {
                call.await.map(StoreAnswer::Incremental)
            }
            PendingCall::FullRead(read_call) => read_call.await.map(StoreAnswer::Full),
        }
    }
}
