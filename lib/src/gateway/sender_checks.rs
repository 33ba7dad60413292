//! Admits the datagrams of boxes, and has boxes that the store doesn't list confirm that they are
//! boxes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::shared::Shared;
use super::shared::lock;
use super::state_transfer;
use crate::coordination::loads::BoxReport;
use crate::coordination::unlisted::Neighbor;
use crate::protocol::adapter::Adapter;
use crate::state::clock;
use crate::state::counters::Counter;

/// Whether a report comes from the box that it names. Other senders are checked if they claim to be
/// boxes.
pub fn admit<A: Adapter>(
    shared: &Arc<Shared<A>>,
    report: &BoxReport,
    from: SocketAddr,
    now: Instant,
) -> bool {
    if lock(&shared.senders).is_box(report.sender, from, now) {
        return true;
    }
    shared.counters.increment(Counter::ForeignDatagrams);
    if let Ok(handover_port @ 1..) = u16::try_from(report.handover_port) {
        let (box_hash, region) = (report.sender, report.region.clone());
        record_claim(shared, Neighbor { box_hash, region, address: from, handover_port }, now);
    }
    false
}

/// Records the claim of a process to be a box, or that of another box that it is one, and has it
/// checked.
pub fn record_claim<A: Adapter>(shared: &Arc<Shared<A>>, neighbor: Neighbor, now: Instant) {
    lock(&shared.senders).record_claim(neighbor, &shared.settings.region, now);
    start_checks(shared);
}

/// Records a datagram from a box, and has the unlisted boxes checked that it names.
///
/// Two boxes that each assumed to be the only one of their region sent 28 requests in a second to a
/// cold server where 17 are allowed.
pub fn record_neighbors<A: Adapter>(
    shared: &Arc<Shared<A>>,
    report: &BoxReport,
    from: SocketAddr,
    now: Instant,
) {
    let Ok(handover_port) = u16::try_from(report.handover_port) else { return };
    let (box_hash, region) = (report.sender, report.region.clone());
    lock(&shared.unlisted).record(Neighbor { box_hash, region, address: from, handover_port }, now);
    for named in &report.unlisted {
        let Ok(address) = named.address.parse() else {
            log::warn!("event=unreadable_name from={from} address={:?}", named.address);
            continue;
        };
        let age = Duration::from_millis(u64::from(named.heard_ms));
        let Some(at) = now.checked_sub(age) else { continue };
        let (box_hash, region) = (named.box_hash, named.region.clone());
        let handover_port = known_port(shared, named.handover_port);
        let neighbor = Neighbor { box_hash, region, address, handover_port };
        if lock(&shared.senders).is_box(box_hash, address, at) {
            lock(&shared.unlisted).record(neighbor, at);
        } else {
            record_claim(shared, neighbor, now);
        }
    }
}

/// The port that a box named, or that of this box: boxes of older builds don't name theirs, and all
/// boxes of a fleet use the same ports.
pub fn known_port<A>(shared: &Shared<A>, named: u32) -> u16 {
    let named = u16::try_from(named).ok().filter(|port| *port > 0);
    named.unwrap_or_else(|| shared.settings.listen.handover.port())
}

/// Begins an interval of the reports.
pub fn begin_round<A: Adapter>(shared: &Arc<Shared<A>>, now: Instant) {
    lock(&shared.senders).begin_round(now);
    start_checks(shared);
}

/// Starts the checks that are due. A box that has no state yet starts none: it can't tell which
/// boxes the store lists.
fn start_checks<A: Adapter>(shared: &Arc<Shared<A>>) {
    if shared.snapshot.load().routing.is_none() {
        return;
    }
    let due = lock(&shared.senders).take_checks(clock::now());
    for neighbor in due {
        tokio::spawn(check(Arc::clone(shared), neighbor));
    }
}

async fn check<A: Adapter>(shared: Arc<Shared<A>>, neighbor: Neighbor) {
    let position = lock(&shared.freshness).version().position;
    let confirmed = state_transfer::confirm_identity(&shared.peers, &neighbor, position).await;
    let now = clock::now();
    if lock(&shared.senders).record_check(&neighbor, confirmed.is_ok(), now) {
        log::info!("event=box_confirmed box={:x} at={}", neighbor.box_hash, neighbor.address);
        lock(&shared.unlisted).record(neighbor, now);
    } else if let Err(error) = confirmed {
        log::warn!(
            "event=not_a_box box={:x} at={} error=\"{error}\"",
            neighbor.box_hash,
            neighbor.address
        );
    }
}
