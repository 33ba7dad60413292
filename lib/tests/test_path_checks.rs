//! How boxes find out that a server which one of them has lost has not crashed.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::path_checks;
use copperweir_lib::coordination::path_checks::PathChecks;
use copperweir_lib::coordination::path_checks::Verdict;

const SERVER: u64 = 3;

#[test]
fn three_boxes_check_a_server_and_never_the_one_that_asks() {
    let boxes: Vec<u64> = (100..400).collect();
    for requester in [100, 250, 399] {
        for server in 0..20 {
            let others = |own: u64| boxes.iter().copied().filter(move |other| *other != own);
            let is_checker =
                |own: &&u64| path_checks::checks_server(**own, others(**own), requester, server);
            let checkers = boxes.iter().filter(|own| **own != requester).filter(is_checker).count();
            assert_eq!(checkers, 3);
        }
    }
}

#[test]
fn a_result_from_before_the_request_does_not_count() {
    let (mut checks, now) = (PathChecks::default(), Instant::now());
    checks.receive_results(1, &[SERVER], true, now);
    let later = now + Duration::from_millis(100);
    assert_eq!(checks.verdict(SERVER, 5, later), Verdict::Open);
    checks.receive_results(1, &[SERVER], true, later);
    assert_eq!(checks.verdict(SERVER, 5, later), Verdict::Reached);
}

#[test]
fn one_box_that_reaches_a_server_outweighs_the_others() {
    let (mut checks, now) = (PathChecks::default(), Instant::now());
    checks.receive_results(1, &[SERVER], false, now);
    checks.receive_results(1, &[SERVER], false, now);
    checks.receive_results(2, &[SERVER], false, now);
    assert_eq!(checks.verdict(SERVER, 5, now), Verdict::Open, "of two boxes");
    assert_eq!(checks.verdict(SERVER, 2, now), Verdict::Unreached, "there are only two");
    checks.receive_results(3, &[SERVER], false, now);
    assert_eq!(checks.verdict(SERVER, 5, now), Verdict::Unreached);
    checks.receive_results(4, &[SERVER], true, now);
    assert_eq!(checks.verdict(SERVER, 5, now), Verdict::Reached);
}

#[test]
fn many_requests_cost_one_check_a_second() {
    let (mut checks, start) = (PathChecks::default(), Instant::now());
    let started =
        (0..1000).filter(|ms| checks.start(SERVER, start + Duration::from_millis(*ms))).count();
    assert_eq!(started, 1);
    assert!(checks.start(SERVER, start + Duration::from_secs(1)));
}

#[test]
fn requests_and_results_expire() {
    let (mut checks, now) = (PathChecks::default(), Instant::now());
    checks.request(SERVER, now);
    checks.record_result(SERVER, true, now);
    checks.expire(now);
    assert_eq!(
        (checks.requests_to_report(), checks.results_to_report(true)),
        (vec![SERVER], vec![SERVER])
    );
    checks.expire(now + Duration::from_secs(2));
    assert!(checks.requests_to_report().is_empty() && checks.results_to_report(true).is_empty());
}
