//! Probes lost paths to servers, so that no caller's request has to find out whether a path is back.
//!
//! A probe opens a connection, which the next request uses. While a path is lost its probes reach
//! no server.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::shared::Shared;
use super::shared::lock;
use crate::coordination::placement::PathTarget;
use crate::protocol::adapter::Adapter;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::listen::Shutdown;
use crate::transport::timer;

/// Time between two selections of due probes.
const TICK: Duration = Duration::from_millis(25);
/// Maximum number of concurrent probes. A lost path occupies one for the connection timeout.
const MAX_PROBES: usize = 32;

/// Probes lost paths until shutdown.
pub async fn probe_paths<A: Adapter>(shared: Arc<Shared<A>>, mut stop: watch::Receiver<Shutdown>) {
    let running = Arc::new(AtomicUsize::new(0));
    loop {
        let wait = async {
            if has_lost_paths(&shared) {
                timer::sleep(TICK).await;
            } else {
                shared.path_lost.notified().await;
            }
        };
        tokio::select! {
            () = wait => {}
            _ = stop.wait_for(|stop| *stop != Shutdown::No) => return,
        }
        for (service, target) in due_targets(&shared, &running) {
            running.fetch_add(1, Ordering::Relaxed);
            let (shared, running) = (Arc::clone(&shared), Arc::clone(&running));
            tokio::spawn(async move {
                probe_path(&shared, &service, &target).await;
                running.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

fn has_lost_paths<A: Adapter>(shared: &Shared<A>) -> bool {
    lock(&shared.services).values().any(|service| service.placement.has_lost_paths())
}

fn due_targets<A: Adapter>(
    shared: &Shared<A>,
    running: &AtomicUsize,
) -> Vec<(ServiceId, PathTarget)> {
    let now = clock::now();
    let mut due = Vec::new();
    for (service, state) in lock(&shared.services).iter_mut() {
        let room = MAX_PROBES.saturating_sub(running.load(Ordering::Relaxed) + due.len());
        let targets = state.placement.start_path_probes(room, now, &mut rand::rng());
        due.extend(targets.into_iter().map(|target| (service.clone(), target)));
    }
    due
}

async fn probe_path<A: Adapter>(shared: &Shared<A>, service: &str, target: &PathTarget) {
    shared.counters.increment(Counter::PathProbes);
    let connected = shared.servers.open_idle(target.address).await.is_ok();
    let now = clock::now();
    let change = shared.with_service(service, |state| {
        let was_unreachable = state.placement.is_unreachable();
        let is_restored = state.placement.record_path_probe(&target.server, connected, now);
        (is_restored, is_restored && was_unreachable)
    });
    let (is_restored, is_service_restored) = change.unwrap_or_default();
    if is_restored {
        log::info!("event=path_restored service={service} server={}", target.server);
    }
    if is_service_restored {
        log::info!("event=service_reachable service={service}");
        shared.region_update.notify_one();
    }
}
