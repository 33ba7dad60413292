//! Slots that one region lends to another.
//!
//! A box with spare slots sends credits to boxes of other regions in its heartbeats. Each credit
//! stands for one slot and expires, so that a borrower that is cut off keeps nothing. The credits
//! that a box has outstanding never exceed its own share of its region's spare slots, so borrowers
//! together can't overload the region. Only spare slots are lent, so the lender's own callers come
//! first.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::invariant;
use super::invariant::Invariant;
use crate::protocol::RegionId;

/// Time to live of a credit.
pub const CREDIT_TTL: Duration = Duration::from_secs(3);

/// Slots of one pool that this box has lent.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    credits: Vec<(Instant, u32)>,
}

impl Lender {
    /// Returns the number of slots that are lent and not expired.
    pub fn outstanding(&mut self, now: Instant) -> u32 {
        self.credits.retain(|(expires_at, _)| now < *expires_at);
        self.credits.iter().map(|(_, slots)| slots).sum()
    }

    /// Lends up to `wanted` slots and returns how many were lent. `spare` is this box's share of
    /// the spare slots.
    pub fn lend(&mut self, spare: u32, wanted: u32, now: Instant) -> u32 {
        let outstanding = self.outstanding(now);
        let slots = wanted.min(spare.saturating_sub(outstanding));
        if slots > 0 {
            self.credits.push((now + CREDIT_TTL, slots));
            invariant::check(Invariant::LentWithinSpare, outstanding + slots <= spare, || {
                format!("outstanding={outstanding} slots={slots} spare={spare}")
            });
        }
        slots
    }
}

/// Credits of one pool that this box has received from other regions.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    credits: BTreeMap<RegionId, Vec<(Instant, u32)>>,
}

impl Borrower {
    /// Adds a credit for `slots` slots of `region`.
    pub fn receive(&mut self, region: RegionId, slots: u32, ttl: Duration, now: Instant) {
        let credits = self.credits.entry(region).or_default();
        credits.retain(|(expires_at, _)| now < *expires_at);
        credits.push((now + ttl.min(CREDIT_TTL), slots));
    }

    /// Returns the number of slots of `region` that may be used now.
    pub fn available(&self, region: &RegionId, now: Instant) -> u32 {
        let credits = self.credits.get(region).into_iter().flatten();
        let valid = credits.filter(|(expires_at, _)| now < *expires_at).map(|(_, slots)| *slots);
        valid.fold(0, u32::saturating_add)
    }

    /// Uses one slot of the allowed region with the most available slots.
    pub fn use_slot<'a>(
        &mut self,
        allowed: impl Iterator<Item = &'a RegionId>,
        now: Instant,
    ) -> Option<RegionId> {
        let region = allowed
            .map(|region| (self.available(region, now), region))
            .filter(|(slots, _)| *slots > 0)
            .max()?
            .1
            .clone();
        let credits = self.credits.get_mut(&region)?;
        let (_, slots) =
            credits.iter_mut().find(|(expires_at, slots)| now < *expires_at && *slots > 0)?;
        *slots -= 1;
        Some(region)
    }
}
