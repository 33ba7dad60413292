//! How many requests may be sent a second time.
//!
//! The bound is on all boxes together and over a sliding window: a part of the
//! requests in it, and a fixed number beyond. Each box keeps to the part of
//! its own requests and to its share of the fixed number.

use std::time::Duration;
use std::time::Instant;

/// Part of the bound that is used: windows of the box and of whoever checks start at other moments.
const USED: f64 = 0.8;
/// Slices that the window is counted in.
const SLICES: usize = 10;

/// The bound on all boxes together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Sends beyond that in a window.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// What one box has sent to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryLimit,
    started_at: Instant,
    slices: [Slice; SLICES],
}

impl RetryBudget {
    /// A fresh budget.
    pub fn new(bound: RetryLimit, now: Instant) -> RetryBudget {
        RetryBudget { bound, started_at: now, slices: [Slice::default(); SLICES] }
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.bound.window / SLICES as u32;
        let passed = now.saturating_duration_since(self.started_at).as_nanos();
        let number = (passed / length.as_nanos().max(1)) as u64;
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// A request was sent for the first time.
    pub fn record_first_send(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one further send, if the share of a box among `boxes` has one left.
    pub fn try_resend(&mut self, boxes: usize, now: Instant) -> bool {
        let newest = self.slice(now).number;
        let counted =
            |slice: &&Slice| slice.number + SLICES as u64 > newest && slice.number <= newest;
        let (mut requests, mut repeats) = (0, 0);
        for slice in self.slices.iter().filter(counted) {
            requests += slice.requests;
            repeats += slice.repeats;
        }
        let share = self.bound.extra / boxes.max(1) as f64;
        let allowed = USED * (self.bound.ratio * f64::from(requests) + share);
        let admitted = f64::from(repeats) + 1.0 <= allowed;
        if admitted {
            self.slice(now).repeats += 1;
        }
        admitted
    }
}
