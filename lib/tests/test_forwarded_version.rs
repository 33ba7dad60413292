//! The decision whether a box may handle a forwarded request.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::forwarded_version::KnownState;
use copperweir_lib::coordination::forwarded_version::StateWaits;
use copperweir_lib::protocol::platform::Position;

const MILLI: Duration = Duration::from_millis(1);
const TIME_LEFT: Duration = Duration::from_secs(4);

fn state(configuration: u64, era: u64, revision: u64) -> KnownState {
    KnownState { configuration, position: Position { era, revision } }
}

#[test]
fn state_covers_older_ones_only() {
    let known = state(7, 2, 50);
    for covered in [state(7, 2, 50), state(6, 2, 50), state(7, 1, 900), state(0, 0, 0)] {
        assert!(known.covers(&covered), "{covered:?}");
    }
    for newer in [state(8, 2, 50), state(7, 2, 51), state(7, 3, 1), state(8, 1, 1)] {
        assert!(!known.covers(&newer), "{newer:?}");
    }
}

/// A partitioned box must not delay each request that other boxes forward to it.
#[test]
fn request_is_refused_at_once_after_a_wait_in_vain() {
    let (mut waits, now) = (StateWaits::default(), Instant::now());
    let wait = waits.wait(&state(8, 0, 0), TIME_LEFT, now);
    assert!((MILLI * 50..=MILLI * 150).contains(&wait), "{wait:?}");
    assert_eq!(
        waits.wait(&state(8, 0, 0), MILLI * 40, now),
        MILLI * 10,
        "time is left for another"
    );
    waits.record_failure(state(8, 0, 0), now);
    assert_eq!(waits.wait(&state(8, 0, 0), TIME_LEFT, now + MILLI * 200), Duration::ZERO);
    assert_eq!(waits.wait(&state(9, 0, 4), TIME_LEFT, now + MILLI * 200), Duration::ZERO);
    assert!(!waits.wait(&state(7, 0, 9), TIME_LEFT, now + MILLI * 200).is_zero(), "other state");
    assert!(!waits.wait(&state(8, 0, 0), TIME_LEFT, now + MILLI * 400).is_zero(), "tried again");
}

/// Requests that arrive together must not cause a query each.
#[test]
fn queries_have_a_minimum_gap() {
    let (mut waits, now) = (StateWaits::default(), Instant::now());
    let queries = (0..300).filter(|millis| waits.take_query(now + MILLI * *millis)).count();
    assert_eq!(queries, 3);
}
