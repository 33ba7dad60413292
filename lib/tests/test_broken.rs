//! When interrupted requests show that their server has crashed.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::fingerprint::Fingerprint;
use copperweir_lib::coordination::interrupted::InterruptedRequest;
use copperweir_lib::coordination::interrupted::InterruptedRequests;
use copperweir_lib::coordination::interrupted::NextStep;

const SERVER: u64 = 1;

fn interrupted(content: u64, interrupted_at: Instant) -> InterruptedRequest {
    InterruptedRequest {
        request: Fingerprint { content, caller: 0 },
        sent_at: interrupted_at,
        interrupted_at,
    }
}

#[test]
fn one_interruption_is_probed_and_the_others_wait() {
    let (mut tracker, now) = (InterruptedRequests::default(), Instant::now());
    assert_eq!(tracker.record(SERVER, interrupted(1, now), now), NextStep::Probe);
    assert_eq!(tracker.record(SERVER, interrupted(2, now), now), NextStep::AwaitProbe);
    assert_eq!(tracker.record(SERVER + 1, interrupted(3, now), now), NextStep::Probe);
    assert_eq!(tracker.record_crash(SERVER, now), [interrupted(1, now), interrupted(2, now)]);
    assert_eq!(
        tracker.record(SERVER, interrupted(4, now), now),
        NextStep::ServerCrashed(vec![interrupted(4, now)])
    );
}

#[test]
fn simultaneous_interruptions_need_no_probe_of_the_port() {
    let (mut tracker, now) = (InterruptedRequests::default(), Instant::now());
    tracker.record(SERVER, interrupted(1, now), now);
    tracker.record(SERVER, interrupted(2, now), now);
    let all = vec![interrupted(1, now), interrupted(2, now), interrupted(3, now)];
    assert_eq!(tracker.record(SERVER, interrupted(3, now), now), NextStep::Confirm);
    assert_eq!(tracker.record_crash(SERVER, now), all);
    assert!(tracker.record_crash(SERVER, now).is_empty());
}

#[test]
fn a_crash_is_confirmed_once_and_a_probe_does_not_undo_it() {
    let (mut tracker, now) = (InterruptedRequests::default(), Instant::now());
    let next_steps: Vec<NextStep> =
        (1..=5).map(|number| tracker.record(SERVER, interrupted(number, now), now)).collect();
    let (probe, wait) = (NextStep::Probe, NextStep::AwaitProbe);
    assert_eq!(next_steps, [probe, wait.clone(), NextStep::Confirm, wait.clone(), wait]);
    tracker.forget(SERVER);
    assert_eq!(tracker.record_crash(SERVER, now).len(), 5);
}

#[test]
fn interruptions_of_a_server_that_others_reach_are_dismissed() {
    let (mut tracker, now) = (InterruptedRequests::default(), Instant::now());
    for number in 1..=3 {
        tracker.record(SERVER, interrupted(number, now), now);
    }
    tracker.dismiss(SERVER);
    assert!(tracker.record_crash(SERVER, now).is_empty());
    let mut tracker = InterruptedRequests::default();
    tracker.dismiss(SERVER);
    assert_eq!(tracker.record(SERVER, interrupted(4, now), now), NextStep::Probe);
}

#[test]
fn interruptions_spread_over_time_do_not_prove_a_crash() {
    let (mut tracker, start) = (InterruptedRequests::default(), Instant::now());
    for number in 0..10 {
        let now = start + Duration::from_millis(100) * number;
        let next = tracker.record(SERVER, interrupted(number.into(), now), now);
        let is_proof = matches!(next, NextStep::ServerCrashed(_) | NextStep::Confirm);
        assert!(!is_proof, "{number}");
    }
    tracker.forget(SERVER);
    let now = start + Duration::from_secs(2);
    assert_eq!(tracker.record(SERVER, interrupted(11, now), now), NextStep::Probe);
}
