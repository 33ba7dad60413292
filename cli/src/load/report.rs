//! Reports of a load run, as text and as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use super::Sample;
use super::mix::Mix;
use crate::output::table;

/// Maximum value of a histogram, in microseconds; larger values are recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Number of significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one kind of request at one target.
pub struct ReportRow {
    /// Index of the target.
    pub target: usize,
    /// Name of the kind.
    pub kind: &'static str,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests with a successful response.
    pub completed: usize,
    /// Number of error responses that state that the request was not executed.
    pub refused: usize,
    /// Number of all other failures, including truncated responses.
    pub failed: usize,
    /// Number of requests completed outside the main region of the target.
    pub outside_main_region: usize,
    /// Time to the first byte, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time to the end of the response, in microseconds.
    pub total: Histogram<u64>,
    /// Longest time between two chunks of each response, in microseconds.
    pub max_gap: Histogram<u64>,
}

/// Summarizes samples by target and kind.
pub fn summarize(samples: &[Sample], mix: &Mix) -> Vec<ReportRow> {
    let targets = samples.iter().map(|sample| sample.target + 1).max().unwrap_or(0);
    let main_regions: Vec<String> =
        (0..targets).map(|target| main_region(samples, target)).collect();
    let mut rows: BTreeMap<(usize, usize), ReportRow> = BTreeMap::new();
    for sample in samples {
        let row = rows
            .entry((sample.target, sample.kind))
            .or_insert_with(|| empty_row(sample.target, mix.kinds[sample.kind].name));
        row.sent += 1;
        match sample.status {
            Some(status) if (200..300).contains(&status) => {
                row.completed += 1;
                row.outside_main_region +=
                    usize::from(sample.region != main_regions[sample.target]);
                record(&mut row.first_byte, sample.first_byte);
                record(&mut row.total, sample.total);
                record(&mut row.max_gap, sample.max_gap);
            }
            Some(_) if sample.ran_header == "no" => row.refused += 1,
            _ => row.failed += 1,
        }
    }
    rows.into_values().collect()
}

/// Returns the region that executed most requests of a target.
fn main_region(samples: &[Sample], target: usize) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.target == target) {
        *counts.entry(&sample.region).or_default() += 1;
    }
    let main_region = counts.into_iter().max_by_key(|(_, count)| *count);
    main_region.map(|(region, _)| region.to_owned()).unwrap_or_default()
}

fn empty_row(target: usize, kind: &'static str) -> ReportRow {
    let histogram = || {
        Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are constants that fit"))
    };
    ReportRow {
        target,
        kind,
        sent: 0,
        completed: 0,
        refused: 0,
        failed: 0,
        outside_main_region: 0,
        first_byte: histogram(),
        total: histogram(),
        max_gap: histogram(),
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros().try_into().unwrap_or(MAX_LATENCY_US));
}

/// Formats the report as a table.
pub fn text(rows: &[ReportRow], targets: &[String], duration: Duration) -> String {
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        format!("{:.2}", histogram.value_at_quantile(quantile) as f64 / 1000.0)
    };
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                targets[row.target].clone(),
                row.kind.to_owned(),
                row.sent.to_string(),
                row.completed.to_string(),
                row.refused.to_string(),
                row.failed.to_string(),
                row.outside_main_region.to_string(),
                format!("{:.0}", row.completed as f64 / duration.as_secs_f64()),
                millis(&row.first_byte, 0.5),
                millis(&row.first_byte, 0.95),
                millis(&row.first_byte, 0.99),
                millis(&row.total, 0.5),
                millis(&row.total, 0.99),
                millis(&row.max_gap, 0.95),
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
    format!("{}\n\ntimes in ms\n", table(&header, &cells))
}

/// Formats the report as JSON, with times in microseconds.
pub fn json(rows: &[ReportRow], targets: &[String]) -> serde_json::Value {
    let quantiles = |histogram: &Histogram<u64>| {
        let value_at = |quantile| histogram.value_at_quantile(quantile);
        json!({"p50": value_at(0.5), "p95": value_at(0.95), "p99": value_at(0.99)})
    };
    let values = rows.iter().map(|row| {
        json!({
            "target": targets[row.target],
            "kind": row.kind,
            "sent": row.sent,
            "completed": row.completed,
            "refused": row.refused,
            "failed": row.failed,
            "elsewhere": row.outside_main_region,
            "first_byte_us": quantiles(&row.first_byte),
            "total_us": quantiles(&row.total),
            "gap_us": quantiles(&row.max_gap),
        })
    });
    values.collect()
}

/// Formats how much longer the first byte takes at the first target than at the second, for each
/// kind in the same run.
pub fn latency_differences(rows: &[ReportRow]) -> String {
    let mut text = String::new();
    for row in rows.iter().filter(|row| row.target == 0) {
        let other = rows.iter().find(|other| other.target == 1 && other.kind == row.kind);
        let Some(other) = other else { continue };
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let first_us = row.first_byte.value_at_quantile(quantile) as f64;
            let second_us = other.first_byte.value_at_quantile(quantile) as f64;
            text.push_str(&format!(
                "{} {name} to the first byte: {:+.0} us, ratio {:.3}\n",
                row.kind,
                first_us - second_us,
                first_us / second_us.max(1.0),
            ));
        }
    }
    text
}
