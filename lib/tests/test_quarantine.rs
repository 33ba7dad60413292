//! Which requests are taken to be the cause of server crashes.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::interrupted::InterruptedRequest;
use copperweir_lib::coordination::quarantine::Audience;
use copperweir_lib::coordination::quarantine::Quarantine;
use copperweir_lib::coordination::quarantine::Target;
use copperweir_lib::coordination::quarantine::VERDICT_TTL;
use proptest::prelude::*;

const FATAL: Fingerprint = Fingerprint { content: 7, caller: 1 };
const INNOCENT: Fingerprint = Fingerprint { content: 8, caller: 2 };
/// Time from sending a request to the crash of the server.
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// Time within which a verdict is reached.
const EVALUATED: Duration = Duration::from_millis(300);

/// Servers that crash one after the other under requests.
struct Scenario {
    quarantine: Quarantine,
    now: Instant,
    server_count: u64,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario { quarantine: Quarantine::default(), now: Instant::now(), server_count: 0 }
    }

    /// Another server executes these requests and crashes.
    fn crash_under(&mut self, requests: &[Fingerprint]) -> Vec<Option<Audience>> {
        self.server_count += 1;
        let sent_at = self.now;
        self.now += TIME_TO_CRASH;
        let interrupted_at = self.now;
        let run = |request: &Fingerprint| InterruptedRequest {
            request: *request,
            sent_at,
            interrupted_at,
        };
        let (incarnation, now) = (self.server_count, self.now);
        requests
            .iter()
            .map(|request| self.quarantine.record_crash(incarnation, run(request), now))
            .collect()
    }

    fn wait(&mut self, time: Duration) -> Vec<Target> {
        self.now += time;
        self.quarantine.tick(self.now)
    }

    fn refuses(&mut self, request: Fingerprint) -> bool {
        self.quarantine.refused_for(request, self.now).is_some()
    }
}

#[test]
fn three_consecutive_crashes_lead_to_a_verdict() {
    let mut scenario = Scenario::new();
    assert_eq!(scenario.crash_under(&[FATAL]), [Some(Audience::Region)]);
    assert_eq!(scenario.crash_under(&[FATAL]), [Some(Audience::AllRegions)]);
    assert!(!scenario.refuses(FATAL));
    scenario.crash_under(&[FATAL]);
    assert!(scenario.refuses(FATAL), "it is held back until it is evaluated");
    let target = Target { content: FATAL.content, caller: Some(FATAL.caller) };
    assert_eq!(scenario.wait(EVALUATED), [target]);
    assert!(scenario.refuses(FATAL));
    let same_of_another_caller = Fingerprint { caller: 9, ..FATAL };
    assert!(!scenario.refuses(same_of_another_caller));
}

#[test]
fn a_content_that_several_callers_send_is_refused_to_all() {
    let mut scenario = Scenario::new();
    for caller in 1..=3 {
        scenario.crash_under(&[Fingerprint { caller, ..FATAL }]);
    }
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(Fingerprint { caller: 4, ..FATAL }));
}

#[test]
fn a_content_is_held_back_only_while_there_are_enough_crashes() {
    let mut scenario = Scenario::new();
    let sent_by = |caller| Fingerprint { caller, ..INNOCENT };
    for caller in 1..=3 {
        scenario.crash_under(&[sent_by(caller)]);
    }
    assert!(scenario.refuses(sent_by(4)), "it is held back until it is evaluated");
    scenario.quarantine.record_success(sent_by(1), scenario.now);
    assert!(!scenario.refuses(sent_by(4)));
    assert!(scenario.wait(EVALUATED).is_empty());
}

