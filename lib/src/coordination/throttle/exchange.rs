//! Exchange of stated rates, request counts and demand between the boxes of a region.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::RATE_TTL;
use super::REPORT_REPEATS;
use super::ServerIncarnation;
use super::Throttles;
use super::account::Account;
use super::account::RateChange;
use super::account::StatedRate;
use super::demand::Demand;
use super::demand::DemandRate;
use super::region::Peer;
use super::wire;
use super::wire::SentCount;
use super::wire::ServerRate;
use super::wire::ThrottleReport;
use crate::coordination::quota::ReportId;

/// Number of first reports of a box in which all requests that it has sent count as new to a box
/// that receives them for the first time.
const NEW_BOX_REPORTS: u64 = 10;
/// Maximum number of rates, counts and demands in a report, at 30, 13 and 17 bytes each. A box
/// sends some 160 reports per second, and 12 KB in all.
const MAX_RATES: usize = 16;
const MAX_COUNTS: usize = 32;
const MAX_DEMANDS: usize = 2;
/// Maximum number of brittle servers in a report, at some 35 bytes each.
const MAX_ROOMS: usize = 16;
/// Number of reports from one unchanged rate to the next.
const REPEAT_INTERVAL_REPORTS: usize = 5;
/// Minimum difference in age for an unchanged rate to count as a new statement. The reported age
/// doesn't include the network latency of the datagram. Without this minimum, a rate that is passed
/// back and forth between boxes would look newer each time, and newer than the server's next
/// statement.
const MIN_CONFIRMATION_AGE: Duration = Duration::from_millis(500);

impl Throttles {
    /// Composes the next report to the other boxes of the region.
    pub fn next_report(&mut self, now: Instant) -> ThrottleReport {
        let mut report = ThrottleReport::default();
        let mut servers: Vec<ServerIncarnation> = self.servers.keys().copied().collect();
        servers.sort_unstable();
        for server in &servers {
            let Some(account) = self.servers.get_mut(server) else { continue };
            if account.rate_reports_left > 0 && report.words.len() < MAX_RATES {
                account.rate_reports_left -= 1;
                report.words.push(server_rate(*server, account, now));
            }
            if account.count_reports_left > 0 && report.counts.len() < MAX_COUNTS {
                account.count_reports_left -= 1;
                report.counts.push(SentCount { server: *server, sent: account.sent });
            }
        }
        self.report_count = self.report_count.wrapping_add(1);
        // A box may have lost all reports that contained a rate.
        if self.report_count.is_multiple_of(REPEAT_INTERVAL_REPORTS)
            && report.words.is_empty()
            && !servers.is_empty()
        {
            let server = servers[self.report_count / REPEAT_INTERVAL_REPORTS % servers.len()];
            report
                .words
                .extend(self.servers.get(&server).map(|account| server_rate(server, account, now)));
        }
        let limited = self.shared_services();
        let first = self.report_count * MAX_DEMANDS % limited.len().max(1);
        let reported = limited.iter().cycle().skip(first).take(limited.len().min(MAX_DEMANDS));
        for service in reported {
            let demand = self.services.entry(*service).or_insert_with(|| Demand::new(now));
            let own = demand.own(now);
            let weight = demand.update_weight(now);
            report.demands.push(wire::ServiceDemand {
                service: *service,
                per_minute: (own.recent * 60.0).ceil() as u32,
                usual_per_minute: (own.usual * 60.0).ceil() as u32,
                weight: Some(weight),
            });
        }
        report.rooms = self.rooms.next_rooms(MAX_ROOMS, now);
        report
    }

    /// Returns the rates and the brittle servers for a box that has just started, as many as fit in
    /// a report.
    pub fn all_rates(&self, now: Instant) -> ThrottleReport {
        let limited = self.servers.iter().filter(|(_, account)| account.stated.rate.is_some());
        let rates =
            limited.take(MAX_RATES).map(|(server, account)| server_rate(*server, account, now));
        let rooms = self.rooms.all(MAX_ROOMS, now);
        ThrottleReport { words: rates.collect(), rooms, ..ThrottleReport::default() }
    }

