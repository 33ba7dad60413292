//! Reads the store and follows its changes.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::mpsc;

use super::BOXES;
use super::Control;
use super::Event;
use super::ROSTER;
use crate::coordination::freshness::LOOK_AGAIN;
use crate::gateway::shared::lock;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::Change;
use crate::protocol::adapter::Item;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;

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

/// How a span of following the store ended.
pub(super) enum Followed {
    /// The history is gone, or a whole read is needed for another reason.
    ReadAgain,
    /// The process ends.
    Ended,
}

impl<A: Adapter> Control<A> {
    /// Reads all that the store holds; gives the revision to follow it from.
    pub(super) async fn read_all(&mut self) -> Result<Revision, PlatformError> {
        let mut after = None;
        let mut first_revision = None;
        let mut all = Vec::new();
        loop {
            let prefix = EVERYTHING.to_owned();
            let answer = self.store.call(&Operation::Range { prefix, after }).await?;
            let Answer::Page { items, more, revision } = answer else {
                return Err(PlatformError::Malformed("not a page".to_owned()));
            };
            after = items.last().map(|item| item.key.clone());
            // Pages are no snapshot: changes since the first one are watched for.
            let revision = *first_revision.get_or_insert(revision);
            all.extend(items);
            if !more || after.is_none() {
                self.replace(all, revision);
                return Ok(revision);
            }
        }
    }

    /// Takes in the whole state at a revision; what it does not show is gone.
    fn replace(&mut self, items: Vec<Item>, revision: Revision) {
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
        self.facts.keep_only(&seen, &boxes, Instant::now());
        let mut replica = lock(&self.shared.replica);
        replica.keep_only(&keys);
        replica.reached(revision);
    }

    /// Follows changes until they are no longer known.
    pub(super) async fn follow(
        &mut self,
        mut revision: Revision,
        events: &mut mpsc::Receiver<Event>,
    ) -> Followed {
        let mut asked_at: Option<Instant> = None;
        let mut looking = false;
        self.followed();
        loop {
            // What a watch would tell is told at once if it need not wait.
            let wait = if looking { Duration::ZERO } else { WATCH_WAIT };
            let watch = Operation::Watch { prefix: EVERYTHING.to_owned(), after: revision, wait };
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
                    answer = &mut call => break Some(answer),
                    Some(event) = events.recv() => {
                        self.handle(event);
                        if event == Event::StoreBack {
                            return Followed::ReadAgain;
                        }
                    }
                    () = tokio::time::sleep(LOOK_AGAIN) => {}
                }
                if self.tick() {
                    return Followed::Ended;
                }
                if self.ahead().is_some() {
                    log::warn!("event=watch_behind after={revision}");
                    return Followed::ReadAgain;
                }
                if !looking && self.must_look() {
                    break None;
                }
            };
            let Some(answer) = answer else {
                looking = true;
                asked_at = None;
                continue;
            };
            looking = false;
            match answer {
                Ok(Answer::Changes { changes, revision: newest }) => {
                    self.store_answered();
                    revision = newest;
                    let changed = !changes.is_empty();
                    asked_at = changed.then(Instant::now);
                    changes.into_iter().for_each(|change| self.changed(change));
                    lock(&self.shared.replica).reached(revision);
                    self.followed();
                    if changed {
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

    /// The state is the store's now.
    fn followed(&self) {
        let version = lock(&self.shared.replica).version();
        let now = Instant::now();
        lock(&self.shared.freshness).taken(version, Some(now), now);
    }

    /// Whether this box should look for changes: a watch that waits may have died unnoticed, and no
    /// box has said of late that there are none. Watches that had died at all boxes at once hid an
    /// evacuation for 11 s. It costs four calls a second of all boxes together: 206 became 381 on a
    /// calm day of nine boxes, 1,350 became 1,571 on one of 69.
    fn must_look(&self) -> bool {
        let fleet = self.shared.snapshot.load().fleet;
        let likely = lock(&self.shared.freshness).look(fleet, Instant::now());
        rand::rng().random::<f64>() < likely
    }

    /// Least time from one watch to the next.
    pub(super) fn watch_gap(&self) -> Duration {
        let settings = &self.shared.settings;
        let fleet = self.shared.snapshot.load().fleet as f64;
        let by_rate = fleet / (settings.store_reads * WATCH_PART).max(1.0);
        Duration::from_secs_f64(by_rate).min(settings.follow_within.mul_f64(LONGEST_WATCH_GAP))
    }

    /// Takes in a change of a key.
    pub(super) fn changed(&mut self, change: Change) {
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
        lock(&self.shared.replica).remove(key);
        key
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
                self.facts.learn(fact, item.revision, Instant::now());
            }
            Ok(None) => {}
            Err(error) => log::error!("event=unreadable key={} error=\"{error}\"", item.key),
        }
    }
}
