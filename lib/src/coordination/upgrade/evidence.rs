//! Counts of responses by version, and the test whether the target version responds worse.
//!
//! Only complete responses count, so that crashes, cut links and full servers are not taken for
//! defects of a version. Responses are compared with those of the other versions in the same
//! stratum, of the same route and about the same prompt length, so that a burst or a slow link
//! counts against neither.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use prost::Message;

use super::wire::CellReport;
use super::wire::TallyReport;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::rendezvous;

/// Number of latency classes. Each is a factor of the square root of two wide; they cover one
/// millisecond to one minute.
const CLASSES: usize = 32;
/// Classes above the median of the other versions from which on a response is slow: a factor of
/// 2.8.
const SLOW_CLASSES: usize = 3;
/// Responses of the other versions without which nothing is slow.
const MIN_BASELINE: u32 = 20;
/// Responses of the other versions without which one box calls no response slow.
const MIN_LOCAL_BASELINE: u32 = 8;
/// Bad responses beyond the expected number that show a defect.
const MIN_EXCESS: f64 = 8.0;
/// Standard deviations beyond the expected number that show a defect.
const DEVIATIONS: f64 = 4.0;
/// Part of the servers whose bad responses are disregarded, since single servers may be faulty.
const FAULTY_FRACTION: f64 = 0.1;
/// Number of servers below which no server's responses are disregarded.
const MIN_SERVERS_TO_DISREGARD: usize = 3;
/// Maximum number of strata and versions in a report.
const MAX_CELLS: usize = 96;
/// Maximum size of the cells in a report, so that the report fits in a datagram with the rest.
const MAX_CELL_BYTES: usize = 7 << 10;
/// Bytes of the tag and the length of a cell in a report.
const FIELD_OVERHEAD_BYTES: usize = 3;
/// Maximum number of servers in a report.
const MAX_TALLIES: usize = 16;

/// A response of a server.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Hash of the route.
    pub route: u64,
    /// Tokens of the prompt; 0 if it has none.
    pub prompt_tokens: u32,
    /// Incarnation of the server.
    pub server: ServerIncarnation,
    /// Whether the server has the target version.
    pub is_target: bool,
    /// Whether the server was still warming up; its latency is not compared.
    pub is_cold: bool,
    /// The result.
    pub result: SampleResult,
}

/// The result of a request, as far as it tells about a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleResult {
    /// The server responded with a failure.
    Failed,
    /// The server responded.
    Answered {
        /// Time to the first event of a stream or to the whole response. `None` if it depends more
        /// on what the server has cached than on its version.
        first: Option<Duration>,
        /// Time from the first event of a stream to its end.
        rest: Option<Duration>,
    },
    /// The server had not responded after this time.
    TimedOut(Duration),
}

/// Requests that are compared with each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Measure {
    Failure,
    First,
    Rest,
}

type Stratum = u64;

#[derive(Clone, Debug, Default)]
struct Cell {
    /// Responses, in a stratum that counts failures.
    responses: u32,
    /// Those of them that were failures.
    failed: u32,
    /// Responses by latency class, in a stratum that counts latencies.
    latencies: [u32; CLASSES],
}

impl Cell {
    /// Number of responses, whatever was measured.
    fn weight(&self) -> u32 {
        self.responses + self.latencies.iter().sum::<u32>()
    }

    fn timed(&self) -> u32 {
        self.latencies.iter().sum()
    }

    /// The class that contains the median.
    fn median(&self) -> usize {
        let half = self.timed().div_ceil(2);
        let mut seen = 0;
        for (class, count) in self.latencies.iter().enumerate() {
            seen += count;
            if seen >= half {
                return class;
            }
        }
        CLASSES - 1
    }

    fn slower_than(&self, class: usize) -> u32 {
        self.latencies[class.min(CLASSES)..].iter().sum()
    }

    fn subtract(&mut self, earlier: &Cell) {
        self.responses = self.responses.saturating_sub(earlier.responses);
        self.failed = self.failed.saturating_sub(earlier.failed);
        let counts = self.latencies.iter_mut().zip(earlier.latencies);
        counts.for_each(|(count, earlier)| *count = count.saturating_sub(earlier));
    }

