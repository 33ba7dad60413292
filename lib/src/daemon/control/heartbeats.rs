//! Heartbeats: choosing recipients, composing messages and applying received
//! ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use tokio::sync::oneshot;

use super::Control;
use super::Event;
use crate::coordination::gossip::Payload;
use crate::daemon::shared::lock;
use crate::protocol::RegionId;
use crate::protocol::peer::Credit;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::Phase;
use crate::protocol::peer::wire;
use crate::protocol::platform::Directory;
use crate::protocol::platform::DirectoryEntry;
use crate::state::clock;
use crate::state::counters::Counter;

/// Time between a box's announcements in the directory, in a region of at most
/// [`ANNOUNCEMENTS_PER_INTERVAL`] boxes.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// Time to live of an announcement in such a region.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(35);
/// Maximum number of announcements per interval and region. In a larger region,
/// each box announces itself less often and with a longer time to live.
const ANNOUNCEMENTS_PER_INTERVAL: u32 = 16;
/// Maximum duration of a heartbeat call while this box is running.
const MAX_HEARTBEAT_CALL_DURATION: Duration = Duration::from_secs(4);
/// Number of boxes that receive an urgent change immediately instead of in the
/// next period.
const URGENT_HEARTBEAT_TARGETS: usize = 4;
/// Number of boxes that are notified immediately that this box is leaving.
const LEAVING_NOTICE_TARGETS: usize = 16;

impl Control {
    /// Runs one period of heartbeats.
    pub(super) fn send_heartbeats(&mut self, now: Instant, late: Duration) {
        self.gossip.membership.tick(now, late);
        self.update_watcher_role(now);
        let period = self.gossip.membership.config().period;
        lock(&self.shared.limiter).tick(period, now);
        self.apply_member_changes(now);
        self.publish();
        for target in self.gossip.membership.heartbeat_targets(now, &mut self.rng) {
            self.send_heartbeat(target, now);
        }
    }

    /// Sends heartbeats to a few boxes immediately, to spread an urgent change.
    pub(super) fn send_urgent_heartbeats(&mut self) {
        let now = clock::now();
        let mut targets = Vec::new();
        while targets.len() < URGENT_HEARTBEAT_TARGETS {
            let next_targets = self.gossip.membership.heartbeat_targets(now, &mut self.rng);
            if next_targets.is_empty() {
                break;
            }
            targets.extend(next_targets);
        }
        targets.sort_unstable();
        targets.dedup();
        self.gossip.membership.update_own(|own| own.beat += 1);
        for target in targets {
            self.send_heartbeat(target, now);
        }
    }

    /// Tells the boxes of the region that this box is leaving.
    pub(super) fn notify_region_of_leaving(&mut self) {
        let now = clock::now();
        self.gossip.membership.update_own(|own| own.beat += 1);
        let region = self.shared.settings.region.clone();
        let members =
            self.gossip.membership.live_in(&region, now).map(|member| member.peer_address);
        let targets: Vec<SocketAddr> = members.take(LEAVING_NOTICE_TARGETS).collect();
        for target in targets {
            self.send_heartbeat(target, now);
        }
        self.send_urgent_heartbeats();
    }

    fn send_heartbeat(&mut self, target: SocketAddr, now: Instant) {
        let extra = Payload { demands: lock(&self.shared.limiter).demands(), ..Payload::default() };
        self.send_heartbeat_with(target, extra, now);
    }

    fn send_heartbeat_with(&mut self, target: SocketAddr, extra: Payload, now: Instant) {
        let member = self.gossip.membership.live(now).find(|member| member.peer_address == target);
        let region = member.map(|member| member.region.clone());
        let heartbeat = wire::Heartbeat::from(&self.compose_heartbeat(region.as_ref(), extra, now));
        let counters = Arc::clone(&self.shared.counters);
        counters.increment(Counter::HeartbeatsSent);
        counters.add(Counter::HeartbeatBytes, heartbeat.encoded_len() as u64);
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        tokio::spawn(async move {
            let response = peers.exchange(target, heartbeat).await;
            let succeeded = response.is_ok();
            let _ = events
                .send(Event::HeartbeatCompleted { peer: target, succeeded, sent_at: now })
                .await;
            let Ok(response) = response else {
                return counters.increment(Counter::HeartbeatsFailed);
            };
            counters.add(Counter::HeartbeatBytes, response.encoded_len() as u64);
            if let Ok(heartbeat) = Heartbeat::try_from(response) {
                let _ = events.send(Event::Heartbeat(Box::new(heartbeat), None)).await;
            }
        });
    }

    fn compose_heartbeat(
        &mut self,
        receiver: Option<&RegionId>,
        mut extra: Payload,
        now: Instant,
    ) -> Heartbeat {
        (extra.crashes, extra.verdicts) = self.shared.quarantine.reports(now);
        if receiver.is_some_and(|region| *region != self.shared.settings.region) {
            extra.credits = self.lend_slots(now);
        }
        self.gossip.compose(receiver, extra, now, &mut self.rng)
    }