/// A content that crashed engines was sent by five callers and more. Each caller crashed three
/// engines before it was refused, 28 in all, and each box reached 108 verdicts about that one
/// content.
#[test]
fn further_callers_of_a_refused_content_do_not_crash_three_servers_each() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL]);
    }
    scenario.wait(EVALUATED);
    scenario.crash_under(&[Fingerprint { caller: 5, ..FATAL }]);
    let everyone = Target { content: FATAL.content, caller: None };
    assert!(scenario.wait(EVALUATED).contains(&everyone));
    for caller in 5..10 {
        assert!(scenario.refuses(Fingerprint { caller, ..FATAL }));
    }
    assert!(!scenario.refuses(Fingerprint { caller: 5, ..INNOCENT }));
}

#[test]
fn a_success_of_one_caller_ends_a_verdict_on_all_callers() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL]);
    }
    scenario.wait(EVALUATED);
    let other = Fingerprint { caller: 5, ..FATAL };
    scenario.crash_under(&[other]);
    scenario.wait(EVALUATED);
    let now = scenario.now;
    scenario.quarantine.record_success(other, now);
    assert!(!scenario.refuses(other) && !scenario.refuses(Fingerprint { caller: 6, ..FATAL }));
    assert!(scenario.refuses(FATAL), "crashes under its own requests still count");
}

#[test]
fn simultaneous_crashes_are_no_evidence() {
    let mut scenario = Scenario::new();
    let (sent_at, now) = (scenario.now, scenario.now + TIME_TO_CRASH);
    for incarnation in 1..=20 {
        scenario.quarantine.record_crash(
            incarnation,
            InterruptedRequest { request: FATAL, sent_at, interrupted_at: now },
            now,
        );
    }
    scenario.wait(EVALUATED);
    assert!(!scenario.refuses(FATAL));
}

#[test]
fn an_answered_request_is_not_the_cause() {
    let mut scenario = Scenario::new();
    for _ in 0..10 {
        scenario.crash_under(&[FATAL, INNOCENT]);
        let now = scenario.now;
        scenario.quarantine.record_success(INNOCENT, now);
    }
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(FATAL));
    assert!(!scenario.refuses(INNOCENT));
}

#[test]
fn requests_with_the_same_crashes_are_admitted_one_after_the_other() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL, INNOCENT]);
    }
    assert!(scenario.wait(EVALUATED).is_empty());
    assert_ne!(scenario.refuses(FATAL), scenario.refuses(INNOCENT), "one of them may be executed");
    // The next crash tells them apart.
    scenario.crash_under(&[FATAL]);
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(FATAL));
    scenario.wait(Duration::from_secs(3));
    assert!(!scenario.refuses(INNOCENT));
}

/// Requests that are identical among callers are executed on every server. They were present at
/// every crash, and some hundreds a second were held back. The request that crashes servers is
/// executed on no running server.
#[test]
fn requests_on_several_running_servers_are_not_held_back() {
    let mut scenario = Scenario::new();
    for server in ["s1", "s2"] {
        scenario.quarantine.begin_execution(server.to_owned(), INNOCENT);
    }
    for _ in 0..3 {
        scenario.crash_under(&[FATAL, INNOCENT]);
        assert!(!scenario.refuses(INNOCENT));
    }
    assert_eq!(scenario.wait(EVALUATED).len(), 1);
    assert!(scenario.refuses(FATAL) && !scenario.refuses(INNOCENT));
}

/// The last suspect held back needs no trial: the others are executed by then, and their servers
/// keep running.
#[test]
fn the_last_suspect_is_refused_without_another_crash() {
    let mut scenario = Scenario::new();
    let first = Fingerprint { content: FATAL.content - 1, caller: 3 };
    for _ in 0..3 {
        scenario.crash_under(&[FATAL, first]);
    }
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(FATAL) && !scenario.refuses(first));
    scenario.quarantine.begin_execution("s9".to_owned(), first);
    for _ in 0..6 {
        assert!(scenario.refuses(FATAL));
        scenario.wait(Duration::from_millis(200));
    }
    let target = Target { content: FATAL.content, caller: Some(FATAL.caller) };
    assert!(scenario.quarantine.unwritten_verdicts(9).contains(&target));
    assert!(!scenario.refuses(first));
}

