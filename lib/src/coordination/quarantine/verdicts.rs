//! Verdicts: requests that are refused because they crash servers.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::Quarantine;
use super::Target;
use super::evict_lowest_if_full;
use super::wire;
use crate::coordination::fingerprint::CallerHash;
use crate::coordination::fingerprint::ContentHash;

/// How long a request is refused, extended while it keeps arriving. It is the longest lease time of
/// the store.
pub const VERDICT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of verdicts, some 100 bytes each. Each verdict takes the crashes of three
/// servers, so there are few.
const MAX_VERDICTS: usize = 1024;
/// Time within which the box that reached a verdict writes it to the store; after that others do.
const WRITE_GRACE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub(super) struct Verdict {
    pub issued_at: Instant,
    pub until: Instant,
    /// Whether the verdict is known to be in the store.
    stored: bool,
}

impl Quarantine {
    /// The expired verdict on a request, for which one more crash suffices.
    pub(super) fn expired_verdict(
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

    pub(super) fn clear(&mut self, target: Target, now: Instant) {
        self.unwritten.remove(&target);
        self.verdicts.remove(&target);
        evict_lowest_if_full(&mut self.cleared, MAX_VERDICTS, |_, at| *at);
        self.cleared.insert(target, now);
    }

    /// How much longer a verdict applies, if it does. It is extended, and written to the store if
    /// it is not there.
    pub(super) fn enforce(&mut self, target: Target, now: Instant) -> Option<Duration> {
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

    /// As [`Quarantine::enforce`], but the verdict expires although requests keep arriving. A part
    /// that was refused by mistake succeeds nowhere while it is refused.
    pub(super) fn enforce_until_expiry(
        &mut self,
        target: Target,
        now: Instant,
    ) -> Option<Duration> {
        let verdict = self.verdicts.get_mut(&target)?;
        let time_left = verdict.until.saturating_duration_since(now);
        if time_left.is_zero() {
            return None;
        }
        if !verdict.stored && now >= verdict.issued_at + WRITE_GRACE {
            verdict.issued_at = now;
            self.unwritten.insert(target);
        }
        Some(time_left)
    }

    pub(super) fn issue_verdict(&mut self, target: Target, observed_here: bool, now: Instant) {
        self.make_room_for_verdict();
        let verdict = Verdict { issued_at: now, until: now + VERDICT_TTL, stored: false };
        self.verdicts.insert(target, verdict);
        if observed_here {
            self.unwritten.insert(target);
            self.unwritten.retain(|target| self.verdicts.contains_key(target));
        }
    }

    /// Issues a verdict on a part. A short one is not written to the store, which would keep it for
    /// longer.
    pub(super) fn issue_part_verdict(&mut self, target: Target, ttl: Duration, now: Instant) {
        self.issue_verdict(target, ttl == VERDICT_TTL, now);
        if let Some(verdict) = self.verdicts.get_mut(&target) {
            verdict.until = now + ttl;
            verdict.stored = ttl < VERDICT_TTL;
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

    /// Number of verdicts.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Verdicts that the store lacks.
    pub fn unwritten_verdicts(&self, limit: usize) -> Vec<Target> {
        self.unwritten.iter().take(limit).copied().collect()
    }
}
