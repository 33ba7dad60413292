//! Tells the other boxes of the region what servers reported about being cold.

use std::time::Duration;
use std::time::Instant;

use tokio::net::UdpSocket;

use super::box_reports;
use super::box_reports::REPLY_NUMBER;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::freshness::MAX_LATENCY_IN_REGION;
use crate::coordination::loads::BoxReport;
use crate::protocol::adapter::Adapter;
use crate::protocol::quantity::MAX_COLD_S;
use crate::protocol::quantity::Millis;
use crate::protocol::quantity::Span;
use crate::state::clock;

/// Applies what servers reported to another box of the region.
pub fn receive<A: Adapter>(shared: &Shared<A>, report: &BoxReport, now: Instant) {
    if report.asked.is_empty() {
        return;
    }
    let reports = report.cold_ms.iter().zip(&report.asked_ms);
    let mut services = lock(&shared.services);
    for (server, (cold_ms, asked_ms)) in report.asked.iter().zip(reports) {
        let cold_left = Span::<MAX_COLD_S>::saturating(Millis(f64::from(*cold_ms))).get();
        let age = Duration::from_millis(u64::from(*asked_ms)) + MAX_LATENCY_IN_REGION;
        let Some(at) = now.checked_sub(age) else { continue };
        for service in services.values_mut() {
            service.placement.record_peer_cold_report(*server, cold_left, at);
        }
    }
    services.values().for_each(|service| service.reported.notify_waiters());
}

/// Tells all boxes of the region which servers have just reported that they are warm.
pub fn send_new<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket) {
    let now = clock::now();
    // Many of these are sent, so they name nothing but the servers.
    let mut report = BoxReport {
        number: REPLY_NUMBER,
        region: shared.settings.region.clone(),
        ..BoxReport::default()
    };
    for service in lock(&shared.services).values_mut() {
        for (server, at) in service.placement.take_untold_answers() {
            add(&mut report, server, Duration::ZERO, now.saturating_duration_since(at));
        }
    }
    if !report.asked.is_empty() {
        let datagram = box_reports::encode(&mut report);
        box_reports::send(socket, &datagram, box_reports::region_addresses(shared).iter());
    }
}

fn add(report: &mut BoxReport, server: u64, cold_left: Duration, age: Duration) {
    report.asked.push(server);
    report.cold_ms.push(cold_left.as_millis() as u32);
    report.asked_ms.push(age.as_millis() as u32);
}

/// Adds recent reports of servers to the periodic report of this box.
pub fn add_recent<A: Adapter>(shared: &Shared<A>, report: &mut BoxReport, now: Instant) {
    for service in lock(&shared.services).values() {
        for (server, cold_left, at) in service.placement.cold_reports(now) {
            add(report, server, cold_left, now.saturating_duration_since(at));
        }
    }
}
