//! Requirements for the readiness of a box: a configuration, and its share of resends.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use super::Control;
use super::Event;
use super::TICK_INTERVAL;
use super::peer_sync::StartOutcome;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// How long a box with a configuration waits until it knows whether it has run before, and so how
/// much it may resend. It is longer than one call to a store that doesn't respond. After that the
/// box assumes that it has, and resends less at first.
const MAX_HISTORY_WAIT: Duration = Duration::from_secs(2);

impl<A: Adapter> Control<A> {
    /// Loads an initial state from the store or from other boxes. Returns whether there is one
    /// before the process ends.
    pub(super) async fn load_initial_state(&mut self, events: &mut mpsc::Receiver<Event>) -> bool {
        // The first state of a new fleet may lack a configuration, which follows like any change.
        match self.join_fleet(events).await {
            StartOutcome::HasState => return true,
            StartOutcome::Stopped => return false,
            StartOutcome::NoState => {}
        }
        while self.cluster_state.routing.is_none() {
            match self.load_full_state().await {
                Ok(()) => return true,
                Err(error) => {
                    self.record_store_failure(&error);
                    self.load_state_from_seeds().await;
                    if self.wait_before_retry(events).await {
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Waits before the next attempt after a failed call. Returns whether the process ends.
    async fn wait_before_retry(&mut self, events: &mut mpsc::Receiver<Event>) -> bool {
        let until = clock::now() + store::RETRY_DELAY;
        while clock::now() < until {
            let left = until.saturating_duration_since(clock::now()).min(TICK_INTERVAL);
            tokio::select! {
                Some(event) = events.recv() => { self.handle_event(event); }
                () = timer::sleep(left) => {}
            }
            if self.tick() {
                return true;
            }
        }
        false
    }

    /// Records that this box knows how much it may resend, so that it may be ready.
    pub(super) fn record_history_known(&mut self) {
        if !std::mem::replace(&mut self.knows_resends, true) {
            self.publish();
        }
    }

    /// Makes a box ready that has a configuration, but can't find out whether it has run before.
    pub(super) fn limit_history_wait(&mut self, now: Instant) {
        if self.knows_resends || self.cluster_state.routing.is_none() {
            return;
        }
        let since = *self.configured_since.get_or_insert(now);
        if now >= since + MAX_HISTORY_WAIT {
            log::info!("event=history_unknown reason=\"the store has not answered\"");
            self.record_history_known();
        }
    }
}
