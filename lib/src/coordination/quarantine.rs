//! Requests that are refused because they crash every server that executes them.
//!
//! A crashing server breaks off all requests that it executes, so one crash is weak evidence
//! against any of them. After three consecutive crashes of servers that executed a request, the
//! request is taken to be their cause. A request that succeeds is not the cause, whichever servers
//! crashed while executing it. Requests that have seen two crashes are executed on
//! different servers, so that the next crash tells them apart. If several requests have still seen
//! the same crashes, the cause is the request that is executed on the fewest running servers;
//! requests with equal counts are held back and admitted one after the other.
//!
//! Boxes report crashes to each other by datagram: each one within the region, and from the second
//! consecutive one on to all boxes. A verdict is sent to all boxes at once, written to the store,
//! and passed to a starting box by the box that it queries for the state.
//!
//! All tables are bounded. They evict what a verdict needs least, and of that the oldest entry.

mod evidence;
mod executions;
mod successes;
pub mod wire;

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

use self::evidence::Crash;
use self::evidence::Evidence;
use self::executions::Executions;
use self::successes::RecentSuccesses;
use super::fingerprint::CallerHash;
use super::fingerprint::ContentHash;
use super::fingerprint::Fingerprint;
use super::interrupted::InterruptedRequest;
use super::interrupted::ServerIncarnation;
use crate::protocol::ServerId;

/// Consecutive crashes from which a request is taken to be their cause. A request that was only
/// executed on a crashing server may be sent again two or three times by its box and its caller.
const CRASHES_FOR_VERDICT: usize = 3;
/// Consecutive crashes from which a request is taken to be the cause even if others have seen as
/// many: callers try less often than that.
const CRASHES_FOR_CERTAINTY: usize = 5;
/// Consecutive crashes from which a request is isolated on servers without other suspects, and
/// reported to all boxes.
const CRASHES_FOR_ISOLATION: usize = 2;
/// Time from a crash to the verdict: by then the other boxes of the region have reported the
/// requests that they were executing at the server.
const EVALUATION_DELAY: Duration = Duration::from_millis(100);
/// Time between the admission of requests that have seen the same crashes: an engine executes most
/// requests within it.
const STAGGER_INTERVAL: Duration = Duration::from_millis(500);
/// Number of running servers executing a request for this box from which one more crash is weak
/// evidence against the request.
const INDEPENDENT_SERVERS: usize = 2;
/// Factor by which the times that servers executed two contents before they crashed must differ to
/// tell the contents apart.
const DISTINCT_TIME_FACTOR: u32 = 2;
/// Maximum number of intervals that a request is held back: a caller gives up after some seconds.
const MAX_STAGGER_INTERVALS: u32 = 4;
/// How long a request is refused, extended while it keeps arriving. It is the longest lease time of
/// the store.
pub const VERDICT_TTL: Duration = Duration::from_secs(600);
/// How long crashes are remembered, and how long one crash suffices after a verdict has expired.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests for which crashes are remembered: some hundred servers that crash at
/// once with all that they execute.
const MAX_SUSPECTS: usize = 4096;
/// Maximum number of verdicts, some 100 bytes each. Each verdict takes the crashes of three
/// servers, so there are few.
const MAX_VERDICTS: usize = 1024;
/// How long each datagram repeats a new crash or verdict: five or more reports, of which some are
/// lost.
const REPEAT_DURATION: Duration = Duration::from_millis(1200);
/// Maximum number of crashes in a datagram, some 35 bytes each: a box may lose 60 responses with
/// one server.
const MAX_CRASHES_PER_REPORT: usize = 128;
/// Maximum number of new verdicts in a datagram.
const MAX_NEW_VERDICTS_PER_REPORT: usize = 32;
/// Number of older verdicts in a datagram, chosen at random so that each box eventually receives
/// all.
const OTHER_VERDICTS_PER_REPORT: usize = 8;
/// Time within which the box that reached a verdict writes it to the store; after that others do.
const WRITE_GRACE: Duration = Duration::from_secs(2);
/// How long a success overrides verdicts and crashes that are still in transit.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);
/// Maximum latency of a report; the time of a reported crash is late by up to this much.
const MAX_LATENCY: Duration = Duration::from_millis(150);

/// Subject of a verdict: a content as sent by one caller or by any.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Hash of the content.
    pub content: ContentHash,
    /// The caller if all crashes occurred under requests of that one.
    pub caller: Option<CallerHash>,
}

