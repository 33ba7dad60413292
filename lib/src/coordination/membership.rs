//! Which boxes there are, and which of them are alive.
//!
//! Every box calls a few random others each period, so that a box that dies is
//! called soon by somebody. Who gets no answer twice in a row says so: a record
//! with [`Phase::Dead`] and a counter just over the last one heard travels like any
//! other news. Only the member itself advances its counter, so a record with a
//! higher one takes the word back; a box that hears of its own death sends one.
//! A box whose calls mostly fail blames itself, and says nothing of others.
//!
//! Silence is the slow second way: a member whose counter stands still for a
//! time that grows with its region is dead to this box. Counters travel as
//! [`Beat`]s, a few bytes each and a bounded number; whole records travel only
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
use crate::protocol::peer::Phase;

/// How members are watched.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between heartbeats.
    pub period: Duration,
    /// Boxes of the own region that each heartbeat goes to.
    pub fan_out: usize,
    /// Silence after which a member is dead, in a region of few boxes.
    pub dead_after: Duration,
    /// Added to it for each box of the region.
    pub dead_after_per_box: Duration,
    /// Calls in a row without an answer after which a member is dead.
    pub failures: u32,
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
    /// Share of heartbeats that carry a contact in another region.
    pub contact_share: f64,
    /// Share of heartbeats that also try an address at which nobody is known.
    pub stranger_share: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            period: Duration::from_secs(1),
            fan_out: 2,
            dead_after: Duration::from_secs(5),
            dead_after_per_box: Duration::from_millis(200),
            failures: 2,
            forget_after: Duration::from_secs(120),
            near_beats: 24,
            far_beats: 12,
            contacts: 12,
            news_for: Duration::from_secs(6),
            news: 4,
            contact_share: 0.25,
            stranger_share: 0.5,
        }
    }
}

/// Addresses that a box calls at once while it knows nobody.
const FIRST_CALLS: usize = 4;

/// Boxes up to which a region's boxes call every other region each period; in a
/// larger one each does so every second period.
const SMALL_REGION: u32 = 9;
/// Records of the own region's members in a heartbeat to another region.
const INTRODUCTIONS: usize = 2;
/// Weight of the latest call in the share of calls that fail.
const SMOOTHING: f64 = 0.2;
/// Share of failed calls at which a box blames itself.
const SELF_BLAME: f64 = 0.7;

/// Added to the last counter of a dead member, so that counters which are
/// still on their way do not take the word back. A member that lives on jumps
/// over it when it hears the word, and passes it by itself soon after.
const DEATH_LEAD: u32 = 10;

struct Known {
    member: Member,
    /// Phase before it was said to be dead.
    phase_alive: Phase,
    advanced_at: Instant,
    changed_at: Instant,
    failures: u32,
}

/// The members that one box knows.
pub struct Membership {
    config: Config,
    own: Member,
    others: BTreeMap<BoxId, Known>,
    by_id: HashMap<MemberId, BoxId>,
    addresses: BTreeSet<SocketAddr>,
    /// Members known by region, alive or not.
    region_sizes: BTreeMap<RegionId, u32>,
    failing: f64,
}

impl Membership {
    /// A box that knows only itself.
    pub fn new(own: Member, config: Config) -> Membership {
        Membership {
            config,
            own,
            others: BTreeMap::new(),
            by_id: HashMap::new(),
            addresses: BTreeSet::new(),
            region_sizes: BTreeMap::new(),
            failing: 0.0,
        }
    }

