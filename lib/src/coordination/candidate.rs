//! One backend server as a box sees it: what it has there, what it still reads,
//! how it answered lately, and what a request would cost there.

use std::sync::Arc;
use std::time::Instant;

use super::ejection::Ejection;
use super::kept::Kept;
use super::loads::Load;
use super::loads::Loads;
use super::rendezvous;
use super::warmup::Warmup;
use crate::protocol::adapter::Part;
use crate::protocol::fleet::Server;

/// Requests on a server, its queue included, against its slots, that boxes
/// together aim for at most: enough to keep it busy, short enough a queue.
const FILL: f64 = 3.0;
/// What a refusal by the server leaves of the limit, down to its slots.
const BACK_OFF: f64 = 0.8;
/// Tokens read that a running request costs others, by its part in each step.
const RUNNING_TOKENS: f64 = 150.0;
/// What a server in another failure domain costs more, as a factor: bytes on the way there are
/// dear, but not so dear that servers here should wait with much more work.
const FAR: f64 = 1.25;
/// Part of a shared text that counts as unread at its rendezvous server when this
/// box has not sent it there: another box most likely has.
const HOME_UNREAD: f64 = 0.1;
/// What reading a shared text again costs others, against its length: the text is kept twice then,
/// something else gives way to it, and every stream beside it waits, some ten at an engine in use.
/// Against a factor of 2, the mean worth of a day rose from 0.722 to 0.730 at the solar association,
/// from 0.627 to 0.644 at the utility and from 0.823 to 0.833 at the ticket host, and a quarter to
/// a third less of shared text was read again.
const READ_AGAIN: f64 = 10.0;

/// A server as control knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it says of itself.
    pub server: Arc<Server>,
    /// Whether it may get work: neither leaving nor evacuated.
    pub usable: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Requests a second that this box may send it while it is cold.
    pub cold_share: u32,
    /// Whether it stands in the failure domain of this box.
    pub near: bool,
}

/// How an exchange with a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer that the server stands for.
    Answered,
    /// A whole answer that says that the server failed.
    Failed,
    /// The server refused: it has no room.
    Shed,
    /// No connection came up.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Lost,
    /// No answer in time.
    Silent,
    /// Another instance has the address.
    Replaced,
    /// The caller went away, or the request was not sent.
    Abandoned,
}

/// Work for a request at a server, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens of its prompt that the server still has to read.
    pub unread: f64,
    /// With all that is ahead of it.
    pub ahead: f64,
    /// What its reading costs others beyond that, tokens.
    pub wasted: f64,
}

/// A server and what this box has there.
pub struct Candidate {
    /// What control knows of it.
    pub known: Known,
    /// What stands for it where shared parts find their homes.
    pub hash: u64,
    /// Requests of this box.
    pub in_flight: u32,
    /// Prompt tokens of this box whose first token has not come.
    pub unread: f64,
    /// Requests of all boxes that the server seems to take.
    limit: f64,
    ejection: Ejection,
    warmup: Warmup,
    kept: Kept,
}

/// Requests of all boxes that a server is taken to bear until it refuses some.
fn ceiling(known: &Known) -> f64 {
    f64::from(known.server.slots.max(1)) * FILL
}

/// What stands for a server where shared parts find their homes.
pub fn server_hash(id: &str) -> u64 {
    rendezvous::weight(id, "")
}

impl Candidate {
    /// A server that nothing was sent to yet by a box that started then.
    pub fn new(known: Known, memory_tokens: Option<u64>, started_at: Instant) -> Candidate {
        Candidate {
            hash: server_hash(&known.server.id),
            limit: ceiling(&known),
            known,
            in_flight: 0,
            unread: 0.0,
            ejection: Ejection::default(),
            warmup: Warmup::new(started_at),
            kept: Kept::new(memory_tokens.unwrap_or(0)),
        }
    }

    /// Whether it is cold, as far as known.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.known.cold_until.is_some_and(|until| now < until)
    }

    /// What this box has there.
    pub fn own_load(&self) -> Load {
        Load { in_flight: self.in_flight, unread: self.unread as u32 }
    }

    /// What all boxes have there. Those that were not heard of are taken to have as much as
    /// this one.
    pub fn load(&self, loads: &Loads, unheard: usize) -> Load {
        let (own, others) = (self.own_load(), loads.on(self.hash));
        let like_own = 1 + unheard as u32;
        Load {
            in_flight: own.in_flight * like_own + others.in_flight,
            unread: own.unread * like_own + others.unread,
        }
    }

    /// Whether it did not fail lately, or is due for a trial.
    pub fn is_sound(&self, now: Instant) -> bool {
        self.ejection.admits(now)
    }

    /// Whether it bears another request now.
    pub fn has_room(&mut self, load: Load, now: Instant) -> bool {
        let warm = !self.is_cold(now) || self.warmup.admits(self.known.cold_share, now);
        warm && f64::from(load.in_flight) < self.limit
    }

    /// The work that a request would be there, and what is ahead of its first token.
    pub fn work(&self, parts: &[Part], home: bool, load: Load, now: Instant) -> Work {
        let total: f64 = parts.iter().map(|part| f64::from(part.tokens)).sum();
        let own = parts.last().map_or(0.0, |part| f64::from(part.tokens));
        let kept = self.kept.tokens(parts, now) as f64;
        let missing = total - kept - own;
        let (missing, wasted) =
            if home { (missing * HOME_UNREAD, 0.0) } else { (missing, missing * READ_AGAIN) };
        let unread = own + missing;
        let running = f64::from(load.in_flight) + 1.0;
        let ahead = f64::from(load.unread) + unread + running * RUNNING_TOKENS;
        Work { unread, ahead, wasted }
    }

    /// What a request costs there, tokens.
    pub fn cost(&self, work: Work) -> f64 {
        let distance = if self.known.near { 1.0 } else { FAR };
        (work.ahead + work.wasted) * distance
    }

    /// A request goes there.
    pub fn take(&mut self, parts: &[Part], work: Work, now: Instant) {
        self.in_flight += 1;
        self.unread += work.unread;
        self.ejection.tried(now);
        self.warmup.sent(now);
        self.kept.read(parts, now);
    }

    /// Prompt tokens were read, or need not be any more.
    pub fn read(&mut self, tokens: f64) {
        self.unread = (self.unread - tokens).max(0.0);
    }

    /// An exchange with it ended.
    pub fn account(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.limit = (self.limit + 1.0 / self.limit).min(ceiling(&self.known));
                self.ejection.answered();
            }
            Outcome::Shed => {
                let floor = f64::from(self.known.server.slots.max(1));
                self.limit = (self.limit * BACK_OFF).max(floor);
            }
            Outcome::Unreachable => self.ejection.unreachable(now),
            Outcome::Lost | Outcome::Silent => self.ejection.lost(now),
            Outcome::Replaced => self.known.usable = false,
            Outcome::Abandoned => {}
        }
    }
}
