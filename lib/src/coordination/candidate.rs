//! One backend server as a box sees it: what it has there, what it still reads,
//! how it answered lately, and what a request would cost there.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::ejection::Ejection;
use super::loads::Load;
use super::loads::Loads;
use super::prefix_cache::PrefixCache;
use super::rendezvous;
use super::warmup::Warmup;
use crate::protocol::adapter::Part;
use crate::protocol::fleet::Server;

/// Requests on a server, its queue included, against its slots, that boxes
/// together aim for at most: enough to keep it busy, short enough a queue.
const MAX_REQUESTS_PER_SLOT: f64 = 3.0;
/// What a refusal by the server leaves of the limit, down to its slots.
const LIMIT_DECREASE: f64 = 0.8;
/// Tokens read that a running request costs others, by its part in each step.
const RUNNING_REQUEST_TOKENS: f64 = 150.0;
/// What a server in another failure domain costs more, as a factor: bytes on the way there are
/// dear, but not so dear that servers here should wait with much more work.
const CROSS_DOMAIN_FACTOR: f64 = 1.25;
/// Part of a shared text that counts as unread at its rendezvous server when this
/// box has not sent it there: another box most likely has.
const HOME_MISS_FRACTION: f64 = 0.1;
/// What reading a shared text again costs others, against its length: the text is kept twice then,
/// something else gives way to it, and every stream beside it waits, some ten at an engine in use.
/// Against a factor of 2, the mean worth of a day rose from 0.722 to 0.730 at the solar association,
/// from 0.627 to 0.644 at the utility and from 0.823 to 0.833 at the ticket host, and a quarter to
/// a third less of shared text was read again.
const DUPLICATE_PREFILL_COST: f64 = 10.0;

/// How long a server counts as warm after it said so, while nothing else tells: the boxes that ask
/// have asked again three times by then, and told it twice.
const WARM_REPORT_TTL: Duration = Duration::from_millis(600);

/// How long servers count as cold, while nothing else tells, once one of their failure domain has
/// said that it turned cold: they mostly do together. Of five that did, the last one to say so got
/// what the four others no longer got, 19 requests in 0.12 s instead of 17 in a second.
const WARM_DISTRUST: Duration = Duration::from_secs(1);

/// A server as control knows it.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// What it says of itself.
    pub server: Arc<Server>,
    /// Whether it may get work: neither leaving nor evacuated.
    pub usable: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Requests a second that this box may send it while it is cold; `None` if it never is.
    pub cold_share: Option<u32>,
    /// Whether it stands in the failure domain of this box.
    pub same_failure_domain: bool,
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
    TimedOut,
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
    pub backlog: f64,
    /// What its reading costs others beyond that, tokens.
    pub duplicate_cost: f64,
}

/// A server and what this box has there.
pub struct Candidate {
    /// What control knows of it.
    pub state: ServerState,
    /// What stands for it where shared parts find their homes.
    pub hash: u64,
    /// What stands for this life of it where boxes tell each other of it.
    pub incarnation: u64,
    /// Whether another instance has its address. The store may show its entry for seconds more.
    replaced: bool,
    /// Whether it has said that it leaves, which the store may not tell.
    announced_leaving: bool,
    /// Requests of this box.
    pub in_flight: u32,
    /// Prompt tokens of this box whose first token has not come.
    pub unread: f64,
    /// Requests of all boxes that the server seems to take.
    limit: f64,
    ejection: Ejection,
    warmup: Warmup,
    prefix_cache: PrefixCache,
    /// Until when it is cold by its own word, which the store may not have told.
    reported_cold_until: Option<Instant>,
    /// When it last said that it is not cold.
    reported_warm_at: Option<Instant>,
    /// Until when its word that it is not cold does not count.
    distrusted_until: Option<Instant>,
    /// When it last answered this box how it is.
    probed_at: Option<Instant>,
}

