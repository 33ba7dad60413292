//! Which boxes there are, and which of them are alive.
//!
//! Every member has a counter that only it advances. A member whose counter
//! stands still for too long, as far as this box hears, is dead to this box.
//! Counters travel as [`Beat`]s, a few bytes each; whole records travel only
//! when they are new or asked for. Of its own region a box knows every member,
//! of each other region a bounded number of contacts.
//!
//! A box that was itself frozen sees every counter stand still. Its own timer
//! tells it so: lateness of the tick is added to everyone's allowance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::peer::Beat;
use crate::protocol::peer::MAX_MEMBERS;
use crate::protocol::peer::Member;
use crate::protocol::peer::MemberId;

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
    /// Counters of the own region in one heartbeat.
    pub near_beats: usize,
    /// Counters of other regions in one heartbeat.
    pub far_beats: usize,
    /// Members kept of each other region.
    pub contacts: usize,
    /// Time for which a record that changed is passed on unasked.
    pub news_for: Duration,
    /// Records in one heartbeat that are passed on unasked.
    pub news: usize,
    /// Share of heartbeats that also try an address at which nobody is known.
    pub stranger_share: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            period: Duration::from_secs(1),
            fan_out: 2,
            dead_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(120),
            near_beats: 96,
            far_beats: 12,
            contacts: 12,
            news_for: Duration::from_secs(4),
            news: 3,
            stranger_share: 0.5,
        }
    }
}

/// Addresses that a box calls at once while it knows nobody.
const FIRST_CALLS: usize = 4;

struct Known {
    member: Member,
    advanced_at: Instant,
    changed_at: Instant,
}

/// The members that one box knows.
pub struct Membership {
    tuning: Tuning,
    own: Member,
    others: BTreeMap<BoxId, Known>,
    by_id: HashMap<MemberId, BoxId>,
    addresses: BTreeSet<SocketAddr>,
}

impl Membership {
    /// A box that knows only itself.
    pub fn new(own: Member, tuning: Tuning) -> Membership {
        Membership {
            tuning,
            own,
            others: BTreeMap::new(),
            by_id: HashMap::new(),
            addresses: BTreeSet::new(),
        }
    }

    /// How members are watched.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
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

    /// Takes in a record; true where it changed who is live or leaving.
    pub fn hear(&mut self, member: Member, now: Instant) -> bool {
        if member.name == self.own.name {
            return false;
        }
        let Some(known) = self.others.get(&member.name) else {
            return self.meet(member, now);
        };
        let silent = now.saturating_duration_since(known.advanced_at) > self.tuning.dead_after;
        if !supersedes(&member, &known.member, silent) {
            return false;
        }
        let turned =
            known.member.phase != member.phase || known.member.incarnation != member.incarnation;
        let changed_at = if turned { now } else { known.changed_at };
        self.by_id.remove(&known.member.id());
        self.insert(member, now, changed_at);
        silent || turned
    }

    fn meet(&mut self, member: Member, now: Instant) -> bool {
        let near = member.region == self.own.region;
        if !near && self.live_in(&member.region, now).count() >= self.tuning.contacts {
            return false;
        }
        self.insert(member, now, now);
        true
    }

    fn insert(&mut self, member: Member, now: Instant, changed_at: Instant) {
        self.by_id.insert(member.id(), member.name.clone());
        let known = Known { advanced_at: now, changed_at, member };
        self.others.insert(known.member.name.clone(), known);
    }

    /// Takes in counters; gives those whose members are not known.
    pub fn hear_beats(&mut self, beats: &[Beat], now: Instant) -> Vec<MemberId> {
        let own = self.own.id();
        let mut unknown = Vec::new();
        for beat in beats.iter().filter(|beat| beat.member != own) {
            let name = self.by_id.get(&beat.member);
            match name.and_then(|name| self.others.get_mut(name)) {
                None => unknown.push(beat.member),
                Some(known) if beat.beat > known.member.beat => {
                    known.member.beat = beat.beat;
                    known.advanced_at = now;
                }
                Some(_) => {}
            }
        }
        unknown
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
        let others = &self.others;
        self.by_id.retain(|_, name| others.contains_key(name));
        self.own.beat += 1;
        self.own.region_boxes = self.live_in(&self.own.region, now).count() as u32 + 1;
    }

