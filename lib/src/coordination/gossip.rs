//! What boxes tell each other in heartbeats, and what is made of it.
//!
//! Puts members and observed load into heartbeats of bounded size, and takes
//! them out again. What a heartbeat asks the box to do comes back as [`Heard`];
//! the sockets are somebody else's.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;

use super::membership::Membership;
use crate::protocol::RegionId;
use crate::protocol::Version;
use crate::protocol::peer::Credit;
use crate::protocol::peer::Demand;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::MemberId;
use crate::state::load::Load;

/// Server reports in one heartbeat.
const REPORTS: usize = 40;
/// Records asked for at once.
const WANTED: usize = 32;

/// What a heartbeat brought.
#[derive(Debug, Default)]
pub struct Received {
    /// Someone came, went or turned.
    pub members_changed: bool,
    /// A backend server became leaving or reachable, or ceased to be.
    pub servers_changed: bool,
    /// Load of some backend server is newer than before.
    pub load_changed: bool,
    /// The sender has this newer configuration.
    pub newer: Option<(Version, SocketAddr)>,
    /// Ask the sender for these records, and give it those that it wants.
    pub follow_up: Option<FollowUp>,
}

/// A second exchange with the same box, for records that either lacks.
#[derive(Debug)]
pub struct FollowUp {
    /// Where to.
    pub to: SocketAddr,
    /// Records that this box lacks.
    pub wanted: Vec<MemberId>,
    /// Records that the other lacks.
    pub given: Vec<MemberId>,
}

/// What a heartbeat carries besides members and load.
#[derive(Debug, Default)]
pub struct Payload {
    /// Slots lent to the receiver.
    pub credits: Vec<Credit>,
    /// This box's demand by team.
    pub demands: Vec<Demand>,
    /// Records to ask for.
    pub wanted: Vec<MemberId>,
    /// Records that were asked for.
    pub given: Vec<MemberId>,
}

/// One box's side of all exchanges.
pub struct Gossip {
    /// Members.
    pub membership: Membership,
    /// Observed load of the region's servers.
    pub load: Load,
}

impl Gossip {
    /// Makes a heartbeat. `receiver` is the region it goes to, if known.
    pub fn compose(
        &self,
        receiver: Option<&RegionId>,
        extra: Payload,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Heartbeat {
        let membership = &self.membership;
        let far_receiver = receiver.is_some_and(|region| *region != membership.own().region);
        let (near, far) = membership.beats(now, rng);
        let mut members = match far_receiver {
            true => membership.region_sample(now, rng),
            false => membership.recent_changes(now, rng),
        };
        members.extend(membership.records(&extra.given));
        // Counters and load of this region's own are of no use to another one.
        let (near, reports) = match far_receiver {
            true => (Vec::new(), Vec::new()),
            false => (near, self.load.news(REPORTS, now, rng)),
        };
        Heartbeat {
            sender: membership.own().clone(),
            members,
            near,
            far,
            wanted: extra.wanted,
            reports,
            credits: extra.credits,
            demands: extra.demands,
        }
    }

    /// Takes in a heartbeat, or the answer to one.
    pub fn receive(&mut self, heartbeat: &Heartbeat, version: Version, now: Instant) -> Received {
        let sender = &heartbeat.sender;
        let own_region = self.membership.own().region.clone();
        let mut heard = Received::default();
        heard.members_changed |= self.membership.merge_member(sender.clone(), now);
        for member in &heartbeat.members {
            heard.members_changed |= self.membership.merge_member(member.clone(), now);
        }
        let mut wanted = self.membership.merge_beats(&heartbeat.near, now);
        wanted.truncate(WANTED);
        self.membership.merge_beats(&heartbeat.far, now);
        if sender.region == own_region {
            heard.load_changed = !heartbeat.reports.is_empty();
            for report in &heartbeat.reports {
                heard.servers_changed |= self.load.observe(report, now);
            }
        }
        heard.newer = (sender.version > version).then_some((sender.version, sender.peers));
        if !wanted.is_empty() || !heartbeat.wanted.is_empty() {
            let given = heartbeat.wanted.clone();
            heard.follow_up = Some(FollowUp { to: sender.peers, wanted, given });
        }
        heard
    }
}
