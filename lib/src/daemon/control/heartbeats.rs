//! Heartbeats: who is told what, and what is made of what others tell.

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
use crate::protocol::platform::Listing;
use crate::state::clock;
use crate::state::counters::Counter;

/// Time between announcements in the directory, in a region of few boxes.
pub(super) const ANNOUNCE_PERIOD: Duration = Duration::from_secs(10);
/// Life of an announcement, in such a region.
const ANNOUNCE_LIFE: Duration = Duration::from_secs(35);
/// Boxes of a region that announce once a period between them; in a larger
/// region each does so less often, and for longer.
const ANNOUNCERS: u32 = 16;
/// Longest time that a call takes while this box runs.
const LONGEST_CALL: Duration = Duration::from_secs(4);
/// Boxes that are told at once of what cannot wait for the next period.
const TOLD_AT_ONCE: usize = 4;
/// Boxes that are told at once that this box is leaving.
const TOLD_OF_LEAVING: usize = 16;

impl Control {
    /// One period of heartbeats.
    pub(super) fn beat(&mut self, now: Instant, late: Duration) {
        self.exchange.membership.tick(now, late);
        self.choose_watchers(now);
        let period = self.exchange.membership.config().period;
        lock(&self.shared.limiter).tick(period, now);
        self.log_members(now);
        self.publish();
        for target in self.exchange.membership.heartbeat_targets(now, &mut self.rng) {
            self.send_heartbeat(target, now);
        }
    }

    /// Tells a few boxes at once.
    pub(super) fn spread(&mut self) {
        let now = clock::now();
        let mut targets = Vec::new();
        while targets.len() < TOLD_AT_ONCE {
            let more = self.exchange.membership.heartbeat_targets(now, &mut self.rng);
            if more.is_empty() {
                break;
            }
            targets.extend(more);
        }
        targets.sort_unstable();
        targets.dedup();
        self.exchange.membership.update_own(|own| own.beat += 1);
        for target in targets {
            self.send_heartbeat(target, now);
        }
    }

    /// Tells the boxes of the region that this one is leaving.
    pub(super) fn tell_region(&mut self) {
        let now = clock::now();
        self.exchange.membership.update_own(|own| own.beat += 1);
        let region = self.shared.settings.region.clone();
        let members = self.exchange.membership.live_in(&region, now).map(|member| member.peers);
        let targets: Vec<SocketAddr> = members.take(TOLD_OF_LEAVING).collect();
        for target in targets {
            self.send_heartbeat(target, now);
        }
        self.spread();
    }

    fn send_heartbeat(&mut self, target: SocketAddr, now: Instant) {
        let extra = Payload { demands: lock(&self.shared.limiter).demands(), ..Payload::default() };
        self.send_with(target, extra, now);
    }

    fn send_with(&mut self, target: SocketAddr, extra: Payload, now: Instant) {
        let member = self.exchange.membership.live(now).find(|member| member.peers == target);
        let region = member.map(|member| member.region.clone());
        let heartbeat = wire::Heartbeat::from(&self.compose(region.as_ref(), extra, now));
        let counters = Arc::clone(&self.shared.counters);
        counters.count(Counter::HeartbeatsSent);
        counters.add(Counter::HeartbeatBytes, heartbeat.encoded_len() as u64);
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        tokio::spawn(async move {
            let answer = peers.exchange(target, heartbeat).await;
            let answered = answer.is_ok();
            let _ = events.send(Event::Called { peer: target, answered, sent_at: now }).await;
            let Ok(answer) = answer else { return counters.count(Counter::HeartbeatsFailed) };
            counters.add(Counter::HeartbeatBytes, answer.encoded_len() as u64);
            if let Ok(heartbeat) = Heartbeat::try_from(answer) {
                let _ = events.send(Event::Heartbeat(Box::new(heartbeat), None)).await;
            }
        });
    }

    fn compose(
        &mut self,
        receiver: Option<&RegionId>,
        mut extra: Payload,
        now: Instant,
    ) -> Heartbeat {
        if receiver.is_some_and(|region| *region != self.shared.settings.region) {
            extra.credits = self.lend(now);
        }
        self.exchange.compose(receiver, extra, now, &mut self.rng)
    }

