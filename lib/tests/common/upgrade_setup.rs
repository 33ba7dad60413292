//! Settings and results of the simulation.

use std::time::Duration;

use copperweir_lib::coordination::upgrade::Stage;
use copperweir_lib::coordination::upgrade::table::Limits;

use super::Behavior;
use super::Faults;
use super::Simulation;
use super::TICK;

const LIMITS: Limits = Limits { exposure_share: 0.1, exposure_slack: None, rollback: None };

pub struct Setup {
    pub boxes: usize,
    pub servers: usize,
    pub requests_per_second: f64,
    pub duration: Duration,
    pub behavior: Behavior,
    pub faults: Faults,
    pub seed: u64,
    pub limits: Limits,
}

impl Setup {
    pub fn new(behavior: Behavior) -> Setup {
        Setup {
            boxes: 72,
            servers: 140,
            requests_per_second: 850.0,
            duration: Duration::from_secs(12),
            behavior,
            faults: Faults::default(),
            seed: 1,
            limits: LIMITS,
        }
    }

    /// Requests of boxes that reach the store, during the order.
    pub fn expected_requests(&self) -> f64 {
        let ticks = (self.duration.as_secs_f64() / TICK.as_secs_f64()) as usize;
        let in_tick = |tick: usize| {
            let seconds = tick as f64 * TICK.as_secs_f64();
            let reaches_store = |number: &usize| {
                !self.faults.is_region_lost(*number, seconds)
                    && !self.faults.is_partitioned(*number, seconds)
            };
            let boxes = (0..self.boxes).filter(reaches_store).count() as f64 / self.boxes as f64;
            let rate = self.requests_per_second * self.faults.rate_factor(seconds);
            rate * boxes * TICK.as_secs_f64()
        };
        (0..ticks).map(in_tick).sum()
    }

    pub fn run(&self) -> Outcome {
        Simulation::new(self).run()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Final stage, and seconds from the order until it was in the store.
    pub end: Option<(Stage, f64)>,
    /// Seconds until the last box followed it.
    pub last_followed: f64,
    /// Requests sent to the target version, and the expected number of all requests, until the end
    /// of the order's time.
    pub exposed: u64,
    pub total: u64,
    /// Requests to the target version later than five seconds after its fiftieth bad response since
    /// the store was last away, from boxes that reach the store.
    pub late: u64,
    /// Stages that were written, with the seconds from the order and the reasons.
    pub stages: Vec<(Stage, f64, &'static str)>,
    /// Requests in progress on other versions when the upgrade succeeded.
    pub lost: usize,
}

impl Outcome {
    pub fn stage(&self) -> Option<Stage> {
        self.end.map(|(stage, _)| stage)
    }

    /// Whether no more than a tenth of the requests and fifty reached the target version.
    pub fn is_within_exposure(&self) -> bool {
        self.exposed as f64 <= 0.1 * self.total as f64 + 50.0
    }
}

pub fn assert_rolled_back(setup: &Setup) {
    let outcome = setup.run();
    assert_eq!(outcome.stage(), Some(Stage::RolledBack), "{:?}: {outcome:?}", setup.behavior);
    assert!(outcome.is_within_exposure(), "{:?}: {outcome:?}", setup.behavior);
    assert_eq!(outcome.late, 0, "{:?}: {outcome:?}", setup.behavior);
}

pub fn assert_succeeds(setup: &Setup) {
    let outcome = setup.run();
    let Some((Stage::Succeeded, at)) = outcome.end else {
        panic!("{:?}: {outcome:?}", setup.faults);
    };
    assert!(at <= setup.duration.as_secs_f64(), "{:?}: {outcome:?}", setup.faults);
    assert_eq!(outcome.lost, 0, "{:?}: {outcome:?}", setup.faults);
}
