//! Which requests are taken for the cause of servers' ends.

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
/// Time from a send to the end of the server.
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// Time in which a verdict is reached.
const EVALUATED: Duration = Duration::from_millis(300);

/// Servers that end one after the other under requests.
struct Scenario {
    quarantine: Quarantine,
    now: Instant,
    server_count: u64,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario { quarantine: Quarantine::default(), now: Instant::now(), server_count: 0 }
    }

    /// Another server runs these requests, and ends.
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
        let (life, now) = (self.server_count, self.now);
        requests
            .iter()
            .map(|request| self.quarantine.record_crash(life, run(request), now))
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
fn three_ends_in_a_row_are_enough() {
    let mut scenario = Scenario::new();
    assert_eq!(scenario.crash_under(&[FATAL]), [Some(Audience::Region)]);
    assert_eq!(scenario.crash_under(&[FATAL]), [Some(Audience::AllRegions)]);
    assert!(!scenario.refuses(FATAL));
    scenario.crash_under(&[FATAL]);
    assert!(scenario.refuses(FATAL), "it is held until it is judged");
    let target = Target { content: FATAL.content, caller: Some(FATAL.caller) };
    assert_eq!(scenario.wait(EVALUATED), [target]);
    assert!(scenario.refuses(FATAL));
    let same_of_another_caller = Fingerprint { caller: 9, ..FATAL };
    assert!(!scenario.refuses(same_of_another_caller));
}

#[test]
fn what_several_callers_send_is_refused_to_all() {
    let mut scenario = Scenario::new();
    for caller in 1..=3 {
        scenario.crash_under(&[Fingerprint { caller, ..FATAL }]);
    }
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(Fingerprint { caller: 4, ..FATAL }));
}

#[test]
fn a_content_is_held_back_no_longer_than_enough_speaks_against_it() {
    let mut scenario = Scenario::new();
    let sent_by = |caller| Fingerprint { caller, ..INNOCENT };
    for caller in 1..=3 {
        scenario.crash_under(&[sent_by(caller)]);
    }
    assert!(scenario.refuses(sent_by(4)), "it is held until it is judged");
    scenario.quarantine.record_success(sent_by(1), scenario.now);
    assert!(!scenario.refuses(sent_by(4)));
    assert!(scenario.wait(EVALUATED).is_empty());
}

/// A content that crashed engines was sent by five callers and more: each ended three of them before it was refused, 28
/// engines in all, and each box came to 108 verdicts about that one content.
#[test]
fn each_further_caller_of_a_content_that_is_refused_to_one_ends_no_three_servers_more() {
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
fn a_success_of_one_caller_acquits_what_was_refused_to_all() {
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
    assert!(scenario.refuses(FATAL), "its own ends stand");
}

#[test]
fn servers_that_end_together_are_no_evidence() {
    let mut scenario = Scenario::new();
    let (sent_at, now) = (scenario.now, scenario.now + TIME_TO_CRASH);
    for life in 1..=20 {
        scenario.quarantine.record_crash(
            life,
            InterruptedRequest { request: FATAL, sent_at, interrupted_at: now },
            now,
        );
    }
    scenario.wait(EVALUATED);
    assert!(!scenario.refuses(FATAL));
}

#[test]
fn what_was_answered_is_not_the_cause() {
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
fn those_that_saw_the_same_ends_are_let_in_one_after_the_other() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL, INNOCENT]);
    }
    assert!(scenario.wait(EVALUATED).is_empty());
    assert_ne!(scenario.refuses(FATAL), scenario.refuses(INNOCENT), "one of them may run");
    // The next end tells them apart.
    scenario.crash_under(&[FATAL]);
    scenario.wait(EVALUATED);
    assert!(scenario.refuses(FATAL));
    scenario.wait(Duration::from_secs(3));
    assert!(!scenario.refuses(INNOCENT));
}

