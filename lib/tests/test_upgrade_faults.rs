//! Upgrades simulated together with faults of the fleet: each alone, and in combination. Counted
//! over all boxes that reach the store: the requests that a bad version gets, and those that it gets
//! too late. A good version must take over in time, and lose no request on the old servers.

#[path = "common/upgrades.rs"]
mod upgrades;

use std::time::Duration;

use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::table::Limits;
use upgrades::Behavior;
use upgrades::Faults;
use upgrades::Setup;
use upgrades::assert_rolled_back;
use upgrades::assert_succeeds;

/// Ways of being bad: at once, on one route, later, and in the last stage.
const BAD: [Behavior; 7] = [
    Behavior::Failing(1.0),
    Behavior::Failing(0.3),
    Behavior::Slow(0.4, 5.0),
    Behavior::FailingOnRoute(1),
    Behavior::FailingFrom(4.0),
    Behavior::FailingAbove(0.5),
    Behavior::SlowAbove(0.5),
];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

fn assert_bad_are_rolled_back(faults: Faults) {
    for behavior in BAD {
        for seed in SEEDS {
            assert_rolled_back(&Setup { seed, faults, ..Setup::new(behavior) });
        }
    }
}

fn assert_good_succeeds(faults: Faults) {
    for seed in SEEDS {
        assert_succeeds(&Setup { seed, faults, ..Setup::new(Behavior::Good) });
    }
}

fn assert_holds(faults: Faults) {
    assert_bad_are_rolled_back(faults);
    assert_good_succeeds(faults);
}

#[test]
fn upgrade_while_a_region_is_partitioned() {
    assert_holds(Faults { partition: Some((0, (1.5, 6.5))), ..Faults::default() });
    assert_holds(Faults { partition: Some((1, (6.5, 9.5))), ..Faults::default() });
    assert_bad_are_rolled_back(Faults { partition: Some((2, (7.3, 14.0))), ..Faults::default() });
}

#[test]
fn upgrade_while_a_region_is_lost() {
    assert_holds(Faults { region_lost: Some((0, 2.0)), ..Faults::default() });
    assert_holds(Faults { region_lost: Some((1, 7.0)), ..Faults::default() });
}

/// Guards against judges that each wait for those before them at every stage, though the store
/// refuses those: a good version was rolled back because its time was over.
#[test]
fn upgrade_while_the_store_refuses_the_first_judges() {
    assert_holds(Faults { judges_refused: Some((0.0, 30.0)), ..Faults::default() });
}

#[test]
fn upgrade_while_the_store_is_unavailable() {
    assert_holds(Faults { store_away: Some((1.5, 4.5)), ..Faults::default() });
    assert_holds(Faults { store_away: Some((7.5, 9.5)), ..Faults::default() });
}

#[test]
fn upgrade_while_target_servers_start_late_crash_or_are_released() {
    assert_holds(Faults { target_late: Some(5.0), ..Faults::default() });
    assert_holds(Faults { target_crashed: Some((3.0, 5.0)), ..Faults::default() });
    assert_holds(Faults { target_crashed: Some((7.5, 8.5)), ..Faults::default() });
    assert_holds(Faults { target_released_at: Some(6.5), ..Faults::default() });
}

#[test]
fn upgrade_during_an_evacuation() {
    assert_holds(Faults { evacuation: Some((0, (5.0, 9.0))), ..Faults::default() });
}

#[test]
fn upgrade_while_a_configuration_moves_routes() {
    assert_holds(Faults { routes_move_at: Some(5.0), ..Faults::default() });
    assert_holds(Faults { routes_move_at: Some(7.6), ..Faults::default() });
}

#[test]
fn bad_version_is_rolled_back_while_links_between_regions_are_saturated() {
    assert_bad_are_rolled_back(Faults { slow_links: Some((0.0, 30.0)), ..Faults::default() });
}

/// Guards against judges that each need the datagrams of all boxes of other regions.
#[test]
fn good_version_takes_over_while_links_between_regions_are_saturated() {
    assert_good_succeeds(Faults { slow_links: Some((0.0, 30.0)), ..Faults::default() });
}

/// Guards against detecting a version that is bad at full load so late that a burst of requests in
/// the last stage exceeds its exposure.
#[test]
fn upgrade_while_a_team_multiplies_its_requests_in_the_last_stage() {
    assert_holds(Faults { team_burst: Some((2.5, (7.3, 9.3))), ..Faults::default() });
}

/// Guards against stopping the old servers of a region that is partitioned: 46 requests in progress
/// there were lost.
#[test]
fn last_stage_waits_for_a_partitioned_region() {
    assert_good_succeeds(Faults { partition: Some((2, (7.3, 10.8))), ..Faults::default() });
}

/// What the platform sets.
const LIMITS: Limits = Limits {
    exposure_share: 0.1,
    exposure_slack: Some(50.0),
    rollback: Some(Duration::from_secs(5)),
};

fn small_fleet(behavior: Behavior, requests_per_second: f64, seed: u64) -> Setup {
    let (boxes, servers, limits) = (9, 6, LIMITS);
    Setup { boxes, servers, requests_per_second, seed, limits, ..Setup::new(behavior) }
}

/// Guards against a first stage in which a small fleet learns nothing, though the slack allows it:
/// a version that failed always took over at 6 requests a second.
#[test]
fn small_fleet_uses_the_slack() {
    for seed in SEEDS {
        for rate in [6.0, 15.0, 40.0] {
            assert_rolled_back(&small_fleet(Behavior::Failing(1.0), rate, seed));
            assert_succeeds(&small_fleet(Behavior::Good, rate, seed));
        }
        for rate in [15.0, 40.0] {
            assert_rolled_back(&small_fleet(Behavior::Failing(0.5), rate, seed));
        }
    }
}

