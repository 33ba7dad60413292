//! Membership of boxes and detection of failed ones, by gossip.
//!
//! Each period every box calls a few random others, so that a box that fails is soon called by some
//! other box. A caller that gets no response twice in a row marks the member as dead: it spreads a
//! record with [`Phase::Dead`] and a heartbeat counter just above the last known one, like any
//! other change. Only the member itself advances its counter, so a record with a higher counter
//! refutes the death. A box that learns of its own death sends such a record. A box whose calls
//! mostly fail assumes that the fault is its own, and marks no other box as dead.
//!
//! The second and slower way is a timeout: a member is dead to this box if its counter has not
//! advanced for a time that grows with the size of its region. Counters are sent as [`Beat`]s of a
//! few bytes, and a bounded number at a time. Whole records are sent only if they are new or
//! requested. A box knows every member of its own region, and a bounded number of contacts in each
//! other region.
//!
//! A box that was frozen sees that no counter has advanced. Its own timer detects this: the delay
//! of the tick is added to the timeout of every member.

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

/// Parameters of failure detection and gossip.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between heartbeats.
    pub period: Duration,
    /// Number of boxes of the own region that each heartbeat is sent to.
    pub fan_out: usize,
    /// Timeout after which a member counts as dead, before the addition for the size of its region.
    pub dead_after: Duration,
    /// Addition to the timeout for each box of the region.
    pub dead_after_per_box: Duration,
    /// Number of calls in a row without a response after which a member is dead.
    pub failures: u32,
    /// Time without an advance of its counter after which a member is forgotten.
    pub forget_after: Duration,
    /// Maximum number of counters of the own region in one heartbeat.
    pub max_near_beats: usize,
    /// Maximum number of counters of other regions in one heartbeat.
    pub max_far_beats: usize,
    /// Maximum number of members known in each other region.
    pub contacts_per_region: usize,
    /// Time for which a changed record is spread without being requested.
    pub spread_changes_for: Duration,
    /// Maximum number of changed records in one heartbeat.
    pub max_changes: usize,
    /// Share of heartbeats that contain a contact in another region.
    pub contact_share: f64,
    /// Share of heartbeats that are also sent to an address without a live member.
    pub probe_share: f64,
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
            max_near_beats: 24,
            max_far_beats: 12,
            contacts_per_region: 12,
            spread_changes_for: Duration::from_secs(6),
            max_changes: 4,
            contact_share: 0.25,
            probe_share: 0.5,
        }
    }
}

/// Number of addresses that a box calls at once while it knows no live member.
const INITIAL_CALLS: usize = 4;

/// Maximum size of a region whose boxes call every other region each period. In a larger region
/// each box does so every second period.
const SMALL_REGION_BOXES: u32 = 9;
/// Number of records of the own region in a heartbeat to another region.
const REGION_SAMPLE_SIZE: usize = 2;
/// Weight of the latest call in the share of failed calls.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Share of failed calls from which a box assumes that the fault is its own.
const OWN_FAULT_FAILURE_RATE: f64 = 0.7;

/// Added to the last counter of a dead member, so that counters that are still in transit don't
/// refute its death. A live member that learns of its death jumps above this counter, and otherwise
/// exceeds it soon by its regular heartbeats.
const DEAD_BEAT_INCREMENT: u32 = 10;

struct KnownMember {
    member: Member,
    /// Phase before the member was marked as dead.
    phase_before_death: Phase,
    advanced_at: Instant,
    changed_at: Instant,
    failures: u32,
}

/// The members that one box knows.
pub struct Membership {
    config: Config,
    own: Member,
    others: BTreeMap<BoxId, KnownMember>,
    by_id: HashMap<MemberId, BoxId>,
    addresses: BTreeSet<SocketAddr>,
    /// Number of known members by region, alive or not.
    region_sizes: BTreeMap<RegionId, u32>,
    failure_rate: f64,
}

impl Membership {
    /// Creates the membership of a box that knows only itself.
    pub fn new(own: Member, config: Config) -> Membership {
        Membership {
            config,
            own,
            others: BTreeMap::new(),
            by_id: HashMap::new(),
            addresses: BTreeSet::new(),
            region_sizes: BTreeMap::new(),
            failure_rate: 0.0,
        }
    }