    /// Merges the report of another box of the region. Returns whether the incarnation of that box
    /// is new to this one; that box should then be sent all rates that this one has.
    pub fn receive_report(
        &mut self,
        report_id: ReportId,
        report: &ThrottleReport,
        now: Instant,
    ) -> bool {
        let ReportId { sender, incarnation, number } = report_id;
        let previous_id = self.boxes.get(&sender).map(|peer| (peer.incarnation, peer.number));
        if previous_id.is_some_and(|previous_id| previous_id >= (incarnation, number)) {
            return false;
        }
        let same_incarnation = previous_id
            .is_some_and(|(previous_incarnation, _)| previous_incarnation == incarnation);
        let unreachable_after = self.unreachable_after();
        let peer = self.boxes.entry(sender).or_insert_with(|| Peer {
            incarnation,
            number,
            last_report_at: now,
            counts: HashMap::new(),
            demands: HashMap::new(),
            weights: HashMap::new(),
        });
        // The requests that a box sent while it was unreachable are already covered by its share of
        // the rate.
        let was_reachable = now < peer.last_report_at + unreachable_after;
        let counts_are_new = (same_incarnation || number <= NEW_BOX_REPORTS) && was_reachable;
        if !same_incarnation {
            peer.counts.clear();
        }
        (peer.incarnation, peer.number, peer.last_report_at) = (incarnation, number, now);
        let demand_rate = |reported: &wire::ServiceDemand| DemandRate {
            recent: per_second(reported.per_minute),
            usual: per_second(reported.usual_per_minute),
        };
        peer.demands.extend(
            report.demands.iter().map(|reported| (reported.service, demand_rate(reported))),
        );
        let weights = report.demands.iter();
        peer.weights
            .extend(weights.filter_map(|reported| Some((reported.service, reported.weight?))));
        let mut increments = Vec::new();
        for SentCount { server, sent: total } in &report.counts {
            let previous = peer.counts.insert(*server, *total).unwrap_or(0);
            increments.push((*server, total.saturating_sub(previous)));
        }
        self.merge_rates(&report.words, now);
        self.merge_rooms(&report.rooms, now);
        let propagation_time = self.propagation_time();
        for (server, requests) in increments.into_iter().filter(|_| counts_are_new) {
            if let Some(account) = self.servers.get_mut(&server) {
                account.charge(requests as f64, now, propagation_time);
            }
        }
        !same_incarnation
    }

    /// Merges the rates that another box of the region reports.
    pub fn merge_rates(&mut self, rates: &[ServerRate], now: Instant) {
        rates.iter().for_each(|reported| self.merge_rate(reported, now));
    }

    /// Merges the brittle servers that another box of the region reports.
    pub fn merge_rooms(&mut self, rooms: &[wire::ServerRoom], now: Instant) {
        let reports = self.rounds + REPORT_REPEATS;
        for reported in rooms {
            if self.rooms.merge(reported, reports, now) {
                log::info!(
                    "event=server_brittle life={:x} rejections={:?} by=box",
                    reported.server,
                    reported.max_rejections,
                );
                self.update_shares(now);
            }
        }
    }

    fn merge_rate(&mut self, reported: &ServerRate, now: Instant) {
        let age = Duration::from_millis(u64::from(reported.said_ms));
        let Some(at) = now.checked_sub(age).filter(|_| age < RATE_TTL) else { return };
        let rate = reported.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let current = self.servers.get(&reported.server).map(|account| account.stated);
        if current
            .is_some_and(|current| current.rate == rate && at < current.at + MIN_CONFIRMATION_AGE)
        {
            return;
        }
        let change =
            self.update_rate(reported.server, reported.service, StatedRate { rate, at }, now);
        if change != RateChange::Unchanged {
            log::info!(
                "event=server_rate life={:x} rate={rate:?} before={:?} said_ms={} by=box",
                reported.server,
                current.and_then(|stated| stated.rate),
                reported.said_ms
            );
        }
        // A box that reports an older rate has not received the newer one.
        let rounds = self.rounds;
        if let Some(account) = self.servers.get_mut(&reported.server)
            && account.stated.at > at
            && account.stated.rate != rate
        {
            account.rate_reports_left = account.rate_reports_left.max(rounds);
        }
    }
}

fn per_second(per_minute: u32) -> f64 {
    f64::from(per_minute) / 60.0
}

fn server_rate(server: ServerIncarnation, account: &Account, now: Instant) -> ServerRate {
    let said_ms = now.saturating_duration_since(account.stated.at).as_millis();
    ServerRate {
        server,
        service: account.service,
        rate: account.stated.rate,
        said_ms: u32::try_from(said_ms).unwrap_or(u32::MAX),
    }
}
