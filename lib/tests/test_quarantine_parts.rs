//! Parts of prompts that crash servers, and harmless parts that stand beside them or were present
//! when servers crashed for other reasons.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::interrupted::InterruptedRequest;
use copperweir_lib::coordination::quarantine::Audience;
use copperweir_lib::coordination::quarantine::Quarantine;
use copperweir_lib::coordination::quarantine::VERDICT_TTL;
use copperweir_lib::protocol::adapter::PromptSegment;
use prost::Message;

const FIRST: u64 = 1;
const DEADLY: u64 = 2;
const HARMLESS: u64 = 3;
const SECOND: Duration = Duration::from_secs(1);
/// Time from sending a request to the crash of its server.
const EXECUTION: Duration = Duration::from_millis(50);
/// Time until a crash is evaluated.
const EVALUATION: Duration = Duration::from_millis(300);

/// Maximum size of the reports of parts.
const MAX_BYTES: usize = 4 << 10;

/// A prompt of these parts, and a last one of its own.
fn prompt(parts: &[u64]) -> Vec<PromptSegment> {
    let segment = |id: &u64| PromptSegment { id: *id, tokens: 50 };
    parts.iter().chain([&999]).map(segment).collect()
}

struct Fixture {
    quarantine: Quarantine,
    now: Instant,
    next_server: u64,
    /// Content of all requests; `None` if no two are alike.
    content: Option<u64>,
}

impl Fixture {
    fn new() -> Fixture {
        let now = Instant::now() + SECOND;
        Fixture { quarantine: Quarantine::default(), now, next_server: 0, content: None }
    }

    fn succeed(&mut self, parts: &[u64]) {
        self.quarantine.record_part_success(&prompt(parts), self.now);
    }

    /// Crashes a server that was executing these requests.
    fn crash(&mut self, requests: &[&[u64]]) {
        self.next_server += 1;
        for parts in requests {
            let interrupted = self.interrupted(self.now - EXECUTION);
            let prompt = prompt(parts);
            self.quarantine.record_interrupted_parts(self.next_server, &prompt, interrupted);
        }
        self.quarantine.record_part_crash(self.next_server, self.now);
    }

    /// A request of this content that was interrupted now.
    fn interrupted(&self, sent_at: Instant) -> InterruptedRequest {
        let content = self.content.unwrap_or(self.next_server);
        let request = Fingerprint { content, caller: 0 };
        InterruptedRequest { request, sent_at, interrupted_at: self.now }
    }

    fn wait(&mut self, duration: Duration) {
        self.now += duration;
        self.quarantine.tick(self.now);
    }

    fn is_refused(&mut self, parts: &[u64]) -> bool {
        self.quarantine.refused_part(&prompt(parts), self.now).is_some()
    }

    /// Sends what this box knows to another.
    fn report_to(&mut self, other: &mut Fixture) {
        other.now = other.now.max(self.now);
        for report in self.quarantine.part_reports(Audience::Region, MAX_BYTES, self.now) {
            other.quarantine.receive_part(&report, other.now);
        }
        for verdict in self.quarantine.active_verdicts(self.now) {
            other.quarantine.receive_verdict(&verdict, other.now);
        }
    }
}

#[test]
fn part_is_refused_after_three_crashes_and_parts_beside_it_are_not() {
    let mut fixture = Fixture::new();
    for _ in 0..3 {
        fixture.succeed(&[FIRST, HARMLESS]);
        fixture.wait(SECOND / 10);
        fixture.crash(&[&[FIRST, DEADLY, HARMLESS], &[FIRST, HARMLESS]]);
        fixture.wait(SECOND / 10);
    }
    fixture.wait(EVALUATION);
    assert!(fixture.is_refused(&[FIRST, DEADLY, HARMLESS]));
    assert!(!fixture.is_refused(&[FIRST, HARMLESS]));
    assert!(!fixture.is_refused(&[FIRST, 77]));
}

#[test]
fn part_of_a_single_deadly_content_is_not_refused() {
    let mut fixture = Fixture::new();
    fixture.content = Some(5);
    for _ in 0..6 {
        fixture.crash(&[&[FIRST, DEADLY]]);
        fixture.wait(EVALUATION);
    }
    assert!(!fixture.is_refused(&[FIRST, DEADLY]));
}