/// Requests that are alike among callers run on every server, so they were under every end and were held back, some
/// hundreds a second. The one that ends servers runs on none that lives.
#[test]
fn what_runs_on_servers_that_live_is_not_held_back() {
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

/// The last one that was held back needs no trial: the others run by then, and their servers live.
#[test]
fn who_is_left_is_refused_without_another_end() {
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
fn suspicious_requests_run_on_different_servers() {
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
fn a_verdict_runs_out_and_one_more_end_renews_it() {
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
fn what_boxes_tell_each_other_is_enough_for_all_of_them() {
    let mut scenarios = [Scenario::new(), Scenario::new(), Scenario::new()];
    let start = scenarios[0].now;
    // Each box sees one end; each tells the others.
    for (number, life) in [(0, 1), (1, 2), (2, 3)] {
        let sent_at = start + TIME_TO_CRASH * number;
        let now = sent_at + TIME_TO_CRASH;
        scenarios[number as usize].quarantine.record_crash(
            life,
            InterruptedRequest { request: FATAL, sent_at, interrupted_at: now },
            now,
        );
        let told = scenarios[number as usize].quarantine.crash_reports(Audience::Region, now);
        for scenario in &mut scenarios {
            told.iter().for_each(|crash_under| scenario.quarantine.receive_crash(crash_under, now));
            scenario.now = now;
        }
    }
    for scenario in &mut scenarios {
        assert!(scenario.refuses(FATAL));
        scenario.wait(EVALUATED);
        assert!(scenario.refuses(FATAL));
    }
    // Only the box that saw the last one writes the verdict; others do if it does not.
    let unwritten =
        scenarios.each_ref().map(|scenario| scenario.quarantine.unwritten_verdicts(9).len());
    assert_eq!(unwritten, [0, 0, 1]);
    scenarios[0].wait(Duration::from_secs(3));
    assert!(scenarios[0].refuses(FATAL));
    assert_eq!(scenarios[0].quarantine.unwritten_verdicts(9).len(), 1);
}

/// Boxes tell each other all ends of a request from the second on. One that had been answered dropped them and was
/// told of them again by the next box, as news, which it passed on: 15 s after the last end the request was still held
/// back at times, though it had been answered hundreds of times.
#[test]
fn ends_from_before_a_success_do_not_come_back() {
    let mut scenarios = [Scenario::new(), Scenario::new()];
    let start = scenarios[0].now;
    for life in 1..=3 {
        let sent_at = start + TIME_TO_CRASH * life as u32;
        let run = InterruptedRequest {
            request: INNOCENT,
            sent_at,
            interrupted_at: sent_at + TIME_TO_CRASH,
        };
        scenarios[0].quarantine.record_crash(life, run, sent_at + TIME_TO_CRASH);
    }
    let mut now = start + TIME_TO_CRASH * 4;
    let exchange = |scenarios: &mut [Scenario; 2], now: Instant| {
        for (from, to) in [(0, 1), (1, 0)] {
            let ends = scenarios[from].quarantine.crash_reports(Audience::AllRegions, now);
            ends.iter()
                .for_each(|crash_under| scenarios[to].quarantine.receive_crash(crash_under, now));
            scenarios[to].now = now;
        }
    };
    exchange(&mut scenarios, now);
    assert!(scenarios.iter_mut().all(|scenario| scenario.refuses(INNOCENT)));
    now += Duration::from_millis(10);
    scenarios[0].quarantine.record_success(INNOCENT, now);
    exchange(&mut scenarios, now);
    assert!(!scenarios[0].refuses(INNOCENT), "the other box tells what is over");
    for _ in 0..20 {
        now += Duration::from_millis(200);
        exchange(&mut scenarios, now);
    }
    assert!(
        scenarios[1].quarantine.crash_reports(Audience::AllRegions, now).is_empty(),
        "it is no news"
    );
}

#[test]
fn a_verdict_reaches_a_box_by_any_way() {
    let mut scenario = Scenario::new();
    for _ in 0..3 {
        scenario.crash_under(&[FATAL]);
    }
    scenario.wait(EVALUATED);
    let now = scenario.now;
    let told = scenario.quarantine.verdict_reports(now, &mut rand::rng());
    let asked = scenario.quarantine.active_verdicts(now);
    for verdicts in [told, asked] {
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
    // The newest are known.
    assert!(scenario.refuses(Fingerprint { content: 9_999, caller: 9_999 }));
}

proptest! {
    /// Whatever runs beside it: a request that ends each server is refused after five ends in a row,
    /// and one that is answered each second time it comes is not refused for long.
    #[test]
    fn the_cause_is_found_and_others_are_served(
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