    /// Handles the end of a heartbeat call that this box made.
    pub(super) fn handle_heartbeat_result(
        &mut self,
        peer: SocketAddr,
        succeeded: bool,
        sent_at: Instant,
    ) {
        let now = clock::now();
        if succeeded {
            return self.gossip.membership.call_succeeded(peer);
        }
        // Calls time out earlier than this, so the delay was caused by a suspension of
        // this box, not by the peer.
        let was_suspended = now.saturating_duration_since(sent_at) > MAX_HEARTBEAT_CALL_DURATION;
        if !was_suspended && self.gossip.membership.call_failed(peer, now) {
            self.apply_member_changes(now);
            self.publish();
            self.send_urgent_heartbeats();
        }
    }

    /// Lends this box's share of the spare slots in its region.
    fn lend_slots(&mut self, now: Instant) -> Vec<Credit> {
        if self.gossip.membership.own().phase != Phase::Serving {
            return Vec::new();
        }
        let region = self.shared.settings.region.clone();
        let boxes = self.gossip.membership.live_in(&region, now).count() as f64 + 1.0;
        let mut credits = Vec::new();
        for (id, pool) in &self.configuration.pools {
            let Some(pool_handle) = self.shared.pools.get(id) else { continue };
            let spare_slots = f64::from(pool_handle.with(|pool| pool.free_slots(now)));
            let share = (spare_slots * pool.lend_share / boxes) as u32;
            let lender = self.lenders.entry(id.clone()).or_default();
            let slots = lender.lend(share, share.div_ceil(2), now);
            if slots > 0 {
                let ttl = crate::coordination::lending::CREDIT_TTL;
                credits.push(Credit { pool: id.clone(), slots, ttl });
            }
        }
        credits
    }

    /// Handles a heartbeat: either a request, to which it responds, or the
    /// response to one of this box's heartbeats.
    pub(super) fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        response_sender: Option<oneshot::Sender<Heartbeat>>,
    ) {
        let now = clock::now();
        let effects = self.gossip.receive(&heartbeat, self.rollout.version(), now);
        let sender = &heartbeat.sender;
        self.receive_credits(&sender.region, &heartbeat.credits, now);
        lock(&self.shared.limiter).record_demands(&sender.name, &heartbeat.demands);
        let Heartbeat { crashes, verdicts, .. } = &heartbeat;
        if self.shared.quarantine.receive(crashes, verdicts, now) {
            self.send_urgent_heartbeats();
        }
        if let Some((_, peer)) = effects.newer {
            self.fetch_configuration_from(peer);
        }
        if effects.members_changed {
            self.apply_member_changes(now);
            self.publish();
        }
        self.pools_dirty |= effects.load_changed;
        if effects.servers_changed {
            self.refresh_pools(now);
            self.send_urgent_heartbeats();
        }
        match (response_sender, effects.follow_up) {
            // The response contains the records that the sender requested, and requests
            // the records that this box lacks.
            (Some(response_sender), follow_up) => {
                let (wanted, given) = follow_up
                    .map(|follow_up| (follow_up.wanted, follow_up.given))
                    .unwrap_or_default();
                let extra = Payload { wanted, given, ..Payload::default() };
                let _ =
                    response_sender.send(self.compose_heartbeat(Some(&sender.region), extra, now));
            }
            (None, Some(follow_up)) => {
                let extra = Payload {
                    wanted: follow_up.wanted,
                    given: follow_up.given,
                    ..Payload::default()
                };
                self.send_heartbeat_with(follow_up.to, extra, now);
            }
            (None, None) => {}
        }
    }

    fn receive_credits(&mut self, from: &RegionId, credits: &[Credit], now: Instant) {
        if *from == self.shared.settings.region {
            return;
        }
        for credit in credits {
            if let Some(pool) = self.shared.pools.get(&credit.pool) {
                pool.with(|pool| pool.add_credit(from.clone(), credit.slots, credit.ttl, now));
            }
        }
    }

    /// Announces this box in the directory if its announcement is due. The
    /// incarnation spreads the announcements of a region over several intervals.
    pub(super) fn announce_if_due(&mut self) {
        let factor = self.announcement_interval_factor();
        self.announce_tick = self.announce_tick.wrapping_add(1);
        let turn = (self.shared.incarnation as u32).wrapping_add(self.announce_tick) % factor;
        if turn == 0 || self.announce_tick == 1 {
            self.announce();
        }
    }

    fn announcement_interval_factor(&self) -> u32 {
        self.gossip.membership.own().region_boxes.div_ceil(ANNOUNCEMENTS_PER_INTERVAL).max(1)
    }

    /// Announces this box in the directory.
    pub(super) fn announce(&self) {
        let own = self.gossip.membership.own();
        if own.phase == Phase::Starting {
            return;
        }
        let listing = DirectoryEntry {
            name: own.name.clone(),
            region: own.region.clone(),
            failure_domain: own.failure_domain.clone(),
            callers: own.caller_address.to_string(),
            peers: own.peer_address.to_string(),
            leaving: own.phase == Phase::Leaving,
        };
        let platform = self.platform.clone();
        let ttl = ANNOUNCEMENT_TTL * self.announcement_interval_factor();
        tokio::spawn(async move {
            let _ = platform.announce(&listing, ttl).await;
        });
    }
}
