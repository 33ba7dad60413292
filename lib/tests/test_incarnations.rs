//! Incarnations of servers that keep their name when they start again.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::incarnations::Incarnations;

const SERVER: u32 = 7;
/// Time in which a server may have started again.
const RESTART: Duration = Duration::from_secs(2);

#[test]
fn each_crash_ends_the_current_incarnation() {
    let (mut incarnations, now) = (Incarnations::default(), Instant::now());
    let first = incarnations.current(SERVER);
    assert_eq!(incarnations.record_crash(SERVER, now), first);
    let second = incarnations.current(SERVER);
    assert_ne!(first, second);
    assert_eq!(incarnations.record_crash(SERVER, now + RESTART), second);
    assert_ne!(incarnations.current(SERVER), incarnations.current(SERVER + 1));
}

/// Guards against counting a crash twice that two boxes have seen.
#[test]
fn reports_of_one_crash_name_one_incarnation() {
    let (mut incarnations, now) = (Incarnations::default(), Instant::now() + RESTART);
    let crashed = incarnations.record_crash(SERVER, now);
    let distance = Duration::from_millis(100);
    assert_eq!(incarnations.record_crash(SERVER, now + distance), crashed);
    assert_eq!(incarnations.record_crash(SERVER, now - distance), crashed);
    assert_ne!(incarnations.record_crash(SERVER, now - RESTART), crashed);
    assert_eq!(incarnations.server_of(crashed), Some(SERVER));
    assert_eq!(incarnations.server_of(incarnations.current(SERVER)), None);
}

#[test]
fn memory_is_bounded() {
    let (mut incarnations, mut now) = (Incarnations::default(), Instant::now());
    for server in 0..10_000 {
        now += RESTART;
        incarnations.record_crash(server, now);
    }
    assert_eq!(incarnations.server_of(Incarnations::default().current(0)), None);
    let newest = incarnations.record_crash(9_999, now);
    assert_eq!(incarnations.server_of(newest), Some(9_999));
}
