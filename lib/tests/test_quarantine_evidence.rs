//! What boxes keep and report of crashes under a content that many callers send.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::interrupted::InterruptedRequest;
use copperweir_lib::coordination::quarantine::Audience;
use copperweir_lib::coordination::quarantine::Quarantine;

const FATAL: u64 = 7;
/// Time from sending a request to the crash of the server, and from one crash to the next.
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// Time within which a verdict is reached.
const EVALUATED: Duration = Duration::from_millis(300);
/// More callers than a box keeps of one server.
const CALLERS: u64 = 200;

fn crash(quarantine: &mut Quarantine, server: u64, request: Fingerprint, now: Instant) {
    let sent_at = now - TIME_TO_CRASH;
    let interrupted = InterruptedRequest { request, sent_at, interrupted_at: now };
    quarantine.record_crash(server, interrupted, now);
}

/// Servers crash one after the other, each under requests of all callers.
fn crash_servers(
    quarantine: &mut Quarantine,
    content: u64,
    count: u64,
    mut now: Instant,
) -> Instant {
    for server in 1..=count {
        now += TIME_TO_CRASH;
        for caller in 0..CALLERS {
            crash(quarantine, server, Fingerprint { content, caller }, now);
        }
    }
    now
}

/// Guards against counting crashes by server and caller, so that one server's callers displace
/// the earlier crashes.
#[test]
fn many_callers_of_one_server_do_not_displace_earlier_crashes() {
    let mut quarantine = Quarantine::default();
    let now = crash_servers(&mut quarantine, FATAL, 3, Instant::now());
    let request = Fingerprint { content: FATAL, caller: CALLERS + 1 };
    assert_eq!(quarantine.suspicion(request).map(|suspicion| suspicion.crashes), Some(3));
    assert!(quarantine.refused_for(request, now).is_some(), "it is held back until evaluated");
    quarantine.tick(now + EVALUATED);
    assert!(quarantine.refused_for(request, now + EVALUATED).is_some());
}

/// Guards against a report whose limit is used up by the callers of one content.
#[test]
fn reports_contain_each_server_of_each_content() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    let mut now = start;
    for content in 0..20 {
        now = now.max(crash_servers(&mut quarantine, content, 3, start));
    }
    for audience in [Audience::Region, Audience::AllRegions] {
        let reports = quarantine.crash_reports(audience, now);
        let pairs: BTreeSet<(u64, u64)> =
            reports.iter().map(|report| (report.content, report.life)).collect();
        assert_eq!(pairs.len(), 20 * 3, "{audience:?}: {} reports", reports.len());
    }
}

fn refuses(quarantine: &mut Quarantine, content: u64, now: Instant) -> bool {
    quarantine.refused_for(Fingerprint { content, caller: CALLERS + 1 }, now).is_some()
}

/// Servers crash one after the other under one request of each content, which they executed for
/// this long.
fn crash_after(
    quarantine: &mut Quarantine,
    servers: std::ops::RangeInclusive<u64>,
    contents: &[(u64, Duration)],
    mut now: Instant,
) -> Instant {
    for server in servers {
        now += TIME_TO_CRASH;
        for (content, time) in contents {
            let request = Fingerprint { content: *content, caller: server };
            let sent_at = now - *time;
            let interrupted = InterruptedRequest { request, sent_at, interrupted_at: now };
            quarantine.record_crash(server, interrupted, now);
        }
    }
    now
}

fn crash_under(
    quarantine: &mut Quarantine,
    servers: std::ops::RangeInclusive<u64>,
    contents: &[u64],
    now: Instant,
) -> Instant {
    let contents: Vec<_> = contents.iter().map(|content| (*content, TIME_TO_CRASH)).collect();
    crash_after(quarantine, servers, &contents, now)
}

const COMMON: u64 = 8;

/// Guards against a verdict in the moment in which only one of the requests that the last server
/// was executing has been recorded.
#[test]
fn a_content_is_not_evaluated_between_the_requests_of_one_crash() {
    let mut quarantine = Quarantine::default();
    let now = crash_under(&mut quarantine, 1..=3, &[FATAL, COMMON], Instant::now());
    let now = crash_under(&mut quarantine, 4..=4, &[COMMON], now + TIME_TO_CRASH);
    assert!(quarantine.tick(now).is_empty());
    refuses(&mut quarantine, COMMON, now);
    assert!(quarantine.tick(now).is_empty());
    let request = Fingerprint { content: FATAL, caller: 4 };
    crash(&mut quarantine, 4, request, now);
    let now = crash_under(&mut quarantine, 5..=5, &[FATAL], now);
    let targets = quarantine.tick(now + EVALUATED);
    assert!(targets.iter().all(|target| target.content == FATAL) && !targets.is_empty());
}

