//! Parts of prompts that crash servers, whatever else a request contains.
//!
//! No two requests with such a part need be alike, so their contents don't show it. A crash counts
//! against each part of each request that the server was executing, except the last part, which is
//! specific to a request. Most of these parts are harmless and stand in requests that succeed on
//! other servers; a success ends the count. A part is refused after three crashes without a success
//! in between if it had not succeeded shortly before, and after five otherwise. A part whose crashes
//! another part accounts for as well is not refused if it succeeds more often.
//!
//! Crashes under a single content are left to the verdict on that content.
//!
//! Servers also crash for other reasons, each time under many parts. A part is therefore refused only
//! if it was present at half of all crashes since its first one.
//!
//! Verdicts on parts are kept, reported and stored as those on contents.
//!
//! A crash concerns many parts, most of them harmless. A box therefore reports only its own
//! observations, and to other regions only the parts that may turn out to be the cause. When boxes
//! also repeated the reports of others, crashes of a fifth of the servers filled links of 10 Mbit/s.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use super::Audience;
use super::CRASHES_FOR_ISOLATION;
use super::Target;
use super::VERDICT_TTL;
use super::evict_lowest_if_full;
use super::wire;
use crate::coordination::fingerprint::ContentHash;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::rendezvous;
use crate::protocol::adapter::PromptSegment;

/// Crashes without a success in between from which a part is refused.
const CRASHES_FOR_VERDICT: usize = 3;
/// The same number for a part that succeeded shortly before the first of them.
const CRASHES_FOR_CERTAINTY: usize = 5;
/// Time from a crash to the verdict: by then other regions have reported successes of the part.
const EVALUATION_DELAY: Duration = Duration::from_millis(250);
/// Fraction of all servers that crashed since the first crash of a part at which it must have been
/// present. If servers crash for another reason, each part was present at few of them.
const MIN_PRESENCE: f64 = 0.5;
/// Precision of the times in reports.
const REPORT_PRECISION: Duration = Duration::from_millis(2);
/// How long a part is refused that had succeeded shortly before its crashes. It may stand in most
/// requests of a route, and while it is refused nothing can show that it is harmless.
const TRIAL_TTL: Duration = Duration::from_secs(60);
/// Time covered by one generation of successes.
const SUCCESS_GENERATION: Duration = Duration::from_secs(5);
/// Maximum number of parts in a generation. Parts that stand in one request only fill it up.
const MAX_SUCCESSES: usize = 8192;
/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// How long the parts at a server are kept until its crash is confirmed.
const PENDING_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of parts with crashes, and of crashes kept for each.
const MAX_SUSPECTS: usize = 4096;
const MAX_CRASHES: usize = 12;
/// How long reports repeat a crash or a success.
const REPEAT_DURATION: Duration = Duration::from_millis(1200);
/// Maximum number of crashes in the report of a part: as many as the strictest verdict requires.
const MAX_REPORTED_CRASHES: usize = CRASHES_FOR_CERTAINTY;
/// Bytes of the tag and the length of a part in a report.
const FIELD_OVERHEAD_BYTES: usize = 3;
/// Distinguishes hashes of parts from those of contents.
const PART_SALT: u64 = 0x7061_7274;

/// Hash of a part, by which verdicts name it.
pub type PartHash = ContentHash;

/// A part that is refused, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartVerdict {
    /// The part.
    pub part: PartHash,
    /// Crashes without a success in between.
    pub crashes: usize,
    /// Successes on one box shortly before.
    pub successes: u32,
}

impl PartVerdict {
    /// How long the part is refused.
    pub fn ttl(&self) -> Duration {
        if self.successes > 0 { TRIAL_TTL } else { VERDICT_TTL }
    }
}

/// Hashes of the parts of a prompt that other prompts may share.
pub fn shared_parts(segments: &[PromptSegment]) -> impl Iterator<Item = PartHash> {
    let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|segment| rendezvous::mix(segment.id, PART_SALT))
}

/// Successes of parts on this box, in the last one or two generations.
#[derive(Debug, Default)]
struct Successes {
    started_at: Option<Instant>,
    current: HashMap<PartHash, u32>,
    previous: HashMap<PartHash, u32>,
}

impl Successes {
    fn record(&mut self, part: PartHash, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now >= started_at + SUCCESS_GENERATION || self.current.len() >= MAX_SUCCESSES {
            self.previous = std::mem::take(&mut self.current);
            if now >= started_at + SUCCESS_GENERATION * 2 {
                self.previous.clear();
            }
            self.started_at = Some(now);
        }
        *self.current.entry(part).or_default() += 1;
    }