/// Requests of all boxes that a server is taken to bear until it refuses some.
fn max_requests(state: &ServerState) -> f64 {
    f64::from(state.server.slots.max(1)) * MAX_REQUESTS_PER_SLOT
}

/// What stands for a server where shared parts find their homes.
pub fn server_hash(id: &str) -> u64 {
    rendezvous::weight(id, "")
}

/// What stands for one life of a server; for its name where it does not say when it started.
pub fn incarnation_hash(server: &Server) -> u64 {
    let id_hash = server_hash(&server.id);
    let started =
        server.born.and_then(|started| started.duration_since(SystemTime::UNIX_EPOCH).ok());
    started.map_or(id_hash, |since| rendezvous::mix(id_hash, since.as_millis() as u64))
}

impl Candidate {
    /// A server; what was sent to it before a moment is not known.
    pub fn new(
        state: ServerState,
        memory_tokens: Option<u64>,
        unknown_before: Option<Instant>,
    ) -> Candidate {
        Candidate {
            hash: server_hash(&state.server.id),
            incarnation: incarnation_hash(&state.server),
            limit: max_requests(&state),
            state,
            replaced: false,
            announced_leaving: false,
            in_flight: 0,
            unread: 0.0,
            ejection: Ejection::default(),
            warmup: Warmup::new(unknown_before),
            prefix_cache: PrefixCache::new(memory_tokens.unwrap_or(0)),
            reported_cold_until: None,
            reported_warm_at: None,
            distrusted_until: None,
            probed_at: None,
        }
    }

    /// Whether it is cold, or may be: a state that is `stale` does not say that it is not.
    pub fn is_cold(&self, stale: bool, now: Instant) -> bool {
        let until = self.state.cold_until.max(self.reported_cold_until);
        let is_reported_cold = until.is_some_and(|until| now < until);
        self.state.cold_share.is_some()
            && (is_reported_cold || (stale && !self.reported_warm_recently(now)))
    }

    fn reported_warm_recently(&self, now: Instant) -> bool {
        let distrusted = self.distrusted_until.is_some_and(|until| now < until);
        !distrusted && self.reported_warm_at.is_some_and(|at| now < at + WARM_REPORT_TTL)
    }

    /// Another server of its failure domain has turned cold.
    pub fn distrust_warm_reports(&mut self, now: Instant) {
        self.distrusted_until = Some(now + WARM_DISTRUST);
    }

    /// It said then how much longer it is cold, not at all for 0. Says whether that is bad news.
    pub fn record_cold_report(&mut self, left: Duration, at: Instant) -> bool {
        if left.is_zero() {
            self.reported_warm_at = self.reported_warm_at.max(Some(at));
            return false;
        }
        let turned_cold = self.reported_cold_until.is_none_or(|until| until <= at);
        self.reported_cold_until = self.reported_cold_until.max(Some(at + left));
        self.reported_warm_at = None;
        turned_cold
    }

    /// It answered this box how it is.
    pub fn record_probe_answer(&mut self, left: Duration, now: Instant) -> bool {
        self.probed_at = Some(now);
        self.record_cold_report(left, now)
    }

    /// What it said to this box a short while ago: how much longer it is cold, and when it said so.
    pub fn recent_cold_report(&self, now: Instant) -> Option<(Duration, Instant)> {
        let at = self.probed_at.filter(|at| now < *at + WARM_REPORT_TTL)?;
        let cold = self.reported_cold_until.map(|until| until.saturating_duration_since(now));
        Some((cold.unwrap_or_default(), at))
    }

    /// Requests a second that this box sent there lately.
    pub fn sent_per_second(&mut self, now: Instant) -> f64 {
        self.warmup.sent_per_second(now)
    }

    /// Takes over what control knows now.
    pub fn update(&mut self, state: ServerState) {
        self.state = state;
    }

    /// Whether it may get work at all.
    pub fn is_usable(&self) -> bool {
        self.state.usable && !self.replaced && !self.announced_leaving
    }

