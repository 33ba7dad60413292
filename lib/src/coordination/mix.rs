//! Long prompts beside short ones.
//!
//! An engine reads a prompt piece by piece between the tokens of the requests
//! that run, so one long prompt makes every stream beside it pause. Long
//! prompts therefore go to a few engines of their own, as many as their part of
//! the reading, and short ones stay away from these while there are others.
//! What counts as long is measured against what the service gets.

use crate::protocol::adapter::Part;

/// Length of a prompt against the geometric mean of all, from which it counts as long.
const LONG: f64 = 6.0;
/// Prompts that the averages look back over.
const MEMORY: f64 = 3000.0;
/// Part of the shared text that is taken to be read anew; most of it is kept at its engine.
const READ_ANEW: f64 = 0.25;

/// Weight of the newest count of running requests, at least: they change within seconds.
const RUNNING_NEWEST: f64 = 0.01;
/// Reading of long prompts against the same reading of short ones: one long prompt makes all
/// that run beside it pause, while short ones are read between two tokens.
const HARM: f64 = 2.0;
/// Steps in which engines are divided, as a part of them: what the averages of boxes differ by.
const STEP: f64 = 1.0 / 16.0;

/// Part of the way to another box's averages that each word of it moves these: boxes agree
/// within a second, and none of them decides alone.
const YIELDING: f64 = 0.1;

/// The prompts of one service, as one box sees them; also what boxes tell each other of them.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Mix {
    /// Prompts that the averages are made of.
    #[prost(double, tag = "1")]
    seen: f64,
    /// Logarithm of the length, tokens.
    #[prost(double, tag = "2")]
    log_length: f64,
    /// Tokens that a prompt adds to the reading of long ones.
    #[prost(double, tag = "3")]
    long_reading: f64,
    /// The same for short ones.
    #[prost(double, tag = "4")]
    short_reading: f64,
    /// Short requests that a box has on servers.
    #[prost(double, tag = "5")]
    short_running: f64,
}

impl Mix {
    /// Takes a prompt into account, and how many short ones this box has on servers; says
    /// whether it is a long one.
    pub fn observe(&mut self, parts: &[Part], short_running: u32) -> bool {
        let Some((own, shared)) = parts.split_last() else { return false };
        let shared: f64 = shared.iter().map(|part| f64::from(part.tokens)).sum();
        let own = f64::from(own.tokens);
        let length = (own + shared).max(1.0);
        self.seen = (self.seen + 1.0).min(MEMORY);
        let newest = 1.0 / self.seen;
        self.log_length += newest * (length.ln() - self.log_length);
        let long = length > LONG * self.log_length.exp();
        let reading = own + READ_ANEW * shared;
        let (to_long, to_short) = if long { (reading, 0.0) } else { (0.0, reading) };
        self.long_reading += newest * (to_long - self.long_reading);
        self.short_reading += newest * (to_short - self.short_reading);
        let newest = newest.max(RUNNING_NEWEST);
        self.short_running += newest * (f64::from(short_running) - self.short_running);
        long
    }

    /// Another box's averages.
    pub fn hear(&mut self, other: &Mix) {
        let Mix { seen, log_length, long_reading, short_reading, short_running } = *other;
        let numbers = [seen, log_length, long_reading, short_reading, short_running];
        if seen < 1.0 || numbers.iter().any(|number| !number.is_finite()) {
            return;
        }
        // A box that has seen little takes over what another knows.
        let part = (other.seen / (other.seen + self.seen)).clamp(YIELDING, 1.0);
        let part = if self.seen < other.seen { part } else { YIELDING };
        self.log_length += part * (other.log_length - self.log_length);
        self.long_reading += part * (other.long_reading - self.long_reading);
        self.short_reading += part * (other.short_reading - self.short_reading);
        self.short_running += part * (other.short_running - self.short_running);
        self.seen = self.seen.max(part * other.seen).min(MEMORY);
    }

    /// Part of the engines that long prompts should have: more than their part of the reading,
    /// as long as the short ones have slots for all that they run. `slots` are those of all
    /// engines, for `boxes`.
    pub fn long_share(&self, slots: f64, boxes: usize) -> f64 {
        if self.long_reading <= 0.0 {
            return 0.0;
        }
        let harm = self.long_reading * HARM;
        let wanted = harm / (harm + self.short_reading);
        let left_by_short = 1.0 - self.short_running * boxes as f64 / slots.max(1.0);
        let least = self.long_reading / (self.long_reading + self.short_reading);
        wanted.min(left_by_short).max(least)
    }
}

/// A prompt against the others of its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Whether it is a long one.
    pub long: bool,
    /// How many engines, by rank, are set aside for long ones.
    pub set_aside: usize,
}

impl Prompt {
    /// Whether the engine of this rank is meant for such prompts.
    pub fn is_in_place(&self, rank: usize) -> bool {
        (rank < self.set_aside) == self.long
    }
}

/// How the engines of a service are divided. It follows the mix in steps and only when that
/// has clearly moved: each change moves shared texts to other engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Division {
    /// Part of the engines that is set aside for long prompts.
    share: f64,
}

impl Division {
    /// Follows the part that is wanted.
    pub fn follow(&mut self, wanted: f64) {
        if (wanted - self.share).abs() > STEP || wanted <= 0.0 {
            self.share = (wanted / STEP).round() * STEP;
        }
    }

    /// How many of the engines are set aside for long prompts.
    pub fn set_aside(&self, engines: usize) -> usize {
        if engines < 2 || self.share <= 0.0 {
            return 0;
        }
        let count = self.share * engines as f64;
        (count.round() as usize).clamp(1, engines - 1)
    }
}