    fn count(&self, part: PartHash) -> u32 {
        let counts = [&self.current, &self.previous].map(|counts| counts.get(&part).copied());
        counts.into_iter().flatten().sum()
    }
}

/// Crash of a server that was executing requests with a part.
#[derive(Clone, Copy, Debug)]
struct PartCrash {
    server: ServerIncarnation,
    /// When the last of these requests was sent to the server.
    sent_at: Instant,
    crashed_at: Instant,
    /// Content of that request.
    content: ContentHash,
    /// Whether this box observed the crash before another one reported it.
    observed_here: bool,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<PartCrash>,
    /// Successes on one box shortly before the first crash, the most of all boxes.
    succeeded_before: u32,
    /// The last success that this box or another has seen.
    succeeded_at: Option<Instant>,
    /// The last success on this box, for reports.
    succeeded_here_at: Option<Instant>,
    evaluate_at: Option<Instant>,
    changed_at: Instant,
    /// The last change that this box observed, which reports repeat for some time.
    observed_at: Option<Instant>,
}

impl Suspect {
    /// The crashes since the last success.
    fn counted(&self) -> impl Iterator<Item = &PartCrash> {
        let since = self.succeeded_at;
        let counts = move |crash: &&PartCrash| since.is_none_or(|since| crash.crashed_at > since);
        self.crashes.iter().filter(counts)
    }

    /// Number of crashes since the last success, each of a server that got a request with the part
    /// after the crash before. Others may have a common cause that is not a request.
    fn crashes_in_a_row(&self) -> usize {
        let mut crashes: Vec<&PartCrash> = self.counted().collect();
        crashes.sort_unstable_by_key(|crash| crash.crashed_at);
        crashes.dedup_by(|later, earlier| later.sent_at + REPORT_PRECISION <= earlier.crashed_at);
        crashes.len()
    }

    fn required_crashes(&self) -> usize {
        if self.succeeded_before > 0 { CRASHES_FOR_CERTAINTY } else { CRASHES_FOR_VERDICT }
    }

    fn includes(&self, server: ServerIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Whether the crashes that count occurred under different contents. A content that crashes servers
    /// has a verdict of its own.
    fn has_several_contents(&self) -> bool {
        let first = self.counted().next().map(|crash| crash.content);
        self.counted().any(|crash| Some(crash.content) != first)
    }

    /// Whether this box observed a change that reports still repeat.
    fn is_news(&self, now: Instant) -> bool {
        self.observed_at.is_some_and(|at| now < at + REPEAT_DURATION)
    }

    /// The crashes that reports name, the last ones first.
    fn reported_crashes(&self, audience: Audience) -> impl Iterator<Item = &PartCrash> {
        let mut crashes: Vec<&PartCrash> = self.crashes.iter().collect();
        crashes.retain(|crash| crash.observed_here || audience == Audience::AllRegions);
        crashes.sort_unstable_by_key(|crash| std::cmp::Reverse(crash.crashed_at));
        crashes.into_iter().take(MAX_REPORTED_CRASHES)
    }

    fn report(&self, part: PartHash, audience: Audience, now: Instant) -> wire::PartReport {
        let millis_ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let mut report = wire::PartReport {
            part,
            successes: self.succeeded_before,
            succeeded_ms: self.succeeded_here_at.map(millis_ago),
            ..wire::PartReport::default()
        };
        for crash in self.reported_crashes(audience) {
            report.lives.push(crash.server);
            report.contents.push(crash.content);
            report.sent_ms.push(millis_ago(crash.sent_at));
            report.ended_ms.push(millis_ago(crash.crashed_at));
        }
        report
    }

    /// Whether this part was present at each of the crashes that count against the other.
    fn accounts_for(&self, other: &Suspect) -> bool {
        other.counted().all(|crash| self.includes(crash.server))
    }
}

/// The last request with a part that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentPart {
    pub content: ContentHash,
    pub sent_at: Instant,
}

/// Crashes and successes of parts, as known to a box.
#[derive(Debug, Default)]
pub(super) struct Parts {
    suspects: HashMap<PartHash, Suspect>,
    successes: Successes,
    /// Parts that a server was executing when responses broke off, and when they were last sent to
    /// it, until its crash is confirmed.
    pending: HashMap<ServerIncarnation, (HashMap<PartHash, SentPart>, Instant)>,
    /// When servers crashed, whatever they were executing.
    crashed_at: HashMap<ServerIncarnation, Instant>,
    /// Number of reports composed.
    report_count: u64,
}