/// The boxes to notify of a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// The boxes of this region.
    Region,
    /// All boxes.
    AllRegions,
}

/// Crashes under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// Consecutive crashes under requests of any caller.
    pub crashes: usize,
    /// Consecutive crashes under requests of this caller.
    pub crashes_of_caller: usize,
    /// Number of callers under whose requests servers crashed.
    pub callers: usize,
    /// Number of servers that currently execute the request for this box.
    pub server_count: usize,
}

/// Evaluation of a content, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evaluation {
    /// The content.
    pub content: ContentHash,
    /// Independent consecutive crashes under requests of any caller.
    pub crashes: usize,
    /// Crashed servers that this box knows, independent or not.
    pub known_servers: usize,
    /// Crashed servers that this box has forgotten to make room for others.
    pub forgotten_servers: usize,
    /// Number of callers under whose requests servers crashed.
    pub callers: usize,
    /// Number of servers that currently execute the content for this box.
    pub server_count: usize,
    /// How likely the content is the cause.
    pub ranking: Ranking,
    /// Number of verdicts issued.
    pub verdicts: usize,
}

impl fmt::Display for Evaluation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Evaluation { content, crashes, callers, server_count, ranking, verdicts, .. } = self;
        write!(
            f,
            "content={content:016x} ends={crashes} known={} forgotten={} callers={callers} \
             width={server_count} ranking=\"{ranking:?}\" verdicts={verdicts}",
            self.known_servers, self.forgotten_servers,
        )
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    evidence: Evidence,
    /// Whether the content succeeded on this box shortly before the first crash.
    succeeded_before: bool,
    /// Whether the last evaluation found another content more likely. It applies until the next
    /// crash.
    is_unlikely: bool,
    /// When the request is evaluated; it is refused until then.
    evaluate_at: Option<Instant>,
    /// Until when the request is held back because others have seen the same crashes.
    held_until: Option<Instant>,
    /// Whether this box observed the last crash itself.
    observed_here: bool,
    /// Time of the last crash.
    last_crash_at: Instant,
}

/// How likely a content is the cause among others that have seen the same crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ranking {
    /// Another content is more likely: it has a verdict, or is executed on fewer running servers.
    Unlikely,
    /// Other contents are equally likely.
    Tied {
        /// Number of these that are admitted before this one.
        ahead: u32,
    },
    /// No other content is as likely.
    MostLikely,
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    issued_at: Instant,
    until: Instant,
    /// Whether the verdict is known to be in the store.
    stored: bool,
}

/// Crashes, verdicts and executions known to a box.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<ContentHash, Suspect>,
    verdicts: HashMap<Target, Verdict>,
    cleared: HashMap<Target, Instant>,
    executions: Executions,
    successes: RecentSuccesses,
    unwritten: BTreeSet<Target>,
    /// Verdicts issued since the last tick.
    unannounced: Vec<Target>,
    /// Number of crashes recorded so far.
    recorded_crashes: u64,
    /// Evaluations that were not taken yet.
    evaluations: Vec<Evaluation>,
}