    fn is_live(&self, known: &Known, now: Instant) -> bool {
        now.saturating_duration_since(known.advanced_at) <= self.tuning.dead_after
    }

    fn live_known(&self, now: Instant) -> impl Iterator<Item = &Known> {
        self.others.values().filter(move |known| self.is_live(known, now))
    }

    /// Members other than this box that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.live_known(now).map(|known| &known.member)
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

    /// Records of members, as far as known.
    pub fn records(&self, wanted: &[MemberId]) -> Vec<Member> {
        let names = wanted.iter().filter_map(|id| self.by_id.get(id));
        let known = names.filter_map(|name| self.others.get(name));
        known.take(MAX_MEMBERS).map(|known| known.member.clone()).collect()
    }

    /// Where this period's heartbeats go.
    pub fn targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_in(&self.own.region, now).map(|member| member.peers);
        let mut targets = near.choose_multiple(rng, self.tuning.fan_out);
        targets.extend(self.far_targets(now, rng));
        let strangers = match targets.is_empty() {
            true => FIRST_CALLS,
            false => usize::from(rng.random_bool(self.tuning.stranger_share)),
        };
        targets.extend(self.strangers(now).choose_multiple(rng, strangers));
        targets
    }

    /// One contact in each other region, or less often where that region is
    /// the smaller one, so that its boxes are not called by all of a large one.
    fn far_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut regions: BTreeMap<&RegionId, Vec<&Member>> = BTreeMap::new();
        for member in self.live(now).filter(|member| member.region != self.own.region) {
            regions.entry(&member.region).or_default().push(member);
        }
        let own_size = f64::from(self.own.region_boxes.max(1));
        let mut targets = Vec::new();
        for members in regions.values() {
            let size = members.iter().map(|member| member.region_boxes).max().unwrap_or(1);
            let share = (f64::from(size.max(1)) / own_size).min(1.0);
            if rng.random_bool(share) {
                targets.extend(members.iter().choose(rng).map(|member| member.peers));
            }
        }
        targets
    }

    /// Addresses at which no live member is known: boxes not met yet, or ones that may be back.
    fn strangers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let live: BTreeSet<SocketAddr> = self.live(now).map(|member| member.peers).collect();
        let silent = self.others.values().map(|known| known.member.peers);
        let all: BTreeSet<SocketAddr> = self.addresses.iter().copied().chain(silent).collect();
        all.into_iter().filter(move |peer| !live.contains(peer))
    }

    /// Counters to pass on, of the own region and of others, the latest first.
    pub fn beats(&self, now: Instant, rng: &mut impl Rng) -> (Vec<Beat>, Vec<Beat>) {
        let mut live: Vec<&Known> = self.live_known(now).collect();
        live.shuffle(rng);
        live.sort_by_key(|known| std::cmp::Reverse(known.advanced_at));
        let (near, far): (Vec<&Known>, Vec<&Known>) =
            live.into_iter().partition(|known| known.member.region == self.own.region);
        let beat = |known: &&Known| Beat { member: known.member.id(), beat: known.member.beat };
        let near = near.iter().take(self.tuning.near_beats).map(beat).collect();
        (near, far.iter().take(self.tuning.far_beats).map(beat).collect())
    }

    /// Records to pass on unasked within the region: those that changed lately,
    /// and one contact in another region.
    pub fn news(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let mut news: Vec<&Known> = self
            .live_known(now)
            .filter(|known| now.saturating_duration_since(known.changed_at) < self.tuning.news_for)
            .collect();
        news.shuffle(rng);
        news.truncate(self.tuning.news);
        let far = self.live_known(now).filter(|known| known.member.region != self.own.region);
        news.extend(far.choose(rng));
        news.into_iter().map(|known| known.member.clone()).collect()
    }

    /// Records to pass on to another region: some members of this one.
    pub fn introductions(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let near = self.live_in(&self.own.region, now);
        near.cloned().choose_multiple(rng, self.tuning.news)
    }
}

fn supersedes(new: &Member, known: &Member, known_is_silent: bool) -> bool {
    if new.incarnation == known.incarnation {
        return new.beat > known.beat;
    }
    new.incarnation > known.incarnation || known_is_silent
}