    fn add(&mut self, other: &Cell) {
        self.responses += other.responses;
        self.failed += other.failed;
        let counts = self.latencies.iter_mut().zip(other.latencies);
        counts.for_each(|(count, other)| *count += other);
    }
}

/// Counts of responses, of one box or of several together.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Responses by stratum and whether they came from the target version.
    cells: BTreeMap<(Stratum, bool), Cell>,
    /// Bad responses of each server of the target version.
    tallies: HashMap<ServerIncarnation, u32>,
}

/// A comparison of the target version with the others.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    excess: f64,
    variance: f64,
}

impl Comparison {
    /// Compares `bad` of `total` responses with those of the other versions.
    fn new((bad, total): (u32, u32), (other_bad, other_total): (u32, u32)) -> Comparison {
        let (total, other_total) = (f64::from(total), f64::from(other_total));
        let rate = (f64::from(other_bad) + 0.5) / (other_total + 1.0);
        Comparison {
            excess: f64::from(bad) - total * rate,
            variance: total * rate * (1.0 - rate) * (1.0 + total / (other_total + 1.0)),
        }
    }

    fn add(self, other: Comparison) -> Comparison {
        Comparison { excess: self.excess + other.excess, variance: self.variance + other.variance }
    }

    /// Whether more responses are bad than chance and `disregarded` ones explain.
    fn is_significant(self, disregarded: f64) -> bool {
        let excess = self.excess - disregarded;
        excess >= MIN_EXCESS && excess >= DEVIATIONS * (self.variance + 1.0).sqrt()
    }
}

impl Evidence {
    /// Counts a response. Returns whether it is a bad one of the target version.
    pub fn record(&mut self, sample: &Sample) -> bool {
        let failure = stratum(sample, Measure::Failure);
        let cell = self.cells.entry((failure, sample.is_target)).or_default();
        cell.responses += 1;
        let mut is_bad = false;
        let (first, rest) = match sample.result {
            SampleResult::Failed => {
                cell.failed += 1;
                is_bad = true;
                (None, None)
            }
            SampleResult::Answered { first, rest } => (first, rest),
            SampleResult::TimedOut(waited) => (Some(waited), None),
        };
        if !sample.is_cold {
            for (measure, latency) in [(Measure::First, first), (Measure::Rest, rest)] {
                let Some(latency) = latency else { continue };
                is_bad |= self.record_latency(stratum(sample, measure), sample.is_target, latency);
            }
        }
        if is_bad && sample.is_target {
            *self.tallies.entry(sample.server).or_default() += 1;
        }
        is_bad && sample.is_target
    }

    /// Counts a latency. Returns whether it is slow by what this box knows of the other versions.
    fn record_latency(&mut self, stratum: Stratum, is_target: bool, latency: Duration) -> bool {
        let class = latency_class(latency);
        let baseline = self.cells.get(&(stratum, false));
        let is_slow = baseline.is_some_and(|baseline| {
            baseline.timed() >= MIN_LOCAL_BASELINE && class >= baseline.median() + SLOW_CLASSES
        });
        self.cells.entry((stratum, is_target)).or_default().latencies[class] += 1;
        is_slow
    }

    /// Adds the counts of another box.
    pub fn add(&mut self, other: &Evidence) {
        for (key, cell) in &other.cells {
            self.cells.entry(*key).or_default().add(cell);
        }
        for (server, bad) in &other.tallies {
            *self.tallies.entry(*server).or_default() += bad;
        }
    }

    /// Bad responses of the target version, as the boxes that sent them see it.
    pub fn bad_responses(&self) -> u32 {
        self.tallies.values().sum()
    }

    /// Responses of all versions.
    pub fn responses(&self) -> u64 {
        self.cells.values().map(|cell| u64::from(cell.responses)).sum()
    }