    /// Returns the parameters.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the record of this box.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes the record of this box.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.own);
    }

    /// Adds peer addresses to call besides those of known members.
    pub fn add_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.peer_address;
        self.addresses.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Merges a record. Returns whether the set of live members, or a member's phase or
    /// incarnation, has changed.
    pub fn merge_member(&mut self, member: Member, now: Instant) -> bool {
        if member.name == self.own.name {
            return self.refute_own_death(&member);
        }
        let Some(known) = self.others.get(&member.name) else {
            return member.phase != Phase::Dead && self.add_member(member, now);
        };
        let was_live = self.is_live(known, now);
        if member.phase == Phase::Dead {
            let newest =
                member.incarnation == known.member.incarnation && member.beat >= known.member.beat;
            return was_live && newest && self.mark_dead(&member.name, member.beat, now);
        }
        if !supersedes(&member, &known.member, !was_live) {
            return false;
        }
        let phase_changed =
            known.member.phase != member.phase || known.member.incarnation != member.incarnation;
        let changed_at = if phase_changed { now } else { known.changed_at };
        self.by_id.remove(&known.member.id());
        self.insert(member, now, changed_at);
        !was_live || phase_changed
    }

    /// Refutes a record of this box's own death with a higher counter.
    fn refute_own_death(&mut self, record: &Member) -> bool {
        let is_false = record.phase == Phase::Dead && record.incarnation == self.own.incarnation;
        if is_false {
            self.own.beat = self.own.beat.max(record.beat) + 1;
        }
        is_false
    }

    fn mark_dead(&mut self, name: &BoxId, beat: u32, now: Instant) -> bool {
        let Some(known) = self.others.get_mut(name) else { return false };
        known.phase_before_death = known.member.phase;
        known.member.phase = Phase::Dead;
        known.member.beat = beat;
        known.changed_at = now;
        true
    }

    /// Records that a box responded to a call.
    pub fn call_succeeded(&mut self, peer: SocketAddr) {
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        if let Some(known) =
            self.others.values_mut().find(|known| known.member.peer_address == peer)
        {
            known.failures = 0;
        }
    }

    /// Records that a box did not respond to a call. Returns whether its member is dead as a
    /// result.
    pub fn call_failed(&mut self, peer: SocketAddr, now: Instant) -> bool {
        let live = self
            .others
            .iter()
            .find(|(_, known)| known.member.peer_address == peer && self.is_live(known, now));
        // A failed call to an address without a live member doesn't indicate a fault of this box.
        let Some(name) = live.map(|(name, _)| name.clone()) else { return false };
        let Some(known) = self.others.get_mut(&name) else { return false };
        // Another failed call to the same member doesn't indicate a fault of this box either.
        if known.failures == 0 {
            self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        }
        known.failures += 1;
        let beat = known.member.beat + DEAD_BEAT_INCREMENT;
        known.failures >= self.config.failures
            && self.failure_rate < OWN_FAULT_FAILURE_RATE
            && self.mark_dead(&name, beat, now)
    }

    fn add_member(&mut self, member: Member, now: Instant) -> bool {
        let near = member.region == self.own.region;
        if !near && self.live_in(&member.region, now).count() >= self.config.contacts_per_region {
            return false;
        }
        self.insert(member, now, now);
        true
    }

    fn insert(&mut self, member: Member, now: Instant, changed_at: Instant) {
        self.by_id.insert(member.id(), member.name.clone());
        let phase_before_death = member.phase;
        let known =
            KnownMember { advanced_at: now, changed_at, member, phase_before_death, failures: 0 };
        self.others.insert(known.member.name.clone(), known);
    }

    /// Merges heartbeat counters. Returns the ids of unknown members.
    pub fn merge_beats(&mut self, beats: &[Beat], now: Instant) -> Vec<MemberId> {
        let own = self.own.id();
        let mut unknown = Vec::new();
        for beat in beats.iter().filter(|beat| beat.member != own) {
            let name = self.by_id.get(&beat.member);
            match name.and_then(|name| self.others.get_mut(name)) {
                None => unknown.push(beat.member),
                Some(known) if beat.beat > known.member.beat => {
                    known.member.beat = beat.beat;
                    known.member.phase = known.phase_before_death;
                    known.advanced_at = now;
                }
                Some(_) => {}
            }
        }
        unknown
    }

    /// Advances this box's counter and forgets members whose counter has not advanced for long.
    /// `delay` is how much later than planned the tick came: if this box was frozen, counters that
    /// have not advanced until now are no evidence of failures.
    pub fn tick(&mut self, now: Instant, delay: Duration) {
        if delay > self.config.period {
            for known in self.others.values_mut() {
                known.advanced_at = (known.advanced_at + delay).min(now);
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

    fn is_live(&self, known: &KnownMember, now: Instant) -> bool {
        let silence = now.saturating_duration_since(known.advanced_at);
        known.member.phase != Phase::Dead && silence <= self.timeout(&known.member)
    }

    fn timeout(&self, member: &Member) -> Duration {
        let region_size = *self.region_sizes.get(&member.region).unwrap_or(&0);
        self.config.dead_after + self.config.dead_after_per_box * region_size
    }

    fn live_known(&self, now: Instant) -> impl Iterator<Item = &KnownMember> {
        self.others.values().filter(move |known| self.is_live(known, now))
    }

    /// Returns the live members other than this box.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.live_known(now).map(|known| &known.member)
    }

    /// Returns the live members of a region other than this box.
    pub fn live_in<'a>(
        &'a self,
        region: &'a RegionId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Member> {
        self.live(now).filter(move |member| member.region == *region)
    }

    /// Returns the number of known members, alive or not.
    pub fn known_count(&self) -> usize {
        self.others.len()
    }

    /// Returns the records of the requested members that are known.
    pub fn records(&self, wanted: &[MemberId]) -> Vec<Member> {
        let names = wanted.iter().filter_map(|id| self.by_id.get(id));
        let known = names.filter_map(|name| self.others.get(name));
        known.take(MAX_MEMBERS).map(|known| known.member.clone()).collect()
    }

    /// Returns the addresses that this period's heartbeats are sent to.
    pub fn heartbeat_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_in(&self.own.region, now).map(|member| member.peer_address);
        let mut targets = near.choose_multiple(rng, self.config.fan_out);
        targets.extend(self.far_targets(now, rng));
        targets.extend(self.unanswered_members(now));
        let unknown_count = match targets.is_empty() {
            true => INITIAL_CALLS,
            false => usize::from(rng.random_bool(self.config.probe_share)),
        };
        targets.extend(self.unknown_addresses(now).choose_multiple(rng, unknown_count));
        targets
    }

    /// Returns the members that did not respond to the last call. They are called again.
    fn unanswered_members(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let unanswered_members = self.live_known(now).filter(|known| known.failures > 0);
        unanswered_members.map(|known| known.member.peer_address).take(self.config.fan_out)
    }

    /// Returns one contact in each other region. If that region is smaller, a contact is chosen
    /// only in some periods, so that its boxes aren't called by all boxes of a large region.
    fn far_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut regions: BTreeMap<&RegionId, Vec<&Member>> = BTreeMap::new();
        for member in self.live(now).filter(|member| member.region != self.own.region) {
            regions.entry(&member.region).or_default().push(member);
        }
        let own_size = f64::from(self.own.region_boxes.max(1));
        let frequency = if self.own.region_boxes > SMALL_REGION_BOXES { 0.5 } else { 1.0 };
        let mut targets = Vec::new();
        for members in regions.values() {
            let size = members.iter().map(|member| member.region_boxes).max().unwrap_or(1);
            let share = (f64::from(size.max(1)) / own_size).min(1.0) * frequency;
            if rng.random_bool(share) {
                targets.extend(members.iter().choose(rng).map(|member| member.peer_address));
            }
        }
        targets
    }

    /// Returns the addresses without a live member: boxes that are not known yet, or that may have
    /// returned.
    fn unknown_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let live: BTreeSet<SocketAddr> = self.live(now).map(|member| member.peer_address).collect();
        let known = self.others.values().map(|known| known.member.peer_address);
        let all: BTreeSet<SocketAddr> = self.addresses.iter().copied().chain(known).collect();
        all.into_iter().filter(move |peer| !live.contains(peer))
    }

    /// Returns the counters to spread, of the own region and of other regions, most recently
    /// advanced first.
    pub fn beats(&self, now: Instant, rng: &mut impl Rng) -> (Vec<Beat>, Vec<Beat>) {
        let mut live: Vec<&KnownMember> = self.live_known(now).collect();
        live.shuffle(rng);
        live.sort_by_key(|known| std::cmp::Reverse(known.advanced_at));
        let (near, far): (Vec<&KnownMember>, Vec<&KnownMember>) =
            live.into_iter().partition(|known| known.member.region == self.own.region);
        let beat =
            |known: &&KnownMember| Beat { member: known.member.id(), beat: known.member.beat };
        let near = near.iter().take(self.config.max_near_beats).map(beat).collect();
        (near, far.iter().take(self.config.max_far_beats).map(beat).collect())
    }

    /// Returns the records to spread within the region: recent changes, including deaths, and
    /// sometimes a contact in another region.
    pub fn recent_changes(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let mut changed: Vec<&KnownMember> = self
            .others
            .values()
            .filter(|known| {
                now.saturating_duration_since(known.changed_at) < self.config.spread_changes_for
            })
            .collect();
        changed.shuffle(rng);
        changed.truncate(self.config.max_changes);
        if rng.random_bool(self.config.contact_share) {
            let far = self.live_known(now).filter(|known| known.member.region != self.own.region);
            changed.extend(far.choose(rng));
        }
        changed.into_iter().map(|known| known.member.clone()).collect()
    }

    /// Returns the records to send to another region: some members of this one.
    pub fn region_sample(&self, now: Instant, rng: &mut impl Rng) -> Vec<Member> {
        let near = self.live_in(&self.own.region, now);
        near.cloned().choose_multiple(rng, REGION_SAMPLE_SIZE)
    }
}

fn supersedes(new: &Member, known: &Member, known_is_silent: bool) -> bool {
    if new.incarnation == known.incarnation {
        return new.beat > known.beat;
    }
    new.incarnation > known.incarnation || known_is_silent
}