/// Guards against crashes that add up under many callers while others of them are answered.
#[test]
fn a_success_of_any_caller_ends_the_count_for_all() {
    let mut quarantine = Quarantine::default();
    let mut now = Instant::now();
    for server in 1..=6 {
        now = crash_under(&mut quarantine, server..=server, &[COMMON], now);
        quarantine.record_success(Fingerprint { content: COMMON, caller: 100 + server }, now);
        quarantine.tick(now + EVALUATED);
    }
    assert!(!refuses(&mut quarantine, COMMON, now + EVALUATED));
}

/// Guards against refusing a content for ten minutes because it was present at the first crashes.
#[test]
fn a_verdict_is_not_enforced_once_another_content_explains_the_crashes() {
    let mut quarantine = Quarantine::default();
    let times = [(FATAL, TIME_TO_CRASH), (COMMON, TIME_TO_CRASH / 10)];
    let now = crash_after(&mut quarantine, 1..=3, &times, Instant::now() + TIME_TO_CRASH);
    quarantine.tick(now + EVALUATED);
    assert!(refuses(&mut quarantine, COMMON, now + EVALUATED), "it seems the likeliest");
    let now = crash_after(&mut quarantine, 4..=6, &times[..1], now + EVALUATED);
    quarantine.tick(now + EVALUATED);
    assert!(refuses(&mut quarantine, FATAL, now + EVALUATED));
    assert!(!refuses(&mut quarantine, COMMON, now + EVALUATED));
}

/// Guards against holding back contents that servers executed for long before they crashed.
#[test]
fn the_content_that_servers_executed_for_the_shortest_time_is_the_likeliest() {
    let mut quarantine = Quarantine::default();
    let times = [(FATAL, TIME_TO_CRASH), (COMMON, TIME_TO_CRASH * 4)];
    let now = crash_after(&mut quarantine, 1..=3, &times, Instant::now() + TIME_TO_CRASH * 4);
    assert!(refuses(&mut quarantine, FATAL, now) && !refuses(&mut quarantine, COMMON, now));
    let targets = quarantine.tick(now + EVALUATED);
    assert!(targets.iter().all(|target| target.content == FATAL) && !targets.is_empty());
}

/// Guards against a region that learns of the crashes under a common content, but not of those
/// under their cause, because the latter were simultaneous.
#[test]
fn simultaneous_crashes_are_reported_to_all_regions() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let sent_at = now - TIME_TO_CRASH;
    let interrupted = InterruptedRequest {
        request: Fingerprint { content: FATAL, caller: 1 },
        sent_at,
        interrupted_at: now,
    };
    assert_eq!(quarantine.record_crash(1, interrupted, now), Some(Audience::Region));
    assert_eq!(quarantine.record_crash(2, interrupted, now), Some(Audience::AllRegions));
    assert_eq!(quarantine.crash_reports(Audience::AllRegions, now).len(), 2);
}

/// Guards against a full table in which the requests of one crash displace a request under which
/// several servers crashed.
#[test]
fn requests_of_one_crash_do_not_displace_those_with_several() {
    let mut quarantine = Quarantine::default();
    let now = crash_under(&mut quarantine, 1..=2, &[FATAL], Instant::now());
    for content in 100..10_000 {
        crash(&mut quarantine, 3, Fingerprint { content, caller: 1 }, now + TIME_TO_CRASH * 2);
    }
    let now = crash_under(&mut quarantine, 4..=4, &[FATAL], now + TIME_TO_CRASH * 2);
    assert!(refuses(&mut quarantine, FATAL, now));
}

/// Guards against full reports that leave out the same verdicts each time.
#[test]
fn verdicts_that_a_full_report_leaves_out_are_in_later_ones() {
    let mut quarantine = Quarantine::default();
    let mut now = Instant::now();
    for content in 100..200 {
        now = crash_under(&mut quarantine, content * 3..=content * 3 + 2, &[content], now);
    }
    quarantine.tick(now + EVALUATED);
    let mut reported = BTreeSet::new();
    for _ in 0..40 {
        let reports = quarantine.verdict_reports(now + EVALUATED, &mut rand::rng());
        reported.extend(reports.iter().map(|report| report.content));
    }
    assert_eq!(reported.len(), 100);
}
