//! Fetches the store's state from other boxes: from boxes that watch the store, or from any box
//! that has a newer state than this one.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use super::Control;
use super::Event;
use super::TICK_INTERVAL;
use super::join;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::unlisted::Neighbor;
use crate::gateway::shared::lock;
use crate::gateway::state_transfer;
use crate::gateway::state_transfer::FetchedState;
use crate::gateway::state_transfer::RemovedKeys;
use crate::gateway::state_transfer::StateScope;
use crate::gateway::store_contents;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Change;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::KeyValue;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// How far a watching box may lag behind another one beyond the gap between two watches: the time
/// of a few slow calls.
const WATCH_LAG_ALLOWANCE: Duration = Duration::from_secs(1);
/// Minimum time between two state queries to other boxes. While changes are frequent, hundreds of
/// boxes query the few that watch.
const MIN_QUERY_GAP: Duration = Duration::from_millis(200);

/// How the start of a box ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartOutcome {
    /// The box has a state.
    HasState,
    /// Neither the store nor another box gave a state.
    NoState,
    /// The box was stopped.
    Stopped,
}

/// Keys that a box reads from the store at its start before it relies on other boxes. Smaller fleets
/// start as fast as the store answers.
const MAX_KEYS_AT_START: usize = 400;
/// Delay before a box that starts asks others: most reads of a small state are done by then.
const SEARCH_DELAY: Duration = Duration::from_millis(120);
/// Interval at which a box that knows no other one queries the seeds. A queried box sends to boxes
/// of other regions only once it has known them for a second without finding them in the store.
const SEED_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of seeds that are queried in turn for a configuration.
const MAX_CONFIGURATION_QUERIES: usize = 3;

impl<A: Adapter> Control<A> {
    /// Gets the state at the start, from the store or from a box that a seed names, whichever is
    /// first. Boxes other than seeds read only a bounded part of the store: if each box read all of
    /// it, 984 boxes that start would read 5 GB, in 55 calls a box, and most of them from another
    /// region.
    pub(super) async fn join_fleet(&mut self, events: &mut mpsc::Receiver<Event>) -> StartOutcome {
        let max_keys = if self.is_seed() { usize::MAX } else { MAX_KEYS_AT_START };
        let (store, era) = (self.store.clone(), self.position().era);
        let start_read = |delay| {
            let store = store.clone();
            async move {
                timer::sleep(delay).await;
                store_contents::read(&store, store_contents::ALL_KEYS, era, max_keys).await
            }
        };
        let read = start_read(Duration::ZERO);
        let search = self.new_search();
        let search = async {
            timer::sleep(SEARCH_DELAY).await;
            search.run().await
        };
        tokio::pin!(read, search);
        let (mut is_reading, mut is_searching) = (true, true);
        // A store that fails is read again: all boxes may have lost their state, and only the store
        // has it then.
        while is_searching || (is_reading && self.store_down_since.is_none()) {
            tokio::select! {
                result = &mut read, if is_reading => match result {
                    Ok(Some(state)) => {
                        self.apply_full_state(state);
                        return StartOutcome::HasState;
                    }
                    Ok(None) => is_reading = false,
                    Err(error) => {
                        self.record_store_failure(&error);
                        read.set(start_read(store::RETRY_DELAY));
                    }
                },
                found = &mut search, if is_searching => match found {
                    Some(join::Found { state, compressed }) => {
                        if self.apply_fetched_state(state) {
                            *lock(&self.shared.compressed_state) = compressed;
                        }
                        return StartOutcome::HasState;
                    }
                    None => is_searching = false,
                },
                Some(event) = events.recv() => self.handle_event(event),
                () = timer::sleep(TICK_INTERVAL) => {}
            }
            if self.tick() {
                return StartOutcome::Stopped;
            }
        }
        StartOutcome::NoState
    }

    /// The search of this box for another one that has the state.
    fn new_search(&self) -> join::Search {
        let settings = &self.shared.settings;
        let (own, domain) = (settings.listen.handover, settings.failure_domain.clone());
        let mut seeds = settings.seeds.clone();
        seeds.retain(|seed| *seed != own);
        // The boxes of a failure domain prefer the same seed, so that they form one tree.
        seeds.sort_by_key(|seed| Reverse(rendezvous::weight(&seed.to_string(), &domain)));
        join::Search {
            client: self.shared.peers.clone(),
            seeds,
            join: (!self.is_seed()).then_some((domain, own)),
            requester: self.own_neighbor(),
        }
    }

