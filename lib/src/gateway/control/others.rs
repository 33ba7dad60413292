//! Takes the state of the store from other boxes: of those that watch it, or of
//! any that knows more than this one.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Control;
use crate::coordination::presence;
use crate::coordination::unlisted::Neighbor;
use crate::gateway::handover;
use crate::gateway::handover::Gone;
use crate::gateway::handover::State;
use crate::gateway::handover::Wanted;
use crate::gateway::shared::lock;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Change;
use crate::state::clock;

/// How much longer than the pause between watches a box that watches may lag behind another one:
/// some slow calls.
const LAG: Duration = Duration::from_secs(1);
/// Least time from one question to another box for its state to the next: while changes come close
/// together, hundreds of boxes ask the few that watch.
const ASK_GAP: Duration = Duration::from_millis(200);

/// Time between questions of a box that knows nobody: one that is asked answers boxes elsewhere only
/// when it has heard them for a second.
const SEEK_GAP: Duration = Duration::from_secs(1);

impl<A: Adapter> Control<A> {
    /// A box that knows nothing yet asks others for what they had from the store.
    pub(super) async fn learn_from_others(&mut self) {
        if self.facts.routing.is_some() {
            return;
        }
        let seeds = &self.shared.settings.seeds;
        if let Some(state) = handover::ask_any(&self.shared.peers, seeds, &self.neighbor()).await {
            self.take(state);
        }
    }

    /// What this box is to others that the store does not show it to.
    fn neighbor(&self) -> Neighbor {
        Neighbor {
            box_hash: presence::box_hash(&self.own.name),
            region: self.own.region.clone(),
            address: self.own.peers,
        }
    }

    /// Asks the seeds, and is heard by them, if this box lost the store before it could know anybody:
    /// it tells nobody of itself then, and nobody can name it. Two such boxes, the only ones of a
    /// region, gave cold servers 28 requests in a second, where 17 are allowed, and a team 356 in 8 s
    /// instead of 258, for the 12 s until the store was back.
    pub(super) async fn seek_others(&mut self, now: Instant) {
        let alone = {
            let snapshot = self.shared.snapshot.load();
            let unlisted = lock(&self.shared.unlisted);
            snapshot.boxes.is_empty()
                && snapshot.lost.is_empty()
                && unlisted.neighbors().next().is_none()
        };
        let waits = self.sought_at.is_some_and(|at| now < at + SEEK_GAP);
        if self.store_away_since.is_none() || !alone || waits {
            return;
        }
        self.sought_at = Some(now);
        let mut seeds = self.shared.settings.seeds.clone();
        seeds.retain(|seed| *seed != self.shared.settings.listen.handover);
        if let Some(state) = handover::ask_any(&self.shared.peers, &seeds, &self.neighbor()).await {
            self.take(state);
        }
    }

    /// Takes the state of a box that knows more than this one, which the store does not tell, or
    /// whose watch has died unnoticed. Boxes that lost the store sent on to a failure domain that
    /// was evacuated 6 s before, and gave engines there that had turned cold 22 requests in a
    /// second instead of 17, on every way to lose the store that left others with it.
    pub(super) async fn catch_up(&mut self, address: SocketAddr) {
        self.asked_box_at = Some(clock::now());
        let peers = self.shared.peers.clone();
        let mut wanted = Wanted::After(self.position());
        if self.is_superseded() {
            wanted = self.whatever_differs();
        }
        // If what was written since does not make the same state, all that differs does.
        for _ in 0..2 {
            let Some(state) = handover::ask(&peers, address, &wanted, None).await else {
                lock(&self.shared.freshness).forget_newer_peer();
                return;
            };
            if self.take(state) {
                return;
            }
            wanted = self.whatever_differs();
        }
    }

    fn whatever_differs(&self) -> Wanted {
        Wanted::Beside(lock(&self.shared.replica).digests().collect())
    }

    /// Where a box can be asked that this one is behind of: at once if it does not watch itself, else
    /// after longer than following the store explains.
    pub(super) fn ahead(&self, now: Instant) -> Option<SocketAddr> {
        if self.asked_box_at.is_some_and(|at| now < at + ASK_GAP) {
            return None;
        }
        let patience = match self.store_away_since {
            None if self.watching => self.watch_gap() + LAG,
            _ => Duration::ZERO,
        };
        lock(&self.shared.freshness).peer_to_ask(patience, now)
    }

    /// Takes in what another box has. Says whether this box has the same state now.
    fn take(&mut self, state: State) -> bool {
        let State { told_by, version, age, returned, written, gone, verdicts } = state;
        let mut quarantine = lock(&self.shared.quarantine);
        verdicts.iter().for_each(|verdict| quarantine.receive_verdict(verdict, clock::now()));
        drop(quarantine);
        let position = version.position;
        let before = self.position();
        if position < before {
            // The box has started anew since, and knows less.
            lock(&self.shared.freshness).forget_newer_peer();
            return true;
        }
        let removed = match &gone {
            Gone::Keys(hashes) => lock(&self.shared.replica).keys_in(hashes),
            Gone::AllBut(hashes) => lock(&self.shared.replica).keys_not_in(hashes),
        };
        log::info!(
            "event=state_taken by={told_by} position={position} before={before} age_ms={} written={} removed={}",
            age.as_millis(),
            written.len(),
            removed.len()
        );
        let now = clock::now();
        // What that box lacks may have lapsed while the store was away for all, and be written again
        // soon. If this box has a recent state, the store was away for that box only.
        let without = lock(&self.shared.freshness).is_aging(now);
        if let Some(at) = returned.filter(|_| without).and_then(|ago| now.checked_sub(ago)) {
            self.facts.store_is_back(at);
            self.tell_store_is_back();
        }
        if position.era != before.era && self.facts.routing.is_some() {
            let returned = returned.and_then(|ago| now.checked_sub(ago));
            self.begin_era(returned.unwrap_or(now), before, position);
        }
        removed.into_iter().for_each(|key| self.changed(Change::Removed(key)));
        written.into_iter().for_each(|item| self.changed(Change::Written(item)));
        lock(&self.shared.replica).reached(position);
        let reached = lock(&self.shared.replica).version();
        lock(&self.shared.freshness).record_state(reached, now.checked_sub(age), now);
        self.publish();
        if reached != version {
            log::warn!(
                "event=state_differs position={position} digest={:x} told={:x}",
                reached.digest,
                version.digest
            );
        }
        reached == version
    }

    /// Boxes that take the state from this one hear that entries may be missing which will be written
    /// again.
    pub(super) fn tell_store_is_back(&self) {
        *lock(&self.shared.store_back_at) = self.facts.store_back_at();
    }
}