#[test]
fn suspicious_requests_are_executed_on_different_servers() {
    let mut scenario = Scenario::new();
    scenario.crash_under(&[FATAL, INNOCENT]);
    assert!(!scenario.quarantine.needs_isolation(FATAL));
    scenario.crash_under(&[FATAL, INNOCENT]);
    assert!(scenario.quarantine.needs_isolation(FATAL));
    scenario.quarantine.begin_execution("s1".to_owned(), INNOCENT);
    scenario.quarantine.receive_reserved_servers(5, &["s2".to_owned()], scenario.now);
    let occupied: Vec<_> = scenario.quarantine.servers_with_suspects(FATAL, scenario.now).collect();
    assert_eq!(occupied, ["s1", "s2"]);
    scenario.quarantine.finish_execution("s1", INNOCENT);
    scenario.quarantine.receive_reserved_servers(5, &[], scenario.now);
    assert_eq!(scenario.quarantine.servers_with_suspects(FATAL, scenario.now).count(), 0);
}

#[test]
fn an_expired_verdict_is_renewed_by_one_more_crash() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL]);
    }
    scenario.wait(EVALUATED);
    scenario.wait(VERDICT_TTL + TIME_TO_CRASH);
    assert!(!scenario.refuses(FATAL));
    assert_eq!(scenario.crash_under(&[FATAL]), [Some(Audience::AllRegions)]);
    assert!(scenario.refuses(FATAL));
}

#[test]
fn crashes_seen_by_different_boxes_lead_to_a_verdict_in_all() {
    let mut scenarios = [Scenario::new(), Scenario::new(), Scenario::new()];
    let start = scenarios[0].now;
    // Each box observes one crash and reports it to the others.
    for (number, incarnation) in [(0, 1), (1, 2), (2, 3)] {
        let sent_at = start + TIME_TO_CRASH * number;
        let now = sent_at + TIME_TO_CRASH;
        scenarios[number as usize].quarantine.record_crash(
            incarnation,
            InterruptedRequest { request: FATAL, sent_at, interrupted_at: now },
            now,
        );
        let reported = scenarios[number as usize].quarantine.crash_reports(Audience::Region, now);
        for scenario in &mut scenarios {
            reported.iter().for_each(|report| scenario.quarantine.receive_crash(report, now));
            scenario.now = now;
        }
    }
    for scenario in &mut scenarios {
        assert!(scenario.refuses(FATAL));
        scenario.wait(EVALUATED);
        assert!(scenario.refuses(FATAL));
    }
    // Only the box that observed the last crash writes the verdict; others do if it does not.
    let unwritten =
        scenarios.each_ref().map(|scenario| scenario.quarantine.unwritten_verdicts(9).len());
    assert_eq!(unwritten, [0, 0, 1]);
    scenarios[0].wait(Duration::from_secs(3));
    assert!(scenarios[0].refuses(FATAL));
    assert_eq!(scenarios[0].quarantine.unwritten_verdicts(9).len(), 1);
}