    /// Queries the seeds for their state from the store, if this box has none yet.
    pub(super) async fn load_state_from_seeds(&mut self) {
        if self.cluster_state.routing.is_some() {
            return;
        }
        let seeds = &self.shared.settings.seeds;
        if let Some(state) =
            state_transfer::fetch_from_any(&self.shared.peers, seeds, &self.own_neighbor()).await
        {
            self.apply_fetched_state(state);
        }
    }

    /// The entry by which boxes that don't find this one in the store know it.
    fn own_neighbor(&self) -> Neighbor {
        Neighbor {
            box_hash: presence::box_hash(&self.own_record.name),
            region: self.own_record.region.clone(),
            address: self.own_record.peers,
            handover_port: self.shared.settings.listen.handover.port(),
        }
    }

    /// Queries the seeds if this box lost the store before it knew any other box; the queries make
    /// it known to them. Otherwise it would send no reports, and no box could pass its address on.
    /// Two such boxes, the only ones of a region, sent cold servers 28 requests in a second where
    /// 17 are allowed, and let a team send 356 requests in 8 s instead of 258, for the 12 s until
    /// the store was back.
    pub(super) async fn discover_peers(&mut self, now: Instant) {
        let knows_no_box = {
            let snapshot = self.shared.snapshot.load();
            let unlisted = lock(&self.shared.unlisted);
            snapshot.boxes.is_empty()
                && snapshot.expired_boxes.is_empty()
                && unlisted.neighbors().next().is_none()
        };
        let queried_recently =
            self.last_seed_query_at.is_some_and(|at| now < at + SEED_QUERY_INTERVAL);
        if self.store_down_since.is_none() || !knows_no_box || queried_recently {
            return;
        }
        self.last_seed_query_at = Some(now);
        let mut seeds = self.shared.settings.seeds.clone();
        seeds.retain(|seed| *seed != self.shared.settings.listen.handover);
        if let Some(state) =
            state_transfer::fetch_from_any(&self.shared.peers, &seeds, &self.own_neighbor()).await
        {
            self.apply_fetched_state(state);
        }
    }

    /// Queries the seeds for the configuration in force, if the store has none that can be read.
    pub(super) async fn discover_configuration(&mut self, now: Instant) {
        let queried_recently =
            self.last_seed_query_at.is_some_and(|at| now < at + SEED_QUERY_INTERVAL);
        if self.cluster_state.routing.is_some() || queried_recently {
            return;
        }
        self.last_seed_query_at = Some(now);
        let mut seeds = self.shared.settings.seeds.clone();
        seeds.retain(|seed| *seed != self.shared.settings.listen.handover);
        seeds.shuffle(&mut rand::rng());
        let scope = StateScope::After(self.position());
        for seed in seeds.into_iter().take(MAX_CONFIGURATION_QUERIES) {
            if let Some(state) =
                state_transfer::fetch_from(&self.shared.peers, seed, &scope, None).await
            {
                self.apply_fetched_state(state);
            }
            if self.cluster_state.routing.is_some() {
                return;
            }
        }
    }

    /// Applies the configuration that another box has in force and the store no longer has.
    fn apply_lost_configuration(&mut self, item: &KeyValue) {
        if self.cluster_state.routing.is_some() {
            return;
        }
        let subject = self.shared.adapter.subject(&item.key);
        let decoded = self.shared.adapter.decode_fact(&subject, &item.value);
        if let Ok(Some(fact @ Fact::Routing(_))) = decoded
            && self.cluster_state.apply(fact, item.revision, clock::now())
        {
            log::warn!("event=configuration_taken reason=\"the store has none that can be read\"");
            *lock(&self.shared.configuration) = Some(item.clone());
            self.publish();
        }
    }

