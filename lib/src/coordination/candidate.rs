//! One backend server as a box sees it: what it has there, what it still reads,
//! how it answered lately, and what a request would cost there.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::ejection::Ejection;
use super::kept::Kept;
use super::loads::Load;
use super::loads::Loads;
use super::rendezvous;
use super::warmup::Warmup;
use crate::protocol::adapter::PromptSegment;
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

/// How long a server counts as warm after it said so, while nothing else tells: the boxes that ask
/// have asked again three times by then, and told it twice.
const WARM_WORD: Duration = Duration::from_millis(600);

/// How long servers count as cold, while nothing else tells, once one of their failure domain has
/// said that it turned cold: they mostly do together. Of five that did, the last one to say so got
/// what the four others no longer got, 19 requests in 0.12 s instead of 17 in a second.
const DOUBT: Duration = Duration::from_secs(1);

/// A server as control knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it says of itself.
    pub server: Arc<Server>,
    /// Whether it may get work: neither leaving nor evacuated.
    pub usable: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Requests a second that this box may send it while it is cold; `None` if it never is.
    pub cold_share: Option<u32>,
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
    /// What stands for this life of it where boxes tell each other of it.
    pub life: u64,
    /// Whether another instance has its address. The store may show its entry for seconds more.
    replaced: bool,
    /// Whether it has said that it leaves, which the store may not tell.
    leaves: bool,
    /// Requests of this box.
    pub in_flight: u32,
    /// Prompt tokens of this box whose first token has not come.
    pub unread: f64,
    /// Requests of all boxes that the server seems to take.
    limit: f64,
    ejection: Ejection,
    warmup: Warmup,
    kept: Kept,
    /// Until when it is cold by its own word, which the store may not have told.
    said_cold_until: Option<Instant>,
    /// When it last said that it is not cold.
    said_warm_at: Option<Instant>,
    /// Until when its word that it is not cold does not count.
    doubted_until: Option<Instant>,
    /// When it last answered this box how it is.
    asked_at: Option<Instant>,
}

/// Requests of all boxes that a server is taken to bear until it refuses some.
fn ceiling(known: &Known) -> f64 {
    f64::from(known.server.slots.max(1)) * FILL
}

/// What stands for a server where shared parts find their homes.
pub fn server_hash(id: &str) -> u64 {
    rendezvous::weight(id, "")
}

/// What stands for one life of a server; for its name where it does not say when it started.
pub fn life_hash(server: &Server) -> u64 {
    let name = server_hash(&server.id);
    let born = server.started_at.and_then(|born| born.duration_since(SystemTime::UNIX_EPOCH).ok());
    born.map_or(name, |since| rendezvous::mix(name, since.as_millis() as u64))
}

impl Candidate {
    /// A server; what was sent to it before a moment is not known.
    pub fn new(
        known: Known,
        memory_tokens: Option<u64>,
        unknown_before: Option<Instant>,
    ) -> Candidate {
        Candidate {
            hash: server_hash(&known.server.id),
            life: life_hash(&known.server),
            limit: ceiling(&known),
            known,
            replaced: false,
            leaves: false,
            in_flight: 0,
            unread: 0.0,
            ejection: Ejection::default(),
            warmup: Warmup::new(unknown_before),
            kept: Kept::new(memory_tokens.unwrap_or(0)),
            said_cold_until: None,
            said_warm_at: None,
            doubted_until: None,
            asked_at: None,
        }
    }

    /// Whether it is cold, or may be: a state that is `stale` does not say that it is not.
    pub fn is_cold(&self, stale: bool, now: Instant) -> bool {
        let until = self.known.cold_until.max(self.said_cold_until);
        let told = until.is_some_and(|until| now < until);
        self.known.cold_share.is_some() && (told || (stale && !self.is_said_warm(now)))
    }

    fn is_said_warm(&self, now: Instant) -> bool {
        let doubted = self.doubted_until.is_some_and(|until| now < until);
        !doubted && self.said_warm_at.is_some_and(|at| now < at + WARM_WORD)
    }

    /// Another server of its failure domain has turned cold.
    pub fn doubt(&mut self, now: Instant) {
        self.doubted_until = Some(now + DOUBT);
    }

    /// It said then how much longer it is cold, not at all for 0. Says whether that is bad news.
    pub fn said(&mut self, left: Duration, at: Instant) -> bool {
        if left.is_zero() {
            self.said_warm_at = self.said_warm_at.max(Some(at));
            return false;
        }
        let news = self.said_cold_until.is_none_or(|until| until <= at);
        self.said_cold_until = self.said_cold_until.max(Some(at + left));
        self.said_warm_at = None;
        news
    }

    /// It answered this box how it is.
    pub fn answered(&mut self, left: Duration, now: Instant) -> bool {
        self.asked_at = Some(now);
        self.said(left, now)
    }

    /// What it said to this box a short while ago: how much longer it is cold, and when it said so.
    pub fn word(&self, now: Instant) -> Option<(Duration, Instant)> {
        let at = self.asked_at.filter(|at| now < *at + WARM_WORD)?;
        let cold = self.said_cold_until.map(|until| until.saturating_duration_since(now));
        Some((cold.unwrap_or_default(), at))
    }

    /// Requests a second that this box sent there lately.
    pub fn sent_per_second(&mut self, now: Instant) -> f64 {
        self.warmup.sent_per_second(now)
    }

    /// Takes over what control knows now.
    pub fn update(&mut self, known: Known) {
        self.known = known;
    }

    /// Whether it may get work at all.
    pub fn is_usable(&self) -> bool {
        self.known.usable && !self.replaced && !self.leaves
    }

    /// Whether it is about to end, by its own word or by its entry in the store.
    pub fn is_leaving(&self) -> bool {
        self.leaves || self.known.server.leaving
    }

    /// It has said that it leaves, or that no longer holds.
    pub fn set_leaves(&mut self, leaves: bool) {
        self.leaves = leaves;
    }

    /// Whether it is the same life of the same server.
    pub fn is(&self, known: &Known) -> bool {
        self.life == life_hash(&known.server)
    }

    /// Another instance has its address, so it never comes back.
    pub fn replace(&mut self) {
        self.replaced = true;
    }

    /// What this box has there.
    pub fn own_load(&self) -> Load {
        Load { in_flight: self.in_flight, unread: self.unread as u32 }
    }

    /// What all boxes have there. Those that were not heard of are taken to have as much as
    /// this one.
    pub fn load(&self, loads: &Loads, unheard: usize) -> Load {
        let (own, others) = (self.own_load(), loads.on(self.life));
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
    pub fn has_room(&mut self, load: Load, stale: bool, now: Instant) -> bool {
        let share = self.known.cold_share.filter(|_| self.is_cold(stale, now));
        let bears = share.is_none_or(|share| self.warmup.admits(share, now));
        bears && f64::from(load.in_flight) < self.limit
    }

    /// The work that a request would be there, and what is ahead of its first token.
    pub fn work(&self, parts: &[PromptSegment], home: bool, load: Load, now: Instant) -> Work {
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
    pub fn take(&mut self, parts: &[PromptSegment], work: Work, now: Instant) {
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
            Outcome::Replaced => self.replace(),
            Outcome::Abandoned => {}
        }
    }
}
