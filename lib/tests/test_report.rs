//! A report fits into a datagram, however much there is to report.

use copperweir_lib::coordination::departures::wire::DepartureNotice;
use copperweir_lib::coordination::loads::BoxReport;
use copperweir_lib::coordination::quarantine::wire::CrashReport;
use copperweir_lib::coordination::quarantine::wire::VerdictReport;
use prost::Message;

const DATAGRAM: usize = 8 << 10;

fn report(ends: usize, servers: usize) -> BoxReport {
    let end = CrashReport { content: 1, caller: 2, life: 3, sent_ms: 100_000, ended_ms: 100_000 };
    let verdict = VerdictReport { content: 1, caller: Some(2), left_ms: 600_000 };
    BoxReport {
        sender: 1,
        region: "north".to_owned(),
        ends: vec![end; ends],
        verdicts: vec![verdict; 48],
        servers: (0..servers as u64).collect(),
        in_flight: vec![300; servers],
        unread: vec![300_000; servers],
        asked: (0..servers as u64).collect(),
        cold_ms: vec![5_000; servers],
        asked_ms: vec![500; servers],
        leaving_servers: vec![DepartureNotice { server: 9, said_ms: 1 }; 32],
        ..BoxReport::default()
    }
}

/// Engines crash under load while others are leaving and the store is away. Each list has its own
/// limit, but all of them together were 11,549 bytes. The receiver read the first 8,192 bytes and
/// could decode nothing.
#[test]
fn all_lists_together_fit() {
    let mut report = report(128, 200);
    assert!(report.encoded_len() > DATAGRAM);
    report.truncate_to(DATAGRAM);
    assert!(report.encoded_len() <= DATAGRAM);
    let read = BoxReport::decode(report.encode_to_vec().as_slice()).expect("a valid report");
    assert_eq!(read.leaving_servers.len(), 32);
    assert!(read.ends.len() >= 16, "{} ends", read.ends.len());
    assert_eq!(read.servers.len(), read.in_flight.len());
    assert_eq!(read.asked.len(), read.cold_ms.len());
}

#[test]
fn a_report_that_fits_is_unchanged() {
    let mut few = report(3, 10);
    let before = few.clone();
    few.truncate_to(DATAGRAM);
    assert_eq!(few, before);
}

#[test]
fn a_report_on_a_thousand_servers_is_truncated() {
    let mut report = report(128, 1000);
    report.truncate_to(DATAGRAM);
    assert!(report.encoded_len() <= DATAGRAM && !report.servers.is_empty());
}
