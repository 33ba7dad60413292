//! Heartbeats between boxes.
//!
//! Composes heartbeats of bounded size from the membership and the observed load, and merges those
//! that arrive. [`Received`] lists what the box has to do after a heartbeat. Sending and receiving
//! is left to the caller.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;

use super::membership::Membership;
use crate::protocol::RegionId;
use crate::protocol::Version;
use crate::protocol::peer::Crash;
use crate::protocol::peer::Credit;
use crate::protocol::peer::Demand;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::MemberId;
use crate::protocol::peer::Verdict;
use crate::state::load::ServerLoads;

/// Maximum number of server reports in one heartbeat.
const MAX_SERVER_REPORTS: usize = 40;
/// Maximum number of member records requested at once.
const MAX_WANTED_RECORDS: usize = 32;

/// Changes that a received heartbeat caused.
#[derive(Debug, Default)]
pub struct Received {
    /// A member joined, left or changed its phase.
    pub members_changed: bool,
    /// A backend server's leaving or reachable state changed.
    pub servers_changed: bool,
    /// The load of some backend server was updated.
    pub load_changed: bool,
    /// A newer configuration version and the address of the sender that has it.
    pub newer: Option<(Version, SocketAddr)>,
    /// Member records to request from the sender and to send to it.
    pub follow_up: Option<FollowUp>,
}

/// A second exchange with the same box, for records that either side lacks.
#[derive(Debug)]
pub struct FollowUp {
    /// Address of the other box.
    pub to: SocketAddr,
    /// Records that this box lacks.
    pub wanted: Vec<MemberId>,
    /// Records that the other box lacks.
    pub given: Vec<MemberId>,
}

/// Contents of a heartbeat besides members and load.
#[derive(Debug, Default)]
pub struct Payload {
    /// Slots lent to the receiver.
    pub credits: Vec<Credit>,
    /// This box's demand by team.
    pub demands: Vec<Demand>,
    /// Recent crashes of servers.
    pub crashes: Vec<Crash>,
    /// Requests that are refused because they crash servers.
    pub verdicts: Vec<Verdict>,
    /// Records to request.
    pub wanted: Vec<MemberId>,
    /// Records that the receiver requested.
    pub given: Vec<MemberId>,
}

/// The gossip state of one box.
pub struct Gossip {
    /// Known members.
    pub membership: Membership,
    /// Observed load of the region's backend servers.
    pub load: ServerLoads,
}

impl Gossip {
    /// Composes a heartbeat. `receiver` is the region it is sent to, if known.
    pub fn compose(
        &self,
        receiver: Option<&RegionId>,
        payload: Payload,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Heartbeat {
        let membership = &self.membership;
        let to_other_region = receiver.is_some_and(|region| *region != membership.own().region);
        let (same_region, other_regions) = membership.beats(now, rng);
        let mut members = match to_other_region {
            true => membership.region_sample(now, rng),
            false => membership.recent_changes(now, rng),
        };
        members.extend(membership.records(&payload.given));
        // Other regions don't use the heartbeat counters and load reports of this region.
        let (same_region, reports) = match to_other_region {
            true => (Vec::new(), Vec::new()),
            false => (same_region, self.load.reports_to_share(MAX_SERVER_REPORTS, now, rng)),
        };
        Heartbeat {
            sender: membership.own().clone(),
            members,
            same_region,
            other_regions,
            requested: payload.wanted,
            reports,
            credits: payload.credits,
            demands: payload.demands,
            crashes: payload.crashes,
            verdicts: payload.verdicts,
        }
    }

    /// Merges a heartbeat or the response to one. `version` is this box's configuration version.
    pub fn receive(&mut self, heartbeat: &Heartbeat, version: Version, now: Instant) -> Received {
        let sender = &heartbeat.sender;
        let own_region = self.membership.own().region.clone();
        let mut received = Received::default();
        received.members_changed |= self.membership.merge_member(sender.clone(), now);
        for member in &heartbeat.members {
            received.members_changed |= self.membership.merge_member(member.clone(), now);
        }
        let mut wanted = self.membership.merge_beats(&heartbeat.same_region, now);
        wanted.truncate(MAX_WANTED_RECORDS);
        self.membership.merge_beats(&heartbeat.other_regions, now);
        if sender.region == own_region {
            received.load_changed = !heartbeat.reports.is_empty();
            for report in &heartbeat.reports {
                received.servers_changed |= self.load.observe(report, now);
            }
        }
        received.newer = (sender.configuration_version > version)
            .then_some((sender.configuration_version, sender.peer_address));
        if !wanted.is_empty() || !heartbeat.requested.is_empty() {
            let given = heartbeat.requested.clone();
            received.follow_up = Some(FollowUp { to: sender.peer_address, wanted, given });
        }
        received
    }
}