#[test]
fn last_part_is_never_suspected() {
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        fixture.crash(&[&[]]);
        fixture.wait(EVALUATION);
    }
    assert!(!fixture.is_refused(&[]));
    assert!(!fixture.is_refused(&[999]));
}

#[test]
fn common_part_is_not_refused_while_all_servers_are_down() {
    let mut fixture = Fixture::new();
    for _ in 0..50 {
        fixture.succeed(&[FIRST, HARMLESS]);
        fixture.wait(SECOND / 20);
    }
    for _ in 0..9 {
        fixture.crash(&[&[FIRST, DEADLY], &[FIRST, HARMLESS]]);
        fixture.wait(SECOND / 10);
    }
    fixture.wait(EVALUATION);
    assert!(fixture.is_refused(&[FIRST, DEADLY]));
    assert!(!fixture.is_refused(&[FIRST, 77]));
}

#[test]
fn part_that_turns_deadly_is_refused_after_five_crashes_and_tried_again_later() {
    let mut fixture = Fixture::new();
    fixture.succeed(&[DEADLY]);
    for crashes in 1..=5 {
        fixture.crash(&[&[DEADLY]]);
        fixture.wait(EVALUATION);
        assert_eq!(fixture.is_refused(&[DEADLY]), crashes == 5, "{crashes} crashes");
    }
    fixture.wait(SECOND * 61);
    assert!(!fixture.is_refused(&[DEADLY]));
}

#[test]
fn parts_are_not_refused_for_servers_that_crash_at_the_same_moment() {
    let mut fixture = Fixture::new();
    for _ in 0..9 {
        fixture.crash(&[&[FIRST, HARMLESS]]);
        fixture.wait(Duration::from_millis(2));
    }
    fixture.wait(EVALUATION);
    assert!(!fixture.is_refused(&[FIRST, HARMLESS]));
}

#[test]
fn resend_that_crashes_the_next_server_at_once_counts() {
    let mut fixture = Fixture::new();
    for server in 0..3 {
        let sent_at = fixture.now;
        fixture.wait(Duration::from_millis(20));
        let deadly = prompt(&[DEADLY]);
        fixture.next_server = server;
        let interrupted = fixture.interrupted(sent_at);
        fixture.quarantine.record_interrupted_parts(server, &deadly, interrupted);
        fixture.quarantine.record_part_crash(server, fixture.now);
        fixture.wait(Duration::from_millis(2));
    }
    fixture.wait(EVALUATION);
    assert!(fixture.is_refused(&[DEADLY]));
}

#[test]
fn rare_part_is_not_refused_for_servers_that_crash_for_another_reason() {
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        for rare_part in 100..110 {
            fixture.crash(&[&[FIRST, rare_part]]);
        }
        fixture.crash(&[&[FIRST, HARMLESS]]);
        fixture.wait(SECOND / 2);
    }
    fixture.wait(EVALUATION);
    assert!(!fixture.is_refused(&[HARMLESS]));
    assert!(!fixture.is_refused(&[105]));
}

#[test]
fn success_on_another_box_ends_the_count() {
    let (mut one, mut other) = (Fixture::new(), Fixture::new());
    for _ in 0..2 {
        one.crash(&[&[HARMLESS]]);
        one.wait(SECOND / 10);
    }
    one.report_to(&mut other);
    other.succeed(&[HARMLESS]);
    other.wait(SECOND / 10);
    other.report_to(&mut one);
    one.crash(&[&[HARMLESS]]);
    one.wait(EVALUATION);
    assert!(!one.is_refused(&[HARMLESS]));
}

#[test]
fn crashes_on_several_boxes_add_up_and_all_boxes_refuse() {
    let mut boxes: Vec<Fixture> = (0..3).map(|_| Fixture::new()).collect();
    for crash in 0..3 {
        boxes[crash].next_server = crash as u64 * 100;
        boxes[crash].crash(&[&[FIRST, DEADLY], &[FIRST, 1000 + crash as u64]]);
        boxes[crash].succeed(&[FIRST, HARMLESS]);
        boxes[crash].wait(SECOND / 10);
        for other in (0..3).filter(|other| *other != crash) {
            let mut sender = std::mem::replace(&mut boxes[crash], Fixture::new());
            sender.report_to(&mut boxes[other]);
            boxes[crash] = sender;
        }
    }
    let now = boxes.iter().map(|one| one.now).max().expect("boxes");
    for one in &mut boxes {
        one.now = now;
        one.wait(EVALUATION);
        assert!(one.is_refused(&[FIRST, DEADLY]));
        assert!(!one.is_refused(&[FIRST, HARMLESS]));
    }
}

