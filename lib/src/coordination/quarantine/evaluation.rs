//! Which of several contents is the cause of the crashes that they have seen.
//!
//! A crashing server breaks off all that it executes, so that contents that are requested often are
//! present at every crash. They are told apart from the cause by what the servers survived: a content
//! that succeeded shortly before, that many callers had sent, or that a server executed for long is
//! less likely than one that did none of this.

use std::cmp::Ordering;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use super::CRASHES_FOR_CERTAINTY;
use super::CRASHES_FOR_VERDICT;
use super::INDEPENDENT_SERVERS;
use super::Quarantine;
use super::Suspect;
use super::Target;
use super::evidence::Evidence;
use crate::coordination::fingerprint::ContentHash;

/// Time between the admission of requests that have seen the same crashes: an engine executes most
/// requests within it.
const STAGGER_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of intervals that a request is held back: a caller gives up after some seconds.
const MAX_STAGGER_INTERVALS: u32 = 4;
/// Factor by which the callers of two contents, or the times that servers executed them, must differ
/// to tell the contents apart.
const DISTINCT_FACTOR: u32 = 2;

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

impl Quarantine {
    /// Takes the evaluations since the last call, with and without verdicts.
    pub fn take_evaluations(&mut self) -> Vec<Evaluation> {
        std::mem::take(&mut self.evaluations)
    }

    /// Evaluates one content.
    pub(super) fn evaluate(&mut self, content: ContentHash, now: Instant) -> Vec<Target> {
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
    pub(super) fn rank(
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

    /// Compares how likely two contents are the cause of the same crashes; [`Ordering::Greater`] if
    /// `a` is the likelier. Less likely is one that
    /// succeeded shortly before them, then one that servers executed for more callers, then one that
    /// they executed for longer, then one that is executed on more running servers. The last says
    /// little about a content that keeps crashing servers: one that is sent often is executed on
    /// several at any moment.
    fn compare_plausibility(&self, a: ContentHash, b: ContentHash, crashes: usize) -> Ordering {
        let (Some(first), Some(second)) = (self.suspects.get(&a), self.suspects.get(&b)) else {
            return Ordering::Equal;
        };
        let is_certain = crashes >= CRASHES_FOR_CERTAINTY;
        let factor = if is_certain { 1 } else { DISTINCT_FACTOR };
        let evidence = [first, second].map(|suspect| &suspect.evidence);
        let by_callers = prefer_lower(evidence.map(Evidence::most_callers), factor as usize);
        let by_time = prefer_lower(evidence.map(Evidence::longest_execution), factor);
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

    /// Other contents that were present at all crashes under this one. They are compared by server:
    /// a content that is sent often has more independent crashes than one that is sent seldom, even
    /// if the latter is their cause.
    fn equally_suspect(&self, content: ContentHash, evidence: &Evidence) -> Vec<ContentHash> {
        let others = self.suspects.iter().filter(|(other, _)| **other != content);
        let matching = others.filter(|(_, other)| other.evidence.explains(evidence));
        matching.map(|(other, _)| *other).collect()
    }

    fn has_active_verdict(&self, content: ContentHash, now: Instant) -> bool {
        let callers = self.suspects.get(&content).map(|suspect| suspect.evidence.callers());
        let callers = callers.into_iter().flatten().map(Some).chain([None]);
        let mut targets = callers.map(|caller| Target { content, caller });
        targets.any(|target| self.verdicts.get(&target).is_some_and(|verdict| now < verdict.until))
    }

    /// Whether another content with a verdict crashed the same servers and more. A verdict that was
    /// reached while both had crashed the same ones is not enforced then.
    pub(super) fn is_explained(&self, content: ContentHash, now: Instant) -> bool {
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
    pub(super) fn crashes_for_verdict(&self, content: ContentHash, suspect: &Suspect) -> usize {
        let is_common = suspect.succeeded_before
            || self.executions.server_count(content) >= INDEPENDENT_SERVERS;
        if is_common { CRASHES_FOR_CERTAINTY } else { CRASHES_FOR_VERDICT }
    }
}

/// Prefers the lower of two amounts: [`Ordering::Greater`] if that is the first one. Amounts that
/// differ by less than `factor` are equal.
fn prefer_lower<T, F>([first, second]: [T; 2], factor: F) -> Ordering
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
