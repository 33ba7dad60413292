//! What came of a load, as tables.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use super::Sample;
use super::mix::Mix;
use crate::output::table;

/// Most microseconds that a histogram tells apart.
const MOST_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Numbers of one kind at one target.
pub struct Line {
    /// Target.
    pub target: usize,
    /// Kind.
    pub kind: &'static str,
    /// Requests.
    pub sent: usize,
    /// Answered with success.
    pub completed: usize,
    /// Said not to have run.
    pub refused: usize,
    /// Cut, or failed otherwise.
    pub failed: usize,
    /// Completed in a region other than the one that ran most for the target.
    pub elsewhere: usize,
    /// Time to the first byte, microseconds.
    pub first_byte: Histogram<u64>,
    /// Time to the end, microseconds.
    pub total: Histogram<u64>,
    /// Longest silence within each answer, microseconds.
    pub gap: Histogram<u64>,
}

/// Counts samples by target and kind.
pub fn lines(samples: &[Sample], mix: &Mix) -> Vec<Line> {
    let targets = samples.iter().map(|sample| sample.target + 1).max().unwrap_or(0);
    let homes: Vec<String> = (0..targets).map(|target| home_region(samples, target)).collect();
    let mut lines: BTreeMap<(usize, usize), Line> = BTreeMap::new();
    for sample in samples {
        let line = lines
            .entry((sample.target, sample.kind))
            .or_insert_with(|| empty(sample.target, mix.kinds[sample.kind].name));
        line.sent += 1;
        match sample.status {
            Some(status) if (200..300).contains(&status) => {
                line.completed += 1;
                line.elsewhere += usize::from(sample.region != homes[sample.target]);
                record(&mut line.first_byte, sample.first_byte);
                record(&mut line.total, sample.total);
                record(&mut line.gap, sample.gap);
            }
            Some(_) if sample.ran == "no" => line.refused += 1,
            _ => line.failed += 1,
        }
    }
    lines.into_values().collect()
}

fn home_region(samples: &[Sample], target: usize) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.target == target) {
        *counts.entry(&sample.region).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(region, _)| region.to_owned()).unwrap_or_default()
}

fn empty(target: usize, kind: &'static str) -> Line {
    let histogram = || {
        Histogram::new_with_max(MOST_MICROS, DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are constants that fit"))
    };
    Line {
        target,
        kind,
        sent: 0,
        completed: 0,
        refused: 0,
        failed: 0,
        elsewhere: 0,
        first_byte: histogram(),
        total: histogram(),
        gap: histogram(),
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros().try_into().unwrap_or(MOST_MICROS));
}

/// The report for people.
pub fn text(lines: &[Line], targets: &[String], length: Duration) -> String {
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        format!("{:.2}", histogram.value_at_quantile(quantile) as f64 / 1000.0)
    };
    let rows: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            vec![
                targets[line.target].clone(),
                line.kind.to_owned(),
                line.sent.to_string(),
                line.completed.to_string(),
                line.refused.to_string(),
                line.failed.to_string(),
                line.elsewhere.to_string(),
                format!("{:.0}", line.completed as f64 / length.as_secs_f64()),
                millis(&line.first_byte, 0.5),
                millis(&line.first_byte, 0.95),
                millis(&line.first_byte, 0.99),
                millis(&line.total, 0.5),
                millis(&line.total, 0.99),
                millis(&line.gap, 0.95),
            ]
        })
        .collect();
    let header = [
        "target",
        "kind",
        "sent",
        "ok",
        "refused",
        "failed",
        "elsewhere",
        "ok/s",
        "first p50",
        "p95",
        "p99",
        "total p50",
        "p99",
        "gap p95",
    ];
    format!("{}\n\ntimes in ms\n", table(&header, &rows))
}

/// The report for programs; times in microseconds.
pub fn json(lines: &[Line], targets: &[String]) -> serde_json::Value {
    let quantiles = |histogram: &Histogram<u64>| {
        let at = |quantile| histogram.value_at_quantile(quantile);
        json!({"p50": at(0.5), "p95": at(0.95), "p99": at(0.99)})
    };
    let rows = lines.iter().map(|line| {
        json!({
            "target": targets[line.target],
            "kind": line.kind,
            "sent": line.sent,
            "completed": line.completed,
            "refused": line.refused,
            "failed": line.failed,
            "elsewhere": line.elsewhere,
            "first_byte_us": quantiles(&line.first_byte),
            "total_us": quantiles(&line.total),
            "gap_us": quantiles(&line.gap),
        })
    });
    rows.collect()
}

/// What the first target adds to the second, of the same kinds in the same run.
pub fn added(lines: &[Line]) -> String {
    let mut text = String::new();
    for line in lines.iter().filter(|line| line.target == 0) {
        let other = lines.iter().find(|other| other.target == 1 && other.kind == line.kind);
        let Some(other) = other else { continue };
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let ours = line.first_byte.value_at_quantile(quantile) as f64;
            let theirs = other.first_byte.value_at_quantile(quantile) as f64;
            text.push_str(&format!(
                "{} {name} to the first byte: {:+.0} us, ratio {:.3}\n",
                line.kind,
                ours - theirs,
                ours / theirs.max(1.0),
            ));
        }
    }
    text
}
