//! Upgrades simulated on many boxes with one store: how many requests a bad version gets, how soon
//! it is rolled back, and that a good version takes over also under faults of the fleet.

#[path = "common/upgrades.rs"]
mod upgrades;

use copperweir_lib::coordination::upgrade::Stage;
use upgrades::Behavior;
use upgrades::Faults;
use upgrades::Setup;
use upgrades::assert_rolled_back;
use upgrades::assert_succeeds;

#[test]
fn bad_version_is_rolled_back_within_its_exposure() {
    for behavior in [
        Behavior::Failing(1.0),
        Behavior::Failing(0.3),
        Behavior::Slow(1.0, 4.0),
        Behavior::Slow(0.4, 5.0),
        Behavior::FailingFrom(4.0),
        Behavior::FailingFrom(7.0),
        Behavior::FailingAbove(0.05),
        Behavior::FailingAbove(0.5),
        Behavior::FailingOnRoute(1),
    ] {
        for seed in 1..=3 {
            assert_rolled_back(&Setup { seed, ..Setup::new(behavior) });
        }
    }
}

#[test]
fn bad_version_is_rolled_back_where_requests_fail_anyway() {
    let faults = Faults { failure_rate: 0.14, report_loss: 0.05, ..Faults::default() };
    assert_rolled_back(&Setup { faults, ..Setup::new(Behavior::Failing(0.4)) });
}

#[test]
fn bad_version_is_rolled_back_though_first_judge_is_gone() {
    for at in [0.5, 3.0, 6.5] {
        let faults = Faults { first_judge_gone_at: Some(at), ..Faults::default() };
        assert_rolled_back(&Setup { faults, ..Setup::new(Behavior::FailingFrom(2.0)) });
    }
}

#[test]
fn good_version_takes_over_in_time() {
    for seed in 1..=5 {
        assert_succeeds(&Setup { seed, ..Setup::new(Behavior::Good) });
    }
}

#[test]
fn good_version_of_small_service_takes_over_in_time() {
    let setup = Setup { servers: 6, requests_per_second: 266.0, ..Setup::new(Behavior::Good) };
    assert_succeeds(&setup);
}

#[test]
fn faults_of_the_fleet_do_not_count_against_a_version() {
    for faults in [
        Faults { report_loss: 0.2, ..Faults::default() },
        Faults { faulty_servers: 0.05, ..Faults::default() },
        Faults { burst: true, ..Faults::default() },
        Faults { failure_rate: 0.14, ..Faults::default() },
        Faults { first_judge_gone_at: Some(0.5), ..Faults::default() },
    ] {
        assert_succeeds(&Setup { faults, ..Setup::new(Behavior::Good) });
    }
}

#[test]
fn single_faulty_server_does_not_count_against_a_small_service() {
    let faults = Faults { faulty_servers: 0.1, ..Faults::default() };
    let setup =
        Setup { servers: 6, requests_per_second: 266.0, faults, ..Setup::new(Behavior::Good) };
    assert_succeeds(&setup);
}

#[test]
fn judge_that_is_gone_in_the_last_stage_holds_nothing_up() {
    let faults = Faults { first_judge_gone_at: Some(7.3), ..Faults::default() };
    let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
    assert_eq!(outcome.stage(), Some(Stage::Succeeded), "{outcome:?}");
    assert_eq!(outcome.lost, 0, "{outcome:?}");
}

#[test]
fn store_outage_delays_an_upgrade_and_leaves_one_outcome() {
    for (from, until) in [(0.0, 4.0), (5.5, 8.0), (7.2, 10.0)] {
        let faults = Faults { store_away: Some((from, until)), ..Faults::default() };
        let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
        assert_eq!(outcome.stage(), Some(Stage::Succeeded), "{outcome:?}");
        assert_eq!(outcome.lost, 0, "{outcome:?}");
    }
}

#[test]
fn version_whose_servers_are_lost_does_not_take_over() {
    for at in [3.0, 6.5, 7.6, 8.0] {
        let faults = Faults { target_lost_at: Some(at), ..Faults::default() };
        let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
        assert_eq!(outcome.stage(), Some(Stage::RolledBack), "lost at {at} s: {outcome:?}");
    }
}

#[test]
fn upgrade_does_not_succeed_while_a_box_has_not_confirmed() {
    let faults = Faults { silent_box: true, ..Faults::default() };
    let outcome = Setup { faults, ..Setup::new(Behavior::Good) }.run();
    assert_eq!(outcome.stage(), None, "{outcome:?}");
}

/// Prints when the last box follows a verdict. The counts of a box are known to the judges after
/// one report; the verdict travels like any change in the store.
#[test]
#[ignore = "prints the table of docs/design/upgrades.md"]
fn table_of_fleet_sizes() {
    for boxes in [72, 300, 984] {
        for behavior in [Behavior::Failing(0.3), Behavior::Good] {
            let setup = Setup {
                boxes,
                servers: boxes * 2,
                requests_per_second: boxes as f64 * 10.0,
                ..Setup::new(behavior)
            };
            let outcome = setup.run();
            println!(
                "{boxes} boxes, {behavior:?}: {:?}, last box at {:.2} s, {} of {} exposed, {} late, {} lost",
                outcome.end,
                outcome.last_followed,
                outcome.exposed,
                outcome.total,
                outcome.late,
                outcome.lost
            );
        }
    }
}