impl Quarantine {
    /// Whether there are neither suspects nor verdicts.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.verdicts.is_empty()
    }

    /// Records a crash under a request of this box. Returns the boxes to notify, if any.
    pub fn record_crash(
        &mut self,
        incarnation: ServerIncarnation,
        interrupted: InterruptedRequest,
        now: Instant,
    ) -> Option<Audience> {
        let InterruptedRequest { request, sent_at, interrupted_at } = interrupted;
        let crash = Crash {
            incarnation,
            caller: request.caller,
            sent_at,
            crashed_at: interrupted_at,
            observed_here: true,
        };
        self.add_crash(request.content, crash, now)
    }

    /// Records a crash that another box has observed.
    pub fn receive_crash(&mut self, report: &wire::CrashReport, now: Instant) {
        let millis_ago = |ms: u32| now.checked_sub(Duration::from_millis(ms.into()));
        let (Some(sent_at), Some(crashed_at)) =
            (millis_ago(report.sent_ms), millis_ago(report.ended_ms))
        else {
            return;
        };
        let crash = Crash {
            incarnation: report.life,
            caller: report.caller,
            sent_at,
            crashed_at,
            observed_here: false,
        };
        self.add_crash(report.content, crash, now);
    }

    fn add_crash(&mut self, content: ContentHash, crash: Crash, now: Instant) -> Option<Audience> {
        if self.is_outdated(content, &crash) {
            return None;
        }
        let Crash { caller, observed_here, .. } = crash;
        let expired_verdict = self.expired_verdict(content, caller, now);
        let succeeded_before = self.successes.contains(content, now);
        let succeeded_at = self.cleared.get(&Target { content, caller: None }).copied();
        // One server may crash under thousands of requests. These must not displace the few under
        // which several did.
        evict_lowest_if_full(&mut self.suspects, MAX_SUSPECTS, |_, suspect| {
            (suspect.evidence.server_count(), suspect.last_crash_at)
        });
        let suspect = self.suspects.entry(content).or_insert_with(|| Suspect {
            evidence: Evidence::default(),
            succeeded_before,
            is_unlikely: false,
            evaluate_at: None,
            held_until: None,
            observed_here,
            last_crash_at: crash.crashed_at,
        });
        succeeded_at.into_iter().for_each(|at| suspect.evidence.record_success(at));
        let is_new_server = !suspect.evidence.includes_server(crash.incarnation);
        if !suspect.evidence.add(crash) {
            return None;
        }
        self.recorded_crashes += 1;
        suspect.is_unlikely &= !is_new_server;
        // The time of the report is not used: boxes would repeat the crash to each other forever.
        suspect.last_crash_at = suspect.last_crash_at.max(crash.crashed_at);
        suspect.observed_here = observed_here;
        let crashes = suspect.evidence.consecutive_crashes(None);
        let of_caller = suspect.evidence.consecutive_crashes(Some(caller));
        if crashes.max(of_caller) >= CRASHES_FOR_VERDICT {
            // The other requests that the last server was executing are recorded after this one.
            let settled_at = now + EVALUATION_DELAY;
            let evaluate_at = suspect.evaluate_at.get_or_insert(settled_at);
            if is_new_server {
                *evaluate_at = settled_at.max(*evaluate_at);
            }
        }
        if let Some(target) = expired_verdict {
            self.issue_verdict(target, observed_here, now);
            return Some(Audience::AllRegions);
        }
        let known_servers = suspect.evidence.server_count();
        Some(if known_servers >= CRASHES_FOR_ISOLATION {
            Audience::AllRegions
        } else {
            Audience::Region
        })
    }

    /// Whether the request succeeded after the crash. Boxes without that information still report
    /// the crash.
    fn is_outdated(&self, content: ContentHash, crash: &Crash) -> bool {
        let target = Target { content, caller: Some(crash.caller) };
        let latency = if crash.observed_here { Duration::ZERO } else { MAX_LATENCY };
        self.cleared.get(&target).is_some_and(|at| crash.crashed_at <= *at + latency)
    }

    /// The expired verdict on a request, for which one more crash suffices.
    fn expired_verdict(
        &self,
        content: ContentHash,
        caller: CallerHash,
        now: Instant,
    ) -> Option<Target> {
        let targets = [Some(caller), None].map(|caller| Target { content, caller });
        let is_expired =
            |target: &Target| self.verdicts.get(target).is_some_and(|verdict| verdict.until <= now);
        targets.into_iter().find(is_expired)
    }

    /// Records that a request succeeded, so that it does not crash every server. Returns whether
    /// other boxes must be notified.
    pub fn record_success(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.successes.record(request.content, now);
        let Some(suspect) = self.suspects.get_mut(&request.content) else { return false };
        suspect.evidence.clear(request.caller);
        suspect.evidence.record_success(now);
        if suspect.evidence.is_empty() {
            self.suspects.remove(&request.content);
        }
        self.clear(Target { content: request.content, caller: Some(request.caller) }, now);
        // If the request of one caller does not crash servers, neither does the content alone.
        self.clear(Target { content: request.content, caller: None }, now);
        true
    }

    fn clear(&mut self, target: Target, now: Instant) {
        self.unwritten.remove(&target);
        self.verdicts.remove(&target);
        evict_lowest_if_full(&mut self.cleared, MAX_VERDICTS, |_, at| *at);
        self.cleared.insert(target, now);
    }

    /// How much longer a request is refused, if it is.
    pub fn refused_for(&mut self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let Fingerprint { content, caller } = request;
        let suspect = self.suspects.get(&content);
        if suspect.and_then(|suspect| suspect.evaluate_at).is_some_and(|at| at <= now) {
            let verdicts = self.evaluate(content, now);
            self.unannounced.extend(verdicts);
        }
        if !self.is_explained(content, now) {
            let targets = [Some(caller), None].map(|caller| Target { content, caller });
            let refused = targets.into_iter().find_map(|target| self.enforce(target, now));
            if refused.is_some() {
                return refused;
            }
        }
        let suspect = self.suspects.get(&content)?;
        let until = suspect.evaluate_at?;
        let evidence = &suspect.evidence;
        let crashes = evidence.consecutive_crashes(None);
        let of_caller = evidence.consecutive_crashes(Some(caller));
        // Successes since may have left too few crashes for a verdict.
        if crashes.max(of_caller) < self.crashes_for_verdict(content, suspect) {
            return None;
        }
        if self.rank(content, evidence, crashes, now) == Ranking::Unlikely {
            return None;
        }
        Some(until.saturating_duration_since(now).max(EVALUATION_DELAY))
    }

    /// How much longer a verdict applies, if it does. It is extended, and written to the store if
    /// it is not there.
    fn enforce(&mut self, target: Target, now: Instant) -> Option<Duration> {
        let verdict = self.verdicts.get_mut(&target)?;
        let time_left = verdict.until.saturating_duration_since(now);
        if time_left.is_zero() {
            return None;
        }
        if time_left < VERDICT_TTL / 2 {
            *verdict = Verdict { issued_at: now, until: now + VERDICT_TTL, stored: false };
            self.unwritten.insert(target);
        } else if !verdict.stored && now >= verdict.issued_at + WRITE_GRACE {
            // The box that reached the verdict may have stopped before writing it to the store.
            verdict.issued_at = now;
            self.unwritten.insert(target);
        }
        Some(time_left)
    }

    /// Whether another content with a verdict crashed the same servers and more. A verdict that was
    /// reached while both had crashed the same ones is not enforced then.
    fn is_explained(&self, content: ContentHash, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(&content) else { return false };
        let refused = self.verdicts.iter().filter(|(_, verdict)| now < verdict.until);
        let others = refused.map(|(target, _)| target.content).filter(|other| *other != content);
        let mut others = others.filter_map(|other| self.suspects.get(&other));
        others.any(|other| {
            other.evidence.explains(&suspect.evidence)
                && !suspect.evidence.explains(&other.evidence)
        })
    }

    /// Number of crashes from which a content is taken to be their cause. Contents that are present
    /// at most crashes, whatever the cause, need more.
    fn crashes_for_verdict(&self, content: ContentHash, suspect: &Suspect) -> usize {
        let is_common = suspect.succeeded_before
            || self.executions.server_count(content) >= INDEPENDENT_SERVERS;
        if is_common { CRASHES_FOR_CERTAINTY } else { CRASHES_FOR_VERDICT }
    }

    /// Crashes under a request, if there are any, so that it matters where the request is executed.
    pub fn suspicion(&self, request: Fingerprint) -> Option<Suspicion> {
        let evidence = &self.suspects.get(&request.content)?.evidence;
        Some(Suspicion {
            crashes: evidence.consecutive_crashes(None),
            crashes_of_caller: evidence.consecutive_crashes(Some(request.caller)),
            callers: evidence.callers().len(),
            server_count: self.executions.server_count(request.content),
        })
    }

    /// Whether a request has seen so many crashes that it is isolated on a server without other
    /// suspects.
    pub fn needs_isolation(&self, request: Fingerprint) -> bool {
        self.is_isolated(request.content)
    }

    fn is_isolated(&self, content: ContentHash) -> bool {
        self.is_suspected(content, CRASHES_FOR_ISOLATION)
    }

    fn is_due_for_verdict(&self, content: ContentHash) -> bool {
        self.is_suspected(content, CRASHES_FOR_VERDICT)
    }

    /// Whether a content has seen this many crashes, and nothing suggests that it is not the cause.
    fn is_suspected(&self, content: ContentHash, crashes: usize) -> bool {
        let Some(suspect) = self.suspects.get(&content) else { return false };
        !suspect.is_unlikely
            && self.executions.server_count(content) < INDEPENDENT_SERVERS
            && suspect.evidence.consecutive_crashes(None) >= crashes
    }

    /// Servers that execute another suspicious request of this or another box.
    pub fn servers_with_suspects(
        &self,
        request: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = &ServerId> {
        self.servers_of_others(request, Self::is_isolated)
            .chain(self.executions.reserved_by_peers(now))
    }

    /// Those of [`Quarantine::servers_with_suspects`] that must not execute the request at all: if
    /// it has as many crashes as a verdict needs, it and another such request would continue to
    /// crash servers together.
    pub fn reserved_servers(
        &self,
        request: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = &ServerId> {
        let is_due = self.is_due_for_verdict(request.content);
        let reserved = self.servers_of_others(request, Self::is_due_for_verdict);
        reserved.chain(self.executions.reserved_by_peers(now)).filter(move |_| is_due)
    }

    /// Servers that execute, for this box, a content other than that of `excluded` that fulfils
    /// `predicate`.
    fn servers_of_others(
        &self,
        excluded: Fingerprint,
        predicate: fn(&Self, ContentHash) -> bool,
    ) -> impl Iterator<Item = &ServerId> {
        let others =
            self.suspects.keys().copied().filter(move |content| *content != excluded.content);
        let matching = others.filter(move |content| predicate(self, *content));
        matching.flat_map(|content| self.executions.servers(content))
    }

    /// Servers that execute a request of this box with as many crashes as a verdict needs.
    pub fn own_reserved_servers(&self) -> Vec<ServerId> {
        let due = self.suspects.keys().filter(|content| self.is_due_for_verdict(**content));
        due.flat_map(|content| self.executions.servers(*content)).cloned().collect()
    }

    /// Records the servers on which another box executes requests with as many crashes as a verdict
    /// needs.
    pub fn receive_reserved_servers(&mut self, sender: u64, servers: &[ServerId], now: Instant) {
        self.executions.receive(sender, servers, now);
    }

    /// Records that a request is sent to a server.
    pub fn begin_execution(&mut self, server: ServerId, request: Fingerprint) {
        self.executions.begin(server, request.content);
    }

    /// Records that a request has ended at a server.
    pub fn finish_execution(&mut self, server: &str, request: Fingerprint) {
        self.executions.finish(server, request.content);
    }

    /// Evaluates suspects that are due, and drops old entries. Returns the new verdicts.
    pub fn tick(&mut self, now: Instant) -> Vec<Target> {
        if self.is_empty() && self.cleared.is_empty() {
            return Vec::new();
        }
        let due = |suspect: &Suspect| suspect.evaluate_at.is_some_and(|at| at <= now);
        let due: Vec<ContentHash> =
            self.suspects.iter().filter(|(_, suspect)| due(suspect)).map(|(c, _)| *c).collect();
        let mut new_verdicts = std::mem::take(&mut self.unannounced);
        new_verdicts.extend(due.into_iter().flat_map(|content| self.evaluate(content, now)));
        self.suspects.retain(|_, suspect| now < suspect.last_crash_at + CRASH_RETENTION);
        self.verdicts.retain(|_, verdict| now < verdict.until + CRASH_RETENTION);
        self.cleared.retain(|_, at| now < *at + CLEARED_RETENTION);
        self.executions.expire(now);
        new_verdicts
    }

    /// Number of crashes recorded so far, by request and server, that were unknown here.
    pub fn recorded_crashes(&self) -> u64 {
        self.recorded_crashes
    }

    /// Takes the evaluations since the last call, with and without verdicts.
    pub fn take_evaluations(&mut self) -> Vec<Evaluation> {
        std::mem::take(&mut self.evaluations)
    }

    /// Evaluates one content.
    fn evaluate(&mut self, content: ContentHash, now: Instant) -> Vec<Target> {
        let Some(suspect) = self.suspects.get(&content) else { return Vec::new() };
        let evidence = &suspect.evidence;
        let observed_here = suspect.observed_here;
        let callers = evidence.callers();
        let mut targets: Vec<Target> = callers
            .iter()
            .filter(|caller| evidence.consecutive_crashes(Some(**caller)) >= CRASHES_FOR_VERDICT)
            .map(|caller| Target { content, caller: Some(*caller) })
            .collect();
        let crashes = evidence.consecutive_crashes(None);
        let most_of_caller = callers
            .iter()
            .map(|caller| evidence.consecutive_crashes(Some(*caller)))
            .max()
            .unwrap_or_default();
        // This applies in addition to verdicts on single callers: each further caller would crash
        // as many servers again.
        if callers.len() > 1 && crashes >= CRASHES_FOR_VERDICT {
            targets.push(Target { content, caller: None });
        }
        let ranking = self.rank(content, evidence, crashes, now);
        let required_crashes = self.crashes_for_verdict(content, suspect);
        let mut evaluation = Evaluation {
            content,
            crashes,
            known_servers: evidence.server_count(),
            forgotten_servers: evidence.forgotten_servers(),
            callers: callers.len(),
            server_count: self.executions.server_count(content),
            ranking,
            verdicts: 0,
        };
        if let Some(suspect) = self.suspects.get_mut(&content) {
            // A suspect that was held back is evaluated once more before it may be executed: others
            // may have a verdict by then.
            let was_held = suspect.held_until.take().is_some();
            suspect.evaluate_at = None;
            suspect.is_unlikely = ranking == Ranking::Unlikely;
            if let Ranking::Tied { ahead } = ranking
                && !was_held
                && crashes < CRASHES_FOR_CERTAINTY
                && ahead > 0
            {
                let next_evaluation = now + STAGGER_INTERVAL * ahead.min(MAX_STAGGER_INTERVALS);
                suspect.held_until = Some(next_evaluation);
                suspect.evaluate_at = Some(next_evaluation);
            }
        }
        let is_certain = match ranking {
            Ranking::Unlikely => false,
            Ranking::Tied { .. } => crashes >= CRASHES_FOR_CERTAINTY,
            Ranking::MostLikely => crashes.max(most_of_caller) >= required_crashes,
        };
        if !is_certain {
            targets.clear();
        }
        evaluation.verdicts = targets.len();
        self.evaluations.push(evaluation);
        for target in &targets {
            self.issue_verdict(*target, observed_here, now);
        }
        targets
    }

    /// Ranks a content among others that have seen the same crashes.
    fn rank(
        &self,
        content: ContentHash,
        evidence: &Evidence,
        crashes: usize,
        now: Instant,
    ) -> Ranking {
        let contenders = self.equally_suspect(content, evidence);
        let compare = |other: &ContentHash| self.compare_plausibility(*other, content, crashes);
        let is_likelier = |other: &ContentHash| {
            compare(other) == Ordering::Greater || self.has_active_verdict(*other, now)
        };
        if contenders.iter().any(is_likelier) {
            return Ranking::Unlikely;
        }
        let mut tied =
            contenders.iter().filter(|other| compare(other) == Ordering::Equal).peekable();
        if tied.peek().is_none() {
            return Ranking::MostLikely;
        }
        Ranking::Tied { ahead: tied.filter(|other| **other < content).count() as u32 }
    }

    /// Compares how likely two contents are the cause of the same crashes. Less likely is one that
    /// succeeded shortly before them, then one that servers executed for longer before they
    /// crashed, then one that is executed on more running servers. The last says little about a
    /// content that keeps crashing servers: one that is sent often is executed on several at any
    /// moment.
    fn compare_plausibility(&self, a: ContentHash, b: ContentHash, crashes: usize) -> Ordering {
        let (Some(first), Some(second)) = (self.suspects.get(&a), self.suspects.get(&b)) else {
            return Ordering::Equal;
        };
        let is_certain = crashes >= CRASHES_FOR_CERTAINTY;
        let factor = if is_certain { 1 } else { DISTINCT_TIME_FACTOR };
        let evidence = [first, second].map(|suspect| &suspect.evidence);
        let by_callers = less_by_factor(evidence.map(Evidence::most_callers), factor as usize);
        let by_time = less_by_factor(evidence.map(Evidence::longest_execution), factor);
        let server_counts = [b, a].map(|content| self.executions.server_count(content));
        let by_servers = match is_certain {
            true => Ordering::Equal,
            false => server_counts[0].cmp(&server_counts[1]),
        };
        second
            .succeeded_before
            .cmp(&first.succeeded_before)
            .then(by_callers)
            .then(by_time)
            .then(by_servers)
    }

    fn has_active_verdict(&self, content: ContentHash, now: Instant) -> bool {
        let callers = self.suspects.get(&content).map(|suspect| suspect.evidence.callers());
        let callers = callers.into_iter().flatten().map(Some).chain([None]);
        let mut targets = callers.map(|caller| Target { content, caller });
        targets.any(|target| self.verdicts.get(&target).is_some_and(|verdict| now < verdict.until))
    }

    /// Other contents that were present at all crashes under this one. They are compared by server:
    /// a content that is sent often has more independent crashes than one that is sent seldom, even
    /// if the latter is their cause.
    fn equally_suspect(&self, content: ContentHash, evidence: &Evidence) -> Vec<ContentHash> {
        let others = self.suspects.iter().filter(|(other, _)| **other != content);
        let matching = others.filter(|(_, other)| other.evidence.explains(evidence));
        matching.map(|(other, _)| *other).collect()
    }

    fn issue_verdict(&mut self, target: Target, observed_here: bool, now: Instant) {
        self.make_room_for_verdict();
        let verdict = Verdict { issued_at: now, until: now + VERDICT_TTL, stored: false };
        self.verdicts.insert(target, verdict);
        if observed_here {
            self.unwritten.insert(target);
            self.unwritten.retain(|target| self.verdicts.contains_key(target));
        }
    }

    /// Removes a verdict if the table is full: one on a single caller of a content that is refused
    /// to all, or else the oldest.
    fn make_room_for_verdict(&mut self) {
        let refused_to_all: HashSet<ContentHash> = self
            .verdicts
            .keys()
            .filter(|target| self.verdicts.len() >= MAX_VERDICTS && target.caller.is_none())
            .map(|target| target.content)
            .collect();
        evict_lowest_if_full(&mut self.verdicts, MAX_VERDICTS, |target, verdict| {
            let is_needed = target.caller.is_none() || !refused_to_all.contains(&target.content);
            (is_needed, verdict.issued_at)
        });
    }

    /// Records a verdict, or the end of one, that another box reports.
    pub fn receive_verdict(&mut self, report: &wire::VerdictReport, now: Instant) {
        let target = Target { content: report.content, caller: report.caller };
        if report.left_ms == 0 {
            if let Some(suspect) = self.suspects.get_mut(&report.content) {
                report.caller.into_iter().for_each(|caller| suspect.evidence.clear(caller));
                suspect.evidence.record_success(now);
            }
            if self.verdicts.contains_key(&target) {
                self.clear(target, now);
            }
            return;
        }
        let time_left = Duration::from_millis(report.left_ms.into()).min(VERDICT_TTL);
        self.adopt_verdict(target, time_left, false, now);
    }

    /// Records that the store contains a verdict.
    pub fn record_stored_verdict(&mut self, target: Target, now: Instant) {
        self.adopt_verdict(target, VERDICT_TTL, true, now);
        self.unwritten.remove(&target);
    }

    /// Records that the store no longer contains a verdict. If it still applies, it is written
    /// again.
    pub fn record_lost_verdict(&mut self, target: Target, now: Instant) {
        let Some(verdict) = self.verdicts.get_mut(&target) else { return };
        verdict.stored = false;
        if now < verdict.until {
            self.unwritten.insert(target);
        }
    }

    fn adopt_verdict(&mut self, target: Target, time_left: Duration, stored: bool, now: Instant) {
        if self.cleared.contains_key(&target) {
            return;
        }
        if !self.verdicts.contains_key(&target) {
            self.make_room_for_verdict();
        }
        let default_verdict = Verdict { issued_at: now, until: now, stored };
        let verdict = self.verdicts.entry(target).or_insert(default_verdict);
        verdict.until = verdict.until.max(now + time_left);
        verdict.stored |= stored;
    }

    /// Crashes for a report: those that this box observed, and all crashes under requests with at
    /// least `CRASHES_FOR_ISOLATION` of them. Boxes of other regions get only crashes under such
    /// requests. Requests with the most crashes come first.
    pub fn crash_reports(&self, audience: Audience, now: Instant) -> Vec<wire::CrashReport> {
        let recent = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now < suspect.last_crash_at + REPEAT_DURATION);
        let mut recent: Vec<(usize, ContentHash, &Suspect)> = recent
            .map(|(content, suspect)| (suspect.evidence.server_count(), *content, suspect))
            .filter(|(crashes, ..)| {
                audience == Audience::Region || *crashes >= CRASHES_FOR_ISOLATION
            })
            .collect();
        recent.sort_by_key(|(crashes, _, suspect)| {
            std::cmp::Reverse((*crashes, suspect.last_crash_at))
        });
        // The first crash of each server comes before further callers of any, because verdicts
        // count servers.
        let mut crash_list: Vec<(usize, ContentHash, Crash)> = Vec::new();
        for (crashes, content, suspect) in recent {
            for crashes_of_server in suspect.evidence.crashes_by_server() {
                let reported = crashes_of_server
                    .filter(|crash| crash.observed_here || crashes >= CRASHES_FOR_ISOLATION);
                crash_list.extend(
                    reported.enumerate().map(|(position, crash)| (position, content, crash)),
                );
            }
        }
        crash_list.sort_by_key(|(position, ..)| *position);
        let millis_ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let reports = crash_list.into_iter().take(MAX_CRASHES_PER_REPORT);
        let reports = reports.map(|(_, content, crash)| wire::CrashReport {
            content,
            caller: crash.caller,
            life: crash.incarnation,
            sent_ms: millis_ago(crash.sent_at),
            ended_ms: millis_ago(crash.crashed_at),
        });
        reports.collect()
    }

    /// Verdicts for a report: new ones, some older ones, and requests that were cleared recently.
    pub fn verdict_reports(&self, now: Instant, rng: &mut impl Rng) -> Vec<wire::VerdictReport> {
        let is_new = |verdict: &Verdict| now < verdict.issued_at + REPEAT_DURATION;
        let (new, others): (Vec<_>, Vec<_>) =
            self.verdicts.iter().partition(|(_, verdict)| is_new(verdict));
        let (for_all, of_callers): (Vec<_>, Vec<_>) =
            new.into_iter().partition(|(target, _)| target.caller.is_none());
        // Which ones are left out of a full report changes from one to the next.
        let for_all = for_all.into_iter().choose_multiple(rng, MAX_NEW_VERDICTS_PER_REPORT);
        let room = MAX_NEW_VERDICTS_PER_REPORT - for_all.len();
        let of_callers = of_callers.into_iter().choose_multiple(rng, room);
        let others = others.into_iter().choose_multiple(rng, OTHER_VERDICTS_PER_REPORT);
        let reported = for_all.into_iter().chain(of_callers).chain(others);
        let cleared = self.cleared.iter().filter(|(_, at)| now < **at + REPEAT_DURATION);
        let cleared = cleared.choose_multiple(rng, OTHER_VERDICTS_PER_REPORT).into_iter();
        let cleared = cleared.map(|(target, _)| verdict_report(*target, Duration::ZERO));
        reported.filter_map(|verdict| active_verdict_report(verdict, now)).chain(cleared).collect()
    }

    /// All verdicts that apply, for a starting box.
    pub fn active_verdicts(&self, now: Instant) -> Vec<wire::VerdictReport> {
        self.verdicts.iter().filter_map(|verdict| active_verdict_report(verdict, now)).collect()
    }

    /// Number of verdicts.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Verdicts that the store lacks.
    pub fn unwritten_verdicts(&self, limit: usize) -> Vec<Target> {
        self.unwritten.iter().take(limit).copied().collect()
    }
}

