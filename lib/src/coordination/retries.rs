//! Limits on how many requests are sent again.
//!
//! The limit covers all boxes together over any window of a given length. It is a fraction of the
//! requests in the window plus a fixed number. Each box keeps to the fraction of its own requests
//! and to its share of the fixed number.
//!
//! A box that starts doesn't know what it resent before, or what a box that left has resent. So a
//! part of the limit only accrues, with the requests and with time, and is not granted at once.
//! Whatever restarts happen in a window, the accrued parts add up to no more than one box would
//! have accrued that ran all the time. The rest may be spent at once, by boxes that have counted
//! for a whole window, or that have not run before.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::routing::ServiceId;

/// Part of the limit that is used. Boxes learn of each other with delay, and resends take some time
/// to arrive.
const USABLE_SHARE: f64 = 0.8;
/// Part of the usable limit that accrues. The rest may be spent at once.
const ACCRUING_SHARE: f64 = 0.5;
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
    /// Creates the budget of a box that has counted since `started_at`.
    pub fn new(limit: RetryLimit, started_at: Instant) -> RetryBudget {
        RetryBudget {
            limit,
            started_at,
            slices: [Slice::default(); COUNTED_SLICES],
            unreported: Resends::default(),
        }
    }

    /// Time since the box began to count.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Resends since the last call.
    pub fn take_unreported(&mut self) -> Resends {
        std::mem::take(&mut self.unreported)
    }

    fn slice_length(&self) -> Duration {
        self.limit.window / WINDOW_SLICES
    }

    fn newest_index(&self, now: Instant) -> u64 {
        (self.age(now).as_nanos() / self.slice_length().as_nanos().max(1)) as u64
    }

    fn newest_slice(&mut self, now: Instant) -> &mut Slice {
        let index = self.newest_index(now);
        let slice = &mut self.slices[index as usize % COUNTED_SLICES];
        if slice.index != index {
            *slice = Slice { index, ..Slice::default() };
        }
        slice
    }

    /// The slice that began `age` slices before the newest one; `None` if nothing was counted in it.
    fn slice_at_age(&self, newest: u64, age: usize) -> Option<&Slice> {
        let index = newest.checked_sub(age as u64)?;
        let slice = &self.slices[index as usize % COUNTED_SLICES];
        (slice.index == index).then_some(slice)
    }

    /// Records a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Instant) {
        self.newest_slice(now).requests += 1;
    }

    /// Takes one resend from this box's share, which is one of `boxes`. Returns `false` if none is
    /// left.
    pub fn try_resend(&mut self, boxes: usize, now: Instant) -> bool {
        let admitted = self.admits(boxes, now);
        if admitted {
            self.newest_slice(now).resends += 1;
            self.unreported.admitted += 1;
        } else {
            self.unreported.denied += 1;
        }
        admitted
    }

    /// Whether one more resend keeps the window, and every period since some moment in it, within
    /// what may be spent at once and what has accrued since.
    fn admits(&self, boxes: usize, now: Instant) -> bool {
        let RetryLimit { ratio, window, extra } = self.limit;
        let newest = self.newest_index(now);
        let counted = || (0..COUNTED_SLICES).map(|age| (age, self.slice_at_age(newest, age)));
        let share = extra / boxes.max(1) as f64;
        let all_requests: u32 = counted().filter_map(|(_, slice)| Some(slice?.requests)).sum();
        let has_full_window = self.age(now) >= window;
        let at_once = match has_full_window {
            true => (1.0 - ACCRUING_SHARE) * (ratio * f64::from(all_requests) + share),
            false => 0.0,
        };
        let (mut requests, mut resends) = (0, 0);
        // From the newest slice back, so that each step is one of the periods.
        counted().all(|(age, slice)| {
            if let Some(slice) = slice {
                requests += slice.requests;
                resends += slice.resends;
            }
            let begun = self.slice_length() * newest.saturating_sub(age as u64) as u32;
            let elapsed = (self.age(now).saturating_sub(begun)).min(window);
            let time_share = elapsed.as_secs_f64() / window.as_secs_f64();
            let accrued = ACCRUING_SHARE * (ratio * f64::from(requests) + share * time_share);
            f64::from(resends) + 1.0 <= USABLE_SHARE * (at_once + accrued)
        })
    }

    /// Whether nothing is counted any more.
    fn is_idle(&self, now: Instant) -> bool {
        let newest = self.newest_index(now);
        (0..COUNTED_SLICES).all(|age| self.slice_at_age(newest, age).is_none())
    }
}

/// The budgets of one box for all services, and the number of boxes that share the limits.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    limit: RetryLimit,
    started_at: Instant,
    /// Numbers of boxes, and since when each has applied. The last one applies now.
    fleet_sizes: VecDeque<(Instant, usize)>,
    budgets: HashMap<ServiceId, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of a box that starts now.
    pub fn new(limit: RetryLimit, now: Instant) -> RetryBudgets {
        RetryBudgets {
            limit,
            started_at: now,
            fleet_sizes: VecDeque::new(),
            budgets: HashMap::new(),
        }
    }

    /// Gives a box that has not run before its whole share. Without a predecessor there are no
    /// resends that it doesn't know of.
    pub fn assume_no_predecessor(&mut self) {
        if let Some(before) = self.started_at.checked_sub(self.limit.window) {
            self.started_at = before;
            self.budgets.clear();
        }
    }

    /// Sets the number of boxes that share the limits.
    pub fn set_fleet_size(&mut self, boxes: usize, now: Instant) {
        if self.fleet_sizes.back().is_none_or(|(_, latest)| *latest != boxes) {
            self.fleet_sizes.push_back((now, boxes));
        }
        self.expire(now);
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        while self.fleet_sizes.get(1).is_some_and(|(since, _)| now >= *since + self.limit.window) {
            self.fleet_sizes.pop_front();
        }
        self.budgets.retain(|_, budget| !budget.is_idle(now));
    }

    /// The number of boxes that divide the fixed part. Boxes that left count for one more window,
    /// like what they resent.
    pub fn sharing_boxes(&self) -> usize {
        self.fleet_sizes.iter().map(|(_, boxes)| *boxes).max().unwrap_or(1)
    }

    /// A budget for a service that wasn't known before has counted since the start of the box.
    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (limit, started_at) = (self.limit, self.started_at);
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(limit, started_at))
    }

    /// Records a request to a service that is sent for the first time.
    pub fn record_first_send(&mut self, service: &str, now: Instant) {
        self.budget(service).record_first_send(now);
    }

    /// Takes one resend to a service from this box's share. Returns `false` if none is left.
    pub fn try_resend(&mut self, service: &str, now: Instant) -> bool {
        let boxes = self.sharing_boxes();
        self.budget(service).try_resend(boxes, now)
    }

    /// Resends to each service since the last call, and for how long they have been counted.
    pub fn take_unreported(
        &mut self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceId, Resends, Duration)> {
        self.budgets.iter_mut().filter_map(move |(service, budget)| {
            let resends = budget.take_unreported();
            (resends != Resends::default()).then(|| (service, resends, budget.age(now)))
        })
    }
}
