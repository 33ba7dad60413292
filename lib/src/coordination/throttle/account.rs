//! What one server that names a rate has left, as one box sees it.

use std::time::Duration;
use std::time::Instant;

use super::ServiceHash;

/// Least requests a second that a server is sent, whatever it names: one that gets nothing cannot say
/// that it takes more again. One in two seconds shows it about as soon.
const LEAST_RATE: f64 = 0.5;
/// Part of a server's rate over the time that news takes which may be saved up.
const SAVED: f64 = 1.5;
/// Seconds of a server's rate that it may be in debt, or one request. When a rate is first named, 85 boxes send more than
/// that until all have heard of it; with four seconds' debt the server then got 0.81 of its rate for 16 s.
const DEBT: f64 = 2.0;
/// Factor between a rate and what the store shows of it up to which it is not written anew: boxes that
/// start hear the rest with their first answers.
const STORED_ABOUT: f64 = 1.5;
/// Part by which a rate must fall to be told at once; less waits for the next report.
const FALL: f64 = 0.1;

/// What a server said of its rate, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRate {
    /// Requests a second from all boxes; `None` for no rate.
    pub rate: Option<f64>,
    /// When it said so.
    pub at: Instant,
}

/// How a word differs from the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Difference {
    /// Not at all.
    Same,
    /// A little: others hear it in time.
    Slight,
    /// So much that others must hear it at once.
    Urgent,
}

/// What a server has left.
#[derive(Debug)]
pub struct Account {
    /// Service of the server.
    pub service: ServiceHash,
    /// Its last word.
    pub stated: StatedRate,
    /// Requests of this box since there is an account.
    pub sent: u64,
    /// What the store shows of its rate.
    pub stored: Option<f64>,
    /// Since when that has differed from the word.
    pub unstored_since: Option<Instant>,
    /// How often the word is still to be told.
    pub tell_word: u32,
    /// How often the count is still to be told.
    pub tell_count: u32,
    /// Part of the rate that boxes which are not heard do not keep.
    rest: f64,
    /// Requests that all boxes together have left; below zero is debt.
    left: f64,
    filled_at: Instant,
}

impl Account {
    /// An account of a server that has just said something. It begins with nothing: what the server
    /// got before it said so was more than it takes.
    pub fn new(service: ServiceHash, stated: StatedRate, now: Instant) -> Account {
        Account {
            service,
            stated,
            sent: 0,
            stored: None,
            unstored_since: None,
            tell_word: 0,
            tell_count: 0,
            rest: 1.0,
            left: 0.0,
            filled_at: now,
        }
    }

    /// Boxes that are not heard keep so much of the rate that this part is left. As parts fall, so does
    /// what may be sent at once, by more or less at each box, as `dither` has it, from 0 to 1: of 85 boxes
    /// that do not hear each other each would send one request at once otherwise, by a rate of three.
    pub fn keep_to(&mut self, rest: f64, dither: f64, now: Instant, news_takes: Duration) {
        self.fill(now, news_takes);
        if rest < self.rest {
            self.left *= if self.left > 0.0 { rest / self.rest } else { 1.0 };
            self.left -= dither * (self.rest - rest);
        }
        self.rest = rest;
    }

    /// Notes since when the store has shown something else than the server said.
    pub fn compare_stored(&mut self, now: Instant) {
        let differs = match (self.stored, self.stated.rate) {
            (None, None) => false,
            (Some(stored), Some(rate)) => {
                rate.max(stored) > STORED_ABOUT * rate.min(stored).max(LEAST_RATE)
            }
            _ => true,
        };
        if differs {
            self.unstored_since.get_or_insert(now);
        } else {
            self.unstored_since = None;
        }
    }

    /// Requests a second that boxes which hear each other may send; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.stated.rate.map(|rate| rate.max(LEAST_RATE) * self.rest)
    }

    /// Takes in what the server said; an older word changes nothing.
    pub fn hear(&mut self, stated: StatedRate, now: Instant, news_takes: Duration) -> Difference {
        if stated.at < self.stated.at {
            return Difference::Same;
        }
        self.fill(now, news_takes);
        let before = std::mem::replace(&mut self.stated, stated);
        if before.rate.is_none() {
            self.left = 0.0;
        }
        match (before.rate, stated.rate) {
            (before, after) if before == after => Difference::Same,
            (Some(before), Some(after)) if after > before * (1.0 - FALL) => Difference::Slight,
            _ => Difference::Urgent,
        }
    }

    /// Requests that all boxes together have left.
    pub fn left(&self, now: Instant, news_takes: Duration) -> f64 {
        let Some(rate) = self.rate() else { return f64::INFINITY };
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let most = 1.0 + SAVED * rate * news_takes.as_secs_f64();
        (self.left + rate * passed).clamp(-(DEBT * rate).max(1.0), most)
    }

    /// Brings the account up to a moment.
    pub fn fill(&mut self, now: Instant, news_takes: Duration) {
        if self.stated.rate.is_some() {
            self.left = self.left(now, news_takes);
        }
        self.filled_at = self.filled_at.max(now);
    }

    /// Requests were sent, by this box or another one.
    pub fn charge(&mut self, requests: f64, now: Instant, news_takes: Duration) {
        self.fill(now, news_takes);
        self.left -= requests;
    }
}
