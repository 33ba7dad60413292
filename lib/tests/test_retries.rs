//! The limit on resends, counted over all boxes in every window as users count it, while boxes
//! start again, come and go.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::retries::RetryBudgets;
use copperweir_lib::coordination::retries::RetryLimit;
use proptest::prelude::*;

const SERVICE: &str = "lookups";
const STEP: Duration = Duration::from_millis(20);
const WINDOW_STEPS: usize = 500;
const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, window: Duration::from_secs(10), extra: 58.0 };

/// A box of the simulated fleet.
#[derive(Clone, Debug)]
struct BoxLoad {
    /// Requests in each step.
    requests: u32,
    /// First step with requests.
    busy_from: usize,
    /// First step in which the box runs.
    from: usize,
    /// Step in which the box leaves for good.
    until: usize,
    /// Steps in which the box is killed; it serves again at once.
    kills: Vec<usize>,
}

/// Requests and resends of all boxes by step. In the steps for which `fails` returns `true`, each
/// request asks for three resends.
fn simulate(
    limit: RetryLimit,
    boxes: &[BoxLoad],
    steps: usize,
    fails: impl Fn(usize) -> bool,
) -> (Vec<u32>, Vec<u32>) {
    let start = Instant::now();
    let (mut requests, mut resends) = (vec![0; steps], vec![0; steps]);
    let mut budgets: Vec<Option<RetryBudgets>> = vec![None; boxes.len()];
    for step in 0..steps {
        let now = start + STEP * step as u32;
        let runs = |load: &&BoxLoad| (load.from..load.until).contains(&step);
        let fleet_size = boxes.iter().filter(runs).count();
        for (load, budget) in boxes.iter().zip(&mut budgets) {
            if !runs(&load) || load.kills.contains(&step) {
                *budget = None;
            }
            if !runs(&load) {
                continue;
            }
            let budget = budget.get_or_insert_with(|| RetryBudgets::new(limit, now));
            budget.set_fleet_size(fleet_size, now);
            let requests_now = if step < load.busy_from { 0 } else { load.requests };
            for _ in 0..requests_now {
                budget.record_first_send(SERVICE, now);
                requests[step] += 1;
                if fails(step) {
                    resends[step] +=
                        (0..3).filter(|_| budget.try_resend(SERVICE, now)).count() as u32;
                }
            }
        }
    }
    (requests, resends)
}

/// Resends in the worst window, and how many are allowed there. Requests count in the window, in
/// the one before or in the one half before, wherever there are most.
fn worst_window(limit: RetryLimit, requests: &[u32], resends: &[u32]) -> (f64, f64) {
    let sum = |counts: &[u32], from: i64| {
        let range = from.max(0) as usize..(from + WINDOW_STEPS as i64).max(0) as usize;
        f64::from(counts[range.start..range.end.min(counts.len())].iter().sum::<u32>())
    };
    let window = |from: usize| {
        let (from, length) = (from as i64, WINDOW_STEPS as i64);
        let starts = [from, from - length / 2, from - length];
        let most = starts.map(|start| sum(requests, start)).into_iter().fold(0.0, f64::max);
        (sum(resends, from), limit.ratio * most + limit.extra)
    };
    let windows = (0..=resends.len().saturating_sub(WINDOW_STEPS)).map(window);
    windows.max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1))).expect("one window")
}

fn assert_limit_is_kept(
    limit: RetryLimit,
    boxes: &[BoxLoad],
    steps: usize,
    fails: impl Fn(usize) -> bool,
) {
    let (requests, resends) = simulate(limit, boxes, steps, fails);
    let (resent, allowed) = worst_window(limit, &requests, &resends);
    assert!(resent <= allowed, "{resent} resends in a window, {allowed} allowed");
}

fn fleet(boxes: usize, requests: u32, kills: &[usize]) -> Vec<BoxLoad> {
    let load =
        BoxLoad { requests, busy_from: 0, from: 0, until: usize::MAX, kills: kills.to_vec() };
    vec![load; boxes]
}

#[test]
fn restarted_boxes_resend_no_more_than_the_limit() {
    for kills in [&[1200][..], &[1100, 1300], &[1100, 1200, 1300, 1400]] {
        assert_limit_is_kept(LIMIT, &fleet(6, 1, kills), 2500, |step| step >= 1000);
    }
}

#[test]
fn boxes_started_one_after_another_resend_no_more_than_the_limit() {
    let mut boxes = fleet(9, 1, &[]);
    for (rank, load) in boxes.iter_mut().enumerate() {
        load.kills = vec![1100 + 20 * rank, 1350 + 20 * rank];
    }
    assert_limit_is_kept(LIMIT, &boxes, 2500, |step| step >= 1000);
}

#[test]
fn boxes_that_stay_do_not_spend_the_shares_of_those_that_left() {
    let limit = RetryLimit { extra: 600.0, ..LIMIT };
    let mut boxes = fleet(30, 1, &[]);
    for (rank, load) in boxes.iter_mut().enumerate() {
        load.busy_from = 1000;
        load.until = 1010 + 10 * rank;
    }
    assert_limit_is_kept(limit, &boxes, 1600, |step| step >= 1000);
}

#[test]
fn resends_count_for_the_whole_window() {
    assert_limit_is_kept(LIMIT, &fleet(1, 20, &[]), 2200, |step| {
        (1010..1050).contains(&step) || (1490..1510).contains(&step)
    });
}

#[test]
fn shares_of_boxes_that_left_are_used_again_after_a_window() {
    let start = Instant::now();
    let mut budgets = RetryBudgets::new(LIMIT, start);
    budgets.set_fleet_size(9, start);
    budgets.set_fleet_size(3, start + STEP);
    budgets.expire(start + LIMIT.window);
    assert_eq!(budgets.sharing_boxes(), 9);
    budgets.expire(start + LIMIT.window + STEP);
    assert_eq!(budgets.sharing_boxes(), 3);
}

#[test]
fn box_that_has_not_run_before_has_its_share_at_once() {
    let now = Instant::now();
    let mut budgets = RetryBudgets::new(LIMIT, now);
    budgets.set_fleet_size(1, now);
    assert!(!budgets.try_resend(SERVICE, now));
    budgets.assume_no_predecessor();
    assert!((0..10).all(|_| budgets.try_resend(SERVICE, now)));
}

#[test]
fn service_that_is_new_to_a_running_box_has_its_share_at_once() {
    let start = Instant::now();
    let mut budgets = RetryBudgets::new(LIMIT, start);
    let now = start + LIMIT.window;
    budgets.set_fleet_size(1, now);
    assert!((0..10).all(|_| budgets.try_resend(SERVICE, now)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn limit_holds_over_any_restarts(
        kills in prop::collection::vec(prop::collection::vec(0..2000usize, 0..5), 1..8),
        failures in prop::collection::vec((500..2000usize, 1..600usize), 1..4),
    ) {
        let boxes: Vec<BoxLoad> = kills
            .into_iter()
            .map(|kills| BoxLoad { kills, ..fleet(1, 1, &[])[0].clone() })
            .collect();
        let fails = |step| failures.iter().any(|(from, length)| (*from..from + length).contains(&step));
        let (requests, resends) = simulate(LIMIT, &boxes, 2500, fails);
        let (resent, allowed) = worst_window(LIMIT, &requests, &resends);
        prop_assert!(resent <= allowed, "{resent} resends in a window, {allowed} allowed");
    }
}
