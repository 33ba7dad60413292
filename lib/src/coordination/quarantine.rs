//! Requests that are refused because they crash every server that executes them.
//!
//! A crashing server breaks off all requests that it executes, so one crash is weak evidence
//! against any of them. After three consecutive crashes of servers that executed a request, the
//! request is taken to be their cause. A request that succeeds is not the cause, whichever servers
//! crashed while executing it. Requests that have seen two crashes are executed on
//! different servers, so that the next crash tells them apart. If several requests have still seen
//! the same crashes, the `evaluation` module finds the likeliest; requests that are as likely are
//! held back and admitted one after the other.
//!
//! Boxes report crashes to each other: each one within the region, and from the second server on to
//! all boxes. A verdict is sent to all boxes at once, written to the store,
//! and passed to a starting box by the box that it queries for the state.
//!
//! Requests that are all different may have a part of their prompts in common that crashes servers;
//! see `parts`.
//!
//! All tables are bounded. They evict what a verdict needs least, and of that the oldest entry.

mod evaluation;
mod evidence;
mod executions;
mod parts;
mod reports;
mod successes;
mod verdicts;
pub mod wire;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

pub use self::evaluation::Evaluation;
pub use self::evaluation::Ranking;
use self::evidence::Crash;
use self::evidence::Evidence;
use self::executions::Executions;
pub use self::parts::PartHash;
pub use self::parts::PartVerdict;
use self::parts::Parts;
use self::parts::SentPart;
pub use self::parts::shared_parts;
use self::successes::RecentSuccesses;
pub use self::verdicts::VERDICT_TTL;
use self::verdicts::Verdict;
use super::fingerprint::CallerHash;
use super::fingerprint::ContentHash;
use super::fingerprint::Fingerprint;
use super::interrupted::InterruptedRequest;
use super::interrupted::ServerIncarnation;
use crate::protocol::ServerId;
use crate::protocol::adapter::PromptSegment;

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
/// Number of running servers executing a request for this box from which one more crash is weak
/// evidence against the request.
const INDEPENDENT_SERVERS: usize = 2;
/// How long crashes are remembered, and how long one crash suffices after a verdict has expired.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests for which crashes are remembered: some hundred servers that crash at
/// once with all that they execute.
const MAX_SUSPECTS: usize = 4096;
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

/// Crashes, verdicts and executions known to a box.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<ContentHash, Suspect>,
    verdicts: HashMap<Target, Verdict>,
    cleared: HashMap<Target, Instant>,
    executions: Executions,
    parts: Parts,
    successes: RecentSuccesses,
    unwritten: BTreeSet<Target>,
    /// Verdicts issued since the last tick.
    unannounced: Vec<Target>,
    /// Number of crashes recorded so far.
    recorded_crashes: u64,
    /// Evaluations that were not taken yet.
    evaluations: Vec<Evaluation>,
    /// Verdicts on parts that were not taken yet.
    part_verdicts: Vec<PartVerdict>,
}

impl Quarantine {
    /// Whether there are neither suspects nor verdicts.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.verdicts.is_empty() && self.parts.is_empty()
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
        self.parts.record_server(report.life, crashed_at);
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

    /// How much longer a request is refused, if it is.
    pub fn refused_for(&mut self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let Fingerprint { content, caller } = request;
        let suspect = self.suspects.get(&content);
        if suspect.and_then(|suspect| suspect.evaluate_at).is_some_and(|at| at <= now) {
            let verdicts = self.evaluate(content, now);
            self.unannounced.extend(verdicts);
        }
        let targets = [Some(caller), None].map(|caller| Target { content, caller });
        let has_verdict = targets.iter().any(|target| self.verdicts.contains_key(target));
        if has_verdict && !self.is_explained(content, now) {
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

    /// Records the parts of a request whose response broke off.
    pub fn record_interrupted_parts(
        &mut self,
        server: ServerIncarnation,
        segments: &[PromptSegment],
        interrupted: InterruptedRequest,
    ) {
        let InterruptedRequest { request, sent_at, interrupted_at } = interrupted;
        let sent = SentPart { content: request.content, sent_at };
        let shared = parts::shared_parts(segments);
        self.parts.record_interruption(server, shared, sent, interrupted_at);
    }

    /// Records that a server crashed while it was executing requests with these parts. Returns whether
    /// one of them may turn out to be the cause, so that all boxes are notified at once.
    pub fn record_part_crash(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        self.parts.record_crash(server, now)
    }

    /// Records what another box reports about a part.
    pub fn receive_part(&mut self, report: &wire::PartReport, now: Instant) {
        self.parts.receive(report, now);
    }

    /// Takes the verdicts that this box has reached on parts since the last call.
    pub fn take_part_verdicts(&mut self) -> Vec<PartVerdict> {
        std::mem::take(&mut self.part_verdicts)
    }

    /// Parts with crashes or successes that this box observed lately, for a report of at most
    /// `max_bytes`.
    pub fn part_reports(
        &mut self,
        audience: Audience,
        max_bytes: usize,
        now: Instant,
    ) -> Vec<wire::PartReport> {
        self.parts.reports(audience, max_bytes, now)
    }

    /// Records that a request with these parts succeeded, so that none of them crashes every server.
    /// Returns whether one of them was refused, so that other boxes are notified at once.
    pub fn record_part_success(&mut self, segments: &[PromptSegment], now: Instant) -> bool {
        let mut was_refused = false;
        for part in parts::shared_parts(segments) {
            self.parts.record_success(part, now);
            if self.verdicts.contains_key(&parts::target(part)) {
                self.clear(parts::target(part), now);
                was_refused = true;
            }
        }
        was_refused
    }

    /// The part of a prompt that is refused, and for how much longer.
    pub fn refused_part(
        &mut self,
        segments: &[PromptSegment],
        now: Instant,
    ) -> Option<(PartHash, Duration)> {
        parts::shared_parts(segments).find_map(|part| {
            if self.parts.is_held(part) {
                return Some((part, EVALUATION_DELAY));
            }
            Some((part, self.enforce_until_expiry(parts::target(part), now)?))
        })
    }

    /// Evaluates suspects that are due, and drops old entries. Returns the new verdicts.
    pub fn tick(&mut self, now: Instant) -> Vec<Target> {
        let deadly_parts = self.parts.tick(now);
        if self.is_empty() && self.cleared.is_empty() {
            return Vec::new();
        }
        let due = |suspect: &Suspect| suspect.evaluate_at.is_some_and(|at| at <= now);
        let due: Vec<ContentHash> =
            self.suspects.iter().filter(|(_, suspect)| due(suspect)).map(|(c, _)| *c).collect();
        let mut new_verdicts = std::mem::take(&mut self.unannounced);
        new_verdicts.extend(due.into_iter().flat_map(|content| self.evaluate(content, now)));
        for verdict in deadly_parts {
            let target = parts::target(verdict.part);
            if self.verdicts.get(&target).is_none_or(|verdict| verdict.until <= now) {
                self.issue_part_verdict(target, verdict.ttl(), now);
                self.part_verdicts.push(verdict);
                new_verdicts.push(target);
            }
        }
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
