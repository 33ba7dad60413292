//! Load of the other boxes of a region on its backend servers.
//!
//! Each box reports its load to the others a few times a second. With many boxes, each has hardly
//! one request on each server, so that its own load does not show how full the servers are.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use super::departures::wire::DepartureNotice;
use super::quarantine::wire;
use super::quota::BoxUsage;
use super::quota::RegionUsage;
use super::stream_report::StreamReport;
use super::throttle::wire::ThrottleReport;
use super::unlisted::NeighborRecord;
use super::upgrade::wire::UpgradeHold;
use super::upgrade::wire::UpgradeReport;

/// Age at which a report expires: several have been lost by then, or the box is gone.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// Load on a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens in flight for which no first token has arrived.
    pub prefill_tokens: u32,
}

/// Periodic report from box to box.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BoxReport {
    /// Hash of the sender's name.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Incarnation of the sender; reports of a newer one supersede those of older ones.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number within this incarnation of the sender.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Hashes of the servers on which the sender has load.
    #[prost(fixed64, repeated, tag = "4")]
    pub servers: Vec<u64>,
    /// Requests in flight, in the order of the servers.
    #[prost(uint32, repeated, tag = "5")]
    pub in_flight: Vec<u32>,
    /// Unprocessed prompt tokens, in the order of the servers.
    #[prost(uint32, repeated, tag = "6")]
    pub unread: Vec<u32>,
    /// Hashes of the services that the region's figures are about.
    #[prost(fixed64, repeated, tag = "7")]
    pub services: Vec<u64>,
    /// Region of the sender.
    #[prost(string, tag = "9")]
    pub region: String,
    /// Whether the sender is leaving; `None` until it accepts requests.
    #[prost(bool, optional, tag = "12")]
    pub leaving: Option<bool>,
    /// Requests on the servers of each service in the sender's region. This field and the next one
    /// are sent only to boxes of other regions.
    #[prost(uint32, repeated, tag = "10")]
    pub region_in_flight: Vec<u32>,
    /// Slots of these servers.
    #[prost(uint32, repeated, tag = "11")]
    pub region_slots: Vec<u32>,
    /// Revision of the sender's state from the store.
    #[prost(uint64, tag = "13")]
    pub state_revision: u64,
    /// Digest of that state.
    #[prost(fixed64, tag = "14")]
    pub state_digest: u64,
    /// Time since that state was known to match the store, milliseconds; `None` before the first
    /// state.
    #[prost(uint64, optional, tag = "15")]
    pub state_age_ms: Option<u64>,
    /// Port at which the sender can be queried for that state.
    #[prost(uint32, tag = "16")]
    pub handover_port: u32,
    /// Hashes of servers that responded to a probe of the sender; sent only to boxes of its region.
    #[prost(fixed64, repeated, tag = "17")]
    pub asked: Vec<u64>,
    /// Remaining cold time of these servers, in their order, milliseconds; 0 if they are not cold.
    #[prost(uint32, repeated, tag = "18")]
    pub cold_ms: Vec<u32>,
    /// Age of these responses, in their order, milliseconds.
    #[prost(uint32, repeated, tag = "19")]
    pub asked_ms: Vec<u32>,
    /// Parts of prompts under which servers crashed, with new crashes or successes.
    #[prost(message, repeated, tag = "40")]
    pub parts: Vec<wire::PartReport>,
    /// Boxes that send datagrams though the store does not list them.
    #[prost(message, repeated, tag = "20")]
    pub unlisted: Vec<NeighborRecord>,
    /// Requests that the sender admitted for teams, where the numbers have changed; sent only to
    /// boxes of its region.
    #[prost(message, repeated, tag = "21")]
    pub counts: Vec<BoxUsage>,
    /// Requests that the sender's region admits for teams; sent only to boxes of other regions.
    #[prost(message, repeated, tag = "22")]
    pub flows: Vec<RegionUsage>,
    /// Recent crashes of servers and the requests that they were executing.
    #[prost(message, repeated, tag = "23")]
    pub ends: Vec<wire::CrashReport>,
    /// Requests that are refused because they crash servers.
    #[prost(message, repeated, tag = "24")]
    pub verdicts: Vec<wire::VerdictReport>,
    /// Servers that execute a request of the sender which has crashed other servers.
    #[prost(string, repeated, tag = "25")]
    pub trials: Vec<String>,
    /// Servers that set a rate limit, and what the sender sent them; sent only to boxes of its
    /// region.
    #[prost(message, optional, tag = "26")]
    pub throttle: Option<ThrottleReport>,
    /// Hashes of services whose servers in the sender's region currently accept no requests,
    /// because they are leaving, resting or at their rate limit; sent only to boxes of other
    /// regions.
    #[prost(fixed64, repeated, tag = "27")]
    pub closed: Vec<u64>,
    /// Servers that announced that they are leaving; sent only to boxes of the sender's region.
    #[prost(message, repeated, tag = "28")]
    pub leaving_servers: Vec<DepartureNotice>,
    /// Era of the store in which the sender's state was read.
    #[prost(uint64, tag = "29")]
    pub state_era: u64,
    /// What the sender has counted under the plan of an upgrade; sent only to judges.
    #[prost(message, optional, tag = "30")]
    pub upgrade: Option<UpgradeReport>,
    /// Sequence number of these counts within this incarnation of the sender.
    #[prost(uint64, tag = "31")]
    pub upgrade_number: u64,
    /// Plans whose target version a judge has found bad.
    #[prost(fixed64, repeated, tag = "32")]
    pub halted: Vec<u64>,
    /// Plans that a judge holds at the share of their first stage.
    #[prost(message, repeated, tag = "45")]
    pub held: Vec<UpgradeHold>,
    /// Hashes of services of whose servers in its region the sender can't reach all.
    #[prost(fixed64, repeated, tag = "33")]
    pub limited_services: Vec<u64>,
    /// Share of the slots of these servers that the sender reaches, in their order, percent.
    #[prost(uint32, repeated, tag = "35")]
    pub reached_percent: Vec<u32>,
    /// Hashes of servers that other boxes are to check, because the sender has lost them; sent only
    /// to boxes of its region.
    #[prost(fixed64, repeated, tag = "36")]
    pub servers_to_check: Vec<u64>,
    /// Hashes of servers that the sender reached in such checks; sent only to boxes of its region.
    #[prost(fixed64, repeated, tag = "37")]
    pub reached_servers: Vec<u64>,
    /// Hashes of servers that the sender did not reach in such checks; sent only to boxes of its
    /// region.
    #[prost(fixed64, repeated, tag = "38")]
    pub unreached_servers: Vec<u64>,
    /// Versions of streams, and queries for them.
    #[prost(message, optional, tag = "39")]
    pub streams: Option<StreamReport>,
    /// Whether the sender reaches no server of any service.
    #[prost(bool, tag = "34")]
    pub isolated: bool,
}