#[test]
fn box_that_starts_gets_the_verdict_and_it_expires() {
    let (mut one, mut started) = (Fixture::new(), Fixture::new());
    for _ in 0..3 {
        one.crash(&[&[FIRST, DEADLY]]);
        one.succeed(&[FIRST]);
        one.wait(EVALUATION);
    }
    one.report_to(&mut started);
    assert!(started.is_refused(&[DEADLY]));
    started.wait(VERDICT_TTL);
    assert!(!started.is_refused(&[DEADLY]));
}

#[test]
fn request_that_was_in_progress_and_succeeds_ends_a_mistaken_verdict_everywhere() {
    let (mut one, mut other) = (Fixture::new(), Fixture::new());
    for _ in 0..3 {
        one.crash(&[&[HARMLESS]]);
        one.wait(EVALUATION);
    }
    assert!(one.is_refused(&[HARMLESS]));
    one.report_to(&mut other);
    assert!(other.is_refused(&[HARMLESS]));
    other.succeed(&[HARMLESS]);
    assert!(!other.is_refused(&[HARMLESS]));
    let verdicts = other.quarantine.verdict_reports(other.now, &mut rand::rng());
    verdicts.iter().for_each(|verdict| one.quarantine.receive_verdict(verdict, one.now));
    assert!(!one.is_refused(&[HARMLESS]));
}

/// Guards against boxes that repeat each other's reports until these fill the links.
#[test]
fn crash_that_another_box_reported_is_not_reported_again() {
    let (mut one, mut other) = (Fixture::new(), Fixture::new());
    one.crash(&[&[FIRST, HARMLESS]]);
    one.report_to(&mut other);
    for audience in [Audience::Region, Audience::AllRegions] {
        assert_eq!(other.quarantine.part_reports(audience, MAX_BYTES, other.now), []);
    }
    // What this box observes later at another server is reported without the first crash.
    other.next_server = 50;
    other.crash(&[&[FIRST, HARMLESS]]);
    for report in other.quarantine.part_reports(Audience::Region, MAX_BYTES, other.now) {
        assert_eq!(report.lives, [51]);
    }
}

/// Guards against reports to all regions on days on which servers crash for reasons other than requests.
#[test]
fn crashes_of_many_servers_notify_no_other_region() {
    let mut fixture = Fixture::new();
    for round in 0..3 {
        for rare_part in 0..40 {
            let server = fixture.next_server + 1;
            let parts = [FIRST, 1000 + rare_part];
            let interrupted = fixture.interrupted(fixture.now - EXECUTION);
            fixture.quarantine.record_interrupted_parts(server, &prompt(&parts), interrupted);
            let notifies_all = fixture.quarantine.record_part_crash(server, fixture.now);
            assert!(!notifies_all, "crash {server} in round {round}");
            fixture.next_server = server;
        }
        fixture.succeed(&[FIRST]);
        fixture.wait(SECOND);
    }
    let others = fixture.quarantine.part_reports(Audience::AllRegions, MAX_BYTES, fixture.now);
    let parts: Vec<u64> = others.iter().map(|report| report.part).collect();
    assert!(parts.len() <= 1, "only the part that succeeded: {parts:x?}");
}

/// Guards against datagrams that crowd out responses when a server crashes with many requests.
#[test]
fn report_stays_within_its_bytes_and_the_deadliest_part_comes_first() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        let requests: Vec<[u64; 2]> = (0..200).map(|one| [DEADLY, 2000 + one]).collect();
        let requests: Vec<&[u64]> = requests.iter().map(|parts| &parts[..]).collect();
        fixture.crash(&requests[..]);
        fixture.wait(SECOND / 10);
    }
    let max_bytes = 1 << 10;
    let reports = fixture.quarantine.part_reports(Audience::Region, max_bytes, fixture.now);
    assert!(reports.iter().map(Message::encoded_len).sum::<usize>() <= max_bytes);
    assert!(reports.len() > 3);
    assert!(reports.iter().all(|report| report.lives.len() <= 5));
}
