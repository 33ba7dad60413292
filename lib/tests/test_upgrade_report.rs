//! What a box reports to the judges of an upgrade, however many routes it serves.

use std::time::Duration;

use copperweir_lib::coordination::upgrade::evidence::Evidence;
use copperweir_lib::coordination::upgrade::evidence::Sample;
use copperweir_lib::coordination::upgrade::evidence::SampleResult;
use copperweir_lib::coordination::upgrade::wire::UpgradeReport;
use prost::Message;

/// Maximum size of a datagram.
const DATAGRAM: usize = 8 << 10;
const ROUTES: u64 = 200;
/// Routes on which the target version gets requests.
const TARGET_ROUTES: u64 = 10;

fn record(evidence: &mut Evidence, route: u64, is_target: bool, count: u32) {
    for number in 0..count {
        let latency = Duration::from_millis(1).mul_f64(2_f64.powf(f64::from(number % 32) / 2.0));
        let result = SampleResult::Answered { first: Some(latency), rest: Some(latency) };
        let (prompt_tokens, server, is_cold) = (1000, route, false);
        evidence.record(&Sample { route, prompt_tokens, server, is_target, is_cold, result });
    }
}

/// Guards against a limit that counts cells of both versions, so that those of the version with
/// fewer requests are left out and judges have nothing to compare.
#[test]
fn full_reports_contain_what_the_target_version_answered() {
    let mut evidence = Evidence::default();
    (0..ROUTES).for_each(|route| record(&mut evidence, route, false, 400));
    (0..TARGET_ROUTES).for_each(|route| record(&mut evidence, route, true, 4));
    let (cells, tallies) = evidence.to_reports();
    let reported = Evidence::from_reports(&cells, &tallies);
    assert_eq!(reported.target_responses(), evidence.target_responses());
    let targets = cells.iter().filter(|cell| cell.is_target);
    for target in targets {
        let is_baseline =
            |stratum| cells.iter().any(|cell| cell.stratum == stratum && !cell.is_target);
        assert!(is_baseline(target.stratum), "a stratum without the other versions");
    }
}

/// Guards against reports of which judges hear nothing: they read 8 KiB of a datagram.
#[test]
fn full_reports_fit_in_a_datagram() {
    let mut evidence = Evidence::default();
    (0..ROUTES).for_each(|route| record(&mut evidence, route, route % 2 == 0, 64));
    for _ in 0..14 {
        let counted = evidence.clone();
        evidence.add(&counted);
    }
    let (cells, tallies) = evidence.to_reports();
    // As many confirmations as a report may contain.
    let confirmed = vec![u64::MAX; 48];
    let report =
        UpgradeReport { plan: u64::MAX, serial: 9, draining: 9, cells, tallies, confirmed };
    assert!(report.encoded_len() < DATAGRAM - 512, "{} bytes", report.encoded_len());
    assert!(report.cells.len() > 48, "{} cells", report.cells.len());
}