impl Parts {
    /// Whether no part has seen a crash.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records the parts of a request whose response broke off.
    pub fn record_interruption(
        &mut self,
        server: ServerIncarnation,
        parts: impl Iterator<Item = PartHash>,
        sent: SentPart,
        now: Instant,
    ) {
        let (pending, _) = self.pending.entry(server).or_insert_with(|| (HashMap::new(), now));
        for part in parts {
            let last = pending.entry(part).or_insert(sent);
            if sent.sent_at > last.sent_at {
                *last = sent;
            }
        }
    }

    /// Records that a server crashed while it was executing requests of this box. Returns whether
    /// one of their parts may turn out to be the cause, so that all boxes are notified at once.
    pub fn record_crash(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let Some((parts, crashed_at)) = self.pending.remove(&server) else { return false };
        self.record_server(server, crashed_at);
        for (part, SentPart { content, sent_at }) in &parts {
            let succeeded_before = self.successes.count(*part);
            let (sent_at, content) = (*sent_at, *content);
            let crash = PartCrash { server, sent_at, crashed_at, content, observed_here: true };
            self.add_crash(*part, crash, succeeded_before, now);
        }
        parts.keys().any(|part| self.suspects.get(part).is_some_and(|one| self.is_candidate(one)))
    }

    /// Records that a server crashed.
    pub fn record_server(&mut self, server: ServerIncarnation, crashed_at: Instant) {
        let earliest = self.crashed_at.entry(server).or_insert(crashed_at);
        *earliest = crashed_at.min(*earliest);
    }

    /// Whether a part was present at enough of the crashes since its first one that counts.
    fn is_present_at_crashes(&self, suspect: &Suspect) -> bool {
        let Some(first) = suspect.counted().map(|crash| crash.crashed_at).min() else {
            return false;
        };
        let since = first.checked_sub(REPORT_PRECISION).unwrap_or(first);
        let all = self.crashed_at.values().filter(|at| **at >= since).count();
        suspect.counted().count() as f64 >= MIN_PRESENCE * all as f64
    }

    /// Records what another box reports about a part.
    pub fn receive(&mut self, report: &wire::PartReport, now: Instant) {
        let ago = |ms: u32| now.checked_sub(Duration::from_millis(ms.into()));
        let times = report.sent_ms.iter().zip(&report.ended_ms);
        let requests = report.contents.iter().zip(times);
        for (server, (content, (sent_ms, ended_ms))) in report.lives.iter().zip(requests) {
            let Some((sent_at, crashed_at)) = ago(*sent_ms).zip(ago(*ended_ms)) else { continue };
            self.record_server(*server, crashed_at);
            let own = self.successes.count(report.part);
            let (server, content) = (*server, *content);
            let crash = PartCrash { server, sent_at, crashed_at, content, observed_here: false };
            self.add_crash(report.part, crash, own.max(report.successes), now);
        }
        let succeeded_at = report.succeeded_ms.and_then(ago);
        if let Some(suspect) = self.suspects.get_mut(&report.part) {
            suspect.succeeded_at = suspect.succeeded_at.max(succeeded_at);
            suspect.succeeded_before = suspect.succeeded_before.max(report.successes);
        }
    }

