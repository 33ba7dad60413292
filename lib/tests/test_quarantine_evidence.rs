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
