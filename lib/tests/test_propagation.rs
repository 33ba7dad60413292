//! Tests how long a change in the store takes to reach the last box.

#[path = "common/propagation.rs"]
mod propagation;

use std::time::Duration;

use propagation::Setting;
use propagation::propagation_times;

/// Shortest propagation time that the users' requirements allow.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);
/// Number of boxes, and of simulation runs with that many.
const FLEET_SIZES: [(usize, u64); 3] = [(9, 20), (80, 20), (300, 3)];

fn assert_within_bound(loss: f64, full: bool, dead_watches: bool, restored: bool) {
    for (boxes, runs) in FLEET_SIZES {
        let setting = Setting { boxes, loss, full, dead_watches, restored };
        let propagation_times = propagation_times(setting, runs);
        println!("{setting:?} {propagation_times:?}");
        assert!(propagation_times["most"] < MAX_PROPAGATION, "{setting:?}: {propagation_times:?}");
    }
}

#[test]
fn change_reaches_all_boxes_in_time() {
    assert_within_bound(0.0, false, false, false);
}

#[test]
fn change_reaches_all_boxes_in_time_despite_lost_datagrams() {
    assert_within_bound(0.05, false, false, false);
    assert_within_bound(0.2, false, false, false);
}

#[test]
fn change_reaches_all_boxes_in_time_despite_lost_long_datagrams() {
    assert_within_bound(0.05, true, false, false);
}

#[test]
fn change_reaches_all_boxes_in_time_with_all_watches_dead() {
    assert_within_bound(0.05, false, true, false);
}

#[test]
fn change_reaches_all_boxes_in_time_right_after_a_restore() {
    assert_within_bound(0.05, false, false, true);
}
