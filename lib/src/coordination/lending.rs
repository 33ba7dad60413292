//! Slots that one region lends to another.
//!
//! A box with spare slots hands credits to boxes of other regions in its
//! heartbeats. Each credit stands for one slot and expires, so that a borrower
//! that is cut off holds nothing, and all credits that a box has out never
//! exceed its own share of its region's spare slots: borrowers together cannot
//! overshoot. Own callers come first, since only what is spare is lent.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::invariant;
use super::invariant::Invariant;
use crate::protocol::RegionId;

/// How long a credit holds.
pub const CREDIT_LIFETIME: Duration = Duration::from_secs(3);

/// What a box has lent of one pool.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    out: Vec<(Instant, u32)>,
}

impl Lender {
    /// Slots lent and not yet expired.
    pub fn outstanding(&mut self, now: Instant) -> u32 {
        self.out.retain(|(until, _)| now < *until);
        self.out.iter().map(|(_, slots)| slots).sum()
    }

    /// Lends up to `wanted` slots of a share of `spare` slots.
    pub fn lend(&mut self, spare: u32, wanted: u32, now: Instant) -> u32 {
        let outstanding = self.outstanding(now);
        let slots = wanted.min(spare.saturating_sub(outstanding));
        if slots > 0 {
            self.out.push((now + CREDIT_LIFETIME, slots));
            invariant::check(Invariant::LentWithinSpare, outstanding + slots <= spare, || {
                format!("outstanding={outstanding} slots={slots} spare={spare}")
            });
        }
        slots
    }
}

/// What a box may use of other regions, for one pool.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    credits: BTreeMap<RegionId, Vec<(Instant, u32)>>,
}

impl Borrower {
    /// A credit came in.
    pub fn receive(&mut self, region: RegionId, slots: u32, life: Duration, now: Instant) {
        let credits = self.credits.entry(region).or_default();
        credits.retain(|(until, _)| now < *until);
        credits.push((now + life.min(CREDIT_LIFETIME), slots));
    }

    /// Slots of a region that may be used now.
    pub fn available(&self, region: &RegionId, now: Instant) -> u32 {
        let credits = self.credits.get(region).into_iter().flatten();
        credits.filter(|(until, _)| now < *until).map(|(_, slots)| slots).sum()
    }

    /// Uses one slot of the allowed region that lends most.
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
        let (_, slots) = credits.iter_mut().find(|(until, slots)| now < *until && *slots > 0)?;
        *slots -= 1;
        Some(region)
    }
}
