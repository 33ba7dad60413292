//! Which boxes there are, and which of them are alive.
//!
//! Each period a box exchanges heartbeats with a few random boxes of its own
//! region and with one of each other region. A heartbeat carries a bounded
//! number of members that its sender heard of lately, each with a counter that
//! only that member advances. A member whose counter stands still for too long
//! is dead to this box. Cost per box is set by the fan-out and the bound, not
//! by the size of the fleet.
//!
//! A box that was itself frozen sees every counter stand still. Its own timer
//! tells it so: lateness of the tick is added to everyone's allowance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::peer::MAX_MEMBERS;
use crate::protocol::peer::Member;

/// How members are watched.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Time between heartbeats.
    pub period: Duration,
    /// Boxes of the own region that each heartbeat goes to.
    pub fan_out: usize,
    /// Silence after which a member is dead.
    pub dead_after: Duration,
    /// Silence after which a member is forgotten.
    pub forget_after: Duration,
    /// Members in one heartbeat.
    pub piggyback: usize,
    /// Members kept of each other region.
    pub contacts: usize,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            period: Duration::from_secs(1),
            fan_out: 2,
            dead_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(120),
            piggyback: 16,
            contacts: 12,
        }
    }
}

struct Known {
    member: Member,
    advanced_at: Instant,
}

/// The members that one box knows.
pub struct Membership {
    tuning: Tuning,
    own: Member,
    others: BTreeMap<BoxId, Known>,
    addresses: BTreeSet<SocketAddr>,
}

impl Membership {
    /// A box that knows only itself.
    pub fn new(own: Member, tuning: Tuning) -> Membership {
        Membership { tuning, own, others: BTreeMap::new(), addresses: BTreeSet::new() }
    }

    /// This box.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes what this box says of itself.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.own);
    }

    /// Peer addresses to try besides those of known members.
    pub fn learn_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.peers;
        self.addresses.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Takes in what a heartbeat says of a member; true where it changed who is live or leaving.
    pub fn hear(&mut self, member: Member, now: Instant) -> bool {
        if member.name == self.own.name {
            return false;
        }
        let dead_after = self.tuning.dead_after;
        match self.others.get_mut(&member.name) {
            Some(known) => {
                let silent = now.saturating_duration_since(known.advanced_at) > dead_after;
                if !supersedes(&member, &known.member, silent) {
                    return false;
                }
                let changed = silent
                    || known.member.phase != member.phase
                    || known.member.incarnation != member.incarnation;
                *known = Known { member, advanced_at: now };
                changed
            }
            None => {
                if !self.has_room(&member.region, now) {
                    return false;
                }
                self.others.insert(member.name.clone(), Known { member, advanced_at: now });
                true
            }
        }
    }

    fn has_room(&self, region: &RegionId, now: Instant) -> bool {
        *region == self.own.region || self.live_in(region, now).count() < self.tuning.contacts
    }

    /// Forgets members long silent. `late` is how much later than planned the
    /// tick came: if this box was frozen, silence so far proves nothing.
    pub fn tick(&mut self, now: Instant, late: Duration) {
        if late > self.tuning.period {
            for known in self.others.values_mut() {
                known.advanced_at = (known.advanced_at + late).min(now);
            }
        }
        let forget_after = self.tuning.forget_after;
        self.others
            .retain(|_, known| now.saturating_duration_since(known.advanced_at) < forget_after);
        self.own.beat += 1;
    }

    /// Members other than this box that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let dead_after = self.tuning.dead_after;
        self.others
            .values()
            .filter(move |known| now.saturating_duration_since(known.advanced_at) <= dead_after)
            .map(|known| &known.member)
    }

    /// Live members of a region other than this box.
    pub fn live_in<'a>(
        &'a self,
        region: &'a RegionId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Member> {
        self.live(now).filter(move |member| member.region == *region)
    }

    /// Members known, alive or not.
    pub fn known(&self) -> usize {
        self.others.len()
    }

    /// Where this period's heartbeats go.
    pub fn targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_in(&self.own.region, now).map(|member| member.peers);
        let mut targets = near.choose_multiple(rng, self.tuning.fan_out);
        let mut regions: BTreeMap<&RegionId, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.live(now).filter(|member| member.region != self.own.region) {
            regions.entry(&member.region).or_default().push(member.peers);
        }
        targets.extend(regions.values().filter_map(|peers| peers.iter().choose(rng).copied()));
        targets.extend(self.stranger(now, rng));
        targets
    }

    /// An address at which no live member is known: a box not met yet, or one that may be back.
    fn stranger(&self, now: Instant, rng: &mut impl Rng) -> Option<SocketAddr> {
        let live: BTreeSet<SocketAddr> = self.live(now).map(|member| member.peers).collect();
        let silent = self.others.values().map(|known| known.member.peers);
        self.addresses.iter().copied().chain(silent).filter(|peer| !live.contains(peer)).choose(rng)
    }

    /// Members to pass on: the ones heard of latest, so that news travels first.
    pub fn news(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let mut live: Vec<&Known> = self
            .others
            .values()
            .filter(|known| {
                now.saturating_duration_since(known.advanced_at) <= self.tuning.dead_after
            })
            .collect();
        live.shuffle(rng);
        live.sort_by_key(|known| std::cmp::Reverse(known.advanced_at));
        let most = self.tuning.piggyback.min(MAX_MEMBERS);
        live.into_iter().take(most).map(|known| known.member.clone()).collect()
    }
}

fn supersedes(new: &Member, known: &Member, known_is_silent: bool) -> bool {
    if new.incarnation == known.incarnation {
        return new.beat > known.beat;
    }
    new.incarnation > known.incarnation || known_is_silent
}
