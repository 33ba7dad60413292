//! Asks other boxes whether they reach a server that this box has lost, and checks servers for them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::loads::BoxReport;
use crate::coordination::path_checks;
use crate::coordination::path_checks::Verdict;
use crate::coordination::presence;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// Maximum wait for the results of other boxes. A server whose host is silent takes a connection
/// timeout.
const RESULT_TIMEOUT: Duration = Duration::from_millis(450);

/// Whether another box of the region reaches a server.
pub async fn is_reached_by_peer<A: Adapter>(shared: &Shared<A>, server: ServerIncarnation) -> bool {
    let requested_at = clock::now();
    let boxes = region_boxes(&shared.snapshot.load(), &shared.settings.region).count();
    lock(&shared.path_checks).request(server, requested_at);
    shared.region_update.notify_one();
    if boxes == 0 {
        return false;
    }
    let verdict = async {
        loop {
            let results = shared.path_results.notified();
            match lock(&shared.path_checks).verdict(server, boxes, requested_at) {
                Verdict::Reached => return true,
                Verdict::Unreached => return false,
                Verdict::Open => {}
            }
            results.await;
        }
    };
    timer::timeout(RESULT_TIMEOUT, verdict).await.unwrap_or(false)
}

/// Hashes of the other boxes of the region.
fn region_boxes(snapshot: &Snapshot, region: &str) -> impl Iterator<Item = u64> {
    let boxes = snapshot.boxes.iter().filter(move |other| other.region == region);
    boxes.map(|other| presence::box_hash(&other.name))
}

/// Applies the checks in another box's report.
pub fn receive<A: Adapter>(shared: &Arc<Shared<A>>, report: &BoxReport, now: Instant) {
    let BoxReport { sender, reached_servers, unreached_servers, .. } = report;
    if !reached_servers.is_empty() || !unreached_servers.is_empty() {
        let mut checks = lock(&shared.path_checks);
        checks.receive_results(*sender, unreached_servers, false, now);
        checks.receive_results(*sender, reached_servers, true, now);
        drop(checks);
        shared.path_results.notify_waiters();
    }
    for server in &report.servers_to_check {
        if is_checker(shared, report.sender, *server)
            && lock(&shared.path_checks).start(*server, now)
        {
            tokio::spawn(check(Arc::clone(shared), *server));
        }
    }
}

/// Whether this box is among those that check a server.
fn is_checker<A: Adapter>(shared: &Shared<A>, requester: u64, server: ServerIncarnation) -> bool {
    let snapshot = shared.snapshot.load();
    let others = region_boxes(&snapshot, &shared.settings.region);
    let own = presence::box_hash(&shared.settings.name);
    path_checks::checks_server(own, others, requester, server)
}

async fn check<A: Adapter>(shared: Arc<Shared<A>>, server: ServerIncarnation) {
    let address =
        lock(&shared.services).values().find_map(|service| service.placement.address_of(server));
    let Some(address) = address else { return };
    shared.counters.increment(Counter::PathProbes);
    let is_reached = shared.servers.open_idle(address).await.is_ok();
    lock(&shared.path_checks).record_result(server, is_reached, clock::now());
    shared.region_update.notify_one();
}