/// Boxes report all crashes of a request to each other from the second one on. A box in which the
/// request had been answered dropped them, then received them from the next box as new ones and
/// passed them on. 15 s after the last crash, a request that had been answered hundreds of times
/// was still held back at times.
#[test]
fn crashes_before_a_success_are_not_reported_again() {
    let mut scenarios = [Scenario::new(), Scenario::new()];
    let start = scenarios[0].now;
    for incarnation in 1..=3 {
        let sent_at = start + TIME_TO_CRASH * incarnation as u32;
        let run = InterruptedRequest {
            request: INNOCENT,
            sent_at,
            interrupted_at: sent_at + TIME_TO_CRASH,
        };
        scenarios[0].quarantine.record_crash(incarnation, run, sent_at + TIME_TO_CRASH);
    }
    let mut now = start + TIME_TO_CRASH * 4;
    let exchange = |scenarios: &mut [Scenario; 2], now: Instant| {
        for (from, to) in [(0, 1), (1, 0)] {
            let ends = scenarios[from].quarantine.crash_reports(Audience::AllRegions, now);
            ends.iter().for_each(|report| scenarios[to].quarantine.receive_crash(report, now));
            scenarios[to].now = now;
        }
    };
    exchange(&mut scenarios, now);
    assert!(scenarios.iter_mut().all(|scenario| scenario.refuses(INNOCENT)));
    now += Duration::from_millis(10);
    scenarios[0].quarantine.record_success(INNOCENT, now);
    exchange(&mut scenarios, now);
    assert!(
        !scenarios[0].refuses(INNOCENT),
        "the other box reports crashes from before the success"
    );
    for _ in 0..20 {
        now += Duration::from_millis(200);
        exchange(&mut scenarios, now);
    }
    assert!(
        scenarios[1].quarantine.crash_reports(Audience::AllRegions, now).is_empty(),
        "the crashes are no longer reported"
    );
}

#[test]
fn a_verdict_reaches_boxes_by_report_by_state_and_by_store() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL]);
    }
    scenario.wait(EVALUATED);
    let now = scenario.now;
    let reported = scenario.quarantine.verdict_reports(now, &mut rand::rng());
    let active = scenario.quarantine.active_verdicts(now);
    for verdicts in [reported, active] {
        let mut other = Quarantine::default();
        verdicts.iter().for_each(|verdict| other.receive_verdict(verdict, now));
        assert!(other.refused_for(FATAL, now).is_some());
    }
    let mut started = Quarantine::default();
    started.record_stored_verdict(scenario.quarantine.unwritten_verdicts(1)[0], now);
    assert!(started.refused_for(FATAL, now).is_some());
}

/// Some 2 MB at most, whatever callers send.
#[test]
fn memory_is_bounded() {
    let mut scenario = Scenario::new();
    for content in 0..10_000 {
        for _ in 0..3 {
            scenario.crash_under(&[Fingerprint { content, caller: content }]);
        }
        if content % 100 == 0 {
            scenario.wait(EVALUATED);
        }
    }
    scenario.wait(EVALUATED);
    assert!(scenario.quarantine.len() <= 1024);
    assert!(scenario.quarantine.unwritten_verdicts(usize::MAX).len() <= 1024);
    assert!(scenario.quarantine.crash_reports(Audience::Region, scenario.now).len() <= 128);
    assert!(scenario.quarantine.verdict_reports(scenario.now, &mut rand::rng()).len() <= 48);
    // The newest verdicts are kept.
    assert!(scenario.refuses(Fingerprint { content: 9_999, caller: 9_999 }));
}

proptest! {
    /// Whatever is executed beside it: a request that crashes each server is refused after five
    /// consecutive crashes, and a request that succeeds every second time is not refused for long.
    #[test]
    fn the_cause_is_refused_and_others_are_served(
        beside in prop::collection::vec(prop::collection::vec(10_u64..40, 0..12), 5..9),
    ) {
        let mut scenario = Scenario::new();
        for contents in &beside {
            let mut running: Vec<Fingerprint> =
                contents.iter().map(|content| Fingerprint { content: *content, caller: 3 }).collect();
            running.push(FATAL);
            scenario.crash_under(&running);
            scenario.wait(EVALUATED);
            for content in contents {
                let now = scenario.now;
                scenario.quarantine.record_success(Fingerprint { content: *content, caller: 3 }, now);
            }
        }
        prop_assert!(scenario.refuses(FATAL));
        scenario.wait(Duration::from_secs(3));
        for content in 10..40 {
            let innocent = Fingerprint { content, caller: 3 };
            prop_assert!(!scenario.refuses(innocent));
        }
    }
}