    /// Whether it is about to end, by its own word or by its entry in the store.
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.state.server.leaving
    }

    /// It has said that it leaves, or that no longer holds.
    pub fn set_leaving(&mut self, leaves: bool) {
        self.announced_leaving = leaves;
    }

    /// Whether it is the same life of the same server.
    pub fn is_same_incarnation(&self, state: &ServerState) -> bool {
        self.incarnation == incarnation_hash(&state.server)
    }

    /// Another instance has its address, so it never comes back.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// What this box has there.
    pub fn own_load(&self) -> Load {
        Load { in_flight: self.in_flight, unread: self.unread as u32 }
    }

    /// What all boxes have there. Those that were not heard of are taken to have as much as
    /// this one.
    pub fn load(&self, loads: &Loads, unreported_boxes: usize) -> Load {
        let (own, others) = (self.own_load(), loads.on_server(self.incarnation));
        let boxes_like_this = 1 + unreported_boxes as u32;
        Load {
            in_flight: own.in_flight * boxes_like_this + others.in_flight,
            unread: own.unread * boxes_like_this + others.unread,
        }
    }

    /// Whether it did not fail lately, or is due for a trial.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.ejection.admits(now)
    }

    /// Whether it bears another request now.
    pub fn has_room(&mut self, load: Load, stale: bool, now: Instant) -> bool {
        let share = self.state.cold_share.filter(|_| self.is_cold(stale, now));
        let is_within_cold_share = share.is_none_or(|share| self.warmup.admits(share, now));
        is_within_cold_share && f64::from(load.in_flight) < self.limit
    }

    /// The work that a request would be there, and what is ahead of its first token.
    pub fn estimate_work(&self, parts: &[Part], at_home: bool, load: Load, now: Instant) -> Work {
        let total: f64 = parts.iter().map(|part| f64::from(part.tokens)).sum();
        let own = parts.last().map_or(0.0, |part| f64::from(part.tokens));
        let prefix_cache = self.prefix_cache.cached_tokens(parts, now) as f64;
        let uncached = total - prefix_cache - own;
        let (uncached, duplicate_cost) = if at_home {
            (uncached * HOME_MISS_FRACTION, 0.0)
        } else {
            (uncached, uncached * DUPLICATE_PREFILL_COST)
        };
        let unread = own + uncached;
        let running = f64::from(load.in_flight) + 1.0;
        let backlog = f64::from(load.unread) + unread + running * RUNNING_REQUEST_TOKENS;
        Work { unread, backlog, duplicate_cost }
    }

    /// What a request costs there, tokens.
    pub fn cost(&self, work: Work) -> f64 {
        let distance_factor =
            if self.state.same_failure_domain { 1.0 } else { CROSS_DOMAIN_FACTOR };
        (work.backlog + work.duplicate_cost) * distance_factor
    }

    /// A request goes there.
    pub fn start_request(&mut self, parts: &[Part], work: Work, now: Instant) {
        self.in_flight += 1;
        self.unread += work.unread;
        self.ejection.record_attempt(now);
        self.warmup.record_send(now);
        self.prefix_cache.insert(parts, now);
    }

    /// Prompt tokens were read, or need not be any more.
    pub fn reduce_unread(&mut self, tokens: f64) {
        self.unread = (self.unread - tokens).max(0.0);
    }

    /// An exchange with it ended.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.limit = (self.limit + 1.0 / self.limit).min(max_requests(&self.state));
                self.ejection.record_success();
            }
            Outcome::Shed => {
                let floor = f64::from(self.state.server.slots.max(1));
                self.limit = (self.limit * LIMIT_DECREASE).max(floor);
            }
            Outcome::Unreachable => self.ejection.record_unreachable(now),
            Outcome::Lost | Outcome::TimedOut => self.ejection.record_lost_answer(now),
            Outcome::Replaced => self.mark_replaced(),
            Outcome::Abandoned => {}
        }
    }
}