    /// A heartbeat of ours was answered, or not.
    pub(super) fn called(&mut self, peer: SocketAddr, answered: bool, sent_at: Instant) {
        let now = clock::now();
        if answered {
            return self.exchange.membership.call_succeeded(peer);
        }
        // A call that ended much later than it can have: this box was frozen, not the other.
        let frozen = now.saturating_duration_since(sent_at) > LONGEST_CALL;
        if !frozen && self.exchange.membership.call_failed(peer, now) {
            self.log_members(now);
            self.publish();
            self.spread();
        }
    }

    /// Lends this box's share of what is spare in its region.
    fn lend(&mut self, now: Instant) -> Vec<Credit> {
        if self.exchange.membership.own().phase != Phase::Serving {
            return Vec::new();
        }
        let region = self.shared.settings.region.clone();
        let boxes = self.exchange.membership.live_in(&region, now).count() as f64 + 1.0;
        let mut credits = Vec::new();
        for (id, pool) in &self.configuration.pools {
            let Some(shared) = self.shared.pools.get(id) else { continue };
            let spare = f64::from(shared.with(|pool| pool.free_slots(now)));
            let share = (spare * pool.lend_share / boxes) as u32;
            let lender = self.lenders.entry(id.clone()).or_default();
            let slots = lender.lend(share, share.div_ceil(2), now);
            if slots > 0 {
                let life = crate::coordination::lending::CREDIT_LIFETIME;
                credits.push(Credit { pool: id.clone(), slots, life });
            }
        }
        credits
    }

    /// A heartbeat came in, which is answered, or the answer to one of ours.
    pub(super) fn hear(
        &mut self,
        heartbeat: Heartbeat,
        answer: Option<oneshot::Sender<Heartbeat>>,
    ) {
        let now = clock::now();
        let heard = self.exchange.receive(&heartbeat, self.rollout.version(), now);
        let sender = &heartbeat.sender;
        self.hear_credits(&sender.region, &heartbeat.credits, now);
        lock(&self.shared.limiter).record_demands(&sender.name, &heartbeat.demands);
        if let Some((_, peer)) = heard.newer {
            self.fetch_from(peer);
        }
        if heard.members_changed {
            self.log_members(now);
            self.publish();
        }
        self.pools_dirty |= heard.load_changed;
        if heard.servers_changed {
            self.refresh_pools(now);
            self.spread();
        }
        match (answer, heard.follow_up) {
            // What the sender wants goes into the answer; what we want, the answer asks for.
            (Some(answer), follow_up) => {
                let (wanted, given) =
                    follow_up.map(|next| (next.wanted, next.given)).unwrap_or_default();
                let extra = Payload { wanted, given, ..Payload::default() };
                let _ = answer.send(self.compose(Some(&sender.region), extra, now));
            }
            (None, Some(next)) => {
                let extra =
                    Payload { wanted: next.wanted, given: next.given, ..Payload::default() };
                self.send_with(next.to, extra, now);
            }
            (None, None) => {}
        }
    }

    fn hear_credits(&mut self, from: &RegionId, credits: &[Credit], now: Instant) {
        if *from == self.shared.settings.region {
            return;
        }
        for credit in credits {
            if let Some(pool) = self.shared.pools.get(&credit.pool) {
                pool.with(|pool| pool.add_credit(from.clone(), credit.slots, credit.life, now));
            }
        }
    }

    /// Tells the directory of this box when its turn has come.
    pub(super) fn announce_in_turn(&mut self) {
        let factor = self.announce_factor();
        self.announce_tick = self.announce_tick.wrapping_add(1);
        let turn = (self.shared.incarnation as u32).wrapping_add(self.announce_tick) % factor;
        if turn == 0 || self.announce_tick == 1 {
            self.announce();
        }
    }

    fn announce_factor(&self) -> u32 {
        self.exchange.membership.own().region_boxes.div_ceil(ANNOUNCERS).max(1)
    }

    /// Tells the directory of this box.
    pub(super) fn announce(&self) {
        let own = self.exchange.membership.own();
        if own.phase == Phase::Starting {
            return;
        }
        let listing = Listing {
            name: own.name.clone(),
            region: own.region.clone(),
            failure_domain: own.failure_domain.clone(),
            callers: own.callers.to_string(),
            peers: own.peers.to_string(),
            leaving: own.phase == Phase::Leaving,
        };
        let platform = self.platform.clone();
        let life = ANNOUNCE_LIFE * self.announce_factor();
        tokio::spawn(async move {
            let _ = platform.announce(&listing, life).await;
        });
    }
}