/// Guards against a raised share that a burst of requests multiplies.
#[test]
fn raised_share_is_lowered_when_the_slack_is_used() {
    for seed in SEEDS {
        let faults = Faults { team_burst: Some((6.0, (3.0, 6.0))), ..Faults::default() };
        let outcome = Setup { faults, ..small_fleet(Behavior::Good, 15.0, seed) }.run();
        let is_lowered = |(stage, at, reason): &(Stage, f64, &str)| {
            *stage == Stage::Canary && *at < 5.5 && *reason == "the slack is used"
        };
        assert!(outcome.stages.iter().any(is_lowered), "{outcome:?}");
    }
}

#[test]
fn upgrade_under_several_faults_at_once() {
    let none = Faults::default();
    for faults in [
        Faults { partition: Some((0, (2.0, 6.0))), target_crashed: Some((3.0, 4.0)), ..none },
        Faults { evacuation: Some((1, (4.0, 8.0))), routes_move_at: Some(5.0), ..none },
        Faults { store_away: Some((2.0, 4.0)), first_judge_gone_at: Some(3.0), ..none },
        Faults { judges_refused: Some((0.0, 30.0)), report_loss: 0.2, ..none },
        Faults { region_lost: Some((0, 3.0)), faulty_servers: 0.05, ..none },
        Faults { slow_links: Some((2.0, 6.0)), target_late: Some(4.0), ..none },
        Faults { partition: Some((1, (1.0, 5.0))), store_away: Some((5.5, 6.5)), ..none },
    ] {
        assert_holds(faults);
    }
}

/// Guards against comparing the last stage with all earlier responses: a burst before it hid that
/// the version is slow at full load.
#[test]
fn upgrade_after_a_team_multiplied_its_requests() {
    assert_holds(Faults { team_burst: Some((2.5, (3.0, 5.0))), ..Faults::default() });
}

/// Guards against taking a burst in the last stage for a slow version: the good version was rolled
/// back.
#[test]
fn good_version_is_not_rolled_back_because_of_a_burst_in_the_last_stage() {
    for window in [(7.3, 9.3), (7.8, 9.3)] {
        assert_good_succeeds(Faults { slowdown: Some(window), ..Faults::default() });
    }
}

/// A judge finds a version slow in the last stage, but the store refuses its writes.
#[test]
fn version_that_is_slow_under_full_load_is_held_while_the_store_is_unavailable() {
    for seed in SEEDS {
        let faults = Faults { store_away: Some((7.6, 11.0)), ..Faults::default() };
        let outcome = Setup { seed, faults, ..Setup::new(Behavior::SlowAbove(0.5)) }.run();
        assert!(outcome.is_within_exposure(), "{outcome:?}");
        assert_eq!(outcome.stage(), Some(Stage::RolledBack));
    }
}

/// Prints the largest part of the allowed exposure that a bad version gets, the latest rollback,
/// and when a good version takes over.
#[test]
#[ignore = "prints the table of docs/design/upgrades.md"]
fn table_of_faults() {
    let none = Faults::default();
    for (name, faults) in [
        ("none", none),
        ("region partitioned, 1.5 s to 6.5 s", Faults { partition: Some((0, (1.5, 6.5))), ..none }),
        ("region lost at 7 s", Faults { region_lost: Some((1, 7.0)), ..none }),
        ("two judges refused", Faults { judges_refused: Some((0.0, 30.0)), ..none }),
        ("store away, 7.5 s to 9.5 s", Faults { store_away: Some((7.5, 9.5)), ..none }),
        ("servers late, at 5 s", Faults { target_late: Some(5.0), ..none }),
        ("region evacuated, 5 s to 9 s", Faults { evacuation: Some((0, (5.0, 9.0))), ..none }),
        ("routes move at 7.6 s", Faults { routes_move_at: Some(7.6), ..none }),
        ("all slow, 7.3 s to 9.3 s", Faults { slowdown: Some((7.3, 9.3)), ..none }),
        ("team's burst, 3 s to 5 s", Faults { team_burst: Some((2.5, (3.0, 5.0))), ..none }),
        ("team's burst, 7.3 s to 9.3 s", Faults { team_burst: Some((2.5, (7.3, 9.3))), ..none }),
        ("links saturated", Faults { slow_links: Some((0.0, 30.0)), ..none }),
    ] {
        let run = |behavior, seed| Setup { seed, faults, ..Setup::new(behavior) }.run();
        let bad: Vec<_> = BAD
            .iter()
            .flat_map(|behavior| SEEDS.map(move |seed| (*behavior, seed)))
            .map(|(behavior, seed)| run(behavior, seed))
            .collect();
        let parts = bad.iter().map(|bad| bad.exposed as f64 / (0.1 * bad.total as f64 + 50.0));
        let part = parts.fold(0.0, f64::max);
        let late: u64 = bad.iter().map(|bad| bad.late).sum();
        let rolled_back = bad.iter().filter(|bad| bad.stage() == Some(Stage::RolledBack)).count();
        let good: Vec<_> = SEEDS.map(|seed| run(Behavior::Good, seed).end).collect();
        println!("| {name} | {rolled_back} of {} | {part:.2} | {late} | {good:?} |", bad.len());
    }
}
