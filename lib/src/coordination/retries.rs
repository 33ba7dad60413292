//! Limits on how many requests are sent again.
//!
//! The limit covers all boxes together over a sliding window. It is a fraction of the requests in
//! the window plus a fixed number. Each box keeps to the fraction of its own requests and to its
//! share of the fixed number.

use std::time::Duration;
use std::time::Instant;

/// Part of the limit that is used. The window of the box and the window over which compliance is
/// measured start at different times.
const USABLE_SHARE: f64 = 0.8;
/// Number of slices that the window is divided into.
const WINDOW_SLICES: u32 = 10;
/// Number of slices that are counted. The newest one has just begun, so one more is needed to cover
/// the window.
const COUNTED_SLICES: usize = WINDOW_SLICES as usize + 1;

/// The limit for all boxes together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Resends allowed per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Further resends allowed per window.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u32,
    resends: u32,
}

/// Resends that a budget admitted and denied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resends {
    /// Number of resends admitted.
    pub admitted: u32,
    /// Number of resends denied.
    pub denied: u32,
}

/// The requests and resends of one box to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    started_at: Instant,
    slices: [Slice; COUNTED_SLICES],
    unreported: Resends,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(limit: RetryLimit, now: Instant) -> RetryBudget {
        RetryBudget {
            limit,
            started_at: now,
            slices: [Slice::default(); COUNTED_SLICES],
            unreported: Resends::default(),
        }
    }

    /// Time since this budget began to count.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Resends since the last call.
    pub fn take_unreported(&mut self) -> Resends {
        std::mem::take(&mut self.unreported)
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.limit.window / WINDOW_SLICES;
        let elapsed = now.saturating_duration_since(self.started_at).as_nanos();
        let index = (elapsed / length.as_nanos().max(1)) as u64;
        let slice = &mut self.slices[index as usize % COUNTED_SLICES];
        if slice.index != index {
            *slice = Slice { index, ..Slice::default() };
        }
        slice
    }

    /// Records a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one resend from this box's share, which is one of `boxes`. Returns `false` if none is
    /// left.
    pub fn try_resend(&mut self, boxes: usize, now: Instant) -> bool {
        let newest = self.slice(now).index;
        let counted =
            |slice: &&Slice| slice.index + COUNTED_SLICES as u64 > newest && slice.index <= newest;
        let (mut requests, mut resends) = (0, 0);
        for slice in self.slices.iter().filter(counted) {
            requests += slice.requests;
            resends += slice.resends;
        }
        let share = self.limit.extra / boxes.max(1) as f64;
        let allowed = USABLE_SHARE * (self.limit.ratio * f64::from(requests) + share);
        let admitted = f64::from(resends) + 1.0 <= allowed;
        if admitted {
            self.slice(now).resends += 1;
            self.unreported.admitted += 1;
        } else {
            self.unreported.denied += 1;
        }
        admitted
    }
}
