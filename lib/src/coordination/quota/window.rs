//! Units admitted within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of slices of a window. A unit counts for up to one slice longer than the window.
const WINDOW_SLICES: u32 = 40;

/// Units by the time at which they were admitted.
#[derive(Debug)]
pub struct Window {
    length: Duration,
    /// Start of each slice and its units, oldest first.
    slices: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Window {
        Window { length, slices: VecDeque::new(), sum: 0.0 }
    }

    /// Assumes that `units` were admitted evenly over the window before `now`.
    pub fn assume_even(&mut self, units: f64, now: Instant) {
        let each = units / f64::from(WINDOW_SLICES);
        let slices = (1..=WINDOW_SLICES).rev();
        let at = slices.filter_map(|slices_ago| now.checked_sub(self.slice() * slices_ago));
        let assumed: Vec<(Instant, f64)> = at.map(|at| (at, each)).collect();
        self.sum += assumed.iter().map(|(_, units)| units).sum::<f64>();
        assumed.into_iter().rev().for_each(|slice| self.slices.push_front(slice));
    }

    fn slice(&self) -> Duration {
        self.length / WINDOW_SLICES
    }

    fn expire(&mut self, now: Instant) {
        let ttl = self.length + self.slice();
        while let Some((at, units)) = self.slices.front().copied() {
            if now < at + ttl {
                break;
            }
            self.sum -= units;
            self.slices.pop_front();
        }
    }

    /// Adds units; a negative number gives units back.
    pub fn add(&mut self, units: f64, now: Instant) {
        self.expire(now);
        self.sum += units;
        let slice = self.slice();
        match self.slices.back_mut() {
            Some((at, sum)) if now < *at + slice => *sum += units,
            _ => self.slices.push_back((now, units)),
        }
    }

    /// Returns the units within the window.
    pub fn used(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.sum
    }

    /// Returns the time until `units` units have left the window.
    pub fn until_gone(&self, units: f64, now: Instant) -> Duration {
        let ttl = self.length + self.slice();
        let mut gone = 0.0;
        for (at, in_slice) in &self.slices {
            gone += in_slice;
            if gone >= units {
                return (*at + ttl).saturating_duration_since(now);
            }
        }
        ttl
    }
}