    /// Fetches the state of a box that has a newer one, because this box can't reach the store or
    /// its watch has died unnoticed. Without this, boxes that lost the store sent to a failure
    /// domain that had been evacuated 6 s before, and sent 22 requests in a second instead of 17 to
    /// engines there that had turned cold. It happened with every kind of store outage that left
    /// other boxes connected.
    pub(super) async fn fetch_state_from(&mut self, address: SocketAddr) {
        self.last_peer_query_at = Some(clock::now());
        let peers = self.shared.peers.clone();
        let mut scope = StateScope::After(self.position());
        if self.is_superseded() {
            scope = self.differing_entries();
        }
        // If the writes since the known position don't lead to the same state, the second round
        // requests everything that differs.
        for _ in 0..2 {
            let Some(state) = state_transfer::fetch_from(&peers, address, &scope, None).await
            else {
                lock(&self.shared.freshness).forget_newer_peer();
                return;
            };
            if self.apply_fetched_state(state) {
                return;
            }
            scope = self.differing_entries();
        }
    }

    fn differing_entries(&self) -> StateScope {
        StateScope::NotIn(lock(&self.shared.replica).digests().collect())
    }

    /// Address of a box whose state is newer than that of this one. A box that doesn't watch the
    /// store gets the address at once. A watching box gets it only if its lag is longer than the
    /// gap between two watches and some slow calls explain.
    pub(super) fn newer_peer(&self, now: Instant) -> Option<SocketAddr> {
        if self.last_peer_query_at.is_some_and(|at| now < at + MIN_QUERY_GAP) {
            return None;
        }
        let allowed_lag = match self.store_down_since {
            None if self.watching => self.watch_gap() + WATCH_LAG_ALLOWANCE,
            _ => Duration::ZERO,
        };
        lock(&self.shared.freshness).peer_to_query(allowed_lag, now)
    }

    /// Applies the state of another box. Returns whether this box then has the same state.
    fn apply_fetched_state(&mut self, state: FetchedState) -> bool {
        let FetchedState {
            source,
            version,
            confirmed_at,
            recovered_ago,
            written,
            removed_keys,
            verdicts,
            configuration,
        } = state;
        let mut quarantine = lock(&self.shared.quarantine);
        verdicts.iter().for_each(|verdict| quarantine.receive_verdict(verdict, clock::now()));
        drop(quarantine);
        if let Some(configuration) = configuration {
            self.apply_lost_configuration(&configuration);
        }
        let position = version.position;
        let before = self.position();
        if position < before {
            // The other box has restarted since, and has an older state now.
            lock(&self.shared.freshness).forget_newer_peer();
            return true;
        }
        let removed = match &removed_keys {
            RemovedKeys::Listed(hashes) => lock(&self.shared.replica).keys_in(hashes),
            RemovedKeys::AllExcept(hashes) => lock(&self.shared.replica).keys_not_in(hashes),
        };
        log::info!(
            "event=state_taken by={source} position={position} before={before} age_ms={} written={} removed={}",
            confirmed_at.map_or(Duration::MAX, clock::since).as_millis(),
            written.len(),
            removed.len()
        );
        let now = clock::now();
        // Entries that the other box lacks may have expired while the store was unavailable to all
        // boxes, and may be written again soon. If this box has a recent state, only the other box
        // had lost the store.
        let is_aging_here = lock(&self.shared.freshness).is_aging(now);
        if let Some(at) =
            recovered_ago.filter(|_| is_aging_here).and_then(|ago| now.checked_sub(ago))
        {
            self.cluster_state.record_store_recovered(at);
            self.publish_store_recovery();
        }
        if position.era != before.era && self.cluster_state.routing.is_some() {
            let recovered_at = recovered_ago.and_then(|ago| now.checked_sub(ago));
            self.begin_era(recovered_at.unwrap_or(now), before, position);
        }
        self.applied_era = position.era;
        self.applied_position = position;
        removed.into_iter().for_each(|key| self.apply_change(Change::Removed(key)));
        written.into_iter().for_each(|item| self.apply_change(Change::Written(item)));
        lock(&self.shared.replica).advance_to(position);
        let own_version = lock(&self.shared.replica).version();
        lock(&self.shared.freshness).record_state(own_version, confirmed_at, now);
        self.publish_changes();
        if own_version != version {
            log::warn!(
                "event=state_differs position={position} digest={:x} told={:x}",
                own_version.digest,
                version.digest
            );
        }
        own_version == version
    }

    /// Publishes when the store recovered, so that boxes which take the state from this one know
    /// that entries may be missing which will be written again.
    pub(super) fn publish_store_recovery(&self) {
        *lock(&self.shared.store_recovered_at) = self.cluster_state.store_recovered_at();
    }
}