    /// Responses of the target version.
    pub fn target_responses(&self) -> u64 {
        let target = self.cells.iter().filter(|((_, is_target), _)| *is_target);
        target.map(|(_, cell)| u64::from(cell.responses)).sum()
    }

    /// Why the target version, which has `servers` servers, is worse than the others; `None` if it
    /// is not known to be.
    pub fn defect(&self, servers: usize) -> Option<&'static str> {
        self.failures(servers).or_else(|| self.slowness(servers))
    }

    /// Whether the target version, which has `servers` servers, fails more than the others.
    pub fn failures(&self, servers: usize) -> Option<&'static str> {
        let disregarded = f64::from(self.disregarded(servers));
        let mut all = Comparison::default();
        for (cell, baseline) in self.compared_cells() {
            let counts = |cell: &Cell| (cell.failed, cell.responses);
            let on_route = Comparison::new(counts(cell), counts(baseline));
            if on_route.is_significant(disregarded) {
                return Some("the version fails on a route");
            }
            all = all.add(on_route);
        }
        all.is_significant(disregarded).then_some("the version fails")
    }

    /// Whether the target version, which has `servers` servers, is slower than the others.
    pub fn slowness(&self, servers: usize) -> Option<&'static str> {
        let disregarded = f64::from(self.disregarded(servers));
        let mut all = Comparison::default();
        for (cell, baseline) in self.compared_cells() {
            if baseline.timed() < MIN_BASELINE {
                continue;
            }
            let limit = baseline.median() + SLOW_CLASSES;
            let counts = |cell: &Cell| (cell.slower_than(limit), cell.timed());
            let on_route = Comparison::new(counts(cell), counts(baseline));
            if on_route.is_significant(disregarded) {
                return Some("the version is slow on a route");
            }
            all = all.add(on_route);
        }
        all.is_significant(disregarded).then_some("the version is slow")
    }

    /// The cells of the target version, each with that of the other versions.
    fn compared_cells(&self) -> impl Iterator<Item = (&Cell, &Cell)> {
        static NONE: Cell = Cell { responses: 0, failed: 0, latencies: [0; CLASSES] };
        let targets = self.cells.iter().filter(|((_, is_target), _)| *is_target);
        targets
            .map(|((stratum, _), cell)| (cell, self.cells.get(&(*stratum, false)).unwrap_or(&NONE)))
    }

    /// The counts that were added since an earlier state.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let mut evidence = self.clone();
        for (key, cell) in &mut evidence.cells {
            if let Some(earlier) = earlier.cells.get(key) {
                cell.subtract(earlier);
            }
        }
        for (server, bad) in &mut evidence.tallies {
            *bad = bad.saturating_sub(earlier.tallies.get(server).copied().unwrap_or(0));
        }
        evidence
    }

    /// The responses of the target version, compared with earlier ones of the other versions.
    pub fn target_compared_with(&self, earlier: &Evidence) -> Evidence {
        let cells = self.cells_of(true, true).chain(earlier.cells_of(false, false)).collect();
        Evidence { cells, tallies: self.tallies.clone() }
    }

    /// The responses of the other versions, as those of a target that is compared with their
    /// earlier responses.
    pub fn others_compared_with(&self, earlier: &Evidence) -> Evidence {
        let cells = self.cells_of(false, true).chain(earlier.cells_of(false, false)).collect();
        Evidence { cells, tallies: HashMap::new() }
    }

    /// The cells of the target version or of the others, with another key.
    fn cells_of(
        &self,
        is_target: bool,
        as_target: bool,
    ) -> impl Iterator<Item = ((Stratum, bool), Cell)> {
        let cells = self.cells.iter().filter(move |((_, of_target), _)| *of_target == is_target);
        cells.map(move |((stratum, _), cell)| ((*stratum, as_target), cell.clone()))
    }

    /// Responses of the other versions whose latency was counted.
    pub fn other_timed(&self) -> u32 {
        let others = self.cells.iter().filter(|((_, is_target), _)| !is_target);
        others.map(|(_, cell)| cell.timed()).sum()
    }

    /// Bad responses of the servers that may be faulty themselves.
    fn disregarded(&self, servers: usize) -> u32 {
        if servers < MIN_SERVERS_TO_DISREGARD {
            return 0;
        }
        let mut tallies: Vec<u32> = self.tallies.values().copied().collect();
        tallies.sort_unstable_by(|one, other| other.cmp(one));
        tallies.iter().take((servers as f64 * FAULTY_FRACTION).ceil() as usize).sum()
    }

    /// The counts as sent to the judges. If there are too many for a datagram, they are those of the
    /// strata with the most responses of the version that has fewer: a judge compares the two.
    pub fn to_reports(&self) -> (Vec<CellReport>, Vec<TallyReport>) {
        let mut cells: Vec<CellReport> = self
            .cells
            .iter()
            .map(|((stratum, is_target), cell)| {
                let used =
                    cell.latencies.iter().rposition(|count| *count > 0).map_or(0, |at| at + 1);
                CellReport {
                    stratum: *stratum,
                    is_target: *is_target,
                    responses: cell.responses,
                    failed: cell.failed,
                    latencies: cell.latencies[..used].to_vec(),
                }
            })
            .collect();
        let weight = |stratum: Stratum, is_target: bool| {
            self.cells.get(&(stratum, is_target)).map_or(0, Cell::weight)
        };
        let comparable = |stratum: Stratum| {
            let weights = [true, false].map(|is_target| weight(stratum, is_target));
            (weights[0].min(weights[1]), weights[0].max(weights[1]))
        };
        cells.sort_by_key(|cell| std::cmp::Reverse((comparable(cell.stratum), cell.stratum)));
        cells.truncate(MAX_CELLS);
        truncate_to_bytes(&mut cells, MAX_CELL_BYTES);
        let tallies = self.tallies.iter().map(|(server, bad)| (*bad, *server));
        let mut tallies: Vec<(u32, ServerIncarnation)> = tallies.collect();
        tallies.sort_unstable_by(|one, other| other.cmp(one));
        tallies.truncate(MAX_TALLIES);
        let tallies = tallies.into_iter().map(|(bad, server)| TallyReport { server, bad });
        (cells, tallies.collect())
    }

    /// The counts that another box has sent.
    pub fn from_reports(cells: &[CellReport], tallies: &[TallyReport]) -> Evidence {
        let mut evidence = Evidence::default();
        for report in cells.iter().take(MAX_CELLS) {
            let cell = evidence.cells.entry((report.stratum, report.is_target)).or_default();
            cell.responses = report.responses;
            cell.failed = report.failed;
            let counts = cell.latencies.iter_mut().zip(&report.latencies);
            counts.for_each(|(count, reported)| *count = *reported);
        }
        let tallies = tallies.iter().take(MAX_TALLIES);
        evidence.tallies = tallies.map(|tally| (tally.server, tally.bad)).collect();
        evidence
    }
}

/// Drops the last cells that do not fit in a number of bytes.
fn truncate_to_bytes(cells: &mut Vec<CellReport>, max_bytes: usize) {
    let mut bytes = 0;
    let fitting = cells.iter().take_while(|cell| {
        bytes += cell.encoded_len() + FIELD_OVERHEAD_BYTES;
        bytes <= max_bytes
    });
    let count = fitting.count();
    cells.truncate(count);
}

/// Identifies the requests that a response is compared with.
fn stratum(sample: &Sample, measure: Measure) -> Stratum {
    // Factors of four in the prompt's length; failures of all lengths are compared.
    let length_class = match measure {
        Measure::Failure => 0,
        Measure::First | Measure::Rest => (32 - sample.prompt_tokens.leading_zeros()) / 2,
    };
    rendezvous::mix(sample.route, u64::from(length_class) << 8 | measure as u64)
}

fn latency_class(latency: Duration) -> usize {
    let milliseconds = (latency.as_secs_f64() * 1000.0).max(1.0);
    ((2.0 * milliseconds.log2()).round() as usize).min(CLASSES - 1)
}