    /// How members are watched.
    pub fn config(&self) -> &Config {
        &self.config
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
    pub fn add_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.peers;
        self.addresses.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Takes in a record; true where it changed who is live or leaving.
    pub fn merge_member(&mut self, member: Member, now: Instant) -> bool {
        if member.name == self.own.name {
            return self.hear_of_self(&member);
        }
        let Some(known) = self.others.get(&member.name) else {
            return member.phase != Phase::Dead && self.meet(member, now);
        };
        let was_live = self.is_live(known, now);
        if member.phase == Phase::Dead {
            let newest =
                member.incarnation == known.member.incarnation && member.beat >= known.member.beat;
            return was_live && newest && self.bury(&member.name, member.beat, now);
        }
        if !supersedes(&member, &known.member, !was_live) {
            return false;
        }
        let turned =
            known.member.phase != member.phase || known.member.incarnation != member.incarnation;
        let changed_at = if turned { now } else { known.changed_at };
        self.by_id.remove(&known.member.id());
        self.insert(member, now, changed_at);
        !was_live || turned
    }

    /// Word of this box's own death is taken back by a higher counter.
    fn hear_of_self(&mut self, word: &Member) -> bool {
        let false_word = word.phase == Phase::Dead && word.incarnation == self.own.incarnation;
        if false_word {
            self.own.beat = self.own.beat.max(word.beat) + 1;
        }
        false_word
    }

    fn bury(&mut self, name: &BoxId, beat: u32, now: Instant) -> bool {
        let Some(known) = self.others.get_mut(name) else { return false };
        known.phase_alive = known.member.phase;
        known.member.phase = Phase::Dead;
        known.member.beat = beat;
        known.changed_at = now;
        true
    }

    /// A call got its answer.
    pub fn call_succeeded(&mut self, peer: SocketAddr) {
        self.failing *= 1.0 - SMOOTHING;
        if let Some(known) = self.others.values_mut().find(|known| known.member.peers == peer) {
            known.failures = 0;
        }
    }

    /// A call got no answer; true where its member is dead by that.
    pub fn call_failed(&mut self, peer: SocketAddr, now: Instant) -> bool {
        let live = self
            .others
            .iter()
            .find(|(_, known)| known.member.peers == peer && self.is_live(known, now));
        // Calls to addresses at which nobody is known say nothing of this box.
        let Some(name) = live.map(|(name, _)| name.clone()) else { return false };
        let Some(known) = self.others.get_mut(&name) else { return false };
        // Calling a doubtful one again says nothing new of this box.
        if known.failures == 0 {
            self.failing += SMOOTHING * (1.0 - self.failing);
        }
        known.failures += 1;
        let beat = known.member.beat + DEATH_LEAD;
        known.failures >= self.config.failures
            && self.failing < SELF_BLAME
            && self.bury(&name, beat, now)
    }

    fn meet(&mut self, member: Member, now: Instant) -> bool {
        let near = member.region == self.own.region;
        if !near && self.live_in(&member.region, now).count() >= self.config.contacts {
            return false;
        }
        self.insert(member, now, now);
        true
    }

    fn insert(&mut self, member: Member, now: Instant, changed_at: Instant) {
        self.by_id.insert(member.id(), member.name.clone());
        let phase_alive = member.phase;
        let known = Known { advanced_at: now, changed_at, member, phase_alive, failures: 0 };
        self.others.insert(known.member.name.clone(), known);
    }

    /// Takes in counters; gives those whose members are not known.
    pub fn merge_beats(&mut self, beats: &[Beat], now: Instant) -> Vec<MemberId> {
        let own = self.own.id();
        let mut unknown = Vec::new();
        for beat in beats.iter().filter(|beat| beat.member != own) {
            let name = self.by_id.get(&beat.member);
            match name.and_then(|name| self.others.get_mut(name)) {
                None => unknown.push(beat.member),
                Some(known) if beat.beat > known.member.beat => {
                    known.member.beat = beat.beat;
                    known.member.phase = known.phase_alive;
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
        if late > self.config.period {
            for known in self.others.values_mut() {
                known.advanced_at = (known.advanced_at + late).min(now);
            }
        }
        let forget_after = self.config.forget_after;
        self.others
            .retain(|_, known| now.saturating_duration_since(known.advanced_at) < forget_after);
        self.region_sizes.clear();
        for known in self.others.values() {
            *self.region_sizes.entry(known.member.region.clone()).or_default() += 1;
        }
        let others = &self.others;
        self.by_id.retain(|_, name| others.contains_key(name));
        self.own.beat += 1;
        self.own.region_boxes = self.live_in(&self.own.region, now).count() as u32 + 1;
    }

    fn is_live(&self, known: &Known, now: Instant) -> bool {
        let silence = now.saturating_duration_since(known.advanced_at);
        known.member.phase != Phase::Dead && silence <= self.silence_allowed(&known.member)
    }

    fn silence_allowed(&self, member: &Member) -> Duration {
        let of_region = *self.region_sizes.get(&member.region).unwrap_or(&0);
        self.config.dead_after + self.config.dead_after_per_box * of_region
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
    pub fn known_count(&self) -> usize {
        self.others.len()
    }

    /// Records of members, as far as known.
    pub fn records(&self, wanted: &[MemberId]) -> Vec<Member> {
        let names = wanted.iter().filter_map(|id| self.by_id.get(id));
        let known = names.filter_map(|name| self.others.get(name));
        known.take(MAX_MEMBERS).map(|known| known.member.clone()).collect()
    }

    /// Where this period's heartbeats go.
    pub fn heartbeat_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_in(&self.own.region, now).map(|member| member.peers);
        let mut targets = near.choose_multiple(rng, self.config.fan_out);
        targets.extend(self.far_targets(now, rng));
        targets.extend(self.doubtful(now));
        let strangers = match targets.is_empty() {
            true => FIRST_CALLS,
            false => usize::from(rng.random_bool(self.config.stranger_share)),
        };
        targets.extend(self.strangers(now).choose_multiple(rng, strangers));
        targets
    }

    /// Members whose last call got no answer: they are called again.
    fn doubtful(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let doubtful = self.live_known(now).filter(|known| known.failures > 0);
        doubtful.map(|known| known.member.peers).take(self.config.fan_out)
    }

    /// One contact in each other region, or less often where that region is
    /// the smaller one, so that its boxes are not called by all of a large one.
    fn far_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut regions: BTreeMap<&RegionId, Vec<&Member>> = BTreeMap::new();
        for member in self.live(now).filter(|member| member.region != self.own.region) {
            regions.entry(&member.region).or_default().push(member);
        }
        let own_size = f64::from(self.own.region_boxes.max(1));
        let thrift = if self.own.region_boxes > SMALL_REGION { 0.5 } else { 1.0 };
        let mut targets = Vec::new();
        for members in regions.values() {
            let size = members.iter().map(|member| member.region_boxes).max().unwrap_or(1);
            let share = (f64::from(size.max(1)) / own_size).min(1.0) * thrift;
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
        let near = near.iter().take(self.config.near_beats).map(beat).collect();
        (near, far.iter().take(self.config.far_beats).map(beat).collect())
    }

    /// Records to pass on unasked within the region: those that changed lately,
    /// deaths among them, and now and then a contact in another region.
    pub fn recent_changes(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let mut news: Vec<&Known> = self
            .others
            .values()
            .filter(|known| now.saturating_duration_since(known.changed_at) < self.config.news_for)
            .collect();
        news.shuffle(rng);
        news.truncate(self.config.news);
        if rng.random_bool(self.config.contact_share) {
            let far = self.live_known(now).filter(|known| known.member.region != self.own.region);
            news.extend(far.choose(rng));
        }
        news.into_iter().map(|known| known.member.clone()).collect()
    }

    /// Records to pass on to another region: some members of this one.
    pub fn region_sample(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let near = self.live_in(&self.own.region, now);
        near.cloned().choose_multiple(rng, INTRODUCTIONS)
    }
}

fn supersedes(new: &Member, known: &Member, known_is_silent: bool) -> bool {
    if new.incarnation == known.incarnation {
        return new.beat > known.beat;
    }
    new.incarnation > known.incarnation || known_is_silent
}
