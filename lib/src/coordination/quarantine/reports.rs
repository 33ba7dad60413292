//! What a box tells the others about crashes and verdicts.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Audience;
use super::CRASHES_FOR_ISOLATION;
use super::Quarantine;
use super::Suspect;
use super::Target;
use super::evidence::Crash;
use super::verdicts::Verdict;
use super::wire;
use crate::coordination::fingerprint::ContentHash;

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

impl Quarantine {
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