fn verdict_report(target: Target, time_left: Duration) -> wire::VerdictReport {
    let Target { content, caller } = target;
    wire::VerdictReport { content, caller, left_ms: time_left.as_millis() as u32 }
}

fn active_verdict_report(
    (target, verdict): (&Target, &Verdict),
    now: Instant,
) -> Option<wire::VerdictReport> {
    let time_left = verdict.until.saturating_duration_since(now);
    (time_left >= Duration::from_millis(1)).then(|| verdict_report(*target, time_left))
}

/// Compares two amounts, of which the lower one is the greater. They are equal if they differ by less
/// than a factor.
fn less_by_factor<T, F>([first, second]: [T; 2], factor: F) -> Ordering
where
    T: Copy + PartialOrd + std::ops::Mul<F, Output = T>,
    F: Copy,
{
    if first * factor < second {
        Ordering::Greater
    } else if second * factor < first {
        Ordering::Less
    } else {
        Ordering::Equal
    }
}

/// Removes the entry with the lowest rank if the map has reached its limit.
fn evict_lowest_if_full<K, V, R>(
    entries: &mut HashMap<K, V>,
    limit: usize,
    rank: impl Fn(&K, &V) -> R,
) where
    K: Copy + Eq + std::hash::Hash,
    R: Ord,
{
    if entries.len() < limit {
        return;
    }
    let lowest = entries.iter().min_by_key(|(key, value)| rank(key, value)).map(|(key, _)| *key);
    lowest.map(|key| entries.remove(&key));
}
