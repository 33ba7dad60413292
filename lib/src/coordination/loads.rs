//! What the other boxes of a region have on its backend servers.
//!
//! Each box tells the others a few times a second. With many boxes, each has
//! hardly a request on each server, and its own view says nothing of how full
//! they are.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use super::departures::told::Word as Leaving;
use super::quarantine::told;
use super::quota::BoxUsage;
use super::quota::RegionUsage;
use super::throttle::messages::ThrottleReport;
use super::unlisted::Named;

/// Age at which a report no longer counts: several have been lost by then, or the box is gone.
const LIFE: Duration = Duration::from_millis(1500);

/// What is on a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests.
    pub in_flight: u32,
    /// Prompt tokens whose first token has not come.
    pub unread: u32,
}

/// A report as it goes from box to box.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Hash of the sender's name.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Start of the sender; a newer one supersedes.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the report in this life of the sender.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Hashes of servers on which the sender has something.
    #[prost(fixed64, repeated, tag = "4")]
    pub servers: Vec<u64>,
    /// Requests, in the order of the servers.
    #[prost(uint32, repeated, tag = "5")]
    pub in_flight: Vec<u32>,
    /// Unread prompt tokens, in the order of the servers.
    #[prost(uint32, repeated, tag = "6")]
    pub unread: Vec<u32>,
    /// Hashes of the services that the region's figures are about.
    #[prost(fixed64, repeated, tag = "7")]
    pub services: Vec<u64>,
    /// Region of the sender.
    #[prost(string, tag = "9")]
    pub region: String,
    /// Whether the sender leaves; `None` until it takes requests.
    #[prost(bool, optional, tag = "12")]
    pub leaving: Option<bool>,
    /// Only told to boxes of other regions, as what follows: requests on the servers of each service in that region.
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
    /// How long ago that state was the store's, milliseconds; `None` before there is any.
    #[prost(uint64, optional, tag = "15")]
    pub state_age_ms: Option<u64>,
    /// Port where the sender can be asked for that state.
    #[prost(uint32, tag = "16")]
    pub handover_port: u32,
    /// Hashes of servers that have told the sender how they are; only for boxes of its region.
    #[prost(fixed64, repeated, tag = "17")]
    pub asked: Vec<u64>,
    /// How much longer they are cold, in their order, milliseconds; 0 if they are not.
    #[prost(uint32, repeated, tag = "18")]
    pub cold_ms: Vec<u32>,
    /// How long ago they said so, in their order, milliseconds.
    #[prost(uint32, repeated, tag = "19")]
    pub asked_ms: Vec<u32>,
    /// Boxes that are heard though the store does not show them.
    #[prost(message, repeated, tag = "20")]
    pub unlisted: Vec<Named>,
    /// What the sender let in for teams, if that has changed; only for boxes of its region.
    #[prost(message, repeated, tag = "21")]
    pub counts: Vec<BoxUsage>,
    /// What its region lets in for teams; only for boxes of other regions.
    #[prost(message, repeated, tag = "22")]
    pub flows: Vec<RegionUsage>,
    /// Servers that ended lately, and what they were running.
    #[prost(message, repeated, tag = "23")]
    pub ends: Vec<told::End>,
    /// Requests that are refused because servers end under them.
    #[prost(message, repeated, tag = "24")]
    pub verdicts: Vec<told::Verdict>,
    /// Servers that run a request of the sender's under which others ended.
    #[prost(string, repeated, tag = "25")]
    pub trials: Vec<String>,
    /// Servers that name a rate, and what the sender sent them; only for boxes of its region.
    #[prost(message, optional, tag = "26")]
    pub throttle: Option<ThrottleReport>,
    /// Hashes of services whose servers in the sender's region take nothing now by their own word; only
    /// for boxes of other regions.
    #[prost(fixed64, repeated, tag = "27")]
    pub closed: Vec<u64>,
    /// Servers that say that they leave; only for boxes of its region.
    #[prost(message, repeated, tag = "28")]
    pub leaving_servers: Vec<Leaving>,
    /// Era of the store that the sender's state was read in.
    #[prost(uint64, tag = "29")]
    pub state_era: u64,
}

impl Report {
    /// Makes the report no longer than a datagram may be, all that it tells together. One that is cut off on its way
    /// cannot be read, and nothing of it is heard. What goes first is what the next reports tell
    /// again, or what others have seen too; what servers say of leaving, rates and rooms stays.
    pub fn fit(&mut self, most: usize) {
        while self.encoded_len() > most {
            let long = [self.ends.len(), self.verdicts.len(), self.servers.len(), self.asked.len()];
            let [ends, verdicts, servers, asked] = long.map(|length| length / 2);
            // Those of each list that matter most come first.
            if ends > 0 {
                self.ends.truncate(ends);
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
    heard_at: Instant,
    loads: Vec<(u64, Load)>,
}

/// The newest reports, summed up by server.
#[derive(Debug, Default)]
pub struct Loads {
    senders: HashMap<u64, Sender>,
    sums: HashMap<u64, Load>,
}

impl Loads {
    /// Takes in a report, unless a newer one is known.
    pub fn hear(&mut self, report: &Report, now: Instant) {
        let known = self.senders.get(&report.sender);
        let order = |sender: &Sender| (sender.incarnation, sender.number);
        if known.is_some_and(|known| order(known) >= (report.incarnation, report.number)) {
            return;
        }
        self.forget(report.sender);
        let loads: Vec<(u64, Load)> = report
            .servers
            .iter()
            .zip(report.in_flight.iter().zip(&report.unread))
            .map(|(server, (in_flight, unread))| {
                (*server, Load { in_flight: *in_flight, unread: *unread })
            })
            .collect();
        for (server, load) in &loads {
            let sum = self.sums.entry(*server).or_default();
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.unread = sum.unread.saturating_add(load.unread);
        }
        let Report { incarnation, number, .. } = *report;
        let sender = Sender { incarnation, number, heard_at: now, loads };
        self.senders.insert(report.sender, sender);
    }

    /// Drops old reports.
    pub fn expire(&mut self, now: Instant) {
        let old = |sender: &Sender| now >= sender.heard_at + LIFE;
        let gone: Vec<u64> =
            self.senders.iter().filter(|(_, sender)| old(sender)).map(|(id, _)| *id).collect();
        for sender in gone {
            self.forget(sender);
        }
    }

    fn forget(&mut self, sender: u64) {
        let Some(before) = self.senders.remove(&sender) else { return };
        for (server, load) in before.loads {
            let Some(sum) = self.sums.get_mut(&server) else { continue };
            sum.in_flight = sum.in_flight.saturating_sub(load.in_flight);
            sum.unread = sum.unread.saturating_sub(load.unread);
            if *sum == Load::default() {
                self.sums.remove(&server);
            }
        }
    }

    /// What others have on a server.
    pub fn on(&self, server: u64) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Boxes that were heard of lately.
    pub fn heard(&self) -> usize {
        self.senders.len()
    }

    /// What stands for each of them.
    pub fn senders(&self) -> impl Iterator<Item = u64> {
        self.senders.keys().copied()
    }
}