impl BoxReport {
    /// Shortens the report to the maximum size of a datagram. A datagram that is cut off in transit
    /// cannot be decoded, so that nothing of it is received. Data that later reports repeat or that
    /// other boxes have observed too is removed first; what servers report about leaving, rate
    /// limits and capacity is kept.
    pub fn truncate_to(&mut self, max_bytes: usize) {
        while self.encoded_len() > max_bytes {
            let half_lengths = [
                self.ends.len(),
                self.parts.len(),
                self.verdicts.len(),
                self.servers.len(),
                self.asked.len(),
            ];
            let [ends, parts, verdicts, servers, asked] = half_lengths.map(|length| length / 2);
            // Each list is ordered by importance.
            if ends > 0 {
                self.ends.truncate(ends);
            } else if parts > 0 {
                self.parts.truncate(parts);
            } else if verdicts > 0 {
                self.verdicts.truncate(verdicts);
            } else if servers > 0 {
                self.servers.truncate(servers);
                self.in_flight.truncate(servers);
                self.unread.truncate(servers);
            } else if asked > 0 {
                self.asked.truncate(asked);
                self.cold_ms.truncate(asked);
                self.asked_ms.truncate(asked);
            } else {
                log::warn!("event=report_too_long bytes={}", self.encoded_len());
                return;
            }
        }
    }
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    number: u64,
    received_at: Instant,
    loads: Vec<(u64, Load)>,
}

/// The latest report of each box, with totals by server.
#[derive(Debug, Default)]
pub struct Loads {
    senders: HashMap<u64, Sender>,
    sums: HashMap<u64, Load>,
}

impl Loads {
    /// Applies a report, unless a newer one of its sender has been received.
    pub fn receive(&mut self, report: &BoxReport, now: Instant) {
        let latest = self.senders.get(&report.sender);
        let sequence = |sender: &Sender| (sender.incarnation, sender.number);
        if latest.is_some_and(|latest| sequence(latest) >= (report.incarnation, report.number)) {
            return;
        }
        self.forget(report.sender);
        let loads: Vec<(u64, Load)> = report
            .servers
            .iter()
            .zip(report.in_flight.iter().zip(&report.unread))
            .map(|(server, (in_flight, unread))| {
                (*server, Load { in_flight: *in_flight, prefill_tokens: *unread })
            })
            .collect();
        for (server, load) in &loads {
            let sum = self.sums.entry(*server).or_default();
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
        }
        let BoxReport { incarnation, number, .. } = *report;
        let sender = Sender { incarnation, number, received_at: now, loads };
        self.senders.insert(report.sender, sender);
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |sender: &Sender| now >= sender.received_at + REPORT_TTL;
        let expired: Vec<u64> = self
            .senders
            .iter()
            .filter(|(_, sender)| is_expired(sender))
            .map(|(id, _)| *id)
            .collect();
        for sender in expired {
            self.forget(sender);
        }
    }

    fn forget(&mut self, sender: u64) {
        let Some(removed) = self.senders.remove(&sender) else { return };
        for (server, load) in removed.loads {
            let Some(sum) = self.sums.get_mut(&server) else { continue };
            sum.in_flight = sum.in_flight.saturating_sub(load.in_flight);
            sum.prefill_tokens = sum.prefill_tokens.saturating_sub(load.prefill_tokens);
            if *sum == Load::default() {
                self.sums.remove(&server);
            }
        }
    }

    /// Load of the other boxes on a server.
    pub fn on_server(&self, server: u64) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Requests in flight from another box, on all servers.
    pub fn of_sender(&self, sender: u64) -> u32 {
        let loads = self.senders.get(&sender).map(|sender| &sender.loads);
        let in_flight = loads.into_iter().flatten().map(|(_, load)| load.in_flight);
        in_flight.fold(0, u32::saturating_add)
    }

    /// Number of boxes with a current report.
    pub fn reporting_boxes(&self) -> usize {
        self.senders.len()
    }

    /// Hashes of the names of these boxes.
    pub fn senders(&self) -> impl Iterator<Item = u64> {
        self.senders.keys().copied()
    }
}
