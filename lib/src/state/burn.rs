//! The burn rate of the error budget of each objective.
//!
//! A burn rate of 1 spends exactly the budget; with a rate over 1, the objective will be missed if
//! the rate persists. Counts are reported for several windows, so that both short bursts of failures
//! and low failure rates that last are visible. Each box keeps its counts in time slices in memory.
//! A replaced box starts from zero; its report gives the time for which it has counted.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::config::Configuration;

/// The length of a slice.
const SLICE: Duration = Duration::from_secs(10);
/// The windows of a report.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3600), Duration::from_secs(6 * 3600)];

/// The request counts of a slice or window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCounts {
    /// All requests.
    pub total: u64,
    /// Requests that missed the objective.
    pub bad: u64,
}

impl RequestCounts {
    fn add(&mut self, other: RequestCounts) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// Returns the burn rate for an objective with this target share.
    pub fn burn_rate(&self, target: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (self.bad as f64 / self.total as f64) / (1.0 - target)
    }
}

/// The counts of one objective over each window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectiveBurn {
    /// The name of the objective.
    pub objective: String,
    /// The pool.
    pub pool: String,
    /// The target share.
    pub target: f64,
    /// The counts, in the order of [`WINDOWS`].
    pub windows: Vec<RequestCounts>,
}

/// The report of one box.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// The name of the box.
    pub name: String,
    /// How long the box has counted, in seconds.
    pub since_s: u64,
    /// One row per objective.
    pub rows: Vec<ObjectiveBurn>,
}

impl BurnReport {
    /// Adds the counts of another box's report.
    pub fn merge(&mut self, other: &BurnReport) {
        for row in &other.rows {
            let own = self.rows.iter_mut().find(|own| own.objective == row.objective);
            match own {
                None => self.rows.push(row.clone()),
                Some(own) => {
                    for (count, more) in own.windows.iter_mut().zip(&row.windows) {
                        count.add(*more);
                    }
                }
            }
        }
    }
}

/// The counts of one box.
#[derive(Debug)]
pub struct BurnTracker {
    started_at: Instant,
    slices: BTreeMap<String, VecDeque<(Instant, RequestCounts)>>,
}

impl BurnTracker {
    /// Creates a tracker without counts.
    pub fn new(now: Instant) -> BurnTracker {
        BurnTracker { started_at: now, slices: BTreeMap::new() }
    }

    /// Records a finished request of a pool. `first_byte` is the time to the first byte, or `None`
    /// if the request failed.
    pub fn record(
        &mut self,
        configuration: &Configuration,
        pool: &str,
        first_byte: Option<Duration>,
        now: Instant,
    ) {
        for (name, objective) in &configuration.objectives {
            if objective.pool != pool {
                continue;
            }
            let good = first_byte.is_some_and(|time| time <= objective.first_byte);
            let count = RequestCounts { total: 1, bad: u64::from(!good) };
            self.current_slice(name, now).add(count);
        }
    }

    /// Returns the counts of the current slice, which is a new one if the last one has reached its
    /// length. Drops the slices that have left the longest window.
    fn current_slice(&mut self, objective: &str, now: Instant) -> &mut RequestCounts {
        if !self.slices.contains_key(objective) {
            self.slices.insert(objective.to_owned(), VecDeque::new());
        }
        let slices = self.slices.entry(objective.to_owned()).or_default();
        let longest = WINDOWS[WINDOWS.len() - 1];
        while slices.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > longest) {
            slices.pop_front();
        }
        let starts_slice =
            slices.back().is_none_or(|(at, _)| now.saturating_duration_since(*at) >= SLICE);
        if starts_slice {
            slices.push_back((now, RequestCounts::default()));
        }
        let last = slices.len() - 1;
        &mut slices[last].1
    }

    /// Returns the report of this box.
    pub fn report(&self, name: &str, configuration: &Configuration, now: Instant) -> BurnReport {
        let rows = configuration.objectives.iter().map(|(objective, detail)| ObjectiveBurn {
            objective: objective.clone(),
            pool: detail.pool.clone(),
            target: detail.target,
            windows: WINDOWS
                .iter()
                .map(|window| self.window_counts(objective, *window, now))
                .collect(),
        });
        BurnReport {
            name: name.to_owned(),
            since_s: now.saturating_duration_since(self.started_at).as_secs(),
            rows: rows.collect(),
        }
    }

    fn window_counts(&self, objective: &str, window: Duration, now: Instant) -> RequestCounts {
        let mut sum = RequestCounts::default();
        let slices = self.slices.get(objective).into_iter().flatten();
        for (at, count) in slices {
            if now.saturating_duration_since(*at) <= window {
                sum.add(*count);
            }
        }
        sum
    }
}