    fn add_crash(&mut self, part: PartHash, crash: PartCrash, succeeded_before: u32, now: Instant) {
        evict_lowest_if_full(&mut self.suspects, MAX_SUSPECTS, |_, suspect| {
            (suspect.crashes_in_a_row(), suspect.changed_at)
        });
        let suspect = self.suspects.entry(part).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            succeeded_before: 0,
            succeeded_at: None,
            succeeded_here_at: None,
            evaluate_at: None,
            changed_at: now,
            observed_at: None,
        });
        suspect.succeeded_before = suspect.succeeded_before.max(succeeded_before);
        if suspect.includes(crash.server) {
            return;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        suspect.crashes.push(crash);
        suspect.changed_at = now;
        if crash.observed_here {
            suspect.observed_at = Some(now);
        }
        if suspect.crashes_in_a_row() >= CRASHES_FOR_VERDICT {
            suspect.evaluate_at.get_or_insert(now + EVALUATION_DELAY);
        }
    }

    /// Records that a request with a part succeeded.
    pub fn record_success(&mut self, part: PartHash, now: Instant) {
        self.successes.record(part, now);
        let Some(suspect) = self.suspects.get_mut(&part) else { return };
        if suspect.crashes_in_a_row() > 0 {
            suspect.changed_at = now;
            suspect.observed_at = Some(now);
        }
        suspect.succeeded_at = Some(now);
        suspect.succeeded_here_at = Some(now);
        suspect.evaluate_at = None;
    }

    /// Whether a part is about to be evaluated, so that requests with it are held back.
    pub fn is_held(&self, part: PartHash) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        suspect.evaluate_at.is_some() && self.is_cause(part, suspect)
    }

    /// Drops what no longer counts, and returns the parts that are to be refused.
    pub fn tick(&mut self, now: Instant) -> Vec<PartVerdict> {
        self.pending.retain(|_, (_, at)| now < *at + PENDING_RETENTION);
        self.crashed_at.retain(|_, at| now < *at + CRASH_RETENTION);
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| now < crash.crashed_at + CRASH_RETENTION);
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
        let is_due = |suspect: &Suspect| suspect.evaluate_at.is_some_and(|at| at <= now);
        let due: Vec<PartHash> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(part, _)| *part)
            .collect();
        let verdict = |part: &PartHash| {
            let suspect = &self.suspects[part];
            self.is_cause(*part, suspect).then(|| PartVerdict {
                part: *part,
                crashes: suspect.crashes_in_a_row(),
                successes: suspect.succeeded_before,
            })
        };
        let convicted: Vec<PartVerdict> = due.iter().filter_map(verdict).collect();
        for part in due {
            let suspect = self.suspects.get_mut(&part).into_iter();
            suspect.for_each(|suspect| suspect.evaluate_at = None);
        }
        convicted
    }

    /// Whether a part may turn out to be the cause of its crashes.
    fn is_candidate(&self, suspect: &Suspect) -> bool {
        suspect.crashes_in_a_row() >= CRASHES_FOR_ISOLATION
            && suspect.has_several_contents()
            && self.is_present_at_crashes(suspect)
    }

    /// Whether a part is taken to be the cause of its crashes.
    fn is_cause(&self, part: PartHash, suspect: &Suspect) -> bool {
        if suspect.crashes_in_a_row() < suspect.required_crashes()
            || !suspect.has_several_contents()
            || !self.is_present_at_crashes(suspect)
        {
            return false;
        }
        let others = self.suspects.iter().filter(|(other, _)| **other != part);
        let mut likelier = others.filter(|(_, other)| {
            other.succeeded_before < suspect.succeeded_before
                && other.crashes_in_a_row() >= CRASHES_FOR_VERDICT
                && other.accounts_for(suspect)
        });
        likelier.next().is_none()
    }

    /// Reports of parts whose crashes or successes this box observed recently, in at most `max_bytes`.
    /// Parts with the most crashes come first; the others take turns if a report is full. Boxes of
    /// other regions get candidates, and parts with several crashes that succeeded here.
    pub fn reports(
        &mut self,
        audience: Audience,
        max_bytes: usize,
        now: Instant,
    ) -> Vec<wire::PartReport> {
        self.report_count += 1;
        let is_reported = |suspect: &Suspect| {
            let is_cleared = || {
                suspect.crashes.len() >= CRASHES_FOR_ISOLATION && suspect.crashes_in_a_row() == 0
            };
            audience == Audience::Region || is_cleared() || self.is_candidate(suspect)
        };
        let news = self.suspects.iter().filter(|(_, suspect)| suspect.is_news(now));
        let mut news: Vec<(&PartHash, &Suspect)> =
            news.filter(|(_, suspect)| is_reported(suspect)).collect();
        news.sort_by_cached_key(|(part, suspect)| {
            let rank = rendezvous::mix(**part, self.report_count);
            (std::cmp::Reverse(suspect.crashes_in_a_row()), rank)
        });
        let mut bytes = 0;
        let reports = news.into_iter().map(|(part, suspect)| suspect.report(*part, audience, now));
        let fitting = reports.take_while(|report| {
            bytes += report.encoded_len() + FIELD_OVERHEAD_BYTES;
            bytes <= max_bytes
        });
        fitting.collect()
    }
}

/// The target of a verdict on a part: requests of any caller.
pub(super) fn target(part: PartHash) -> Target {
    Target { content: part, caller: None }
}
